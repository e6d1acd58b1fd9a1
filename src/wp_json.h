/* Fields of a JSON object that any writer may have made: what is missing or of
 * another type is noted, and the reading goes on. */
#ifndef WP_JSON_H
#define WP_JSON_H

#include "wp_base.h"

#include <jansson.h>

typedef struct WPJson {
    const json_t *j;
    const char *problem; /* the last field that is wrong; NULL: none is */
} WPJson;

/* The largest whole number that a double holds with all below it. */
#define WP_JSON_WHOLE_MOST 9007199254740992.0

/* A text that is not empty; "" and a problem when it is none. */
const char *wp_json_text(WPJson *o, const char *name);

/* A whole number from `least` on; 0 and a problem when it is none. */
int64_t wp_json_whole(WPJson *o, const char *name, double least);

/* A list; NULL and a problem when it is none. */
const json_t *wp_json_list(WPJson *o, const char *name);

/* Appends copies of a list's texts to `out`, if there is such a list; a problem
   when one is no text. */
void wp_json_texts(WPJson *o, const char *name, GPtrArray *out);

/* The number or `absent`; a problem only by the caller's judgement. */
double wp_json_number(const json_t *j, const char *name, double absent);

/* The same, brought into the range of the type. */
uint32_t wp_json_count(const json_t *j, const char *name, double absent);

/* The compact text of a value, which is freed; free with g_free(). */
char *wp_json_dump(json_t *j);

bool wp_json_flag(const json_t *j, const char *name);

#endif
