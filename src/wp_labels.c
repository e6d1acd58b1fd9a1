/* Label sets and selectors; see the header for the grammar. */
#include "wp_labels.h"
#include "wp_code.h"

typedef struct Pair {
    char *key, *value;
} Pair;

struct WPLabels {
    GArray *pairs; /* of Pair, ordered by key */
};

typedef enum Op { OP_IN, OP_NOT_IN, OP_EXISTS, OP_ABSENT } Op;

typedef struct Term {
    Op op;
    char *key;
    char **values; /* NULL-terminated; NULL for OP_EXISTS and OP_ABSENT */
} Term;

struct WPSelector {
    GArray *terms; /* of Term */
};

static void clear_pair(gpointer p)
{
    Pair *pair = p;
    g_free(pair->key);
    g_free(pair->value);
}

WPLabels *wp_labels_new(void)
{
    WPLabels *l = g_new0(WPLabels, 1);
    l->pairs = g_array_new(FALSE, FALSE, sizeof(Pair));
    g_array_set_clear_func(l->pairs, clear_pair);
    return l;
}

void wp_labels_free(WPLabels *l)
{
    if (!l)
        return;
    g_array_unref(l->pairs);
    g_free(l);
}

static int compare_key(const char *have, WPStr key)
{
    int c = strncmp(have, key.p, key.n);
    return c ? c : have[key.n] != 0;
}

/* Returns the index of `key`, or the index at which to insert it. */
static guint find_pair(const WPLabels *l, WPStr key, bool *found)
{
    guint i;
    *found = false;
    for (i = 0; i < l->pairs->len; i++) {
        int c = compare_key(g_array_index(l->pairs, Pair, i).key, key);
        if (c < 0)
            continue;
        *found = c == 0;
        break;
    }
    return i;
}

bool wp_labels_set(WPLabels *l, WPStr key, WPStr value)
{
    bool found;
    guint i = find_pair(l, key, &found);
    if (found) {
        Pair *p = &g_array_index(l->pairs, Pair, i);
        if (wp_str_eq(wp_str(p->value), value))
            return false;
        g_free(p->value);
        p->value = g_strndup(value.p, value.n);
        return true;
    }
    Pair pair = { g_strndup(key.p, key.n), g_strndup(value.p, value.n) };
    g_array_insert_val(l->pairs, i, pair);
    return true;
}

const char *wp_labels_get(const WPLabels *l, WPStr key)
{
    bool found;
    if (!l)
        return NULL;
    guint i = find_pair(l, key, &found);
    return found ? g_array_index(l->pairs, Pair, i).value : NULL;
}

size_t wp_labels_count(const WPLabels *l)
{
    return l->pairs->len;
}

void wp_labels_at(const WPLabels *l, size_t i, const char **key,
                  const char **value)
{
    const Pair *p = &g_array_index(l->pairs, Pair, i);
    *key = p->key;
    *value = p->value;
}

WPLabels *wp_labels_copy(const WPLabels *l)
{
    WPLabels *c = wp_labels_new();
    for (guint i = 0; l && i < l->pairs->len; i++) {
        const Pair *p = &g_array_index(l->pairs, Pair, i);
        Pair copy = { g_strdup(p->key), g_strdup(p->value) };
        g_array_append_val(c->pairs, copy);
    }
    return c;
}

static void clear_term(gpointer p)
{
    Term *t = p;
    g_free(t->key);
    g_strfreev(t->values);
}

void wp_selector_free(WPSelector *s)
{
    if (!s)
        return;
    g_array_unref(s->terms);
    g_free(s);
}

static bool is_valid_word(WPStr w)
{
    for (size_t i = 0; i < w.n; i++)
        if (!g_ascii_isalnum(w.p[i]) && !strchr("-_./@:", w.p[i]))
            return false;
    return w.n > 0;
}

/* Returns the part of `rest` before the next comma outside of parentheses, and
   advances `rest` past that comma. */
static WPStr next_term(WPStr *rest)
{
    int depth = 0;
    for (size_t i = 0; i < rest->n; i++) {
        char c = rest->p[i];
        depth += c == '(' ? 1 : c == ')' ? -1 : 0;
        if (c == ',' && depth == 0) {
            WPStr head = wp_strn(rest->p, i);
            *rest = wp_strn(rest->p + i + 1, rest->n - i - 1);
            return head;
        }
    }
    WPStr head = *rest;
    *rest = wp_strn(rest->p + rest->n, 0);
    return head;
}

/* Parses "(a,b)" if `set` is true, else a single value, into a NULL-terminated
   array; returns NULL if the syntax is wrong. */
static char **parse_values(WPStr v, bool set)
{
    GPtrArray *out;
    if (set) {
        if (v.n < 2 || v.p[0] != '(' || v.p[v.n - 1] != ')')
            return NULL;
        v = wp_strn(v.p + 1, v.n - 2);
    }
    out = g_ptr_array_new_with_free_func(g_free);
    do {
        WPStr w = wp_str_trim(set ? wp_str_cut(&v, ',') : v);
        if (!is_valid_word(w)) {
            g_ptr_array_free(out, TRUE);
            return NULL;
        }
        g_ptr_array_add(out, g_strndup(w.p, w.n));
    } while (set && v.n);
    g_ptr_array_add(out, NULL);
    return (char **)g_ptr_array_free(out, FALSE);
}

static bool split_at(WPStr t, const char *sep, WPStr *key, WPStr *value)
{
    const char *e = g_strstr_len(t.p, (gssize)t.n, sep);
    if (!e)
        return false;
    *key = wp_str_trim(wp_strn(t.p, (size_t)(e - t.p)));
    e += strlen(sep);
    *value = wp_str_trim(wp_strn(e, (size_t)(t.p + t.n - e)));
    return true;
}

/* Parses one term of a selector: key in (values), key notin (values),
   key=value, key==value, key!=value, key or !key. Returns false if it is
   invalid. */
static bool parse_term(WPStr t, Term *out)
{
    static const struct {
        const char *sep;
        Op op;
        bool set;
    } forms[] = { { " notin ", OP_NOT_IN, true },
                  { " in ", OP_IN, true },
                  { "!=", OP_NOT_IN, false },
                  { "==", OP_IN, false },
                  { "=", OP_IN, false } };
    WPStr key, value;
    for (size_t i = 0; i < WP_COUNT(forms); i++) {
        if (!split_at(t, forms[i].sep, &key, &value))
            continue;
        out->op = forms[i].op;
        out->values =
            is_valid_word(key) ? parse_values(value, forms[i].set) : NULL;
        out->key = out->values ? g_strndup(key.p, key.n) : NULL;
        return out->values != NULL;
    }
    out->op = t.n && t.p[0] == '!' ? OP_ABSENT : OP_EXISTS;
    if (out->op == OP_ABSENT)
        t = wp_str_trim(wp_strn(t.p + 1, t.n - 1));
    if (!is_valid_word(t))
        return false;
    out->key = g_strndup(t.p, t.n);
    return true;
}

WPSelector *wp_selector_new(WPStr text, GError **error)
{
    WPSelector *s = g_new0(WPSelector, 1);
    WPStr rest = wp_str_trim(text);
    s->terms = g_array_new(FALSE, TRUE, sizeof(Term));
    g_array_set_clear_func(s->terms, clear_term);
    while (rest.n) {
        WPStr term_text = wp_str_trim(next_term(&rest));
        Term t = { 0 };
        if (!parse_term(term_text, &t)) {
            g_set_error(error, WP_ERROR, WP_ERROR_INPUT,
                        "term '%.*s': expected key=value, key!=value, "
                        "key in (a,b), key notin (a,b), key or !key",
                        (int)term_text.n, term_text.p);
            wp_selector_free(s);
            return NULL;
        }
        g_array_append_val(s->terms, t);
    }
    return s;
}

static bool match_term(const Term *t, const char *value)
{
    bool in = false;
    if (t->op == OP_EXISTS)
        return value != NULL;
    if (t->op == OP_ABSENT)
        return value == NULL;
    for (char **v = t->values; value && *v && !in; v++)
        in = strcmp(*v, value) == 0;
    return in == (t->op == OP_IN);
}

bool wp_selector_match(const WPSelector *s, const WPLabels *overrides,
                       const WPLabels *labels)
{
    for (guint i = 0; i < s->terms->len; i++) {
        const Term *t = &g_array_index(s->terms, Term, i);
        const char *value = wp_labels_get(overrides, wp_str(t->key));
        if (!value)
            value = wp_labels_get(labels, wp_str(t->key));
        if (!match_term(t, value))
            return false;
    }
    return true;
}

void wp_selector_keys(const WPSelector *s, void (*fn)(void *, const char *),
                      void *arg)
{
    for (guint i = 0; i < s->terms->len; i++)
        fn(arg, g_array_index(s->terms, Term, i).key);
}
