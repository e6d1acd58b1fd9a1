/* Strict check of the framing of chunked bodies. */
#include "wp_chunked.h"
#include "wp_head_check.h"

enum { DIGITS_MAX = 15 }; /* the size fits into 64 bits */

static bool is_text(char ch)
{
    return ch == '\t' || !g_ascii_iscntrl(ch);
}

static bool go(WPChunked *c, WPChunkedState next)
{
    c->state = next;
    return true;
}

/* Accepts `expected` only. */
static bool need(WPChunked *c, char ch, char expected, WPChunkedState next)
{
    return ch == expected && go(c, next);
}

static bool digit(WPChunked *c, char ch)
{
    if (!g_ascii_isxdigit(ch) || ++c->n_digits > DIGITS_MAX)
        return false;
    c->left = c->left * 16 + (uint64_t)g_ascii_xdigit_value(ch);
    return go(c, WP_CHUNKED_DIGITS);
}

/* A byte after the size: of white space, an extension or the line's end. */
static bool after_size(WPChunked *c, char ch)
{
    if (ch == '\r')
        return go(c, WP_CHUNKED_SIZE_LF);
    if (ch == ';')
        return go(c, WP_CHUNKED_EXTENSION);
    return (ch == ' ' || ch == '\t') && go(c, WP_CHUNKED_SPACE);
}

static bool end_of_size(WPChunked *c, char ch)
{
    c->n_digits = 0;
    return need(c, ch, '\n', c->left ? WP_CHUNKED_DATA : WP_CHUNKED_LINE);
}

/* The first byte of a trailer line or of the empty line. */
static bool line_start(WPChunked *c, char ch)
{
    if (ch == '\r')
        return go(c, WP_CHUNKED_END_LF);
    return wp_is_token_byte(ch) && go(c, WP_CHUNKED_TRAILER_NAME);
}

static bool trailer_name(WPChunked *c, char ch)
{
    return wp_is_token_byte(ch) || need(c, ch, ':', WP_CHUNKED_TRAILER);
}

/* A byte of a line whose content is not interpreted. */
static bool text(WPChunked *c, char ch, WPChunkedState line_end)
{
    return is_text(ch) || need(c, ch, '\r', line_end);
}

/* Checks one byte that is not of a chunk's data. */
static bool check_byte(WPChunked *c, char ch)
{
    switch (c->state) {
    case WP_CHUNKED_SIZE:
        return digit(c, ch);
    case WP_CHUNKED_DIGITS:
        return g_ascii_isxdigit(ch) ? digit(c, ch) : after_size(c, ch);
    case WP_CHUNKED_SPACE:
        return after_size(c, ch);
    case WP_CHUNKED_EXTENSION:
        return text(c, ch, WP_CHUNKED_SIZE_LF);
    case WP_CHUNKED_SIZE_LF:
        return end_of_size(c, ch);
    case WP_CHUNKED_DATA_CR:
        return need(c, ch, '\r', WP_CHUNKED_DATA_LF);
    case WP_CHUNKED_DATA_LF:
        return need(c, ch, '\n', WP_CHUNKED_SIZE);
    case WP_CHUNKED_LINE:
        return line_start(c, ch);
    case WP_CHUNKED_TRAILER_NAME:
        return trailer_name(c, ch);
    case WP_CHUNKED_TRAILER:
        return text(c, ch, WP_CHUNKED_TRAILER_LF);
    case WP_CHUNKED_TRAILER_LF:
        return need(c, ch, '\n', WP_CHUNKED_LINE);
    case WP_CHUNKED_END_LF:
        return need(c, ch, '\n', WP_CHUNKED_END);
    case WP_CHUNKED_DATA:
    case WP_CHUNKED_END:
        break;
    }
    return true;
}

bool wp_chunked_check(WPChunked *c, const char *p, size_t n)
{
    size_t at = 0;
    while (at < n && c->state != WP_CHUNKED_END) {
        if (c->state == WP_CHUNKED_DATA) {
            size_t data = (size_t)MIN(c->left, n - at);
            at += data;
            c->left -= data;
            if (!c->left)
                c->state = WP_CHUNKED_DATA_CR;
        } else if (!check_byte(c, p[at++])) {
            return false;
        }
    }
    return true;
}
