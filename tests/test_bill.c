/* Batches of bills written to a store that loses answers, and the merging of
 * duplicate bills into charges. */
#include "test.h"
#include "wp_bill.h"

static Wp__Bill bill(const char *id, unsigned attempt, unsigned step,
                     bool complete)
{
    Wp__Bill b = WP__BILL__INIT;
    b.request_id = (char *)id;
    b.workspace = (char *)"w";
    b.kind = (char *)"k";
    b.version = (char *)"v";
    b.leg = attempt;
    b.has_step = 1;
    b.step = step;
    b.has_whole = 1;
    b.whole = complete;
    b.answer_tokens = 5;
    return b;
}

static WPTime at(int64_t ms)
{
    return (WPTime){ ms * WP_US_PER_MS, ms };
}

static void a_lost_answer_is_resolved_by_reading_back(void **state)
{
    WPBills *b = wp_bills_new("a1", 1, 100, 10);
    Wp__Bill one = bill("r1", 1, 0, true);
    (void)state;
    assert_int_equal(wp_bills_add(b, at(0), &one), 1);
    assert_null(wp_bills_next_batch(b, at(50), false));
    const WPBillBatch *batch = wp_bills_next_batch(b, at(100), false);
    assert_non_null(batch);
    g_autofree char *key = g_strdup(batch->key);
    g_autoptr(GByteArray) value = g_byte_array_ref(batch->value);
    assert_null(
        wp_bills_next_batch(b, at(100), false)); /* one batch at a time */
    wp_bills_batch_written(b, at(110), WP_BILL_FAILED, NULL, 0);
    assert_int_equal(wp_bills_settled(b), 0);
    assert_null(wp_bills_next_batch(b, at(120), false));
    batch = wp_bills_next_batch(b, at(10000), false);
    assert_string_equal(batch->key, key);
    assert_memory_equal(batch->value->data, value->data, value->len);
    wp_bills_batch_written(b, at(10010), WP_BILL_EXISTS, value->data,
                           value->len);
    assert_int_equal(wp_bills_settled(b), 1);
    assert_int_equal(wp_bills_pending(b), 0);
    wp_bills_free(b);
}

/* If the key of a batch already holds other bytes, the same bills are
   written under the next number. */
static void another_writers_batch_is_not_overwritten(void **state)
{
    WPBills *b = wp_bills_new("a1", 1, 100, 10);
    Wp__Bill one = bill("r1", 1, 0, true);
    (void)state;
    wp_bills_add(b, at(0), &one);
    const WPBillBatch *batch = wp_bills_next_batch(b, at(100), false);
    g_autofree char *key = g_strdup(batch->key);
    wp_bills_batch_written(b, at(110), WP_BILL_EXISTS, (const uint8_t *)"x", 1);
    batch = wp_bills_next_batch(b, at(10000), false);
    assert_string_not_equal(batch->key, key);
    wp_bills_batch_written(b, at(10010), WP_BILL_CREATED, NULL, 0);
    assert_int_equal(wp_bills_settled(b), 1);
    wp_bills_free(b);
}

static void pending_bills_are_bounded(void **state)
{
    WPBills *b = wp_bills_new("a1", 1, 100, 3);
    Wp__Bill one = bill("r1", 1, 0, true);
    (void)state;
    for (int i = 0; i < 3; i++) {
        assert_false(wp_bills_full(b));
        wp_bills_add(b, at(0), &one);
    }
    assert_true(wp_bills_full(b));
    wp_bills_free(b);
}

/* The more writers there are, the less often each one writes: 50 writes a
   second in all. */
static void write_interval_grows_with_writers(void **state)
{
    WPBills *b = wp_bills_new("a1", 1, 500, 1000);
    Wp__Bill one = bill("r1", 1, 0, true);
    (void)state;
    wp_bills_set_writers(b, 10000);
    wp_bills_add(b, at(0), &one);
    assert_null(wp_bills_next_batch(b, at(199999), false));
    assert_non_null(wp_bills_next_batch(b, at(200000), false));
    wp_bills_free(b);
}

typedef struct ChargeCounts {
    unsigned charges, complete, bills;
} ChargeCounts;

static void count_charge(void *arg, const WPCharge *c)
{
    ChargeCounts *s = arg;
    s->charges++;
    s->complete += c->bill->whole;
    s->bills += c->occurrences;
}

static void a_request_is_charged_once(void **state)
{
    /* r1: bills of both agent and entry; r2: two attempts, the first
       incomplete; r3: a second attempt by escalation. */
    Wp__Bill rows[] = { bill("r1", 1, 0, true),  bill("r1", 1, 0, false),
                        bill("r2", 1, 0, false), bill("r2", 2, 0, true),
                        bill("r3", 1, 0, true),  bill("r3", 2, 1, true) };
    (void)state;
    /* The bills may arrive in any order. */
    for (unsigned start = 0; start < WP_COUNT(rows); start++) {
        WPCharges *c = wp_charges_new();
        ChargeCounts seen = { 0 };
        for (unsigned i = 0; i < WP_COUNT(rows); i++) {
            Wp__Bill *one = &rows[(start + i) % WP_COUNT(rows)];
            Wp__BillBatch batch = WP__BILL_BATCH__INIT;
            batch.owner = (char *)"x";
            batch.n_bills = 1;
            batch.bills = &one;
            wp_charges_add(c, &batch);
        }
        wp_charges_each(c, count_charge, &seen);
        assert_int_equal(seen.charges, 4);
        assert_int_equal(seen.complete, 4);
        assert_int_equal(seen.bills, 6);
        wp_charges_free(c);
    }
}

TESTS_MAIN(T(a_lost_answer_is_resolved_by_reading_back),
           T(another_writers_batch_is_not_overwritten),
           T(pending_bills_are_bounded), T(write_interval_grows_with_writers),
           T(a_request_is_charged_once))
