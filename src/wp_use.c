/* How much each workspace has asked of this entry of late. */
#include "wp_entry_int.h"

WPUse *wp_use_of(WPEntry *e, const char *workspace)
{
    WPUse *u = g_hash_table_lookup(e->uses, workspace);
    if (!u) {
        u = g_new0(WPUse, 1);
        g_hash_table_insert(e->uses, g_strdup(workspace), u);
    }
    return u;
}

/* All fade alike, so a shared scale that grows does for fading each. */
void wp_use_note(WPEntry *e, const char *workspace)
{
    WPUse *u = wp_use_of(e, workspace);
    u->requests++;
    u->recent++;
    e->recent++;
    if (e->recent < WP_USE_MEMORY)
        return;
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, e->uses);
    while (g_hash_table_iter_next(&it, NULL, &value))
        ((WPUse *)value)->recent /= 2;
    e->recent /= 2;
}

/* Whether the workspace asks for more than an equal part by weight. */
bool wp_use_is_much(WPEntry *e, const char *workspace)
{
    double weight = 0, own = 1;
    for (unsigned i = 0; i < wp_policy_workspaces(e->policy); i++) {
        const Wp__Workspace *w = wp_policy_workspace_at(e->policy, i)->spec;
        weight += w->weight;
        if (!strcmp(w->name, workspace))
            own = w->weight;
    }
    return wp_use_of(e, workspace)->recent * weight > e->recent * own;
}
