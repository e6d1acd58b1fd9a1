/* The steps of a request through the entry for every answer that an agent
 * can give. */
#include "entry_fake.h"

#define RULES                                                                  \
    "versions:\n"                                                              \
    "  - {name: cheap, cost_out: 1, quality_prior: 0.9, prior_weight: 100}\n"  \
    "  - {name: strong, cost_out: 10, quality_prior: 0.97, prior_weight: "     \
    "100}\n"                                                                   \
    "kinds:\n"                                                                 \
    "  - {name: tag, quality_target: 0.8}\n"                                   \
    "  - {name: plan, strict: true, quality_target: 0.9}\n"                    \
    "  - {name: ping, repeatable: false, quality_target: 0.8}\n"               \
    "  - {name: digest, cascade: true, quality_target: 0.93}\n"                \
    "workspaces: [{name: w}]\n"                                                \
    "selectors: [{name: s}]\n"

static char cheap[] = "cheap", strong[] = "strong";
static char *both_versions[] = { cheap, strong };

static EntryFake *with_agents(unsigned n)
{
    EntryFake *f = entry_fake_new(RULES, NULL);
    for (unsigned i = 0; i < n; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "a%u", i + 1);
        Wp__Member m = entry_fake_agent(id, i + 1, both_versions, 2);
        entry_fake_add_member(f, &m);
    }
    return f;
}

static Wp__End end_of(bool complete)
{
    static Wp__Usage usage;
    Wp__End e = WP__END__INIT;
    wp__usage__init(&usage);
    usage.answer_tokens = 5;
    e.usage = &usage;
    e.bill_seq = 7;
    e.has_whole = 1;
    e.whole = complete;
    return e;
}

static void the_cheapest_that_meets_the_target_answers(void **state)
{
    EntryFake *f = with_agents(2);
    WPEntryAction step;
    (void)state;
    WPRequest *r = entry_fake_begin(f, "tag", &step);
    assert_int_equal(step.kind, WP_ENTRY_SEND);
    assert_string_equal(r->version, "cheap");
    wp_request_free(r);
    r = entry_fake_begin(f, "plan", &step);
    assert_string_equal(r->version, "strong");
    wp_request_free(r);
    entry_fake_free(f);
}

/* It is unknown whether the first attempt ran, and the second is refused:
   the request must not be reported as not run, and has one bill. */
static void unknown_then_refused_is_unknown(void **state)
{
    EntryFake *f = with_agents(2);
    WPEntryAction step;
    (void)state;
    WPRequest *r = entry_fake_begin(f, "tag", &step);
    step = wp_entry_link_lost(f->entry, f->now, r, true);
    assert_int_equal(step.kind, WP_ENTRY_SEND);
    step = wp_entry_refused(f->entry, f->now, r, WP_OVERLOADED, WP_RAN_NOT_RUN,
                            100);
    assert_int_equal(step.kind, WP_ENTRY_FAIL);
    assert_int_equal(wp_code_info(step.code)->ran, WP_RAN_UNKNOWN);
    assert_int_equal(wp_bills_pending(wp_entry_bills(f->entry)), 1);
    wp_request_free(r);
    entry_fake_free(f);
}

static void a_non_repeatable_request_is_sent_once(void **state)
{
    EntryFake *f = with_agents(3);
    WPEntryAction step;
    (void)state;
    WPRequest *r = entry_fake_begin(f, "ping", &step);
    assert_int_equal(step.kind, WP_ENTRY_SEND);
    step = wp_entry_link_lost(f->entry, f->now, r, true);
    assert_int_equal(step.kind, WP_ENTRY_FAIL);
    assert_int_equal(step.code, WP_LINK_LOST);
    wp_request_free(r);
    /* If no byte of the Start was sent, the request certainly has not run. */
    r = entry_fake_begin(f, "ping", &step);
    while (step.kind == WP_ENTRY_SEND)
        step = wp_entry_link_lost(f->entry, f->now, r, false);
    assert_int_equal(step.code, WP_ENDPOINT_DOWN);
    assert_int_equal(wp_code_info(step.code)->ran, WP_RAN_NOT_RUN);
    wp_request_free(r);
    entry_fake_free(f);
}

/* The key owner drains, and its member record does not say so yet: the
   request waits for the next owner, for 3 s at most. If there is no agent at
   all, it is refused at once. */
static void a_request_waits_for_a_draining_key_owner(void **state)
{
    EntryFake *f = with_agents(1);
    WPEntryAction step;
    (void)state;
    wp_entry_endpoint(f->entry, "a1")->draining = true;
    WPRequest *r = entry_fake_begin(f, "ping", &step);
    assert_int_equal(step.kind, WP_ENTRY_RETRY_LATER);
    f->now.mono_us += 4 * WP_US_PER_S;
    step = wp_entry_retry(f->entry, f->now, r);
    assert_int_equal(step.kind, WP_ENTRY_FAIL);
    assert_int_equal(step.code, WP_NO_ENDPOINT);
    wp_request_free(r);
    entry_fake_free(f);
    f = with_agents(0);
    r = entry_fake_begin(f, "ping", &step);
    assert_int_equal(step.kind, WP_ENTRY_FAIL);
    wp_request_free(r);
    entry_fake_free(f);
}

static void a_started_answer_is_not_retried(void **state)
{
    EntryFake *f = with_agents(3);
    WPEntryAction step;
    (void)state;
    WPRequest *r = entry_fake_begin(f, "tag", &step);
    r->answer_started = true;
    step = wp_entry_link_lost(f->entry, f->now, r, true);
    assert_int_equal(step.kind, WP_ENTRY_FAIL);
    assert_int_equal(step.code, WP_LINK_LOST);
    wp_request_free(r);
    entry_fake_free(f);
}

/* When every agent refuses, attempts still stay within the retry budget: 1.1
   per request and 10 more. */
static void retries_keep_to_the_budget(void **state)
{
    EntryFake *f = with_agents(4);
    unsigned attempts = 0, requests = 2000;
    (void)state;
    for (unsigned i = 0; i < requests; i++) {
        WPEntryAction step;
        f->now.mono_us += 1000;
        WPRequest *r = entry_fake_begin(f, "tag", &step);
        while (step.kind == WP_ENTRY_SEND) {
            attempts++;
            step = wp_entry_refused(f->entry, f->now, r, WP_OVERLOADED,
                                    WP_RAN_NOT_RUN, 1);
        }
        assert_int_equal(step.kind, WP_ENTRY_FAIL);
        assert_true(step.retry_after_ms > 0);
        wp_request_free(r);
    }
    assert_true(attempts <= requests * 1.1 + 10);
    entry_fake_free(f);
}

/* An agent learns first that a version is withdrawn and refuses it; once the
   entry has learned it too, it sends the request to another version. */
static void a_refused_version_is_replaced(void **state)
{
    EntryFake *f = with_agents(2);
    WPEntryAction step;
    (void)state;
    WPRequest *r = entry_fake_begin(f, "tag", &step);
    assert_string_equal(r->version, "cheap");
    entry_fake_set_config(
        f,
        "versions:\n"
        "  - {name: cheap, cost_out: 1, withdrawn: true}\n"
        "  - {name: strong, cost_out: 10, quality_prior: 0.97}\n"
        "kinds: [{name: tag, quality_target: 0.8}]\n"
        "workspaces: [{name: w}]\nselectors: [{name: s}]\n",
        2);
    step = wp_entry_refused(f->entry, f->now, r, WP_VERSION_REFUSED,
                            WP_RAN_NOT_RUN, 0);
    assert_int_equal(step.kind, WP_ENTRY_SEND);
    assert_string_equal(r->version, "strong");
    wp_request_free(r);
    entry_fake_free(f);
}

static void a_cascade_escalates_only_after_a_failed_check(void **state)
{
    EntryFake *f = with_agents(2);
    WPEntryAction step;
    Wp__End end = end_of(true);
    (void)state;
    WPRequest *r = entry_fake_begin(f, "digest", &step);
    assert_string_equal(r->version, "cheap");
    assert_string_equal(r->escalation_version, "strong");
    step = wp_entry_ended(f->entry, f->now, r, &end);
    assert_int_equal(step.kind, WP_ENTRY_CHECK);
    step = wp_entry_checked(f->entry, f->now, r, false);
    assert_int_equal(step.kind, WP_ENTRY_SEND);
    assert_string_equal(r->version, "strong");
    assert_int_equal(r->step, 1);
    step = wp_entry_ended(f->entry, f->now, r, &end);
    assert_int_equal(step.kind, WP_ENTRY_DONE);
    wp_request_free(r);
    r = entry_fake_begin(f, "digest", &step);
    step = wp_entry_ended(f->entry, f->now, r, &end);
    step = wp_entry_checked(f->entry, f->now, r, true);
    assert_int_equal(step.kind, WP_ENTRY_DONE);
    wp_request_free(r);
    entry_fake_free(f);
}

static void an_aborted_answer_is_not_complete(void **state)
{
    EntryFake *f = with_agents(1);
    WPEntryAction step;
    Wp__End end = end_of(false);
    (void)state;
    WPRequest *r = entry_fake_begin(f, "plan", &step);
    step = wp_entry_ended(f->entry, f->now, r, &end);
    assert_int_equal(step.kind, WP_ENTRY_FAIL);
    assert_int_equal(wp_code_info(step.code)->ran, WP_RAN_UNKNOWN);
    /* The agent has made the bill, so the entry makes none. */
    assert_int_equal(wp_bills_pending(wp_entry_bills(f->entry)), 0);
    wp_request_free(r);
    entry_fake_free(f);
}

static void failing_endpoints_are_ejected_and_probed(void **state)
{
    EntryFake *f = with_agents(2);
    WPEndpoint *a1 = wp_entry_endpoint(f->entry, "a1");
    (void)state;
    for (int i = 0; i < 3; i++) {
        wp_endpoint_sent(a1, f->now.mono_us);
        wp_endpoint_ended(a1, false, 0, f->now.mono_us);
    }
    assert_false(wp_endpoint_usable(a1, f->now.mono_us));
    int64_t later = a1->ejected_until_us;
    assert_true(wp_endpoint_usable(a1, later));
    /* A single request probes the endpoint; no second one is sent meanwhile. */
    wp_endpoint_sent(a1, f->now.mono_us);
    assert_false(wp_endpoint_usable(a1, later));
    wp_endpoint_ended(a1, true, 1000, later);
    assert_true(wp_endpoint_usable(a1, later));
    entry_fake_free(f);
}

/* The entry writes the unsettled bills of an agent that is gone or has
   started again, but not those that it has settled. */
static void bills_of_a_lost_agent_are_taken_over(void **state)
{
    EntryFake *f = with_agents(1);
    WPEntryAction step;
    Wp__End end = end_of(true);
    (void)state;
    for (uint64_t seq = 1; seq <= 3; seq++) {
        WPRequest *r = entry_fake_begin(f, "tag", &step);
        end.bill_seq = seq;
        wp_entry_ended(f->entry, f->now, r, &end);
        wp_request_free(r);
    }
    wp_entry_bills_settled(f->entry, "a1", 1, 1);
    assert_int_equal(wp_bills_pending(wp_entry_bills(f->entry)), 0);
    Wp__Member m = entry_fake_agent("a1", 1, both_versions, 2);
    m.incarnation = 2;
    entry_fake_add_member(f, &m);
    assert_int_equal(wp_bills_pending(wp_entry_bills(f->entry)), 2);
    entry_fake_free(f);
}

TESTS_MAIN(T(the_cheapest_that_meets_the_target_answers),
           T(unknown_then_refused_is_unknown),
           T(a_non_repeatable_request_is_sent_once),
           T(a_request_waits_for_a_draining_key_owner),
           T(a_started_answer_is_not_retried), T(retries_keep_to_the_budget),
           T(a_refused_version_is_replaced),
           T(a_cascade_escalates_only_after_a_failed_check),
           T(an_aborted_answer_is_not_complete),
           T(failing_endpoints_are_ejected_and_probed),
           T(bills_of_a_lost_agent_are_taken_over))
