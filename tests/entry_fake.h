/* An entry's decisions with a table of boxes made by hand: no sockets. */
#ifndef ENTRY_FAKE_H
#define ENTRY_FAKE_H

#include "test.h"
#include "wp_entry.h"

typedef struct Fake {
    WPNode *node;
    WPEntry *entry;
    WPTime now;
} Fake;

static inline Wp__Member fake_agent(const char *id, uint32_t port, char **v,
                                    size_t n)
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

static inline void fake_drain(Fake *f)
{
    WPAction *a;
    while ((a = wp_node_next_action(f->node)))
        wp_action_free(a);
}

static inline void fake_member(Fake *f, Wp__Member *m)
{
    Wp__Frame frame = WP__FRAME__INIT;
    Wp__Members all = WP__MEMBERS__INIT;
    all.n_members = 1;
    all.members = &m;
    frame.body_case = WP__FRAME__BODY_MEMBERS;
    frame.members = &all;
    wp_node_on_frame(f->node, f->now, "x:1", &frame);
    fake_drain(f);
    wp_entry_refresh(f->entry, f->now);
}

static inline void fake_config(Fake *f, const char *yaml, uint64_t revision)
{
    WPConfig *c = config_from(yaml, revision);
    Wp__Snapshot *s = wp_config_snapshot(c);
    wp_node_on_snapshot(f->node, f->now, f->now.mono_us, true, s);
    wp_pb_free(s);
    wp_config_free(c);
    fake_drain(f);
    wp_entry_refresh(f->entry, f->now);
}

static inline Fake *fake_new(const char *yaml, const char *balance)
{
    static char store[] = "x:1", *stores[] = { store };
    Wp__NodeSettings node = WP__NODE_SETTINGS__INIT;
    Wp__EntrySettings s = WP__ENTRY_SETTINGS__INIT;
    Wp__Member self = WP__MEMBER__INIT;
    Fake *f = g_new0(Fake, 1);
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
    fake_config(f, yaml, 1);
    return f;
}

static inline void fake_free(Fake *f)
{
    wp_entry_free(f->entry);
    wp_node_free(f->node);
    g_free(f);
}

static inline WPRequest *fake_ask(Fake *f, const char *kind,
                                  WPEntryAction *step)
{
    WPPolicy *p = wp_entry_policy(f->entry);
    WPRequestParams ask = { .workspace = wp_policy_workspace(p, "w"),
                            .kind = wp_policy_kind(p, kind),
                            .answer_tokens = 100 };
    return wp_entry_begin(f->entry, f->now, &ask, step);
}

#endif
