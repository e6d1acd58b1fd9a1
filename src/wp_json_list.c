/* Reads lists of items from many writers. */
#include "wp_json_list.h"

enum { START_MAX = 80 }; /* bytes of a bad item that are reported */

/* Returns the first byte from `p` on that is not white space. */
static const char *skip_space(const char *p, const char *end)
{
    while (p < end && (*p == ' ' || *p == '\t' || *p == '\n' || *p == '\r'))
        p++;
    return p;
}

/* Returns the first byte after the string whose opening quote is at `p`. */
static const char *skip_string(const char *p, const char *end)
{
    for (p++; p < end && *p != '"'; p++)
        if (*p == '\\' && p + 1 < end)
            p++;
    return p < end ? p + 1 : end;
}

/* Returns the end of the value that begins at `p`: the comma or bracket behind
   it, or the end of the text. */
static const char *skip_value(const char *p, const char *end)
{
    size_t depth = 0;
    while (p < end) {
        if (*p == '"') {
            p = skip_string(p, end);
            continue;
        }
        bool closes = *p == ']' || *p == '}';
        if (!depth && (closes || *p == ','))
            return p;
        depth += *p == '[' || *p == '{';
        depth -= closes;
        p++;
    }
    return end;
}

/* Returns the first byte inside the array with this name; NULL: there is
   none. */
static const char *find_list(WPStr text, const char *name)
{
    const char *p = text.p, *end = text.p + text.n;
    while (p < end) {
        const char *start = p;
        if (*p != '"') {
            p++;
            continue;
        }
        p = skip_string(p, end);
        if (p - start < 2 ||
            !wp_str_eq(wp_strn(start + 1, (size_t)(p - start - 2)),
                       wp_str(name)))
            continue;
        const char *colon = skip_space(p, end);
        const char *open = colon < end ? skip_space(colon + 1, end) : end;
        if (open < end && *colon == ':' && *open == '[')
            return open + 1;
    }
    return NULL;
}

static json_t *load(WPStr text, json_error_t *error)
{
    return json_loadb(text.p, text.n, JSON_ALLOW_NUL, error);
}

/* Appends the elements from `p` on to `out`; returns the end of the array. */
static const char *load_elements(json_t *out, const char *p, const char *end,
                                 WPJsonBadItemFn bad, void *arg)
{
    for (;;) {
        json_error_t error;
        const char *start = skip_space(p, end);
        p = skip_value(start, end);
        WPStr element = wp_strn(start, (size_t)(p - start));
        json_t *j = load(element, &error);
        if (j)
            json_array_append_new(out, j);
        else if (element.n)
            bad(arg, wp_strn(start, MIN(element.n, START_MAX)), error.text);
        if (p == end || *p != ',')
            return p;
        p++;
    }
}

static json_t *load_apart(WPStr text, const char *list, WPJsonBadItemFn bad,
                          void *arg)
{
    const char *end = text.p + text.n, *from = find_list(text, list);
    json_t *elements = json_array();
    if (!from) {
        json_decref(elements);
        return NULL;
    }
    const char *to = load_elements(elements, from, end, bad, arg);
    g_autoptr(GString) rest = g_string_new_len(text.p, from - text.p);
    g_autofree char *good = json_dumps(elements, JSON_COMPACT);
    g_string_append_len(rest, good + 1, (gssize)strlen(good) - 2);
    g_string_append_len(rest, to, end - to);
    json_decref(elements);
    return load(wp_strn(rest->str, rest->len), NULL);
}

json_t *wp_json_load_list(WPStr text, const char *list, WPJsonBadItemFn bad,
                          void *arg)
{
    json_t *j = load(text, NULL);
    return j ? j : load_apart(text, list, bad, arg);
}

WPStr wp_json_bytes(const json_t *j)
{
    const char *p = json_string_value(j);
    return wp_strn(p ? p : "", p ? json_string_length(j) : 0);
}
