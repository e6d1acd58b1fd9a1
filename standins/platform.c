/* Stand-ins for the list of boxes (which shows changes late), for the service
 * that rates answers (late, and only some of them) and for a plain service,
 * one without a model. */
#include "stand.h"

#include <event2/buffer.h>

/* --- list of boxes --- */

typedef struct Boxes {
    json_t *boxes;   /* id -> {id, addr, port, state, at_us} */
    json_t *visible; /* what callers see: the list as it was lag_ms ago */
    json_t *log;     /* changes not yet visible: {at, id, box or null} */
    double lag_ms;
} Boxes;

static void publish_due_boxes(Boxes *b)
{
    int64_t due = g_get_monotonic_time() - (int64_t)(b->lag_ms * WP_US_PER_MS);
    while (json_array_size(b->log)) {
        json_t *first = json_array_get(b->log, 0);
        if (json_integer_value(json_object_get(first, "at")) > due)
            return;
        const char *id = json_string_value(json_object_get(first, "id"));
        json_t *box = json_object_get(first, "box");
        if (json_is_null(box))
            json_object_del(b->visible, id);
        else
            json_object_set(b->visible, id, box);
        json_array_remove(b->log, 0);
    }
}

static void record_change(Boxes *b, const json_t *body)
{
    const char *id = json_string_value(json_object_get(body, "id"));
    const char *state = json_string_value(json_object_get(body, "state"));
    bool gone = state && !strcmp(state, "gone");
    if (!id)
        return;
    json_array_append_new(
        b->log,
        json_pack("{s:I,s:s,s:o}", "at", (json_int_t)g_get_monotonic_time(),
                  "id", id, "box", gone ? json_null() : json_deep_copy(body)));
}

static void on_boxes(struct evhttp_request *r, void *arg)
{
    Boxes *b = arg;
    if (evhttp_request_get_command(r) == EVHTTP_REQ_POST) {
        json_t *body = wp_http_body_json(r);
        record_change(b, body);
        json_decref(body);
    }
    publish_due_boxes(b);
    json_t *list = json_array(), *box;
    const char *id;
    json_object_foreach (b->visible, id, box)
        json_array_append(list, box);
    wp_http_reply_json(r, 200, json_pack("{s:o}", "boxes", list));
}

static void on_boxes_control(struct evhttp_request *r, void *arg)
{
    Boxes *b = arg;
    json_t *j = wp_http_body_json(r);
    stand_set_number(j, "lag_ms", &b->lag_ms);
    json_decref(j);
    wp_http_reply_json(r, 200, json_object());
}

void stand_boxes(struct event_base *base, struct evhttp *http,
                 const Wp__StandSettings *s)
{
    Boxes *b = g_new0(Boxes, 1);
    (void)base;
    b->boxes = json_object();
    b->visible = json_object();
    b->log = json_array();
    b->lag_ms = s->lag_ms;
    evhttp_set_cb(http, "/v1/boxes", on_boxes, b);
    evhttp_set_cb(http, "/control", on_boxes_control, b);
}

/* --- ratings --- */

typedef struct Rating {
    int64_t at_us;
    char *kind, *version;
    double score;
} Rating;

typedef struct Ratings {
    GQueue waiting; /* of Rating, not yet in `sums` */
    json_t *sums;   /* "kind\tversion" -> {kind, version, count, sum} */
    double lag_ms, wrong_checks;
    uint64_t seq, checks;
    GRand *rand;
} Ratings;

static void publish_due_ratings(Ratings *s)
{
    int64_t due = g_get_monotonic_time() - (int64_t)(s->lag_ms * WP_US_PER_MS);
    Rating *rating;
    while ((rating = g_queue_peek_head(&s->waiting)) && rating->at_us <= due) {
        g_autofree char *key =
            g_strjoin("\t", rating->kind, rating->version, NULL);
        json_t *sum = json_object_get(s->sums, key);
        if (!sum) {
            sum = json_pack("{s:s,s:s,s:i,s:f}", "kind", rating->kind,
                            "version", rating->version, "count", 0, "sum", 0.0);
            json_object_set_new(s->sums, key, sum);
        }
        json_t *count = json_object_get(sum, "count");
        json_integer_set(count, json_integer_value(count) + 1);
        json_t *total = json_object_get(sum, "sum");
        json_real_set(total, json_real_value(total) + rating->score);
        s->seq++;
        g_queue_pop_head(&s->waiting);
        g_free(rating->kind);
        g_free(rating->version);
        g_free(rating);
    }
}

static void add_rating(Ratings *s, const char *kind, const char *version,
                       double score)
{
    if (!kind || !version)
        return;
    Rating *rating = g_new0(Rating, 1);
    rating->at_us = g_get_monotonic_time();
    rating->kind = g_strdup(kind);
    rating->version = g_strdup(version);
    rating->score = score;
    g_queue_push_tail(&s->waiting, rating);
}

static void on_rate(struct evhttp_request *r, void *arg)
{
    json_t *j = wp_http_body_json(r);
    add_rating(arg, json_string_value(json_object_get(j, "kind")),
               json_string_value(json_object_get(j, "version")),
               json_number_value(json_object_get(j, "score")));
    json_decref(j);
    wp_http_reply_json(r, 200, json_object());
}

/* Rates a submitted answer: good if its text contains "good ". */
static void on_submit(struct evhttp_request *r, void *arg)
{
    Ratings *s = arg;
    json_t *j = wp_http_body_json(r);
    const char *answer = json_string_value(json_object_get(j, "answer"));
    add_rating(s, json_string_value(json_object_get(j, "kind")),
               json_string_value(json_object_get(j, "version")),
               answer && strstr(answer, "good ") ? 1 : 0);
    json_decref(j);
    wp_http_reply_json(r, 200, json_object());
}

static void on_sums(struct evhttp_request *r, void *arg)
{
    Ratings *s = arg;
    json_t *list = json_array(), *sum;
    const char *key;
    publish_due_ratings(s);
    json_object_foreach (s->sums, key, sum)
        json_array_append(list, sum);
    wp_http_reply_json(
        r, 200,
        json_pack("{s:I,s:o}", "seq", (json_int_t)s->seq, "sums", list));
}

static void on_check(struct evhttp_request *r, void *arg)
{
    Ratings *s = arg;
    json_t *j = wp_http_body_json(r);
    const char *answer = json_string_value(json_object_get(j, "answer"));
    bool good = answer && strstr(answer, "good");
    if (g_rand_double(s->rand) < s->wrong_checks)
        good = !good;
    s->checks++;
    json_decref(j);
    wp_http_reply_json(r, 200, json_pack("{s:b}", "good", good));
}

static void on_ratings_control(struct evhttp_request *r, void *arg)
{
    Ratings *s = arg;
    json_t *j = wp_http_body_json(r);
    stand_set_number(j, "lag_ms", &s->lag_ms);
    stand_set_number(j, "wrong_checks", &s->wrong_checks);
    json_decref(j);
    wp_http_reply_json(r, 200,
                       json_pack("{s:I}", "checks", (json_int_t)s->checks));
}

void stand_ratings(struct event_base *base, struct evhttp *http,
                   const Wp__StandSettings *settings)
{
    Ratings *s = g_new0(Ratings, 1);
    (void)base;
    g_queue_init(&s->waiting);
    s->sums = json_object();
    s->lag_ms = settings->lag_ms;
    s->rand = g_rand_new_with_seed((guint32)settings->seed);
    evhttp_set_cb(http, "/v1/rate", on_rate, s);
    evhttp_set_cb(http, "/v1/submit", on_submit, s);
    evhttp_set_cb(http, "/v1/sums", on_sums, s);
    evhttp_set_cb(http, "/v1/check", on_check, s);
    evhttp_set_cb(http, "/control", on_ratings_control, s);
}

/* --- a plain service --- */

typedef struct Service {
    json_t *ledger;
    bool silent, refuse, cut;
} Service;

static const char *header_of(struct evhttp_request *r, const char *name)
{
    const char *v = wp_http_header(r, name);
    return v ? v : "";
}

static void on_call(struct evhttp_request *r, void *arg)
{
    Service *s = arg;
    const char *id = wp_http_header(r, "X-Request-Id");
    if (!strcmp(stand_path(r), "/ledger")) {
        wp_http_reply_json(r, 200, json_incref(s->ledger));
        return;
    }
    if (!strcmp(stand_path(r), "/control")) {
        json_t *j = wp_http_body_json(r);
        stand_set_bool(j, "silent", &s->silent);
        stand_set_bool(j, "refuse", &s->refuse);
        stand_set_bool(j, "cut", &s->cut);
        json_decref(j);
        wp_http_reply_json(r, 200, json_object());
        return;
    }
    if (s->refuse) {
        wp_http_reply_json(r, 503, json_object());
        return;
    }
    struct evbuffer *in = evhttp_request_get_input_buffer(r);
    size_t n = evbuffer_get_length(in);
    const char *body = (const char *)evbuffer_pullup(in, -1);
    g_autofree char *text = g_strndup(body ? body : "", n);
    g_autofree char *sum =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
    sum[16] = 0;
    json_array_append_new(
        s->ledger,
        json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:b}", "digest", sum, "request_id",
                  id ? id : "", "version", "service", "workspace",
                  header_of(r, "X-Workspace"), "kind", header_of(r, "X-Kind"),
                  "at_ms", (json_int_t)(g_get_real_time() / WP_US_PER_MS),
                  "whole", true));
    if (s->cut)
        stand_close_connection(r);
    else if (!s->silent)
        wp_http_reply_json(r, 200,
                           json_pack("{s:b,s:o}", "ok", true, "echo",
                                     json_stringn(body ? body : "", n)));
}

void stand_service(struct event_base *base, struct evhttp *http,
                   const Wp__StandSettings *settings)
{
    Service *s = g_new0(Service, 1);
    (void)base;
    (void)settings;
    s->ledger = json_array();
    evhttp_set_gencb(http, on_call, s);
}
