/* wpscenario: runs scenario files with real processes. A scenario that names a
 * guard is run twice: it must fail with the guard disabled, and pass with the
 * guard enabled. */
#include "scenario.h"
#include "wp_pb.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

typedef struct Job {
    const char *file, *bin;
} Job;

/* Runs the steps until one fails. Returns NULL if all passed, else the reason,
   to be freed with g_free(). */
static char *run_steps(Site *s, const Wp__Scenario *plan)
{
    bool ok = true;
    for (size_t i = 0; ok && i < plan->n_steps; i++) {
        ok = site_step(s, plan->steps[i]);
        if (!ok)
            g_string_append_printf(s->error_text, "at step %zu", i + 1);
    }
    if (ok)
        return NULL;
    if (s->load) {
        json_t *o = load_json(s->load);
        g_autofree char *text =
            json_dumps(json_object_get(o, "codes"), JSON_COMPACT);
        g_string_append_printf(s->error_text, "; refusals %s", text);
        json_decref(o);
    }
    return g_strdup(s->error_text->str);
}

/* Runs the scenario once, with `disabled_guard` off unless it is NULL. Returns
   NULL if it passed, else the reason, to be freed with g_free(). If a process
   does not start, or a sanitizer reported an error, the test fails in either
   case, as such a run does not show whether the guard matters. */
static char *run_scenario(const Wp__Scenario *plan, const char *bin,
                          const char *disabled_guard)
{
    Site *s = site_new(plan, bin, disabled_guard);
    if (!site_start_all(s)) {
        print_error("    %s: %s\n", plan->name, s->error_text->str);
        site_free(s);
        fail();
    }
    char *why = run_steps(s, plan);
    g_autofree char *complaint = site_sanitizer_report(s);
    if (complaint) {
        print_error("    %s: %s\n", plan->name, complaint);
        site_free(s);
        fail();
    }
    if (why && g_getenv("WP_KEEP"))
        printf("    kept: %s\n", s->folder);
    site_free(s);
    return why;
}

static Wp__Scenario *read_plan(const char *file)
{
    g_autofree char *text = NULL;
    gsize n;
    GError *error = NULL;
    Wp__Scenario *plan = NULL;
    if (g_file_get_contents(file, &text, &n, &error))
        plan = (Wp__Scenario *)wp_yaml_read(&wp__scenario__descriptor,
                                            wp_strn(text, n), file, &error);
    if (!plan)
        print_error("%s\n", error->message);
    g_clear_error(&error);
    return plan;
}

static void run_job(void **state)
{
    const Job *job = *state;
    Wp__Scenario *plan = read_plan(job->file);
    assert_non_null(plan);
    printf("    %s: seed %lu, proves: %s\n", plan->name,
           (unsigned long)plan->seed, plan->promise ? plan->promise : "-");
    if (plan->fails_without) {
        g_autofree char *why =
            run_scenario(plan, job->bin, plan->fails_without);
        printf("    %s: without %s: %s\n", plan->name, plan->fails_without,
               why ? why : "PASSED, so the guard is not shown to matter");
        assert_non_null(why);
    }
    g_autofree char *why = run_scenario(plan, job->bin, NULL);
    if (why)
        print_error("    %s: %s\n", plan->name, why);
    wp_pb_free(plan);
    assert_null(why);
}

int main(int argc, char **argv)
{
    struct CMUnitTest *tests = g_new0(struct CMUnitTest, argc);
    Job *jobs = g_new0(Job, argc);
    const char *bin = g_getenv("WP_BIN") ? g_getenv("WP_BIN") : "build";
    size_t n = 0;
    setvbuf(stdout, NULL, _IOLBF, 0);
    for (int i = 1; i < argc; i++, n++) {
        jobs[n] = (Job){ argv[i], bin };
        tests[n].name = argv[i];
        tests[n].test_func = run_job;
        tests[n].initial_state = &jobs[n];
    }
    int failed = _cmocka_run_group_tests("scenarios", tests, n, NULL, NULL);
    g_free(jobs);
    g_free(tests);
    return failed;
}
