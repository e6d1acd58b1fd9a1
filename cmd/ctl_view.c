/* The commands of wpctl that only read. */
#include "ctl.h"
#include "wp_bill.h"

#include <stdio.h>
#include <stdlib.h>

enum { FETCH_TIMEOUT_MS = 2000, POLL_MS = 100 };

typedef struct Fetch {
    json_t *answer;
    bool done;
} Fetch;

static void on_fetched(void *arg, int status, WPStr body)
{
    Fetch *f = arg;
    f->answer = status == 200 ? json_loadb(body.p, body.n, 0, NULL) : NULL;
    f->done = true;
}

json_t *ctl_fetch_json(Ctl *c, const char *target, const char *path)
{
    Fetch f = { 0 };
    WPHttp *h = wp_http_new(c->base, target, FETCH_TIMEOUT_MS);
    if (!h)
        return NULL;
    wp_http_call(h, path, NULL, on_fetched, NULL, &f);
    while (!f.done)
        event_base_loop(c->base, EVLOOP_ONCE);
    wp_http_free(h);
    return f.answer;
}

typedef struct Range {
    WPKvResultFn done;
    void *arg;
    bool ok, ended;
} Range;

static void on_range(void *arg, const WPKvResult *r)
{
    Range *range = arg;
    range->ok = r->ok;
    range->ended = true;
    if (r->ok)
        range->done(range->arg, r);
}

bool ctl_read_range(Ctl *c, const char *key, const char *end, WPKvResultFn done,
                    void *arg)
{
    Range range = { done, arg, false, false };
    if (!c->kv) {
        fprintf(stderr, "--store HOST:PORT is required\n");
        return false;
    }
    c->kv->ops->range(c->kv, key, end, on_range, &range);
    while (!range.ended)
        event_base_loop(c->base, EVLOOP_ONCE);
    if (!range.ok)
        fprintf(stderr, "the store does not answer\n");
    return range.ok;
}

static void on_config(void *arg, const WPKvResult *r)
{
    Wp__Snapshot *s = wp_kv_snapshot(r);
    wp_config_apply_snapshot(arg, s);
    wp_pb_free(s);
}

WPConfig *ctl_read_config(Ctl *c, int *code)
{
    WPConfig *config = wp_config_new();
    *code = EXIT_OK;
    if (ctl_read_range(c, WP_KV_CONFIG, WP_KV_CONFIG_END, on_config, config))
        return config;
    *code = EXIT_UNAVAILABLE;
    wp_config_free(config);
    return NULL;
}

static void print_json(json_t *j)
{
    char *text = json_dumps(j, JSON_INDENT(2));
    printf("%s\n", text);
    free(text);
    json_decref(j);
}

typedef struct Show {
    const Ctl *c;
    const char *prefix;
    json_t *list;
} Show;

static void show_object(void *arg, const char *key, const Wp__Object *o)
{
    Show *s = arg;
    if (s->prefix && strcmp(key, s->prefix) &&
        !(g_str_has_prefix(key, s->prefix) && !strchr(s->prefix, '/') &&
          key[strlen(s->prefix)] == '/'))
        return;
    json_t *j = wp_pb_json(&o->base);
    if (s->list) {
        json_array_append_new(s->list, j);
        return;
    }
    json_t *spec = json_object_iter_value(json_object_iter(j));
    char *text = json_dumps(spec, JSON_COMPACT);
    printf("%-32s %s\n", key, text);
    free(text);
    json_decref(j);
}

int ctl_get(Ctl *c)
{
    int code;
    WPConfig *config = ctl_read_config(c, &code);
    if (!config)
        return code;
    Show s = { c, c->n_args > 1 ? c->args[1] : NULL,
               ctl_wants_json(c) ? json_array() : NULL };
    wp_config_each(config, show_object, &s);
    if (s.list)
        print_json(json_pack("{s:I,s:o}", "revision",
                             (json_int_t)wp_config_revision(config), "objects",
                             s.list));
    else
        printf("revision %lu\n", (unsigned long)wp_config_revision(config));
    wp_config_free(config);
    return EXIT_OK;
}

/* Admin ports (host:port) of all boxes that are not gone, as the box at --admin
   knows them. Empty, after printing an error, if that box does not answer. */
static GPtrArray *list_admin_ports(Ctl *c)
{
    GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
    json_t *boxes = c->admin ? ctl_fetch_json(c, c->admin, "/v1/boxes") : NULL;
    json_t *box;
    size_t i;
    if (!boxes)
        fprintf(stderr, "--admin HOST:PORT of any running box is required\n");
    json_array_foreach (boxes, i, box) {
        if (json_is_true(json_object_get(box, "gone")))
            continue;
        g_ptr_array_add(
            out,
            g_strdup_printf(
                "%s:%d", json_string_value(json_object_get(box, "addr")),
                (int)json_integer_value(json_object_get(box, "admin_port"))));
    }
    json_decref(boxes);
    return out;
}

/* The status of every box, as an array. A box that does not answer is listed
   with `lost` and revision 0. */
static json_t *fetch_statuses(Ctl *c)
{
    g_autoptr(GPtrArray) list = list_admin_ports(c);
    json_t *out = json_array();
    for (guint i = 0; i < list->len; i++) {
        json_t *s = ctl_fetch_json(c, list->pdata[i], "/v1/status");
        if (!s)
            s = json_pack("{s:s,s:b,s:i}", "id", list->pdata[i], "lost", true,
                          "revision", 0);
        json_array_append_new(out, s);
    }
    return out;
}

static uint64_t status_revision(const json_t *status)
{
    return (uint64_t)json_integer_value(json_object_get(status, "revision"));
}

/* Number of boxes whose configuration is older than `revision`. */
static unsigned count_behind(const json_t *list, uint64_t revision)
{
    json_t *s;
    size_t i;
    unsigned n = 0;
    json_array_foreach (list, i, s)
        n += status_revision(s) < revision;
    return n;
}

static void print_status(const json_t *list, uint64_t revision)
{
    json_t *s;
    size_t i;
    json_array_foreach (list, i, s) {
        const char *id = json_string_value(json_object_get(s, "id"));
        if (json_object_get(s, "lost")) {
            printf("%-12s does not answer\n", id);
            continue;
        }
        printf("%-12s %-6s %-8s revision %-6lu %s%s%s requests %d, bills "
               "waiting %d\n",
               id, json_string_value(json_object_get(s, "role")),
               json_string_value(json_object_get(s, "zone")),
               (unsigned long)status_revision(s),
               status_revision(s) < revision ? "BEHIND " : "",
               json_is_true(json_object_get(s, "leaving")) ? "leaving " : "",
               json_is_true(json_object_get(s, "ready")) ? "ready"
                                                         : "not ready",
               (int)json_integer_value(json_object_get(s, "requests")),
               (int)json_integer_value(json_object_get(s, "bills_pending")));
    }
}

int ctl_wait_for_revision(Ctl *c, uint64_t revision)
{
    int64_t start = ctl_now().mono_us;
    int64_t limit = (int64_t)(c->timeout_s * WP_US_PER_S);
    for (;;) {
        json_t *list = fetch_statuses(c);
        unsigned n = count_behind(list, revision);
        size_t total = json_array_size(list);
        int64_t took = ctl_now().mono_us - start;
        if (total && !n) {
            printf("active on all %zu boxes after %.2f s\n", total,
                   (double)took / WP_US_PER_S);
            json_decref(list);
            return EXIT_OK;
        }
        if (took > limit) {
            print_status(list, revision);
            fprintf(stderr, "not active on %u of %zu boxes after %.1f s\n", n,
                    total, c->timeout_s);
            json_decref(list);
            return EXIT_UNAVAILABLE;
        }
        json_decref(list);
        struct timeval pause = { 0, POLL_MS * WP_US_PER_MS };
        event_base_loopexit(c->base, &pause);
        event_base_loop(c->base, EVLOOP_NO_EXIT_ON_EMPTY);
    }
}

static void on_head(void *arg, const WPKvResult *r)
{
    if (r->n_items)
        *(uint64_t *)arg = r->items[0].mod_revision;
}

int ctl_status(Ctl *c)
{
    uint64_t revision = 0;
    if (c->kv)
        ctl_read_range(c, WP_KV_HEAD, NULL, on_head, &revision);
    if (c->wait)
        return ctl_wait_for_revision(c, revision);
    json_t *list = fetch_statuses(c);
    unsigned n = count_behind(list, revision);
    size_t total = json_array_size(list);
    if (ctl_wants_json(c)) {
        print_json(json_pack("{s:I,s:O}", "revision", (json_int_t)revision,
                             "boxes", list));
    } else {
        print_status(list, revision);
        printf("store revision %lu, %zu boxes, %u behind\n",
               (unsigned long)revision, total, n);
    }
    json_decref(list);
    return total && !n ? EXIT_OK : EXIT_UNAVAILABLE;
}

static int by_clock(const void *a, const void *b)
{
    json_int_t x =
        json_integer_value(json_object_get(*(json_t *const *)a, "clock"));
    json_int_t y =
        json_integer_value(json_object_get(*(json_t *const *)b, "clock"));
    return x < y ? -1 : x > y;
}

static void print_event(const json_t *e)
{
    uint64_t clock = (uint64_t)json_integer_value(json_object_get(e, "clock"));
    int64_t ms = (int64_t)(clock >> 16);
    g_autoptr(GDateTime) t = g_date_time_new_from_unix_utc(ms / WP_MS_PER_S);
    g_autofree char *text = g_date_time_format(t, "%H:%M:%S");
    printf("%s.%03d %-10s %-10s %s %s\n", text, (int)(ms % WP_MS_PER_S),
           json_string_value(json_object_get(e, "box")),
           json_string_value(json_object_get(e, "event")),
           json_string_value(json_object_get(e, "text")),
           json_string_value(json_object_get(e, "request")));
}

int ctl_timeline(Ctl *c)
{
    g_autoptr(GPtrArray) list = list_admin_ports(c);
    g_autoptr(GPtrArray) events = g_ptr_array_new();
    json_t *all = json_array(), *e;
    size_t i;
    g_autofree char *path =
        c->request ? g_strconcat("/v1/timeline?request=", c->request, NULL)
                   : g_strdup("/v1/timeline");
    for (guint k = 0; k < list->len; k++) {
        json_t *one = ctl_fetch_json(c, list->pdata[k], path);
        if (one)
            json_array_extend(all, one);
        json_decref(one);
    }
    json_array_foreach (all, i, e)
        g_ptr_array_add(events, e);
    if (events->len)
        qsort(events->pdata, events->len, sizeof(gpointer), by_clock);
    json_t *sorted = json_array();
    for (guint k = 0; k < events->len; k++) {
        if (ctl_wants_json(c))
            json_array_append(sorted, events->pdata[k]);
        else
            print_event(events->pdata[k]);
    }
    if (ctl_wants_json(c))
        print_json(sorted);
    else
        json_decref(sorted);
    json_decref(all);
    return list->len ? EXIT_OK : EXIT_UNAVAILABLE;
}

int ctl_why(Ctl *c)
{
    if (!c->admin || !c->workspace || !c->kind) {
        fprintf(stderr, "why: --admin (of an entry), --workspace and --kind "
                        "are required\n");
        return EXIT_BAD_INPUT;
    }
    g_autofree char *labels =
        g_uri_escape_string(c->labels ? c->labels : "", NULL, FALSE);
    g_autofree char *path =
        g_strdup_printf("/v1/why?workspace=%s&kind=%s%s%s", c->workspace,
                        c->kind, c->labels ? "&labels=" : "", labels);
    json_t *lines = ctl_fetch_json(c, c->admin, path), *line;
    size_t i;
    if (!lines) {
        fprintf(stderr,
                "why: no such workspace or kind, or --admin is not that of "
                "an entry\n");
        return EXIT_BAD_INPUT;
    }
    if (ctl_wants_json(c)) {
        print_json(lines);
        return EXIT_OK;
    }
    json_array_foreach (lines, i, line)
        printf("%s\n", json_string_value(line));
    json_decref(lines);
    return EXIT_OK;
}

static void on_bill_batches(void *arg, const WPKvResult *r)
{
    WPCharges *charges = arg;
    for (size_t i = 0; i < r->n_items; i++) {
        Wp__BillBatch *b = wp__bill_batch__unpack(
            NULL, r->items[i].value.n, (const uint8_t *)r->items[i].value.p);
        if (b)
            wp_charges_add(charges, b);
        wp_pb_free(b);
    }
}

typedef struct Sums {
    /* "workspace version" -> {requests, prompt_tokens, answer_tokens} */
    json_t *by_version;
    json_t *charges; /* array, one object per charge */
} Sums;

static void add_to(json_t *o, const char *name, json_int_t by)
{
    json_t *v = json_object_get(o, name);
    json_integer_set(v, json_integer_value(v) + by);
}

static void add_charge(void *arg, const WPCharge *c)
{
    Sums *s = arg;
    g_autofree char *key =
        g_strdup_printf("%s %s", c->bill->workspace, c->bill->version);
    json_t *sum = json_object_get(s->by_version, key);
    if (!sum) {
        sum = json_pack("{s:i,s:i,s:i}", "requests", 0, "prompt_tokens", 0,
                        "answer_tokens", 0);
        json_object_set_new(s->by_version, key, sum);
    }
    add_to(sum, "requests", 1);
    add_to(sum, "prompt_tokens", c->bill->prompt_tokens);
    add_to(sum, "answer_tokens", c->bill->answer_tokens);
    json_array_append_new(
        s->charges,
        json_pack("{s:s,s:i,s:s,s:s,s:i,s:b,s:i}", "request_id", c->request_id,
                  "step", (int)c->step, "version", c->bill->version,
                  "workspace", c->bill->workspace, "answer_tokens",
                  (int)c->bill->answer_tokens, "whole", c->bill->whole, "seen",
                  (int)c->occurrences));
}

int ctl_bills(Ctl *c)
{
    WPCharges *charges = wp_charges_new();
    Sums s = { json_object(), json_array() };
    const char *key;
    json_t *sum;
    bool ok = ctl_read_range(c, WP_BILL_PREFIX, "/wp/bills0", on_bill_batches,
                             charges);
    wp_charges_each(charges, add_charge, &s);
    wp_charges_free(charges);
    if (ctl_wants_json(c)) {
        print_json(
            json_pack("{s:O,s:O}", "sums", s.by_version, "charges", s.charges));
    } else {
        json_object_foreach (s.by_version, key, sum)
            printf(
                "%-40s requests %-6d prompt %-8d answer %d\n", key,
                (int)json_integer_value(json_object_get(sum, "requests")),
                (int)json_integer_value(json_object_get(sum, "prompt_tokens")),
                (int)json_integer_value(json_object_get(sum, "answer_tokens")));
    }
    json_decref(s.by_version);
    json_decref(s.charges);
    return ok ? EXIT_OK : EXIT_UNAVAILABLE;
}
