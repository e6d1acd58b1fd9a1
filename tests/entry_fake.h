/* Fixture for tests of an entry's decisions: an entry whose table of boxes
 * and configuration the test sets, without sockets. */
#ifndef ENTRY_FAKE_H
#define ENTRY_FAKE_H

#include "test.h"
#include "wp_entry.h"

typedef struct EntryFake {
    WPNode *node;
    WPEntry *entry;
    WPTime now;
} EntryFake;

/* Returns the member record of an agent in zone z1 with 4 slots that serves
   the `n` versions `v`. */
static inline Wp__Member entry_fake_agent(const char *id, uint32_t port,
                                          char **v, size_t n)
{
    Wp__Member m = WP__MEMBER__INIT;
    m.id = (char *)id;
    m.incarnation = 1;
    m.role = WP__ROLE__ROLE_AGENT;
    m.addr = (char *)"127.0.0.1";
    m.port = port;
    m.zone = (char *)"z1";
    m.versions = v;
    m.n_versions = n;
    m.has_slots = 1;
    m.slots = 4;
    return m;
}

/* Discards the actions that the node has queued, as nothing carries them
   out. */
static inline void entry_fake_discard_actions(EntryFake *f)
{
    WPAction *a;
    while ((a = wp_node_next_action(f->node)))
        wp_action_free(a);
}

/* Delivers a member record as a frame from the store and lets the entry take
   it into account. */
static inline void entry_fake_add_member(EntryFake *f, Wp__Member *m)
{
    Wp__Frame frame = WP__FRAME__INIT;
    Wp__Members all = WP__MEMBERS__INIT;
    all.n_members = 1;
    all.members = &m;
    frame.body_case = WP__FRAME__BODY_MEMBERS;
    frame.members = &all;
    wp_node_on_frame(f->node, f->now, "x:1", &frame);
    entry_fake_discard_actions(f);
    wp_entry_refresh(f->entry, f->now);
}

/* Gives the entry the configuration in `yaml` at `revision`. */
static inline void entry_fake_set_config(EntryFake *f, const char *yaml,
                                         uint64_t revision)
{
    WPConfig *c = config_from(yaml, revision);
    Wp__Snapshot *s = wp_config_snapshot(c);
    wp_node_on_snapshot(f->node, f->now, f->now.mono_us, true, s);
    wp_pb_free(s);
    wp_config_free(c);
    entry_fake_discard_actions(f);
    wp_entry_refresh(f->entry, f->now);
}

/* Returns an entry with this configuration. `balance`: the load balancing
   policy, NULL for the default. */
static inline EntryFake *entry_fake_new(const char *yaml, const char *balance)
{
    static char store[] = "x:1", *stores[] = { store };
    Wp__NodeSettings node = WP__NODE_SETTINGS__INIT;
    Wp__EntrySettings s = WP__ENTRY_SETTINGS__INIT;
    Wp__Member self = WP__MEMBER__INIT;
    EntryFake *f = g_new0(EntryFake, 1);
    f->now = (WPTime){ 1000000, 1800000000000 };
    node.id = (char *)"e1";
    node.zone = (char *)"z1";
    node.store = stores;
    node.n_store = 1;
    s.node = &node;
    if (balance)
        s.balance = (char *)balance;
    self.id = (char *)"e1";
    self.incarnation = 1;
    self.role = WP__ROLE__ROLE_ENTRY;
    self.addr = (char *)"127.0.0.1";
    self.zone = (char *)"z1";
    f->node = wp_node_new(&node, &self, 1, f->now);
    f->entry = wp_entry_new(f->node, &s, 1, NULL);
    entry_fake_set_config(f, yaml, 1);
    return f;
}

static inline void entry_fake_free(EntryFake *f)
{
    wp_entry_free(f->entry);
    wp_node_free(f->node);
    g_free(f);
}

/* Begins a request of workspace w and returns it; `step` is what the entry
   does first. */
static inline WPRequest *entry_fake_begin(EntryFake *f, const char *kind,
                                          WPEntryAction *step)
{
    WPPolicy *p = wp_entry_policy(f->entry);
    WPRequestParams params = { .workspace = wp_policy_workspace(p, "w"),
                               .kind = wp_policy_kind(p, kind),
                               .answer_tokens = 100 };
    return wp_entry_begin(f->entry, f->now, &params, step);
}

#endif
