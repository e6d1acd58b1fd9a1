/* Parses the notices in endpoints' answers. */
#define _GNU_SOURCE /* strptime */
#include "wp_notice.h"

#include <time.h>

enum {
    DATE_MAX = 64, /* bytes of an HTTP date, with the final zero byte */
    LOAD_FIGURES_MIN = 3
};

/* Parses an HTTP date ("Sun, 06 Nov 1994 08:49:37 GMT") into Unix milliseconds.
   Returns false if `s` is not one. */
static bool parse_date(WPStr s, int64_t *unix_ms)
{
    char text[DATE_MAX];
    struct tm t = { 0 };
    if (s.n >= sizeof(text))
        return false;
    memcpy(text, s.p, s.n);
    text[s.n] = '\0';
    const char *end = strptime(text, "%a, %d %b %Y %H:%M:%S GMT", &t);
    if (!end || *end)
        return false;
    *unix_ms = (int64_t)timegm(&t) * WP_MS_PER_S;
    return true;
}

WPNoticeField wp_notice_read_draining(WPStr text, unsigned times)
{
    bool valid = times == 1 && wp_str_eq(wp_str_trim(text), wp_str("1"));
    if (!times)
        return (WPNoticeField){ 0 };
    return (WPNoticeField){ .status =
                                valid ? WP_NOTICE_PRESENT : WP_NOTICE_INVALID };
}

WPNoticeField wp_notice_read_backoff(WPStr text, unsigned times, WPTime now)
{
    WPNoticeField f = { .status = WP_NOTICE_PRESENT };
    WPStr s = wp_str_trim(text);
    int64_t unix_ms;
    if (!times)
        return (WPNoticeField){ 0 };
    if (times == 1 && wp_str_decimal(s, &f.backoff_s))
        return f;
    if (times == 1 && parse_date(s, &unix_ms)) {
        f.backoff_s = MAX((double)(unix_ms - now.wall_ms) / WP_MS_PER_S, 0);
        return f;
    }
    return (WPNoticeField){ .status = WP_NOTICE_INVALID };
}

static bool cut_number(WPStr *rest, uint32_t *out)
{
    uint64_t v;
    if (!wp_str_uint(wp_str_trim(wp_str_cut(rest, ',')), &v))
        return false;
    *out = (uint32_t)MIN(v, UINT32_MAX);
    return true;
}

WPNoticeStatus wp_notice_read_load(WPStr text, unsigned times,
                                   WPLoadReport *out)
{
    WPLoadReport v = { 0 };
    uint32_t *const figures[] = { &v.running, &v.waiting, &v.slots,
                                  &v.slowdown };
    unsigned n = 0;
    bool valid = times == 1, more = true;
    for (; valid && more && n < WP_COUNT(figures); n++) {
        more = memchr(text.p, ',', text.n) != NULL;
        valid = cut_number(&text, figures[n]);
    }
    valid = valid && n >= LOAD_FIGURES_MIN;
    *out = valid ? v : (WPLoadReport){ 0 };
    if (!times)
        return WP_NOTICE_NONE;
    return valid ? WP_NOTICE_PRESENT : WP_NOTICE_INVALID;
}
