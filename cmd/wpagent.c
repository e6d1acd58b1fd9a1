/* wpagent: the sidecar of one endpoint. Admits requests and runs them there. */
#include "daemon.h"
#include "wp_runner.h"

int main(int argc, char **argv)
{
    GError *error = NULL;
    int code;
    Wp__AgentSettings *s = daemon_load_settings(
        argc, argv, "Sidecar of one endpoint: admits and runs requests.",
        &wp__agent_settings__descriptor, NULL, &code);
    if (!s)
        return code;
    WPRunner *runner = NULL;
    WPHost *h = wp_host_new(s->node, WP__ROLE__ROLE_AGENT, s->versions,
                            s->n_versions, s->slots, &error);
    if (h)
        runner = wp_runner_new(h, s, &error);
    if (runner)
        wp_host_run(h);
    code = runner ? EXIT_OK : daemon_report_error(error);
    wp_runner_free(runner);
    wp_host_free(h);
    wp_pb_free(s);
    return code;
}
