/* HTTP client and response helpers over evhttp. */
#include "wp_http.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>

typedef struct Call Call;

struct WPHttp {
    struct event_base *base;
    struct evhttp_connection *con;
    char *host;
    uint16_t port;
    int timeout_ms;
    WPList calls;
    Call *current; /* whose `done` is being called; NULL: none */
};

struct Call {
    WPList link;
    WPHttp *owner;
    struct evhttp_request *response; /* NULL: none */
    WPHttpDone done;
    GDestroyNotify drop; /* called in place of `done` to free `arg`; or NULL */
    void *arg;
};

bool wp_http_parse_target(const char *target, char **host, uint16_t *port)
{
    const char *colon = strrchr(target, ':');
    char *end;
    if (!colon || colon == target)
        return false;
    unsigned long p = strtoul(colon + 1, &end, 10);
    if (*end || !p || p > UINT16_MAX)
        return false;
    *host = g_strndup(target, (gsize)(colon - target));
    *port = (uint16_t)p;
    return true;
}

WPHttp *wp_http_new(struct event_base *base, const char *target, int timeout_ms)
{
    WPHttp *h = g_new0(WPHttp, 1);
    h->base = base;
    h->timeout_ms = timeout_ms;
    wp_list_init(&h->calls);
    if (!wp_http_parse_target(target, &h->host, &h->port)) {
        g_free(h);
        return NULL;
    }
    return h;
}

/* A connection that is no longer used, and its calls in flight. */
typedef struct Retired {
    struct evhttp_connection *con;
    WPList calls;
} Retired;

/* Frees a retired connection. evhttp does not report the calls of a connection
   that is freed, so their `done` is called here. */
static void free_retired(evutil_socket_t fd, short what, void *arg)
{
    Retired *old = arg;
    (void)fd;
    (void)what;
    evhttp_connection_free(old->con);
    wp_list_each_safe (it, tmp, &old->calls) {
        Call *c = wp_list_item(it, Call, link);
        wp_list_remove(it);
        c->done(c->arg, 0, wp_str(""));
        g_free(c);
    }
    g_free(old);
}

/* The connection is freed later, from the event loop, as this function may be
   called from within a callback of that connection. */
void wp_http_reconnect(WPHttp *h)
{
    const struct timeval at_once = { 0, 0 };
    if (!h->con)
        return;
    Retired *old = g_new0(Retired, 1);
    old->con = h->con;
    wp_list_init(&old->calls);
    wp_list_each_safe (it, tmp, &h->calls) {
        wp_list_remove(it);
        wp_list_append(&old->calls, it);
    }
    h->con = NULL;
    event_base_once(h->base, -1, EV_TIMEOUT, free_retired, old, &at_once);
}

const char *wp_http_response_header(const WPHttp *h, const char *name)
{
    struct evhttp_request *r = h->current ? h->current->response : NULL;
    return r ? wp_http_header(r, name) : NULL;
}

bool wp_http_is_busy(const WPHttp *h)
{
    return !wp_list_empty(&h->calls);
}

static void drop_call(Call *c)
{
    wp_list_remove(&c->link);
    if (c->drop)
        c->drop(c->arg);
    g_free(c);
}

void wp_http_free(WPHttp *h)
{
    if (!h)
        return;
    /* evhttp may report the end of some calls while their connection is freed;
       without an owner they are dropped. */
    wp_list_each (it, &h->calls)
        wp_list_item(it, Call, link)->owner = NULL;
    if (h->current)
        h->current->owner = NULL;
    if (h->con)
        evhttp_connection_free(h->con);
    wp_list_each_safe (it, tmp, &h->calls)
        drop_call(wp_list_item(it, Call, link));
    g_free(h->host);
    g_free(h);
}

/* Passes the response to the caller's function, with status 0 if there is none.
   If the client was freed meanwhile, drops the call. */
static void on_response(struct evhttp_request *r, void *arg)
{
    Call *c = arg;
    int status = r ? evhttp_request_get_response_code(r) : 0;
    WPStr body = wp_str("");
    if (r) {
        struct evbuffer *in = evhttp_request_get_input_buffer(r);
        size_t n = evbuffer_get_length(in);
        body = wp_strn((const char *)evbuffer_pullup(in, -1), n);
    }
    if (!c->owner) {
        drop_call(c);
        return;
    }
    wp_list_remove(&c->link);
    c->response = r;
    c->owner->current = c;
    c->done(c->arg, status, body);
    if (c->owner)
        c->owner->current = NULL;
    g_free(c);
}

static struct evhttp_connection *get_connection(WPHttp *h)
{
    struct timeval limit = { h->timeout_ms / WP_MS_PER_S,
                             h->timeout_ms % WP_MS_PER_S * WP_US_PER_MS };
    if (!h->con) {
        h->con = evhttp_connection_base_new(h->base, NULL, h->host, h->port);
        evhttp_connection_set_timeout_tv(h->con, &limit);
    }
    return h->con;
}

void wp_http_call(WPHttp *h, const char *path, const char *body,
                  WPHttpDone done, GDestroyNotify drop, void *arg)
{
    wp_http_call_with_fields(h, path, NULL, 0, body, done, drop, arg);
}

void wp_http_call_with_fields(WPHttp *h, const char *path,
                              const WPHttpField *fields, size_t n_fields,
                              const char *body, WPHttpDone done,
                              GDestroyNotify drop, void *arg)
{
    Call *c = g_new0(Call, 1);
    struct evhttp_request *r = evhttp_request_new(on_response, c);
    struct evkeyvalq *head = evhttp_request_get_output_headers(r);
    c->owner = h;
    c->done = done;
    c->drop = drop;
    c->arg = arg;
    wp_list_append(&h->calls, &c->link);
    evhttp_add_header(head, "Host", h->host);
    for (size_t i = 0; i < n_fields; i++)
        evhttp_add_header(head, fields[i].name, fields[i].value);
    if (body) {
        evhttp_add_header(head, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(r), body, strlen(body));
    }
    evhttp_make_request(get_connection(h), r,
                        body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path);
}

/* TCP_NODELAY is set on the listener; accepted connections inherit it. */
bool wp_http_listen(struct evhttp *http, const char *addr, uint16_t port)
{
    int one = 1;
    struct evhttp_bound_socket *s =
        evhttp_bind_socket_with_handle(http, addr, port);
    if (!s)
        return false;
    setsockopt(evhttp_bound_socket_get_fd(s), IPPROTO_TCP, TCP_NODELAY, &one,
               sizeof(one));
    return true;
}

void wp_http_reply_text(struct evhttp_request *r, int status, const char *type,
                        WPStr body)
{
    struct evbuffer *b = evbuffer_new();
    evbuffer_add(b, body.p, body.n);
    evhttp_add_header(evhttp_request_get_output_headers(r), "Content-Type",
                      type);
    evhttp_send_reply(r, status, NULL, b);
    evbuffer_free(b);
}

void wp_http_reply_json(struct evhttp_request *r, int status, json_t *o)
{
    char *text = json_dumps(o, JSON_COMPACT);
    wp_http_reply_text(r, status, "application/json", wp_str(text));
    free(text);
    json_decref(o);
}

char *wp_http_query_param(struct evhttp_request *r, const char *name)
{
    struct evkeyvalq q;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(r);
    const char *text = evhttp_uri_get_query(uri);
    if (!text || evhttp_parse_query_str(text, &q))
        return NULL;
    char *value = g_strdup(evhttp_find_header(&q, name));
    evhttp_clear_headers(&q);
    return value;
}

json_t *wp_http_body_json(struct evhttp_request *r)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(r);
    size_t n = evbuffer_get_length(in);
    const char *p = (const char *)evbuffer_pullup(in, -1);
    return n ? json_loadb(p, n, 0, NULL) : NULL;
}

const char *wp_http_header(struct evhttp_request *r, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(r), name);
}
