/* Results of a load as text and as JSON. */
#include "load_int.h"

#include <stdio.h>

double load_fairness(const Load *l)
{
    GHashTableIter it;
    gpointer name, offered;
    double sum = 0, squares = 0, n = 0;
    g_hash_table_iter_init(&it, l->offered);
    while (g_hash_table_iter_next(&it, &name, &offered)) {
        double x = (double)load_count(l->r.served, name) / *(double *)offered;
        sum += x;
        squares += x * x;
        n++;
    }
    return squares > 0 ? sum * sum / (n * squares) : 0;
}

static json_t *counts_json(GHashTable *t)
{
    json_t *o = json_object();
    GHashTableIter it;
    gpointer name, n;
    g_hash_table_iter_init(&it, t);
    while (g_hash_table_iter_next(&it, &name, &n))
        json_object_set_new(o, name, json_integer((json_int_t) * (double *)n));
    return o;
}

static json_t *quality_json(const Load *l)
{
    json_t *o = json_object();
    GHashTableIter it;
    gpointer kind, value;
    g_hash_table_iter_init(&it, l->r.quality);
    while (g_hash_table_iter_next(&it, &kind, &value)) {
        const LoadQuality *q = value;
        json_object_set_new(
            o, kind,
            json_real(q->total ? (double)q->good / (double)q->total : 0));
    }
    return o;
}

static json_t *latency_json(GArray *sample)
{
    return json_pack("{s:f,s:f,s:f}", "p50", sample_quantile(sample, 0.5),
                     "p95", sample_quantile(sample, 0.95), "p99",
                     sample_quantile(sample, 0.99));
}

json_t *load_json(const Load *l)
{
    const LoadResult *r = &l->r;
    json_t *o = json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:f}", "sent",
        (json_int_t)r->sent, "ok", (json_int_t)r->ok, "not_run",
        (json_int_t)r->not_run, "unknown", (json_int_t)r->unknown, "no_answer",
        (json_int_t)r->no_answer, "cut", (json_int_t)r->aborted, "wrong",
        (json_int_t)r->wrong, "session_breaks", (json_int_t)r->session_breaks,
        "session_moves", (json_int_t)r->session_moves, "cost", r->cost,
        "fairness", load_fairness(l));
    json_object_set_new(o, "first_ms", latency_json(r->first_ms));
    json_object_set_new(o, "between_ms", latency_json(r->event_gap_ms));
    json_object_set_new(o, "whole_ms", latency_json(r->complete_ms));
    json_object_set_new(o, "codes", counts_json(r->codes));
    json_object_set_new(o, "versions", counts_json(r->versions));
    json_object_set_new(o, "quality", quality_json(l));
    return o;
}

static void print_counts(const char *title, json_t *o)
{
    const char *name;
    json_t *n;
    printf("%s", title);
    json_object_foreach (o, name, n) {
        if (json_is_real(n))
            printf("  %s %.3f", name, json_real_value(n));
        else
            printf("  %s %lld", name, (long long)json_integer_value(n));
    }
    printf("\n");
    json_decref(o);
}

void load_print(const Load *l)
{
    const LoadResult *r = &l->r;
    printf("sent %lu, complete %lu, not run %lu, unknown %lu, no answer "
           "%lu, incomplete %lu, wrong %lu\n",
           (unsigned long)r->sent, (unsigned long)r->ok,
           (unsigned long)r->not_run, (unsigned long)r->unknown,
           (unsigned long)r->no_answer, (unsigned long)r->aborted,
           (unsigned long)r->wrong);
    print_counts("first token (ms)   ", latency_json(r->first_ms));
    print_counts("between tokens (ms)", latency_json(r->event_gap_ms));
    print_counts("answer time (ms)   ", latency_json(r->complete_ms));
    print_counts("refusals by code   ", counts_json(r->codes));
    print_counts("answers by version ", counts_json(r->versions));
    print_counts("quality by kind    ", quality_json(l));
    printf("cost                 %.4f\n", r->cost);
    printf("sessions             %lu breaks, %lu announced moves\n",
           (unsigned long)r->session_breaks, (unsigned long)r->session_moves);
}
