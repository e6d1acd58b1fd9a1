/* Fuzzes the parsers of external input by seeded mutations: frames, YAML,
 * selectors, tokens and event streams. Under `make asan` memory errors are
 * found too. */
#include "test.h"
#include "wp_config_validate.h"
#include "wp_rollout.h"
#include "wp_session.h"
#include "wp_settings.h"
#include "wp_sse.h"
#include "wire.pb-c.h"
#include "tools.pb-c.h"

#define ROUNDS 4000

static const char rules[] =
    "models: [{name: m, labels: {a: b}}]\n"
    "versions:\n"
    "  - {name: v1, model: m, cost_out: 1, quality_prior: 0.9}\n"
    "  - {name: v2, model: m, cost_out: 2, withdrawn: true}\n"
    "kinds: [{name: k, strict: true, quality_target: 0.8}]\n"
    "workspaces: [{name: w, weight: 2, key_sha256: [ab]}]\n"
    "rules: [{name: r, on: version, match: 'a=b,c!=d', set: {x: y}}]\n"
    "selectors: [{name: s, traffic: 'kind in (k)', versions: 'x=y'}]\n"
    "rollouts: [{name: o, from: v1, to: v2, history: [{at_ms: 1, share: 1}]}]\n"
    "session_keys: [{name: k, secret: s}]\n";

/* Returns a copy of `data` with up to `max` random changes: bytes replaced,
   removed or repeated, bits flipped. */
static GByteArray *mutate_some(GRand *r, const void *data, size_t n, int max)
{
    GByteArray *b = g_byte_array_new();
    g_byte_array_append(b, data, (guint)n);
    int times = g_rand_int_range(r, 1, max + 1);
    for (int i = 0; i < times && b->len > 2; i++) {
        guint at = (guint)g_rand_int_range(r, 0, (gint)b->len - 1);
        guint len = (guint)g_rand_int_range(r, 1, 8);
        len = MIN(len, b->len - at);
        switch (g_rand_int_range(r, 0, 4)) {
        case 0:
            b->data[at] = (guint8)g_rand_int(r);
            break;
        case 1:
            g_byte_array_remove_range(b, at, len);
            break;
        case 2: {
            g_autofree guint8 *copy = g_memdup2(b->data + at, len);
            g_byte_array_append(b, copy, len);
            break;
        }
        default:
            b->data[at] ^= (guint8)(1 << g_rand_int_range(r, 0, 8));
        }
    }
    return b;
}

static GByteArray *mutate(GRand *r, const void *data, size_t n)
{
    return mutate_some(r, data, n, 5);
}

static void frames(void **state)
{
    GRand *r = g_rand_new_with_seed(11);
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Start s = WP__START__INIT;
    (void)state;
    s.request_id = s.workspace = s.kind = s.version = s.path = (char *)"abc";
    f.body_case = WP__FRAME__BODY_START;
    f.start = &s;
    g_autoptr(GByteArray) good = wp_pb_pack(&f.base);
    for (int i = 0; i < ROUNDS; i++) {
        g_autoptr(GByteArray) b = mutate(r, good->data, good->len);
        wp_pb_free(wp__frame__unpack(NULL, b->len, b->data));
    }
    g_rand_free(r);
}

static void rules_files(void **state)
{
    GRand *r = g_rand_new_with_seed(12);
    unsigned accepted = 0;
    (void)state;
    for (int i = 0; i < ROUNDS; i++) {
        g_autoptr(GByteArray) b = mutate_some(r, rules, sizeof(rules) - 1, 1);
        GError *error = NULL;
        Wp__Rules *m = (Wp__Rules *)wp_yaml_read(
            &wp__rules__descriptor, wp_strn((char *)b->data, b->len), "f",
            &error);
        assert_true(m || error);
        g_clear_error(&error);
        if (!m)
            continue;
        accepted++;
        GPtrArray *ops = wp_rules_to_ops(m);
        Wp__Snapshot s = WP__SNAPSHOT__INIT;
        WPConfig *c = wp_config_new();
        s.revision = 1;
        s.n_ops = ops->len;
        s.ops = (Wp__Op **)ops->pdata;
        wp_config_apply_snapshot(c, &s);
        g_ptr_array_unref(wp_config_validate(c));
        wp_config_free(c);
        wp_ops_free(ops);
        wp_pb_free(m);
    }
    assert_true(accepted > ROUNDS / 50);
    g_rand_free(r);
}

static void tokens_and_event_streams(void **state)
{
    GRand *r = g_rand_new_with_seed(13);
    WPPolicy *p = policy_from(rules);
    Wp__SessionClaim c = WP__SESSION_CLAIM__INIT;
    static const char events[] =
        "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1}}\n\n"
        "data: [DONE]\n\n";
    (void)state;
    c.workspace = (char *)"w";
    c.version = (char *)"v1";
    c.start_ms = 5;
    g_autofree char *token = wp_token_sign(p, &c);
    unsigned accepted = 0;
    for (int i = 0; i < ROUNDS; i++) {
        g_autoptr(GByteArray) b = mutate(r, token, strlen(token));
        g_autoptr(GByteArray) e = mutate(r, events, sizeof(events) - 1);
        g_autoptr(GByteArray) out = g_byte_array_new();
        Wp__SessionClaim *claim = NULL;
        WPStr text = wp_strn((char *)b->data, b->len);
        bool same = wp_str_eq(text, wp_str(token));
        if (wp_token_check(p, wp_policy_workspace(p, "w"), text, &claim) ==
                WP_OK &&
            !same && memcmp(b->data, token, strlen(token) - 1))
            accepted++;
        wp_pb_free(claim);
        WPSse sse;
        wp_sse_init(&sse, false);
        guint cut = e->len / 2;
        wp_sse_feed(&sse, e->data, cut, out);
        wp_sse_feed(&sse, e->data + cut, e->len - cut, out);
        wp_sse_end(&sse);
        assert_true(out->len <= e->len);
    }
    assert_int_equal(accepted, 0);
    wp_policy_unref(p);
    g_rand_free(r);
}

/* The same events are passed on, however the stream is cut into pieces. */
static void events_do_not_depend_on_pieces(void **state)
{
    static const char text[] = "data: {\"choices\":[1]}\n\ndata: x\n\n"
                               "data: {\"usage\":{\"completion_tokens\":4}}"
                               "\n\ndata: [DONE]\n\n";
    (void)state;
    for (guint piece = 1; piece < sizeof(text); piece++) {
        g_autoptr(GByteArray) out = g_byte_array_new();
        WPSse s;
        wp_sse_init(&s, false);
        for (guint at = 0; at < sizeof(text) - 1; at += piece)
            wp_sse_feed(&s, (const uint8_t *)text + at,
                        MIN(piece, sizeof(text) - 1 - at), out);
        assert_true(s.done);
        assert_int_equal(s.answer_tokens, 4);
        assert_int_equal(s.events, 2);
        assert_int_equal(out->len, 23 + 9 + 14);
        wp_sse_end(&s);
    }
}

static void charts(void **state)
{
    GRand *r = g_rand_new_with_seed(14);
    static const char chart[] =
        "name: c\ninitial: a\nstates:\n"
        "  - {name: a, share: 0.1, on: [{event: next, to: b}]}\n"
        "  - {name: b, final: true}\n";
    (void)state;
    for (int i = 0; i < ROUNDS; i++) {
        g_autoptr(GByteArray) b = mutate(r, chart, sizeof(chart) - 1);
        GError *error = NULL;
        Wp__Chart *c =
            wp_chart_read(wp_strn((char *)b->data, b->len), "f", &error);
        assert_true(c || error);
        g_clear_error(&error);
        wp_pb_free(c);
    }
    g_rand_free(r);
}

TESTS_MAIN(T(frames), T(rules_files), T(tokens_and_event_streams),
           T(events_do_not_depend_on_pieces), T(charts))
