/* A third copy of bills: what an entry tells its witness, and what the witness
 * writes when agent and entry are both gone. No sockets. */
#include "entry_fake.h"
#include "wp_bill.h"
#include "wp_entry_int.h"
#include "wp_pb.h"

static const char config[] = "kinds: [{name: k}]\n";

typedef struct Told {
    unsigned calls;
    char *addr;
    Wp__Witness *last;
} Told;

static void on_told(void *arg, const char *addr, Wp__Witness *w)
{
    Told *t = arg;
    t->calls++;
    g_free(t->addr);
    wp_pb_free(t->last);
    t->addr = g_strdup(addr);
    t->last = wp_pb_copy(&w->base);
}

static void told_end(Told *t)
{
    g_free(t->addr);
    wp_pb_free(t->last);
}

static void put(Fake *f, const char *id, Wp__Role role, uint64_t incarnation,
                bool gone)
{
    Wp__Member m = fake_agent(id, id[0] == 'a' ? 71 : 72, NULL, 0);
    m.role = role;
    m.incarnation = incarnation;
    m.has_gone = gone;
    m.gone = gone;
    fake_member(f, &m);
}

static Wp__Bill bill(const char *id, uint64_t seq)
{
    Wp__Bill b = WP__BILL__INIT;
    b.request_id = (char *)id;
    b.workspace = b.kind = b.version = (char *)"x";
    b.has_seq = 1;
    b.seq = seq;
    return b;
}

static void keep(WPEntry *e, const char *owner, const char *id, uint64_t seq)
{
    Wp__Bill b = bill(id, seq);
    wp_list_append(&e->bill_copies, &wp_bill_copy_new(owner, 1, &b)->link);
}

static Fake *start(void)
{
    Fake *f = fake_new(config, NULL);
    put(f, "a1", WP__ROLE__ROLE_AGENT, 1, false);
    put(f, "e2", WP__ROLE__ROLE_ENTRY, 1, false);
    return f;
}

static void the_witness_is_told_once_of_each_bill(void **state)
{
    Fake *f = start();
    Told t = { 0 };
    (void)state;
    keep(f->entry, "a1", "r1", 1);
    wp_entry_send_backup(f->entry, f->now, on_told, &t);
    assert_int_equal(t.calls, 1);
    assert_string_equal(t.addr, "127.0.0.1:72");
    assert_int_equal(t.last->n_held, 1);
    assert_string_equal(t.last->held[0]->bill->request_id, "r1");
    wp_entry_send_backup(f->entry, f->now, on_told, &t);
    assert_int_equal(t.calls, 1);
    keep(f->entry, "a1", "r2", 2);
    wp_entry_bills_settled(f->entry, "a1", 1, 1);
    wp_entry_send_backup(f->entry, f->now, on_told, &t);
    assert_int_equal(t.last->n_held, 1);
    assert_string_equal(t.last->held[0]->bill->request_id, "r2");
    assert_int_equal(t.last->settled[0]->upto, 1);
    /* A link that ended may have lost it; a new start knows nothing. */
    wp_entry_backup_link_lost(f->entry, "127.0.0.1:72");
    wp_entry_send_backup(f->entry, f->now, on_told, &t);
    assert_int_equal(t.calls, 3);
    put(f, "e2", WP__ROLE__ROLE_ENTRY, 2, false);
    wp_entry_send_backup(f->entry, f->now, on_told, &t);
    assert_int_equal(t.calls, 4);
    assert_int_equal(t.last->n_held, 1);
    told_end(&t);
    fake_free(f);
}

static void tell(Fake *f, const char *owner, const char *id, uint64_t seq)
{
    Wp__Bill b = bill(id, seq);
    Wp__HeldBill h = WP__HELD_BILL__INIT, *list[] = { &h };
    Wp__Witness w = WP__WITNESS__INIT;
    h.owner = (char *)owner;
    h.incarnation = 1;
    h.bill = &b;
    w.entry = (char *)"e2";
    w.incarnation = 1;
    w.held = list;
    w.n_held = 1;
    wp_entry_receive_backup(f->entry, f->now, &w);
}

static unsigned written(const Fake *f)
{
    return wp_bills_pending(wp_entry_bills(f->entry));
}

static void bills_outlive_agent_and_entry(void **state)
{
    Fake *f = start();
    (void)state;
    tell(f, "a1", "r1", 1);
    tell(f, "e2", "r2", 1); /* the entry's own */
    wp_entry_refresh(f->entry, f->now);
    assert_int_equal(written(f), 0);
    put(f, "a1", WP__ROLE__ROLE_AGENT, 1, true); /* the entry still lives */
    assert_int_equal(written(f), 0);
    put(f, "e2", WP__ROLE__ROLE_ENTRY, 2, false); /* started again */
    assert_int_equal(written(f), 2);
    wp_entry_refresh(f->entry, f->now);
    assert_int_equal(written(f), 2);
    fake_free(f);
}

static void what_is_settled_or_old_is_dropped(void **state)
{
    Fake *f = start();
    Wp__SettledUpTo s = WP__SETTLED_UP_TO__INIT, *list[] = { &s };
    Wp__Witness w = WP__WITNESS__INIT;
    (void)state;
    tell(f, "a1", "r1", 1);
    tell(f, "a1", "r2", 2);
    tell(f, "a1", "r3", 3);
    s.owner = (char *)"a1";
    s.incarnation = 1;
    s.upto = 1;
    w.entry = (char *)"e2";
    w.incarnation = 1;
    w.settled = list;
    w.n_settled = 1;
    wp_entry_receive_backup(f->entry, f->now, &w);
    wp_entry_bills_settled(f->entry, "a1", 1, 2); /* the agent's own word */
    put(f, "a1", WP__ROLE__ROLE_AGENT, 1, true);
    f->now.mono_us += 61 * WP_US_PER_S;
    wp_entry_refresh(f->entry, f->now); /* the entry had time to write r3 */
    put(f, "e2", WP__ROLE__ROLE_ENTRY, 1, true);
    assert_int_equal(written(f), 0);
    fake_free(f);
}

TESTS_MAIN(T(the_witness_is_told_once_of_each_bill),
           T(bills_outlive_agent_and_entry),
           T(what_is_settled_or_old_is_dropped))
