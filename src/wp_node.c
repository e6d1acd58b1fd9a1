/* Life cycle of a node: creation, action queue, periodic work, ranks and
 * accessors. */
#include "wp_node_int.h"

static char *join_addr(const Wp__Member *m)
{
    return g_strdup_printf("%s:%u", m->addr, m->port);
}

int64_t wp_node_jitter(WPNode *n, int64_t span_us)
{
    return (int64_t)(g_rand_double(n->rand) * (double)span_us);
}

WPNode *wp_node_new(const Wp__NodeSettings *s, const Wp__Member *self,
                    uint32_t seed, WPTime now)
{
    WPNode *n = g_new0(WPNode, 1);
    n->settings = wp_pb_copy(&s->base);
    n->self = wp_member_copy(self);
    n->addr = join_addr(self);
    n->rand = g_rand_new_with_seed(seed);
    n->config = wp_config_new();
    n->members = wp_members_new();
    n->quality = wp_quality_new();
    n->events = wp_events_new(s->id);
    n->head_pause_us = WP_STORE_RETRY_US;
    wp_list_init(&n->actions);
    wp_members_merge(n->members, n->self, now.mono_us);
    n->gossip_due_us = now.mono_us;
    n->started_us = now.mono_us;
    n->head_due_us = now.mono_us + (s->boxes ? WP_START_PEER_WAIT_US : 0);
    n->boxes_due_us = now.mono_us;
    n->ratings_due_us = now.mono_us;
    wp_events_add(n->events, now, WP_EVENT_STARTED, NULL, "incarnation %lu",
                  (unsigned long)self->incarnation);
    return n;
}

void wp_node_free(WPNode *n)
{
    WPAction *a;
    if (!n)
        return;
    while ((a = wp_node_next_action(n)))
        wp_action_free(a);
    wp_policy_unref(n->policy);
    wp_events_free(n->events);
    wp_quality_free(n->quality);
    wp_members_free(n->members);
    wp_config_free(n->config);
    g_rand_free(n->rand);
    g_free(n->addr);
    wp_pb_free(n->self);
    wp_pb_free(n->settings);
    g_free(n);
}

WPAction *wp_node_queue_action(WPNode *n, WPActionKind kind)
{
    WPAction *a = g_new0(WPAction, 1);
    a->kind = kind;
    wp_list_append(&n->actions, &a->link);
    return a;
}

WPAction *wp_node_next_action(WPNode *n)
{
    if (wp_list_empty(&n->actions))
        return NULL;
    WPAction *a = wp_list_item(n->actions.next, WPAction, link);
    wp_list_remove(&a->link);
    return a;
}

void wp_action_free(WPAction *a)
{
    if (a->frame)
        g_byte_array_unref(a->frame);
    g_free(a->addr);
    g_free(a);
}

void wp_node_send(WPNode *n, const char *addr, Wp__Frame *f)
{
    WPAction *a = wp_node_queue_action(n, WP_ACT_SEND);
    f->has_revision = 1;
    f->revision = wp_config_revision(n->config);
    a->addr = g_strdup(addr);
    a->frame = wp_pb_pack(&f->base);
    wp_count(&n->counters, WP_C_GOSSIP_SENT);
    n->counters.value[WP_C_GOSSIP_BYTES] += a->frame->len + 4;
}

/* A random live peer other than this box, or a seed if none is found. */
const char *wp_node_random_peer(WPNode *n)
{
    unsigned live = wp_members_live_count(n->members);
    for (int i = 0; live > 1 && i < 8; i++) {
        unsigned k = (unsigned)g_rand_int_range(n->rand, 0, (gint)live);
        const WPMemberRow *r = wp_members_live_at(n->members, k);
        if (strcmp(r->m->id, n->self->id))
            return r->addr;
    }
    if (!n->settings->n_seeds)
        return NULL;
    gint k = g_rand_int_range(n->rand, 0, (gint)n->settings->n_seeds);
    const char *seed = n->settings->seeds[k];
    return strcmp(seed, n->addr) ? seed : NULL;
}

int64_t wp_node_config_age_ms(const WPNode *n, WPTime now)
{
    if (!n->confirmed)
        return INT64_MAX;
    return (now.mono_us - n->confirmed_us) / WP_US_PER_MS;
}

void wp_node_note_confirmed(WPNode *n, int64_t at_us)
{
    if (n->confirmed && at_us <= n->confirmed_us)
        return;
    n->confirmed = true;
    n->confirmed_us = at_us;
}

void wp_node_on_ratings(WPNode *n, WPTime now, const Wp__Ratings *r)
{
    (void)now;
    if (r->seq <= wp_quality_seq(n->quality))
        return;
    wp_quality_update(n->quality, r, n->policy);
    wp_node_queue_action(n, WP_ACT_QUALITY);
}

void wp_node_tick(WPNode *n, WPTime now)
{
    if (now.mono_us >= n->gossip_due_us) {
        int64_t interval_us = (int64_t)n->settings->gossip_ms * WP_US_PER_MS;
        const char *peer = wp_node_random_peer(n);
        n->gossip_due_us =
            now.mono_us + interval_us / 2 + wp_node_jitter(n, interval_us);
        if (peer)
            wp_node_send_digest(n, now, peer, false);
    }
    wp_node_store_tick(n, now);
}

static void announce_self(WPNode *n, WPTime now)
{
    n->self->seq++;
    wp_members_merge(n->members, n->self, now.mono_us);
    wp_node_push_member(n, n->self);
}

void wp_node_drain(WPNode *n, WPTime now)
{
    n->self->has_leaving = 1;
    n->self->leaving = 1;
    wp_events_add(n->events, now, WP_EVENT_LEAVING, NULL, "planned stop");
    announce_self(n, now);
}

void wp_node_set_versions(WPNode *n, WPTime now, char **versions)
{
    for (size_t i = 0; i < n->self->n_versions; i++)
        free(n->self->versions[i]);
    free(n->self->versions);
    n->self->n_versions = g_strv_length(versions);
    n->self->versions = calloc(n->self->n_versions + 1, sizeof(char *));
    g_assert(n->self->versions);
    for (size_t i = 0; i < n->self->n_versions; i++)
        n->self->versions[i] = strdup(versions[i]);
    announce_self(n, now);
}

bool wp_node_ready(const WPNode *n)
{
    return n->ready;
}

bool wp_node_store_up(const WPNode *n)
{
    return n->store_up;
}

const WPConfig *wp_node_config(const WPNode *n)
{
    return n->config;
}

const WPMembers *wp_node_members(const WPNode *n)
{
    return n->members;
}

const Wp__Member *wp_node_self(const WPNode *n)
{
    return n->self;
}

WPQuality *wp_node_quality(WPNode *n)
{
    return n->quality;
}

WPCounters *wp_node_counters(WPNode *n)
{
    return &n->counters;
}

WPEvents *wp_node_events(WPNode *n)
{
    return n->events;
}

void wp_node_set_policy(WPNode *n, WPPolicy *p)
{
    wp_policy_unref(n->policy);
    n->policy = wp_policy_ref(p);
}

static void update_ranks(WPNode *n)
{
    uint64_t hash = wp_members_hash(n->members);
    if (n->rank_hash == hash)
        return;
    n->rank_hash = hash;
    n->rank_any = wp_members_rank(n->members, n->self, 0);
    n->rank_entry = wp_members_rank(n->members, n->self, WP__ROLE__ROLE_ENTRY);
}

bool wp_node_is_designated(WPNode *n, unsigned max)
{
    update_ranks(n);
    return !n->self->leaving && n->rank_any < max;
}

bool wp_node_is_designated_entry(WPNode *n, unsigned max)
{
    update_ranks(n);
    return !n->self->leaving && n->rank_entry < max;
}
