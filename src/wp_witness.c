/* A third copy of unsettled bills: an agent and an entry that die together must
 * not take a bill with them, so each entry tells one other entry, its witness,
 * of the bills that it has copies of. The witness writes them when both are
 * gone; a bill that is written twice is charged once. */
#include "wp_entry_int.h"
#include "wp_pb.h"

/* An entry that lives writes the bills of an agent that is gone; its witness
   keeps them for so long, in case it dies before that. */
#define KEEP_US (60 * WP_US_PER_S)

static void free_settled(gpointer s)
{
    wp_pb_free(s);
}

void wp_witness_init(WPEntry *e)
{
    wp_list_init(&e->own);
    e->settled = g_ptr_array_new_with_free_func(free_settled);
}

void wp_witness_end(WPEntry *e)
{
    wp_list_each_safe (it, tmp, &e->own)
        wp_copy_drop(wp_list_item(it, WPBillCopy, link));
    g_ptr_array_unref(e->settled);
    g_free(e->witness);
    g_free(e->witness_addr);
}

void wp_witness_settled(WPEntry *e, const char *owner, uint64_t incarnation,
                        uint64_t upto)
{
    for (guint i = 0; i < e->settled->len; i++) {
        Wp__SettledUpTo *had = e->settled->pdata[i];
        if (had->incarnation != incarnation || strcmp(had->owner, owner))
            continue;
        had->upto = MAX(had->upto, upto);
        return;
    }
    Wp__SettledUpTo s = WP__SETTLED_UP_TO__INIT;
    s.owner = (char *)owner;
    s.incarnation = incarnation;
    s.upto = upto;
    g_ptr_array_add(e->settled, wp_pb_copy(&s.base));
}

bool wp_witness_is_due(const WPEntry *e, WPTime now, const WPBillCopy *c,
                       bool *drop)
{
    if (!c->from || wp_copy_is_gone(e, c->from, c->from_incarnation))
        return true;
    *drop = now.mono_us - c->since_us > KEEP_US;
    return false;
}

/* The live entry that comes first in this entry's own order. */
static const WPMemberRow *choose_witness(const WPEntry *e)
{
    const WPMembers *t = wp_node_members(e->node);
    const Wp__Member *self = wp_node_self(e->node);
    uint64_t key = wp_hash(wp_str(self->id), 0);
    const WPMemberRow *best = NULL;
    double best_score = 0;
    for (unsigned i = 0; i < wp_members_live_count(t); i++) {
        const WPMemberRow *r = wp_members_live_at(t, i);
        if (r->m->role != WP__ROLE__ROLE_ENTRY || r->m->leaving ||
            !strcmp(r->m->id, self->id))
            continue;
        double v = wp_rendezvous(wp_str(r->m->id), key, 1);
        if (!best || v > best_score) {
            best = r;
            best_score = v;
        }
    }
    return best;
}

static void forget_told(WPList *copies)
{
    wp_list_each (it, copies)
        wp_list_item(it, WPBillCopy, link)->told = false;
}

/* A new witness, or one that has started again, knows nothing yet. */
static void note_witness(WPEntry *e, const WPMemberRow *r)
{
    if (!g_strcmp0(e->witness, r->m->id) &&
        e->witness_incarnation == r->m->incarnation)
        return;
    g_free(e->witness);
    g_free(e->witness_addr);
    e->witness = g_strdup(r->m->id);
    e->witness_addr = g_strdup(r->addr);
    e->witness_incarnation = r->m->incarnation;
    forget_told(&e->copies);
    forget_told(&e->own);
}

void wp_entry_witness_lost(WPEntry *e, const char *addr)
{
    if (!g_strcmp0(addr, e->witness_addr))
        g_clear_pointer(&e->witness, g_free);
}

/* Bills of this entry's own that the store has. */
static void drop_settled_own(WPEntry *e)
{
    const Wp__Member *self = wp_node_self(e->node);
    uint64_t upto = wp_bills_settled(e->bills);
    bool some = false;
    wp_list_each_safe (it, tmp, &e->own) {
        WPBillCopy *c = wp_list_item(it, WPBillCopy, link);
        if (c->bill->seq > upto)
            break;
        wp_copy_drop(c);
        some = true;
    }
    if (some)
        wp_witness_settled(e, self->id, self->incarnation, upto);
}

/* Newest first: what lies before one that was told was told too. */
static void gather(WPList *copies, GPtrArray *out)
{
    for (WPList *it = copies->prev; it != copies; it = it->prev) {
        WPBillCopy *c = wp_list_item(it, WPBillCopy, link);
        if (c->from)
            continue;
        if (c->told)
            break;
        c->told = true;
        Wp__HeldBill *h = g_new0(Wp__HeldBill, 1);
        wp__held_bill__init(h);
        h->owner = c->owner;
        h->incarnation = c->incarnation;
        h->bill = c->bill;
        g_ptr_array_add(out, h);
    }
}

void wp_entry_tell_witness(WPEntry *e, WPTime now, WPWitnessFn fn, void *arg)
{
    const WPMemberRow *r = choose_witness(e);
    (void)now;
    drop_settled_own(e);
    if (!r || e->off[WP_GUARD_WITNESS]) {
        g_ptr_array_set_size(e->settled, 0);
        return;
    }
    note_witness(e, r);
    g_autoptr(GPtrArray) held = g_ptr_array_new_with_free_func(g_free);
    gather(&e->copies, held);
    gather(&e->own, held);
    if (!held->len && !e->settled->len)
        return;
    const Wp__Member *self = wp_node_self(e->node);
    Wp__Witness w = WP__WITNESS__INIT;
    w.entry = self->id;
    w.incarnation = self->incarnation;
    w.held = (Wp__HeldBill **)held->pdata;
    w.n_held = held->len;
    w.settled = (Wp__SettledUpTo **)e->settled->pdata;
    w.n_settled = e->settled->len;
    fn(arg, r->addr, &w);
    g_ptr_array_set_size(e->settled, 0);
}

/* Drops what is settled among the copies kept for one entry. */
static void drop_kept(WPEntry *e, const char *from, const Wp__SettledUpTo *s)
{
    wp_list_each_safe (it, tmp, &e->copies) {
        WPBillCopy *c = wp_list_item(it, WPBillCopy, link);
        if (c->from && !strcmp(c->from, from) && c->bill->seq <= s->upto &&
            c->incarnation == s->incarnation && !strcmp(c->owner, s->owner))
            wp_copy_drop(c);
    }
}

void wp_entry_witnessed(WPEntry *e, WPTime now, const Wp__Witness *w)
{
    for (size_t i = 0; i < w->n_held; i++) {
        const Wp__HeldBill *h = w->held[i];
        WPBillCopy *c = wp_copy_new(h->owner, h->incarnation, h->bill);
        c->from = g_strdup(w->entry);
        c->from_incarnation = w->incarnation;
        c->since_us = now.mono_us;
        wp_list_append(&e->copies, &c->link);
    }
    for (size_t i = 0; i < w->n_settled; i++)
        drop_kept(e, w->entry, w->settled[i]);
}
