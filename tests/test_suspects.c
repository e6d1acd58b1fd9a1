/* Requests under which endpoints have ended: what counts against them, what
 * clears them, and how many endpoints one of them ends at 3, 30 and 300 boxes.
 */
#include "direct_fake.h"

#include <stdio.h>

enum { BAD = 7, GOOD = 8, OTHER = 9 };

static WPTime at_ms(int64_t ms)
{
    return (WPTime){ 1000000000 + ms * WP_US_PER_MS, 1700000000000 + ms };
}

static int64_t us_at(int64_t ms)
{
    return at_ms(ms).mono_us;
}

static unsigned ended(WPSuspects *s, int64_t ms, uint64_t request,
                      uint64_t life, uint64_t version, int64_t sent_us)
{
    const WPSuspectAttempt r = { request, life, version, sent_us, 0 };
    return wp_suspects_record_crash(s, at_ms(ms), &r);
}

static void three_lives_keep_a_request_out_but_for_one_more_try(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t life = 1; life <= 3; life++) {
        assert_int_equal(wp_suspects_admit(s, at_ms(0), BAD, 1),
                         WP_SUSPECT_ADMITTED);
        assert_int_equal(ended(s, 10, BAD, life, 1, us_at(0)), life);
    }
    assert_false(wp_suspects_may_retry(s, at_ms(10), BAD));
    assert_int_equal(wp_suspects_admit(s, at_ms(20), BAD, 1),
                     WP_SUSPECT_ADMITTED);
    wp_suspects_attempt_started(s, at_ms(20), BAD);
    /* While it runs no other copy does. */
    assert_int_equal(wp_suspects_admit(s, at_ms(30), BAD, 1),
                     WP_SUSPECT_IN_FLIGHT);
    wp_suspects_attempt_ended(s, BAD);
    ended(s, 40, BAD, 4, 1, us_at(20));
    assert_int_equal(wp_suspects_admit(s, at_ms(50), BAD, 1),
                     WP_SUSPECT_QUARANTINED);
    /* Hours later as well; another version is a reason to try. */
    wp_suspects_expire(s, at_ms(7200000));
    assert_int_equal(wp_suspects_admit(s, at_ms(7200000), BAD, 1),
                     WP_SUSPECT_QUARANTINED);
    assert_int_equal(wp_suspects_admit(s, at_ms(7200000), BAD, 2),
                     WP_SUSPECT_ADMITTED);
    assert_int_equal(wp_suspects_admit(s, at_ms(7200000), GOOD, 1),
                     WP_SUSPECT_ADMITTED);
    wp_suspects_free(s);
}

static void three_tries_are_all_there_is(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t life = 1; life <= 3; life++)
        ended(s, 0, BAD, life, 1, us_at(0));
    for (uint64_t version = 2; version <= 4; version++) {
        assert_int_equal(wp_suspects_admit(s, at_ms(0), BAD, version),
                         WP_SUSPECT_ADMITTED);
        wp_suspects_attempt_started(s, at_ms(0), BAD);
        wp_suspects_attempt_ended(s, BAD);
        ended(s, 0, BAD, 10 + version, version, us_at(0));
    }
    assert_int_equal(wp_suspects_admit(s, at_ms(0), BAD, 5),
                     WP_SUSPECT_QUARANTINED);
    /* An operator's order is another reason. */
    assert_true(wp_suspects_release(s, at_ms(0), BAD));
    assert_int_equal(wp_suspects_admit(s, at_ms(0), BAD, 1),
                     WP_SUSPECT_ADMITTED);
    wp_suspects_free(s);
}

static void a_whole_answer_clears(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t life = 1; life <= 3; life++)
        ended(s, 0, GOOD, life, 1, us_at(0));
    assert_true(wp_suspects_completed(s, at_ms(100), GOOD));
    assert_int_equal(wp_suspects_crash_count(s, GOOD), 0);
    /* Late news of what has been cleared changes nothing. */
    ended(s, 110, GOOD, 2, 1, us_at(0));
    assert_int_equal(wp_suspects_crash_count(s, GOOD), 0);
    /* One that lately ended whole runs on, in many copies. */
    ended(s, 120, GOOD, 4, 1, us_at(0));
    wp_suspects_attempt_started(s, at_ms(120), GOOD);
    assert_int_equal(wp_suspects_admit(s, at_ms(130), GOOD, 1),
                     WP_SUSPECT_ADMITTED);
    wp_suspects_free(s);
}

static void an_endpoint_that_answers_has_not_ended(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    ended(s, 10, GOOD, 1, 1, us_at(0));
    /* Answers that were on their way tell nothing. */
    wp_suspects_endpoint_alive(s, at_ms(12), 1, us_at(5));
    assert_int_equal(wp_suspects_crash_count(s, GOOD), 1);
    wp_suspects_endpoint_alive(s, at_ms(30), 1, us_at(20));
    assert_int_equal(wp_suspects_crash_count(s, GOOD), 0);
    /* Nor does what answers under its id when it may have started again. */
    ended(s, 40, BAD, 2, 1, us_at(35));
    wp_suspects_endpoint_alive(s, at_ms(2000), 2, us_at(1900));
    assert_int_equal(wp_suspects_crash_count(s, BAD), 1);
    wp_suspects_free(s);
}

static void what_was_sent_to_an_endpoint_that_is_gone_is_innocent(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    ended(s, 10, BAD, 1, 1, us_at(0));
    assert_int_equal(ended(s, 20, GOOD, 1, 1, us_at(15)), 0);
    wp_suspects_free(s);
}

/* All that `from` has to tell, as it goes over the wire. */
static bool pass(WPSuspects *from, WPSuspects *to, WPTime now)
{
    static WPSuspect list[WP_SUSPECTS_PER_MESSAGE];
    size_t n = wp_suspects_take_unsent(from, list, WP_SUSPECTS_PER_MESSAGE);
    bool is_new = false;
    for (size_t i = 0; i < n; i++) {
        WPSuspectBuffers room;
        Wp__Suspect m;
        wp_suspect_encode(&list[i], now, &room, &m);
        is_new |= wp_suspects_merge(to, now, &m);
    }
    return is_new;
}

static void boxes_tell_each_other_and_cease(void **state)
{
    WPSuspects *a = wp_suspects_new(1), *b = wp_suspects_new(2);
    (void)state;
    ended(a, 0, BAD, 1, 1, us_at(0));
    wp_suspects_attempt_started(a, at_ms(0), BAD);
    assert_true(pass(a, b, at_ms(1)));
    wp_suspects_attempt_ended(a, BAD);
    assert_int_equal(wp_suspects_crash_count(b, BAD), 1);
    assert_int_equal(wp_suspects_admit(b, at_ms(2), BAD, 1),
                     WP_SUSPECT_IN_FLIGHT);
    assert_false(wp_suspects_may_retry(b, at_ms(2), BAD));
    assert_false(pass(b, a, at_ms(3)));
    assert_false(wp_suspects_any_unsent(a));
    assert_false(wp_suspects_any_unsent(b));
    /* A box that has gone does not hold a request up for ever. */
    assert_int_equal(wp_suspects_admit(b, at_ms(2000), BAD, 1),
                     WP_SUSPECT_ADMITTED);
    assert_true(wp_suspects_completed(b, at_ms(2100), BAD));
    assert_true(pass(b, a, at_ms(2101)));
    assert_int_equal(wp_suspects_crash_count(a, BAD), 0);
    wp_suspects_free(a);
    wp_suspects_free(b);
}

/* A stream that had run for seconds each time is not kept out by three. */
static void long_runs_tell_half_as_much(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t life = 1; life <= 5; life++) {
        const WPSuspectAttempt r = { GOOD, life, 1, us_at(0), us_at(100) };
        assert_int_equal(wp_suspects_record_crash(s, at_ms(1500), &r),
                         life / 2);
    }
    assert_int_equal(wp_suspects_admit(s, at_ms(1600), GOOD, 1),
                     WP_SUSPECT_ADMITTED);
    wp_suspects_free(s);
}

/* A box that is killed while it tries learns nothing; the next one tries. */
static void a_try_without_an_end_is_not_the_last(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t life = 1; life <= 3; life++)
        ended(s, 0, GOOD, life, 1, us_at(0));
    for (int i = 0; i < 3; i++) {
        assert_int_equal(wp_suspects_admit(s, at_ms(10), GOOD, 1),
                         WP_SUSPECT_ADMITTED);
        wp_suspects_attempt_started(s, at_ms(10), GOOD);
        wp_suspects_attempt_ended(s, GOOD);
    }
    assert_int_equal(wp_suspects_admit(s, at_ms(10), GOOD, 1),
                     WP_SUSPECT_QUARANTINED);
    wp_suspects_free(s);
}

static void many_different_ones_push_out_the_least(void **state)
{
    WPSuspects *s = wp_suspects_new(1);
    (void)state;
    for (uint64_t life = 1; life <= 3; life++)
        ended(s, 0, BAD, life, 1, us_at(0));
    for (uint64_t i = 0; i < 5000; i++)
        ended(s, 1, 1000 + i, 100 + i, 1, us_at(0));
    assert_int_equal(wp_suspects_crash_count(s, BAD), 3);
    wp_suspects_free(s);
}

static void a_better_answer_is_not_asked_of_what_may_crash(void **state)
{
    Fake k;
    WPMove m;
    const WPDirectAnswer poor = fake_answer(200, 5);
    (void)state;
    fake_init(&k);
    fake_put(&k, "l3", "llm", "v1", false);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    for (int i = 0; i < 2; i++) {
        assert_int_equal(m.kind, WP_MOVE_SEND);
        wp_flow_lost(f, k.now, WP_LOSS_SILENT, &m);
    }
    assert_int_equal(m.kind, WP_MOVE_SEND);
    wp_flow_answer(f, k.now, &poor, &m);
    assert_int_equal(m.kind, WP_MOVE_PASS);
    wp_flow_done(f, k.now, 0);
    wp_flow_free(f);
    fake_end(&k);
}

/* The play: boxes that pass news on along links, endpoints that end and are
   back, one caller that repeats a request that ends them, and others. */
enum {
    ENDPOINTS = 40,
    PLAY_MS = 12000,
    REPEAT_MS = 100,
    OTHERS_EACH_MS = 4,
    OTHER_RUNS_MS = 300,
    CRASH_LEAST_MS = 50,
    CRASH_MOST_MS = 300,
    BACK_MS = 2000,
    GONE_MS = 1200,
    LINKS = 8,
    RUNS = 4096,
    SEEDS = 4,
    REST_MS = 8000 /* the second half without events */
};

typedef struct Run {
    WPFlow *flow; /* NULL: free */
    unsigned box;
    char at[16]; /* the endpoint's id */
    int64_t end_ms;
    bool bad;
} Run;

typedef struct News {
    int64_t at_ms;
    unsigned to;
    WPSuspect told;
} News;

typedef struct Place {
    char id[16];
    int64_t back_ms, gone_ms; /* 0: it is up; it is listed no more */
    unsigned lives;
} Place;

typedef struct Play {
    Fake *boxes;
    unsigned n_boxes;
    Place places[ENDPOINTS];
    Run runs[RUNS];
    GArray *news;
    GRand *rand;
    int64_t ms;
    unsigned ended, others, served;
} Play;

static void list_everywhere(Play *p, const char *id, bool there)
{
    for (unsigned i = 0; i < p->n_boxes; i++) {
        Fake *k = &p->boxes[i];
        if (there)
            fake_put(k, id, "many", "v1", false);
        else
            wp_fleet_remove(k->d.fleet, at_ms(p->ms), id, false);
    }
}

static Place *place_of(Play *p, const char *id)
{
    for (unsigned i = 0; i < ENDPOINTS; i++)
        if (!p->places[i].back_ms && !strcmp(p->places[i].id, id))
            return &p->places[i];
    return NULL;
}

static void end_run(Play *p, Run *r, bool served)
{
    wp_flow_free(r->flow);
    r->flow = NULL;
    if (r->bad)
        return;
    p->others++;
    p->served += served;
}

static void carry_out(Play *p, Run *r, WPMove *m);

/* The leg goes to its endpoint, or finds nobody there. */
static void send(Play *p, Run *r, WPMove *m)
{
    g_strlcpy(r->at, m->replica->id, sizeof(r->at));
    if (!place_of(p, r->at)) {
        wp_flow_lost(r->flow, at_ms(p->ms), WP_LOSS_UNSENT, m);
        carry_out(p, r, m);
        return;
    }
    int ms = r->bad ? g_rand_int_range(p->rand, CRASH_LEAST_MS, CRASH_MOST_MS)
                    : OTHER_RUNS_MS;
    r->end_ms = p->ms + ms;
}

static void carry_out(Play *p, Run *r, WPMove *m)
{
    if (m->kind == WP_MOVE_SEND)
        send(p, r, m);
    else
        end_run(p, r, false);
}

static void ask(Play *p, bool bad)
{
    Run *r = p->runs;
    while (r->flow)
        r++;
    assert_true(r < p->runs + RUNS);
    r->box = (unsigned)g_rand_int_range(p->rand, 0, (gint32)p->n_boxes);
    r->bad = bad;
    g_autofree char *id = g_strdup_printf("r%u", p->others);
    const WPDirectAsk ask = { .id = wp_str(id),
                              .host = wp_str("h.example"),
                              .path = wp_str("/many/x"),
                              .key = wp_str("key-1"),
                              .content = bad ? BAD : 100 + g_rand_int(p->rand),
                              .deadline_ms = 10000 };
    WPMove m;
    r->flow = wp_flow_begin(&p->boxes[r->box].d, at_ms(p->ms), &ask, &m);
    carry_out(p, r, &m);
}

static void crash(Play *p, const char *at)
{
    Place *place = place_of(p, at);
    char id[16];
    g_strlcpy(id, at, sizeof(id));
    if (!place)
        return;
    place->back_ms = p->ms + BACK_MS;
    place->gone_ms = p->ms + GONE_MS;
    p->ended++;
    for (Run *r = p->runs; r < p->runs + RUNS; r++) {
        WPMove m;
        if (!r->flow || strcmp(r->at, id))
            continue;
        wp_flow_lost(r->flow, at_ms(p->ms), WP_LOSS_SILENT, &m);
        carry_out(p, r, &m);
    }
}

static void end_due(Play *p)
{
    for (Run *r = p->runs; r < p->runs + RUNS; r++) {
        if (!r->flow || p->ms < r->end_ms)
            continue;
        if (r->bad) {
            crash(p, r->at);
            continue;
        }
        const WPDirectAnswer a = fake_answer(200, -1);
        WPMove m;
        wp_flow_answer(r->flow, at_ms(p->ms), &a, &m);
        wp_flow_done(r->flow, at_ms(p->ms), 0);
        end_run(p, r, true);
    }
}

static void care_for_places(Play *p)
{
    for (Place *e = p->places; e < p->places + ENDPOINTS; e++) {
        if (e->gone_ms && p->ms >= e->gone_ms) {
            list_everywhere(p, e->id, false);
            e->gone_ms = 0;
        }
        if (!e->back_ms || p->ms < e->back_ms)
            continue;
        e->back_ms = 0;
        g_snprintf(e->id, sizeof(e->id), "e%u.%u", (unsigned)(e - p->places),
                   ++e->lives);
        list_everywhere(p, e->id, true);
    }
}

/* Along a ring and at distances that double, 1 to 30 ms away. */
static void tell(Play *p, unsigned from)
{
    static WPSuspect list[WP_SUSPECTS_PER_MESSAGE];
    size_t n = wp_suspects_take_unsent(p->boxes[from].d.suspects, list,
                                       WP_SUSPECTS_PER_MESSAGE);
    for (unsigned hop = 0; hop < LINKS; hop++) {
        unsigned far = 1u << hop;
        if (far >= p->n_boxes)
            return;
        for (size_t i = 0; i < n; i++) {
            News w = { p->ms + g_rand_int_range(p->rand, 1, 30),
                       (from + far) % p->n_boxes, list[i] };
            g_array_append_val(p->news, w);
            w.to = (from + p->n_boxes - far) % p->n_boxes;
            g_array_append_val(p->news, w);
        }
    }
}

static void deliver(Play *p)
{
    for (guint i = 0; i < p->news->len;) {
        News w = g_array_index(p->news, News, i);
        WPSuspectBuffers room;
        Wp__Suspect m;
        if (w.at_ms > p->ms) {
            i++;
            continue;
        }
        g_array_remove_index_fast(p->news, i);
        wp_suspect_encode(&w.told, at_ms(p->ms), &room, &m);
        wp_suspects_merge(p->boxes[w.to].d.suspects, at_ms(p->ms), &m);
    }
}

/* Boxes take each other's word back and forth: whatever happens, news comes to
   rest once nothing happens. It went round for ever at a hundred boxes where a
   request that many callers send lost answers by resets: 300 MB in each. */
static void news_comes_to_rest(void **state)
{
    Play *p = g_new0(Play, 1);
    (void)state;
    p->n_boxes = 20;
    p->rand = g_rand_new_with_seed(1);
    p->news = g_array_new(FALSE, FALSE, sizeof(News));
    p->boxes = g_new0(Fake, p->n_boxes);
    for (unsigned i = 0; i < p->n_boxes; i++)
        p->boxes[i].d.suspects = wp_suspects_new(i + 1);
    unsigned told = 0;
    for (p->ms = 1; p->ms < REST_MS; p->ms++) {
        unsigned box = (unsigned)g_rand_int_range(p->rand, 0, p->n_boxes);
        WPSuspects *s = p->boxes[box].d.suspects;
        uint64_t life = 1 + g_rand_int(p->rand) % 50;
        uint64_t request = 1 + g_rand_int(p->rand) % 3;
        if (p->ms < REST_MS / 2 && p->ms % 7 == 0)
            ended(s, p->ms, request, life, 1, us_at(p->ms - 1));
        if (p->ms < REST_MS / 2 && p->ms % 11 == 0)
            wp_suspects_endpoint_alive(s, at_ms(p->ms), life, us_at(p->ms));
        if (p->ms < REST_MS / 2 && p->ms % 101 == 0)
            wp_suspects_completed(s, at_ms(p->ms), request);
        if (p->ms < REST_MS / 2 && p->ms % 13 == 0)
            wp_suspects_attempt_started(s, at_ms(p->ms), request);
        if (p->ms < REST_MS / 2 && p->ms % 17 == 0)
            wp_suspects_attempt_ended(s, request);
        deliver(p);
        for (unsigned i = 0; i < p->n_boxes; i++)
            if (wp_suspects_any_unsent(p->boxes[i].d.suspects)) {
                tell(p, i);
                told += p->ms > REST_MS * 3 / 4;
            }
    }
    assert_int_equal(told, 0);
    for (unsigned i = 0; i < p->n_boxes; i++)
        wp_suspects_free(p->boxes[i].d.suspects);
    g_array_unref(p->news);
    g_rand_free(p->rand);
    g_free(p->boxes);
    g_free(p);
}

static void add_route(Fake *k)
{
    WPRoutes *t = fake_routes(2);
    wp_routes_add_service(t, "many");
    WPRoute *many = wp_routes_add(t, "many", "h.example", "/many/");
    many->retry_policy = WP_RETRY_SAFE;
    many->max_attempts = 3;
    many->timeout_ms = 10000;
    wp_route_add_target(t, many, "many", 1);
    wp_direct_routes(&k->d, t);
}

static void play(unsigned n_boxes, unsigned seed)
{
    Play *p = g_new0(Play, 1);
    p->n_boxes = n_boxes;
    p->rand = g_rand_new_with_seed(seed);
    p->news = g_array_new(FALSE, FALSE, sizeof(News));
    p->boxes = g_new0(Fake, n_boxes);
    for (unsigned i = 0; i < n_boxes; i++) {
        fake_init(&p->boxes[i]);
        p->boxes[i].now = at_ms(0);
        wp_suspects_free(p->boxes[i].d.suspects);
        p->boxes[i].d.suspects = wp_suspects_new(i + 1);
        add_route(&p->boxes[i]);
    }
    for (unsigned i = 0; i < ENDPOINTS; i++) {
        g_snprintf(p->places[i].id, sizeof(p->places[i].id), "e%u.0", i);
        list_everywhere(p, p->places[i].id, true);
    }
    for (p->ms = 1; p->ms < PLAY_MS; p->ms++) {
        if (p->ms % REPEAT_MS == 0)
            ask(p, true);
        if (p->ms % OTHERS_EACH_MS == 0)
            ask(p, false);
        end_due(p);
        care_for_places(p);
        deliver(p);
        for (unsigned i = 0; i < n_boxes; i++)
            if (wp_suspects_any_unsent(p->boxes[i].d.suspects))
                tell(p, i);
    }
    printf("%u boxes: %u endpoints ended, %u of %u others served\n", n_boxes,
           p->ended, p->served, p->others);
    for (Run *r = p->runs; r < p->runs + RUNS; r++) {
        if (r->flow)
            wp_flow_left(r->flow, at_ms(p->ms));
        wp_flow_free(r->flow);
    }
    for (unsigned i = 0; i < n_boxes; i++)
        fake_end(&p->boxes[i]);
    assert_in_range(p->ended, 3, 5);
    assert_true(p->served >= 0.98 * p->others);
    g_array_unref(p->news);
    g_rand_free(p->rand);
    g_free(p->boxes);
    g_free(p);
}

static void one_request_ends_few_endpoints_at_any_size(void **state)
{
    static const unsigned sizes[] = { 1, 3, 30, 100, 300 };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(sizes); i++)
        for (unsigned seed = 1; seed <= SEEDS; seed++)
            play(sizes[i], seed);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(three_lives_keep_a_request_out_but_for_one_more_try),
        cmocka_unit_test(three_tries_are_all_there_is),
        cmocka_unit_test(a_whole_answer_clears),
        cmocka_unit_test(an_endpoint_that_answers_has_not_ended),
        cmocka_unit_test(what_was_sent_to_an_endpoint_that_is_gone_is_innocent),
        cmocka_unit_test(boxes_tell_each_other_and_cease),
        cmocka_unit_test(long_runs_tell_half_as_much),
        cmocka_unit_test(a_try_without_an_end_is_not_the_last),
        cmocka_unit_test(many_different_ones_push_out_the_least),
        cmocka_unit_test(a_better_answer_is_not_asked_of_what_may_crash),
        cmocka_unit_test(news_comes_to_rest),
        cmocka_unit_test(one_request_ends_few_endpoints_at_any_size),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
