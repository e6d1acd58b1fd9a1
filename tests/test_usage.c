/* Usage counts by window and workspace, and how boxes exchange them. */
#include "direct_fake.h"
#include "wp_usage.h"

enum { WINDOW_MS = 5000, KEEP_MS = 20000 };
#define START_MS 1700000000000 /* start of a window */

static WPTime at(int64_t ms)
{
    return (WPTime){ ms * WP_US_PER_MS, START_MS + ms };
}

static WPUsage *usage(uint64_t incarnation)
{
    WPUsage *u = wp_usage_new(incarnation, WINDOW_MS, KEEP_MS);
    wp_usage_start_clock(u, at(0));
    return u;
}

static void merge_count(void *arg, const WPUsageCount *c)
{
    wp_usage_merge(arg, c);
}

static void append_sum(void *arg, const WPUsageCount *c)
{
    g_string_append_printf(arg, "%s=%u ", c->workspace, c->count);
}

static char *sums(const WPUsage *u, uint64_t window)
{
    GString *s = g_string_new(NULL);
    wp_usage_each_sum(u, window, append_sum, s);
    return g_string_free(s, FALSE);
}

static void assert_sums(const WPUsage *u, uint64_t window, const char *expected)
{
    g_autofree char *actual = sums(u, window);
    assert_string_equal(actual, expected);
}

static void counts_by_window(void **state)
{
    (void)state;
    WPUsage *u = usage(1);
    uint64_t first = wp_usage_window(u, START_MS);
    wp_usage_count_request(u, at(10).mono_us, "acme");
    wp_usage_count_request(u, at(4999).mono_us, "acme");
    wp_usage_count_request(u, at(5000).mono_us, "zoo");
    assert_sums(u, first, "acme=2 ");
    assert_sums(u, first + 1, "zoo=1 ");
    wp_usage_free(u);
}

/* Updates that are lost, repeated or late do not change the sums. */
static void the_highest_count_wins(void **state)
{
    (void)state;
    WPUsage *a = usage(1), *b = usage(2);
    uint64_t first = wp_usage_window(a, START_MS);
    wp_usage_count_request(a, at(10).mono_us, "acme");
    wp_usage_take_unsent(a, merge_count, b);
    wp_usage_count_request(a, at(20).mono_us, "acme");
    assert_true(wp_usage_has_unsent(a));
    wp_usage_take_unsent(a, merge_count, b);
    assert_false(wp_usage_has_unsent(a));
    wp_usage_mark_all_unsent(a);
    wp_usage_take_unsent(a, merge_count, b);
    const WPUsageCount late = { 1, first, "acme", 1, false };
    assert_false(wp_usage_merge(b, &late));
    wp_usage_count_request(b, at(30).mono_us, "acme");
    assert_sums(b, first, "acme=3 ");
    wp_usage_free(a);
    wp_usage_free(b);
}

static void old_windows_expire(void **state)
{
    (void)state;
    WPUsage *u = usage(1);
    wp_usage_count_request(u, at(10).mono_us, "acme");
    wp_usage_tick(u, at(KEEP_MS));
    assert_int_equal(wp_usage_rows(u), 1);
    wp_usage_tick(u, at(KEEP_MS + WINDOW_MS));
    assert_int_equal(wp_usage_rows(u), 0);
    assert_false(wp_usage_has_unsent(u));
    wp_usage_free(u);
}

/* A box whose wall clock is 20 s ahead counts into the same windows as the
   others, and does not shift the windows of boxes whose clocks are right. */
static void clocks_follow_the_median(void **state)
{
    (void)state;
    WPUsage *u = usage(1), *wrong = wp_usage_new(2, WINDOW_MS, KEEP_MS);
    WPTime ahead = at(100);
    ahead.wall_ms += 20000;
    wp_usage_start_clock(wrong, ahead);
    for (uint64_t box = 10; box < 13; box++) {
        wp_usage_observe_clock(u, at(100), box, START_MS + 100);
        wp_usage_observe_clock(wrong, at(100), box, START_MS + 100);
    }
    wp_usage_observe_clock(u, at(100), 2,
                           wp_usage_local_clock_ms(wrong, at(100).mono_us));
    assert_int_equal(wp_usage_clock_ms(u, at(200).mono_us), START_MS + 200);
    assert_int_equal(wp_usage_clock_ms(wrong, at(200).mono_us), START_MS + 200);
    assert_int_equal(wp_usage_local_clock_ms(wrong, at(200).mono_us),
                     START_MS + 20200);
    wp_usage_free(u);
    wp_usage_free(wrong);
}

static unsigned count_of_acme(const WPUsage *u, const Fake *k)
{
    int64_t clock_ms = wp_usage_clock_ms(u, k->now.mono_us);
    g_autofree char *text = sums(u, wp_usage_window(u, clock_ms));
    return *text ? (unsigned)atoi(text + strlen("acme=")) : 0;
}

/* A request whose answer is not good enough is sent to a second endpoint but
   counts once. The platform counted 665 requests where 849 attempts were
   reported. */
static void a_request_counts_once(void **state)
{
    (void)state;
    Fake k;
    WPFlowAction m;
    WPHeadChanges changes;
    fake_init(&k);
    WPUsage *u = wp_usage_new(1, WINDOW_MS, KEEP_MS);
    wp_usage_start_clock(u, k.now);
    k.d.usage = u;
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    WPDirectAnswer refusal = fake_answer(503, -1);
    refusal.not_run = true;
    wp_flow_on_head(f, k.now, &refusal, &changes);
    wp_flow_on_answer(f, k.now, &refusal, &m);
    assert_int_equal(count_of_acme(u, &k), 0);
    WPDirectAnswer poor = fake_answer(200, 0);
    wp_flow_on_head(f, k.now, &poor, &changes);
    k.now.mono_us += 1000;
    wp_flow_on_answer(f, k.now, &poor, &m);
    assert_int_equal(m.reason, WP_ATTEMPT_ESCALATE);
    WPDirectAnswer good = fake_answer(200, 99);
    wp_flow_on_head(f, k.now, &good, &changes);
    assert_int_equal(count_of_acme(u, &k), 1);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
    wp_usage_free(u);
}

TESTS_MAIN(T(counts_by_window), T(the_highest_count_wins),
           T(old_windows_expire), T(clocks_follow_the_median),
           T(a_request_counts_once))
