/* The template of the settings of direct mode (deploy/settings.yaml), rendered
 * with numbers in every form in which the platform writes them. */
#include "test.h"

#include "settings.pb-c.h"
#include "wp_settings.h"

#define TEMPLATE "deploy/settings.yaml"

/* The text that replaces a placeholder whose name begins with `name`. The first
   sample that matches is used. */
typedef struct Sample {
    const char *name, *text;
    bool is_number;
} Sample;

static const Sample samples[] = {
    { "nodeName", "front-1", false },
    { "zone", "z1", false },
    { "#zones", "", false },
    { "/zones", "", false },
    { "@", "z1", false },
    { ",", "", false },
    { ".", "north", false },
    { "ip", "10.1.0.40", false },
    { "bind.", "10.1.0.40:8227", false },
    { "seeds", "10.1.0.40:8229,10.2.0.29:8229", false },
    { "platform.", "10.200.1.7:8223", false },
    { "bootstrap", "true", false },
    { "bounds.retryBudgetRatio", "0", true },
    { "bounds.exposeShare", "0", true },
    { "bounds.configApplyMs", "2000", true },
    { "", "8", true },
};

/* How one rendering writes its numbers. */
typedef struct Form {
    const char *suffix; /* appended to each number */
    bool empty;         /* numbers are left out */
    const char *other;  /* this placeholder is replaced by `text`; NULL: none */
    const char *text;
} Form;

static void put_value(GString *out, const char *name, const Form *form)
{
    const Sample *s = samples;
    while (!g_str_has_prefix(name, s->name))
        s++;
    if (form->other && !strcmp(name, form->other))
        g_string_append(out, form->text);
    else if (!s->is_number)
        g_string_append(out, s->text);
    else if (!form->empty)
        g_string_append_printf(out, "%s%s", s->text, form->suffix);
}

/* Returns the rendered template; free it with g_free(). */
static char *render(const Form *form)
{
    g_autofree char *template = NULL;
    GString *out = g_string_new(NULL);
    assert_true(g_file_get_contents(TEMPLATE, &template, NULL, NULL));
    const char *p = template;
    for (const char *placeholder; (placeholder = strstr(p, "{{"));) {
        const char *end = strstr(placeholder, "}}");
        assert_non_null(end);
        g_autofree char *name =
            g_strndup(placeholder + 2, (gsize)(end - placeholder - 2));
        g_string_append_len(out, p, placeholder - p);
        put_value(out, name, form);
        p = end + 2;
    }
    g_string_append(out, p);
    return g_string_free(out, FALSE);
}

static Wp__DirectSettings *read_rendered(const Form *form, GError **error)
{
    g_autofree char *yaml = render(form);
    return wp_settings_read(&wp__direct_settings__descriptor, wp_str(yaml),
                            "boot.conf", error);
}

static void numbers_of_any_form_are_accepted(void **state)
{
    static const char *const suffixes[] = { "", ".0", ".5", ".25", "e0" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(suffixes); i++) {
        const Form form = { .suffix = suffixes[i] };
        GError *error = NULL;
        Wp__DirectSettings *s = read_rendered(&form, &error);
        if (!s)
            fail_msg("'%s': %s", suffixes[i], error->message);
        g_autofree char *text = g_strdup_printf("8%s", suffixes[i]);
        double v = g_ascii_strtod(text, NULL);
        assert_float_equal(s->session_s, v, 0);
        assert_float_equal(s->retry_window_s, v, 0);
        assert_float_equal(s->drain_s, v, 0);
        wp_pb_free(s);
    }
}

static void a_missing_number_takes_the_default(void **state)
{
    const Form form = { .empty = true };
    GError *error = NULL;
    (void)state;
    Wp__DirectSettings *s = read_rendered(&form, &error);
    if (!s)
        fail_msg("%s", error->message);
    assert_float_equal(s->session_s, 5, 0);
    assert_float_equal(s->retry_window_s, 10, 0);
    assert_float_equal(s->apply_ms, 2000, 0);
    wp_pb_free(s);
}

static void an_invalid_number_is_reported(void **state)
{
    static const char *const bad[] = { "soon",  "8,5", "8.5s",
                                       "[8.5]", "-1",  "nan" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(bad); i++) {
        const Form form = { .suffix = "",
                            .other = "bounds.sessionS",
                            .text = bad[i] };
        g_autoptr(GError) error = NULL;
        if (read_rendered(&form, &error))
            fail_msg("%s was accepted", bad[i]);
        assert_non_null(strstr(error->message, "boot.conf"));
        assert_non_null(strstr(error->message, "session_s: expected"));
    }
}

TESTS_MAIN(T(numbers_of_any_form_are_accepted),
           T(a_missing_number_takes_the_default),
           T(an_invalid_number_is_reported))
