/* Stand-in for an inference engine with an OpenAI-compatible API. It does
 * continuous batching: at every step each running request gets one token, and
 * steps take longer the fuller the batch is. It has a limited number of slots,
 * an LRU cache of prompt prefixes and request priorities; closing the
 * connection cancels a request. An answer contains a digest of its prompt and
 * whether it is good; /ledger lists every run. */
#include "endless.h"
#include "stand.h"

#include <event2/buffer.h>
#include <stdlib.h>

#define DEFAULT_TOKENS 20
#define PREFILL_TOKENS_PER_STEP 200
#define BYTES_PER_TOKEN 4
#define BATCH_SLOWDOWN 0.5 /* share by which a full batch slows a step */

typedef struct Run {
    WPList link;
    struct Engine *engine;
    struct evhttp_request *request; /* NULL after the client has disconnected */
    char *id, *workspace, *kind, *version, *digest;
    json_t *row; /* the run's row in the ledger */
    bool stream, good, want_usage, started;
    unsigned priority, prompt_tokens, max_tokens, tokens;
    unsigned prefill; /* prefill steps left before the first token */
    GString *text;
} Run;

typedef struct Engine {
    struct event_base *base;
    struct event *step;
    const Wp__StandSettings *settings;
    WPList running, waiting;
    unsigned n_running, n_waiting;
    json_t *ledger;
    GRand *rand;
    GQueue prefixes; /* digests of cached prefixes, most recently used first */
    uint64_t hits, misses;
    json_t *quality; /* version -> probability of a good answer */
    double slow, cut_after;
    double pad; /* padding bytes added to each token */
    bool silent, refuse, stepping;
    char *raw;     /* sent in place of each response; NULL or empty: none */
    char *endless; /* kind of endless bytes that are, as endless.h has them */
} Engine;

static double quality_of(const Engine *e, const char *version)
{
    const json_t *q = json_object_get(e->quality, version);
    return json_is_number(q) ? json_number_value(q) : 1;
}

/* Whether the prefix is in the cache; adds it if missing. */
static bool use_prefix(Engine *e, const char *prefix)
{
    GList *l = g_queue_find_custom(&e->prefixes, prefix, (GCompareFunc)strcmp);
    if (l) {
        g_queue_unlink(&e->prefixes, l);
        g_queue_push_head_link(&e->prefixes, l);
        e->hits++;
        return true;
    }
    e->misses++;
    g_queue_push_head(&e->prefixes, g_strdup(prefix));
    if (e->prefixes.length > e->settings->prefix_cache)
        g_free(g_queue_pop_tail(&e->prefixes));
    return false;
}

static void end_run(Run *r, bool complete)
{
    Engine *e = r->engine;
    json_object_set_new(r->row, "tokens", json_integer(r->tokens));
    json_object_set_new(r->row, "whole", json_boolean(complete));
    if (r->started)
        e->n_running--;
    else
        e->n_waiting--;
    wp_list_remove(&r->link);
    if (r->request) {
        struct evhttp_connection *c = evhttp_request_get_connection(r->request);
        evhttp_connection_set_closecb(c, NULL, NULL);
    }
    g_free(r->id);
    g_free(r->workspace);
    g_free(r->kind);
    g_free(r->version);
    g_free(r->digest);
    g_string_free(r->text, TRUE);
    g_free(r);
}

static void on_client_gone(struct evhttp_connection *con, void *arg)
{
    Run *r = arg;
    (void)con;
    r->request = NULL;
    json_object_set_new(r->row, "cancelled", json_true());
    end_run(r, false);
}

static void send_event(Run *r, json_t *j)
{
    struct evbuffer *b = evbuffer_new();
    char *text = json_dumps(j, JSON_COMPACT);
    evbuffer_add_printf(b, "data: %s\n\n", text);
    evhttp_send_reply_chunk(r->request, b);
    evbuffer_free(b);
    free(text);
    json_decref(j);
}

static json_t *usage(const Run *r)
{
    return json_pack("{s:i,s:i,s:i}", "prompt_tokens", (int)r->prompt_tokens,
                     "completion_tokens", (int)r->tokens, "total_tokens",
                     (int)(r->prompt_tokens + r->tokens));
}

static void finish_stream(Run *r)
{
    struct evbuffer *b = evbuffer_new();
    send_event(r, json_pack("{s:s,s:s,s:s,s:[{s:i,s:{},s:s}]}", "id", r->id,
                            "object", "chat.completion.chunk", "model",
                            r->version, "choices", "index", 0, "delta",
                            "finish_reason", "stop"));
    if (r->want_usage)
        send_event(r, json_pack("{s:s,s:s,s:s,s:[],s:o}", "id", r->id, "object",
                                "chat.completion.chunk", "model", r->version,
                                "choices", "usage", usage(r)));
    evbuffer_add_printf(b, "data: [DONE]\n\n");
    evhttp_send_reply_chunk(r->request, b);
    evbuffer_free(b);
    evhttp_send_reply_end(r->request);
}

static void finish_plain(Run *r)
{
    wp_http_reply_json(
        r->request, 200,
        json_pack("{s:s,s:s,s:i,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:o}", "id",
                  r->id, "object", "chat.completion", "created", 0, "model",
                  r->version, "choices", "index", 0, "message", "role",
                  "assistant", "content", r->text->str, "finish_reason", "stop",
                  "usage", usage(r)));
}

static void give_token(Run *r)
{
    char word[64];
    g_autofree char *padding = g_strnfill((gsize)r->engine->pad, 'p');
    if (r->tokens == 0)
        g_snprintf(word, sizeof(word), "d:%s ", r->digest);
    else if (r->tokens == 1)
        g_snprintf(word, sizeof(word), "%s ", r->good ? "good" : "bad");
    else
        g_snprintf(word, sizeof(word), "w%u ", r->tokens);
    g_autofree char *piece = g_strconcat(word, padding, NULL);
    r->tokens++;
    if (!r->stream) {
        g_string_append(r->text, piece);
        return;
    }
    if (r->tokens == 1) {
        evhttp_add_header(evhttp_request_get_output_headers(r->request),
                          "Content-Type", "text/event-stream");
        evhttp_send_reply_start(r->request, 200, NULL);
    }
    send_event(r, json_pack("{s:s,s:s,s:s,s:[{s:i,s:{s:s},s:n}]}", "id", r->id,
                            "object", "chat.completion.chunk", "model",
                            r->version, "choices", "index", 0, "delta",
                            "content", piece, "finish_reason"));
}

static void cut_run(Run *r)
{
    struct evhttp_request *req = r->request;
    end_run(r, false);
    stand_close_connection(req);
}

static void step_run(Run *r)
{
    Engine *e = r->engine;
    if (r->prefill) {
        r->prefill--;
        return;
    }
    give_token(r);
    if (e->cut_after > 0 && r->tokens >= e->cut_after) {
        cut_run(r);
        return;
    }
    if (r->tokens < r->max_tokens)
        return;
    if (r->stream)
        finish_stream(r);
    else
        finish_plain(r);
    end_run(r, true);
}

/* The waiting run with the lowest priority value, the earliest of these. */
static Run *best_waiting(Engine *e)
{
    Run *best = NULL;
    wp_list_each (it, &e->waiting) {
        Run *r = wp_list_item(it, Run, link);
        if (!best || r->priority < best->priority)
            best = r;
    }
    return best;
}

static void admit(Engine *e)
{
    while (e->n_running < e->settings->slots && e->n_waiting) {
        Run *r = best_waiting(e);
        wp_list_remove(&r->link);
        wp_list_append(&e->running, &r->link);
        r->started = true;
        e->n_waiting--;
        e->n_running++;
    }
}

static void schedule(Engine *e)
{
    double fill = (double)e->n_running / e->settings->slots;
    double us = e->settings->step_us * (1 + BATCH_SLOWDOWN * fill) * e->slow;
    struct timeval after = { (time_t)(us / WP_US_PER_S),
                             (long)us % WP_US_PER_S };
    if (e->stepping || !(e->n_running + e->n_waiting))
        return;
    e->stepping = true;
    event_add(e->step, &after);
}

static void on_step(evutil_socket_t fd, short what, void *arg)
{
    Engine *e = arg;
    (void)fd;
    (void)what;
    e->stepping = false;
    admit(e);
    if (!e->silent)
        wp_list_each_safe (it, tmp, &e->running)
            step_run(wp_list_item(it, Run, link));
    schedule(e);
}

static const char *header(struct evhttp_request *req, const char *name)
{
    const char *v = wp_http_header(req, name);
    return v ? v : "";
}

/* Sets the run's digest (of the last message), its prompt length and its
   prefill steps. The first message is the prefix that the cache is looked up
   for. */
static void read_prompt(Run *r, const json_t *body)
{
    const json_t *messages = json_object_get(body, "messages");
    size_t n = json_array_size(messages), bytes = 0;
    for (size_t i = 0; i < n; i++)
        bytes += json_string_length(
            json_object_get(json_array_get(messages, i), "content"));
    const char *first = json_string_value(
        json_object_get(json_array_get(messages, 0), "content"));
    const char *last = json_string_value(
        json_object_get(json_array_get(messages, n - 1), "content"));
    g_autofree char *sum =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, last ? last : "", -1);
    g_autofree char *prefix = g_compute_checksum_for_string(
        G_CHECKSUM_SHA256, first ? first : "", -1);
    r->digest = g_strndup(sum, 16);
    r->prompt_tokens = (unsigned)(bytes / BYTES_PER_TOKEN + 1);
    r->prefill = use_prefix(r->engine, prefix)
                     ? 0
                     : r->prompt_tokens / PREFILL_TOKENS_PER_STEP;
}

/* Answers with bytes that a sound engine does not send. Returns false if none
   are set. */
static bool answer_with_fault(const Engine *e, struct evhttp_request *req)
{
    if (e->raw && *e->raw) {
        stand_answer_raw(req, e->raw);
        return true;
    }
    if (!e->endless || !*e->endless)
        return false;
    endless_answer(req, e->endless, "Content-Type: text/event-stream\r\n");
    return true;
}

static void on_chat(struct evhttp_request *req, void *arg)
{
    Engine *e = arg;
    json_t *body = wp_http_body_json(req);
    const char *model = json_string_value(json_object_get(body, "model"));
    if (!model || e->refuse) {
        wp_http_reply_json(req, e->refuse ? 503 : 400, json_object());
        json_decref(body);
        return;
    }
    if (answer_with_fault(e, req)) {
        json_decref(body);
        return;
    }
    Run *r = g_new0(Run, 1);
    json_int_t max_tokens =
        json_integer_value(json_object_get(body, "max_tokens"));
    r->engine = e;
    r->request = req;
    r->id = g_strdup(header(req, "X-Request-Id"));
    r->workspace = g_strdup(header(req, "X-Workspace"));
    r->kind = g_strdup(header(req, "X-Kind"));
    r->version = g_strdup(model);
    r->priority = (unsigned)atoi(header(req, "X-Priority"));
    r->stream = json_is_true(json_object_get(body, "stream"));
    r->want_usage = json_is_true(json_object_get(
        json_object_get(body, "stream_options"), "include_usage"));
    r->max_tokens = max_tokens > 1 ? (unsigned)max_tokens : DEFAULT_TOKENS;
    r->good = g_rand_double(e->rand) < quality_of(e, model);
    r->text = g_string_new(NULL);
    read_prompt(r, body);
    json_decref(body);
    r->row = json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:b}", "digest", r->digest,
                       "request_id", r->id, "workspace", r->workspace, "kind",
                       r->kind, "version", r->version, "at_ms",
                       (json_int_t)(g_get_real_time() / WP_US_PER_MS), "good",
                       r->good);
    json_array_append_new(e->ledger, r->row);
    wp_list_append(&e->waiting, &r->link);
    e->n_waiting++;
    evhttp_connection_set_closecb(evhttp_request_get_connection(req),
                                  on_client_gone, r);
    schedule(e);
}

static void on_ledger(struct evhttp_request *r, void *arg)
{
    wp_http_reply_json(r, 200, json_incref(((Engine *)arg)->ledger));
}

static void on_metrics(struct evhttp_request *r, void *arg)
{
    Engine *e = arg;
    g_autofree char *text = g_strdup_printf(
        "engine_running %u\nengine_waiting %u\nengine_prefix_hits %lu\n"
        "engine_prefix_misses %lu\n",
        e->n_running, e->n_waiting, (unsigned long)e->hits,
        (unsigned long)e->misses);
    wp_http_reply_text(r, 200, "text/plain", wp_str(text));
}

static void on_control(struct evhttp_request *r, void *arg)
{
    Engine *e = arg;
    json_t *j = wp_http_body_json(r);
    stand_set_number(j, "slow", &e->slow);
    stand_set_number(j, "cut_after", &e->cut_after);
    stand_set_number(j, "pad", &e->pad);
    stand_set_bool(j, "silent", &e->silent);
    stand_set_bool(j, "refuse", &e->refuse);
    stand_set_text(j, "raw", &e->raw);
    stand_set_text(j, "endless", &e->endless);
    json_object_update(e->quality, json_object_get(j, "quality"));
    json_decref(j);
    wp_http_reply_json(r, 200, json_object());
}

void stand_engine(struct event_base *base, struct evhttp *http,
                  const Wp__StandSettings *s)
{
    Engine *e = g_new0(Engine, 1);
    e->base = base;
    e->settings = s;
    e->slow = 1;
    e->ledger = json_array();
    e->quality = json_object();
    e->rand = g_rand_new_with_seed((guint32)s->seed);
    e->step = evtimer_new(base, on_step, e);
    g_queue_init(&e->prefixes);
    wp_list_init(&e->running);
    wp_list_init(&e->waiting);
    for (size_t i = 0; i < s->n_quality; i++)
        json_object_set_new(
            e->quality, s->quality[i]->key,
            json_real(g_ascii_strtod(s->quality[i]->value, NULL)));
    evhttp_set_cb(http, "/v1/chat/completions", on_chat, e);
    evhttp_set_cb(http, "/ledger", on_ledger, e);
    evhttp_set_cb(http, "/metrics", on_metrics, e);
    evhttp_set_cb(http, "/control", on_control, e);
}
