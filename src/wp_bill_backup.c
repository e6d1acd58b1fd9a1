/* A third copy of bills that are not settled. No bill may be lost when an agent
 * and an entry fail together, so each entry sends the bills that it has copies
 * of to one other entry, its backup (message Witness). The backup writes them
 * when both are gone; a bill that is written twice is charged once. */
#include "wp_entry_int.h"
#include "wp_pb.h"

/* A live entry writes the bills of an agent that is gone. Its backup keeps them
   for this time after they came, in case the entry fails before that. */
#define KEEP_US (60 * WP_US_PER_S)

/* Frees one Wp__SettledUpTo of `settled_pending`. */
static void free_settled(gpointer s)
{
    wp_pb_free(s);
}

void wp_bill_backup_init(WPEntry *e)
{
    wp_list_init(&e->own_bills);
    e->settled_pending = g_ptr_array_new_with_free_func(free_settled);
}

void wp_bill_backup_end(WPEntry *e)
{
    wp_list_each_safe (it, tmp, &e->own_bills)
        wp_bill_copy_free(wp_list_item(it, WPBillCopy, link));
    g_ptr_array_unref(e->settled_pending);
    g_free(e->backup);
    g_free(e->backup_addr);
}

void wp_bill_backup_note_settled(WPEntry *e, const char *owner,
                                 uint64_t incarnation, uint64_t upto)
{
    for (guint i = 0; i < e->settled_pending->len; i++) {
        Wp__SettledUpTo *had = e->settled_pending->pdata[i];
        if (had->incarnation != incarnation || strcmp(had->owner, owner))
            continue;
        had->upto = MAX(had->upto, upto);
        return;
    }
    Wp__SettledUpTo s = WP__SETTLED_UP_TO__INIT;
    s.owner = (char *)owner;
    s.incarnation = incarnation;
    s.upto = upto;
    g_ptr_array_add(e->settled_pending, wp_pb_copy(&s.base));
}

bool wp_bill_backup_is_due(const WPEntry *e, WPTime now, const WPBillCopy *c,
                           bool *drop)
{
    if (!c->source || wp_entry_is_box_gone(e, c->source, c->source_incarnation))
        return true;
    *drop = now.mono_us - c->received_us > KEEP_US;
    return false;
}

/* The live entry with the highest rendezvous score for this entry's id. */
static const WPMemberRow *choose_backup(const WPEntry *e)
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

static void mark_unsent(WPList *copies)
{
    wp_list_each (it, copies)
        wp_list_item(it, WPBillCopy, link)->sent_to_backup = false;
}

/* Takes `r` as the backup entry. A new one, or one that has started again, has
   no copies yet. */
static void set_backup(WPEntry *e, const WPMemberRow *r)
{
    if (!g_strcmp0(e->backup, r->m->id) &&
        e->backup_incarnation == r->m->incarnation)
        return;
    g_free(e->backup);
    g_free(e->backup_addr);
    e->backup = g_strdup(r->m->id);
    e->backup_addr = g_strdup(r->addr);
    e->backup_incarnation = r->m->incarnation;
    mark_unsent(&e->bill_copies);
    mark_unsent(&e->own_bills);
}

void wp_entry_backup_link_lost(WPEntry *e, const char *addr)
{
    if (!g_strcmp0(addr, e->backup_addr))
        g_clear_pointer(&e->backup, g_free);
}

/* Drops the copies of this entry's own bills that are in the store. */
static void drop_settled_own(WPEntry *e)
{
    const Wp__Member *self = wp_node_self(e->node);
    uint64_t upto = wp_bills_settled(e->bills);
    bool some = false;
    wp_list_each_safe (it, tmp, &e->own_bills) {
        WPBillCopy *c = wp_list_item(it, WPBillCopy, link);
        if (c->bill->seq > upto)
            break;
        wp_bill_copy_free(c);
        some = true;
    }
    if (some)
        wp_bill_backup_note_settled(e, self->id, self->incarnation, upto);
}

/* Collects the copies that were not sent yet, the newest first: all before one
   that was sent were sent as well. */
static void collect_unsent(WPList *copies, GPtrArray *out)
{
    for (WPList *it = copies->prev; it != copies; it = it->prev) {
        WPBillCopy *c = wp_list_item(it, WPBillCopy, link);
        if (c->source)
            continue;
        if (c->sent_to_backup)
            break;
        c->sent_to_backup = true;
        Wp__HeldBill *h = g_new0(Wp__HeldBill, 1);
        wp__held_bill__init(h);
        h->owner = c->owner;
        h->incarnation = c->incarnation;
        h->bill = c->bill;
        g_ptr_array_add(out, h);
    }
}

void wp_entry_send_backup(WPEntry *e, WPTime now, WPBackupFn fn, void *arg)
{
    const WPMemberRow *r = choose_backup(e);
    (void)now;
    drop_settled_own(e);
    if (!r || e->guard_disabled[WP_GUARD_WITNESS]) {
        g_ptr_array_set_size(e->settled_pending, 0);
        return;
    }
    set_backup(e, r);
    g_autoptr(GPtrArray) held = g_ptr_array_new_with_free_func(g_free);
    collect_unsent(&e->bill_copies, held);
    collect_unsent(&e->own_bills, held);
    if (!held->len && !e->settled_pending->len)
        return;
    const Wp__Member *self = wp_node_self(e->node);
    Wp__Witness w = WP__WITNESS__INIT;
    w.entry = self->id;
    w.incarnation = self->incarnation;
    w.held = (Wp__HeldBill **)held->pdata;
    w.n_held = held->len;
    w.settled = (Wp__SettledUpTo **)e->settled_pending->pdata;
    w.n_settled = e->settled_pending->len;
    fn(arg, r->addr, &w);
    g_ptr_array_set_size(e->settled_pending, 0);
}

/* Drops the settled bills among the copies kept for the entry `from`. */
static void drop_settled_for(WPEntry *e, const char *from,
                             const Wp__SettledUpTo *s)
{
    wp_list_each_safe (it, tmp, &e->bill_copies) {
        WPBillCopy *c = wp_list_item(it, WPBillCopy, link);
        if (c->source && !strcmp(c->source, from) && c->bill->seq <= s->upto &&
            c->incarnation == s->incarnation && !strcmp(c->owner, s->owner))
            wp_bill_copy_free(c);
    }
}

void wp_entry_receive_backup(WPEntry *e, WPTime now, const Wp__Witness *w)
{
    for (size_t i = 0; i < w->n_held; i++) {
        const Wp__HeldBill *h = w->held[i];
        WPBillCopy *c = wp_bill_copy_new(h->owner, h->incarnation, h->bill);
        c->source = g_strdup(w->entry);
        c->source_incarnation = w->incarnation;
        c->received_us = now.mono_us;
        wp_list_append(&e->bill_copies, &c->link);
    }
    for (size_t i = 0; i < w->n_settled; i++)
        drop_settled_for(e, w->entry, w->settled[i]);
}
