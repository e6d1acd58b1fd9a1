/* Batches of bills, and charges formed from them. */
#include "wp_bill.h"
#include "wp_pb.h"

#include <stdio.h>

/* Writes of bills per second from all boxes together: half of what the store
   takes; the rest is for operators and roll-outs. */
#define FLEET_WRITES_PER_S 50

/* How long a failed write is not repeated: at first, and at the most. */
#define RETRY_US (500 * WP_US_PER_MS)
#define RETRY_MAX_US (10 * WP_US_PER_S)

struct WPBills {
    char *owner;
    uint64_t incarnation, next_seq, next_number, settled, batch_last_seq;
    int64_t interval_us, min_interval_us, due_us, retry_us;
    uint32_t limit;
    GQueue pending; /* of Wp__Bill */
    WPBillBatch batch;
    unsigned batch_count;
    bool in_flight, no_retry;
};

WPBills *wp_bills_new(const char *owner, uint64_t incarnation,
                      uint32_t batch_ms, uint32_t limit)
{
    WPBills *b = g_new0(WPBills, 1);
    b->owner = g_strdup(owner);
    b->incarnation = incarnation;
    b->min_interval_us = (int64_t)batch_ms * WP_US_PER_MS;
    b->interval_us = b->min_interval_us;
    b->retry_us = RETRY_US;
    b->limit = limit;
    g_queue_init(&b->pending);
    return b;
}

static void clear_batch(WPBills *b)
{
    g_clear_pointer(&b->batch.key, g_free);
    g_clear_pointer(&b->batch.value, g_byte_array_unref);
}

void wp_bills_free(WPBills *b)
{
    if (!b)
        return;
    clear_batch(b);
    g_queue_clear_full(&b->pending, wp_pb_free);
    g_free(b->owner);
    g_free(b);
}

uint64_t wp_bills_add(WPBills *b, WPTime now, const Wp__Bill *bill)
{
    Wp__Bill *copy = wp_pb_copy(&bill->base);
    copy->has_seq = 1;
    copy->seq = ++b->next_seq;
    if (g_queue_is_empty(&b->pending) && !b->batch.key)
        b->due_us = MAX(b->due_us, now.mono_us + b->interval_us);
    g_queue_push_tail(&b->pending, copy);
    return b->next_seq;
}

bool wp_bills_full(const WPBills *b)
{
    return b->pending.length + b->batch_count >= b->limit;
}

unsigned wp_bills_pending(const WPBills *b)
{
    return b->pending.length + b->batch_count;
}

uint64_t wp_bills_settled(const WPBills *b)
{
    return b->settled;
}

void wp_bills_set_no_retry(WPBills *b)
{
    b->no_retry = true;
}

void wp_bills_set_writers(WPBills *b, unsigned writers)
{
    int64_t share = (int64_t)writers * WP_US_PER_S / FLEET_WRITES_PER_S;
    b->interval_us = MAX(b->min_interval_us, share);
}

/* Moves up to WP_BILL_BATCH_MAX pending bills into the next batch, with its key
   and serialized value. There must be a pending bill. */
static void make_batch(WPBills *b)
{
    Wp__BillBatch m = WP__BILL_BATCH__INIT;
    g_autofree Wp__Bill **bills = g_new0(Wp__Bill *, WP_BILL_BATCH_MAX);
    while (m.n_bills < WP_BILL_BATCH_MAX && !g_queue_is_empty(&b->pending))
        bills[m.n_bills++] = g_queue_pop_head(&b->pending);
    m.owner = b->owner;
    m.incarnation = b->incarnation;
    m.number = ++b->next_number;
    m.bills = bills;
    b->batch_last_seq = bills[m.n_bills - 1]->seq;
    b->batch_count = (unsigned)m.n_bills;
    b->batch.key =
        g_strdup_printf(WP_BILL_PREFIX "%s/%016lx/%08lx", b->owner,
                        (unsigned long)b->incarnation, (unsigned long)m.number);
    b->batch.value = wp_pb_pack(&m.base);
    for (size_t i = 0; i < m.n_bills; i++)
        wp_pb_free(bills[i]);
}

const WPBillBatch *wp_bills_next_batch(WPBills *b, WPTime now, bool at_once)
{
    bool due = at_once ? !b->batch.key || now.mono_us >= b->due_us
                       : now.mono_us >= b->due_us;
    if (b->in_flight || !due)
        return NULL;
    if (!b->batch.key) {
        if (g_queue_is_empty(&b->pending))
            return NULL;
        make_batch(b);
    }
    b->in_flight = true;
    return &b->batch;
}

void wp_bills_batch_written(WPBills *b, WPTime now, WPBillWriteResult result,
                            const uint8_t *found, size_t size)
{
    b->in_flight = false;
    bool same = result == WP_BILL_EXISTS && size == b->batch.value->len &&
                !memcmp(found, b->batch.value->data, size);
    if (result == WP_BILL_CREATED || same || b->no_retry) {
        b->settled = b->batch_last_seq;
        b->batch_count = 0;
        b->retry_us = RETRY_US;
        b->due_us = now.mono_us + b->interval_us;
        clear_batch(b);
        return;
    }
    /* Another process with this id and incarnation has written a batch of
       this number: use the next number. */
    if (result == WP_BILL_EXISTS) {
        char *slash = strrchr(b->batch.key, '/');
        snprintf(slash + 1, 9, "%08lx", (unsigned long)++b->next_number);
    }
    b->due_us = now.mono_us + b->retry_us;
    b->retry_us = MIN(2 * b->retry_us, RETRY_MAX_US);
}

struct WPCharges {
    GHashTable *by_key; /* "request/step" -> WPCharge */
};

static void free_charge(gpointer p)
{
    WPCharge *c = p;
    wp_pb_free(c->bill);
    g_free(c);
}

WPCharges *wp_charges_new(void)
{
    WPCharges *c = g_new0(WPCharges, 1);
    c->by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_charge);
    return c;
}

void wp_charges_free(WPCharges *c)
{
    if (!c)
        return;
    g_hash_table_unref(c->by_key);
    g_free(c);
}

/* Whether, of two bills of one step, `a` is charged rather than `b`: that of a
   complete answer first, then that of the later attempt, then that with more
   answer tokens. A bill that an entry makes in place of a lost agent comes
   last, as the entry knows less than the agent did. */
static bool is_preferred(const Wp__Bill *a, const Wp__Bill *b)
{
    if (a->whole != b->whole)
        return a->whole;
    if (a->leg != b->leg)
        return a->leg > b->leg;
    return a->answer_tokens > b->answer_tokens;
}

void wp_charges_add(WPCharges *c, const Wp__BillBatch *batch)
{
    for (size_t i = 0; i < batch->n_bills; i++) {
        const Wp__Bill *bill = batch->bills[i];
        char *key = g_strdup_printf("%s/%u", bill->request_id, bill->step);
        WPCharge *charge = g_hash_table_lookup(c->by_key, key);
        if (!charge) {
            charge = g_new0(WPCharge, 1);
            g_strlcpy(charge->request_id, bill->request_id,
                      sizeof(charge->request_id));
            charge->step = bill->step;
            g_hash_table_insert(c->by_key, g_steal_pointer(&key), charge);
        }
        g_free(key);
        charge->occurrences++;
        if (charge->bill && !is_preferred(bill, charge->bill))
            continue;
        wp_pb_free(charge->bill);
        charge->bill = wp_pb_copy(&bill->base);
    }
}

void wp_charges_each(const WPCharges *c, void (*fn)(void *, const WPCharge *),
                     void *arg)
{
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, c->by_key);
    while (g_hash_table_iter_next(&it, NULL, &value))
        fn(arg, value);
}
