/* Entries that read as sound and name addresses where nobody listens. */
#include "direct_fake.h"

enum { LIVE = 8, DEAD = 32, AT_ONCE = 40 };

static void put_many(Fake *k, const char *prefix, unsigned n)
{
    for (unsigned i = 0; i < n; i++) {
        g_autofree char *id = g_strdup_printf("%s%u", prefix, i);
        fake_put(k, id, "app", "v1", false);
    }
}

/* Goes on with a request whose endpoint does not listen until one has got it.
   Returns whether one has. */
static bool reach_endpoint(Fake *k, WPFlow *f, WPFlowAction *m)
{
    while (m->kind == WP_FLOW_SEND && m->replica->id[0] == 'd')
        wp_flow_on_lost(f, k->now, WP_LOSS_UNSENT, m);
    return m->kind == WP_FLOW_SEND;
}

/* Connections are refused before any endpoint has answered. */
static void requests_beside_dead_newcomers_get_503(void **state)
{
    Fake k;
    WPFlow *flows[AT_ONCE];
    WPFlowAction first[AT_ONCE];
    unsigned reached = 0;
    (void)state;
    fake_init(&k);
    put_many(&k, "live", LIVE);
    for (int i = 0; i < 200; i++) {
        WPFlowAction m;
        fake_serve(&k, "/safe/x", &m);
    }
    put_many(&k, "dead", DEAD);
    for (int i = 0; i < AT_ONCE; i++)
        flows[i] = fake_ask(&k, "/safe/x", NULL, &first[i]);
    for (int i = 0; i < AT_ONCE; i++)
        reached += reach_endpoint(&k, flows[i], &first[i]);
    for (int i = 0; i < AT_ONCE; i++) {
        wp_flow_on_caller_gone(flows[i], k.now);
        wp_flow_free(flows[i]);
    }
    assert_int_equal(reached, AT_ONCE);
    fake_end(&k);
}

TESTS_MAIN(T(requests_beside_dead_newcomers_get_503))
