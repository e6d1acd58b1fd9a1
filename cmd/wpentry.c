/* wpentry: accepts callers' requests and routes them to agents. */
#include "daemon.h"
#include "wp_server.h"

int main(int argc, char **argv)
{
    GError *error = NULL;
    int code;
    Wp__EntrySettings *s =
        daemon_load_settings(argc, argv, "Routes callers' requests to agents.",
                             &wp__entry_settings__descriptor, NULL, &code);
    if (!s)
        return code;
    WPServer *server = NULL;
    WPHost *h = wp_host_new(s->node, WP__ROLE__ROLE_ENTRY, NULL, 0, 0, &error);
    if (h)
        server = wp_server_new(h, s, &error);
    if (server)
        wp_host_run(h);
    code = server ? EXIT_OK : daemon_report_error(error);
    wp_server_free(server);
    wp_host_free(h);
    wp_pb_free(s);
    return code;
}
