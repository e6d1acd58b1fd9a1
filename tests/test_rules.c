/* Label selectors, label rules, validation of a configuration, and error
 * messages. */
#include "test.h"
#include "wp_config_validate.h"
#include "wp_settings.h"
#include "settings.pb-c.h"
#include "tools.pb-c.h"

static void selectors_match_labels(void **state)
{
    static const struct {
        const char *selector;
        bool match;
    } rows[] = {
        { "", true },
        { "tier=cheap", true },
        { "tier==cheap", true },
        { "tier!=cheap", false },
        { "tier in (strong, cheap)", true },
        { "tier notin (strong,cheap)", false },
        { "tier", true },
        { "!tier", false },
        { "stage", false },
        { "!stage", true },
        { "stage!=beta", true },
        { "stage notin (beta)", true },
        { "tier=cheap,org=lake", true },
        { "tier=cheap,org=other", false },
    };
    WPLabels *l = wp_labels_new(), *over = wp_labels_new();
    (void)state;
    wp_labels_set(l, wp_str("tier"), wp_str("cheap"));
    wp_labels_set(l, wp_str("org"), wp_str("forged"));
    wp_labels_set(over, wp_str("org"), wp_str("lake"));
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        WPSelector *s = wp_selector_new(wp_str(rows[i].selector), NULL);
        assert_non_null(s);
        if (wp_selector_match(s, over, l) != rows[i].match)
            fail_msg("%s", rows[i].selector);
        wp_selector_free(s);
    }
    wp_labels_free(l);
    wp_labels_free(over);
}

static void malformed_selectors_name_their_term(void **state)
{
    static const char *const rows[] = { "a=",  "=b",    "a in b", "a in (",
                                        "a b", "a=b,,", "!",      "a in ()" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        GError *error = NULL;
        if (wp_selector_new(wp_str(rows[i]), &error))
            fail_msg("%s was taken", rows[i]);
        assert_non_null(strstr(error->message, "term '"));
        g_clear_error(&error);
    }
}

#define BASE                                                                   \
    "models: [{name: m}]\n"                                                    \
    "versions:\n"                                                              \
    "  - {name: v1, model: m, labels: {tier: cheap}}\n"                        \
    "  - {name: v2, model: m, labels: {tier: strong}}\n"                       \
    "kinds: [{name: tag}, {name: plan}]\n"                                     \
    "workspaces: [{name: w, labels: {org: lake}}]\n"

static bool allowed(const WPPolicy *p, const char *kind, const char *version,
                    const WPLabels *request)
{
    WPVersionSet set;
    wp_policy_allowed(p, wp_policy_workspace(p, "w"), wp_policy_kind(p, kind),
                      request, &set);
    return wp_version_set_has(&set, wp_policy_version(p, version)->index);
}

static void rules_attach_labels_that_selectors_use(void **state)
{
    WPPolicy *p = policy_from(
        BASE
        "rules:\n"
        "  - {name: a, on: request, match: 'kind=plan', set: {care: high}}\n"
        "  - {name: b, on: version, match: 'tier=strong', set: {care: high}}\n"
        "selectors:\n"
        "  - {name: any, traffic: 'org=lake', versions: 'model=m'}\n"
        "  - {name: careful, traffic: 'care=high', versions: '!care', "
        "effect: deny}\n");
    (void)state;
    assert_true(allowed(p, "tag", "v1", NULL));
    assert_false(allowed(p, "plan", "v1", NULL));
    assert_true(allowed(p, "plan", "v2", NULL));
    wp_policy_unref(p);
}

/* Labels that a caller sends cannot replace those of the workspace. */
static void callers_cannot_forge_workspace_labels(void **state)
{
    WPPolicy *p =
        policy_from(BASE "selectors:\n"
                         "  - {name: s, traffic: 'org=other', versions: ''}\n");
    WPLabels *forged = wp_labels_new();
    (void)state;
    wp_labels_set(forged, wp_str("org"), wp_str("other"));
    assert_false(allowed(p, "tag", "v1", forged));
    wp_labels_free(forged);
    wp_policy_unref(p);
}

/* A deny selector that cannot be parsed denies everything. */
static void unreadable_denials_deny_all(void **state)
{
    WPPolicy *p = policy_from(
        BASE "selectors:\n"
             "  - {name: any, versions: ''}\n"
             "  - {name: bad, traffic: 'a in (', versions: 'b=', effect: "
             "deny}\n");
    (void)state;
    assert_false(allowed(p, "tag", "v1", NULL));
    assert_true(wp_policy_problems(p)->len > 0);
    wp_policy_unref(p);
}

static bool reports_problem(const char *yaml, const char *word)
{
    WPConfig *c = config_from(yaml, 1);
    GPtrArray *list = wp_config_validate(c);
    bool found = false;
    for (guint i = 0; i < list->len; i++)
        found |= strstr(list->pdata[i], word) != NULL;
    g_ptr_array_unref(list);
    wp_config_free(c);
    return found;
}

static void validation_finds_problems(void **state)
{
    (void)state;
    assert_false(reports_problem(BASE "selectors: [{name: s}]\n", ""));
    assert_true(reports_problem(BASE, "no version may serve it"));
    assert_true(reports_problem(BASE
                                "selectors: [{name: s, versions: 'stage=x'}]\n",
                                "no version has a label 'stage'"));
    assert_true(reports_problem(
        BASE "rules:\n"
             "  - {name: a, on: version, match: 'x!=1', set: {x: 1}}\n"
             "  - {name: b, on: version, match: 'x=1', set: {x: 2}}\n",
        "undo each other"));
    assert_true(reports_problem(BASE
                                "rollouts: [{name: r, from: v1, to: v9}]\n",
                                "must exist and differ"));
    assert_true(reports_problem(
        BASE "rules: [{name: a, on: moon, set: {x: 1}}]\n", "expected model"));
}

static char *read_error(const ProtobufCMessageDescriptor *shape,
                        const char *yaml)
{
    GError *error = NULL;
    ProtobufCMessage *m =
        wp_settings_read(shape, wp_str(yaml), "file.yaml", &error);
    char *text = m ? NULL : g_strdup(error->message);
    wp_pb_free(m);
    g_clear_error(&error);
    return text;
}

static void errors_name_file_line_and_field(void **state)
{
    static const struct {
        const char *yaml, *expected;
    } rows[] = {
        { "kind: kv\nport: many\n", "file.yaml:2: port: expected a whole" },
        { "kind: kv\nport: 1\nsolts: 3\n", "file.yaml:3: solts: unknown" },
        { "kind: kv\n", "file.yaml:1: port: this field is required" },
        { "kind: kv\nport: 70000\n", "port: expected 1 to 65535" },
        { "kind: kv\nport: 1\nport: 2\n", "file.yaml:3: port: written twice" },
        { "kind: [a]\nport: 1\n", "file.yaml:1: kind: expected a single" },
        { "kind: 'a\n", "file.yaml:" },
        { "", "file.yaml: the file is empty" },
        { "- a\n", "file.yaml:1: StandSettings: expected a mapping" },
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        g_autofree char *text =
            read_error(&wp__stand_settings__descriptor, rows[i].yaml);
        assert_non_null(text);
        if (!strstr(text, rows[i].expected))
            fail_msg("'%s' lacks '%s'", text, rows[i].expected);
    }
}

static void numbers_beyond_their_field_are_rejected(void **state)
{
    static const struct {
        const char *value;
        bool fits;
    } rows[] = { { "2147483647", true },
                 { "-2147483648", true },
                 { "2147483648", false },
                 { "4294967295", false },
                 { "-2147483649", false } };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        g_autofree char *yaml = g_strdup_printf(
            "id: e1\npeer_port: 1\nadmin_port: 2\nclock_skew_ms: %s\n",
            rows[i].value);
        g_autofree char *text =
            read_error(&wp__node_settings__descriptor, yaml);
        bool whole = text && strstr(text, "clock_skew_ms: expected a whole");
        assert_int_equal(!whole, rows[i].fits);
    }
}

/* Allowed versions are precomputed for requests without labels of their own;
   the table must give the same result as evaluating the selectors for each
   request. */
static void table_and_evaluation_agree(void **state)
{
    WPPolicy *p = policy_from(
        BASE "selectors:\n"
             "  - {name: s, traffic: 'kind=tag', versions: 'tier=cheap'}\n"
             "  - {name: t, traffic: 'kind=plan', versions: 'tier=strong'}\n");
    WPLabels *one = wp_labels_new();
    (void)state;
    wp_labels_set(one, wp_str("unused"), wp_str("x"));
    for (unsigned k = 0; k < 2; k++)
        for (unsigned v = 0; v < 2; v++) {
            const char *kind = k ? "plan" : "tag";
            const char *version = v ? "v2" : "v1";
            assert_int_equal(allowed(p, kind, version, NULL),
                             allowed(p, kind, version, one));
            assert_int_equal(allowed(p, kind, version, NULL), k == v);
        }
    wp_labels_free(one);
    wp_policy_unref(p);
}

TESTS_MAIN(T(selectors_match_labels), T(malformed_selectors_name_their_term),
           T(rules_attach_labels_that_selectors_use),
           T(callers_cannot_forge_workspace_labels),
           T(unreadable_denials_deny_all), T(validation_finds_problems),
           T(errors_name_file_line_and_field),
           T(numbers_beyond_their_field_are_rejected),
           T(table_and_evaluation_agree))
