/* Prints how often versions that fail are completed, and how often good ones
 * are not completed in time, beside what the best judge could do: one that
 * knows which fault the version may have, sees the answers of all stages, and
 * holds back 1 in 100 good versions. */
#include "verdict_sim.h"
#include "wp_pb.h"
#include "wp_rollout.h"

#include <stdio.h>
#include <stdlib.h>

enum { PLAYS = 200, BEST_HELD_GOOD = PLAYS / 100 };

static const VerdictSite sites[] = {
    { "models", 91, { 0.3, 0.3, 0.4 }, { 0.001, 0.001, 0.001 }, { 0.15, 30 } },
    { "plain", 32, { 0.35, 0.35, 0.3 }, { 0.004, 0.004, 0.14 }, { 0.15, 30 } },
};

static const VerdictVersion bad[] = {
    { VERDICT_EVERYWHERE, 0.02 }, { VERDICT_EVERYWHERE, 0.05 },
    { VERDICT_EVERYWHERE, 0.1 },  { VERDICT_EVERYWHERE, 0.3 },
    { VERDICT_EVERYWHERE, 0.9 },  { VERDICT_ONE_ROUTE, 0.05 },
    { VERDICT_ONE_ROUTE, 0.1 },   { VERDICT_ONE_ROUTE, 0.3 },
    { VERDICT_ONE_ROUTE, 0.9 },   { VERDICT_LATE, 0.05 },
    { VERDICT_LATE, 0.1 },        { VERDICT_LATE, 0.3 },
    { VERDICT_LATE, 0.9 },
};

static const char *const fault_names[] = { "none", "everywhere", "one route",
                                           "late" };
static const int64_t durations_ms[] = { 8000, 16000, 25000 };

static Wp__Chart *chart;

static int by_value(const void *a, const void *b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return (x > y) - (x < y);
}

/* Log odds of the fault by the answers of versions of this kind, sorted. */
static void sample_log_odds(const VerdictSite *site, const VerdictVersion *v,
                            const VerdictVersion *suspected, int64_t ms,
                            double out[PLAYS])
{
    GRand *rand = g_rand_new_with_seed(2);
    for (unsigned i = 0; i < PLAYS; i++)
        out[i] =
            verdict_play(chart, site, v, suspected, ms, false, rand).log_odds;
    g_rand_free(rand);
    qsort(out, PLAYS, sizeof(out[0]), by_value);
}

/* Bad versions that the best judge completes. */
static unsigned best_completed(const VerdictSite *site, const VerdictVersion *v,
                               int64_t ms)
{
    static const VerdictVersion good = { VERDICT_GOOD, 0 };
    double of_good[PLAYS], of_bad[PLAYS];
    unsigned n = 0;
    sample_log_odds(site, &good, v, ms, of_good);
    sample_log_odds(site, v, v, ms, of_bad);
    double bound = of_good[PLAYS - 1 - BEST_HELD_GOOD];
    while (n < PLAYS && of_bad[n] <= bound)
        n++;
    return n;
}

static void print_row(const VerdictSite *site, const VerdictVersion *v,
                      int64_t ms)
{
    unsigned count[3] = { 0 }, answers = 0, exposed = 0;
    GRand *rand = g_rand_new_with_seed(1);
    for (unsigned i = 0; i < PLAYS; i++) {
        VerdictResult r = verdict_play(chart, site, v, v, ms, true, rand);
        count[r.state]++;
        answers += r.answers;
        exposed += r.on_new > r.allowed;
    }
    g_rand_free(rand);
    printf("| %s | %.0f | %s | %.2f | %.1f | %.1f | %.1f | ", site->name,
           (double)ms / WP_MS_PER_S, fault_names[v->fault], v->share,
           count[WP_SHIFT_DONE] * 100.0 / PLAYS,
           count[WP_SHIFT_RUNNING] * 100.0 / PLAYS,
           count[WP_SHIFT_ROLLED_BACK] * 100.0 / PLAYS);
    if (v->fault == VERDICT_GOOD)
        printf("99.0");
    else
        printf("%.1f", best_completed(site, v, ms) * 100.0 / PLAYS);
    printf(" | %.0f | %.1f |\n", (double)answers / PLAYS,
           v->fault == VERDICT_GOOD ? 0 : exposed * 100.0 / PLAYS);
}

int main(void)
{
    static const VerdictVersion good = { VERDICT_GOOD, 0 };
    g_autofree char *text = NULL;
    g_autoptr(GError) error = NULL;
    gsize n;
    if (g_file_get_contents("charts/shift.yaml", &text, &n, &error))
        chart = wp_chart_read(wp_strn(text, n), "charts/shift.yaml", &error);
    if (!chart) {
        fprintf(stderr, "wpverdict: %s\n", error->message);
        return 1;
    }
    printf("| service | order, s | fails | share | completed, %% | held, %% | "
           "rolled back, %% | best judge completes, %% | answers | over the "
           "limit, %% |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (size_t s = 0; s < WP_COUNT(sites); s++)
        for (size_t d = 0; d < WP_COUNT(durations_ms); d++) {
            print_row(&sites[s], &good, durations_ms[d]);
            for (size_t i = 0; i < WP_COUNT(bad); i++)
                print_row(&sites[s], &bad[i], durations_ms[d]);
        }
    wp_pb_free(chart);
    return 0;
}
