/* Counts of usage between boxes. A box sends its own to the one that passes
 * news on in its zone, which sends those of its zone to some boxes of each
 * other zone; these send them on to theirs. A crash costs what was not sent
 * yet. */
#include "wp_usage_news.h"

enum {
    TELL_MS = 400,   /* between messages */
    ROWS_MOST = 256, /* in one message */
    CELLS_MOST = 4096
};

struct WPUsageNews {
    WPPeers *peers;
    WPUsage *usage;
    int64_t told_us;
    char *passer; /* whom it was told to last; NULL: nobody */
};

/* A message under way; goes out when it is full. */
typedef struct Message {
    WPUsageNews *news;
    bool passes; /* this box sends to other zones */
    Wp__UsageRow rows[ROWS_MOST], *list[ROWS_MOST];
    char *workspaces[CELLS_MOST];
    uint32_t counts[CELLS_MOST];
    size_t n_rows, n_cells;
} Message;

WPUsageNews *wp_usage_news_new(WPPeers *peers, WPUsage *usage)
{
    WPUsageNews *n = g_new0(WPUsageNews, 1);
    n->peers = peers;
    n->usage = usage;
    return n;
}

void wp_usage_news_free(WPUsageNews *n)
{
    if (!n)
        return;
    g_free(n->passer);
    g_free(n);
}

static void send_message(Message *m)
{
    Wp__UsageNews out = WP__USAGE_NEWS__INIT;
    out.n_rows = m->n_rows;
    out.rows = m->list;
    if (m->n_rows)
        wp_peers_send_usage(m->news->peers, &out);
    m->n_rows = m->n_cells = 0;
}

static bool is_row_of(const Wp__UsageRow *r, const WPUsageCount *c)
{
    return r->life == c->life && r->window == c->window;
}

static Wp__UsageRow *row_for(Message *m, const WPUsageCount *c)
{
    if (m->n_cells == CELLS_MOST)
        send_message(m);
    if (m->n_rows && is_row_of(&m->rows[m->n_rows - 1], c))
        return &m->rows[m->n_rows - 1];
    if (m->n_rows == ROWS_MOST)
        send_message(m);
    Wp__UsageRow *r = &m->rows[m->n_rows];
    m->list[m->n_rows++] = r;
    wp__usage_row__init(r);
    r->life = c->life;
    r->window = c->window;
    r->has_far = r->far = c->far;
    r->workspaces = &m->workspaces[m->n_cells];
    r->counts = &m->counts[m->n_cells];
    return r;
}

/* What comes from other zones was sent to all zones from there. */
static void add_count(void *arg, const WPUsageCount *c)
{
    Message *m = arg;
    if (m->passes && c->far)
        return;
    Wp__UsageRow *r = row_for(m, c);
    m->workspaces[m->n_cells] = (char *)c->workspace;
    m->counts[m->n_cells++] = c->count;
    r->n_workspaces++;
    r->n_counts++;
}

/* One that takes over passing news on lacks what was told before. */
static void note_passer(WPUsageNews *n, const char *passer)
{
    if (!g_strcmp0(n->passer, passer))
        return;
    g_free(n->passer);
    n->passer = g_strdup(passer);
    wp_usage_tell_all(n->usage);
}

void wp_usage_news_tick(WPUsageNews *n, WPTime now)
{
    const char *passer = wp_peers_passer(n->peers);
    wp_usage_tick(n->usage, now);
    if (!passer || now.mono_us - n->told_us < TELL_MS * WP_US_PER_MS)
        return;
    note_passer(n, passer);
    n->told_us = now.mono_us;
    if (!wp_usage_any_untold(n->usage))
        return;
    g_autofree Message *m = g_new0(Message, 1);
    m->news = n;
    m->passes = wp_peers_passes_news(n->peers);
    wp_usage_tell(n->usage, add_count, m);
    send_message(m);
}

void wp_usage_news_heard(WPUsageNews *n, bool far, const Wp__UsageNews *m)
{
    for (size_t i = 0; i < m->n_rows; i++) {
        const Wp__UsageRow *r = m->rows[i];
        size_t cells = MIN(r->n_workspaces, r->n_counts);
        for (size_t k = 0; k < cells; k++) {
            const WPUsageCount c = { r->life, r->window, r->workspaces[k],
                                     r->counts[k], far || r->far };
            wp_usage_hear(n->usage, &c);
        }
    }
}
