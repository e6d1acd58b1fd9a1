/* Strict check of the heads of HTTP/1.1 messages. */
#include "wp_head_check.h"

#define VERSION_PREFIX "HTTP/1."

enum {
    STATUS_AT = 9,   /* offset of the status in "HTTP/1.1 200 OK" */
    STATUS_END = 12, /* of the space after it */
    STATUS_MIN = 100,
    STATUS_MAX = 599
};

bool wp_status_is_bodiless(int status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

bool wp_is_token_byte(char ch)
{
    return g_ascii_isalnum(ch) || (ch && strchr("!#$%&'*+-.^_`|~", ch));
}

/* Whether `line` has no control characters, tabs aside if `tabs`. */
static bool is_text(WPStr line, bool tabs)
{
    for (size_t i = 0; i < line.n; i++)
        if (g_ascii_iscntrl(line.p[i]) && !(tabs && line.p[i] == '\t'))
            return false;
    return true;
}

static const char *check_request_line(WPHeadCheck *c, WPStr line)
{
    static const char old[] = " " VERSION_PREFIX "0";
    size_t n = strlen(old);
    c->is_http_1_0 = line.n > n && !memcmp(line.p + line.n - n, old, n);
    return line.n && is_text(line, false) ? NULL : "malformed request line";
}

/* The version is HTTP/1.0 or 1.1, the status has three digits. */
static const char *check_status_line(WPHeadCheck *c, WPStr line)
{
    uint64_t status;
    if (line.n <= STATUS_END || line.p[STATUS_AT - 1] != ' ' ||
        line.p[STATUS_END] != ' ' || !is_text(line, true))
        return "malformed status line";
    char minor = line.p[strlen(VERSION_PREFIX)];
    if (minor != '0' && minor != '1')
        return "unknown version";
    if (!wp_str_uint(wp_strn(line.p + STATUS_AT, STATUS_END - STATUS_AT),
                     &status) ||
        status < STATUS_MIN || status > STATUS_MAX)
        return "malformed status";
    c->is_http_1_0 = minor == '0';
    c->status = (int)status;
    return NULL;
}

static bool has_name(WPStr name, const char *expected)
{
    size_t n = strlen(expected);
    return name.n == n && !g_ascii_strncasecmp(name.p, expected, n);
}

/* Notes a field that tells the length of the body. */
static const char *check_framing_field(WPHeadCheck *c, WPStr name, WPStr value)
{
    if (has_name(name, "Content-Length")) {
        c->n_lengths++;
        return wp_str_uint(value, &c->length) ? NULL : "malformed length";
    }
    if (!has_name(name, "Transfer-Encoding"))
        return NULL;
    c->n_encodings++;
    return has_name(value, "chunked") ? NULL : "unknown transfer encoding";
}

static const char *check_field(WPHeadCheck *c, WPStr line)
{
    size_t n = 0;
    while (n < line.n && wp_is_token_byte(line.p[n]))
        n++;
    if (!n || n == line.n || line.p[n] != ':')
        return "malformed field name";
    if (!is_text(line, true))
        return "control character in a field";
    WPStr value = wp_str_trim(wp_strn(line.p + n + 1, line.n - n - 1));
    return check_framing_field(c, wp_strn(line.p, n), value);
}

/* The head is complete: checks that it tells one length of the body. */
static const char *check_framing(const WPHeadCheck *c)
{
    bool never_has_body = wp_status_is_bodiless(c->status) && c->status != 304;
    if (c->n_encodings > 1)
        return "unknown transfer encoding";
    if (c->n_lengths + c->n_encodings > 1)
        return "more than one length";
    if (c->n_encodings && c->is_http_1_0)
        return "transfer encoding in HTTP/1.0";
    if (c->is_request)
        return NULL;
    if (c->status == 101)
        return "protocol switch that was not asked for";
    return never_has_body && (c->n_encodings || c->length)
               ? "body of a status that has none"
               : NULL;
}

static const char *check_line(WPHeadCheck *c, WPStr line)
{
    if (c->n_lines++)
        return check_field(c, line);
    return c->is_request ? check_request_line(c, line)
                         : check_status_line(c, line);
}

/* Whether an answer begins with other bytes than a status line does. */
static bool is_no_answer(const WPHeadCheck *c, WPStr text)
{
    size_t n = MIN(text.n, strlen(VERSION_PREFIX));
    return !c->is_request && memcmp(text.p, VERSION_PREFIX, n) != 0;
}

/* Checks the line that ends at `lf`. Returns whether the head goes on. */
static bool take_line(WPHeadCheck *c, WPStr text, const char *lf)
{
    const char *p = text.p + c->line_at;
    size_t n = (size_t)(lf - p);
    c->line_at += n + 1;
    c->scanned = 0;
    if (!n || p[n - 1] != '\r') {
        c->fault = "line end without CR";
        return false;
    }
    bool is_end = n == 1 && c->n_lines;
    c->fault = is_end ? check_framing(c) : check_line(c, wp_strn(p, n - 1));
    return !is_end && !c->fault;
}

WPHeadState wp_head_check(WPHeadCheck *c, WPStr text)
{
    bool goes_on = true;
    if (is_no_answer(c, text)) {
        c->fault = "no HTTP answer";
        return WP_HEAD_INVALID;
    }
    while (goes_on) {
        size_t from = c->line_at + c->scanned;
        const char *lf = memchr(text.p + from, '\n', text.n - from);
        if (!lf) {
            c->scanned = text.n - c->line_at;
            return WP_HEAD_MORE;
        }
        goes_on = take_line(c, text, lf);
    }
    return c->fault ? WP_HEAD_INVALID : WP_HEAD_WHOLE;
}
