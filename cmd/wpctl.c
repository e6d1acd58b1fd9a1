/* wpctl: command line tool of the operators. */
#include "ctl.h"
#include "wp_clock.h"

#include <stdio.h>

#define DEFAULT_TIMEOUT_S 10

static const struct {
    const char *name, *usage;
    CtlCommand run;
} commands[] = {
    { "check", "check -f FILE: check a rules file", ctl_check },
    { "apply", "apply -f FILE [--force] [--wait]: apply a rules file",
      ctl_apply },
    { "get", "get [KIND[/NAME]]: show the configuration", ctl_get },
    { "label", "label KIND/NAME KEY=VALUE KEY-...: set or remove labels",
      ctl_label },
    { "rule", "rule NAME --on X --match M --set K=V, or --remove", ctl_rule },
    { "selector",
      "selector NAME --traffic T --versions V [--effect E], or --remove",
      ctl_selector },
    { "delete", "delete KIND/NAME", ctl_delete },
    { "withdraw", "withdraw VERSION: send it no new requests", ctl_withdraw },
    { "restore", "restore VERSION: undo a withdrawal", ctl_restore },
    { "rollout",
      "rollout start NAME --from V --to V | status | pause NAME | resume "
      "NAME | abort NAME",
      ctl_rollout },
    { "status", "status [--wait]: status of every box", ctl_status },
    { "timeline", "timeline [--request ID]: events of all processes",
      ctl_timeline },
    { "why",
      "why --workspace W --kind K [--labels L]: explain the choice of a "
      "version",
      ctl_why },
    { "load", "load: requests and endpoints of an entry without agents",
      ctl_load },
    { "shifts", "shifts: what an entry without agents knows of new versions",
      ctl_shifts },
    { "bills", "bills: charges by workspace and version", ctl_bills },
};

static char *describe(void)
{
    GString *s = g_string_new("Commands:\n");
    for (size_t i = 0; i < WP_COUNT(commands); i++)
        g_string_append_printf(s, "  %s\n", commands[i].usage);
    g_string_append(s,
                    "\nExit codes: 0 done, 2 bad input, 3 conflict with "
                    "another change, 4 no answer or not active on every box.\n"
                    "Defaults of --store and --admin are taken from WP_STORE "
                    "and WP_ADMIN.\n");
    return g_string_free(s, FALSE);
}

WPTime ctl_now(void)
{
    return wp_clock_now(0);
}

static int run(Ctl *c)
{
    for (size_t i = 0; i < WP_COUNT(commands); i++)
        if (!strcmp(commands[i].name, c->args[0]))
            return commands[i].run(c);
    fprintf(stderr, "wpctl: unknown command '%s'; see --help\n", c->args[0]);
    return EXIT_BAD_INPUT;
}

static int run_with_store(Ctl *c)
{
    char *targets[] = { c->store };
    c->base = event_base_new();
    if (c->store)
        c->kv = wp_kv_etcd(c->base, targets, 1);
    int code = run(c);
    if (c->kv)
        c->kv->ops->free(c->kv);
    event_base_free(c->base);
    return code;
}

static void free_options(Ctl *c)
{
    char *strings[] = { c->store,  c->admin,     c->file,    c->author,
                        c->output, c->charts,    c->traffic, c->versions,
                        c->effect, c->on,        c->match,   c->from,
                        c->to,     c->workspace, c->kind,    c->labels,
                        c->request };
    for (size_t i = 0; i < WP_COUNT(strings); i++)
        g_free(strings[i]);
    g_strfreev(c->set);
}

int main(int argc, char **argv)
{
    Ctl c = { .timeout_s = DEFAULT_TIMEOUT_S };
    GError *error = NULL;
    g_autofree char *about = describe();
    const GOptionEntry options[] = {
        { "store", 's', 0, G_OPTION_ARG_STRING, &c.store, "key-value service",
          "HOST:PORT" },
        { "admin", 'a', 0, G_OPTION_ARG_STRING, &c.admin,
          "admin port of any box", "HOST:PORT" },
        { "file", 'f', 0, G_OPTION_ARG_FILENAME, &c.file, "rules file",
          "FILE" },
        { "output", 'o', 0, G_OPTION_ARG_STRING, &c.output, "text or json",
          "FORM" },
        { "author", 0, 0, G_OPTION_ARG_STRING, &c.author,
          "author recorded with the change", "NAME" },
        { "force", 0, 0, G_OPTION_ARG_NONE, &c.force,
          "apply a change that fails the check", NULL },
        { "wait", 'w', 0, G_OPTION_ARG_NONE, &c.wait,
          "wait until the change is active on every box", NULL },
        { "timeout", 't', 0, G_OPTION_ARG_DOUBLE, &c.timeout_s,
          "time limit of --wait, in seconds", "S" },
        { "remove", 0, 0, G_OPTION_ARG_NONE, &c.remove, "remove the object",
          NULL },
        { "traffic", 0, 0, G_OPTION_ARG_STRING, &c.traffic,
          "selector of traffic", "SEL" },
        { "versions", 0, 0, G_OPTION_ARG_STRING, &c.versions,
          "selector of versions", "SEL" },
        { "effect", 0, 0, G_OPTION_ARG_STRING, &c.effect, "allow or deny",
          "E" },
        { "on", 0, 0, G_OPTION_ARG_STRING, &c.on,
          "model, version, workspace or request", "X" },
        { "match", 0, 0, G_OPTION_ARG_STRING, &c.match,
          "selector of the objects to label", "SEL" },
        { "set", 0, 0, G_OPTION_ARG_STRING_ARRAY, &c.set, "label to set",
          "K=V" },
        { "from", 0, 0, G_OPTION_ARG_STRING, &c.from, "old version", "V" },
        { "to", 0, 0, G_OPTION_ARG_STRING, &c.to, "new version", "V" },
        { "workspace", 0, 0, G_OPTION_ARG_STRING, &c.workspace, "workspace",
          "W" },
        { "kind", 0, 0, G_OPTION_ARG_STRING, &c.kind, "kind of request", "K" },
        { "labels", 0, 0, G_OPTION_ARG_STRING, &c.labels, "request labels",
          "K=V,..." },
        { "request", 0, 0, G_OPTION_ARG_STRING, &c.request, "request id",
          "ID" },
        { "charts", 0, 0, G_OPTION_ARG_FILENAME, &c.charts,
          "directory of state charts", "DIR" },
        { "version", 0, 0, G_OPTION_ARG_NONE, &c.version, "print the version",
          NULL },
        { NULL, 0, 0, 0, NULL, NULL, NULL }
    };
    g_autoptr(GOptionContext) context = g_option_context_new("COMMAND ...");
    g_option_context_set_summary(
        context, "Shows and changes the routing configuration.");
    g_option_context_set_description(context, about);
    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error))
        return daemon_report_error(error);
    if (c.version) {
        printf("%s\n", WP_VERSION);
        return EXIT_OK;
    }
    if (argc < 2) {
        fprintf(stderr, "wpctl: a command is required; see --help\n");
        return EXIT_BAD_INPUT;
    }
    if (!c.store)
        c.store = g_strdup(g_getenv("WP_STORE"));
    if (!c.admin)
        c.admin = g_strdup(g_getenv("WP_ADMIN"));
    if (!c.author)
        c.author = g_strdup(g_get_user_name());
    c.args = argv + 1;
    c.n_args = argc - 1;
    int code = run_with_store(&c);
    free_options(&c);
    return code;
}
