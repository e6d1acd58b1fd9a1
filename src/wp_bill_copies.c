/* The entry's copies of bills that agents have made and that are not known to
 * be in the store, and the bills that the entry itself makes when it has lost
 * the agent that ran a request. */
#include "wp_entry_int.h"

static Wp__Bill make_bill(const WPRequest *r, const WPEntry *e)
{
    Wp__Bill b = WP__BILL__INIT;
    b.request_id = (char *)r->id;
    b.workspace = r->workspace;
    b.kind = r->kind;
    b.version = r->version;
    b.leg = r->attempt;
    b.has_step = 1;
    b.step = r->step;
    b.prompt_tokens = r->prompt_tokens;
    b.has_whole = 1;
    b.entry = wp_node_self(e->node)->id;
    return b;
}

/* Of an agent, by the table of boxes; 0: not known. */
static uint64_t incarnation_of(WPEntry *e, const char *agent)
{
    const WPMemberRow *row = wp_members_get(wp_node_members(e->node), agent);
    return row ? row->m->incarnation : 0;
}

WPBillCopy *wp_bill_copy_new(const char *owner, uint64_t incarnation,
                             const Wp__Bill *b)
{
    WPBillCopy *c = g_new0(WPBillCopy, 1);
    c->owner = g_strdup(owner);
    c->incarnation = incarnation;
    c->bill = wp_pb_copy(&b->base);
    wp_list_init(&c->link);
    return c;
}

void wp_bill_copy_add(WPEntry *e, const WPRequest *r, const Wp__End *end)
{
    Wp__Bill b = make_bill(r, e);
    b.prompt_tokens = end->usage->prompt_tokens;
    b.answer_tokens = end->usage->answer_tokens;
    b.whole = end->whole;
    b.has_seq = 1;
    b.seq = end->bill_seq;
    WPBillCopy *c = wp_bill_copy_new(r->endpoint->id,
                                     incarnation_of(e, r->endpoint->id), &b);
    wp_list_append(&e->bill_copies, &c->link);
}

/* Adds a bill to this entry's own, and a copy for its backup entry. */
static void add_own_bill(WPEntry *e, WPTime now, Wp__Bill *b)
{
    const Wp__Member *self = wp_node_self(e->node);
    b->has_seq = 1;
    b->seq = wp_bills_add(e->bills, now, b);
    WPBillCopy *c = wp_bill_copy_new(self->id, self->incarnation, b);
    wp_list_append(&e->own_bills, &c->link);
}

void wp_entry_add_bill(WPEntry *e, WPTime now, const WPRequest *r)
{
    Wp__Bill b = make_bill(r, e);
    add_own_bill(e, now, &b);
    wp_count(wp_node_counters(e->node), WP_C_BILLS);
}

void wp_bill_copy_free(WPBillCopy *c)
{
    wp_list_remove(&c->link);
    wp_pb_free(c->bill);
    g_free(c->owner);
    g_free(c->source);
    g_free(c);
}

void wp_entry_bills_settled(WPEntry *e, const char *agent, uint64_t incarnation,
                            uint64_t upto)
{
    wp_list_each_safe (it, tmp, &e->bill_copies) {
        WPBillCopy *c = wp_list_item(it, WPBillCopy, link);
        if (c->bill->seq <= upto && c->incarnation == incarnation &&
            !strcmp(c->owner, agent))
            wp_bill_copy_free(c);
    }
    wp_bill_backup_note_settled(e, agent, incarnation, upto);
}

bool wp_entry_is_box_gone(const WPEntry *e, const char *id,
                          uint64_t incarnation)
{
    const WPMemberRow *row = wp_members_get(wp_node_members(e->node), id);
    return !row || row->m->gone || row->m->incarnation != incarnation;
}

/* An agent that is gone or has restarted will not write its bills any more, so
   this entry does. If the agent was only paused and writes them as well, the
   request is still charged once (WPCharges). */
void wp_entry_take_over_bills(WPEntry *e, WPTime now)
{
    if (e->guard_disabled[WP_GUARD_TAKEOVER])
        return;
    wp_list_each_safe (it, tmp, &e->bill_copies) {
        WPBillCopy *c = wp_list_item(it, WPBillCopy, link);
        bool drop = false;
        if (!wp_entry_is_box_gone(e, c->owner, c->incarnation))
            continue;
        if (wp_bill_backup_is_due(e, now, c, &drop)) {
            add_own_bill(e, now, c->bill);
            wp_count(wp_node_counters(e->node), WP_C_BILLS_TAKEN);
            wp_events_add(wp_node_events(e->node), now, WP_EVENT_BILLED,
                          c->bill->request_id, "taken over from %s", c->owner);
            drop = true;
        }
        if (drop)
            wp_bill_copy_free(c);
    }
}
