/* What endpoints say of the requests that they take. */
#include "wp_limit.h"

enum { DIGITS_MOST = 18 }; /* of a number that is taken */

/* Digits with at most one point among them, and nothing else: what else
   strtod() takes (signs, exponents, "nan") is no decimal number. */
static bool is_decimal(WPStr s)
{
    unsigned digits = 0, points = 0;
    for (size_t i = 0; i < s.n; i++) {
        digits += g_ascii_isdigit(s.p[i]);
        points += s.p[i] == '.';
    }
    return digits && digits <= DIGITS_MOST && points <= 1 &&
           digits + points == s.n;
}

WPLimitField wp_limit_read(WPStr text, unsigned times)
{
    WPLimitField f = { WP_LIMIT_NONE, 0 };
    WPStr s = wp_str_trim(text);
    if (!times)
        return f;
    f.said = WP_LIMIT_BAD;
    if (times > 1 || !is_decimal(s))
        return f;
    g_autofree char *number = g_strndup(s.p, s.n);
    double per_s = g_ascii_strtod(number, NULL);
    if (per_s > 0)
        f = (WPLimitField){ WP_LIMIT_NAMED, per_s };
    return f;
}
