/* Bytes without end in the place of an answer. */
#include "endless.h"

#include "wp_base.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

enum { REFILL_BYTES = 64 << 10 };

/* The bytes after "HTTP/1.1 200 OK" and the fields, and what follows them
   without end. */
static const struct Kind {
    const char *name, *begin, *filler;
} kinds[] = {
    { "event", "\r\nid: 1\ndata: ", "x" },
    { "comments", "\r\n", ": c\n\n" },
    { "head", "X-A: ", "x" },
    { "body", "\r\n", "x" },
    { "chunk", "Transfer-Encoding: chunked\r\n\r\n1;a=", "x" },
    { "interim", NULL, "HTTP/1.1 100 Continue\r\n\r\n" },
};

typedef struct Answer {
    struct evhttp_connection *con;
    const struct Kind *kind;
} Answer;

static void on_event(struct bufferevent *bev, short what, void *arg)
{
    Answer *a = arg;
    (void)bev;
    (void)what;
    evhttp_connection_free(a->con);
    g_free(a);
}

static void refill(struct bufferevent *bev, void *arg)
{
    const char *filler = ((Answer *)arg)->kind->filler;
    size_t n = strlen(filler);
    struct evbuffer *out = bufferevent_get_output(bev);
    for (size_t sent = 0; sent < REFILL_BYTES; sent += n)
        evbuffer_add(out, filler, n);
}

static const struct Kind *find(const char *name)
{
    for (size_t i = 0; i < WP_COUNT(kinds); i++)
        if (!strcmp(kinds[i].name, name))
            return &kinds[i];
    return &kinds[0];
}

void endless_answer(struct evhttp_request *r, const char *kind,
                    const char *fields)
{
    Answer *a = g_new0(Answer, 1);
    a->con = evhttp_request_get_connection(r);
    a->kind = find(kind);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(a->con);
    bufferevent_setcb(bev, NULL, refill, on_event, a);
    bufferevent_setwatermark(bev, EV_WRITE, 0, 0);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    if (a->kind->begin)
        evbuffer_add_printf(bufferevent_get_output(bev),
                            "HTTP/1.1 200 OK\r\n%s%s", fields, a->kind->begin);
    refill(bev, a);
}
