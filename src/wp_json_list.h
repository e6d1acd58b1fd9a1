/* Reads a JSON text that holds a list of items from many writers. An item that
 * the JSON reader does not accept, as it is nested too deeply or holds a number
 * out of range, does not affect the others. */
#ifndef WP_JSON_LIST_H
#define WP_JSON_LIST_H

#include "wp_base.h"

#include <jansson.h>

/* Reports an item that cannot be read: its beginning, and why. */
typedef void (*WPJsonBadItemFn)(void *arg, WPStr start, const char *why);

/* Parses `text`. Of the first array that is a value with the name `list`, the
   elements that cannot be parsed are reported to `bad` and left out. Strings
   may contain NUL characters. Returns NULL if the text is invalid apart from
   these elements; free with json_decref(). */
json_t *wp_json_load_list(WPStr text, const char *list, WPJsonBadItemFn bad,
                          void *arg);

/* The bytes of a string value; empty if it is none. */
WPStr wp_json_bytes(const json_t *j);

#endif
