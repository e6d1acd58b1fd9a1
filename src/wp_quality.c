/* Quality estimates and the sequential test, from sums of ratings. */
#include "wp_quality.h"
#include "wp_pb.h"

#include <math.h>

typedef struct Cell {
    char *kind, *version;
    uint32_t count_seen; /* cumulative, as of the latest update */
    double sum_seen;
    double count, sum; /* with older ratings decaying */
    double cusum;
} Cell;

struct WPQuality {
    uint64_t seq;
    GPtrArray *cells; /* of Cell; a few hundred at most */
};

static void free_cell(gpointer p)
{
    Cell *c = p;
    g_free(c->kind);
    g_free(c->version);
    g_free(c);
}

WPQuality *wp_quality_new(void)
{
    WPQuality *q = g_new0(WPQuality, 1);
    q->cells = g_ptr_array_new_with_free_func(free_cell);
    return q;
}

void wp_quality_free(WPQuality *q)
{
    if (!q)
        return;
    g_ptr_array_unref(q->cells);
    g_free(q);
}

static Cell *find_cell(const WPQuality *q, const char *kind,
                       const char *version)
{
    for (guint i = 0; i < q->cells->len; i++) {
        Cell *c = q->cells->pdata[i];
        if (!strcmp(c->kind, kind) && !strcmp(c->version, version))
            return c;
    }
    return NULL;
}

static Cell *get_cell(WPQuality *q, const char *kind, const char *version)
{
    Cell *c = find_cell(q, kind, version);
    if (c)
        return c;
    c = g_new0(Cell, 1);
    c->kind = g_strdup(kind);
    c->version = g_strdup(version);
    g_ptr_array_add(q->cells, c);
    return c;
}

/* The expected quality of a version: its configured prior or, while it is
   being rolled out, the observed quality of the version that it replaces. */
static double expected_quality(const WPQuality *q, const WPPolicy *p,
                               const char *kind, const WPVersion *v)
{
    for (unsigned i = 0; i < wp_policy_rollouts(p); i++) {
        const WPRollout *r = wp_policy_rollout_at(p, i);
        if (r->to != v->index)
            continue;
        Cell *old = find_cell(q, kind, r->spec->from);
        if (old && old->count >= 30)
            return old->sum / old->count;
    }
    return v->spec->quality_prior;
}

/* `is_past`: the sums are from before this box started. They count for the
   quality estimate but not for the test, as they do not tell when a version
   was bad: an operator may have re-enabled it since. */
static void take_rating_sum(WPQuality *q, const Wp__RatingSum *s,
                            const WPPolicy *p, bool is_past)
{
    Cell *c = get_cell(q, s->kind, s->version);
    const WPVersion *v = p ? wp_policy_version(p, s->version) : NULL;
    if (s->count <= c->count_seen)
        return;
    double n = s->count - c->count_seen;
    double good = s->sum - c->sum_seen;
    double decay = exp(-n / WP_QUALITY_WINDOW);
    /* A long history counts for no more than the window. */
    double weight = fmin(1, WP_QUALITY_WINDOW / n);
    c->count = c->count * decay + n * weight;
    c->sum = c->sum * decay + good * weight;
    c->count_seen = s->count;
    c->sum_seen = s->sum;
    if (v && !is_past) {
        double expect = expected_quality(q, p, s->kind, v) - WP_CUSUM_SLACK;
        c->cusum = fmax(0, c->cusum + n * expect - good);
    }
}

void wp_quality_update(WPQuality *q, const Wp__Ratings *r, const WPPolicy *p)
{
    if (r->seq <= q->seq)
        return;
    bool is_past = q->seq == 0;
    q->seq = r->seq;
    for (size_t i = 0; i < r->n_sums; i++)
        take_rating_sum(q, r->sums[i], p, is_past);
}

static WPBound bound_of(const Cell *c, const Wp__Version *v)
{
    double n = v->prior_weight + (c ? c->count : 0);
    double good = v->quality_prior * v->prior_weight + (c ? c->sum : 0);
    WPBound b = { .mean = n > 0 ? good / n : 0.5 };
    double spread = WP_QUALITY_Z * sqrt(b.mean * (1 - b.mean) / (n + 1));
    b.low = fmax(0, b.mean - spread);
    b.high = fmin(1, b.mean + spread);
    return b;
}

WPBound *wp_quality_table(const WPQuality *q, const WPPolicy *p)
{
    unsigned versions = wp_policy_versions(p);
    unsigned kinds = wp_policy_kinds(p);
    WPBound *table = g_new0(WPBound, kinds * versions + 1);
    for (unsigned k = 0; k < kinds; k++) {
        const char *kind = wp_policy_kind_at(p, k)->spec->name;
        for (unsigned i = 0; i < versions; i++) {
            const Wp__Version *v = wp_policy_version_at(p, i)->spec;
            table[k * versions + i] = bound_of(find_cell(q, kind, v->name), v);
        }
    }
    return table;
}

bool wp_quality_is_bad(const WPQuality *q, const char *version,
                       const char **kind)
{
    for (guint i = 0; i < q->cells->len; i++) {
        const Cell *c = q->cells->pdata[i];
        if (c->cusum < WP_CUSUM_LIMIT || strcmp(c->version, version))
            continue;
        *kind = c->kind;
        return true;
    }
    return false;
}

void wp_quality_forget(WPQuality *q, const char *version)
{
    for (guint i = 0; i < q->cells->len; i++) {
        Cell *c = q->cells->pdata[i];
        if (strcmp(c->version, version))
            continue;
        c->count = 0;
        c->sum = 0;
        c->cusum = 0;
    }
}

double wp_quality_rating_count(const WPQuality *q, const char *version)
{
    double n = 0;
    for (guint i = 0; i < q->cells->len; i++) {
        const Cell *c = q->cells->pdata[i];
        if (!strcmp(c->version, version))
            n += c->count_seen;
    }
    return n;
}

Wp__Ratings *wp_quality_sums(const WPQuality *q)
{
    Wp__Ratings *r = calloc(1, sizeof(*r));
    g_assert(r);
    wp__ratings__init(r);
    r->seq = q->seq;
    r->sums = calloc(q->cells->len + 1, sizeof(*r->sums));
    g_assert(r->sums);
    for (guint i = 0; i < q->cells->len; i++) {
        const Cell *c = q->cells->pdata[i];
        Wp__RatingSum *s = calloc(1, sizeof(*s));
        g_assert(s);
        wp__rating_sum__init(s);
        s->kind = g_strdup(c->kind);
        s->version = g_strdup(c->version);
        s->count = c->count_seen;
        s->sum = c->sum_seen;
        r->sums[r->n_sums++] = s;
    }
    return r;
}

uint64_t wp_quality_seq(const WPQuality *q)
{
    return q->seq;
}
