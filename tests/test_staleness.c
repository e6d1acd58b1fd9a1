/* How soon boxes poll the store when every box that watches it has stopped
 * receiving changes without noticing it, in virtual time. */
#include "test.h"
#include "wp_staleness.h"

enum {
    ZONES = 3,
    ZONE_BOXES = 7,
    BOXES = ZONES * ZONE_BOXES,
    TICK_MS = 50,
    ANSWER_MS = 60, /* the store's connection and answer, and a tick */
    HOP_MS = 100    /* from a box to the others of its zone */
};

static WPTime at(int64_t ms)
{
    return (WPTime){ (1000 + ms) * WP_US_PER_MS, ms };
}

typedef struct Box {
    WPStaleness staleness;
    int64_t answer_ms; /* when the store's answer arrives; 0: the box has not
                          polled */
    int64_t known_ms;  /* when the box knows the change; 0: not yet */
} Box;

/* The box of rank 0 of each zone watches the store and receives nothing; the
   next `cut_off` ranks cannot reach the store either. A change is made right
   after the store's last answer. Returns when the last box knows the change,
   in milliseconds. */
static int64_t last_known_ms(uint32_t apply_ms, unsigned cut_off, uint32_t seed)
{
    Box boxes[BOXES] = { 0 };
    GRand *r = g_rand_new_with_seed(seed);
    int64_t last = 0;
    for (unsigned i = 0; i < BOXES; i++) {
        boxes[i].staleness.apply_ms = apply_ms;
        boxes[i].staleness.jitter = g_rand_double(r);
        wp_staleness_confirm(&boxes[i].staleness, at(0).mono_us);
    }
    g_rand_free(r);
    for (int64_t ms = 0; ms <= 2 * apply_ms; ms += TICK_MS)
        for (unsigned i = 0; i < BOXES; i++) {
            Box *b = &boxes[i];
            unsigned rank = i % ZONE_BOXES, zone = i / ZONE_BOXES;
            if (rank > cut_off && !b->answer_ms && !b->known_ms &&
                wp_staleness_poll_due(&b->staleness, at(ms), rank)) {
                wp_staleness_note_poll(&b->staleness, at(ms));
                b->answer_ms = ms + ANSWER_MS;
            }
            if (!b->answer_ms || ms < b->answer_ms || b->known_ms)
                continue;
            for (unsigned k = 0; k < ZONE_BOXES; k++) {
                Box *neighbor = &boxes[zone * ZONE_BOXES + k];
                int64_t received_ms = b->answer_ms + (k == rank ? 0 : HOP_MS);
                if (!neighbor->known_ms || received_ms < neighbor->known_ms)
                    neighbor->known_ms = received_ms;
            }
        }
    for (unsigned i = 0; i < BOXES; i++) {
        assert_true(boxes[i].known_ms > 0);
        last = MAX(last, boxes[i].known_ms);
    }
    return last;
}

static void a_change_spreads_in_time_although_all_watches_are_silent(void **st)
{
    (void)st;
    for (uint32_t seed = 1; seed <= 50; seed++)
        for (unsigned cut_off = 0; cut_off < 4; cut_off++) {
            assert_true(last_known_ms(2000, cut_off, seed) < 2000);
            assert_true(last_known_ms(3000, cut_off, seed) < 3000);
            assert_true(last_known_ms(4000, cut_off, seed) < 4000);
        }
}

/* In normal operation the watches of three zones confirm the store's state
   at least every 2.6 s; as `apply_ms` allows that, no other box polls. */
static void no_box_polls_while_watches_confirm(void **state)
{
    WPStaleness f = { .apply_ms = 4000 };
    (void)state;
    for (int64_t ms = 0; ms < 60000; ms += TICK_MS) {
        if (ms % 2600 == 0)
            wp_staleness_confirm(&f, at(ms).mono_us);
        assert_false(wp_staleness_poll_due(&f, at(ms), 1));
    }
}

/* A store that does not answer is polled with a back-off: 10 to 25 times in
   20 s. */
static void polls_back_off(void **state)
{
    WPStaleness f = { .apply_ms = 2000 };
    unsigned polls = 0;
    (void)state;
    for (int64_t ms = 0; ms < 20000; ms += TICK_MS)
        if (wp_staleness_poll_due(&f, at(ms), 0)) {
            wp_staleness_note_poll(&f, at(ms));
            polls++;
        }
    assert_true(polls >= 10 && polls <= 25);
}

/* An older confirmation never replaces a newer one. */
static void a_confirmation_does_not_go_back(void **state)
{
    WPStaleness f = { .apply_ms = 2000 };
    (void)state;
    wp_staleness_confirm(&f, at(5000).mono_us);
    wp_staleness_confirm(&f, at(100).mono_us);
    assert_false(wp_staleness_poll_due(&f, at(5500), 0));
}

/* Changes that another box has count only once this box has received them
   too. */
static void staleness_counts_from_the_last_complete_sync(void **state)
{
    WPStaleness f = { .apply_ms = 2000 };
    (void)state;
    assert_int_equal(wp_staleness_ms(&f, at(1000)), -1);
    wp_staleness_note_synced(&f, 10, 10, at(1000).mono_us);
    /* The local copy lacks two revisions. */
    wp_staleness_note_synced(&f, 12, 10, at(2000).mono_us);
    assert_int_equal(wp_staleness_ms(&f, at(3000)), 2000);
    wp_staleness_note_synced(&f, 15, 11, at(2500).mono_us);
    assert_int_equal(wp_staleness_ms(&f, at(3000)), 2000);
    /* The missing revisions have arrived. */
    wp_staleness_note_synced(&f, 0, 15, 0);
    assert_int_equal(wp_staleness_ms(&f, at(3000)), 500);
}

/* Boxes send each other the age of the store's last answer while no watch
   receives anything. The age that arrives must include the message's time on
   the way. It once lacked it, so with each hop the confirmation became
   younger: no box of 33 polled the store for 2.9 s while most saw ages of 0
   to 150 ms, and a revoked key was served for 27 ms beyond the 3 s allowed. */
static void a_relayed_confirmation_ages(void **state)
{
    enum {
        BOXES_IN_RING = 33,
        GOSSIP_MS = 50,
        TRANSIT_MS = 45,
        SILENT_MS = 3000
    };
    WPStaleness f[BOXES_IN_RING] = { 0 };
    (void)state;
    for (unsigned i = 0; i < BOXES_IN_RING; i++)
        wp_staleness_confirm(&f[i], at(0).mono_us);
    for (int64_t ms = GOSSIP_MS; ms <= SILENT_MS; ms += GOSSIP_MS)
        for (unsigned i = 0; i < BOXES_IN_RING; i++) {
            int64_t age_us = at(ms - TRANSIT_MS).mono_us - f[i].confirmed_us;
            uint32_t age_ms = (uint32_t)(MAX(age_us, 0) / WP_US_PER_MS);
            wp_staleness_confirm(
                &f[(i + 1) % BOXES_IN_RING],
                wp_staleness_peer_confirmed_us(at(ms), age_ms));
        }
    for (unsigned i = 0; i < BOXES_IN_RING; i++)
        assert_true(at(SILENT_MS).mono_us - f[i].confirmed_us >=
                    (int64_t)SILENT_MS * WP_US_PER_MS);
}

/* A starting box reads the store soon if it reaches no other box, and
   otherwise leaves that to others: 300 boxes that read 3,000 entries each,
   50 per call, exceed the store's rate limit. */
static void a_starting_box_waits_for_linked_boxes(void **state)
{
    (void)state;
    WPStaleness f = { .jitter = 0.5 };
    uint32_t alone = wp_staleness_start_wait_ms(&f, false, false);
    uint32_t reaches = wp_staleness_start_wait_ms(&f, false, true);
    assert_in_range(alone, 200, 700);
    assert_in_range(reaches, 1500, 3000);
    assert_true(wp_staleness_start_wait_ms(&f, true, true) > reaches);
}

TESTS_MAIN(T(a_starting_box_waits_for_linked_boxes),
           T(a_relayed_confirmation_ages),
           T(staleness_counts_from_the_last_complete_sync),
           T(a_change_spreads_in_time_although_all_watches_are_silent),
           T(no_box_polls_while_watches_confirm), T(polls_back_off),
           T(a_confirmation_does_not_go_back))
