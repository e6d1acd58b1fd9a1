/* The entry's copies of bills that agents made and have not settled, and the
 * bills that an entry makes itself when an agent was lost. */
#include "wp_entry_int.h"

static Wp__Bill fill(const WPRequest *r, const WPEntry *e)
{
    Wp__Bill b = WP__BILL__INIT;
    b.request_id = (char *)r->id;
    b.workspace = r->workspace;
    b.kind = r->kind;
    b.version = r->version;
    b.leg = r->leg;
    b.has_step = 1;
    b.step = r->step;
    b.prompt_tokens = r->prompt_tokens;
    b.has_whole = 1;
    b.entry = wp_node_self(e->node)->id;
    return b;
}

static uint64_t incarnation_of(WPEntry *e, const char *agent)
{
    const WPMemberRow *row = wp_members_get(wp_node_members(e->node), agent);
    return row ? row->m->incarnation : 0;
}

WPBillCopy *wp_copy_new(const char *owner, uint64_t incarnation,
                        const Wp__Bill *b)
{
    WPBillCopy *c = g_new0(WPBillCopy, 1);
    c->owner = g_strdup(owner);
    c->incarnation = incarnation;
    c->bill = wp_pb_copy(&b->base);
    wp_list_init(&c->link);
    return c;
}

void wp_copy_add(WPEntry *e, const WPRequest *r, const Wp__End *end)
{
    Wp__Bill b = fill(r, e);
    b.prompt_tokens = end->usage->prompt_tokens;
    b.answer_tokens = end->usage->answer_tokens;
    b.whole = end->whole;
    b.has_seq = 1;
    b.seq = end->bill_seq;
    WPBillCopy *c =
        wp_copy_new(r->endpoint->id, incarnation_of(e, r->endpoint->id), &b);
    wp_list_append(&e->copies, &c->link);
}

/* A bill of this entry's own, which its witness is told of too. */
static void add_own(WPEntry *e, WPTime now, Wp__Bill *b)
{
    const Wp__Member *self = wp_node_self(e->node);
    b->has_seq = 1;
    b->seq = wp_bills_add(e->bills, now, b);
    WPBillCopy *c = wp_copy_new(self->id, self->incarnation, b);
    wp_list_append(&e->own, &c->link);
}

void wp_bill_own(WPEntry *e, WPTime now, const WPRequest *r)
{
    Wp__Bill b = fill(r, e);
    add_own(e, now, &b);
    wp_count(wp_node_counters(e->node), WP_C_BILLS);
}

void wp_copy_drop(WPBillCopy *c)
{
    wp_list_remove(&c->link);
    wp_pb_free(c->bill);
    g_free(c->owner);
    g_free(c->from);
    g_free(c);
}

void wp_entry_settled(WPEntry *e, const char *agent, uint64_t incarnation,
                      uint64_t upto)
{
    wp_list_each_safe (it, tmp, &e->copies) {
        WPBillCopy *c = wp_list_item(it, WPBillCopy, link);
        if (c->bill->seq <= upto && c->incarnation == incarnation &&
            !strcmp(c->owner, agent))
            wp_copy_drop(c);
    }
    wp_witness_settled(e, agent, incarnation, upto);
}

bool wp_copy_is_gone(const WPEntry *e, const char *id, uint64_t incarnation)
{
    const WPMemberRow *row = wp_members_get(wp_node_members(e->node), id);
    return !row || row->m->gone || row->m->incarnation != incarnation;
}

/* Bills of agents that are gone or were replaced will not be written by them
   any more; a paused one that does so all the same is folded with ours. */
void wp_entry_take_over(WPEntry *e, WPTime now)
{
    if (e->off[WP_GUARD_TAKEOVER])
        return;
    wp_list_each_safe (it, tmp, &e->copies) {
        WPBillCopy *c = wp_list_item(it, WPBillCopy, link);
        bool drop = false;
        if (!wp_copy_is_gone(e, c->owner, c->incarnation))
            continue;
        if (wp_witness_is_due(e, now, c, &drop)) {
            add_own(e, now, c->bill);
            wp_count(wp_node_counters(e->node), WP_C_BILLS_TAKEN);
            wp_events_add(wp_node_events(e->node), now, WP_EVENT_BILLED,
                          c->bill->request_id, "taken over from %s", c->owner);
            drop = true;
        }
        if (drop)
            wp_copy_drop(c);
    }
}
