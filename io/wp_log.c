/* The logger. */
#include "wp_log.h"
#include "wp_clock.h"

#include <fcntl.h>
#include <jansson.h>
#include <unistd.h>

enum {
    PENDING_MAX = 256 << 10, /* bytes buffered for the reader of the output */
    BURST_S = 2              /* size of a burst, in seconds of the rate */
};

static const char *const level_names[] = { "debug", "info", "warn", "error" };

void wp_log_init(WPLog *l, const char *box, const char *level,
                 const char *format)
{
    memset(l, 0, sizeof(*l));
    l->box = box;
    l->min_level = WP_INFO;
    for (size_t i = 0; i < WP_COUNT(level_names); i++)
        if (!strcmp(level_names[i], level))
            l->min_level = (WPLevel)i;
    l->json = !strcmp(format, "json");
    l->fd = STDOUT_FILENO;
}

void wp_log_enable_buffering(WPLog *l, uint32_t bytes_per_s)
{
    int flags = fcntl(l->fd, F_GETFL);
    if (flags >= 0)
        fcntl(l->fd, F_SETFL, flags | O_NONBLOCK);
    l->pending = g_string_new(NULL);
    l->bytes_per_s = bytes_per_s;
    l->allowance = (double)bytes_per_s * BURST_S;
    l->refilled_us = wp_clock_now(0).mono_us;
}

static void write_pending(WPLog *l)
{
    while (l->pending->len) {
        ssize_t n = write(l->fd, l->pending->str, l->pending->len);
        if (n <= 0)
            return; /* the reader is behind, or a fault that cannot be logged */
        g_string_erase(l->pending, 0, n);
    }
}

void wp_log_flush(WPLog *l)
{
    if (!l->pending)
        return;
    int64_t now_us = wp_clock_now(0).mono_us;
    double burst = (double)l->bytes_per_s * BURST_S;
    l->allowance += (double)l->bytes_per_s * (double)(now_us - l->refilled_us) /
                    WP_US_PER_S;
    l->allowance = MIN(l->allowance, burst);
    l->refilled_us = now_us;
    if (l->dropped > l->dropped_reported && l->pending->len < PENDING_MAX / 2) {
        g_autofree char *n = g_strdup_printf(
            "%lu", (unsigned long)(l->dropped - l->dropped_reported));
        l->dropped_reported = l->dropped;
        wp_log(l, WP_WARN, "log_dropped", "lines", n, (char *)NULL);
    }
    write_pending(l);
}

void wp_log_end(WPLog *l)
{
    if (!l->pending)
        return;
    wp_log_flush(l);
    g_string_free(l->pending, TRUE);
    l->pending = NULL;
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

static void add_timestamp(GString *out)
{
    int64_t ms = wp_clock_now(0).wall_ms;
    g_autoptr(GDateTime) t = g_date_time_new_from_unix_utc(ms / WP_MS_PER_S);
    g_autofree char *text = g_date_time_format(t, "%Y-%m-%dT%H:%M:%S");
    g_string_append_printf(out, "%s.%03dZ", text, (int)(ms % WP_MS_PER_S));
}

static void add_kv(GString *out, const WPLog *l, WPLevel level,
                   const char *event, va_list ap)
{
    const char *key;
    g_string_append(out, "time=");
    add_timestamp(out);
    g_string_append_printf(out, " level=%s box=%s event=%s", level_names[level],
                           l->box, event);
    while ((key = va_arg(ap, const char *)))
        add_pair(out, key, va_arg(ap, const char *));
}

static void add_json(GString *out, const WPLog *l, WPLevel level,
                     const char *event, va_list ap)
{
    const char *key;
    g_autoptr(GString) at = g_string_new(NULL);
    add_timestamp(at);
    json_t *o = json_pack("{s:s,s:s,s:s,s:s}", "time", at->str, "level",
                          level_names[level], "box", l->box, "event", event);
    while ((key = va_arg(ap, const char *)))
        json_object_set_new(o, key, json_string(va_arg(ap, const char *)));
    char *text = json_dumps(o, JSON_COMPACT);
    g_string_append(out, text);
    free(text);
    json_decref(o);
}

/* Whether a line of `n` bytes may be written, by the bound on buffered bytes
   and by the rate limit, which warnings and errors are exempt from. */
static bool allow(WPLog *l, WPLevel level, size_t n)
{
    if (!l->pending)
        return true;
    if (l->pending->len + n > PENDING_MAX)
        return false;
    if (!l->bytes_per_s || level > WP_INFO)
        return true;
    if (l->allowance < (double)n)
        return false;
    l->allowance -= (double)n;
    return true;
}

void wp_log(WPLog *l, WPLevel level, const char *event, ...)
{
    va_list ap;
    if (level < l->min_level)
        return;
    g_autoptr(GString) out = g_string_new(NULL);
    va_start(ap, event);
    if (l->json)
        add_json(out, l, level, event, ap);
    else
        add_kv(out, l, level, event, ap);
    va_end(ap);
    g_string_append_c(out, '\n');
    if (!allow(l, level, out->len)) {
        l->dropped++;
        return;
    }
    if (l->pending) {
        g_string_append_len(l->pending, out->str, (gssize)out->len);
        return;
    }
    ssize_t wrote = write(l->fd, out->str, out->len);
    (void)wrote; /* a fault here cannot be logged */
}
