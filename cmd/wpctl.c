/* wpctl: the operators' tool. */
#include "ctl.h"
#include "wp_clock.h"

#include <stdio.h>

#define DEFAULT_TIMEOUT_S 10

static const struct {
    const char *name, *usage;
    CtlCommand run;
} commands[] = {
    { "check", "check -f FILE: check a rules file", ctl_check },
    { "apply", "apply -f FILE [--force] [--wait]: put a rules file in force",
      ctl_apply },
    { "get", "get [KIND[/NAME]]: show the configuration", ctl_get },
    { "label", "label KIND/NAME KEY=VALUE KEY-...: set or remove labels",
      ctl_label },
    { "rule", "rule NAME --on X --match M --set K=V, or --remove", ctl_rule },
    { "selector",
      "selector NAME --traffic T --versions V [--effect E], or --remove",
      ctl_selector },
    { "delete", "delete KIND/NAME", ctl_delete },
    { "withdraw", "withdraw VERSION: no new request", ctl_withdraw },
    { "restore", "restore VERSION: serve again", ctl_restore },
    { "rollout",
      "rollout start NAME --from V --to V | status | pause NAME | resume "
      "NAME | abort NAME",
      ctl_rollout },
    { "status", "status [--wait]: every box, and who is behind", ctl_status },
    { "timeline", "timeline [--request ID]: events of all processes",
      ctl_timeline },
    { "why", "why --workspace W --kind K [--labels L]: how it would be chosen",
      ctl_why },
    { "bills", "bills: charges by workspace and version", ctl_bills },
};

static char *describe(void)
{
    GString *s = g_string_new("Commands:\n");
    for (size_t i = 0; i < WP_COUNT(commands); i++)
        g_string_append_printf(s, "  %s\n", commands[i].usage);
    g_string_append(s, "\nExit codes: 0 done, 2 bad input, 3 conflict with "
                       "another change, 4 no contact or not yet in force.\n"
                       "The store and an admin port are also taken from "
                       "WP_STORE and WP_ADMIN.\n");
    return g_string_free(s, FALSE);
}

WPTime ctl_now(void)
{
    return wp_clock_now(0);
}

static int run(Ctl *c)
{
    for (size_t i = 0; i < WP_COUNT(commands); i++)
        if (!strcmp(commands[i].name, c->words[0]))
            return commands[i].run(c);
    fprintf(stderr, "wpctl: unknown command '%s'; see --help\n", c->words[0]);
    return EXIT_BAD_INPUT;
}

static int with_store(Ctl *c)
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
    char *texts[] = { c->store,  c->admin,     c->file,    c->author,
                      c->output, c->charts,    c->traffic, c->versions,
                      c->effect, c->on,        c->match,   c->from,
                      c->to,     c->workspace, c->kind,    c->labels,
                      c->request };
    for (size_t i = 0; i < WP_COUNT(texts); i++)
        g_free(texts[i]);
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
          "who makes the change", "NAME" },
        { "force", 0, 0, G_OPTION_ARG_NONE, &c.force,
          "accept what check warns of", NULL },
        { "wait", 'w', 0, G_OPTION_ARG_NONE, &c.wait,
          "until it is in force everywhere", NULL },
        { "timeout", 't', 0, G_OPTION_ARG_DOUBLE, &c.timeout_s,
          "of --wait, in seconds", "S" },
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
          "selector of what gets the labels", "SEL" },
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
          "folder of state charts", "DIR" },
        { "version", 0, 0, G_OPTION_ARG_NONE, &c.version, "print the version",
          NULL },
        { NULL, 0, 0, 0, NULL, NULL, NULL }
    };
    g_autoptr(GOptionContext) context = g_option_context_new("COMMAND ...");
    g_option_context_set_summary(context, "Changes and shows what is routed.");
    g_option_context_set_description(context, about);
    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error))
        return daemon_fail(error);
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
    c.words = argv + 1;
    c.n_words = argc - 1;
    int code = with_store(&c);
    free_options(&c);
    return code;
}
