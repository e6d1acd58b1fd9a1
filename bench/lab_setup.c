/* Creates and frees the entries and agents of the lab. */
#include "lab_int.h"
#include "wp_pb.h"

#include <stdlib.h>

void *lab_read_yaml(const ProtobufCMessageDescriptor *shape, const char *file)
{
    g_autofree char *text = NULL;
    gsize n;
    GError *error = NULL;
    void *m = NULL;
    if (g_file_get_contents(file, &text, &n, &error))
        m = wp_yaml_read(shape, wp_strn(text, n), file, &error);
    if (!m)
        g_error("%s", error->message);
    return m;
}

static void set_node_config(Lab *lab, WPNode *n)
{
    Wp__Snapshot *s = wp_config_snapshot(lab->config);
    wp_node_on_snapshot(n, lab_now(lab), lab->now_us, true, s);
    wp_pb_free(s);
    lab_discard_actions(n);
}

void lab_set_config(Lab *lab)
{
    for (unsigned i = 0; i < lab->plan->entries; i++) {
        set_node_config(lab, lab->entries[i].node);
        wp_entry_refresh(lab->entries[i].entry, lab_now(lab));
    }
    for (unsigned i = 0; i < lab->n_agents; i++) {
        set_node_config(lab, lab->agents[i].node);
        wp_agent_refresh(lab->agents[i].agent, lab_now(lab));
    }
    const char *bad = lab->plan->bad_version;
    const WPVersion *v =
        bad ? wp_policy_version(wp_entry_policy(lab->entries[0].entry), bad)
            : NULL;
    if (v && v->spec->withdrawn && !lab->stopped_us)
        lab->stopped_us = lab->now_us;
}

static void make_agent(Lab *lab, unsigned n, const char *version)
{
    static char any_addr[] = "x:1", *stores[] = { any_addr };
    LabAgent *s = &lab->agents[n];
    Wp__NodeSettings node = WP__NODE_SETTINGS__INIT;
    Wp__AgentSettings a = WP__AGENT_SETTINGS__INIT;
    Wp__Member self = WP__MEMBER__INIT;
    g_snprintf(s->id, sizeof(s->id), "a%u", n);
    g_snprintf(s->zone, sizeof(s->zone), "z%u", n % lab->plan->zones);
    g_strlcpy(s->version, version, sizeof(s->version));
    s->versions[0] = s->version;
    s->slowdown = 1;
    wp_list_init(&s->batch);
    node.id = s->id;
    node.zone = s->zone;
    node.store = stores;
    node.n_store = 1;
    node.bill_limit = UINT32_MAX;
    a.node = &node;
    a.endpoint = any_addr;
    a.versions = s->versions;
    a.n_versions = 1;
    a.slots = lab->plan->slots;
    a.queue = lab->plan->queue;
    self.id = s->id;
    self.incarnation = 1;
    self.role = WP__ROLE__ROLE_AGENT;
    self.addr = (char *)"127.0.0.1";
    self.port = n + 1;
    self.zone = s->zone;
    self.versions = s->versions;
    self.n_versions = 1;
    self.has_slots = 1;
    self.slots = lab->plan->slots;
    s->node = wp_node_new(&node, &self, lab->plan->seed + n, lab_now(lab));
    s->agent = wp_agent_new(s->node, &a);
}

static void make_entry(Lab *lab, unsigned n)
{
    static char any_addr[] = "x:1", *stores[] = { any_addr };
    LabEntry *d = &lab->entries[n];
    Wp__NodeSettings node = WP__NODE_SETTINGS__INIT;
    Wp__EntrySettings s = WP__ENTRY_SETTINGS__INIT;
    Wp__Member self = WP__MEMBER__INIT;
    GError *error = NULL;
    g_snprintf(d->id, sizeof(d->id), "e%u", n);
    g_snprintf(d->zone, sizeof(d->zone), "z%u", n % lab->plan->zones);
    node.id = d->id;
    node.zone = d->zone;
    node.store = stores;
    node.n_store = 1;
    node.bill_limit = UINT32_MAX;
    s.node = &node;
    s.choose = (char *)lab->plan->choose;
    s.balance = (char *)lab->plan->balance;
    self.id = d->id;
    self.incarnation = 1;
    self.role = WP__ROLE__ROLE_ENTRY;
    self.addr = (char *)"127.0.0.2";
    self.zone = d->zone;
    d->node =
        wp_node_new(&node, &self, lab->plan->seed + 1000 + n, lab_now(lab));
    d->entry = wp_entry_new(d->node, &s, lab->plan->seed * 31 + n, &error);
    if (!d->entry)
        g_error("%s", error->message);
}

/* Gives every entry the member records of all agents. */
static void announce_agents(Lab *lab)
{
    Wp__Members all = WP__MEMBERS__INIT;
    Wp__Frame f = WP__FRAME__INIT;
    g_autofree Wp__Member **rows = g_new0(Wp__Member *, lab->n_agents);
    for (unsigned i = 0; i < lab->n_agents; i++)
        rows[i] = (Wp__Member *)wp_node_self(lab->agents[i].node);
    all.n_members = lab->n_agents;
    all.members = rows;
    f.body_case = WP__FRAME__BODY_MEMBERS;
    f.members = &all;
    for (unsigned i = 0; i < lab->plan->entries; i++) {
        wp_node_on_frame(lab->entries[i].node, lab_now(lab), "x:1", &f);
        lab_discard_actions(lab->entries[i].node);
    }
}

void lab_setup(Lab *lab)
{
    const LabPlan *p = lab->plan;
    Wp__Rules *rules = lab_read_yaml(&wp__rules__descriptor, p->rules);
    GPtrArray *ops = wp_rules_to_ops(rules);
    Wp__Snapshot s = WP__SNAPSHOT__INIT;
    lab->mix = lab_read_yaml(&wp__mix__descriptor, p->mix);
    lab->config = wp_config_new();
    lab->revision = s.revision = 1;
    s.n_ops = ops->len;
    s.ops = (Wp__Op **)ops->pdata;
    wp_config_apply_snapshot(lab->config, &s);
    wp_ops_free(ops);
    wp_pb_free(rules);
    lab->rand = g_rand_new_with_seed(p->seed);
    wp_rollout_monitor_init(&lab->rollout_monitor);
    lab->heap = g_ptr_array_new();
    lab->now_us = 1;
    lab->ratings = calloc(1, sizeof(*lab->ratings));
    wp__ratings__init(lab->ratings);
    lab->offered =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    lab->served =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (size_t i = 0; i < p->n_pools; i++)
        lab->n_agents += p->pools[i].agents;
    lab->agents = g_new0(LabAgent, lab->n_agents);
    lab->entries = g_new0(LabEntry, p->entries);
    unsigned n = 0;
    for (size_t i = 0; i < p->n_pools; i++)
        for (unsigned k = 0; k < p->pools[i].agents; k++)
            make_agent(lab, n++, p->pools[i].version);
    for (unsigned i = 0; i < p->entries; i++)
        make_entry(lab, i);
    announce_agents(lab);
    lab_set_config(lab);
}

void lab_teardown(Lab *lab)
{
    for (guint i = 0; i < lab->heap->len; i++)
        g_free(lab->heap->pdata[i]);
    for (unsigned i = 0; i < lab->n_agents; i++) {
        wp_agent_free(lab->agents[i].agent);
        wp_node_free(lab->agents[i].node);
    }
    for (unsigned i = 0; i < lab->plan->entries; i++) {
        wp_entry_free(lab->entries[i].entry);
        wp_node_free(lab->entries[i].node);
    }
    g_hash_table_unref(lab->offered);
    g_hash_table_unref(lab->served);
    wp_pb_free(lab->ratings);
    wp_pb_free(lab->mix);
    wp_config_free(lab->config);
    g_ptr_array_unref(lab->heap);
    wp_rollout_monitor_end(&lab->rollout_monitor);
    g_rand_free(lab->rand);
    g_free(lab->entries);
    g_free(lab->agents);
}
