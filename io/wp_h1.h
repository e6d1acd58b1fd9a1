/* Parser of HTTP/1.1 messages from evbuffers, on top of the packaged
 * http_parser. evhttp hides what direct mode needs to see: see
 * docs/PLATFORM.md. */
#ifndef WP_H1_H
#define WP_H1_H

#include "wp_base.h"
#include "wp_chunked.h"
#include "wp_head_check.h"

#include <event2/buffer.h>
#include <http_parser.h>

typedef struct WPField {
    WPStr name, value;
} WPField;

/* The start line and header fields of one message. */
typedef struct WPHead {
    WPStr method, target; /* of a request */
    int status;           /* of a response */
    const WPField *fields;
    size_t n_fields;
    bool keep_alive;
    bool until_close; /* the body ends with the connection */
} WPHead;

typedef enum WPH1State {
    WP_H1_MORE,     /* needs more bytes */
    WP_H1_COMPLETE, /* one message has ended; the bytes after it are left in the
                       buffer */
    WP_H1_ERROR     /* not valid HTTP, or truncated; see WPH1.fault */
} WPH1State;

typedef struct WPH1Ops {
    /* The head is parsed. Returns false if no body follows, whatever the head
       says. */
    bool (*head)(void *arg, const WPHead *h);
    /* The next `n` bytes of the body. */
    void (*body)(void *arg, const char *p, size_t n);
} WPH1Ops;

typedef struct WPH1 {
    http_parser parser;
    const WPH1Ops *ops;
    void *arg;
    GByteArray *text;     /* request target, field names and values */
    GArray *spans;        /* offsets of the fields in `text` */
    GArray *fields;       /* WPField */
    size_t target_length; /* bytes of the request target in `text` */
    bool in_value, has_head, complete;
    bool chunked;     /* the body is chunked */
    bool head_paused; /* the parser still needs the last byte of the head */
    WPChunked framing;
    size_t head_max_bytes; /* of a head with its empty line */
    WPHeadCheck check;     /* of the head, until it is parsed */
    /* what is not valid, in words; NULL: the message is truncated or valid so
       far */
    const char *fault;
    bool head_too_large; /* the fault is over head_max_bytes */
} WPH1;

enum { WP_H1_HEAD_MAX_BYTES = 64 << 10 }; /* the default limit of heads */

/* Initializes a parser of requests or of responses; `ops` are called with
   `arg`. */
void wp_h1_init(WPH1 *h, bool requests, const WPH1Ops *ops, void *arg);

/* Frees what `h` owns, but not `h` itself. */
void wp_h1_end(WPH1 *h);

/* Prepares for the next message; the head of the last one becomes invalid. */
void wp_h1_reset(WPH1 *h);

/* Whether the sender of the request whose head has been parsed knows chunked
   encoding: HTTP/1.0 does not have it. */
bool wp_h1_takes_chunks(const WPH1 *h);

/* Consumes bytes from `in` until a message has ended, and calls the ops. */
WPH1State wp_h1_feed(WPH1 *h, struct evbuffer *in);

/* To be called when the peer has closed the connection. Returns WP_H1_COMPLETE
   if this ends the message properly, else WP_H1_ERROR. */
WPH1State wp_h1_eof(WPH1 *h);

/* Returns the value of the first field with this name, or an empty string. `n`,
   unless NULL, is set to the number of such fields. Case is ignored. */
WPStr wp_head_get(const WPHead *h, const char *name, unsigned *n);

/* Returns whether the field has this name; case is ignored. */
bool wp_field_has_name(const WPField *f, const char *name);

/* Returns whether the field has one of the `n` names. */
bool wp_field_is_one_of(const WPField *f, const char *const *names, size_t n);

/* Returns whether the field is hop-by-hop: it concerns one connection only and
   must not be forwarded. */
bool wp_field_is_hop_by_hop(const WPHead *h, const WPField *f);

#endif
