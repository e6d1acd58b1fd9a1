/* The steps that scenario files may contain. */
#include "scenario.h"

#include <math.h>
#include <signal.h>
#include <stdlib.h>

typedef bool (*StepFn)(Site *s, const Wp__Step *t);

static bool do_start(Site *s, const Wp__Step *t)
{
    Proc *p = site_proc(s, t->name);
    return p && site_start(s, p);
}

static bool send_signal(Site *s, const Wp__Step *t, int signal)
{
    Proc *p = site_proc(s, t->name);
    if (p)
        site_signal(p, signal);
    return p != NULL;
}

static bool do_kill(Site *s, const Wp__Step *t)
{
    return send_signal(s, t, SIGKILL);
}

static bool do_freeze(Site *s, const Wp__Step *t)
{
    return send_signal(s, t, SIGSTOP);
}

static bool do_thaw(Site *s, const Wp__Step *t)
{
    return send_signal(s, t, SIGCONT);
}

static bool do_term(Site *s, const Wp__Step *t)
{
    return send_signal(s, t, SIGTERM);
}

/* Planned stop: sends SIGTERM and waits up to t->seconds for the exit. */
static bool do_stop(Site *s, const Wp__Step *t)
{
    Proc *p = site_proc(s, t->name);
    int64_t until =
        g_get_monotonic_time() + (int64_t)(t->seconds * WP_US_PER_S);
    if (!p)
        return false;
    site_signal(p, SIGTERM);
    while (!site_process_exited(p)) {
        if (g_get_monotonic_time() > until) {
            g_string_append_printf(s->error_text, "%s has not stopped; ",
                                   p->name);
            return false;
        }
        site_run_loop(s, 10);
    }
    return true;
}

static bool do_box(Site *s, const Wp__Step *t)
{
    Proc *p = site_proc(s, t->name);
    if (p)
        site_announce_box(s, p, t->value);
    return p != NULL;
}

/* Sends t->value to the process: to its admin port's /v1/test page, or to a
   stand-in's /control page. */
static bool post_control(Site *s, const Wp__Step *t, bool admin)
{
    Proc *p = site_proc(s, t->name);
    json_t *j = p ? site_fetch(s, admin ? p->admin_port : p->port,
                               admin ? "/v1/test" : "/control",
                               t->value ? t->value : "{}")
                  : NULL;
    bool ok = j != NULL;
    json_decref(j);
    return ok;
}

static bool do_fault(Site *s, const Wp__Step *t)
{
    return post_control(s, t, false);
}

static bool do_cut(Site *s, const Wp__Step *t)
{
    return post_control(s, t, true);
}

static bool do_load(Site *s, const Wp__Step *t)
{
    double rate = t->value ? g_ascii_strtod(t->value, NULL) : 0;
    return site_load(s, t->arg, t->seconds, rate);
}

static bool do_end_load(Site *s, const Wp__Step *t)
{
    int64_t until =
        g_get_monotonic_time() + (int64_t)(t->seconds * WP_US_PER_S);
    load_stop(s->load);
    while (!load_done(s->load)) {
        if (g_get_monotonic_time() > until) {
            g_string_append(s->error_text, "requests without an end; ");
            return false;
        }
        site_run_loop(s, 20);
    }
    return true;
}

/* Whether `v` meets the bounds of the step; NAN never does. */
static bool in_bounds(const Wp__Step *t, double v)
{
    if (isnan(v))
        return false;
    if (t->has_at_most && v > t->at_most)
        return false;
    if (t->has_at_least && v < t->at_least)
        return false;
    return !t->has_equals || v == t->equals;
}

static bool report_miss(Site *s, const Wp__Step *t, double v)
{
    g_string_append_printf(s->error_text, "%s %s is %g", t->do_, t->name, v);
    if (t->has_at_most)
        g_string_append_printf(s->error_text, ", expected at most %g",
                               t->at_most);
    if (t->has_at_least)
        g_string_append_printf(s->error_text, ", expected at least %g",
                               t->at_least);
    if (t->has_equals)
        g_string_append_printf(s->error_text, ", expected %g", t->equals);
    g_string_append(s->error_text, "; ");
    return false;
}

static bool do_ctl(Site *s, const Wp__Step *t)
{
    s->ctl_exit = site_ctl(s, t->arg, NULL);
    return !t->has_equals || s->ctl_exit == t->equals
               ? true
               : (g_string_append_printf(s->error_text, "wpctl %s: exit %d; ",
                                         t->arg, s->ctl_exit),
                  false);
}

/* Two operators at once: runs two wpctl commands at the same time, given as
   "FIRST|SECOND"; `equals` is the sum of their exit codes. */
static bool do_race(Site *s, const Wp__Step *t)
{
    g_auto(GStrv) parts = g_strsplit(t->arg, "|", 2);
    GPid a = site_ctl_start(s, parts[0]);
    GPid b = site_ctl_start(s, parts[1]);
    s->ctl_exit = site_ctl_wait(s, a) + site_ctl_wait(s, b);
    return !t->has_equals || s->ctl_exit == t->equals
               ? true
               : (g_string_append_printf(
                      s->error_text, "race: exits sum to %d; ", s->ctl_exit),
                  false);
}

static bool do_mark(Site *s, const Wp__Step *t)
{
    Mark m = { g_strdup(t->name), g_get_real_time() / WP_US_PER_MS,
               g_get_monotonic_time() };
    g_array_append_val(s->marks, m);
    return true;
}

/* Lets the load run for t->seconds. */
static bool do_run(Site *s, const Wp__Step *t)
{
    site_run_loop(s, (int)(t->seconds * WP_MS_PER_S));
    return true;
}

/* Waits up to t->seconds until the measure is within its bounds. */
static bool do_wait(Site *s, const Wp__Step *t)
{
    int64_t until =
        g_get_monotonic_time() + (int64_t)(t->seconds * WP_US_PER_S);
    for (;;) {
        double v = site_measure(s, t->name);
        if (in_bounds(t, v))
            return true;
        if (g_get_monotonic_time() > until)
            return report_miss(s, t, v);
        site_run_loop(s, 20);
    }
}

static bool do_expect(Site *s, const Wp__Step *t)
{
    double v = site_measure(s, t->name);
    return in_bounds(t, v) ? true : report_miss(s, t, v);
}

/* Prints a measure. */
static bool do_note(Site *s, const Wp__Step *t)
{
    printf("    %s: %s %s\n", s->plan->name, t->arg ? t->arg : "", t->name);
    printf("    %s: = %g\n", s->plan->name, site_measure(s, t->name));
    return true;
}

bool site_step(Site *s, const Wp__Step *t)
{
    static const struct {
        const char *name;
        StepFn run;
    } steps[] = {
        { "start", do_start },       { "kill", do_kill },
        { "freeze", do_freeze },     { "thaw", do_thaw },
        { "term", do_term },         { "stop", do_stop },
        { "box", do_box },           { "fault", do_fault },
        { "cut", do_cut },           { "load", do_load },
        { "end_load", do_end_load }, { "ctl", do_ctl },
        { "race", do_race },         { "mark", do_mark },
        { "run", do_run },           { "wait", do_wait },
        { "expect", do_expect },     { "note", do_note },
    };
    for (size_t i = 0; i < WP_COUNT(steps); i++)
        if (!strcmp(steps[i].name, t->do_))
            return steps[i].run(s, t);
    g_string_append_printf(s->error_text, "unknown word %s; ", t->do_);
    return false;
}
