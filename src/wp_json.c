/* Readers of the fields of JSON objects. */
#include "wp_json.h"

#include <math.h>
#include <stdlib.h>

const char *wp_json_string(WPJsonReader *o, const char *name)
{
    const char *s = json_string_value(json_object_get(o->j, name));
    if (s && *s)
        return s;
    o->problem = name;
    return "";
}

int64_t wp_json_int(WPJsonReader *o, const char *name, double min)
{
    double v = wp_json_number(o->j, name, NAN);
    if (v >= min && v <= WP_JSON_INT_MAX && v == floor(v))
        return (int64_t)v;
    o->problem = name;
    return 0;
}

const json_t *wp_json_array(WPJsonReader *o, const char *name)
{
    const json_t *array = json_object_get(o->j, name);
    if (json_is_array(array))
        return array;
    o->problem = name;
    return NULL;
}

void wp_json_strings(WPJsonReader *o, const char *name, GPtrArray *out)
{
    json_t *element;
    size_t i;
    json_array_foreach (json_object_get(o->j, name), i, element) {
        if (json_is_string(element))
            g_ptr_array_add(out, g_strdup(json_string_value(element)));
        else
            o->problem = name;
    }
}

double wp_json_number(const json_t *j, const char *name, double absent)
{
    const json_t *v = json_object_get(j, name);
    return json_is_number(v) ? json_number_value(v) : absent;
}

uint32_t wp_json_uint32(const json_t *j, const char *name, double absent)
{
    return (uint32_t)CLAMP(wp_json_number(j, name, absent), 0, UINT32_MAX);
}

uint64_t wp_json_parsed_bytes(WPStr text)
{
    /* What jansson allocates, on 64-bit machines, for what begins with or
       follows each of these. */
    static const uint16_t cost[256] = {
        ['{'] = 256, ['['] = 128, [','] = 48, [':'] = 96, ['"'] = 32,
    };
    uint64_t sum = 2 * text.n;
    for (size_t i = 0; i < text.n; i++)
        sum += cost[(unsigned char)text.p[i]];
    return sum;
}

char *wp_json_dump(json_t *j)
{
    char *text = json_dumps(j, JSON_COMPACT);
    char *out = g_strdup(text);
    free(text);
    json_decref(j);
    return out;
}

bool wp_json_bool(const json_t *j, const char *name)
{
    return json_is_true(json_object_get(j, name));
}
