/* Measures of a scenario. They come from what callers saw, the engines' ledgers
 * and the store, so that the router is not judged by its own reports; only the
 * measures that begin with box. or metric. are read from the router. */
#include "scenario.h"

#include <math.h>
#include <stdlib.h>

/* Rows of all engines' ledgers, one a run; only those of `only_engine` unless
   it is NULL. The caller owns the array. */
static json_t *read_ledgers(Site *s, const char *only_engine)
{
    json_t *all = json_array();
    for (guint i = 0; i < s->procs->len; i++) {
        const Proc *p = s->procs->pdata[i];
        if (p->name[0] != 'x' || (only_engine && strcmp(p->name, only_engine)))
            continue;
        json_t *rows = site_fetch(s, p->port, "/ledger", NULL);
        json_array_extend(all, rows);
        json_decref(rows);
    }
    return all;
}

static const char *field(const json_t *row, const char *name)
{
    const char *v = json_string_value(json_object_get(row, name));
    return v ? v : "";
}

/* Value of the field `name` -> number of rows that have it. */
static GHashTable *count_by(const json_t *rows, const char *name)
{
    GHashTable *t =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    json_t *row;
    size_t i;
    json_array_foreach (rows, i, row) {
        const char *key = field(row, name);
        guint n = GPOINTER_TO_UINT(g_hash_table_lookup(t, key));
        g_hash_table_insert(t, g_strdup(key), GUINT_TO_POINTER(n + 1));
    }
    return t;
}

static guint count_of(GHashTable *t, const char *key)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(t, key));
}

/* Whether a request with this result and number of runs is to be counted. */
typedef bool (*FateTest)(const LoadOutcome *f, guint runs);

static bool ran_twice(const LoadOutcome *f, guint runs)
{
    return f->has_idempotency_key && runs > 1;
}

static bool answered_without_run(const LoadOutcome *f, guint runs)
{
    return f->ok && runs == 0;
}

static double count_fates(Site *s, FateTest test)
{
    json_t *rows = read_ledgers(s, NULL);
    g_autoptr(GHashTable) runs = count_by(rows, "digest");
    const GArray *fates = load_result(s->load)->outcomes;
    double n = 0;
    for (guint i = 0; i < fates->len; i++) {
        const LoadOutcome *f = &g_array_index(fates, LoadOutcome, i);
        n += test(f, count_of(runs, f->digest));
    }
    json_decref(rows);
    return n;
}

/* Number of attempts that were reported as not run although an engine ran them.
   Each attempt has an id of its own, as another attempt of the same call may
   have run. */
static double count_refused_but_ran(Site *s)
{
    json_t *rows = read_ledgers(s, NULL);
    g_autoptr(GHashTable) runs = count_by(rows, "request_id");
    const GPtrArray *ids = load_result(s->load)->refused_ids;
    double n = 0;
    for (guint i = 0; i < ids->len; i++)
        n += count_of(runs, g_ptr_array_index(ids, i)) > 0;
    json_decref(rows);
    return n;
}

static const Mark *find_mark(Site *s, const char *name)
{
    for (guint i = 0; i < s->marks->len; i++) {
        const Mark *m = &g_array_index(s->marks, Mark, i);
        if (!strcmp(m->name, name))
            return m;
    }
    return NULL;
}

/* Unix time in ms of "MARK" or "MARK+SECONDS"; NAN if there is no such mark. */
static double mark_ms(Site *s, const char *text)
{
    g_auto(GStrv) parts = g_strsplit(text, "+", 2);
    const Mark *m = find_mark(s, parts[0]);
    double plus = parts[1] ? g_ascii_strtod(parts[1], NULL) : 0;
    return m ? (double)m->wall_ms + plus * WP_MS_PER_S : NAN;
}

/* Number of runs that match
   runs.FIELD=VALUE[,FIELD=VALUE|FIELD!=VALUE][,after=MARK+S][,at=xN] */
static double count_runs(Site *s, const char *query)
{
    g_auto(GStrv) terms = g_strsplit(query, ",", -1);
    double n = 0, after = 0;
    const char *only_engine = NULL;
    for (char **t = terms; *t; t++) {
        if (g_str_has_prefix(*t, "after="))
            after = mark_ms(s, *t + 6);
        if (g_str_has_prefix(*t, "at="))
            only_engine = *t + 3;
    }
    json_t *rows = read_ledgers(s, only_engine), *row;
    size_t i;
    json_array_foreach (rows, i, row) {
        bool matches =
            json_number_value(json_object_get(row, "at_ms")) >= after;
        for (char **t = terms; *t && matches; t++) {
            g_auto(GStrv) pair = g_strsplit(*t, "=", 2);
            size_t len = strlen(pair[0]);
            bool negated = len && pair[0][len - 1] == '!';
            if (!strcmp(pair[0], "after") || !strcmp(pair[0], "at") || !pair[1])
                continue;
            if (negated)
                pair[0][len - 1] = 0;
            matches = (strcmp(field(row, pair[0]), pair[1]) == 0) != negated;
        }
        n += matches;
    }
    json_decref(rows);
    return n;
}

/* The charges that wpctl lists; the caller owns the array. */
static json_t *read_charges(Site *s)
{
    g_autofree char *text = NULL;
    if (site_ctl(s, "-o json bills", &text) != 0 || !text)
        return json_array();
    json_t *j = json_loads(text, 0, NULL);
    json_t *list = json_incref(json_object_get(j, "charges"));
    json_decref(j);
    return list ? list : json_array();
}

/* Number of completely answered requests without a charge; with
   `count_doubles`, number of charges of step 0 whose request has more than one
   charge (a cascade's steps belong to one bill). */
static double count_bill_faults(Site *s, bool count_doubles)
{
    json_t *list = read_charges(s);
    g_autoptr(GHashTable) by_id = count_by(list, "request_id");
    const GArray *fates = load_result(s->load)->outcomes;
    double missing = 0, n_double = 0;
    json_t *c;
    size_t i;
    for (guint k = 0; k < fates->len; k++) {
        const LoadOutcome *f = &g_array_index(fates, LoadOutcome, k);
        if (f->ok && f->request_id[0] && !count_of(by_id, f->request_id))
            missing++;
    }
    json_array_foreach (list, i, c)
        n_double += count_of(by_id, field(c, "request_id")) > 1 &&
                    json_integer_value(json_object_get(c, "step")) == 0;
    json_decref(list);
    return count_doubles ? n_double : missing;
}

/* Charges for a complete answer whose request ran at no endpoint. */
static double bills_without_run(Site *s)
{
    json_t *list = read_charges(s), *rows = read_ledgers(s, NULL), *c;
    g_autoptr(GHashTable) runs = count_by(rows, "request_id");
    double n = 0;
    size_t i;
    json_array_foreach (list, i, c)
        n += !count_of(runs, field(c, "request_id")) &&
             json_is_true(json_object_get(c, "whole"));
    json_decref(list);
    json_decref(rows);
    return n;
}

static double load_measure(Site *s, const char *name)
{
    const LoadResult *r = s->load ? load_result(s->load) : NULL;
    const struct {
        const char *name;
        double value;
    } rows[] = {
        { "sent", r ? (double)r->sent : 0 },
        { "ok", r ? (double)r->ok : 0 },
        { "not_ok", r ? (double)(r->ended - r->ok) : 0 },
        { "not_run", r ? (double)r->not_run : 0 },
        { "unknown", r ? (double)r->unknown : 0 },
        { "no_answer", r ? (double)r->no_answer : 0 },
        { "cut", r ? (double)r->aborted : 0 },
        { "wrong", r ? (double)r->wrong : 0 },
        { "session_breaks", r ? (double)r->session_breaks : 0 },
        { "session_moves", r ? (double)r->session_moves : 0 },
        { "late_finals", r ? (double)r->late_refusals : 0 },
        { "first_p99_ms", r ? sample_quantile(r->first_ms, 0.99) : 0 },
        { "whole_max_ms", r ? sample_quantile(r->complete_ms, 1) : 0 },
    };
    if (!r)
        return NAN;
    for (size_t i = 0; i < WP_COUNT(rows); i++)
        if (!strcmp(rows[i].name, name))
            return rows[i].value;
    if (g_str_has_prefix(name, "code."))
        return (double)load_count(r->codes, name + 5);
    if (g_str_has_prefix(name, "version."))
        return (double)load_count(r->versions, name + 8);
    return NAN;
}

/* The box's status page; NULL if the process is not a running box or does not
   answer. */
static json_t *box_status(Site *s, const Proc *p)
{
    if (!p || !p->running || p->frozen || !strcmp(p->program, "wpstand"))
        return NULL;
    return site_fetch(s, p->admin_port, "/v1/status", NULL);
}

/* Value of box.NAME.FIELD; a boolean gives 0 or 1. */
static double box_measure(Site *s, const char *name)
{
    g_auto(GStrv) parts = g_strsplit(name, ".", 2);
    json_t *j = parts[1] ? box_status(s, site_proc(s, parts[0])) : NULL;
    const json_t *v = json_object_get(j, parts[1]);
    double n = json_is_boolean(v) ? json_is_true(v) : json_number_value(v);
    if (!j)
        n = NAN;
    json_decref(j);
    return n;
}

/* The store's revision of the configuration; 0 if it has none. */
static double store_revision(Site *s)
{
    json_t *j = site_fetch(s, site_proc(s, "kv")->port, "/v3/kv/range",
                           "{\"key\":\"L3dwL2NvbmZpZy9oZWFk\"}");
    const json_t *kv = json_array_get(json_object_get(j, "kvs"), 0);
    const char *rev = json_string_value(json_object_get(kv, "mod_revision"));
    double n = rev ? g_ascii_strtod(rev, NULL) : 0;
    json_decref(j);
    return n;
}

/* Number of running boxes whose configuration is older than the store's. */
static double boxes_behind(Site *s)
{
    double want = store_revision(s), n = 0;
    for (guint i = 0; i < s->procs->len; i++) {
        json_t *j = box_status(s, s->procs->pdata[i]);
        if (j)
            n += json_number_value(json_object_get(j, "revision")) < want;
        json_decref(j);
    }
    return n;
}

/* First sample of the counter in metric.NAME.COUNTER, where NAME is a box. */
static double metric_measure(Site *s, const char *name)
{
    g_auto(GStrv) parts = g_strsplit(name, ".", 2);
    const Proc *p = site_proc(s, parts[0]);
    g_autofree char *text =
        p && parts[1] ? site_fetch_text(s, p->admin_port, "/metrics") : NULL;
    g_autofree char *start =
        parts[1] ? g_strdup_printf("\nwp_%s{", parts[1]) : NULL;
    const char *at = text ? strstr(text, start) : NULL;
    at = at ? strstr(at, "} ") : NULL;
    return at ? g_ascii_strtod(at + 2, NULL) : NAN;
}

static double kv_measure(Site *s, const char *name)
{
    json_t *j = site_fetch(s, site_proc(s, "kv")->port, "/control", "{}");
    double n = json_number_value(json_object_get(j, name));
    json_decref(j);
    return n;
}

/* Value of rollout.NAME.FIELD; rollout.NAME.FIELD=VALUE is 1 if the field has
   this text, else 0. */
static double rollout_measure(Site *s, const char *name)
{
    g_auto(GStrv) parts = g_strsplit(name, ".", 2);
    g_autofree char *text = NULL;
    double n = NAN;
    site_ctl(s, "-o json rollout status", &text);
    g_auto(GStrv) lines = g_strsplit(text ? text : "", "\n", -1);
    for (char **l = lines; *l; l++) {
        json_t *j = json_loads(*l, 0, NULL);
        const char *id = json_string_value(json_object_get(j, "name"));
        if (id && !strcmp(id, parts[0])) {
            g_auto(GStrv) want = g_strsplit(parts[1], "=", 2);
            const json_t *v = json_object_get(j, want[0]);
            n = want[1] ? !strcmp(json_string_value(v), want[1])
                        : json_number_value(v);
        }
        json_decref(j);
    }
    return n;
}

double site_measure(Site *s, const char *name)
{
    if (g_str_has_prefix(name, "rollout."))
        return rollout_measure(s, name + 8);
    if (g_str_has_prefix(name, "load."))
        return load_measure(s, name + 5);
    if (!strcmp(name, "runs.twice"))
        return count_fates(s, ran_twice);
    if (!strcmp(name, "runs.refused_but_ran"))
        return count_refused_but_ran(s);
    if (!strcmp(name, "runs.answered_without"))
        return count_fates(s, answered_without_run);
    if (g_str_has_prefix(name, "runs."))
        return count_runs(s, name + 5);
    if (!strcmp(name, "bills.missing"))
        return count_bill_faults(s, false);
    if (!strcmp(name, "bills.double"))
        return count_bill_faults(s, true);
    if (!strcmp(name, "bills.without_run"))
        return bills_without_run(s);
    if (!strcmp(name, "boxes.behind"))
        return boxes_behind(s);
    if (g_str_has_prefix(name, "box."))
        return box_measure(s, name + 4);
    if (g_str_has_prefix(name, "metric."))
        return metric_measure(s, name + 7);
    if (g_str_has_prefix(name, "kv."))
        return kv_measure(s, name + 3);
    if (!strcmp(name, "ctl.exit"))
        return s->ctl_exit;
    if (g_str_has_prefix(name, "since.")) {
        const Mark *m = find_mark(s, name + 6);
        return m ? (double)(g_get_monotonic_time() - m->mono_us) / WP_US_PER_S
                 : NAN;
    }
    return NAN;
}
