/* Batches of bills against a store that loses answers, and their folding. */
#include "test.h"
#include "wp_bill.h"

static Wp__Bill bill(const char *id, unsigned leg, unsigned step, bool whole)
{
    Wp__Bill b = WP__BILL__INIT;
    b.request_id = (char *)id;
    b.workspace = (char *)"w";
    b.kind = (char *)"k";
    b.version = (char *)"v";
    b.leg = leg;
    b.has_step = 1;
    b.step = step;
    b.has_whole = 1;
    b.whole = whole;
    b.answer_tokens = 5;
    return b;
}

static WPTime at(int64_t ms)
{
    return (WPTime){ ms * WP_US_PER_MS, ms };
}

static void a_lost_answer_is_settled_by_reading(void **state)
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
    assert_null(wp_bills_next_batch(b, at(100), false)); /* one at a time */
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

/* The number is taken by other bytes: the same bills go under the next. */
static void another_writers_batch_is_left_alone(void **state)
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

static void the_bound_is_kept(void **state)
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

/* With more writers each writes less often: 50 writes a second in all. */
static void batches_stretch_with_the_fleet(void **state)
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

typedef struct Seen {
    unsigned charges, whole, seen;
} Seen;

static void see(void *arg, const WPCharge *c)
{
    Seen *s = arg;
    s->charges++;
    s->whole += c->bill->whole;
    s->seen += c->occurrences;
}

static void a_request_is_charged_once(void **state)
{
    /* Agent and entry both wrote r1; r2 was tried twice; r3 escalated. */
    Wp__Bill rows[] = { bill("r1", 1, 0, true),  bill("r1", 1, 0, false),
                        bill("r2", 1, 0, false), bill("r2", 2, 0, true),
                        bill("r3", 1, 0, true),  bill("r3", 2, 1, true) };
    (void)state;
    /* In any order of arrival. */
    for (unsigned start = 0; start < WP_COUNT(rows); start++) {
        WPCharges *c = wp_charges_new();
        Seen seen = { 0 };
        for (unsigned i = 0; i < WP_COUNT(rows); i++) {
            Wp__Bill *one = &rows[(start + i) % WP_COUNT(rows)];
            Wp__BillBatch batch = WP__BILL_BATCH__INIT;
            batch.owner = (char *)"x";
            batch.n_bills = 1;
            batch.bills = &one;
            wp_charges_add(c, &batch);
        }
        wp_charges_each(c, see, &seen);
        assert_int_equal(seen.charges, 4);
        assert_int_equal(seen.whole, 4);
        assert_int_equal(seen.seen, 6);
        wp_charges_free(c);
    }
}

TESTS_MAIN(T(a_lost_answer_is_settled_by_reading),
           T(another_writers_batch_is_left_alone), T(the_bound_is_kept),
           T(batches_stretch_with_the_fleet), T(a_request_is_charged_once))
