/* Exchange of usage counts between boxes. A box sends its counts to the
 * relay root of its zone; the root sends those of its zone to some boxes of
 * each other zone, which send them to their own root. A crash loses the
 * counts that were not sent yet. */
#include "wp_usage_updates.h"

enum {
    SEND_INTERVAL_MS = 400, /* between messages */
    ROWS_MAX = 256,         /* in one message */
    CELLS_MAX = 4096
};

struct WPUsageUpdates {
    WPPeers *peers;
    WPUsage *usage;
    int64_t sent_us;
    char *relay_root; /* id of the box it last sent to; NULL: none */
};

/* A message being filled; sent early when it is full. */
typedef struct Message {
    WPUsageUpdates *owner;
    bool is_relay_root; /* this box sends to other zones */
    Wp__UsageRow rows[ROWS_MAX], *list[ROWS_MAX];
    char *workspaces[CELLS_MAX];
    uint32_t counts[CELLS_MAX];
    size_t n_rows, n_cells;
} Message;

WPUsageUpdates *wp_usage_updates_new(WPPeers *peers, WPUsage *usage)
{
    WPUsageUpdates *n = g_new0(WPUsageUpdates, 1);
    n->peers = peers;
    n->usage = usage;
    return n;
}

void wp_usage_updates_free(WPUsageUpdates *n)
{
    if (!n)
        return;
    g_free(n->relay_root);
    g_free(n);
}

static void send_message(Message *m)
{
    Wp__UsageNews out = WP__USAGE_NEWS__INIT;
    out.n_rows = m->n_rows;
    out.rows = m->list;
    if (m->n_rows)
        wp_peers_send_usage(m->owner->peers, &out);
    m->n_rows = m->n_cells = 0;
}

static bool is_row_of(const Wp__UsageRow *r, const WPUsageCount *c)
{
    return r->life == c->incarnation && r->window == c->window;
}

/* The message's row for the incarnation and window of the count, added if the
   last row is of another one. Sends the message before, if it is full. */
static Wp__UsageRow *row_for(Message *m, const WPUsageCount *c)
{
    if (m->n_cells == CELLS_MAX)
        send_message(m);
    if (m->n_rows && is_row_of(&m->rows[m->n_rows - 1], c))
        return &m->rows[m->n_rows - 1];
    if (m->n_rows == ROWS_MAX)
        send_message(m);
    Wp__UsageRow *r = &m->rows[m->n_rows];
    m->list[m->n_rows++] = r;
    wp__usage_row__init(r);
    r->life = c->incarnation;
    r->window = c->window;
    r->has_far = r->far = c->remote_zone;
    r->workspaces = &m->workspaces[m->n_cells];
    r->counts = &m->counts[m->n_cells];
    return r;
}

/* Counts from other zones were sent to all zones by the roots there. */
static void add_count(void *arg, const WPUsageCount *c)
{
    Message *m = arg;
    if (m->is_relay_root && c->remote_zone)
        return;
    Wp__UsageRow *r = row_for(m, c);
    m->workspaces[m->n_cells] = (char *)c->workspace;
    m->counts[m->n_cells++] = c->count;
    r->n_workspaces++;
    r->n_counts++;
}

/* A new relay root lacks the counts that were sent to the previous one. */
static void note_relay_root(WPUsageUpdates *n, const char *relay_root)
{
    if (!g_strcmp0(n->relay_root, relay_root))
        return;
    g_free(n->relay_root);
    n->relay_root = g_strdup(relay_root);
    wp_usage_mark_all_unsent(n->usage);
}

void wp_usage_updates_tick(WPUsageUpdates *n, WPTime now)
{
    const char *relay_root = wp_peers_relay_root(n->peers);
    wp_usage_tick(n->usage, now);
    if (!relay_root ||
        now.mono_us - n->sent_us < SEND_INTERVAL_MS * WP_US_PER_MS)
        return;
    note_relay_root(n, relay_root);
    n->sent_us = now.mono_us;
    if (!wp_usage_has_unsent(n->usage))
        return;
    g_autofree Message *m = g_new0(Message, 1);
    m->owner = n;
    m->is_relay_root = wp_peers_is_relay_root(n->peers);
    wp_usage_take_unsent(n->usage, add_count, m);
    send_message(m);
}

void wp_usage_updates_merge(WPUsageUpdates *n, bool remote_zone,
                            const Wp__UsageNews *m)
{
    for (size_t i = 0; i < m->n_rows; i++) {
        const Wp__UsageRow *r = m->rows[i];
        size_t cells = MIN(r->n_workspaces, r->n_counts);
        for (size_t k = 0; k < cells; k++) {
            const WPUsageCount c = { r->life, r->window, r->workspaces[k],
                                     r->counts[k], remote_zone || r->far };
            wp_usage_merge(n->usage, &c);
        }
    }
}
