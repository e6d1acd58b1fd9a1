/* wpctl load, wpctl shifts: what an entry without agents does under load, and
 * what it knows of new versions. */
#include "ctl.h"

#include <stdio.h>

static const char *text(const json_t *o, const char *name)
{
    const char *s = json_string_value(json_object_get(o, name));
    return s ? s : "-";
}

static double number(const json_t *o, const char *name)
{
    return json_number_value(json_object_get(o, name));
}

static bool is_true(const json_t *o, const char *name)
{
    return json_is_true(json_object_get(o, name));
}

static void print_requests(const json_t *list)
{
    size_t i;
    json_t *r;
    printf("%-12s %-12s %-12s %4s %7s %7s %9s\n", "service", "route",
           "workspace", "prio", "waiting", "running", "oldest_ms");
    json_array_foreach (list, i, r)
        printf("%-12s %-12s %-12s %4.0f %7.0f %7.0f %9.0f%s\n",
               text(r, "service"), text(r, "route"), text(r, "workspace"),
               number(r, "priority"), number(r, "waiting"),
               number(r, "running"), number(r, "oldest_ms"),
               is_true(r, "contended") ? " contended" : "");
}

static void print_endpoints(const json_t *list)
{
    size_t i;
    json_t *e;
    printf("%-16s %-12s %-10s %11s %7s %9s %9s %9s %8s\n", "endpoint",
           "service", "zone", "load/slots", "waiting", "report_ms", "queued_ms",
           "silent_ms", "slowdown");
    json_array_foreach (list, i, e)
        printf(
            "%-16s %-12s %-10s %5.1f/%-5.0f %7.0f %9.0f %9.0f %9.0f %8.2f%s\n",
            text(e, "id"), text(e, "service"), text(e, "zone"),
            number(e, "load"), number(e, "slots"), number(e, "waiting"),
            number(e, "report_ms"), number(e, "queued_ms"),
            number(e, "silent_ms"), number(e, "slowdown"),
            is_true(e, "avoided") ? " avoided" : "");
}

static void print_load(const json_t *o)
{
    print_requests(json_object_get(o, "requests"));
    printf("\n");
    print_endpoints(json_object_get(o, "endpoints"));
}

static void print_orders(const json_t *o)
{
    size_t i;
    json_t *s;
    json_array_foreach (json_object_get(o, "orders"), i, s) {
        const json_t *odds = json_object_get(s, "odds");
        printf("%s to %s: %s, %.0f of %.0f ms, share %.3f\n",
               text(s, "service"), text(s, "version"), text(s, "stage"),
               number(s, "elapsed_ms"), number(s, "duration_ms"),
               number(s, "share"));
        printf("  new %.0f of %.0f failed, old %.0f of %.0f\n",
               number(s, "failed"), number(s, "answered"),
               number(s, "old_failed"), number(s, "old_answered"));
        printf("  odds: fails %.1f (everywhere %.1f, on a route %.1f, late "
               "%.1f), slower %.1f; slowdown %.2f\n",
               number(odds, "fails"), number(odds, "fails_everywhere"),
               number(odds, "fails_on_route"), number(odds, "fails_late"),
               number(odds, "slower"), number(s, "slowdown"));
        if (number(s, "needed") > 0)
            printf("  answers without a failure that are needed: %.0f\n",
                   number(s, "needed"));
        if (json_is_string(json_object_get(s, "waits")))
            printf("  waits: %s\n", text(s, "waits"));
    }
}

/* Prints a page of a box's metrics port. */
static int show(Ctl *c, const char *path, void (*print)(const json_t *o))
{
    if (!c->admin) {
        fprintf(stderr,
                "--admin HOST:PORT is required: a box's metrics port\n");
        return EXIT_BAD_INPUT;
    }
    json_t *o = ctl_fetch_json(c, c->admin, path);
    if (!o) {
        fprintf(stderr, "no answer from %s\n", c->admin);
        return EXIT_UNAVAILABLE;
    }
    if (ctl_wants_json(c)) {
        json_dumpf(o, stdout, JSON_INDENT(2));
        printf("\n");
    } else {
        print(o);
    }
    json_decref(o);
    return EXIT_OK;
}

int ctl_load(Ctl *c)
{
    return show(c, "/load", print_load);
}

int ctl_shifts(Ctl *c)
{
    return show(c, "/shifts", print_orders);
}
