/* wpload: generates load against entries, and compares the results of two
 * runs. */
#include "daemon.h"
#include "load.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

static void add_costs(GHashTable *costs, const Wp__Rules *r)
{
    for (size_t i = 0; i < r->n_versions; i++) {
        double *cost = g_new(double, 1);
        *cost = r->versions[i]->cost_out;
        g_hash_table_insert(costs, g_strdup(r->versions[i]->name), cost);
    }
}

static void *read_file(const ProtobufCMessageDescriptor *shape,
                       const char *file, GError **error)
{
    g_autofree char *text = NULL;
    gsize n;
    if (!g_file_get_contents(file, &text, &n, error))
        return NULL;
    return wp_yaml_read(shape, wp_strn(text, n), file, error);
}

static GHashTable *read_costs(char **files, GError **error)
{
    GHashTable *costs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (char **f = files; f && *f; f++) {
        Wp__Rules *r = read_file(&wp__rules__descriptor, *f, error);
        if (!r) {
            g_hash_table_unref(costs);
            return NULL;
        }
        add_costs(costs, r);
        wp_pb_free(r);
    }
    return costs;
}

static void print_number(const char *path, const json_t *a, const json_t *b)
{
    double x = json_number_value(a), y = json_number_value(b);
    printf("%-28s %12.3f %12.3f", path, x, y);
    if (x != 0)
        printf(" %9.3f", y / x);
    printf("\n");
}

static void compare(const char *prefix, json_t *a, json_t *b)
{
    const char *name;
    json_t *x;
    json_object_foreach (a, name, x) {
        json_t *y = json_object_get(b, name);
        g_autofree char *path =
            *prefix ? g_strconcat(prefix, ".", name, NULL) : g_strdup(name);
        if (json_is_object(x))
            compare(path, x, y);
        else if (json_is_number(x))
            print_number(path, x, y);
    }
}

static int compare_runs(const char *first, const char *second)
{
    json_t *a = json_load_file(first, 0, NULL);
    json_t *b = json_load_file(second, 0, NULL);
    int code = a && b ? EXIT_OK : EXIT_BAD_INPUT;
    if (code != EXIT_OK)
        fprintf(stderr, "--compare: expected two files of -o json\n");
    else
        printf("%-28s %12s %12s %9s\n", "", "first", "second", "ratio");
    compare("", a, b);
    json_decref(a);
    json_decref(b);
    return code;
}

static int run(const Wp__Mix *mix, char **entries, const char *ratings,
               GHashTable *costs, bool json)
{
    struct event_base *base = event_base_new();
    Load *l =
        load_new(base, mix, entries, g_strv_length(entries), ratings, costs);
    if (!l) {
        fprintf(stderr, "--entry: expected HOST:PORT\n");
        return EXIT_BAD_INPUT;
    }
    load_start(l);
    while (!load_done(l))
        event_base_loop(base, EVLOOP_ONCE);
    if (json) {
        json_t *o = load_json(l);
        json_dumpf(o, stdout, JSON_INDENT(2));
        printf("\n");
        json_decref(o);
    } else {
        load_print(l);
    }
    const LoadResult *r = load_result(l);
    bool valid = !r->wrong && !r->aborted && !r->session_breaks;
    load_free(l);
    event_base_free(base);
    return valid ? EXIT_OK : 1;
}

int main(int argc, char **argv)
{
    g_auto(GStrv) entries = NULL, rules = NULL;
    g_autofree char *mix_file = NULL, *ratings = NULL, *output = NULL;
    gboolean diff = FALSE;
    double rate = 0, seconds = 0;
    gint seed = 0;
    GError *error = NULL;
    const GOptionEntry options[] = {
        { "mix", 'm', 0, G_OPTION_ARG_FILENAME, &mix_file,
          "YAML file that describes the requests", "FILE" },
        { "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &entries,
          "address of an entry; may be repeated", "HOST:PORT" },
        { "ratings", 0, 0, G_OPTION_ARG_STRING, &ratings,
          "address of the rating service, which gets scores of answers",
          "HOST:PORT" },
        { "rules", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &rules,
          "rules file with the versions' costs", "FILE" },
        { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate, "requests per second",
          "N" },
        { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &seconds, "duration in seconds",
          "S" },
        { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed of the arrival times",
          "N" },
        { "output", 'o', 0, G_OPTION_ARG_STRING, &output, "text or json",
          "FORM" },
        { "compare", 0, 0, G_OPTION_ARG_NONE, &diff,
          "compare two results of -o json, given as arguments", NULL },
        { NULL, 0, 0, 0, NULL, NULL, NULL }
    };
    g_autoptr(GOptionContext) c = g_option_context_new("[FILE FILE]");
    g_option_context_set_summary(
        c, "Sends an open-loop mix of requests and checks every answer.\n"
           "Exit codes: 0 all answers valid, 1 an answer was incomplete, "
           "wrong or of an unannounced version, 2 bad input.");
    g_option_context_add_main_entries(c, options, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (!g_option_context_parse(c, &argc, &argv, &error))
        return daemon_report_error(error);
    if (diff && argc == 3)
        return compare_runs(argv[1], argv[2]);
    if (!mix_file || !entries) {
        fprintf(stderr, "--mix and --entry are required; see --help\n");
        return EXIT_BAD_INPUT;
    }
    Wp__Mix *mix = read_file(&wp__mix__descriptor, mix_file, &error);
    if (!mix)
        return daemon_report_error(error);
    if (rate > 0)
        mix->rate = rate;
    if (seconds > 0)
        mix->seconds = seconds;
    if (seed > 0)
        mix->seed = (uint64_t)seed;
    GHashTable *costs = read_costs(rules, &error);
    int code = costs ? run(mix, entries, ratings, costs,
                           output && !strcmp(output, "json"))
                     : daemon_report_error(error);
    if (costs)
        g_hash_table_unref(costs);
    wp_pb_free(mix);
    return code;
}
