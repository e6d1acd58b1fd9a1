/* Strict check of the heads of HTTP/1.1 messages (RFC 9112), of requests and of
 * answers: a head that two parsers could read differently is refused, as one of
 * them would find another message in the bytes. */
#ifndef WP_HEAD_CHECK_H
#define WP_HEAD_CHECK_H

#include "wp_base.h"

typedef enum WPHeadState {
    WP_HEAD_MORE,   /* needs more bytes */
    WP_HEAD_WHOLE,  /* the head ends with the line before `line_at` */
    WP_HEAD_INVALID /* see `fault` */
} WPHeadState;

/* Position in a head and what has been read of its framing. All fields but
   `is_request` begin as zero. */
typedef struct WPHeadCheck {
    bool is_request;
    size_t line_at; /* where the first line that is not complete begins */
    size_t scanned; /* bytes of that line in which no LF is */
    unsigned n_lines;
    int status; /* of an answer */
    bool is_http_1_0;
    unsigned n_lengths, n_encodings; /* fields that tell the body's length */
    uint64_t length;                 /* by Content-Length */
    const char *fault;               /* what is wrong, in words */
} WPHeadCheck;

/* Checks the head at the start of `text`, which at each call begins with the
   same bytes as before. */
WPHeadState wp_head_check(WPHeadCheck *c, WPStr text);

/* Whether answers with this status have no body, whatever their fields say. */
bool wp_status_is_bodiless(int status);

/* Whether `ch` may be in a field name. */
bool wp_is_token_byte(char ch);

#endif
