/* What endpoints say of themselves. */
#define _GNU_SOURCE /* strptime */
#include "wp_notice.h"

#include <time.h>

enum { DATE_MOST = 64 /* bytes of a date */ };

/* A date as HTTP writes it ("Sun, 06 Nov 1994 08:49:37 GMT"); false when it is
   none. */
static bool read_date(WPStr s, int64_t *unix_ms)
{
    char text[DATE_MOST];
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

WPNoticeField wp_notice_read_leaving(WPStr text, unsigned times)
{
    bool so = times == 1 && wp_str_eq(wp_str_trim(text), wp_str("1"));
    if (!times)
        return (WPNoticeField){ 0 };
    return (WPNoticeField){ .said = so ? WP_NOTICE_GIVEN : WP_NOTICE_BAD };
}

WPNoticeField wp_notice_read_rest(WPStr text, unsigned times, WPTime now)
{
    WPNoticeField f = { .said = WP_NOTICE_GIVEN };
    WPStr s = wp_str_trim(text);
    int64_t unix_ms;
    if (!times)
        return (WPNoticeField){ 0 };
    if (times == 1 && wp_str_decimal(s, &f.rest_s))
        return f;
    if (times == 1 && read_date(s, &unix_ms)) {
        f.rest_s = MAX((double)(unix_ms - now.wall_ms) / WP_MS_PER_S, 0);
        return f;
    }
    return (WPNoticeField){ .said = WP_NOTICE_BAD };
}
