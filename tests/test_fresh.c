/* How soon boxes ask the store when every box that watches it has fallen
 * silent, in virtual time. */
#include "test.h"
#include "wp_staleness.h"

enum {
    ZONES = 3,
    ZONE_BOXES = 7,
    BOXES = ZONES * ZONE_BOXES,
    TICK_MS = 50,
    ANSWER_MS = 60, /* connection and answer of the store, and a tick */
    HOP_MS = 100    /* to the other boxes of the zone */
};

static WPTime at(int64_t ms)
{
    return (WPTime){ (1000 + ms) * WP_US_PER_MS, ms };
}

typedef struct Box {
    WPStaleness fresh;
    int64_t answer_ms; /* when the store's answer comes; 0: none is awaited */
    int64_t knows_ms;  /* when it knows of the change; 0: not yet */
} Box;

/* The box of rank 0 of each zone watches and is silent; so are `cut` more. A
   change is made right after the last word. Returns when the last box that may
   reach the store or a fellow knows of it. */
static int64_t spread(uint32_t apply_ms, unsigned cut, uint32_t seed)
{
    Box boxes[BOXES] = { 0 };
    GRand *r = g_rand_new_with_seed(seed);
    int64_t last = 0;
    for (unsigned i = 0; i < BOXES; i++) {
        boxes[i].fresh.apply_ms = apply_ms;
        boxes[i].fresh.jitter = g_rand_double(r);
        wp_staleness_confirm(&boxes[i].fresh, at(0).mono_us);
    }
    g_rand_free(r);
    for (int64_t ms = 0; ms <= 2 * apply_ms; ms += TICK_MS)
        for (unsigned i = 0; i < BOXES; i++) {
            Box *b = &boxes[i];
            unsigned rank = i % ZONE_BOXES, zone = i / ZONE_BOXES;
            if (rank > cut && !b->answer_ms && !b->knows_ms &&
                wp_staleness_poll_due(&b->fresh, at(ms), rank)) {
                wp_staleness_note_poll(&b->fresh, at(ms));
                b->answer_ms = ms + ANSWER_MS;
            }
            if (!b->answer_ms || ms < b->answer_ms || b->knows_ms)
                continue;
            for (unsigned k = 0; k < ZONE_BOXES; k++) {
                Box *fellow = &boxes[zone * ZONE_BOXES + k];
                int64_t told = b->answer_ms + (k == rank ? 0 : HOP_MS);
                if (!fellow->knows_ms || told < fellow->knows_ms)
                    fellow->knows_ms = told;
            }
        }
    for (unsigned i = 0; i < BOXES; i++) {
        assert_true(boxes[i].knows_ms > 0);
        last = MAX(last, boxes[i].knows_ms);
    }
    return last;
}

static void a_change_is_known_in_time_though_all_watchers_are_silent(void **st)
{
    (void)st;
    for (uint32_t seed = 1; seed <= 50; seed++)
        for (unsigned cut = 0; cut < 4; cut++) {
            assert_true(spread(2000, cut, seed) < 2000);
            assert_true(spread(3000, cut, seed) < 3000);
            assert_true(spread(4000, cut, seed) < 4000);
        }
}

/* In calm the watches of three zones bring word every 2.6 s at the latest;
   where the bound allows it, nobody else asks. */
static void nobody_asks_while_word_comes(void **state)
{
    WPStaleness f = { .apply_ms = 4000 };
    (void)state;
    for (int64_t ms = 0; ms < 60000; ms += TICK_MS) {
        if (ms % 2600 == 0)
            wp_staleness_confirm(&f, at(ms).mono_us);
        assert_false(wp_staleness_poll_due(&f, at(ms), 1));
    }
}

/* A store that does not answer is not asked without pause. */
static void questions_keep_a_pause(void **state)
{
    WPStaleness f = { .apply_ms = 2000 };
    unsigned asked = 0;
    (void)state;
    for (int64_t ms = 0; ms < 20000; ms += TICK_MS)
        if (wp_staleness_poll_due(&f, at(ms), 0)) {
            wp_staleness_note_poll(&f, at(ms));
            asked++;
        }
    assert_true(asked >= 10 && asked <= 25);
}

/* An older word never replaces a newer one. */
static void word_does_not_grow_older(void **state)
{
    WPStaleness f = { .apply_ms = 2000 };
    (void)state;
    wp_staleness_confirm(&f, at(5000).mono_us);
    wp_staleness_confirm(&f, at(100).mono_us);
    assert_false(wp_staleness_poll_due(&f, at(5500), 0));
}

/* What others know counts when this box has caught up with them. */
static void what_is_known_is_as_old_as_the_last_full_word(void **state)
{
    WPStaleness f = { .apply_ms = 2000 };
    (void)state;
    assert_int_equal(wp_staleness_ms(&f, at(1000)), -1);
    wp_staleness_note_synced(&f, 10, 10, at(1000).mono_us);
    wp_staleness_note_synced(&f, 12, 10,
                             at(2000).mono_us); /* it lacks two changes */
    assert_int_equal(wp_staleness_ms(&f, at(3000)), 2000);
    wp_staleness_note_synced(&f, 15, 11, at(2500).mono_us);
    assert_int_equal(wp_staleness_ms(&f, at(3000)), 2000);
    wp_staleness_note_synced(&f, 0, 15, 0); /* the delta has come */
    assert_int_equal(wp_staleness_ms(&f, at(3000)), 500);
}

/* Boxes tell each other the store's word while every one that watches it is
   silent. What was seen: a key was served 27 ms beyond the 3 s in which it was
   to be gone, as no box of 33 asked the store for 2.9 s: each told the others
   an age that lacked its time on the way, so that the word grew younger by that
   with each box that it passed. Evidence: ages of 0 to 150 ms at most boxes
   meanwhile. */
static void a_word_that_goes_round_grows_old(void **state)
{
    enum { RING = 33, TELL_MS = 50, WAY_MS = 45, SILENT_MS = 3000 };
    WPStaleness f[RING] = { 0 };
    (void)state;
    for (unsigned i = 0; i < RING; i++)
        wp_staleness_confirm(&f[i], at(0).mono_us);
    for (int64_t ms = TELL_MS; ms <= SILENT_MS; ms += TELL_MS)
        for (unsigned i = 0; i < RING; i++) {
            int64_t age_us = at(ms - WAY_MS).mono_us - f[i].confirmed_us;
            uint32_t age_ms = (uint32_t)(MAX(age_us, 0) / WP_US_PER_MS);
            wp_staleness_confirm(
                &f[(i + 1) % RING],
                wp_staleness_peer_confirmed_us(at(ms), age_ms));
        }
    for (unsigned i = 0; i < RING; i++)
        assert_true(at(SILENT_MS).mono_us - f[i].confirmed_us >=
                    (int64_t)SILENT_MS * WP_US_PER_MS);
}

/* A box that starts again reads the store soon where it reaches nobody, and
   leaves it to others where it does: 300 that read 3,000 entries each, 50 a
   call, exceed what the store allows. */
static void a_start_waits_for_others_that_it_reaches(void **state)
{
    (void)state;
    WPStaleness f = { .jitter = 0.5 };
    uint32_t alone = wp_staleness_start_wait_ms(&f, false, false);
    uint32_t reaches = wp_staleness_start_wait_ms(&f, false, true);
    assert_in_range(alone, 200, 700);
    assert_in_range(reaches, 1500, 3000);
    assert_true(wp_staleness_start_wait_ms(&f, true, true) > reaches);
}

TESTS_MAIN(T(a_start_waits_for_others_that_it_reaches),
           T(a_word_that_goes_round_grows_old),
           T(what_is_known_is_as_old_as_the_last_full_word),
           T(a_change_is_known_in_time_though_all_watchers_are_silent),
           T(nobody_asks_while_word_comes), T(questions_keep_a_pause),
           T(word_does_not_grow_older))
