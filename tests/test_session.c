/* Session tokens, and that a session stays at its version. */
#include "test.h"
#include "wp_session.h"

#define KINDS                                                                  \
    "kinds: [{name: k, quality_target: 0.8}]\n"                                \
    "workspaces: [{name: w}, {name: other}]\n"                                 \
    "selectors: [{name: s}]\n"

#define TWO(more1, more2)                                                      \
    KINDS                                                                      \
    "versions:\n"                                                              \
    "  - {name: v1, added_ms: 1000, quality_prior: 0.9, cost_out: 2" more1     \
    "}\n"                                                                      \
    "  - {name: v2, added_ms: 5000, quality_prior: 0.9, cost_out: 1" more2     \
    "}\n"

static char *sign_token(const WPPolicy *p, const char *version,
                        uint64_t start_ms)
{
    Wp__SessionClaim c = WP__SESSION_CLAIM__INIT;
    c.workspace = (char *)"w";
    c.version = (char *)version;
    c.start_ms = start_ms;
    c.nonce.data = (uint8_t *)"nonce";
    c.nonce.len = 5;
    return wp_token_sign(p, &c);
}

static WPCode check_token(const WPPolicy *p, const char *ws, const char *token)
{
    Wp__SessionClaim *claim = NULL;
    WPCode code =
        wp_token_check(p, wp_policy_workspace(p, ws), wp_str(token), &claim);
    wp_pb_free(claim);
    return code;
}

static void tokens_are_checked(void **state)
{
    WPPolicy *p =
        policy_from(TWO("", "") "session_keys: [{name: a, secret: s1}]\n");
    WPPolicy *rotated = policy_from(
        TWO("", "") "session_keys: [{name: a, secret: s1, active: false}, "
                    "{name: b, secret: s2}]\n");
    WPPolicy *revoked = policy_from(
        TWO("", "") "session_keys: [{name: a, secret: s1, revoked: true}]\n");
    WPPolicy *forged =
        policy_from(TWO("", "") "session_keys: [{name: a, secret: guess}]\n");
    g_autofree char *token = sign_token(p, "v1", 1);
    g_autofree char *fake = sign_token(forged, "v1", 1);
    (void)state;
    assert_int_equal(check_token(p, "w", token), WP_OK);
    assert_int_equal(check_token(p, "other", token), WP_BAD_TOKEN);
    assert_int_equal(check_token(p, "w", fake), WP_BAD_TOKEN);
    assert_int_equal(check_token(rotated, "w", token), WP_OK);
    assert_int_equal(check_token(revoked, "w", token), WP_BAD_TOKEN);
    assert_null(sign_token(revoked, "v1", 1));
    for (size_t i = 0; i < strlen(token); i++) {
        g_autofree char *altered = g_strdup(token);
        altered[i] = altered[i] == 'A' ? 'B' : 'A';
        /* The last character of a base64 text may carry unused bits. */
        if (check_token(p, "w", altered) == WP_OK && i + 1 < strlen(token))
            fail_msg("altered at %zu and accepted", i);
    }
    assert_int_equal(check_token(p, "w", ""), WP_BAD_TOKEN);
    assert_int_equal(check_token(p, "w", "...."), WP_BAD_TOKEN);
    wp_policy_unref(p);
    wp_policy_unref(rotated);
    wp_policy_unref(revoked);
    wp_policy_unref(forged);
}

static WPSessionPlacement place_session(const WPPolicy *p, const char *version,
                                        uint64_t start_ms, const char *id)
{
    Wp__SessionClaim c = WP__SESSION_CLAIM__INIT;
    WPSessionQuery ask = { .id = wp_str(id),
                           .workspace = wp_policy_workspace(p, "w"),
                           .now_ms = 1800000000000 };
    WPVersionSet set;
    c.workspace = (char *)"w";
    c.version = (char *)version;
    c.start_ms = start_ms;
    c.nonce.data = (uint8_t *)"nonce";
    c.nonce.len = 5;
    if (version)
        ask.claim = &c;
    wp_policy_allowed(p, wp_policy_workspace(p, "w"), wp_policy_kind(p, "k"),
                      NULL, &set);
    return wp_session_place(p, wp_policy_kind(p, "k"), &set, &ask);
}

static const char *version_of(const WPPolicy *p, WPSessionPlacement at)
{
    return at.version < 0
               ? "none"
               : wp_policy_version_at(p, (unsigned)at.version)->spec->name;
}

static void a_withdrawn_version_moves_a_session_once(void **state)
{
    WPPolicy *serving = policy_from(TWO("", ""));
    WPPolicy *withdrawn =
        policy_from(TWO(", withdrawn: true, withdrawn_ms: 700", ""));
    WPPolicy *serving_again = policy_from(TWO(", withdrawn_ms: 700", ""));
    (void)state;
    assert_string_equal(
        version_of(serving, place_session(serving, "v1", 500, NULL)), "v1");
    WPSessionPlacement moved = place_session(withdrawn, "v1", 500, NULL);
    assert_string_equal(version_of(withdrawn, moved), "v2");
    assert_true(moved.moved);
    /* The session does not go back when the version serves again; one that
       begins later may use that version. */
    assert_string_equal(
        version_of(serving_again,
                   place_session(serving_again, "v1", 500, NULL)),
        "v2");
    assert_string_equal(
        version_of(serving_again,
                   place_session(serving_again, "v1", 900, NULL)),
        "v1");
    wp_policy_unref(serving);
    wp_policy_unref(withdrawn);
    wp_policy_unref(serving_again);
}

/* A session without a token, by its id: a time-ordered one (UUIDv7) or any
   other. */
static void sessions_do_not_move_when_versions_are_added(void **state)
{
    WPPolicy *before = policy_from(KINDS "versions:\n"
                                         "  - {name: v1, added_ms: 1000, "
                                         "quality_prior: 0.9, cost_out: 2}\n");
    WPPolicy *after = policy_from(TWO("", ""));
    char young[40], old[40];
    GRand *r = g_rand_new_with_seed(1);
    (void)state;
    wp_uuid7(old, 3000, r);
    wp_uuid7(young, 9000, r);
    assert_string_equal(version_of(before, place_session(before, NULL, 0, old)),
                        "v1");
    assert_string_equal(version_of(after, place_session(after, NULL, 0, old)),
                        "v1");
    assert_string_equal(version_of(after, place_session(after, NULL, 0, young)),
                        "v2");
    assert_string_equal(
        version_of(after, place_session(after, NULL, 0, "opaque")), "v1");
    g_rand_free(r);
    wp_policy_unref(before);
    wp_policy_unref(after);
}

/* A selector that allows a cheaper version later does not move existing
   sessions either. */
static void sessions_do_not_move_when_selectors_allow_more(void **state)
{
    static const char versions[] =
        "kinds: [{name: k, quality_target: 0.8}]\nworkspaces: [{name: w}]\n"
        "versions:\n"
        "  - {name: v1, added_ms: 1, quality_prior: 0.9, cost_out: 2}\n"
        "  - {name: v2, added_ms: 1, quality_prior: 0.9, cost_out: 1}\n"
        "selectors:\n"
        "  - {name: a, versions: 'version=v1', changed_ms: 1}\n"
        "  - {name: b, versions: 'version=v2', changed_ms: 5000}\n";
    WPPolicy *p = policy_from(versions);
    char old[40], young[40];
    GRand *r = g_rand_new_with_seed(3);
    (void)state;
    wp_uuid7(old, 3000, r);
    wp_uuid7(young, 6000, r);
    assert_string_equal(version_of(p, place_session(p, NULL, 0, old)), "v1");
    assert_string_equal(version_of(p, place_session(p, NULL, 0, young)), "v2");
    g_rand_free(r);
    wp_policy_unref(p);
}

#define ROLLOUT(history)                                                       \
    TWO("", "")                                                                \
    "rollouts: [{name: r, from: v1, to: v2, history: [" history "]}]\n"

/* The shares of a roll-out may change in any way: the start time of a
   session decides. */
static void sessions_do_not_move_when_shares_change(void **state)
{
    WPPolicy *steps[] = {
        policy_from(ROLLOUT("{at_ms: 10000, share: 0.2}")),
        policy_from(ROLLOUT("{at_ms: 10000, share: 0.2}, {at_ms: 20000, share: "
                            "0.9}")),
        policy_from(ROLLOUT("{at_ms: 10000, share: 0.2}, {at_ms: 20000, share: "
                            "0.9}, {at_ms: 30000, share: 0}")),
    };
    GRand *r = g_rand_new_with_seed(2);
    unsigned at_v2 = 0, moved = 0, late_v2 = 0;
    (void)state;
    for (int i = 0; i < 400; i++) {
        char id[40], late[40];
        wp_uuid7(id, 15000, r);
        wp_uuid7(late, 25000, r);
        const char *first =
            version_of(steps[0], place_session(steps[0], NULL, 0, id));
        for (size_t s = 1; s < WP_COUNT(steps); s++)
            moved +=
                strcmp(first, version_of(steps[s], place_session(steps[s], NULL,
                                                                 0, id))) != 0;
        at_v2 += !strcmp(first, "v2");
        late_v2 += !strcmp(
            "v2", version_of(steps[1], place_session(steps[1], NULL, 0, late)));
    }
    assert_int_equal(moved, 0);
    assert_in_range(at_v2, 50, 110);    /* 0.2 of 400 */
    assert_in_range(late_v2, 330, 390); /* 0.9 of 400 */
    g_rand_free(r);
    for (size_t s = 0; s < WP_COUNT(steps); s++)
        wp_policy_unref(steps[s]);
}

TESTS_MAIN(T(tokens_are_checked), T(a_withdrawn_version_moves_a_session_once),
           T(sessions_do_not_move_when_versions_are_added),
           T(sessions_do_not_move_when_selectors_allow_more),
           T(sessions_do_not_move_when_shares_change))
