/* Stand-in for one endpoint of the users' platform: answers with its seal,
 * streams events and reports its load. It registers itself in the store's
 * stand-in.
 *
 * Faults are set on /control:
 *   fail, refuse, cut, mute: shares of requests that get status 500, are
 *     refused (503), have their connection closed (a stream halfway), or get
 *     no response;
 *   until_close: share of responses with neither a length nor chunks, which end
 *     with their connections; a stream that is cut then ends inside an event;
 *   delay_ms: time before a response; confidence; events: events per stream;
 *   draining: sets the state "draining" in its registry entry;
 *   limit: text of the response field that sets a rate limit in requests per
 *     second, sent unchanged (empty: no field; "|" separates two fields). From
 *     the first one on each arrival is logged: "ARRIVED LIMIT MS ID";
 *   leaving: text of the response field that announces draining, likewise;
 *   rest: text of the Retry-After field; all requests are refused while set;
 *   rest_ms: refuses all requests for so long from now on, with the time left
 *     in the Retry-After field;
 *   endless: sends bytes without end as the answer to each request; the kinds
 *     are those of endless.h (empty: no such fault);
 *   raw: sends this text, unchanged but for "{fields}", as the answer to each
 *     request, and closes the connection; "{fields}" stands for the fields with
 *     the request's id and the seal (empty: no such fault);
 *   answer_bytes: size of the body of answers that are not streamed;
 *   event_bytes: size of an event's data, at least;
 *   noting: logs each arrival, "CAME - MS ID REQUEST", and what its response
 *     announces: "TOLD leaving MS ID REQUEST", "TOLD SECONDS MS ID REQUEST".
 * Faults of a bad version:
 *   fail: limited to paths that begin with fail_path, and to times when at
 *     least fail_running requests run;
 *   slow: share of requests that take slow_ms longer, with ten times the time
 *     between events.
 *
 * A request whose body begins with "crash" ends the process that runs it, a
 * stream after its first event: "BAD BODY MS ID" is logged when the request
 * arrives, "CRASH BODY MS ID" when the process ends. So does a request with a
 * prompt part, but for the last, whose id begins with "c0de": that id then
 * stands for BODY.
 *
 * /control returns the ids of the requests that ran, each with how often it
 * did, and counts violations: requests with a field that must not be passed on
 * to endpoints ("wrong"), or without the workspace field ("keyless"). */
#include "endless.h"
#include "pf_names.h"
#include "stand.h"
#include "wp_clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <sys/socket.h>

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum {
    EVENT_MS = 10,
    GONE_POLL_MS = 20,
    SLOW_FACTOR = 10,
    CRASH_EXIT_CODE = 3
};

#define CRASH "crash"
#define CRASH_PART "c0de"

typedef struct Replica {
    struct event_base *base;
    const Wp__StandSettings *set;
    GRand *rand;
    char *id;
    WPHttp *store;
    bool draining;
    double fail, refuse, cut, until_close, mute, delay_ms, confidence, events;
    double fail_running, slow, slow_ms, answer_bytes, event_bytes;
    char *fail_path; /* prefix of paths that `fail` applies to; NULL: all */
    char *limit;     /* NULL: never set */
    char *leaving, *retry_after; /* NULL or empty: no such field */
    char *endless, *raw;         /* NULL or empty: no such fault */
    int64_t backoff_until_us;
    bool noting;
    unsigned running;
    double ran, with_caller_fields, without_workspace;
    int run_log;     /* descriptor of the log file; -1: none */
    GHashTable *ids; /* request id -> how often it ran */
    int64_t born_ms; /* registered as its start time; monotonic clock */
    int64_t start_us;
    GArray *cold; /* int64_t: times of arrivals while it was cold */
} Replica;

typedef struct Run {
    Replica *to;
    struct evhttp_request *request;
    struct event *timer;
    char *id;
    char *path;
    char *crash; /* body, or prompt part, of a request that crashes the process;
                    NULL: not such a request */
    bool stream, started, cut, until_close, mute, slow;
    bool in_event; /* half of an event was sent; the connection is to be closed
                      once that has left */
    unsigned next, last;
} Run;

static void ignore(void *arg, int status, WPStr body)
{
    (void)arg;
    (void)status;
    (void)body;
}

/* Writes this replica's registry entry to the store. */
static void register_self(Replica *p)
{
    g_autofree char *addr = g_strdup_printf(
        "%s:%u", p->set->listen,
        p->set->listed_port ? p->set->listed_port : p->set->port);
    g_autofree char *key = g_strconcat(PF_K_ENDPOINT, p->id, NULL);
    json_t *j = json_pack(
        "{s:{s:s,s:{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}}}", "put", "key", key,
        "value", "service", p->set->service, "address", addr, "zone",
        p->set->zone, "version", p->set->version, "slots", (int)p->set->slots,
        "state", p->draining ? "draining" : "ready", "coldLeftMs",
        (int)p->set->cold_ms, "callSeq", 1, "born", (json_int_t)p->born_ms);
    char *text = json_dumps(j, JSON_COMPACT);
    wp_http_call(p->store, "/control", text, ignore, NULL, NULL);
    free(text);
    json_decref(j);
}

/* Adds a header field for each part of `text`, separated by "|"; NULL: none. */
static void add_fields(struct evkeyvalq *h, const char *name, const char *text)
{
    g_auto(GStrv) parts = g_strsplit(text ? text : "", "|", -1);
    for (char **part = parts; *part; part++)
        evhttp_add_header(h, name, *part);
}

static void add_response_headers(struct evhttp_request *r, const Replica *p,
                                 const char *id, bool ran)
{
    struct evkeyvalq *h = evhttp_request_get_output_headers(r);
    char load[64], confidence[16];
    snprintf(load, sizeof(load), "%u,0,%u", p->running, p->set->slots);
    snprintf(confidence, sizeof(confidence), "%.0f", p->confidence);
    if (id)
        evhttp_add_header(h, PF_H_REQUEST_ID, id);
    evhttp_add_header(h, PF_H_LOAD, load);
    evhttp_add_header(h, "Keep-Alive", "timeout=30");
    add_fields(h, PF_H_LIMIT, p->limit);
    add_fields(h, PF_H_LEAVING, p->leaving);
    if (!ran) {
        evhttp_add_header(h, PF_H_NOT_RUN, "1");
        return;
    }
    evhttp_add_header(h, PF_H_SEAL, p->id);
    evhttp_add_header(h, PF_H_CONFIDENCE, confidence);
}

static void end_run(Run *n)
{
    struct evhttp_connection *con = evhttp_request_get_connection(n->request);
    if (con)
        evhttp_connection_set_closecb(con, NULL, NULL);
    n->to->running--;
    event_free(n->timer);
    g_free(n->id);
    g_free(n->path);
    g_free(n->crash);
    g_free(n);
}

static void on_client_gone(struct evhttp_connection *con, void *arg)
{
    (void)con;
    end_run(arg);
}

static void answer_text(Run *n, int status)
{
    struct evhttp_request *r = n->request;
    g_autoptr(GString) body = g_string_new(NULL);
    g_string_printf(body, "ran %s\n", n->id);
    while ((double)body->len < n->to->answer_bytes)
        g_string_append_c(body, 'x');
    add_response_headers(r, n->to, n->id, true);
    end_run(n);
    wp_http_reply_text(r, status, "text/plain", wp_strn(body->str, body->len));
}

/* Sends the beginning of the next event, after which the connection ends. */
static void send_half_event(Run *n)
{
    struct evbuffer *b = evbuffer_new();
    struct timeval at = { 0, EVENT_MS * WP_US_PER_MS };
    evbuffer_add_printf(b, "id: %u\nda", n->next);
    evhttp_send_reply_chunk(n->request, b);
    evbuffer_free(b);
    n->in_event = true;
    event_add(n->timer, &at);
}

static void cut_stream(Run *n)
{
    struct evhttp_request *r = n->request;
    if (n->until_close && !n->in_event) {
        send_half_event(n);
        return;
    }
    end_run(n);
    stand_close_connection(r);
}

static void send_event(Run *n)
{
    if (n->cut && n->next * 2 > n->last) {
        cut_stream(n);
        return;
    }
    struct evbuffer *b = evbuffer_new();
    evbuffer_add_printf(b, "id: %u\ndata: %s-%u", n->next, n->id, n->next);
    g_autofree char *fill = g_strnfill((gsize)n->to->event_bytes, 'x');
    evbuffer_add_printf(b, "%s\n\n", fill);
    evhttp_send_reply_chunk(n->request, b);
    evbuffer_free(b);
    struct timeval at = { 0, EVENT_MS * WP_US_PER_MS *
                                 (n->slow ? SLOW_FACTOR : 1) };
    if (n->next++ < n->last) {
        event_add(n->timer, &at);
        return;
    }
    struct evhttp_request *r = n->request;
    end_run(n);
    evhttp_send_reply_end(r);
}

/* Whether the caller has disconnected. evhttp's server does not report this
   while a request is being processed. */
static bool is_gone(struct evhttp_request *r)
{
    struct evhttp_connection *con = evhttp_request_get_connection(r);
    char byte;
    int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(con));
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void stay_silent(Run *n)
{
    struct timeval at = { 0, GONE_POLL_MS * WP_US_PER_MS };
    struct evhttp_request *r = n->request;
    if (!is_gone(r)) {
        event_add(n->timer, &at);
        return;
    }
    end_run(n);
    stand_close_connection(r);
}

/* Appends a line to the run log, a file that survives a crash of this process.
 */
static void log_line(const Replica *p, const char *line)
{
    if (p->run_log >= 0 && write(p->run_log, line, strlen(line)) < 0)
        fprintf(stderr, "run_log: cannot write\n");
}

static long now_ms(void)
{
    return (long)(g_get_monotonic_time() / WP_US_PER_MS);
}

/* Logs a bad answer: "!bad VERSION MS". */
static void log_bad_answer(const Replica *p)
{
    g_autofree char *line =
        g_strdup_printf("!bad %s %ld\n", p->set->version, now_ms());
    log_line(p, line);
}

/* Logs the arrival (BAD) or crash (CRASH) of a request that crashes the
   process: "WHAT BODY MS ID". */
static void log_crash(const Replica *p, const char *what, const char *body)
{
    g_autofree char *line =
        g_strdup_printf("%s %s %ld %s\n", what, body, now_ms(), p->id);
    log_line(p, line);
}

/* The request's body if it begins with "crash"; else NULL. */
static char *crash_body(struct evhttp_request *r)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(r);
    size_t n = evbuffer_get_length(in);
    const char *body = (const char *)evbuffer_pullup(in, -1);
    if (!body || n < strlen(CRASH) || strncmp(body, CRASH, strlen(CRASH)))
        return NULL;
    return g_strndup(body, n);
}

/* The id of the request's first prompt part, but for the last, that crashes the
   process; NULL: there is none. */
static char *crash_part(struct evhttp_request *r)
{
    const char *prompt = wp_http_header(r, PF_H_PROMPT);
    g_auto(GStrv) parts = g_strsplit(prompt ? prompt : "", ",", -1);
    for (char **part = parts; *part && part[1]; part++)
        if (g_str_has_prefix(*part, CRASH_PART))
            return g_strndup(*part, strcspn(*part, ":"));
    return NULL;
}

/* Time in ms before the crash: MS of a body "crash-NAME-MS"; else 0. */
static double crash_ms(const Run *n)
{
    unsigned ms = 0;
    if (!n->crash || sscanf(n->crash, CRASH "-%*[^-]-%u", &ms) != 1)
        return 0;
    return ms;
}

/* Logs an arrival: "ARRIVED LIMIT MS ID". */
static void log_arrival(const Replica *p)
{
    g_autofree char *line = g_strdup_printf(
        "ARRIVED %s %ld %s\n", *p->limit ? p->limit : "0", now_ms(), p->id);
    log_line(p, line);
}

/* Logs an arrival or an announcement: "WHAT HOW MS ID REQUEST"; only with
   `noting`. */
static void log_notice(const Replica *p, const char *what, const char *how,
                       const char *request)
{
    if (!p->noting)
        return;
    g_autofree char *line = g_strdup_printf("%s %s %ld %s %s\n", what, how,
                                            now_ms(), p->id, request);
    log_line(p, line);
}

/* Whether the fault `fail` applies to this run. */
static bool fails(const Run *n)
{
    const Replica *p = n->to;
    if (p->fail_path && !g_str_has_prefix(n->path, p->fail_path))
        return false;
    return p->running >= p->fail_running && g_rand_double(p->rand) < p->fail;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
    Run *n = arg;
    Replica *p = n->to;
    (void)fd;
    (void)what;
    if (n->mute) {
        stay_silent(n);
        return;
    }
    if (n->crash && (!n->stream || n->started)) {
        log_crash(p, "CRASH", n->crash);
        _exit(CRASH_EXIT_CODE);
    }
    if (!n->started && fails(n)) {
        log_bad_answer(p);
        answer_text(n, 500);
        return;
    }
    if (!n->started && n->slow)
        log_bad_answer(p);
    if (!n->stream) {
        answer_text(n, 200);
        return;
    }
    if (!n->started) {
        n->started = true;
        add_response_headers(n->request, p, n->id, true);
        evhttp_add_header(evhttp_request_get_output_headers(n->request),
                          "Content-Type", "text/event-stream");
        evhttp_send_reply_start(n->request, 200, NULL);
    }
    send_event(n);
}

static bool is_backing_off(const Replica *p)
{
    return (p->retry_after && *p->retry_after) ||
           g_get_monotonic_time() < p->backoff_until_us;
}

/* Refuses a request because of `rest` or `rest_ms`, with a Retry-After field.
 */
static void refuse_with_retry_after(const Replica *p, struct evhttp_request *r,
                                    const char *id)
{
    int64_t left_us = p->backoff_until_us - g_get_monotonic_time();
    g_autofree char *left =
        left_us > 0 ? g_strdup_printf("%.3f", (double)left_us / WP_US_PER_S)
                    : NULL;
    struct evkeyvalq *h = evhttp_request_get_output_headers(r);
    if (left)
        log_notice(p, "TOLD", left, id);
    add_fields(h, PF_H_RETRY, left ? left : p->retry_after);
    add_response_headers(r, p, id, false);
    wp_http_reply_text(r, 503, "text/plain", wp_str("rests"));
}

/* Refuses the request if it is meant for another replica, has no id, there is
   no free slot, or a fault asks for it. Returns whether it did. */
static bool refuse_if_needed(Replica *p, struct evhttp_request *r,
                             const char *id)
{
    const char *expected = wp_http_header(r, PF_H_EXPECT_REPLICA);
    bool other = expected && strcmp(expected, p->id) != 0;
    bool full =
        p->running >= p->set->slots || g_rand_double(p->rand) < p->refuse;
    if (!other && id && is_backing_off(p)) {
        refuse_with_retry_after(p, r, id);
        return true;
    }
    if (!other && !full && id)
        return false;
    add_response_headers(r, p, id, false);
    wp_http_reply_text(r,
                       other ? 421
                       : id  ? 503
                             : 400,
                       "text/plain", wp_str("no"));
    return true;
}

/* Logs an arrival while cold, if it is more than the cold_most allowed per
   second: "COLD - ZONE ARRIVALS". */
static void check_cold_load(Replica *p)
{
    int64_t now_us = g_get_monotonic_time();
    unsigned n = 1;
    if (!p->set->cold_most ||
        now_us - p->start_us > (int64_t)p->set->cold_ms * WP_US_PER_MS)
        return;
    for (guint i = 0; i < p->cold->len; i++)
        n += now_us - g_array_index(p->cold, int64_t, i) < WP_US_PER_S;
    g_array_append_val(p->cold, now_us);
    if (n <= p->set->cold_most)
        return;
    g_autofree char *line = g_strdup_printf("COLD - %s %u\n", p->set->zone, n);
    log_line(p, line);
}

/* Logs a run: "ID PATH VERSION MS ZONE". */
static void log_run(const Replica *p, struct evhttp_request *r, const char *id)
{
    g_autofree char *line =
        g_strdup_printf("%s %s %s %ld %s\n", id, stand_path(r), p->set->version,
                        now_ms(), p->set->zone);
    log_line(p, line);
}

/* Answers with bytes that a sound endpoint does not send. Returns false if none
   are set. */
static bool answer_with_fault(const Replica *p, struct evhttp_request *r,
                              const char *id)
{
    g_autofree char *fields =
        g_strdup_printf(PF_H_REQUEST_ID ": %s\r\n" PF_H_SEAL ": %s\r\n"
                                        "Content-Type: text/event-stream\r\n",
                        id, p->id);
    if (p->endless && *p->endless) {
        endless_answer(r, p->endless, fields);
        return true;
    }
    if (!p->raw || !*p->raw)
        return false;
    g_auto(GStrv) parts = g_strsplit(p->raw, "{fields}", 2);
    g_autofree char *text = g_strjoinv(fields, parts);
    stand_answer_raw(r, text);
    return true;
}

static void run(Replica *p, struct evhttp_request *r)
{
    const char *id = wp_http_header(r, PF_H_REQUEST_ID);
    const char *after = wp_http_header(r, PF_H_AFTER_EVENT);
    if (p->limit)
        log_arrival(p);
    if (id)
        log_notice(p, "CAME", "-", id);
    if (id && p->leaving && !strcmp(p->leaving, "1"))
        log_notice(p, "TOLD", "leaving", id);
    if (refuse_if_needed(p, r, id))
        return;
    int times = GPOINTER_TO_INT(g_hash_table_lookup(p->ids, id));
    g_hash_table_replace(p->ids, g_strdup(id), GINT_TO_POINTER(times + 1));
    p->ran++;
    check_cold_load(p);
    g_autofree char *crash = crash_body(r);
    if (!crash)
        crash = crash_part(r);
    if (crash)
        log_crash(p, "BAD", crash);
    else
        log_run(p, r, id);
    p->with_caller_fields += wp_http_header(r, PF_H_KEY) != NULL ||
                             wp_http_header(r, PF_H_HOLD) != NULL;
    p->without_workspace += wp_http_header(r, PF_H_WORKSPACE) == NULL;
    if (answer_with_fault(p, r, id))
        return;
    p->running++;
    Run *n = g_new0(Run, 1);
    n->to = p;
    n->request = r;
    n->id = g_strdup(id);
    n->path = g_strdup(stand_path(r));
    n->slow = p->slow > 0 && g_rand_double(p->rand) < p->slow;
    n->crash = g_steal_pointer(&crash);
    n->stream = strstr(stand_path(r), "stream") != NULL;
    n->next = after ? (unsigned)atoi(after) + 1 : 1;
    n->last = (unsigned)p->events;
    n->cut = g_rand_double(p->rand) < p->cut;
    n->until_close =
        p->until_close > 0 && g_rand_double(p->rand) < p->until_close;
    if (n->until_close)
        r->minor = 0; /* evhttp then frames the response as HTTP/1.0 */
    n->timer = evtimer_new(p->base, on_timer, n);
    evhttp_connection_set_closecb(evhttp_request_get_connection(r),
                                  on_client_gone, n);
    if (n->cut && !n->stream) {
        end_run(n);
        stand_close_connection(r);
        return;
    }
    double ms = p->delay_ms + (n->slow ? p->slow_ms : 0) + crash_ms(n);
    struct timeval at = { (time_t)(ms / WP_MS_PER_S),
                          (suseconds_t)((int64_t)(ms * WP_US_PER_MS) %
                                        WP_US_PER_S) };
    n->mute = g_rand_double(p->rand) < p->mute;
    event_add(n->timer, &at);
}

static void control(Replica *p, struct evhttp_request *r)
{
    json_t *j = wp_http_body_json(r), *ids = json_object();
    GHashTableIter it;
    gpointer id, times;
    bool was = p->draining;
    double backoff_ms = -1;
    stand_set_number(j, "fail", &p->fail);
    stand_set_number(j, "refuse", &p->refuse);
    stand_set_number(j, "cut", &p->cut);
    stand_set_number(j, "until_close", &p->until_close);
    stand_set_number(j, "mute", &p->mute);
    stand_set_number(j, "delay_ms", &p->delay_ms);
    stand_set_number(j, "confidence", &p->confidence);
    stand_set_number(j, "events", &p->events);
    stand_set_number(j, "fail_running", &p->fail_running);
    stand_set_number(j, "slow", &p->slow);
    stand_set_number(j, "slow_ms", &p->slow_ms);
    stand_set_number(j, "answer_bytes", &p->answer_bytes);
    stand_set_number(j, "event_bytes", &p->event_bytes);
    if (json_object_get(j, "fail_path"))
        p->fail_path =
            g_strdup(json_string_value(json_object_get(j, "fail_path")));
    stand_set_text(j, "limit", &p->limit);
    stand_set_text(j, "leaving", &p->leaving);
    stand_set_text(j, "rest", &p->retry_after);
    stand_set_text(j, "endless", &p->endless);
    stand_set_text(j, "raw", &p->raw);
    stand_set_number(j, "rest_ms", &backoff_ms);
    if (backoff_ms >= 0)
        p->backoff_until_us =
            g_get_monotonic_time() + (int64_t)(backoff_ms * WP_US_PER_MS);
    stand_set_bool(j, "noting", &p->noting);
    stand_set_bool(j, "draining", &p->draining);
    if (was != p->draining)
        register_self(p);
    json_decref(j);
    g_hash_table_iter_init(&it, p->ids);
    while (g_hash_table_iter_next(&it, &id, &times))
        json_object_set_new(ids, id, json_integer(GPOINTER_TO_INT(times)));
    wp_http_reply_json(
        r, 200,
        json_pack("{s:s,s:o,s:f,s:f,s:f,s:i}", "id", p->id, "ids", ids, "ran",
                  p->ran, "wrong", p->with_caller_fields, "keyless",
                  p->without_workspace, "running", (int)p->running));
}

static void on_request(struct evhttp_request *r, void *arg)
{
    if (!strcmp(stand_path(r), "/control"))
        control(arg, r);
    else
        run(arg, r);
}

void stand_replica(struct event_base *base, struct evhttp *http,
                   const Wp__StandSettings *set)
{
    Replica *p = g_new0(Replica, 1);
    p->base = base;
    p->set = set;
    p->rand = g_rand_new_with_seed((guint32)set->seed);
    p->id = g_strdup_printf("i-%u-%x", set->port,
                            set->same_id ? 0 : wp_clock_seed());
    p->born_ms = now_ms();
    p->start_us = g_get_monotonic_time();
    p->cold = g_array_new(FALSE, FALSE, sizeof(int64_t));
    p->store = wp_http_new(base, set->store, 2000);
    p->run_log = set->run_log
                     ? open(set->run_log, O_WRONLY | O_APPEND | O_CREAT, 0600)
                     : -1;
    p->delay_ms = 5;
    p->confidence = 90;
    p->events = 5;
    p->ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    evhttp_set_gencb(http, on_request, p);
    register_self(p);
}
