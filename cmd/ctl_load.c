/* wpctl load: what an entry without agents does under load. */
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

int ctl_load(Ctl *c)
{
    if (!c->admin) {
        fprintf(stderr,
                "--admin HOST:PORT is required: a box's metrics port\n");
        return EXIT_BAD_INPUT;
    }
    json_t *o = ctl_fetch_json(c, c->admin, "/load");
    if (!o) {
        fprintf(stderr, "no answer from %s\n", c->admin);
        return EXIT_UNAVAILABLE;
    }
    if (ctl_wants_json(c)) {
        json_dumpf(o, stdout, JSON_INDENT(2));
        printf("\n");
    } else {
        print_requests(json_object_get(o, "requests"));
        printf("\n");
        print_endpoints(json_object_get(o, "endpoints"));
    }
    json_decref(o);
    return EXIT_OK;
}
