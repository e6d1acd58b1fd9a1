/* Usage by window and workspace. */
#include "wp_usage.h"

#include <stdlib.h>

enum {
    CLOCKS_MOST = 64,     /* of other boxes, which the median is taken of */
    CLOCK_KEPT_MS = 5000, /* they tell each second */
    CLOCK_OFF_MS = 250,   /* a median below this is the way between boxes */
    ROWS_MOST = 100000    /* a peer that makes lives up fills no memory */
};

typedef struct Key {
    uint64_t window, life;
} Key;

typedef struct Cell {
    uint32_t count;
    bool told;
} Cell;

typedef struct Row {
    Key key;
    bool far;
    GHashTable *cells; /* workspace -> Cell */
} Row;

typedef struct Clock {
    uint64_t box;
    int64_t ahead_ms; /* of this box's own */
    int64_t heard_us;
} Clock;

struct WPUsage {
    uint64_t life;
    uint32_t window_ms, keep_ms;
    int64_t offset_us; /* of the time of day to the monotonic clock */
    int64_t ahead_ms;  /* the median of the others */
    Clock clocks[CLOCKS_MOST];
    size_t n_clocks;
    GTree *rows; /* Key -> Row, by window */
    unsigned n_untold;
};

static gint by_key(gconstpointer a, gconstpointer b, gpointer arg)
{
    const Key *x = a, *y = b;
    (void)arg;
    if (x->window != y->window)
        return x->window < y->window ? -1 : 1;
    return (x->life > y->life) - (x->life < y->life);
}

static void free_row(gpointer p)
{
    Row *r = p;
    g_hash_table_unref(r->cells);
    g_free(r);
}

WPUsage *wp_usage_new(uint64_t life, uint32_t window_ms, uint32_t keep_ms)
{
    WPUsage *u = g_new0(WPUsage, 1);
    u->life = life;
    u->window_ms = MAX(window_ms, 1);
    u->keep_ms = keep_ms;
    u->rows = g_tree_new_full(by_key, NULL, NULL, free_row);
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

int64_t wp_usage_own_clock_ms(const WPUsage *u, int64_t mono_us)
{
    return (mono_us + u->offset_us) / WP_US_PER_MS;
}

int64_t wp_usage_clock_ms(const WPUsage *u, int64_t mono_us)
{
    return wp_usage_own_clock_ms(u, mono_us) + u->ahead_ms;
}

uint64_t wp_usage_window(const WPUsage *u, int64_t clock_ms)
{
    return (uint64_t)MAX(clock_ms, 0) / u->window_ms;
}

static Clock *clock_of(WPUsage *u, uint64_t box)
{
    Clock *oldest = &u->clocks[0];
    for (size_t i = 0; i < u->n_clocks; i++) {
        if (u->clocks[i].box == box)
            return &u->clocks[i];
        if (u->clocks[i].heard_us < oldest->heard_us)
            oldest = &u->clocks[i];
    }
    return u->n_clocks < CLOCKS_MOST ? &u->clocks[u->n_clocks++] : oldest;
}

static int by_size(const void *a, const void *b)
{
    const int64_t *x = a, *y = b;
    return (*x > *y) - (*x < *y);
}

/* Of the fresh ones and this box's own. */
static int64_t median_ahead_ms(const WPUsage *u, WPTime now)
{
    int64_t ahead[CLOCKS_MOST + 1] = { 0 };
    size_t n = 1;
    for (size_t i = 0; i < u->n_clocks; i++) {
        int64_t age_us = now.mono_us - u->clocks[i].heard_us;
        if (age_us <= (int64_t)CLOCK_KEPT_MS * WP_US_PER_MS)
            ahead[n++] = u->clocks[i].ahead_ms;
    }
    qsort(ahead, n, sizeof(*ahead), by_size);
    return ahead[n / 2];
}

void wp_usage_hear_clock(WPUsage *u, WPTime now, uint64_t box, int64_t clock_ms)
{
    Clock *c = clock_of(u, box);
    *c = (Clock){ box, clock_ms - wp_usage_own_clock_ms(u, now.mono_us),
                  now.mono_us };
    int64_t ms = median_ahead_ms(u, now);
    u->ahead_ms = llabs(ms) < CLOCK_OFF_MS ? 0 : ms;
}

static Row *need_row(WPUsage *u, uint64_t life, uint64_t window, bool far)
{
    const Key key = { window, life };
    Row *r = g_tree_lookup(u->rows, &key);
    if (r || g_tree_nnodes(u->rows) >= ROWS_MOST)
        return r;
    r = g_new0(Row, 1);
    r->key = key;
    r->far = far;
    r->cells = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_tree_insert(u->rows, &r->key, r);
    return r;
}

static Cell *need_cell(Row *r, const char *workspace)
{
    Cell *c = g_hash_table_lookup(r->cells, workspace);
    if (!c) {
        c = g_new0(Cell, 1);
        c->told = true;
        g_hash_table_insert(r->cells, g_strdup(workspace), c);
    }
    return c;
}

static void set_untold(WPUsage *u, Cell *c)
{
    u->n_untold += c->told;
    c->told = false;
}

void wp_usage_note(WPUsage *u, int64_t mono_us, const char *workspace)
{
    uint64_t window = wp_usage_window(u, wp_usage_clock_ms(u, mono_us));
    Row *r = need_row(u, u->life, window, false);
    Cell *c = r ? need_cell(r, workspace) : NULL;
    if (!c)
        return;
    c->count++;
    set_untold(u, c);
}

bool wp_usage_hear(WPUsage *u, const WPUsageCount *n)
{
    /* Its own counts are known better. */
    Row *r =
        n->life == u->life ? NULL : need_row(u, n->life, n->window, n->far);
    Cell *c = r ? need_cell(r, n->workspace) : NULL;
    if (!c || n->count <= c->count)
        return false;
    c->count = n->count;
    set_untold(u, c);
    return true;
}

typedef struct Tell {
    WPUsage *usage;
    WPUsageFn fn;
    void *arg;
} Tell;

static gboolean tell_row(gpointer key, gpointer value, gpointer arg)
{
    const Tell *t = arg;
    Row *r = value;
    GHashTableIter it;
    gpointer name, cell;
    (void)key;
    g_hash_table_iter_init(&it, r->cells);
    while (g_hash_table_iter_next(&it, &name, &cell)) {
        Cell *c = cell;
        const WPUsageCount n = { r->key.life, r->key.window, name, c->count,
                                 r->far };
        if (c->told)
            continue;
        c->told = true;
        t->usage->n_untold--;
        t->fn(t->arg, &n);
    }
    return FALSE;
}

void wp_usage_tell(WPUsage *u, WPUsageFn fn, void *arg)
{
    Tell t = { u, fn, arg };
    g_tree_foreach(u->rows, tell_row, &t);
}

bool wp_usage_any_untold(const WPUsage *u)
{
    return u->n_untold > 0;
}

static gboolean forget_told(gpointer key, gpointer value, gpointer arg)
{
    GHashTableIter it;
    gpointer cell;
    (void)key;
    g_hash_table_iter_init(&it, ((Row *)value)->cells);
    while (g_hash_table_iter_next(&it, NULL, &cell))
        set_untold(arg, cell);
    return FALSE;
}

void wp_usage_tell_all(WPUsage *u)
{
    g_tree_foreach(u->rows, forget_told, u);
}

typedef struct Sum {
    uint64_t window;
    GHashTable *counts; /* workspace -> count; the names are the rows' */
} Sum;

static gboolean add_row(gpointer key, gpointer value, gpointer arg)
{
    const Sum *s = arg;
    const Row *r = value;
    GHashTableIter it;
    gpointer name, cell;
    (void)key;
    if (r->key.window != s->window)
        return r->key.window > s->window;
    g_hash_table_iter_init(&it, r->cells);
    while (g_hash_table_iter_next(&it, &name, &cell)) {
        guint had = GPOINTER_TO_UINT(g_hash_table_lookup(s->counts, name));
        guint sum = had + ((const Cell *)cell)->count;
        g_hash_table_insert(s->counts, name, GUINT_TO_POINTER(sum));
    }
    return FALSE;
}

static gint by_name(gconstpointer a, gconstpointer b)
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
    names = g_list_sort(names, by_name);
    for (const GList *it = names; it; it = it->next) {
        const WPUsageCount n = { .window = window,
                                 .workspace = it->data,
                                 .count = GPOINTER_TO_UINT(
                                     g_hash_table_lookup(counts, it->data)) };
        fn(arg, &n);
    }
}

static gboolean is_untold(gpointer key, gpointer value, gpointer arg)
{
    (void)key;
    *(unsigned *)arg += !((Cell *)value)->told;
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
        unsigned untold = 0;
        g_tree_foreach(u->rows, find_first, &first);
        if (!first || first->key.window >= oldest)
            return;
        g_hash_table_find(first->cells, (GHRFunc)is_untold, &untold);
        u->n_untold -= untold;
        g_tree_remove(u->rows, &first->key);
    }
}

unsigned wp_usage_rows(const WPUsage *u)
{
    return (unsigned)g_tree_nnodes(u->rows);
}
