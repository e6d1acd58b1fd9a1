/* Each workspace's share of the recent requests at this entry. */
#include "wp_entry_int.h"

WPWorkspaceTraffic *wp_workspace_traffic(WPEntry *e, const char *workspace)
{
    WPWorkspaceTraffic *u = g_hash_table_lookup(e->traffic, workspace);
    if (!u) {
        u = g_new0(WPWorkspaceTraffic, 1);
        g_hash_table_insert(e->traffic, g_strdup(workspace), u);
    }
    return u;
}

/* Recent requests outweigh old ones, as all counts are halved when their sum
   reaches WP_TRAFFIC_HALVE_AT. */
void wp_workspace_traffic_count(WPEntry *e, const char *workspace)
{
    WPWorkspaceTraffic *u = wp_workspace_traffic(e, workspace);
    u->requests++;
    u->recent++;
    e->recent_requests++;
    if (e->recent_requests < WP_TRAFFIC_HALVE_AT)
        return;
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, e->traffic);
    while (g_hash_table_iter_next(&it, NULL, &value))
        ((WPWorkspaceTraffic *)value)->recent /= 2;
    e->recent_requests /= 2;
}

/* The share that each workspace may have is its weight among all. */
bool wp_workspace_over_share(WPEntry *e, const char *workspace)
{
    double weight = 0, own = 1;
    for (unsigned i = 0; i < wp_policy_workspaces(e->policy); i++) {
        const Wp__Workspace *w = wp_policy_workspace_at(e->policy, i)->spec;
        weight += w->weight;
        if (!strcmp(w->name, workspace))
            own = w->weight;
    }
    return wp_workspace_traffic(e, workspace)->recent * weight >
           e->recent_requests * own;
}
