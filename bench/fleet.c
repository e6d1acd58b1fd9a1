/* Delivers messages between simulated nodes in virtual time. */
#include "fleet.h"
#include "wp_pb.h"

#include <stdlib.h>

#define STEP_US (20 * WP_US_PER_MS)
#define LATENCY_MIN_US 500
#define LATENCY_MAX_US 3000
#define STORE_DELAY_US 3000
#define WALL_START_MS 1800000000000LL

typedef enum DeliveryKind {
    MESSAGE,
    HEAD_REPLY,
    SNAPSHOT_REPLY,
    WATCH_EVENT,
    BOX_LIST_REPLY
} DeliveryKind;

/* A message or a store reply that is due at a node. */
typedef struct Delivery {
    int64_t at_us, requested_us;
    uint64_t order;
    DeliveryKind kind;
    unsigned to;
    unsigned from;
    uint64_t incarnation; /* of the receiver when this was sent; dropped if it
                             has restarted since */
    GByteArray *frame;
    uint64_t revision;
} Delivery;

typedef struct Node {
    WPNode *node;
    Wp__Member self;
    char id[16], zone[8], addr[24];
    bool down, partitioned, watching;
    uint64_t incarnation, bytes;
} Node;

struct Fleet {
    FleetPlan plan;
    Wp__NodeSettings settings;
    Node *nodes;
    GHashTable *by_addr; /* address -> index + 1 */
    GArray *heap;        /* of Delivery, earliest first */
    GRand *rand;
    int64_t now_us;
    uint64_t order;
    bool store_up;
    WPConfig *store;
    GByteArray *head; /* serialized delta of the latest change */
    FleetCosts costs;
    char **version_names;
};

/* --- heap of deliveries --- */

static bool earlier(const Delivery *a, const Delivery *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static Delivery *at(Fleet *f, guint i)
{
    return &g_array_index(f->heap, Delivery, i);
}

static void swap(Fleet *f, guint a, guint b)
{
    Delivery t = *at(f, a);
    *at(f, a) = *at(f, b);
    *at(f, b) = t;
}

static void push(Fleet *f, Delivery p)
{
    p.order = f->order++;
    g_array_append_val(f->heap, p);
    for (guint i = f->heap->len - 1; i && earlier(at(f, i), at(f, (i - 1) / 2));
         i = (i - 1) / 2)
        swap(f, i, (i - 1) / 2);
}

static Delivery pop(Fleet *f)
{
    Delivery first = *at(f, 0);
    guint n = f->heap->len - 1;
    *at(f, 0) = *at(f, n);
    g_array_set_size(f->heap, n);
    for (guint i = 0, k; (k = 2 * i + 1) < n; i = k) {
        if (k + 1 < n && earlier(at(f, k + 1), at(f, k)))
            k++;
        if (!earlier(at(f, k), at(f, i)))
            break;
        swap(f, i, k);
    }
    return first;
}

/* --- nodes --- */

WPTime fleet_now(const Fleet *f)
{
    return (WPTime){ f->now_us, WALL_START_MS + f->now_us / WP_US_PER_MS };
}

static void create_node(Fleet *f, unsigned i)
{
    Node *s = &f->nodes[i];
    Wp__NodeSettings settings = f->settings;
    settings.id = s->id;
    settings.zone = s->zone;
    s->incarnation++;
    s->watching = false;
    s->self.incarnation = (uint64_t)fleet_now(f).wall_ms;
    s->node =
        wp_node_new(&settings, &s->self, f->plan.seed + i + 1, fleet_now(f));
}

static void init_identity(Fleet *f, unsigned i)
{
    Node *s = &f->nodes[i];
    bool agent = i % 4 != 0; /* three agents per entry, as expected of the
                                deployment in two years */
    g_snprintf(s->id, sizeof(s->id), "n%05u", i);
    g_snprintf(s->zone, sizeof(s->zone), "z%u", i % f->plan.zones);
    g_snprintf(s->addr, sizeof(s->addr), "10.%u.%u.%u:1", i >> 16, i >> 8 & 255,
               i & 255);
    wp__member__init(&s->self);
    s->self.id = s->id;
    s->self.zone = s->zone;
    s->self.role = agent ? WP__ROLE__ROLE_AGENT : WP__ROLE__ROLE_ENTRY;
    s->self.addr = g_strndup(s->addr, strlen(s->addr) - 2);
    s->self.port = 1;
    if (agent && f->plan.versions) {
        s->self.versions = &f->version_names[i % f->plan.versions];
        s->self.n_versions = 1;
    }
    g_hash_table_insert(f->by_addr, s->addr, GUINT_TO_POINTER(i + 1));
}

Fleet *fleet_new(const FleetPlan *p)
{
    Fleet *f = g_new0(Fleet, 1);
    static char any_addr[] = "x:1", *stores[] = { any_addr };
    f->plan = *p;
    f->nodes = g_new0(Node, p->nodes);
    f->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
    f->heap = g_array_new(FALSE, FALSE, sizeof(Delivery));
    f->rand = g_rand_new_with_seed(p->seed);
    f->now_us = WP_US_PER_S;
    f->store_up = true;
    f->store = wp_config_new();
    f->head = g_byte_array_new();
    f->version_names = g_new0(char *, p->versions + 1);
    for (unsigned i = 0; i < p->versions; i++)
        f->version_names[i] = g_strdup_printf("version-%u", i);
    wp__node_settings__init(&f->settings);
    f->settings.gossip_ms = p->gossip_ms;
    f->settings.fanout = p->fanout;
    f->settings.store = stores;
    f->settings.n_store = 1;
    f->settings.boxes = any_addr;
    fleet_change(f, 1000);
    for (unsigned i = 0; i < p->nodes; i++) {
        init_identity(f, i);
        create_node(f, i);
    }
    return f;
}

void fleet_free(Fleet *f)
{
    for (guint i = 0; i < f->heap->len; i++)
        if (at(f, i)->frame)
            g_byte_array_unref(at(f, i)->frame);
    for (unsigned i = 0; i < f->plan.nodes; i++) {
        wp_node_free(f->nodes[i].node);
        g_free(f->nodes[i].self.addr);
    }
    g_strfreev(f->version_names);
    g_array_unref(f->heap);
    g_hash_table_unref(f->by_addr);
    g_byte_array_unref(f->head);
    wp_config_free(f->store);
    g_rand_free(f->rand);
    g_free(f->nodes);
    g_free(f);
}

WPNode *fleet_node(Fleet *f, unsigned i)
{
    return f->nodes[i].node;
}

/* --- configuration store --- */

uint64_t fleet_change(Fleet *f, size_t bytes)
{
    Wp__Object o = WP__OBJECT__INIT;
    Wp__Rule rule = WP__RULE__INIT;
    Wp__Delta d = WP__DELTA__INIT;
    char id[32];
    if (!f->store_up)
        return 0;
    g_autofree char *text = g_strnfill(bytes, 'x');
    rule.name = (char *)"padding";
    rule.on = (char *)"version";
    rule.match = text;
    o.spec_case = WP__OBJECT__SPEC_RULE;
    o.rule = &rule;
    Wp__Op *op = wp_op_put(&o);
    d.prev = wp_config_revision(f->store);
    d.revision = d.prev + 1;
    g_snprintf(id, sizeof(id), "change-%lu", (unsigned long)d.revision);
    d.change_id = id;
    d.n_ops = 1;
    d.ops = &op;
    wp_config_apply(f->store, &d);
    g_byte_array_unref(f->head);
    f->head = wp_pb_pack(&d.base);
    wp_pb_free(op);
    for (unsigned i = 0; f->nodes && i < f->plan.nodes; i++)
        if (f->nodes[i].watching && !f->nodes[i].down &&
            !f->nodes[i].partitioned)
            push(f, (Delivery){ .at_us = f->now_us + STORE_DELAY_US,
                                .kind = WATCH_EVENT,
                                .to = i,
                                .incarnation = f->nodes[i].incarnation,
                                .revision = d.revision });
    return d.revision;
}

void fleet_set_store_up(Fleet *f, bool up)
{
    f->store_up = up;
    for (unsigned i = 0; !up && i < f->plan.nodes; i++) {
        if (!f->nodes[i].watching)
            continue;
        f->nodes[i].watching = false;
        wp_node_on_watch_end(f->nodes[i].node, fleet_now(f));
    }
}

void fleet_set_down(Fleet *f, unsigned node, bool down)
{
    f->nodes[node].down = down;
}

void fleet_set_partitioned(Fleet *f, unsigned node, bool partitioned)
{
    f->nodes[node].partitioned = partitioned;
    if (partitioned && f->nodes[node].watching) {
        f->nodes[node].watching = false;
        wp_node_on_watch_end(f->nodes[node].node, fleet_now(f));
    }
}

void fleet_restart(Fleet *f, unsigned node)
{
    wp_node_free(f->nodes[node].node);
    f->nodes[node].down = false;
    create_node(f, node);
}

static void request_store_read(Fleet *f, unsigned i, DeliveryKind kind)
{
    f->costs.store_reads++;
    push(f, (Delivery){ .at_us = f->now_us + STORE_DELAY_US,
                        .requested_us = f->now_us,
                        .kind = kind,
                        .to = i,
                        .incarnation = f->nodes[i].incarnation });
}

static void deliver_head(Fleet *f, const Delivery *p, bool ok)
{
    wp_node_on_head(f->nodes[p->to].node, fleet_now(f), p->requested_us, ok,
                    ok ? wp_config_revision(f->store) : 0, f->head->data,
                    f->head->len);
}

static void deliver_snapshot(Fleet *f, const Delivery *p, bool ok)
{
    Wp__Snapshot *s = wp_config_snapshot(f->store);
    wp_node_on_snapshot(f->nodes[p->to].node, fleet_now(f), p->requested_us, ok,
                        s);
    wp_pb_free(s);
}

static void deliver_box_list(Fleet *f, const Delivery *p)
{
    unsigned n = f->plan.nodes, count = 0;
    g_autofree WPBox *boxes = g_new0(WPBox, n);
    g_autofree char *addrs = g_malloc(24UL * n);
    for (unsigned i = 0; i < n; i++) {
        char *addr = addrs + 24UL * count;
        if (f->nodes[i].down)
            continue;
        g_strlcpy(addr, f->nodes[i].addr, 24);
        *strchr(addr, ':') = 0;
        boxes[count++] = (WPBox){ f->nodes[i].id, addr, 1, false };
    }
    wp_node_on_box_list(f->nodes[p->to].node, fleet_now(f), boxes, count);
}

/* --- message delivery --- */

static void send(Fleet *f, unsigned from, WPAction *a)
{
    guint to = GPOINTER_TO_UINT(g_hash_table_lookup(f->by_addr, a->addr));
    size_t size = a->frame->len + 4;
    f->costs.messages++;
    f->costs.bytes += size;
    f->nodes[from].bytes += size;
    if (!to || g_rand_double(f->rand) < f->plan.loss ||
        f->nodes[from].partitioned)
        return;
    push(f, (Delivery){ .at_us = f->now_us + g_rand_int_range(f->rand,
                                                              LATENCY_MIN_US,
                                                              LATENCY_MAX_US),
                        .kind = MESSAGE,
                        .to = to - 1,
                        .from = from,
                        .incarnation = f->nodes[to - 1].incarnation,
                        .frame = g_byte_array_ref(a->frame) });
}

static void run_actions(Fleet *f, unsigned i)
{
    WPAction *a;
    while ((a = wp_node_next_action(f->nodes[i].node))) {
        if (a->kind == WP_ACT_SEND)
            send(f, i, a);
        else if (a->kind == WP_ACT_READ_HEAD)
            request_store_read(f, i, HEAD_REPLY);
        else if (a->kind == WP_ACT_READ_ALL)
            request_store_read(f, i, SNAPSHOT_REPLY);
        else if (a->kind == WP_ACT_WATCH) {
            f->costs.store_reads++;
            f->nodes[i].watching = f->store_up;
            if (!f->store_up)
                wp_node_on_watch_end(f->nodes[i].node, fleet_now(f));
        } else if (a->kind == WP_ACT_UNWATCH)
            f->nodes[i].watching = false;
        else if (a->kind == WP_ACT_READ_BOXES)
            push(f, (Delivery){ .at_us = f->now_us + STORE_DELAY_US,
                                .kind = BOX_LIST_REPLY,
                                .to = i,
                                .incarnation = f->nodes[i].incarnation });
        wp_action_free(a);
    }
}

static void deliver(Fleet *f, Delivery *p)
{
    Node *s = &f->nodes[p->to];
    bool ok = f->store_up && !s->partitioned;
    if (s->down || s->incarnation != p->incarnation ||
        (p->kind == MESSAGE && s->partitioned))
        return;
    if (p->kind == HEAD_REPLY)
        deliver_head(f, p, ok);
    else if (p->kind == SNAPSHOT_REPLY)
        deliver_snapshot(f, p, ok);
    else if (p->kind == BOX_LIST_REPLY && !s->partitioned)
        deliver_box_list(f, p);
    else if (p->kind == WATCH_EVENT && ok)
        wp_node_on_watch_event(s->node, fleet_now(f), p->revision,
                               f->head->data, f->head->len);
    else if (p->kind == MESSAGE) {
        Wp__Frame *m = wp__frame__unpack(NULL, p->frame->len, p->frame->data);
        s->bytes += p->frame->len + 4;
        wp_node_on_frame(s->node, fleet_now(f), f->nodes[p->from].addr, m);
        if (m->has_revision)
            wp_node_on_peer_revision(s->node, fleet_now(f),
                                     f->nodes[p->from].addr, m->revision);
        wp__frame__free_unpacked(m, NULL);
    }
    run_actions(f, p->to);
}

void fleet_run(Fleet *f, int64_t us)
{
    int64_t until = f->now_us + us;
    while (f->now_us < until) {
        int64_t step_end = f->now_us + STEP_US;
        for (unsigned i = 0; i < f->plan.nodes; i++) {
            if (f->nodes[i].down)
                continue;
            wp_node_tick(f->nodes[i].node, fleet_now(f));
            f->costs.ticks++;
            run_actions(f, i);
        }
        while (f->heap->len && at(f, 0)->at_us <= step_end) {
            Delivery p = pop(f);
            f->now_us = MAX(f->now_us, p.at_us);
            deliver(f, &p);
            if (p.frame)
                g_byte_array_unref(p.frame);
        }
        f->now_us = step_end;
    }
}

/* Puts every member record into every node's table, so that costs are measured
   on a converged fleet and not on its first minute. */
void fleet_start_converged(Fleet *f)
{
    Wp__Members all = WP__MEMBERS__INIT;
    Wp__Frame frame = WP__FRAME__INIT;
    g_autofree Wp__Member **rows = g_new0(Wp__Member *, f->plan.nodes);
    WPAction *a;
    for (unsigned i = 0; i < f->plan.nodes; i++)
        rows[i] = &f->nodes[i].self;
    all.members = rows;
    all.n_members = f->plan.nodes;
    frame.body_case = WP__FRAME__BODY_MEMBERS;
    frame.members = &all;
    for (unsigned i = 0; i < f->plan.nodes; i++) {
        wp_node_on_frame(f->nodes[i].node, fleet_now(f), f->nodes[i].addr,
                         &frame);
        while ((a = wp_node_next_action(f->nodes[i].node)))
            wp_action_free(a);
    }
    fleet_run(f, 8 * WP_US_PER_S);
    fleet_take_costs(f);
}

unsigned fleet_count_behind(const Fleet *f, uint64_t revision)
{
    unsigned n = 0;
    for (unsigned i = 0; i < f->plan.nodes; i++) {
        const Node *s = &f->nodes[i];
        n += !s->down && !s->partitioned &&
             wp_config_revision(wp_node_config(s->node)) < revision;
    }
    return n;
}

FleetCosts fleet_take_costs(Fleet *f)
{
    FleetCosts c = f->costs;
    for (unsigned i = 0; i < f->plan.nodes; i++) {
        c.worst_bytes = MAX(c.worst_bytes, f->nodes[i].bytes);
        f->nodes[i].bytes = 0;
    }
    memset(&f->costs, 0, sizeof(f->costs));
    return c;
}
