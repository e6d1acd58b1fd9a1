/* Command line options and settings files of the daemons. */
#include "daemon.h"

#include <stdio.h>

int daemon_report_error(GError *error)
{
    if (error)
        fprintf(stderr, "%s\n", error->message);
    g_clear_error(&error);
    return EXIT_BAD_INPUT;
}

static void *load(const char *file, const ProtobufCMessageDescriptor *type,
                  GError **error)
{
    g_autofree char *text = NULL;
    gsize n;
    if (!g_file_get_contents(file, &text, &n, error))
        return NULL;
    return wp_settings_read(type, wp_strn(text, n), file, error);
}

void *daemon_load_settings(int argc, char **argv, const char *summary,
                           const ProtobufCMessageDescriptor *type,
                           char **file_used, int *code)
{
    g_autofree char *file = NULL;
    gboolean check = FALSE, version = FALSE;
    GError *error = NULL;
    g_autofree char *fields = wp_settings_help(type);
    g_autofree char *about =
        g_strconcat("Settings (docs/OPERATIONS.md has units and defaults):\n",
                    fields, NULL);
    const GOptionEntry options[] = { { "config", 'c', 0, G_OPTION_ARG_FILENAME,
                                       &file, "settings file", "FILE" },
                                     { "check", 0, 0, G_OPTION_ARG_NONE, &check,
                                       "check the settings and exit", NULL },
                                     { "version", 0, 0, G_OPTION_ARG_NONE,
                                       &version, "print the version", NULL },
                                     { NULL, 0, 0, 0, NULL, NULL, NULL } };
    g_autoptr(GOptionContext) c = g_option_context_new(NULL);
    g_option_context_set_summary(c, summary);
    g_option_context_set_description(c, about);
    g_option_context_add_main_entries(c, options, NULL);
    *code = EXIT_BAD_INPUT;
    if (!g_option_context_parse(c, &argc, &argv, &error)) {
        daemon_report_error(error);
        return NULL;
    }
    if (version) {
        printf("%s\n", WP_VERSION);
        *code = EXIT_OK;
        return NULL;
    }
    if (!file)
        file = g_strdup(g_getenv("WORKSPOINT_SETTINGS"));
    if (!file) {
        fprintf(stderr, "--config or WORKSPOINT_SETTINGS is required; "
                        "see --help\n");
        return NULL;
    }
    void *settings = load(file, type, &error);
    if (!settings) {
        daemon_report_error(error);
        return NULL;
    }
    if (check) {
        printf("%s: ok\n", file);
        wp_pb_free(settings);
        *code = EXIT_OK;
        return NULL;
    }
    if (file_used)
        *file_used = g_steal_pointer(&file);
    return settings;
}
