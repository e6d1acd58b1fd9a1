/* Usage by window and workspace. */
#include "wp_usage.h"

#include <stdlib.h>

enum {
    CLOCKS_MAX = 64,      /* of other boxes, for the median */
    CLOCK_KEEP_MS = 5000, /* they are sent each second */
    /* a smaller median is the delay between boxes, not an error of the clock */
    CLOCK_ERROR_MIN_MS = 250,
    ROWS_MAX = 100000 /* so that a peer with invented incarnations cannot fill
                         the memory */
};

typedef struct Key {
    uint64_t window, incarnation;
} Key;

typedef struct Counter {
    uint32_t count;
    bool sent;
} Counter;

typedef struct Row {
    Key key;
    bool remote_zone;     /* from another zone */
    GHashTable *counters; /* workspace -> Counter */
} Row;

typedef struct Clock {
    uint64_t box;
    int64_t ahead_ms; /* of this box's clock, by when it was received */
    int64_t received_us;
} Clock;

struct WPUsage {
    uint64_t incarnation;
    uint32_t window_ms, keep_ms;
    int64_t offset_us; /* from the monotonic clock to the time of day */
    int64_t ahead_ms;  /* the correction: the median of `clocks`, or 0 */
    Clock clocks[CLOCKS_MAX];
    size_t n_clocks;
    GTree *rows; /* Key -> Row, by window */
    unsigned n_unsent;
};

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer arg)
{
    const Key *x = a, *y = b;
    (void)arg;
    if (x->window != y->window)
        return x->window < y->window ? -1 : 1;
    return (x->incarnation > y->incarnation) -
           (x->incarnation < y->incarnation);
}

static void free_row(gpointer p)
{
    Row *r = p;
    g_hash_table_unref(r->counters);
    g_free(r);
}

WPUsage *wp_usage_new(uint64_t incarnation, uint32_t window_ms,
                      uint32_t keep_ms)
{
    WPUsage *u = g_new0(WPUsage, 1);
    u->incarnation = incarnation;
    u->window_ms = MAX(window_ms, 1);
    u->keep_ms = keep_ms;
    u->rows = g_tree_new_full(compare_keys, NULL, NULL, free_row);
    return u;
}

void wp_usage_free(WPUsage *u)
{
    if (!u)
        return;
    g_tree_unref(u->rows);
    g_free(u);
}

void wp_usage_start_clock(WPUsage *u, WPTime now)
{
    u->offset_us = now.wall_ms * WP_US_PER_MS - now.mono_us;
}

int64_t wp_usage_local_clock_ms(const WPUsage *u, int64_t mono_us)
{
    return (mono_us + u->offset_us) / WP_US_PER_MS;
}

int64_t wp_usage_clock_ms(const WPUsage *u, int64_t mono_us)
{
    return wp_usage_local_clock_ms(u, mono_us) + u->ahead_ms;
}

uint64_t wp_usage_window(const WPUsage *u, int64_t clock_ms)
{
    return (uint64_t)MAX(clock_ms, 0) / u->window_ms;
}

static Clock *get_clock(WPUsage *u, uint64_t box)
{
    Clock *oldest = &u->clocks[0];
    for (size_t i = 0; i < u->n_clocks; i++) {
        if (u->clocks[i].box == box)
            return &u->clocks[i];
        if (u->clocks[i].received_us < oldest->received_us)
            oldest = &u->clocks[i];
    }
    return u->n_clocks < CLOCKS_MAX ? &u->clocks[u->n_clocks++] : oldest;
}

static int compare_ms(const void *a, const void *b)
{
    const int64_t *x = a, *y = b;
    return (*x > *y) - (*x < *y);
}

/* The median of the recent clocks and this box's own (0). */
static int64_t median_ahead_ms(const WPUsage *u, WPTime now)
{
    int64_t ahead[CLOCKS_MAX + 1] = { 0 };
    size_t n = 1;
    for (size_t i = 0; i < u->n_clocks; i++) {
        int64_t age_us = now.mono_us - u->clocks[i].received_us;
        if (age_us <= (int64_t)CLOCK_KEEP_MS * WP_US_PER_MS)
            ahead[n++] = u->clocks[i].ahead_ms;
    }
    qsort(ahead, n, sizeof(*ahead), compare_ms);
    return ahead[n / 2];
}

void wp_usage_observe_clock(WPUsage *u, WPTime now, uint64_t box,
                            int64_t clock_ms)
{
    Clock *c = get_clock(u, box);
    *c = (Clock){ box, clock_ms - wp_usage_local_clock_ms(u, now.mono_us),
                  now.mono_us };
    int64_t ms = median_ahead_ms(u, now);
    u->ahead_ms = llabs(ms) < CLOCK_ERROR_MIN_MS ? 0 : ms;
}

static Row *get_row(WPUsage *u, uint64_t incarnation, uint64_t window,
                    bool remote_zone)
{
    const Key key = { window, incarnation };
    Row *r = g_tree_lookup(u->rows, &key);
    if (r || g_tree_nnodes(u->rows) >= ROWS_MAX)
        return r;
    r = g_new0(Row, 1);
    r->key = key;
    r->remote_zone = remote_zone;
    r->counters =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_tree_insert(u->rows, &r->key, r);
    return r;
}

static Counter *get_counter(Row *r, const char *workspace)
{
    Counter *c = g_hash_table_lookup(r->counters, workspace);
    if (!c) {
        c = g_new0(Counter, 1);
        c->sent = true;
        g_hash_table_insert(r->counters, g_strdup(workspace), c);
    }
    return c;
}

static void set_unsent(WPUsage *u, Counter *c)
{
    u->n_unsent += c->sent;
    c->sent = false;
}

void wp_usage_count_request(WPUsage *u, int64_t mono_us, const char *workspace)
{
    uint64_t window = wp_usage_window(u, wp_usage_clock_ms(u, mono_us));
    Row *r = get_row(u, u->incarnation, window, false);
    Counter *c = r ? get_counter(r, workspace) : NULL;
    if (!c)
        return;
    c->count++;
    set_unsent(u, c);
}

bool wp_usage_merge(WPUsage *u, const WPUsageCount *n)
{
    /* This process knows its own counts better. */
    Row *r = n->incarnation == u->incarnation
                 ? NULL
                 : get_row(u, n->incarnation, n->window, n->remote_zone);
    Counter *c = r ? get_counter(r, n->workspace) : NULL;
    if (!c || n->count <= c->count)
        return false;
    c->count = n->count;
    set_unsent(u, c);
    return true;
}

typedef struct SendContext {
    WPUsage *usage;
    WPUsageFn fn;
    void *arg;
} SendContext;

/* Calls the function for each unsent count of a row and marks it as sent.
   Returns FALSE, so that the traversal continues. */
static gboolean send_row(gpointer key, gpointer value, gpointer arg)
{
    const SendContext *t = arg;
    Row *r = value;
    GHashTableIter it;
    gpointer name, cell;
    (void)key;
    g_hash_table_iter_init(&it, r->counters);
    while (g_hash_table_iter_next(&it, &name, &cell)) {
        Counter *c = cell;
        const WPUsageCount n = { r->key.incarnation, r->key.window, name,
                                 c->count, r->remote_zone };
        if (c->sent)
            continue;
        c->sent = true;
        t->usage->n_unsent--;
        t->fn(t->arg, &n);
    }
    return FALSE;
}

void wp_usage_take_unsent(WPUsage *u, WPUsageFn fn, void *arg)
{
    SendContext t = { u, fn, arg };
    g_tree_foreach(u->rows, send_row, &t);
}

bool wp_usage_has_unsent(const WPUsage *u)
{
    return u->n_unsent > 0;
}

static gboolean mark_row_unsent(gpointer key, gpointer value, gpointer arg)
{
    GHashTableIter it;
    gpointer cell;
    (void)key;
    g_hash_table_iter_init(&it, ((Row *)value)->counters);
    while (g_hash_table_iter_next(&it, NULL, &cell))
        set_unsent(arg, cell);
    return FALSE;
}

void wp_usage_mark_all_unsent(WPUsage *u)
{
    g_tree_foreach(u->rows, mark_row_unsent, u);
}

typedef struct Sum {
    uint64_t window;
    GHashTable *counts; /* workspace -> count; the names belong to the rows */
} Sum;

/* Adds the counts of a row to the sum, if it is of the sum's window. Returns
   TRUE, which ends the traversal, at the first row of a later window. */
static gboolean add_row(gpointer key, gpointer value, gpointer arg)
{
    const Sum *s = arg;
    const Row *r = value;
    GHashTableIter it;
    gpointer name, cell;
    (void)key;
    if (r->key.window != s->window)
        return r->key.window > s->window;
    g_hash_table_iter_init(&it, r->counters);
    while (g_hash_table_iter_next(&it, &name, &cell)) {
        guint had = GPOINTER_TO_UINT(g_hash_table_lookup(s->counts, name));
        guint sum = had + ((const Counter *)cell)->count;
        g_hash_table_insert(s->counts, name, GUINT_TO_POINTER(sum));
    }
    return FALSE;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

void wp_usage_each_sum(const WPUsage *u, uint64_t window, WPUsageFn fn,
                       void *arg)
{
    g_autoptr(GHashTable) counts = g_hash_table_new(g_str_hash, g_str_equal);
    Sum s = { window, counts };
    g_tree_foreach(u->rows, add_row, &s);
    g_autoptr(GList) names = g_hash_table_get_keys(counts);
    names = g_list_sort(names, compare_names);
    for (const GList *it = names; it; it = it->next) {
        const WPUsageCount n = { .window = window,
                                 .workspace = it->data,
                                 .count = GPOINTER_TO_UINT(
                                     g_hash_table_lookup(counts, it->data)) };
        fn(arg, &n);
    }
}

static gboolean count_unsent(gpointer key, gpointer value, gpointer arg)
{
    (void)key;
    *(unsigned *)arg += !((Counter *)value)->sent;
    return FALSE;
}

static gboolean find_first(gpointer key, gpointer value, gpointer arg)
{
    (void)key;
    *(Row **)arg = value;
    return TRUE;
}

void wp_usage_tick(WPUsage *u, WPTime now)
{
    int64_t oldest_ms = wp_usage_clock_ms(u, now.mono_us) - u->keep_ms;
    uint64_t oldest = wp_usage_window(u, oldest_ms);
    for (;;) {
        Row *first = NULL;
        unsigned unsent = 0;
        g_tree_foreach(u->rows, find_first, &first);
        if (!first || first->key.window >= oldest)
            return;
        g_hash_table_find(first->counters, (GHRFunc)count_unsent, &unsent);
        u->n_unsent -= unsent;
        g_tree_remove(u->rows, &first->key);
    }
}

unsigned wp_usage_rows(const WPUsage *u)
{
    return (unsigned)g_tree_nnodes(u->rows);
}
