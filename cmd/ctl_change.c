/* The commands of wpctl that change the configuration, or check a rules file.
 */
#include "ctl.h"
#include "wp_config_validate.h"
#include "wp_rollout.h"

#include <stdio.h>
#include <stdlib.h>

/* Operations in one transaction; the store limits their number. */
enum { MAX_OPS = 100 };

/* Result of one wp_change_write(). */
typedef struct WriteOutcome {
    WPChangeResult result;
    uint64_t revision;
    char *author;
    bool done;
} WriteOutcome;

static void on_written(void *arg, WPChangeResult result, uint64_t revision,
                       const char *author)
{
    WriteOutcome *w = arg;
    w->result = result;
    w->revision = revision;
    w->author = g_strdup(author);
    w->done = true;
}

static int print_conflict(const Ctl *c, uint64_t base_revision,
                          const WriteOutcome *w)
{
    if (ctl_wants_json(c))
        printf("{\"conflict\":{\"read\":%lu,\"store\":%lu,\"author\":\"%s\"}}"
               "\n",
               (unsigned long)base_revision, (unsigned long)w->revision,
               w->author ? w->author : "?");
    else
        fprintf(stderr,
                "conflict: the change is based on revision %lu, but the store "
                "is at revision %lu by %s; nothing was changed\n",
                (unsigned long)base_revision, (unsigned long)w->revision,
                w->author ? w->author : "?");
    return EXIT_CONFLICT;
}

/* Writes at most MAX_OPS operations in one transaction, which takes effect only
   if the store is still at the revision of `config`, and applies them to
   `config` too. Returns an exit code. */
static int write_batch(Ctl *c, const GPtrArray *ops, WPConfig *config)
{
    WriteOutcome w = { 0 };
    g_autofree char *id = g_uuid_string_random();
    g_autofree Wp__Delta *d =
        wp_change_new(config, ops, id, c->author, ctl_now());
    wp_change_write(c->kv, config, d, on_written, &w);
    while (!w.done)
        event_base_loop(c->base, EVLOOP_ONCE);
    int code = EXIT_OK;
    if (w.result == WP_CHANGE_CONFLICT) {
        code = print_conflict(c, d->prev, &w);
    } else if (w.result == WP_CHANGE_UNKNOWN) {
        fprintf(stderr,
                "no answer from the store: change %s may or may not have "
                "taken effect\n",
                id);
        code = EXIT_UNAVAILABLE;
    } else {
        d->revision = w.revision;
        wp_config_apply(config, d);
    }
    g_free(w.author);
    return code;
}

/* Applies the operations to a copy of the configuration and prints the problems
   that the result has. Returns whether they may be written: there are no
   problems, or --force was given. */
static bool validate(const Ctl *c, const WPConfig *config, const GPtrArray *ops)
{
    WPConfig *copy = wp_config_new();
    Wp__Snapshot *s = wp_config_snapshot(config);
    Wp__Delta d = WP__DELTA__INIT;
    s->revision = MAX(s->revision, 1);
    wp_config_apply_snapshot(copy, s);
    wp_pb_free(s);
    d.prev = wp_config_revision(copy);
    d.revision = d.prev + 1;
    d.change_id = (char *)"check";
    d.n_ops = ops->len;
    d.ops = (Wp__Op **)ops->pdata;
    wp_config_apply(copy, &d);
    GPtrArray *problems = wp_config_validate(copy);
    for (guint i = 0; i < problems->len; i++)
        fprintf(stderr, "%s\n", (char *)problems->pdata[i]);
    bool ok = !problems->len || c->force;
    if (!ok)
        fprintf(stderr, "refused; use --force to apply it in spite of this\n");
    g_ptr_array_unref(problems);
    wp_config_free(copy);
    return ok;
}

/* Validates the operations and writes them, in batches of MAX_OPS. With --wait,
   waits until every box has applied them. Returns an exit code. */
static int write_ops(Ctl *c, WPConfig *config, const GPtrArray *ops)
{
    int code = EXIT_OK;
    if (!ops->len) {
        printf("nothing to change at revision %lu\n",
               (unsigned long)wp_config_revision(config));
        return EXIT_OK;
    }
    if (!validate(c, config, ops))
        return EXIT_BAD_INPUT;
    for (guint at = 0; at < ops->len && code == EXIT_OK; at += MAX_OPS) {
        g_autoptr(GPtrArray) part = g_ptr_array_new();
        for (guint i = at; i < MIN(at + MAX_OPS, ops->len); i++)
            g_ptr_array_add(part, ops->pdata[i]);
        code = write_batch(c, part, config);
    }
    if (code != EXIT_OK)
        return code;
    uint64_t revision = wp_config_revision(config);
    if (ctl_wants_json(c))
        printf("{\"accepted\":%lu}\n", (unsigned long)revision);
    else
        printf("accepted at revision %lu\n", (unsigned long)revision);
    return c->wait ? ctl_wait_for_revision(c, revision) : EXIT_OK;
}

static Wp__Rules *read_rules(const char *file, GError **error)
{
    g_autofree char *text = NULL;
    gsize n;
    if (!file) {
        g_set_error(error, WP_ERROR, WP_ERROR_INPUT, "-f FILE is required");
        return NULL;
    }
    if (!g_file_get_contents(file, &text, &n, error))
        return NULL;
    return (Wp__Rules *)wp_yaml_read(&wp__rules__descriptor, wp_strn(text, n),
                                     file, error);
}

int ctl_check(Ctl *c)
{
    GError *error = NULL;
    Wp__Rules *r = read_rules(c->file, &error);
    if (!r)
        return daemon_report_error(error);
    WPConfig *none = wp_config_new();
    GPtrArray *ops = wp_rules_to_ops(r);
    bool ok = validate(c, none, ops);
    if (ok)
        printf("%s: ok, %u objects\n", c->file, ops->len);
    wp_ops_free(ops);
    wp_config_free(none);
    wp_pb_free(r);
    return ok ? EXIT_OK : EXIT_BAD_INPUT;
}

/* Fills in the fields of `v` that a rules file usually leaves out, because they
   record what happened to a version: whether and when it was withdrawn, and
   when it was added. They are taken from `old`, the stored version (NULL: there
   is none), unless the file gives them. */
static void keep_version_state(Wp__Version *v, const Wp__Version *old,
                               uint64_t now_ms)
{
    if (!v->has_added_ms) {
        v->has_added_ms = 1;
        v->added_ms = old ? old->added_ms : now_ms;
    }
    if (old && !v->has_withdrawn) {
        v->has_withdrawn = old->has_withdrawn;
        v->withdrawn = old->withdrawn;
    }
    if (old && !v->has_withdrawn_ms) {
        v->has_withdrawn_ms = old->has_withdrawn_ms;
        v->withdrawn_ms = old->withdrawn_ms;
    }
}

/* Sets the selector's time of change, unless the file gives it: that of `old`,
   the stored selector (NULL: there is none), if both are equal; else now. */
static void set_change_time(Wp__Selector *s, const Wp__Selector *old,
                            uint64_t now_ms)
{
    if (s->has_changed_ms)
        return;
    s->has_changed_ms = 1;
    s->changed_ms = old ? old->changed_ms : now_ms;
    if (old &&
        (strcmp(s->traffic, old->traffic) ||
         strcmp(s->versions, old->versions) || strcmp(s->effect, old->effect)))
        s->changed_ms = now_ms;
}

/* Does this for all selectors and versions of a rules file. */
static void keep_stored_state(Wp__Rules *r, const WPConfig *config)
{
    for (size_t i = 0; i < r->n_selectors; i++) {
        g_autofree char *key =
            g_strconcat("selector/", r->selectors[i]->name, NULL);
        const Wp__Object *o = wp_config_get(config, key);
        set_change_time(r->selectors[i], o ? o->selector : NULL,
                        (uint64_t)ctl_now().wall_ms);
    }
    for (size_t i = 0; i < r->n_versions; i++) {
        g_autofree char *key =
            g_strconcat("version/", r->versions[i]->name, NULL);
        const Wp__Object *o = wp_config_get(config, key);
        keep_version_state(r->versions[i], o ? o->version : NULL,
                           (uint64_t)ctl_now().wall_ms);
    }
}

/* Removes the operations that would write a value equal to the stored one. */
static void drop_unchanged(GPtrArray *ops, const WPConfig *config)
{
    for (guint i = ops->len; i-- > 0;) {
        Wp__Op *op = ops->pdata[i];
        const Wp__Object *old = wp_config_get(config, op->key);
        if (!old)
            continue;
        g_autoptr(GByteArray) b = wp_pb_pack(&old->base);
        if (b->len != op->value.len || memcmp(b->data, op->value.data, b->len))
            continue;
        wp_pb_free(op);
        g_ptr_array_remove_index(ops, i);
    }
}

int ctl_apply(Ctl *c)
{
    GError *error = NULL;
    int code;
    Wp__Rules *r = read_rules(c->file, &error);
    if (!r)
        return daemon_report_error(error);
    WPConfig *config = ctl_read_config(c, &code);
    if (config) {
        keep_stored_state(r, config);
        GPtrArray *ops = wp_rules_to_ops(r);
        drop_unchanged(ops, config);
        code = write_ops(c, config, ops);
        wp_ops_free(ops);
    }
    wp_config_free(config);
    wp_pb_free(r);
    return code;
}

/* Writes one operation, which is freed. Returns an exit code. */
static int write_op(Ctl *c, WPConfig *config, Wp__Op *op)
{
    GPtrArray *ops = g_ptr_array_new();
    g_ptr_array_add(ops, op);
    int code = write_ops(c, config, ops);
    wp_ops_free(ops);
    return code;
}

static int usage(const char *text)
{
    fprintf(stderr, "usage: wpctl %s\n", text);
    return EXIT_BAD_INPUT;
}

/* Sets `*items` and `*n` to the addresses of the object's label array and of
   its length. Returns false if objects of this kind have no labels. */
static bool get_labels(Wp__Object *o, Wp__Label ****items, size_t **n)
{
    switch (o->spec_case) {
    case WP__OBJECT__SPEC_MODEL:
        *items = &o->model->labels;
        *n = &o->model->n_labels;
        return true;
    case WP__OBJECT__SPEC_VERSION:
        *items = &o->version->labels;
        *n = &o->version->n_labels;
        return true;
    case WP__OBJECT__SPEC_WORKSPACE:
        *items = &o->workspace->labels;
        *n = &o->workspace->n_labels;
        return true;
    default:
        return false;
    }
}

static void remove_label(Wp__Label **items, size_t *n, WPStr key)
{
    for (size_t i = 0; i < *n; i++) {
        if (!wp_str_eq(wp_str(items[i]->key), key))
            continue;
        wp_pb_free(items[i]);
        items[i] = items[--*n];
        return;
    }
}

static Wp__Label *new_label(WPStr key, WPStr value)
{
    Wp__Label *l = calloc(1, sizeof(*l));
    g_assert(l);
    wp__label__init(l);
    l->key = g_strndup(key.p, key.n);
    l->value = g_strndup(value.p, value.n);
    return l;
}

static void add_label(Wp__Label ***items, size_t *n, WPStr key, WPStr value)
{
    remove_label(*items, n, key);
    *items = g_realloc(*items, (*n + 1) * sizeof(**items));
    (*items)[(*n)++] = new_label(key, value);
}

/* Applies an argument "KEY=VALUE" (set) or "KEY-" (remove) to the labels.
   Returns false if it is malformed. */
static bool edit_label(Wp__Label ***items, size_t *n, const char *word)
{
    WPStr value = wp_str(word);
    if (value.n > 1 && word[value.n - 1] == '-' && !strchr(word, '=')) {
        remove_label(*items, n, wp_strn(word, value.n - 1));
        return true;
    }
    WPStr key = wp_str_cut(&value, '=');
    if (!key.n || !value.n)
        return false;
    add_label(items, n, key, value);
    return true;
}

int ctl_label(Ctl *c)
{
    Wp__Label ***items;
    size_t *n;
    int code;
    if (c->n_args < 3)
        return usage("label KIND/NAME KEY=VALUE KEY- ...");
    WPConfig *config = ctl_read_config(c, &code);
    if (!config)
        return code;
    const Wp__Object *old = wp_config_get(config, c->args[1]);
    Wp__Object *o = old ? wp_pb_copy(&old->base) : NULL;
    code = EXIT_BAD_INPUT;
    if (!o || !get_labels(o, &items, &n)) {
        fprintf(stderr, "%s: no such model, version or workspace\n",
                c->args[1]);
        goto done;
    }
    for (int i = 2; i < c->n_args; i++) {
        if (!edit_label(items, n, c->args[i])) {
            fprintf(stderr, "%s: expected KEY=VALUE or KEY-\n", c->args[i]);
            goto done;
        }
    }
    code = write_op(c, config, wp_op_put(o));
done:
    wp_pb_free(o);
    wp_config_free(config);
    return code;
}

/* Writes the object under the name in the command line, or deletes it if
   --remove was given. */
static int put_or_remove(Ctl *c, const char *kind, const Wp__Object *o)
{
    int code;
    g_autofree char *key = g_strconcat(kind, "/", c->args[1], NULL);
    WPConfig *config = ctl_read_config(c, &code);
    if (!config)
        return code;
    code = write_op(c, config, c->remove ? wp_op_delete(key) : wp_op_put(o));
    wp_config_free(config);
    return code;
}

int ctl_rule(Ctl *c)
{
    Wp__Rule r = WP__RULE__INIT;
    Wp__Object o = WP__OBJECT__INIT;
    Wp__Label **labels = NULL;
    size_t n = 0;
    if (c->n_args < 2 || (!c->remove && (!c->on || !c->set)))
        return usage("rule NAME --on X --match M --set K=V");
    for (char **s = c->set; s && *s; s++)
        if (!edit_label(&labels, &n, *s))
            return usage("rule NAME --on X --match M --set K=V");
    r.name = c->args[1];
    r.on = c->on;
    if (c->match)
        r.match = c->match;
    r.set = labels;
    r.n_set = n;
    o.spec_case = WP__OBJECT__SPEC_RULE;
    o.rule = &r;
    int code = put_or_remove(c, "rule", &o);
    for (size_t i = 0; i < n; i++)
        wp_pb_free(labels[i]);
    free(labels);
    return code;
}

int ctl_selector(Ctl *c)
{
    Wp__Selector s = WP__SELECTOR__INIT;
    Wp__Object o = WP__OBJECT__INIT;
    if (c->n_args < 2 || (!c->remove && !c->traffic && !c->versions))
        return usage("selector NAME --traffic T --versions V [--effect E]");
    s.name = c->args[1];
    if (c->traffic)
        s.traffic = c->traffic;
    if (c->versions)
        s.versions = c->versions;
    if (c->effect)
        s.effect = c->effect;
    s.has_changed_ms = 1;
    s.changed_ms = (uint64_t)ctl_now().wall_ms;
    o.spec_case = WP__OBJECT__SPEC_SELECTOR;
    o.selector = &s;
    return put_or_remove(c, "selector", &o);
}

int ctl_delete(Ctl *c)
{
    int code;
    if (c->n_args < 2)
        return usage("delete KIND/NAME");
    WPConfig *config = ctl_read_config(c, &code);
    if (!config)
        return code;
    if (wp_config_get(config, c->args[1])) {
        code = write_op(c, config, wp_op_delete(c->args[1]));
    } else {
        fprintf(stderr, "%s: not configured\n", c->args[1]);
        code = EXIT_BAD_INPUT;
    }
    wp_config_free(config);
    return code;
}

static int set_withdrawn(Ctl *c, bool withdrawn)
{
    GError *error = NULL;
    int code;
    if (c->n_args < 2)
        return usage("withdraw VERSION, restore VERSION");
    WPConfig *config = ctl_read_config(c, &code);
    if (!config)
        return code;
    GPtrArray *ops =
        wp_withdraw_ops(config, c->args[1], withdrawn, ctl_now(), &error);
    if (ops) {
        code = write_ops(c, config, ops);
        wp_ops_free(ops);
    } else {
        code = daemon_report_error(error);
    }
    wp_config_free(config);
    return code;
}

int ctl_withdraw(Ctl *c)
{
    return set_withdrawn(c, true);
}

int ctl_restore(Ctl *c)
{
    return set_withdrawn(c, false);
}

static Wp__Chart *load_chart(const Ctl *c, GError **error)
{
    g_autofree char *file = g_build_filename(c->charts ? c->charts : "charts",
                                             "rollout.yaml", NULL);
    g_autofree char *text = NULL;
    gsize n;
    if (!g_file_get_contents(file, &text, &n, error))
        return NULL;
    return wp_chart_read(wp_strn(text, n), file, error);
}

static int start_rollout(Ctl *c, WPConfig *config)
{
    Wp__Rollout r = WP__ROLLOUT__INIT;
    Wp__Object o = WP__OBJECT__INIT;
    if (c->n_args < 3 || !c->from || !c->to)
        return usage("rollout start NAME --from V --to V");
    r.name = c->args[2];
    r.from = c->from;
    r.to = c->to;
    r.has_entered_ms = 1;
    r.entered_ms = (uint64_t)ctl_now().wall_ms;
    o.spec_case = WP__OBJECT__SPEC_ROLLOUT;
    o.rollout = &r;
    return write_op(c, config, wp_op_put(&o));
}

static void show_rollout(void *arg, const char *key, const Wp__Object *o)
{
    const Ctl *c = arg;
    const Wp__Rollout *r = o->rollout;
    if (o->spec_case != WP__OBJECT__SPEC_ROLLOUT)
        return;
    if (ctl_wants_json(c)) {
        json_t *j = wp_pb_json(&r->base);
        char *text = json_dumps(j, JSON_COMPACT);
        printf("%s\n", text);
        free(text);
        json_decref(j);
        return;
    }
    printf("%s: %s, %s to %s, share %g, fence %lu%s%s\n", key, r->state,
           r->from, r->to, r->share, (unsigned long)r->fence,
           r->reason ? ", " : "", r->reason ? r->reason : "");
}

static int rollout_event(Ctl *c, WPConfig *config)
{
    GError *error = NULL;
    if (c->n_args < 3)
        return usage("rollout pause|resume|abort NAME");
    Wp__Chart *chart = load_chart(c, &error);
    GPtrArray *ops = chart ? wp_rollout_event(chart, config, c->args[2],
                                              c->args[1], ctl_now(), &error)
                           : NULL;
    int code = ops ? write_ops(c, config, ops) : daemon_report_error(error);
    if (ops)
        wp_ops_free(ops);
    wp_pb_free(chart);
    return code;
}

int ctl_rollout(Ctl *c)
{
    int code;
    if (c->n_args < 2)
        return usage("rollout start|status|pause|resume|abort ...");
    WPConfig *config = ctl_read_config(c, &code);
    if (!config)
        return code;
    if (!strcmp(c->args[1], "start"))
        code = start_rollout(c, config);
    else if (!strcmp(c->args[1], "status"))
        wp_config_each(config, show_rollout, c);
    else
        code = rollout_event(c, config);
    wp_config_free(config);
    return code;
}
