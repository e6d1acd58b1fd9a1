/* Updates about endpoints, exchanged within a zone. */
#include "wp_box_updates.h"
#include "wp_pb.h"

enum {
    PREFILL_MAX_MS = 60000, /* of one prompt; the longest known takes 3 s */
    TOKENS_MAX = 10000000,  /* of one prompt */
    TTFB_MAX_US = 120000000,
    LOAD_MAX = 100000 /* running or waiting requests at one endpoint */
};

void wp_box_updates_init(WPBoxUpdates *n)
{
    *n = (WPBoxUpdates){ 0 };
    n->sent_to = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    n->sent_ms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    n->began_at = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    n->began_ms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    n->load_of = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    n->load_running = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    n->load_waiting = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    n->kept_at = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    n->kept_prefix = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    n->kept_tokens = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    n->asked_of = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    n->asked_per_min = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    n->ttfb_of = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (unsigned v = 0; v < WP_TTFB_VALUES; v++)
        n->ttfb[v] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

void wp_box_updates_destroy(WPBoxUpdates *n)
{
    g_array_unref(n->sent_to);
    g_array_unref(n->sent_ms);
    g_array_unref(n->began_at);
    g_array_unref(n->began_ms);
    g_array_unref(n->load_of);
    g_array_unref(n->load_running);
    g_array_unref(n->load_waiting);
    g_array_unref(n->kept_at);
    g_array_unref(n->kept_prefix);
    g_array_unref(n->kept_tokens);
    g_array_unref(n->asked_of);
    g_array_unref(n->asked_per_min);
    g_array_unref(n->ttfb_of);
    for (unsigned v = 0; v < WP_TTFB_VALUES; v++)
        g_array_unref(n->ttfb[v]);
}

/* Returns whether `a` has room for one more record; counts a dropped record if
   not. */
static bool has_room(WPBoxUpdates *n, const GArray *a)
{
    if (a->len < WP_BOX_UPDATES_MAX)
        return true;
    n->dropped++;
    return false;
}

static void add_prefill(WPBoxUpdates *n, GArray *at, GArray *in_ms,
                        uint64_t replica, double prefill_us)
{
    double ms = prefill_us / WP_US_PER_MS;
    uint32_t prefill_ms = (uint32_t)CLAMP(ms, 0, PREFILL_MAX_MS);
    if (!has_room(n, at))
        return;
    g_array_append_val(at, replica);
    g_array_append_val(in_ms, prefill_ms);
}

void wp_box_updates_add_sent(WPBoxUpdates *n, uint64_t replica,
                             double prefill_us)
{
    add_prefill(n, n->sent_to, n->sent_ms, replica, prefill_us);
}

void wp_box_updates_add_first_byte(WPBoxUpdates *n, uint64_t replica,
                                   double prefill_us)
{
    add_prefill(n, n->began_at, n->began_ms, replica, prefill_us);
}

/* Overwrites a queued load of the same endpoint, as only the newest is sent.
   Returns false if there is none. */
static bool replace_load(WPBoxUpdates *n, uint64_t replica, uint32_t running,
                         uint32_t waiting)
{
    for (guint i = 0; i < n->load_of->len; i++) {
        if (g_array_index(n->load_of, uint64_t, i) != replica)
            continue;
        g_array_index(n->load_running, uint32_t, i) = running;
        g_array_index(n->load_waiting, uint32_t, i) = waiting;
        return true;
    }
    return false;
}

void wp_box_updates_add_load(WPBoxUpdates *n, uint64_t replica,
                             uint32_t running, uint32_t waiting)
{
    if (replace_load(n, replica, running, waiting) || !has_room(n, n->load_of))
        return;
    g_array_append_val(n->load_of, replica);
    g_array_append_val(n->load_running, running);
    g_array_append_val(n->load_waiting, waiting);
}

void wp_box_updates_add_cached(WPBoxUpdates *n,
                               const WPCachedPrefixUpdate *cached)
{
    if (!has_room(n, n->kept_at))
        return;
    g_array_append_val(n->kept_at, cached->replica);
    g_array_append_val(n->kept_prefix, cached->key);
    g_array_append_val(n->kept_tokens, cached->tokens);
}

void wp_box_updates_add_demand(WPBoxUpdates *n, const WPDemandUpdate *demand)
{
    if (!has_room(n, n->asked_of))
        return;
    g_array_append_val(n->asked_of, demand->service);
    g_array_append_val(n->asked_per_min, demand->per_min);
}

void wp_box_updates_add_ttfb(WPBoxUpdates *n, const WPTtfbSample *t)
{
    const uint32_t values[WP_TTFB_VALUES] = {
        [WP_TTFB_PROMPT] = t->inputs.prompt_tokens,
        [WP_TTFB_UNCACHED] = t->inputs.uncached_tokens,
        [WP_TTFB_LOAD] = (uint32_t)t->inputs.load,
        [WP_TTFB_WAITING] = (uint32_t)t->inputs.waiting,
        [WP_TTFB_QUEUED_MS] =
            (uint32_t)(t->inputs.queued_prefill_us / WP_US_PER_MS),
        [WP_TTFB_US] = (uint32_t)CLAMP(t->usual_us, 0, TTFB_MAX_US)
    };
    if (!has_room(n, n->ttfb_of))
        return;
    g_array_append_val(n->ttfb_of, t->model);
    for (unsigned v = 0; v < WP_TTFB_VALUES; v++)
        g_array_append_val(n->ttfb[v], values[v]);
}

bool wp_box_updates_pending(const WPBoxUpdates *n)
{
    return n->sent_to->len || n->began_at->len || n->load_of->len ||
           n->kept_at->len || n->asked_of->len || n->ttfb_of->len;
}

static void fill_ttfb(const WPBoxUpdates *n, Wp__BoxNews *out)
{
    out->n_ttfb_of = n->ttfb_of->len;
    out->ttfb_of = (uint64_t *)(void *)n->ttfb_of->data;
    out->n_ttfb_prompt = n->ttfb_of->len;
    out->ttfb_prompt = (uint32_t *)(void *)n->ttfb[WP_TTFB_PROMPT]->data;
    out->n_ttfb_uncached = n->ttfb_of->len;
    out->ttfb_uncached = (uint32_t *)(void *)n->ttfb[WP_TTFB_UNCACHED]->data;
    out->n_ttfb_load = n->ttfb_of->len;
    out->ttfb_load = (uint32_t *)(void *)n->ttfb[WP_TTFB_LOAD]->data;
    out->n_ttfb_waiting = n->ttfb_of->len;
    out->ttfb_waiting = (uint32_t *)(void *)n->ttfb[WP_TTFB_WAITING]->data;
    out->n_ttfb_queued_ms = n->ttfb_of->len;
    out->ttfb_queued_ms = (uint32_t *)(void *)n->ttfb[WP_TTFB_QUEUED_MS]->data;
    out->n_ttfb_us = n->ttfb_of->len;
    out->ttfb_us = (uint32_t *)(void *)n->ttfb[WP_TTFB_US]->data;
}

void wp_box_updates_fill(const WPBoxUpdates *n, uint64_t box, Wp__BoxNews *out)
{
    wp__box_news__init(out);
    out->box = box;
    out->n_sent_to = out->n_sent_ms = n->sent_to->len;
    out->sent_to = (uint64_t *)(void *)n->sent_to->data;
    out->sent_ms = (uint32_t *)(void *)n->sent_ms->data;
    out->n_began_at = out->n_began_ms = n->began_at->len;
    out->began_at = (uint64_t *)(void *)n->began_at->data;
    out->began_ms = (uint32_t *)(void *)n->began_ms->data;
    out->n_load_of = out->n_load_running = n->load_of->len;
    out->n_load_waiting = n->load_of->len;
    out->load_of = (uint64_t *)(void *)n->load_of->data;
    out->load_running = (uint32_t *)(void *)n->load_running->data;
    out->load_waiting = (uint32_t *)(void *)n->load_waiting->data;
    out->n_kept_at = out->n_kept_prefix = n->kept_at->len;
    out->n_kept_tokens = n->kept_at->len;
    out->kept_at = (uint64_t *)(void *)n->kept_at->data;
    out->kept_prefix = (uint64_t *)(void *)n->kept_prefix->data;
    out->kept_tokens = (uint32_t *)(void *)n->kept_tokens->data;
    out->n_asked_of = out->n_asked_per_min = n->asked_of->len;
    out->asked_of = (uint64_t *)(void *)n->asked_of->data;
    out->asked_per_min = (uint32_t *)(void *)n->asked_per_min->data;
    fill_ttfb(n, out);
}

void wp_box_updates_reset(WPBoxUpdates *n)
{
    g_array_set_size(n->sent_to, 0);
    g_array_set_size(n->sent_ms, 0);
    g_array_set_size(n->began_at, 0);
    g_array_set_size(n->began_ms, 0);
    g_array_set_size(n->load_of, 0);
    g_array_set_size(n->load_running, 0);
    g_array_set_size(n->load_waiting, 0);
    g_array_set_size(n->kept_at, 0);
    g_array_set_size(n->kept_prefix, 0);
    g_array_set_size(n->kept_tokens, 0);
    g_array_set_size(n->asked_of, 0);
    g_array_set_size(n->asked_per_min, 0);
    g_array_set_size(n->ttfb_of, 0);
    for (unsigned v = 0; v < WP_TTFB_VALUES; v++)
        g_array_set_size(n->ttfb[v], 0);
}

/* Returns the number of records without a counterpart in a parallel array: the
   longest of two or three lengths minus the shortest. */
static unsigned unpaired_count(size_t a, size_t b, size_t c)
{
    return (unsigned)(MAX(a, MAX(b, c)) - MIN(a, MIN(b, c)));
}

typedef void (*MergePrefill)(WPReplica *s, WPTime now, double prefill_us);

static unsigned merge_prefills(WPFleet *f, WPTime now, const uint64_t *at,
                               const uint32_t *ms, size_t n, MergePrefill merge)
{
    unsigned invalid = 0;
    for (size_t i = 0; i < n; i++) {
        WPReplica *s = wp_fleet_by_hash(f, at[i]);
        if (ms[i] > PREFILL_MAX_MS)
            invalid++;
        else if (s)
            merge(s, now, (double)ms[i] * WP_US_PER_MS);
    }
    return invalid;
}

static unsigned merge_sent(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    size_t n = MIN(m->n_sent_to, m->n_sent_ms);
    return unpaired_count(m->n_sent_to, m->n_sent_ms, n) +
           merge_prefills(f, now, m->sent_to, m->sent_ms, n,
                          wp_fleet_merge_sent);
}

static unsigned merge_first_bytes(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    size_t n = MIN(m->n_began_at, m->n_began_ms);
    return unpaired_count(m->n_began_at, m->n_began_ms, n) +
           merge_prefills(f, now, m->began_at, m->began_ms, n,
                          wp_fleet_merge_first_byte);
}

static unsigned merge_load(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    size_t n = MIN(m->n_load_of, MIN(m->n_load_running, m->n_load_waiting));
    unsigned invalid =
        unpaired_count(m->n_load_of, m->n_load_running, m->n_load_waiting);
    for (size_t i = 0; i < n; i++) {
        WPReplica *s = wp_fleet_by_hash(f, m->load_of[i]);
        uint32_t running = m->load_running[i], waiting = m->load_waiting[i];
        if (running > LOAD_MAX || waiting > LOAD_MAX)
            invalid++;
        else if (s)
            wp_fleet_merge_load(s, now, running, waiting);
    }
    return invalid;
}

static unsigned merge_cached(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    size_t n = MIN(m->n_kept_at, MIN(m->n_kept_prefix, m->n_kept_tokens));
    for (size_t i = 0; i < n; i++) {
        const WPCachedPrefixUpdate k = { m->kept_at[i], m->kept_prefix[i],
                                         m->kept_tokens[i] };
        wp_fleet_merge_cached_prefix(f, now, &k);
    }
    return unpaired_count(m->n_kept_at, m->n_kept_prefix, m->n_kept_tokens);
}

static unsigned merge_demand(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    size_t n = MIN(m->n_asked_of, m->n_asked_per_min);
    unsigned invalid = unpaired_count(m->n_asked_of, m->n_asked_per_min, n);
    for (size_t i = 0; i < n; i++) {
        const WPDemandUpdate update = { .service = m->asked_of[i],
                                        .subject = m->box,
                                        .per_min = m->asked_per_min[i] };
        if (update.per_min > WP_DEMAND_PER_MIN_MAX)
            invalid++;
        else
            wp_demand_merge(wp_fleet_demand(f), now, &update);
    }
    return invalid;
}

/* Merges times to first byte. Values beyond the shortest of the parallel arrays
   are ignored. */
static unsigned merge_ttfb(WPFleet *f, const Wp__BoxNews *m)
{
    size_t n = MIN(MIN(MIN(MIN(MIN(MIN(m->n_ttfb_of, m->n_ttfb_prompt),
                                   m->n_ttfb_uncached),
                               m->n_ttfb_load),
                           m->n_ttfb_waiting),
                       m->n_ttfb_queued_ms),
                   m->n_ttfb_us);
    size_t longest = MAX(MAX(MAX(MAX(MAX(MAX(m->n_ttfb_of, m->n_ttfb_prompt),
                                         m->n_ttfb_uncached),
                                     m->n_ttfb_load),
                                 m->n_ttfb_waiting),
                             m->n_ttfb_queued_ms),
                         m->n_ttfb_us);
    unsigned invalid = (unsigned)(longest - n);
    for (size_t i = 0; i < n; i++) {
        const WPTtfbSample t = {
            .model = m->ttfb_of[i],
            .inputs = { .prompt_tokens = m->ttfb_prompt[i],
                        .uncached_tokens = m->ttfb_uncached[i],
                        .load = m->ttfb_load[i],
                        .waiting = m->ttfb_waiting[i],
                        .queued_prefill_us =
                            (double)m->ttfb_queued_ms[i] * WP_US_PER_MS },
            .usual_us = m->ttfb_us[i]
        };
        bool valid = m->ttfb_prompt[i] <= TOKENS_MAX &&
                     m->ttfb_uncached[i] <= m->ttfb_prompt[i] &&
                     m->ttfb_load[i] <= LOAD_MAX &&
                     m->ttfb_waiting[i] <= LOAD_MAX &&
                     m->ttfb_queued_ms[i] <= PREFILL_MAX_MS &&
                     m->ttfb_us[i] <= TTFB_MAX_US;
        if (valid)
            wp_fleet_merge_ttfb(f, &t);
        else
            invalid++;
    }
    return invalid;
}

unsigned wp_box_updates_merge(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    return merge_sent(f, now, m) + merge_first_bytes(f, now, m) +
           merge_load(f, now, m) + merge_cached(f, now, m) +
           merge_demand(f, now, m) + merge_ttfb(f, m);
}

static void free_copy(gpointer m)
{
    wp_pb_free(m);
}

void wp_update_batch_init(WPUpdateBatch *b)
{
    *b = (WPUpdateBatch){ .boxes = g_ptr_array_new_with_free_func(free_copy) };
}

void wp_update_batch_destroy(WPUpdateBatch *b)
{
    g_ptr_array_unref(b->boxes);
}

void wp_update_batch_add(WPUpdateBatch *b, const Wp__BoxNews *m)
{
    size_t records = m->n_sent_to + m->n_began_at + m->n_load_of +
                     m->n_kept_at + m->n_asked_of + m->n_ttfb_of;
    if (b->records + records > WP_UPDATE_BATCH_MAX) {
        b->dropped++;
        return;
    }
    b->records += (unsigned)records;
    g_ptr_array_add(b->boxes, wp_pb_copy(&m->base));
}

void wp_update_batch_fill(const WPUpdateBatch *b, Wp__ZoneNews *out)
{
    wp__zone_news__init(out);
    out->n_boxes = b->boxes->len;
    out->boxes = (Wp__BoxNews **)b->boxes->pdata;
    out->has_passed_on = 1;
    out->passed_on = 1;
}

void wp_update_batch_reset(WPUpdateBatch *b)
{
    g_ptr_array_set_size(b->boxes, 0);
    b->records = 0;
}
