/* String parsing, hashing and UUID generation. */
#include "wp_base.h"

#include <math.h>
#include <stdio.h>
#include <xxhash.h>

WPStr wp_str_cut(WPStr *s, char sep)
{
    const char *e = memchr(s->p, sep, s->n);
    WPStr head = *s;
    if (!e) {
        s->p += s->n;
        s->n = 0;
        return head;
    }
    head.n = (size_t)(e - s->p);
    s->n -= head.n + 1;
    s->p = e + 1;
    return head;
}

WPStr wp_str_trim(WPStr s)
{
    while (s.n && g_ascii_isspace(s.p[0])) {
        s.p++;
        s.n--;
    }
    while (s.n && g_ascii_isspace(s.p[s.n - 1]))
        s.n--;
    return s;
}

const char *wp_skip_prefix(const char *s, const char *prefix)
{
    return g_str_has_prefix(s, prefix) ? s + strlen(prefix) : NULL;
}

enum { DIGITS_MAX = 18 }; /* in a number that the parsers accept */

bool wp_str_uint(WPStr s, uint64_t *out)
{
    uint64_t v = 0;
    if (!s.n || s.n > DIGITS_MAX)
        return false;
    for (size_t i = 0; i < s.n; i++) {
        if (!g_ascii_isdigit(s.p[i]))
            return false;
        v = v * 10 + (uint64_t)(s.p[i] - '0');
    }
    *out = v;
    return true;
}

/* Rejects what strtod() would accept as well: signs, exponents and "nan". */
static bool is_decimal(WPStr s)
{
    unsigned digits = 0, points = 0;
    for (size_t i = 0; i < s.n; i++) {
        digits += g_ascii_isdigit(s.p[i]);
        points += s.p[i] == '.';
    }
    return digits && digits <= DIGITS_MAX && points <= 1 &&
           digits + points == s.n;
}

bool wp_str_decimal(WPStr s, double *out)
{
    if (!is_decimal(s))
        return false;
    g_autofree char *number = g_strndup(s.p, s.n);
    *out = g_ascii_strtod(number, NULL);
    return true;
}

uint64_t wp_hash(WPStr s, uint64_t seed)
{
    return XXH64(s.p, s.n, seed);
}

double wp_hash_unit(WPStr s, uint64_t seed)
{
    /* 53 bits, shifted off zero by half a step so that log() is finite. */
    return ((double)(wp_hash(s, seed) >> 11) + 0.5) / 9007199254740992.0;
}

double wp_rendezvous(WPStr candidate, uint64_t key, double weight)
{
    return -weight / log(wp_hash_unit(candidate, key));
}

uint64_t wp_uuid7_ms(WPStr s)
{
    uint64_t ms = 0;
    if (s.n != 36 || s.p[14] != '7' || s.p[8] != '-' || s.p[13] != '-')
        return 0;
    for (int i = 0; i < 13; i++) {
        if (i == 8)
            continue;
        int d = g_ascii_xdigit_value(s.p[i]);
        if (d < 0)
            return 0;
        ms = ms << 4 | (uint64_t)d;
    }
    return ms;
}

void wp_uuid7(char *out, uint64_t wall_ms, GRand *rand)
{
    uint32_t a = g_rand_int(rand);
    uint32_t b = g_rand_int(rand);
    uint32_t c = g_rand_int(rand);
    snprintf(out, 37, "%08x-%04x-7%03x-%04x-%04x%08x",
             (unsigned)(wall_ms >> 16), (unsigned)(wall_ms & 0xffff), a & 0xfff,
             0x8000 | (a >> 12 & 0x3fff), b & 0xffff, c);
}

size_t wp_array_capacity(size_t length)
{
    size_t n = length ? 16 : 0;
    while (n < length)
        n *= 2;
    return n;
}

void wp_array_clear(GByteArray **a)
{
    if ((*a)->len <= WP_ARRAY_KEEP_BYTES) {
        g_byte_array_set_size(*a, 0);
        return;
    }
    g_byte_array_unref(*a);
    *a = g_byte_array_new();
}
