/* The policies of past configurations, which sessions that began then are
 * placed by. */
#include "wp_policy_int.h"

static void clear_past(gpointer p)
{
    WPPastPolicy *past = p;
    wp_policy_unref(past->policy);
}

GArray *wp_past_new(void)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(WPPastPolicy));
    g_array_set_clear_func(out, clear_past);
    return out;
}

/* Returns a new reference to the past policy of this undo, or NULL. */
static WPPolicy *share_past(const WPPolicy *prev, const Wp__Undo *u)
{
    for (unsigned i = prev ? prev->past->len : 0; i-- > 0;) {
        const WPPastPolicy *past = wp_policy_past_at(prev, i);
        if (past->policy->revision == u->revision &&
            past->effective_ms == u->effective_ms)
            return wp_policy_ref(past->policy);
    }
    return NULL;
}

WPPolicy *wp_policy_new_with_past(const WPConfig *c, const WPPolicy *prev)
{
    WPPolicy *p = wp_policy_new(c);
    WPConfig *back = wp_config_copy(c);
    unsigned n = wp_config_undos(c);
    g_array_set_size(p->past, n);
    for (unsigned i = n; i-- > 0;) {
        const Wp__Undo *u = wp_config_undo_at(c, i);
        WPPastPolicy *past = &g_array_index(p->past, WPPastPolicy, i);
        wp_config_take_back(back, u);
        past->effective_ms = u->effective_ms;
        past->policy = share_past(prev, u);
        if (!past->policy)
            past->policy = wp_policy_new(back);
    }
    wp_config_free(back);
    return p;
}

unsigned wp_policy_pasts(const WPPolicy *p)
{
    return p->past->len;
}

const WPPastPolicy *wp_policy_past_at(const WPPolicy *p, unsigned i)
{
    return &g_array_index(p->past, WPPastPolicy, i);
}
