/* Counters, histograms and their text format. */
#include "wp_counters.h"
#include "wp_code.h"

#include <math.h>

#define BUCKETS_PER_OCTAVE 4

static const struct {
    const char *metric, *help;
} rows[] = {
#define X(name, metric, help) { metric, help },
    WP_COUNTER_LIST(X)
#undef X
};

static unsigned bucket_of(int64_t us)
{
    if (us < 1)
        return 0;
    unsigned octave = 63 - (unsigned)__builtin_clzll((uint64_t)us);
    uint64_t base = 1ULL << octave;
    unsigned part =
        (unsigned)(((uint64_t)us - base) * BUCKETS_PER_OCTAVE / base);
    return MIN(octave * BUCKETS_PER_OCTAVE + part, WP_HISTOGRAM_BUCKETS - 1);
}

static double bucket_edge(unsigned b)
{
    double base = ldexp(1, (int)(b / BUCKETS_PER_OCTAVE));
    return base + base * (b % BUCKETS_PER_OCTAVE + 1) / BUCKETS_PER_OCTAVE;
}

void wp_histogram_add(WPHistogram *h, int64_t us)
{
    h->bucket[bucket_of(us)]++;
    h->count++;
    h->sum += (double)us;
}

double wp_histogram_quantile(const WPHistogram *h, double q)
{
    uint64_t rank = (uint64_t)ceil(q * (double)h->count);
    uint64_t seen = 0;
    for (unsigned b = 0; b < WP_HISTOGRAM_BUCKETS; b++) {
        seen += h->bucket[b];
        if (seen && seen >= rank)
            return bucket_edge(b);
    }
    return 0;
}

/* Appends the histogram in the text format of Prometheus; empty buckets are
   left out. */
static void histogram_text(const WPHistogram *h, const char *name,
                           const char *labels, GString *out)
{
    uint64_t seen = 0;
    g_string_append_printf(out, "# TYPE wp_%s_us histogram\n", name);
    for (unsigned b = 0; b < WP_HISTOGRAM_BUCKETS; b++) {
        if (!h->bucket[b])
            continue;
        seen += h->bucket[b];
        g_string_append_printf(out, "wp_%s_us_bucket{%s,le=\"%.0f\"} %lu\n",
                               name, labels, bucket_edge(b), seen);
    }
    g_string_append_printf(
        out,
        "wp_%s_us_bucket{%s,le=\"+Inf\"} %lu\nwp_%s_us_sum{%s} %.0f\n"
        "wp_%s_us_count{%s} %lu\n",
        name, labels, h->count, name, labels, h->sum, name, labels, h->count);
}

const char *wp_counter_name(WPCounter which)
{
    return rows[which].metric;
}

void wp_counters_text(const WPCounters *c, const char *labels, GString *out)
{
    for (unsigned i = 0; i < WP_COUNTER_COUNT; i++)
        g_string_append_printf(
            out, "# HELP wp_%s %s\n# TYPE wp_%s counter\nwp_%s{%s} %lu\n",
            rows[i].metric, rows[i].help, rows[i].metric, rows[i].metric,
            labels, c->value[i]);
    for (unsigned i = 0; i < WP_CODE_COUNT; i++)
        if (c->codes[i])
            g_string_append_printf(out,
                                   "wp_outcomes_total{%s,code=\"%s\"} %lu\n",
                                   labels, wp_code_info(i)->code, c->codes[i]);
    histogram_text(&c->first_token, "first_token", labels, out);
    histogram_text(&c->longest_gap, "longest_gap", labels, out);
    histogram_text(&c->whole_answer, "whole_answer", labels, out);
    histogram_text(&c->decision, "decision", labels, out);
}
