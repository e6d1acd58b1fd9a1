/* HTTP/1.1 messages on bufferevents, read by the packaged http_parser. evhttp
 * hides what the direct way needs to see: see docs/PLATFORM.md. */
#ifndef WP_H1_H
#define WP_H1_H

#include "wp_base.h"

#include <event2/buffer.h>
#include <http_parser.h>

typedef struct WPField {
    WPStr name, value;
} WPField;

/* The start line and header fields of one message. */
typedef struct WPHead {
    WPStr method, target; /* of a request */
    int status;           /* of an answer */
    const WPField *fields;
    size_t n_fields;
    bool keep_alive;
    bool until_close; /* the body ends with the connection */
} WPHead;

typedef enum WPH1State {
    WP_H1_MORE,  /* needs more bytes */
    WP_H1_WHOLE, /* one message has ended; what follows is left in place */
    WP_H1_BAD    /* no HTTP, or broken off */
} WPH1State;

typedef struct WPH1Ops {
    /* Returns false when no body follows, whatever the head says. */
    bool (*head)(void *arg, const WPHead *h);
    void (*body)(void *arg, const char *p, size_t n);
} WPH1Ops;

typedef struct WPH1 {
    http_parser parser;
    const WPH1Ops *ops;
    void *arg;
    GByteArray *text; /* start line and fields */
    GArray *spans;    /* of the fields in `text` */
    GArray *fields;   /* WPField */
    size_t target_n;
    bool in_value, has_head, whole;
} WPH1;

void wp_h1_init(WPH1 *h, bool requests, const WPH1Ops *ops, void *arg);
void wp_h1_end(WPH1 *h);

/* Makes ready for the next message. */
void wp_h1_reset(WPH1 *h);

/* Takes bytes off `in` until a message has ended. */
WPH1State wp_h1_feed(WPH1 *h, struct evbuffer *in);

/* The peer has closed: whether that ends the message well. */
WPH1State wp_h1_eof(WPH1 *h);

/* The value of a field, or an empty string; `n` is set to how many there
   are, unless it is NULL. Names do not depend on case. */
WPStr wp_head_get(const WPHead *h, const char *name, unsigned *n);

bool wp_field_is(const WPField *f, const char *name);

/* Whether the field concerns one connection only. */
bool wp_field_is_hop(const WPHead *h, const WPField *f);

/* The length of a whole head at the start of `in`, with its empty line; 0
   when it has not wholly come. */
size_t wp_h1_head_length(struct evbuffer *in);

/* Whether a head of `n` bytes has only proper line ends and no folded lines:
   what two readers could take apart differently is refused. */
bool wp_h1_head_is_strict(const char *p, size_t n);

#endif
