/* What operators see of a box under load: requests and endpoints, and why an
 * answer is of the smaller model. */
#include "direct_fake.h"
#include "wp_direct_int.h"
#include "wp_load_view.h"

static json_t *view_of(const Fake *k, WPFlow *const *flows, size_t n)
{
    WPLoadView *v = wp_load_view_new(&k->d, k->now);
    for (size_t i = 0; i < n; i++)
        wp_load_view_add_request(v, flows[i]);
    return wp_load_view_end(v);
}

static int int_of(const json_t *o, const char *name)
{
    return (int)json_number_value(json_object_get(o, name));
}

static const char *text_of(const json_t *o, const char *name)
{
    return json_string_value(json_object_get(o, name));
}

static void requests_are_counted_by_route_and_workspace(void **state)
{
    Fake k;
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, 90);
    WPFlow *f[3];
    (void)state;
    fake_init(&k);
    k.d.rules.contention = WP_CONTENTION_ON;
    f[0] = fake_ask(&k, "/chat/x", NULL, &m);
    fake_advance(&k, 300);
    f[1] = fake_ask(&k, "/chat/y", NULL, &m);
    f[2] = fake_ask(&k, "/safe/x", NULL, &m);
    wp_flow_on_answer(f[1], k.now, &a, &m);
    json_t *o = view_of(&k, f, 3);
    json_t *list = json_object_get(o, "requests");
    assert_int_equal(json_array_size(list), 2);
    json_t *safe = json_array_get(list, 0), *chat = json_array_get(list, 1);
    assert_string_equal(text_of(safe, "service"), "app");
    assert_string_equal(text_of(chat, "route"), "chat");
    assert_string_equal(text_of(chat, "workspace"), "acme");
    assert_int_equal(int_of(chat, "waiting"), 1);
    assert_int_equal(int_of(chat, "running"), 1);
    assert_int_equal(int_of(chat, "oldest_ms"), 300);
    assert_true(json_is_true(json_object_get(chat, "contended")));
    json_decref(o);
    for (int i = 0; i < 3; i++) {
        wp_flow_on_caller_gone(f[i], k.now);
        wp_flow_free(f[i]);
    }
    fake_end(&k);
}

static void a_silent_endpoint_is_shown(void **state)
{
    Fake k;
    WPFlowAction m;
    (void)state;
    fake_init(&k);
    WPFlow *f = fake_ask(&k, "/chat/x", NULL, &m);
    g_autofree char *at = g_strdup(m.replica->id);
    fake_advance(&k, 1500);
    json_t *o = view_of(&k, &f, 1), *e;
    size_t i;
    json_array_foreach (json_object_get(o, "endpoints"), i, e) {
        bool is_silent = !strcmp(text_of(e, "id"), at);
        assert_int_equal(int_of(e, "silent_ms"), is_silent ? 1500 : 0);
    }
    json_decref(o);
    wp_flow_on_caller_gone(f, k.now);
    wp_flow_free(f);
    fake_end(&k);
}

/* Ends a request with an answer of this confidence; returns why that was kept.
 */
static const char *kept_reason(Fake *k, int confidence)
{
    WPFlowAction m;
    WPDirectAnswer a = fake_answer(200, confidence);
    WPFlow *f = fake_ask(k, "/chat/x", NULL, &m);
    fake_advance(k, 100);
    wp_flow_on_answer(f, k->now, &a, &m);
    const char *why = f->kept_reason;
    wp_flow_on_caller_gone(f, k->now);
    wp_flow_free(f);
    return why;
}

static void a_kept_answer_of_the_smaller_model_has_a_reason(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    const char *why = NULL;
    assert_string_equal(kept_reason(&k, 95), "good");
    assert_null(kept_reason(&k, 5));
    for (int i = 0; i < 50 && !why; i++)
        why = kept_reason(&k, 5);
    assert_string_equal(why, "budget");
    fake_end(&k);
}

/* Under strain a contended service is priced by its own weight. */
static void scarce_engine_time_keeps_the_smaller_answer(void **state)
{
    Fake k;
    (void)state;
    fake_init(&k);
    k.d.rules.contention = WP_CONTENTION_ON;
    WPTtfbModel *large = wp_direct_ttfb_model(&k.d, "llm", wp_str("large"));
    for (uint32_t i = 0; i < 100; i++) {
        const WPTtfbInputs w = { .prompt_tokens = 100 * i,
                                 .uncached_tokens = 100 * i };
        wp_ttfb_add(large, &w, 20000 + 20000 * i);
    }
    k.d.target_ratio = 0.9;
    k.d.rules.contended_strain_weight = 0;
    assert_null(kept_reason(&k, 5));
    k.d.target_ratio = 0.9;
    k.d.rules.contended_strain_weight = 100;
    assert_string_equal(kept_reason(&k, 5), "engine_time");
    fake_end(&k);
}

TESTS_MAIN(T(scarce_engine_time_keeps_the_smaller_answer),
           T(requests_are_counted_by_route_and_workspace),
           T(a_silent_endpoint_is_shown),
           T(a_kept_answer_of_the_smaller_model_has_a_reason))
