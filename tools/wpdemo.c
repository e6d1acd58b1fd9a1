/* wpdemo: runs a whole site on loopback, withdraws one version and rolls out
 * another under traffic, and prints a summary. */
#include "site.h"

#include <stdio.h>
#include <stdlib.h>

#define LOAD_S 20.0

static void title(const char *text)
{
    printf("\n== %s\n", text);
}

/* Runs a wpctl command, prints it with its output and returns its exit code. */
static int show(Site *s, const char *words)
{
    g_autofree char *out = NULL;
    printf("$ wpctl %s\n", words);
    int code = site_ctl(s, words, &out);
    printf("%s", out ? out : "");
    return code;
}

static void run_for(Site *s, double seconds)
{
    site_run_loop(s, (int)(seconds * WP_MS_PER_S));
}

/* Number of the version's runs in the engines' ledgers after this time. */
static unsigned runs_after(Site *s, const char *version, int64_t wall_ms)
{
    unsigned n = 0;
    for (guint i = 0; i < s->procs->len; i++) {
        const Proc *p = s->procs->pdata[i];
        json_t *rows =
            p->name[0] == 'x' ? site_fetch(s, p->port, "/ledger", NULL) : NULL;
        json_t *row;
        size_t k;
        json_array_foreach (rows, k, row) {
            const char *v = json_string_value(json_object_get(row, "version"));
            n += v && !strcmp(v, version) &&
                 json_integer_value(json_object_get(row, "at_ms")) > wall_ms;
        }
        json_decref(rows);
    }
    return n;
}

static int64_t withdraw(Site *s)
{
    title("A version is withdrawn while traffic flows");
    show(s, "withdraw tagger-2 --wait");
    return g_get_real_time() / WP_US_PER_MS;
}

static void roll_out(Site *s)
{
    title("Another version is rolled out: canary, half, full, done");
    show(s, "selector lake-next --traffic org=lakeshore,care!=high "
            "--versions stage=next");
    show(s, "rollout start tagger-3 --from tagger-1 --to tagger-3 --wait");
    for (int i = 0; i < 6; i++) {
        run_for(s, 2.5);
        show(s, "rollout status");
    }
}

static void one_request(Site *s)
{
    const GArray *fates = load_result(s->load)->outcomes;
    for (guint i = fates->len; i-- > 0;) {
        const LoadOutcome *f = &g_array_index(fates, LoadOutcome, i);
        if (!f->ok || !f->request_id[0])
            continue;
        g_autofree char *words =
            g_strdup_printf("timeline --request %s", f->request_id);
        title("Timeline of one request over all processes");
        show(s, words);
        return;
    }
}

static bool print_summary(Site *s, int64_t withdrawn_ms)
{
    const LoadResult *r = load_result(s->load);
    unsigned after = runs_after(s, "tagger-2", withdrawn_ms);
    title("Summary");
    load_print(s->load);
    printf("runs of tagger-2 after its withdrawal took effect: %u\n", after);
    show(s, "bills");
    return !after && !r->wrong && !r->aborted && !r->session_breaks &&
           r->ok == r->sent;
}

static bool run_demo(Site *s)
{
    if (!site_start_all(s))
        return false;
    title("Three entries and six agents are up");
    show(s, "status");
    run_for(s, 1); /* until idempotency keys are accepted (once_settle_ms) */
    if (!site_load(s, "examples/demo/mix.yaml", LOAD_S, 0))
        return false;
    run_for(s, 2);
    title("Why a plan request of lake-north is routed as it is");
    show(s, "why --workspace lake-north --kind plan");
    int64_t withdrawn_ms = withdraw(s);
    roll_out(s);
    while (!load_done(s->load))
        run_for(s, 0.05);
    one_request(s);
    run_for(s, 0.5); /* so that the last bills are settled */
    return print_summary(s, withdrawn_ms);
}

int main(void)
{
    Wp__Scenario plan = WP__SCENARIO__INIT;
    char *lines[] = { (char *)"charts: examples/demo/charts" };
    const char *bin = g_getenv("WP_BIN") ? g_getenv("WP_BIN") : "build";
    plan.name = (char *)"demo";
    plan.rules = (char *)"examples/demo/rules.yaml";
    plan.agents = 6;
    plan.n_node = 1;
    plan.node = lines;
    setvbuf(stdout, NULL, _IOLBF, 0);
    Site *s = site_new(&plan, bin, NULL);
    bool ok = run_demo(s);
    if (s->error_text->len)
        printf("%s\n", s->error_text->str);
    printf("\n%s\n",
           ok ? "demo: every request got a complete answer" : "demo: failed");
    site_free(s);
    return ok ? 0 : 1;
}
