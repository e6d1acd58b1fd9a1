/* The third copy of a bill: an entry sends copies of unsettled bills to a
 * backup entry, which writes them when both the agent and the first entry
 * are gone. No sockets. */
#include "entry_fake.h"
#include "wp_bill.h"
#include "wp_entry_int.h"
#include "wp_pb.h"

static const char config[] = "kinds: [{name: k}]\n";

typedef struct SentBackups {
    unsigned calls;
    char *addr;
    Wp__Witness *last;
} SentBackups;

static void on_backup(void *arg, const char *addr, Wp__Witness *w)
{
    SentBackups *t = arg;
    t->calls++;
    g_free(t->addr);
    wp_pb_free(t->last);
    t->addr = g_strdup(addr);
    t->last = wp_pb_copy(&w->base);
}

static void sent_backups_end(SentBackups *t)
{
    g_free(t->addr);
    wp_pb_free(t->last);
}

/* Gives the entry the member record of an agent (`id` begins with a) or an
   entry. */
static void put_member(EntryFake *f, const char *id, Wp__Role role,
                       uint64_t incarnation, bool gone)
{
    Wp__Member m = entry_fake_agent(id, id[0] == 'a' ? 71 : 72, NULL, 0);
    m.role = role;
    m.incarnation = incarnation;
    m.has_gone = gone;
    m.gone = gone;
    entry_fake_add_member(f, &m);
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

/* Adds a copy of a bill of `owner` to those that the entry holds. */
static void add_copy(WPEntry *e, const char *owner, const char *id,
                     uint64_t seq)
{
    Wp__Bill b = bill(id, seq);
    wp_list_append(&e->bill_copies, &wp_bill_copy_new(owner, 1, &b)->link);
}

static EntryFake *start_entry(void)
{
    EntryFake *f = entry_fake_new(config, NULL);
    put_member(f, "a1", WP__ROLE__ROLE_AGENT, 1, false);
    put_member(f, "e2", WP__ROLE__ROLE_ENTRY, 1, false);
    return f;
}

static void each_bill_is_sent_to_the_backup_once(void **state)
{
    EntryFake *f = start_entry();
    SentBackups t = { 0 };
    (void)state;
    add_copy(f->entry, "a1", "r1", 1);
    wp_entry_send_backup(f->entry, f->now, on_backup, &t);
    assert_int_equal(t.calls, 1);
    assert_string_equal(t.addr, "127.0.0.1:72");
    assert_int_equal(t.last->n_held, 1);
    assert_string_equal(t.last->held[0]->bill->request_id, "r1");
    wp_entry_send_backup(f->entry, f->now, on_backup, &t);
    assert_int_equal(t.calls, 1);
    add_copy(f->entry, "a1", "r2", 2);
    wp_entry_bills_settled(f->entry, "a1", 1, 1);
    wp_entry_send_backup(f->entry, f->now, on_backup, &t);
    assert_int_equal(t.last->n_held, 1);
    assert_string_equal(t.last->held[0]->bill->request_id, "r2");
    assert_int_equal(t.last->settled[0]->upto, 1);
    /* Updates may be lost with a link that ended, and a backup entry that
       has started again holds nothing: the copies are sent again. */
    wp_entry_backup_link_lost(f->entry, "127.0.0.1:72");
    wp_entry_send_backup(f->entry, f->now, on_backup, &t);
    assert_int_equal(t.calls, 3);
    put_member(f, "e2", WP__ROLE__ROLE_ENTRY, 2, false);
    wp_entry_send_backup(f->entry, f->now, on_backup, &t);
    assert_int_equal(t.calls, 4);
    assert_int_equal(t.last->n_held, 1);
    sent_backups_end(&t);
    entry_fake_free(f);
}

/* Delivers a copy of a bill of `owner` that entry e2 sends. */
static void receive_copy(EntryFake *f, const char *owner, const char *id,
                         uint64_t seq)
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

/* Returns how many bills the entry is about to write to the store. */
static unsigned count_pending(const EntryFake *f)
{
    return wp_bills_pending(wp_entry_bills(f->entry));
}

static void bills_outlive_agent_and_entry(void **state)
{
    EntryFake *f = start_entry();
    (void)state;
    receive_copy(f, "a1", "r1", 1);
    receive_copy(f, "e2", "r2", 1); /* a bill of the entry itself */
    wp_entry_refresh(f->entry, f->now);
    assert_int_equal(count_pending(f), 0);
    /* The agent is gone, but the entry still runs. */
    put_member(f, "a1", WP__ROLE__ROLE_AGENT, 1, true);
    assert_int_equal(count_pending(f), 0);
    /* The entry has started again, so its former process is gone too. */
    put_member(f, "e2", WP__ROLE__ROLE_ENTRY, 2, false);
    assert_int_equal(count_pending(f), 2);
    wp_entry_refresh(f->entry, f->now);
    assert_int_equal(count_pending(f), 2);
    entry_fake_free(f);
}

static void settled_and_old_copies_are_dropped(void **state)
{
    EntryFake *f = start_entry();
    Wp__SettledUpTo s = WP__SETTLED_UP_TO__INIT, *list[] = { &s };
    Wp__Witness w = WP__WITNESS__INIT;
    (void)state;
    receive_copy(f, "a1", "r1", 1);
    receive_copy(f, "a1", "r2", 2);
    receive_copy(f, "a1", "r3", 3);
    s.owner = (char *)"a1";
    s.incarnation = 1;
    s.upto = 1;
    w.entry = (char *)"e2";
    w.incarnation = 1;
    w.settled = list;
    w.n_settled = 1;
    wp_entry_receive_backup(f->entry, f->now, &w);
    wp_entry_bills_settled(f->entry, "a1", 1,
                           2); /* confirmed by the agent itself */
    put_member(f, "a1", WP__ROLE__ROLE_AGENT, 1, true);
    f->now.mono_us += 61 * WP_US_PER_S;
    wp_entry_refresh(f->entry, f->now); /* the entry has had time to write r3 */
    put_member(f, "e2", WP__ROLE__ROLE_ENTRY, 1, true);
    assert_int_equal(count_pending(f), 0);
    entry_fake_free(f);
}

TESTS_MAIN(T(each_bill_is_sent_to_the_backup_once),
           T(bills_outlive_agent_and_entry),
           T(settled_and_old_copies_are_dropped))
