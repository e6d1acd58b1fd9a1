/* The logger. */
#include "wp_log.h"

#include <jansson.h>
#include <unistd.h>

static const char *const level_names[] = { "debug", "info", "warn", "error" };

void wp_log_init(WPLog *l, const char *box, const char *level,
                 const char *format)
{
    l->box = box;
    l->least = WP_INFO;
    for (size_t i = 0; i < WP_COUNT(level_names); i++)
        if (!strcmp(level_names[i], level))
            l->least = (WPLevel)i;
    l->json = !strcmp(format, "json");
    l->fd = STDERR_FILENO;
}

static void add_pair(GString *out, const char *key, const char *value)
{
    g_string_append_printf(out, " %s=", key);
    if (!strpbrk(value, " \"=\n") && *value) {
        g_string_append(out, value);
        return;
    }
    g_autofree char *quoted = g_strescape(value, NULL);
    g_string_append_printf(out, "\"%s\"", quoted);
}

static char *stamp(void)
{
    g_autoptr(GDateTime) t = g_date_time_new_now_utc();
    return g_date_time_format(t, "%Y-%m-%dT%H:%M:%S.%fZ");
}

void wp_log(const WPLog *l, WPLevel level, const char *event, ...)
{
    va_list ap;
    const char *key;
    if (level < l->least)
        return;
    g_autofree char *at = stamp();
    g_autoptr(GString) out = g_string_new(NULL);
    json_t *o = json_pack("{s:s,s:s,s:s,s:s}", "time", at, "level",
                          level_names[level], "box", l->box, "event", event);
    g_string_printf(out, "time=%s level=%s box=%s event=%s", at,
                    level_names[level], l->box, event);
    va_start(ap, event);
    while ((key = va_arg(ap, const char *))) {
        const char *value = va_arg(ap, const char *);
        add_pair(out, key, value);
        json_object_set_new(o, key, json_string(value));
    }
    va_end(ap);
    if (l->json) {
        char *text = json_dumps(o, JSON_COMPACT);
        g_string_assign(out, text);
        free(text);
    }
    json_decref(o);
    g_string_append_c(out, '\n');
    ssize_t wrote = write(l->fd, out->str, out->len);
    (void)wrote; /* nobody is left to tell */
}
