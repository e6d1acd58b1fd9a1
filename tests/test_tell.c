/* How all entries spread when all boxes of a fleet start together, in virtual
 * time: who is told by whom, how soon all know, and what the busiest link
 * bears. */
#include "test.h"
#include "wp_full_sync_limit.h"

enum {
    ZONES = 5,
    SEEDS = 3,           /* boxes that all are told to reach first; they read */
    SEED_READY_MS = 300, /* the store */
    TICK_MS = 50,        /* of each box: it asks, and tells that it knows */
    FAR_MS = 600,        /* after word of whom to ask, those who gave it */
    SLOW_MS = 1500,      /* after no answer */
    LINK_BYTES_PER_MS = 2500, /* 20 Mbit/s */
    PART_EACH = 16,           /* bytes of one box, packed */
    LONGEST_MS = 10000
};

typedef struct Box {
    unsigned zone;
    bool knows;      /* all entries */
    int64_t met_ms;  /* when it knows the boxes of its zone; 0: never */
    int64_t asks_ms; /* no question before that */
    int64_t far_ms;  /* none to a seed */
    int64_t told_ms; /* when the answer is in; 0: none is on its way */
    int64_t link_ms; /* its own link is free again */
    uint64_t sent;
    WPFullSyncLimit tell;
} Box;

typedef struct World {
    GRand *rand;
    Box *boxes;
    unsigned n;
    size_t all_bytes, part_bytes;
    int64_t now_ms;
    bool bounded; /* a box tells so much at a time; else all that ask */
} World;

typedef struct Result {
    int64_t all_ms;           /* until all know */
    uint64_t busiest, middle; /* bytes sent */
} Result;

/* Puts bytes on a box's link; returns when they are through. */
static int64_t send_bytes(World *w, Box *from, size_t bytes)
{
    from->link_ms = MAX(from->link_ms, w->now_ms) +
                    (int64_t)(bytes / LINK_BYTES_PER_MS) + 1;
    from->sent += bytes;
    return from->link_ms;
}

static void answer(World *w, Box *from, Box *to)
{
    const WPTime now = { (w->now_ms + 1) * WP_US_PER_MS, 0 };
    if (!w->bounded ||
        wp_full_sync_limit_take(&from->tell, now, w->all_bytes)) {
        to->told_ms = send_bytes(w, from, w->all_bytes);
        to->asks_ms = w->now_ms + SLOW_MS;
        return;
    }
    to->met_ms = send_bytes(w, from, w->part_bytes);
    to->far_ms = w->now_ms + FAR_MS;
}

/* A box of its zone that knows, of those at growing distances that it is linked
   to; NULL: none does. */
static Box *near_one(World *w, unsigned i)
{
    unsigned zone_size = w->n / ZONES, place = i / ZONES;
    Box *found = NULL;
    for (unsigned step = 1; step < zone_size; step *= 2) {
        unsigned places[] = { (place + step) % zone_size,
                              (place + zone_size - step) % zone_size };
        for (unsigned k = 0; k < WP_COUNT(places); k++) {
            Box *b = &w->boxes[places[k] * ZONES + w->boxes[i].zone];
            if (b->knows && (!found || g_rand_boolean(w->rand)))
                found = b;
        }
    }
    return found;
}

static void act(World *w, unsigned i)
{
    Box *b = &w->boxes[i];
    if (b->told_ms && w->now_ms >= b->told_ms)
        b->knows = true;
    if (b->knows || w->now_ms < b->asks_ms)
        return;
    Box *seed = &w->boxes[i % SEEDS];
    bool met = b->met_ms && w->now_ms >= b->met_ms;
    Box *near = met ? near_one(w, i) : NULL;
    if (near)
        answer(w, near, b);
    else if (seed->knows && w->now_ms >= b->far_ms)
        answer(w, seed, b);
}

static bool all_know(const World *w)
{
    for (unsigned i = 0; i < w->n; i++)
        if (!w->boxes[i].knows)
            return false;
    return true;
}

static gint by_sent(gconstpointer a, gconstpointer b)
{
    const Box *x = a, *y = b;
    return (x->sent > y->sent) - (x->sent < y->sent);
}

static Result play(unsigned boxes, size_t all_bytes, bool bounded)
{
    World w = { .n = boxes,
                .all_bytes = all_bytes,
                .part_bytes = (size_t)boxes / ZONES * PART_EACH,
                .bounded = bounded };
    w.rand = g_rand_new_with_seed(boxes);
    w.boxes = g_new0(Box, boxes);
    for (unsigned i = 0; i < boxes; i++)
        w.boxes[i].zone = i % ZONES;
    for (; w.now_ms < LONGEST_MS && !all_know(&w); w.now_ms++)
        for (unsigned i = 0; i < boxes; i++) {
            if (i < SEEDS && w.now_ms >= SEED_READY_MS)
                w.boxes[i].knows = true;
            if ((w.now_ms + i) % TICK_MS == 0)
                act(&w, i);
        }
    Result r = { .all_ms = w.now_ms };
    qsort(w.boxes, boxes, sizeof(Box), by_sent);
    r.busiest = w.boxes[boxes - 1].sent;
    r.middle = w.boxes[boxes / 2].sent;
    g_free(w.boxes);
    g_rand_free(w.rand);
    return r;
}

/* 45 KB are a fleet's 1,005 entries, packed, with its configuration. */
static void a_fleet_and_twice_a_fleet(void **state)
{
    (void)state;
    Result one = play(385, 45 << 10, true), two = play(770, 90 << 10, true);
    Result had = play(385, 45 << 10, false);
    print_message("all know after %ld ms, busiest %lu KB; of twice as many %ld "
                  "ms, %lu KB; seeds alone %ld ms, %lu KB\n",
                  (long)one.all_ms, (gulong)one.busiest >> 10, (long)two.all_ms,
                  (gulong)two.busiest >> 10, (long)had.all_ms,
                  (gulong)had.busiest >> 10);
    assert_true(one.all_ms <= 1200);
    assert_true(two.all_ms <= 2000);
    assert_true(had.all_ms > 2 * one.all_ms);
}

static void the_first_answer_goes_out_whatever_its_size(void **state)
{
    (void)state;
    WPFullSyncLimit t = { 0 };
    WPTime now = { 1000000, 0 };
    assert_true(wp_full_sync_limit_take(&t, now, 10 << 20));
    assert_false(wp_full_sync_limit_take(&t, now, 1));
    now.mono_us += 11 * WP_US_PER_S;
    assert_true(wp_full_sync_limit_take(&t, now, 1));
}

static void what_the_link_has_carried_is_free_again(void **state)
{
    (void)state;
    WPFullSyncLimit t = { 0 };
    WPTime now = { 1000000, 0 };
    unsigned n = 0;
    for (unsigned ms = 0; ms < 1000; ms++) {
        now.mono_us += WP_US_PER_MS;
        while (wp_full_sync_limit_take(&t, now, 40 << 10))
            n++;
    }
    assert_true(n >= 30 && n <= 40);
}

TESTS_MAIN(T(a_fleet_and_twice_a_fleet),
           T(the_first_answer_goes_out_whatever_its_size),
           T(what_the_link_has_carried_is_free_again))
