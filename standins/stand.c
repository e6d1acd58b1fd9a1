/* wpstand: runs one stand-in, the one that the setting `kind` names. */
#include "stand.h"
#include "daemon.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <signal.h>

void stand_set_number(const json_t *j, const char *name, double *out)
{
    const json_t *v = json_object_get(j, name);
    if (json_is_number(v))
        *out = json_number_value(v);
}

void stand_set_bool(const json_t *j, const char *name, bool *out)
{
    const json_t *v = json_object_get(j, name);
    if (json_is_boolean(v))
        *out = json_is_true(v);
}

void stand_set_text(const json_t *j, const char *name, char **out)
{
    const json_t *v = json_object_get(j, name);
    if (!v)
        return;
    g_free(*out);
    *out = g_strdup(json_string_value(v));
}

void stand_close_connection(struct evhttp_request *r)
{
    evhttp_connection_free(evhttp_request_get_connection(r));
}

static void close_when_sent(struct bufferevent *bev, void *arg)
{
    (void)bev;
    evhttp_connection_free(arg);
}

static void close_on_event(struct bufferevent *bev, short what, void *arg)
{
    (void)what;
    close_when_sent(bev, arg);
}

void stand_answer_raw(struct evhttp_request *r, const char *text)
{
    struct evhttp_connection *con = evhttp_request_get_connection(r);
    struct bufferevent *bev = evhttp_connection_get_bufferevent(con);
    bufferevent_setcb(bev, NULL, close_when_sent, close_on_event, con);
    bufferevent_setwatermark(bev, EV_WRITE, 0, 0);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    evbuffer_add(bufferevent_get_output(bev), text, strlen(text));
}

const char *stand_path(struct evhttp_request *r)
{
    const char *p = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
    return p ? p : "/";
}

#ifdef __SANITIZE_ADDRESS__
/* No leak check: a stand-in's state is never freed. */
const char *__asan_default_options(void);

const char *__asan_default_options(void)
{
    return "detect_leaks=0";
}
#endif

static void on_term(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    event_base_loopbreak(arg);
}

typedef void (*OpenFn)(struct event_base *, struct evhttp *,
                       const Wp__StandSettings *);

static OpenFn kind_of(const char *name)
{
    static const struct {
        const char *name;
        OpenFn open;
    } rows[] = { { "kv", stand_kv },           { "engine", stand_engine },
                 { "service", stand_service }, { "boxes", stand_boxes },
                 { "ratings", stand_ratings }, { "pstore", stand_pstore },
                 { "replica", stand_replica } };
    for (size_t i = 0; i < WP_COUNT(rows); i++)
        if (!strcmp(rows[i].name, name))
            return rows[i].open;
    return NULL;
}

int main(int argc, char **argv)
{
    int code;
    Wp__StandSettings *s = daemon_load_settings(
        argc, argv, "Stands in for one of the platform's services.",
        &wp__stand_settings__descriptor, NULL, &code);
    if (!s)
        return code;
    signal(SIGPIPE, SIG_IGN);
    struct event_base *base = event_base_new();
    struct evhttp *http = evhttp_new(base);
    struct event *term = evsignal_new(base, SIGTERM, on_term, base);
    OpenFn open = kind_of(s->kind);
    event_add(term, NULL);
    if (open && wp_http_listen(http, s->listen, (uint16_t)s->port)) {
        open(base, http, s);
        event_base_dispatch(base);
        code = EXIT_OK;
    } else {
        fprintf(stderr, "wpstand: kind %s, port %u: cannot start\n", s->kind,
                s->port);
        code = EXIT_BAD_INPUT;
    }
    evhttp_free(http);
    event_free(term);
    event_base_free(base);
    wp_pb_free(s);
    return code;
}
