/* News of endpoints, within a zone. */
#include "wp_box_news.h"
#include "wp_pb.h"

enum {
    READING_MOST_MS = 60000, /* of one prompt; the longest known take 3 s */
    LOAD_MOST = 100000       /* requests at one endpoint */
};

void wp_box_news_init(WPBoxNews *n)
{
    *n = (WPBoxNews){ 0 };
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
}

void wp_box_news_end(WPBoxNews *n)
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
}

/* Whether one more fits; counts it if not. */
static bool has_room(WPBoxNews *n, const GArray *a)
{
    if (a->len < WP_BOX_NEWS_MOST)
        return true;
    n->dropped++;
    return false;
}

static void add_reading(WPBoxNews *n, GArray *at, GArray *in_ms,
                        uint64_t replica, double reading_us)
{
    double ms = reading_us / WP_US_PER_MS;
    uint32_t whole_ms = (uint32_t)CLAMP(ms, 0, READING_MOST_MS);
    if (!has_room(n, at))
        return;
    g_array_append_val(at, replica);
    g_array_append_val(in_ms, whole_ms);
}

void wp_box_news_sent(WPBoxNews *n, uint64_t replica, double reading_us)
{
    add_reading(n, n->sent_to, n->sent_ms, replica, reading_us);
}

void wp_box_news_began(WPBoxNews *n, uint64_t replica, double reading_us)
{
    add_reading(n, n->began_at, n->began_ms, replica, reading_us);
}

/* The newest of an endpoint is told alone. */
static bool replace_load(WPBoxNews *n, uint64_t replica, uint32_t running,
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

void wp_box_news_load(WPBoxNews *n, uint64_t replica, uint32_t running,
                      uint32_t waiting)
{
    if (replace_load(n, replica, running, waiting) || !has_room(n, n->load_of))
        return;
    g_array_append_val(n->load_of, replica);
    g_array_append_val(n->load_running, running);
    g_array_append_val(n->load_waiting, waiting);
}

void wp_box_news_kept(WPBoxNews *n, const WPCachedPrefixUpdate *kept)
{
    if (!has_room(n, n->kept_at))
        return;
    g_array_append_val(n->kept_at, kept->replica);
    g_array_append_val(n->kept_prefix, kept->key);
    g_array_append_val(n->kept_tokens, kept->tokens);
}

void wp_box_news_asked(WPBoxNews *n, const WPDemandNews *asked)
{
    if (!has_room(n, n->asked_of))
        return;
    g_array_append_val(n->asked_of, asked->service);
    g_array_append_val(n->asked_per_min, asked->per_min);
}

bool wp_box_news_any(const WPBoxNews *n)
{
    return n->sent_to->len || n->began_at->len || n->load_of->len ||
           n->kept_at->len || n->asked_of->len;
}

void wp_box_news_fill(const WPBoxNews *n, uint64_t box, Wp__BoxNews *out)
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
}

void wp_box_news_clear(WPBoxNews *n)
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
}

/* The longest of two or three lists less the shortest: records without a
   partner. */
static unsigned odd(size_t a, size_t b, size_t c)
{
    return (unsigned)(MAX(a, MAX(b, c)) - MIN(a, MIN(b, c)));
}

typedef void (*HearReading)(WPReplica *s, WPTime now, double reading_us);

static unsigned hear_reading(WPFleet *f, WPTime now, const uint64_t *at,
                             const uint32_t *ms, size_t n, HearReading hear)
{
    unsigned bad = 0;
    for (size_t i = 0; i < n; i++) {
        WPReplica *s = wp_fleet_by_hash(f, at[i]);
        if (ms[i] > READING_MOST_MS)
            bad++;
        else if (s)
            hear(s, now, (double)ms[i] * WP_US_PER_MS);
    }
    return bad;
}

static unsigned hear_sent(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    size_t n = MIN(m->n_sent_to, m->n_sent_ms);
    return odd(m->n_sent_to, m->n_sent_ms, n) +
           hear_reading(f, now, m->sent_to, m->sent_ms, n, wp_fleet_merge_sent);
}

static unsigned hear_began(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    size_t n = MIN(m->n_began_at, m->n_began_ms);
    return odd(m->n_began_at, m->n_began_ms, n) +
           hear_reading(f, now, m->began_at, m->began_ms, n,
                        wp_fleet_merge_first_byte);
}

static unsigned hear_load(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    size_t n = MIN(m->n_load_of, MIN(m->n_load_running, m->n_load_waiting));
    unsigned bad = odd(m->n_load_of, m->n_load_running, m->n_load_waiting);
    for (size_t i = 0; i < n; i++) {
        WPReplica *s = wp_fleet_by_hash(f, m->load_of[i]);
        uint32_t running = m->load_running[i], waiting = m->load_waiting[i];
        if (running > LOAD_MOST || waiting > LOAD_MOST)
            bad++;
        else if (s)
            wp_fleet_merge_load(s, now, running, waiting);
    }
    return bad;
}

static unsigned hear_kept(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    size_t n = MIN(m->n_kept_at, MIN(m->n_kept_prefix, m->n_kept_tokens));
    for (size_t i = 0; i < n; i++) {
        const WPCachedPrefixUpdate k = { m->kept_at[i], m->kept_prefix[i],
                                         m->kept_tokens[i] };
        wp_fleet_merge_cached_prefix(f, now, &k);
    }
    return odd(m->n_kept_at, m->n_kept_prefix, m->n_kept_tokens);
}

static unsigned hear_asked(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    size_t n = MIN(m->n_asked_of, m->n_asked_per_min);
    unsigned bad = odd(m->n_asked_of, m->n_asked_per_min, n);
    for (size_t i = 0; i < n; i++) {
        const WPDemandNews news = { .service = m->asked_of[i],
                                    .of = m->box,
                                    .per_min = m->asked_per_min[i] };
        if (news.per_min > WP_DEMAND_MOST)
            bad++;
        else
            wp_demand_hear(wp_fleet_demand(f), now, &news);
    }
    return bad;
}

unsigned wp_box_news_hear(WPFleet *f, WPTime now, const Wp__BoxNews *m)
{
    return hear_sent(f, now, m) + hear_began(f, now, m) + hear_load(f, now, m) +
           hear_kept(f, now, m) + hear_asked(f, now, m);
}

static void free_copy(gpointer m)
{
    wp_pb_free(m);
}

void wp_bundle_init(WPBundle *b)
{
    *b = (WPBundle){ .boxes = g_ptr_array_new_with_free_func(free_copy) };
}

void wp_bundle_end(WPBundle *b)
{
    g_ptr_array_unref(b->boxes);
}

void wp_bundle_add(WPBundle *b, const Wp__BoxNews *m)
{
    size_t records = m->n_sent_to + m->n_began_at + m->n_load_of +
                     m->n_kept_at + m->n_asked_of;
    if (b->records + records > WP_BUNDLE_MOST) {
        b->dropped++;
        return;
    }
    b->records += (unsigned)records;
    g_ptr_array_add(b->boxes, wp_pb_copy(&m->base));
}

void wp_bundle_fill(const WPBundle *b, Wp__ZoneNews *out)
{
    wp__zone_news__init(out);
    out->n_boxes = b->boxes->len;
    out->boxes = (Wp__BoxNews **)b->boxes->pdata;
    out->has_passed_on = 1;
    out->passed_on = 1;
}

void wp_bundle_clear(WPBundle *b)
{
    g_ptr_array_set_size(b->boxes, 0);
    b->records = 0;
}
