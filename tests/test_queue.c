/* Admission at one endpoint: priority classes, fairness between workspaces,
 * early refusal. */
#include "test.h"
#include "wp_queue.h"

#define SERVICE_US 100000

typedef struct Item {
    WPTicket t;
    unsigned n;
} Item;

static Item *item(const char *ws, double weight, unsigned rank,
                  int64_t deadline_us)
{
    Item *i = g_new0(Item, 1);
    g_strlcpy(i->t.workspace, ws, sizeof(i->t.workspace));
    i->t.weight = weight;
    i->t.class_rank = rank;
    i->t.deadline_us = deadline_us;
    return i;
}

static WPAdmit offer(WPQueue *q, int64_t now, Item *i, WPCode *code)
{
    WPTicket *evicted;
    WPAdmit a = wp_queue_offer(q, now, &i->t, code, &evicted);
    if (evicted)
        g_free(wp_list_item(evicted, Item, t));
    if (a == WP_ADMIT_REFUSE)
        g_free(i);
    return a;
}

/* Ten workspaces at three times the capacity, one of which sends as much as
   all others together: slots are shared by weight. */
static void a_large_workspace_cannot_starve_the_others(void **state)
{
    WPQueue *q = wp_queue_new(4, 32);
    unsigned served[10] = { 0 }, offered[10] = { 0 };
    GQueue running = G_QUEUE_INIT;
    GRand *r = g_rand_new_with_seed(3);
    (void)state;
    for (int64_t now = 0; now < 60000000; now += 8000) {
        Item *done = g_queue_peek_head(&running);
        WPCode code;
        while (done && now - done->t.started_us >= SERVICE_US) {
            g_queue_pop_head(&running);
            served[done->n]++;
            wp_queue_remove(q, now, &done->t, true);
            g_free(done);
            WPTicket *next = wp_queue_start_next(q, now);
            if (next)
                g_queue_push_tail(&running, wp_list_item(next, Item, t));
            done = g_queue_peek_head(&running);
        }
        unsigned w = g_rand_boolean(r) ? 0 : 1 + g_rand_int(r) % 9;
        char name[8];
        g_snprintf(name, sizeof(name), "w%u", w);
        Item *i = item(name, 1, 1, now + 5000000);
        i->n = w;
        offered[w]++;
        if (offer(q, now, i, &code) == WP_ADMIT_RUN)
            g_queue_push_tail(&running, i);
    }
    unsigned total = 0, min = UINT32_MAX, max = 0;
    for (int i = 0; i < 10; i++) {
        total += served[i];
        min = MIN(min, served[i]);
        max = MAX(max, served[i]);
    }
    /* The capacity is 4 slots of 0.1 s each, for 60 s. */
    assert_in_range(total, 2200, 2400);
    /* Workspaces of equal weight get nearly equal shares. */
    assert_true(min * 10 >= max * 7);
    assert_true(offered[0] > 5 * offered[1]);
    Item *left;
    int64_t end = 60000000 + SERVICE_US;
    while ((left = g_queue_pop_head(&running))) {
        wp_queue_remove(q, end, &left->t, true);
        g_free(left);
        WPTicket *next = wp_queue_start_next(q, end);
        if (next)
            g_queue_push_tail(&running, wp_list_item(next, Item, t));
    }
    g_rand_free(r);
    wp_queue_free(q);
}

static void higher_classes_run_first_and_evict(void **state)
{
    WPQueue *q = wp_queue_new(1, 2);
    WPCode code;
    WPTicket *evicted;
    (void)state;
    Item *a = item("w", 1, 2, INT64_MAX);
    assert_int_equal(offer(q, 0, a, &code), WP_ADMIT_RUN);
    Item *plan = item("w", 1, 2, INT64_MAX),
         *plan2 = item("w", 1, 2, INT64_MAX);
    assert_int_equal(offer(q, 0, plan, &code), WP_ADMIT_WAIT);
    assert_int_equal(offer(q, 0, plan2, &code), WP_ADMIT_WAIT);
    Item *ping = item("w", 1, 0, INT64_MAX);
    assert_int_equal(wp_queue_offer(q, 0, &ping->t, &code, &evicted),
                     WP_ADMIT_WAIT);
    assert_ptr_equal(evicted, &plan2->t);
    g_free(plan2);
    /* No request of a lower class is left that could be evicted for another
       plan. */
    assert_int_equal(offer(q, 0, item("w", 1, 2, INT64_MAX), &code),
                     WP_ADMIT_REFUSE);
    assert_int_equal(code, WP_OVERLOADED);
    wp_queue_remove(q, 10, &a->t, true);
    assert_ptr_equal(wp_queue_start_next(q, 10), &ping->t);
    assert_null(wp_queue_start_next(q, 10));
    wp_queue_remove(q, 20, &ping->t, true);
    assert_ptr_equal(wp_queue_start_next(q, 20), &plan->t);
    wp_queue_remove(q, 30, &plan->t, true);
    g_free(a);
    g_free(ping);
    g_free(plan);
    wp_queue_free(q);
}

static void a_request_that_cannot_finish_is_refused_at_once(void **state)
{
    WPQueue *q = wp_queue_new(1, 10);
    WPCode code;
    (void)state;
    Item *a = item("w", 1, 1, INT64_MAX);
    assert_int_equal(offer(q, 0, a, &code), WP_ADMIT_RUN);
    assert_int_equal(offer(q, 0, item("w", 1, 1, SERVICE_US), &code),
                     WP_ADMIT_REFUSE);
    assert_int_equal(code, WP_LATE);
    assert_true(wp_queue_retry_ms(q, 1) >= 50);
    Item *b = item("w", 1, 1, 3 * SERVICE_US);
    assert_int_equal(offer(q, 0, b, &code), WP_ADMIT_WAIT);
    assert_null(wp_queue_pop_late(q, SERVICE_US));
    assert_ptr_equal(wp_queue_pop_late(q, 3 * SERVICE_US), &b->t);
    assert_int_equal(wp_queue_waiting(q), 0);
    g_free(b);
    wp_queue_remove(q, 5, &a->t, true);
    g_free(a);
    wp_queue_free(q);
}

TESTS_MAIN(T(a_large_workspace_cannot_starve_the_others),
           T(higher_classes_run_first_and_evict),
           T(a_request_that_cannot_finish_is_refused_at_once))
