/* Readers of the fields of a JSON object from an untrusted source. A field that
 * is missing or invalid is recorded, and the caller can go on reading. */
#ifndef WP_JSON_H
#define WP_JSON_H

#include "wp_base.h"

#include <jansson.h>

typedef struct WPJsonReader {
    const json_t *j;
    const char *problem; /* name of the last invalid field; NULL: none */
} WPJsonReader;

/* 2^53: a double represents every integer up to this one exactly. */
#define WP_JSON_INT_MAX 9007199254740992.0

/* Returns a string that is not empty. Records a problem and returns "" if the
   field is missing, empty or not a string. */
const char *wp_json_string(WPJsonReader *o, const char *name);

/* Returns an integer from `min` to WP_JSON_INT_MAX. Records a problem and
   returns 0 if the field is missing, not a number, not an integer or out of
   that range. */
int64_t wp_json_int(WPJsonReader *o, const char *name, double min);

/* Returns an array, owned by the object. Records a problem and returns NULL if
   the field is missing or not an array. */
const json_t *wp_json_array(WPJsonReader *o, const char *name);

/* Appends copies of the strings in an array to `out`, and records a problem for
   each element that is not a string. A missing field is no problem. */
void wp_json_strings(WPJsonReader *o, const char *name, GPtrArray *out);

/* Returns a number, or `absent` if the field is missing or not a number.
   Records no problem, so the caller has to check the value if it matters. */
double wp_json_number(const json_t *j, const char *name, double absent);

/* Like wp_json_number(), clamped to the range of the type. */
uint32_t wp_json_uint32(const json_t *j, const char *name, double absent);

/* An upper bound of the memory that parsing this text takes: many times its
   length where it has many small values. */
uint64_t wp_json_parsed_bytes(WPStr text);

/* Returns the compact text of a value, to be freed with g_free(). Drops the
   caller's reference to the value. */
char *wp_json_dump(json_t *j);

/* Returns whether the field is the literal true. */
bool wp_json_bool(const json_t *j, const char *name);

#endif
