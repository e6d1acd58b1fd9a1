/* How all store entries spread when all boxes of a fleet start together, in
 * virtual time: how soon every box has them, and how much the busiest box
 * sends. */
#include "test.h"
#include "wp_full_sync_limit.h"

enum {
    ZONES = 5,
    SEEDS = 3, /* boxes that every box connects to first; they read the store */
    SEED_READY_MS = 300, /* when the seeds have done so */
    TICK_MS = 50,        /* interval at which a box requests the entries */
    SEED_RETRY_MS = 600, /* from an answer that names other boxes until the box
                            asks a seed again */
    RETRY_MS = 1500, /* from a request to the next, unless all entries arrive */
    LINK_BYTES_PER_MS = 2500, /* 20 Mbit/s */
    LISTED_BOX_BYTES = 16,    /* compressed bytes per box in a list of boxes */
    MAX_MS = 10000
};

typedef struct Box {
    unsigned zone;
    bool complete;     /* has all entries */
    int64_t listed_ms; /* when the box knows the others of its zone; 0: never */
    int64_t next_request_ms;      /* no request before this time */
    int64_t next_seed_request_ms; /* no request to a seed before this time */
    int64_t arrival_ms;   /* when all entries arrive; 0: none are on the way */
    int64_t link_free_ms; /* when the box's link is free */
    uint64_t sent;
    WPFullSyncLimit limit;
} Box;

typedef struct Sim {
    GRand *rand;
    Box *boxes;
    unsigned n;
    size_t all_bytes, list_bytes;
    int64_t now_ms;
    bool limited; /* boxes limit what they send; otherwise they send all entries
                     to every box that asks */
} Sim;

/* When all boxes had all entries, and the bytes that the busiest box and the
   median one sent. */
typedef struct Result {
    int64_t all_ms;
    uint64_t busiest, median;
} Result;

/* Sends bytes over a box's link; returns when they have arrived, in
   milliseconds. */
static int64_t send_bytes(Sim *w, Box *from, size_t bytes)
{
    from->link_free_ms = MAX(from->link_free_ms, w->now_ms) +
                         (int64_t)(bytes / LINK_BYTES_PER_MS) + 1;
    from->sent += bytes;
    return from->link_free_ms;
}

/* Answers a request of `to` for all entries: with these or, beyond the
   limit, with the boxes of its zone. */
static void answer(Sim *w, Box *from, Box *to)
{
    const WPTime now = { (w->now_ms + 1) * WP_US_PER_MS, 0 };
    if (!w->limited ||
        wp_full_sync_limit_take(&from->limit, now, w->all_bytes)) {
        to->arrival_ms = send_bytes(w, from, w->all_bytes);
        to->next_request_ms = w->now_ms + RETRY_MS;
        return;
    }
    to->listed_ms = send_bytes(w, from, w->list_bytes);
    to->next_seed_request_ms = w->now_ms + SEED_RETRY_MS;
}

/* Returns a box of the same zone that has all entries, among those at
   doubling distances that box `i` is linked to; NULL: there is none. */
static Box *find_local_source(Sim *w, unsigned i)
{
    unsigned zone_size = w->n / ZONES, place = i / ZONES;
    Box *found = NULL;
    for (unsigned step = 1; step < zone_size; step *= 2) {
        unsigned places[] = { (place + step) % zone_size,
                              (place + zone_size - step) % zone_size };
        for (unsigned k = 0; k < WP_COUNT(places); k++) {
            Box *b = &w->boxes[places[k] * ZONES + w->boxes[i].zone];
            if (b->complete && (!found || g_rand_boolean(w->rand)))
                found = b;
        }
    }
    return found;
}

/* Lets a box request the entries if it lacks them: from a box of its zone if
   possible, else from its seed. */
static void request_entries(Sim *w, unsigned i)
{
    Box *b = &w->boxes[i];
    if (b->arrival_ms && w->now_ms >= b->arrival_ms)
        b->complete = true;
    if (b->complete || w->now_ms < b->next_request_ms)
        return;
    Box *seed = &w->boxes[i % SEEDS];
    bool listed = b->listed_ms && w->now_ms >= b->listed_ms;
    Box *local = listed ? find_local_source(w, i) : NULL;
    if (local)
        answer(w, local, b);
    else if (seed->complete && w->now_ms >= b->next_seed_request_ms)
        answer(w, seed, b);
}

static bool all_complete(const Sim *w)
{
    for (unsigned i = 0; i < w->n; i++)
        if (!w->boxes[i].complete)
            return false;
    return true;
}

static gint by_sent(gconstpointer a, gconstpointer b)
{
    const Box *x = a, *y = b;
    return (x->sent > y->sent) - (x->sent < y->sent);
}

static Result simulate(unsigned boxes, size_t all_bytes, bool limited)
{
    Sim w = { .n = boxes,
              .all_bytes = all_bytes,
              .list_bytes = (size_t)boxes / ZONES * LISTED_BOX_BYTES,
              .limited = limited };
    w.rand = g_rand_new_with_seed(boxes);
    w.boxes = g_new0(Box, boxes);
    for (unsigned i = 0; i < boxes; i++)
        w.boxes[i].zone = i % ZONES;
    for (; w.now_ms < MAX_MS && !all_complete(&w); w.now_ms++)
        for (unsigned i = 0; i < boxes; i++) {
            if (i < SEEDS && w.now_ms >= SEED_READY_MS)
                w.boxes[i].complete = true;
            if ((w.now_ms + i) % TICK_MS == 0)
                request_entries(&w, i);
        }
    Result r = { .all_ms = w.now_ms };
    qsort(w.boxes, boxes, sizeof(Box), by_sent);
    r.busiest = w.boxes[boxes - 1].sent;
    r.median = w.boxes[boxes / 2].sent;
    g_free(w.boxes);
    g_rand_free(w.rand);
    return r;
}

/* 45 KB: the compressed 1,005 entries of a fleet and its configuration. */
static void entries_spread_in_a_fleet_and_in_one_twice_its_size(void **state)
{
    (void)state;
    Result one = simulate(385, 45 << 10, true),
           two = simulate(770, 90 << 10, true);
    Result unlimited = simulate(385, 45 << 10, false);
    print_message("all complete after %ld ms, busiest %lu KB; twice as many: "
                  "%ld ms, %lu KB; unlimited: %ld ms, %lu KB\n",
                  (long)one.all_ms, (gulong)one.busiest >> 10, (long)two.all_ms,
                  (gulong)two.busiest >> 10, (long)unlimited.all_ms,
                  (gulong)unlimited.busiest >> 10);
    assert_true(one.all_ms <= 1200);
    assert_true(two.all_ms <= 2000);
    assert_true(unlimited.all_ms > 2 * one.all_ms);
}

static void the_first_answer_may_have_any_size(void **state)
{
    (void)state;
    WPFullSyncLimit t = { 0 };
    WPTime now = { 1000000, 0 };
    assert_true(wp_full_sync_limit_take(&t, now, 10 << 20));
    assert_false(wp_full_sync_limit_take(&t, now, 1));
    now.mono_us += 11 * WP_US_PER_S;
    assert_true(wp_full_sync_limit_take(&t, now, 1));
}

static void sent_bytes_free_the_limit(void **state)
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

TESTS_MAIN(T(entries_spread_in_a_fleet_and_in_one_twice_its_size),
           T(the_first_answer_may_have_any_size), T(sent_bytes_free_the_limit))
