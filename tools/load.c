/* The load generator: sends requests and checks the answers. */
#include "load_int.h"
#include "wp_request_parse.h"
#include "wp_pb.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <math.h>
#include <stdlib.h>

#define TAIL_SHAPE 1.5 /* of heavy-tailed answer lengths (Pareto) */
#define TAIL_MAX 20.0  /* longest answer as a multiple of answer_tokens */
#define SESSION_TURNS 8
#define CALL_TIMEOUT_S 60
#define HEALTH_MS 100
#define HEALTH_TIMEOUT_MS 500

typedef struct Call {
    Load *load;
    const Wp__MixItem *item;
    Target *target;
    struct evhttp_connection *con;
    Session *session;
    int64_t start_us, first_us, last_us;
    unsigned tokens, retries;
    bool error_event; /* an error event said that the answer is incomplete */
    GString *text, *raw;
    char *prompt, *idempotency_key;
    LoadOutcome outcome;
    bool done_seen, counted_first;
} Call;

static int64_t now_us(void)
{
    return g_get_monotonic_time();
}

/* The counter of this name in the table; added with the value 0 if missing. */
static double *counter(GHashTable *t, const char *name)
{
    double *n = g_hash_table_lookup(t, name);
    if (!n) {
        n = g_new0(double, 1);
        g_hash_table_insert(t, g_strdup(name), n);
    }
    return n;
}

uint64_t load_count(GHashTable *counts, const char *name)
{
    const double *n = g_hash_table_lookup(counts, name);
    return n ? (uint64_t)*n : 0;
}

static GHashTable *new_table(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void new_session(Load *l, Session *s)
{
    g_free(s->token);
    g_free(s->version);
    memset(s, 0, sizeof(*s));
    wp_uuid7(s->id, (uint64_t)(g_get_real_time() / WP_US_PER_MS), l->rand);
    s->uses_token = g_rand_boolean(l->rand);
}

static void make_prefixes(Load *l)
{
    l->prefixes = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0; i < MAX(l->mix->prefixes, 1); i++)
        g_ptr_array_add(l->prefixes,
                        g_strdup_printf("You answer for depot %u.", i));
}

static void on_health(void *arg, int status, WPStr body)
{
    Target *t = arg;
    (void)body;
    t->check_pending = false;
    t->healthy = status == 200;
}

static void on_health_timer(evutil_socket_t fd, short what, void *arg)
{
    Load *l = arg;
    (void)fd;
    (void)what;
    for (size_t i = 0; i < l->n_targets; i++) {
        Target *t = &l->targets[i];
        if (!t->check_pending)
            wp_http_call(t->health, "/healthz", NULL, on_health, NULL, t);
        t->check_pending = true;
    }
}

static bool make_targets(Load *l, char **entries, size_t n)
{
    l->targets = g_new0(Target, n);
    l->n_targets = n;
    for (size_t i = 0; i < n; i++) {
        g_queue_init(&l->targets[i].idle);
        g_queue_init(&l->targets[i].failed);
        l->targets[i].healthy = true;
        l->targets[i].health =
            wp_http_new(l->base, entries[i], HEALTH_TIMEOUT_MS);
        if (!wp_http_parse_target(entries[i], &l->targets[i].host,
                                  &l->targets[i].port))
            return false;
    }
    return n > 0;
}

static void on_timer(evutil_socket_t fd, short what, void *arg);

Load *load_new(struct event_base *base, const Wp__Mix *mix, char **entries,
               size_t n_entries, const char *ratings, GHashTable *costs)
{
    Load *l = g_new0(Load, 1);
    l->base = base;
    l->mix = mix;
    l->costs = costs;
    l->rand = g_rand_new_with_seed((guint32)mix->seed);
    l->ratings = ratings ? wp_http_new(base, ratings, 2000) : NULL;
    l->offered = new_table();
    l->r.codes = new_table();
    l->r.versions = new_table();
    l->r.quality = new_table();
    l->r.served = new_table();
    l->r.first_ms = g_array_new(FALSE, FALSE, sizeof(double));
    l->r.complete_ms = g_array_new(FALSE, FALSE, sizeof(double));
    l->r.event_gap_ms = g_array_new(FALSE, FALSE, sizeof(double));
    l->r.outcomes = g_array_new(FALSE, FALSE, sizeof(LoadOutcome));
    l->r.refused_ids = g_ptr_array_new_with_free_func(g_free);
    l->timer = evtimer_new(base, on_timer, l);
    l->health = event_new(base, -1, EV_PERSIST, on_health_timer, l);
    struct timeval every = { 0, HEALTH_MS * WP_US_PER_MS };
    event_add(l->health, &every);
    l->sessions = g_new0(Session *, mix->n_items + 1);
    make_prefixes(l);
    for (size_t i = 0; i < mix->n_items; i++) {
        l->sessions[i] = g_new0(Session, mix->items[i]->sessions + 1);
        for (uint32_t k = 0; k < mix->items[i]->sessions; k++)
            new_session(l, &l->sessions[i][k]);
    }
    if (make_targets(l, entries, n_entries))
        return l;
    load_free(l);
    return NULL;
}

void load_free(Load *l)
{
    if (!l)
        return;
    event_free(l->timer);
    event_free(l->health);
    for (size_t i = 0; i < l->n_targets; i++) {
        struct evhttp_connection *c;
        while ((c = g_queue_pop_head(&l->targets[i].idle)))
            evhttp_connection_free(c);
        while ((c = g_queue_pop_head(&l->targets[i].failed)))
            evhttp_connection_free(c);
        wp_http_free(l->targets[i].health);
        g_free(l->targets[i].host);
    }
    for (size_t i = 0; i < l->mix->n_items; i++) {
        for (uint32_t k = 0; k < l->mix->items[i]->sessions; k++) {
            g_free(l->sessions[i][k].token);
            g_free(l->sessions[i][k].version);
        }
        g_free(l->sessions[i]);
    }
    g_free(l->sessions);
    g_free(l->targets);
    wp_http_free(l->ratings);
    g_hash_table_unref(l->offered);
    g_hash_table_unref(l->r.codes);
    g_hash_table_unref(l->r.versions);
    g_hash_table_unref(l->r.quality);
    g_hash_table_unref(l->r.served);
    g_array_unref(l->r.first_ms);
    g_array_unref(l->r.complete_ms);
    g_array_unref(l->r.event_gap_ms);
    g_array_unref(l->r.outcomes);
    g_ptr_array_unref(l->r.refused_ids);
    g_ptr_array_unref(l->prefixes);
    g_rand_free(l->rand);
    g_free(l);
}

/* --- one request --- */

static void free_call(Call *c)
{
    g_string_free(c->text, TRUE);
    g_string_free(c->raw, TRUE);
    g_free(c->prompt);
    g_free(c->idempotency_key);
    g_free(c);
}

static void record_token(Call *c, const char *text)
{
    int64_t now = now_us();
    double gap = (double)(now - c->last_us) / WP_US_PER_MS;
    if (!c->first_us)
        c->first_us = now;
    else
        g_array_append_val(c->load->r.event_gap_ms, gap);
    c->last_us = now;
    c->tokens++;
    g_string_append(c->text, text);
}

static void handle_event(Call *c, const char *data)
{
    if (!strcmp(data, "[DONE]")) {
        c->done_seen = true;
        return;
    }
    json_t *j = json_loads(data, 0, NULL);
    const json_t *delta = json_object_get(
        json_array_get(json_object_get(j, "choices"), 0), "delta");
    const char *text = json_string_value(json_object_get(delta, "content"));
    if (text)
        record_token(c, text);
    c->error_event |= json_object_get(j, "error") != NULL;
    json_decref(j);
}

static void on_chunk(struct evhttp_request *r, void *arg)
{
    Call *c = arg;
    struct evbuffer *in = evhttp_request_get_input_buffer(r);
    size_t n = evbuffer_get_length(in);
    char *end;
    g_string_append_len(c->raw, (const char *)evbuffer_pullup(in, -1),
                        (gssize)n);
    evbuffer_drain(in, n);
    if (!c->item->stream || c->item->service)
        return;
    while ((end = strstr(c->raw->str, "\n\n"))) {
        *end = 0;
        if (g_str_has_prefix(c->raw->str, "data: "))
            handle_event(c, c->raw->str + 6);
        g_string_erase(c->raw, 0, end + 2 - c->raw->str);
    }
}

static void read_plain(Call *c)
{
    json_t *j = json_loadb(c->raw->str, c->raw->len, 0, NULL);
    const json_t *message = json_object_get(
        json_array_get(json_object_get(j, "choices"), 0), "message");
    const char *text = json_string_value(json_object_get(message, "content"));
    const char *echo = json_string_value(json_object_get(j, "echo"));
    c->tokens = (unsigned)json_integer_value(
        json_object_get(json_object_get(j, "usage"), "completion_tokens"));
    if (text)
        g_string_append(c->text, text);
    if (echo)
        g_string_append(c->text, echo);
    c->done_seen = text || echo;
    c->first_us = c->last_us = now_us();
    json_decref(j);
}

static void ignore(void *arg, int status, WPStr body)
{
    (void)arg;
    (void)status;
    (void)body;
}

static void rate(Load *l, const char *kind, const char *version, bool good)
{
    if (!l->ratings || g_rand_double(l->rand) >= l->mix->rated_share)
        return;
    json_t *j = json_pack("{s:s,s:s,s:i}", "kind", kind, "version", version,
                          "score", good ? 1 : 0);
    char *text = json_dumps(j, JSON_COMPACT);
    wp_http_call(l->ratings, "/v1/rate", text, ignore, NULL, NULL);
    free(text);
    json_decref(j);
}

static void report_break(Call *c, struct evhttp_request *r, const char *version)
{
    const Session *s = c->session;
    const char *id = wp_http_header(r, WP_H_REQUEST_ID);
    c->load->r.session_breaks++;
    fprintf(stderr,
            "session break: %s (%s) from %s to %s, turn %u, request %s, entry "
            "%s:%u, at %ld\n",
            s->id, s->uses_token ? "token" : "id", s->version, version,
            s->turns + 1, id ? id : "?", c->target->host, c->target->port,
            (long)(g_get_real_time() / WP_US_PER_MS));
}

static void check_session(Call *c, struct evhttp_request *r,
                          const char *version)
{
    Session *s = c->session;
    const char *token = wp_http_header(r, WP_H_SESSION_TOKEN);
    if (!s)
        return;
    s->in_flight = false;
    if (s->version && strcmp(s->version, version)) {
        if (wp_http_header(r, WP_H_SESSION_MOVED))
            c->load->r.session_moves++;
        else
            report_break(c, r, version);
    }
    g_free(s->version);
    s->version = g_strdup(version);
    if (token) {
        g_free(s->token);
        s->token = g_strdup(token);
    }
    if (++s->turns >= SESSION_TURNS)
        new_session(c->load, s);
}

static void check_quality(Call *c, const char *version)
{
    Load *l = c->load;
    bool good = strstr(c->text->str, " good ") != NULL;
    LoadQuality *q = g_hash_table_lookup(l->r.quality, c->item->kind);
    if (!q) {
        q = g_new0(LoadQuality, 1);
        g_hash_table_insert(l->r.quality, g_strdup(c->item->kind), q);
    }
    q->total++;
    q->good += good;
    if (good)
        l->r.good++;
    else
        l->r.bad++;
    rate(l, c->item->kind, version, good);
}

static void check_answer(Call *c, struct evhttp_request *r)
{
    Load *l = c->load;
    const char *version = wp_http_header(r, WP_H_VERSION);
    if (!c->item->stream || c->item->service)
        read_plain(c);
    if (!c->done_seen) {
        l->r.aborted += !c->error_event;
        l->r.unknown += c->error_event;
        if (c->session)
            c->session->in_flight = false;
        return;
    }
    if (!strstr(c->text->str,
                c->item->service ? c->prompt : c->outcome.digest)) {
        l->r.wrong++;
        return;
    }
    double first_ms = (double)(c->first_us - c->start_us) / WP_US_PER_MS;
    double complete_ms = (double)(c->last_us - c->start_us) / WP_US_PER_MS;
    l->r.ok++;
    c->outcome.ok = true;
    c->outcome.first_ms = first_ms;
    g_array_append_val(l->r.first_ms, first_ms);
    g_array_append_val(l->r.complete_ms, complete_ms);
    ++*counter(l->r.versions, version ? version : "?");
    ++*counter(l->r.served, c->item->workspace);
    const double *cost =
        l->costs && version ? g_hash_table_lookup(l->costs, version) : NULL;
    if (cost)
        l->r.cost += *cost * c->tokens / 1000;
    if (version && !c->item->service) {
        check_quality(c, version);
        check_session(c, r, version);
    }
}

static void check_refusal(Call *c, struct evhttp_request *r)
{
    Load *l = c->load;
    json_t *j = json_loadb(c->raw->str, c->raw->len, 0, NULL);
    const char *code =
        json_string_value(json_object_get(json_object_get(j, "error"), "code"));
    double took = (double)(now_us() - c->start_us) / WP_US_PER_MS;
    (void)r;
    ++*counter(l->r.codes, code ? code : "?");
    if (!strcmp(c->outcome.ran, "not_run")) {
        g_ptr_array_add(l->r.refused_ids, g_strdup(c->outcome.request_id));
        l->r.not_run++;
        l->r.late_refusals += took > 0.9 * c->item->deadline_ms;
    } else {
        l->r.unknown++;
    }
    json_decref(j);
    if (c->session)
        c->session->in_flight = false;
}

static void send_call(Call *c);

/* Sends the request again through the next entry with the same idempotency
   key, as a caller would. Returns false if no retries are left. */
static bool retry(Call *c)
{
    if (c->retries >= c->item->repeats)
        return false;
    c->retries++;
    c->target = &c->load->targets[(size_t)(c->target - c->load->targets + 1) %
                                  c->load->n_targets];
    g_string_truncate(c->raw, 0);
    g_string_truncate(c->text, 0);
    c->done_seen = false;
    c->error_event = false;
    c->first_us = 0;
    send_call(c);
    return true;
}

static void end_call(Call *c)
{
    Load *l = c->load;
    c->outcome.at_s = (double)(now_us() - l->start_us) / WP_US_PER_S;
    g_array_append_val(l->r.outcomes, c->outcome);
    l->r.ended++;
    l->in_flight--;
    free_call(c);
}

static void on_done(struct evhttp_request *r, void *arg)
{
    Call *c = arg;
    int status = r ? evhttp_request_get_response_code(r) : 0;
    struct evhttp_connection *con = c->con;
    c->con = NULL;
    if (!status) {
        c->load->r.no_answer++;
        if (c->session)
            c->session->in_flight = false;
        /* evhttp still uses the connection here, so it is freed later. */
        g_queue_push_head(&c->target->failed, con);
    } else {
        const char *id = wp_http_header(r, WP_H_REQUEST_ID);
        const char *ran = wp_http_header(r, WP_H_RAN);
        g_strlcpy(c->outcome.request_id, id ? id : "",
                  sizeof(c->outcome.request_id));
        g_strlcpy(c->outcome.ran, ran ? ran : "", sizeof(c->outcome.ran));
        on_chunk(r, c);
        if (status == 200)
            check_answer(c, r);
        else
            check_refusal(c, r);
        g_queue_push_head(&c->target->idle, con);
    }
    if (!retry(c))
        end_call(c);
}

static struct evhttp_connection *take_connection(Load *l, Target *t)
{
    struct evhttp_connection *con = g_queue_pop_head(&t->idle);
    if (con)
        return con;
    con = evhttp_connection_base_new(l->base, NULL, t->host, t->port);
    evhttp_connection_set_timeout(con, CALL_TIMEOUT_S);
    return con;
}

static void add_headers(const Call *c, struct evhttp_request *r)
{
    struct evkeyvalq *h = evhttp_request_get_output_headers(r);
    g_autofree char *auth = g_strconcat("Bearer ", c->item->key, NULL);
    g_autofree char *deadline = g_strdup_printf("%u", c->item->deadline_ms);
    evhttp_add_header(h, "Host", c->target->host);
    evhttp_add_header(h, "Authorization", auth);
    evhttp_add_header(h, WP_H_KIND, c->item->kind);
    evhttp_add_header(h, WP_H_DEADLINE, deadline);
    evhttp_add_header(h, "Content-Type", "application/json");
    if (c->idempotency_key)
        evhttp_add_header(h, WP_H_IDEMPOTENCY_KEY, c->idempotency_key);
    if (c->session && c->session->uses_token && c->session->token)
        evhttp_add_header(h, WP_H_SESSION_TOKEN, c->session->token);
    else if (c->session && !c->session->uses_token)
        evhttp_add_header(h, WP_H_SESSION, c->session->id);
}

static unsigned answer_tokens(const Call *c)
{
    const Wp__MixItem *i = c->item;
    if (!i->heavy_tail)
        return i->answer_tokens;
    double u = g_rand_double(c->load->rand);
    double x = pow(1 - u, -1 / TAIL_SHAPE) / 3;
    return (unsigned)MAX(2, i->answer_tokens * MIN(x, TAIL_MAX));
}

static void add_body(const Call *c, struct evhttp_request *r)
{
    struct evbuffer *out = evhttp_request_get_output_buffer(r);
    const Load *l = c->load;
    if (c->item->service) {
        evbuffer_add(out, c->prompt, strlen(c->prompt));
        return;
    }
    const char *prefix =
        l->prefixes->pdata[wp_hash(wp_str(c->prompt), 9) % l->prefixes->len];
    json_t *j = json_pack(
        "{s:s,s:i,s:b,s:[{s:s,s:s},{s:s,s:s}]}", "model", "auto", "max_tokens",
        (int)answer_tokens(c), "stream", c->item->stream, "messages", "role",
        "system", "content", prefix, "role", "user", "content", c->prompt);
    char *text = json_dumps(j, JSON_COMPACT);
    evbuffer_add(out, text, strlen(text));
    free(text);
    json_decref(j);
}

static void send_call(Call *c)
{
    struct evhttp_request *r = evhttp_request_new(on_done, c);
    g_autofree char *path =
        c->item->service
            ? g_strdup_printf("/v1/services/%s/call", c->item->service)
            : g_strdup("/v1/chat/completions");
    evhttp_request_set_chunked_cb(r, on_chunk);
    add_headers(c, r);
    add_body(c, r);
    c->start_us = now_us();
    c->con = take_connection(c->load, c->target);
    evhttp_make_request(c->con, r, EVHTTP_REQ_POST, path);
}

static size_t pick_item(Load *l)
{
    double total = 0;
    for (size_t i = 0; i < l->mix->n_items; i++)
        total += l->mix->items[i]->weight;
    double x = g_rand_double(l->rand) * total;
    for (size_t i = 0; i < l->mix->n_items; i++) {
        x -= l->mix->items[i]->weight;
        if (x < 0)
            return i;
    }
    return l->mix->n_items - 1;
}

/* Picks a session of the item that has no request in flight; NULL if the tries
   find none. */
static Session *pick_session(Load *l, size_t item)
{
    uint32_t n = l->mix->items[item]->sessions;
    for (uint32_t i = 0; i < n; i++) {
        Session *s = &l->sessions[item][g_rand_int_range(l->rand, 0, (gint)n)];
        if (s->in_flight)
            continue;
        s->in_flight = true;
        return s;
    }
    return NULL;
}

/* Sets a prompt that is unique in this run, and its digest. */
static void make_prompt(Call *c)
{
    GString *s = g_string_new(NULL);
    g_string_append_printf(s, "question %lu-%lu",
                           (unsigned long)c->load->mix->seed,
                           (unsigned long)c->load->next_prompt++);
    for (uint32_t i = 0; i < c->item->prompt_words; i++)
        g_string_append(s, " word");
    c->prompt = g_string_free(s, FALSE);
    g_autofree char *sum =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, c->prompt, -1);
    g_strlcpy(c->outcome.digest, sum, 17);
}

/* Picks a random healthy entry, like the platform's load balancer; any entry
   if none is healthy. */
static Target *pick_target(Load *l)
{
    gint n = (gint)l->n_targets;
    gint start = g_rand_int_range(l->rand, 0, n);
    for (gint i = 0; i < n; i++) {
        Target *t = &l->targets[(start + i) % n];
        if (t->healthy)
            return t;
    }
    return &l->targets[start];
}

static void new_call(Load *l)
{
    size_t i = pick_item(l);
    Call *c = g_new0(Call, 1);
    c->load = l;
    c->item = l->mix->items[i];
    c->target = pick_target(l);
    c->session = pick_session(l, i);
    c->text = g_string_new(NULL);
    c->raw = g_string_new(NULL);
    make_prompt(c);
    if (c->item->once) {
        c->idempotency_key = g_malloc(37);
        wp_uuid7(c->idempotency_key,
                 (uint64_t)(g_get_real_time() / WP_US_PER_MS), l->rand);
        c->outcome.has_idempotency_key = true;
    }
    l->r.sent++;
    l->in_flight++;
    ++*counter(l->offered, c->item->workspace);
    send_call(c);
}

/* --- arrivals --- */

/* Arrival rate `s` seconds after the start, in requests per second. */
static double rate_at(const Load *l, double s)
{
    double rate = l->mix->rate;
    for (size_t i = 0; i < l->mix->n_bursts; i++) {
        const Wp__Burst *b = l->mix->bursts[i];
        if (s >= b->from_s && s < b->to_s)
            rate *= b->factor;
    }
    return rate;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
    Load *l = arg;
    int64_t now = now_us();
    (void)fd;
    (void)what;
    while (l->next_us <= now && !l->stopped) {
        double s = (double)(l->next_us - l->start_us) / WP_US_PER_S;
        if (s >= l->mix->seconds) {
            l->stopped = true;
            return;
        }
        new_call(l);
        double gap = -log(1 - g_rand_double(l->rand)) / rate_at(l, s);
        l->next_us += (int64_t)(gap * WP_US_PER_S);
    }
    if (l->stopped)
        return;
    int64_t wait = MAX(l->next_us - now_us(), 0);
    struct timeval after = { wait / WP_US_PER_S, wait % WP_US_PER_S };
    event_add(l->timer, &after);
}

void load_start(Load *l)
{
    l->start_us = now_us();
    l->next_us = l->start_us;
    event_active(l->timer, EV_TIMEOUT, 0);
}

void load_stop(Load *l)
{
    l->stopped = true;
}

bool load_done(const Load *l)
{
    return l->stopped && !l->in_flight;
}

const LoadResult *load_result(const Load *l)
{
    return &l->r;
}
