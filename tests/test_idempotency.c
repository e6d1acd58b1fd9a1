/* Idempotency keys: every order of the steps by which the owner of a key
 * changes, with a request of the same key arriving at either agent after
 * each step. */
#include "test.h"
#include "wp_idempotency.h"

#define WINDOW_S 600
#define SETTLE_MS 1000
#define SKEW_MS 100
#define VERSION "v"

static const WPIdempotencyRules rules = { WINDOW_S, SETTLE_MS, SKEW_MS };
static char version_name[] = VERSION;
static char *versions[] = { version_name };

typedef struct Agent {
    WPIdempotency *keys;
    WPMembers *members;
    Wp__Member self;
    unsigned runs;
    bool offered;
} Agent;

static Wp__Member member(const char *id, uint64_t incarnation)
{
    Wp__Member m = WP__MEMBER__INIT;
    m.id = (char *)id;
    m.incarnation = incarnation;
    m.role = WP__ROLE__ROLE_AGENT;
    m.addr = (char *)"x";
    m.versions = versions;
    m.n_versions = 1;
    return m;
}

static void agent_init(Agent *a, const char *id, uint64_t incarnation)
{
    memset(a, 0, sizeof(*a));
    a->keys = wp_idempotency_new(&rules);
    a->members = wp_members_new();
    a->self = member(id, incarnation);
    wp_members_merge(a->members, &a->self, 0);
}

static void agent_end(Agent *a)
{
    wp_idempotency_free(a->keys);
    wp_members_free(a->members);
}

static WPTime at_ms(uint64_t ms)
{
    return (WPTime){ (int64_t)ms * WP_US_PER_MS, (int64_t)ms };
}

/* Offers a request to an agent, which admits or refuses it as wp_agent does;
   counts the requests that run. */
static WPCode offer(Agent *a, uint64_t now_ms, const char *key,
                    uint64_t issued_ms)
{
    WPTime now = at_ms(now_ms);
    if (!wp_idempotency_is_owner(a->keys, a->members, &a->self, VERSION, key,
                                 now_ms) ||
        wp_idempotency_handover_pending(a->keys, a->members, now, &a->self,
                                        VERSION, key))
        return WP_NOT_KEEPER;
    uint64_t since =
        wp_idempotency_owner_since(a->keys, a->members, &a->self, VERSION, key);
    WPCode code =
        wp_idempotency_begin(a->keys, now, VERSION, key, issued_ms, since);
    a->runs += code == WP_OK;
    return code;
}

typedef struct Handover {
    Agent *to;
    WPTime now;
} Handover;

static void add_key(void *arg, const char *version, const char *key, bool done)
{
    Handover *p = arg;
    wp_idempotency_add_handed_over(p->to->keys, p->now, version, key, done);
}

/* Sends all keys that `from` holds to `to`. */
static void hand_over_keys(Agent *from, Agent *to, uint64_t now_ms)
{
    Handover p = { to, at_ms(now_ms) };
    wp_idempotency_each(from->keys, add_key, &p);
    wp_idempotency_note_handover(to->keys, from->self.id,
                                 from->self.incarnation);
}

/* Returns a key that `newcomer` owns once both agents have settled. */
static char *key_for(const char *newcomer, const char *old)
{
    for (int i = 0;; i++) {
        char *key = g_strdup_printf("w/key-%d", i);
        WPMembers *t = wp_members_new();
        Wp__Member a = member(newcomer, 1), b = member(old, 1);
        wp_members_merge(t, &a, 0);
        wp_members_merge(t, &b, 0);
        const WPMemberRow *r =
            wp_idempotency_owner(t, VERSION, key, 10 * SETTLE_MS, SETTLE_MS);
        bool hit = !strcmp(r->m->id, newcomer);
        wp_members_free(t);
        if (hit)
            return key;
        g_free(key);
    }
}

/* Steps by which a new agent joins. The order in which they are run
   determines the time; a request of the key is offered to both agents after
   each step. */
typedef enum Step { OLD_LEARNS, NEW_LEARNS, HAND_OVER, SETTLES, STEPS } Step;

/* Runs the steps in this order, the key being issued before step `issue_at`.
   Fails if the key runs more than once. */
static void run_join(const Step *order, unsigned issue_at)
{
    Agent old, new;
    uint64_t now = 100000;
    g_autofree char *key = key_for("new", "old");
    uint64_t issued = 0;
    agent_init(&old, "old", 1);
    agent_init(&new, "new", now);
    for (unsigned i = 0; i <= STEPS; i++) {
        if (i == issue_at)
            issued = now;
        if (issued) {
            offer(&old, now, key, issued);
            offer(&new, now, key, issued);
            offer(&old, now + 1, key, issued);
        }
        if (i == STEPS)
            break;
        /* Both boxes have the same clock here; SETTLES covers the skew. */
        if (order[i] == OLD_LEARNS)
            wp_members_merge(old.members, &new.self, 0);
        else if (order[i] == NEW_LEARNS)
            wp_members_merge(new.members, &old.self, 0);
        else if (order[i] == SETTLES)
            now = 100000 + SETTLE_MS + SKEW_MS;
        else if (wp_members_get(old.members, "new") &&
                 now + SKEW_MS >= 100000 + SETTLE_MS)
            hand_over_keys(&old, &new, now);
        now += 10;
    }
    if (old.runs + new.runs > 1)
        fail_msg("ran %u times at old, %u at new, order %d %d %d %d, issued "
                 "at %u",
                 old.runs, new.runs, order[0], order[1], order[2], order[3],
                 issue_at);
    agent_end(&old);
    agent_end(&new);
}

/* Runs run_join() for every order of the steps from `n` on and every time of
   issue; counts the runs. */
static void permute(Step *order, unsigned n, unsigned *count)
{
    if (n == STEPS) {
        bool old_learns_in_time = false;
        for (unsigned i = 0; i < STEPS; i++) {
            if (order[i] == SETTLES)
                break;
            old_learns_in_time |= order[i] == OLD_LEARNS;
        }
        /* The protocol assumes that a member record reaches all boxes within
           the settling time. */
        if (!old_learns_in_time)
            return;
        for (unsigned at = 0; at <= STEPS; at++, ++*count)
            run_join(order, at);
        return;
    }
    for (unsigned i = n; i < STEPS; i++) {
        Step t = order[n];
        order[n] = order[i];
        order[i] = t;
        permute(order, n + 1, count);
        order[i] = order[n];
        order[n] = t;
    }
}

static void a_key_runs_once_in_any_order_of_a_join(void **state)
{
    Step order[STEPS] = { OLD_LEARNS, NEW_LEARNS, HAND_OVER, SETTLES };
    unsigned count = 0;
    (void)state;
    permute(order, 0, &count);
    assert_int_equal(count, 12 * (STEPS + 1));
}

static void after_a_lost_owner_older_keys_are_unknown(void **state)
{
    Agent a;
    g_autofree char *key = key_for("dead", "heir");
    Wp__Member dead = member("dead", 1);
    (void)state;
    agent_init(&a, "heir", 1);
    wp_members_merge(a.members, &dead, 0);
    assert_int_equal(offer(&a, 100000, key, 99990), WP_NOT_KEEPER);
    dead.has_gone = 1;
    dead.gone = 1;
    wp_members_merge(a.members, &dead, 0);
    wp_idempotency_note_departed(a.keys, at_ms(200000), &dead);
    assert_int_equal(offer(&a, 200010, key, 200005), WP_NOT_KEEPER);
    assert_int_equal(offer(&a, 202000, key, 199000), WP_ONCE_UNKNOWN);
    assert_int_equal(offer(&a, 202000, key, 0), WP_ONCE_UNKNOWN);
    assert_int_equal(offer(&a, 202000, key, 201000), WP_OK);
    assert_int_equal(offer(&a, 202001, key, 201000), WP_ONCE_RUNNING);
    wp_idempotency_done(a.keys, at_ms(202002), key);
    assert_int_equal(offer(&a, 202003, key, 201000), WP_ONCE_DONE);
    agent_end(&a);
}

static void after_a_drained_owner_no_key_is_unknown(void **state)
{
    Agent a, leaver;
    g_autofree char *key = key_for("leaver", "heir");
    (void)state;
    agent_init(&a, "heir", 1);
    agent_init(&leaver, "leaver", 1);
    wp_members_merge(a.members, &leaver.self, 0);
    wp_members_merge(leaver.members, &a.self, 0);
    wp_idempotency_note_handover(leaver.keys, "heir", 1);
    assert_int_equal(offer(&leaver, 100000, key, 99990), WP_OK);
    Wp__Member left = leaver.self;
    left.has_leaving = 1;
    left.leaving = 1;
    wp_members_merge(a.members, &left, 0);
    wp_idempotency_note_departed(a.keys, at_ms(100100), &left);
    /* The drained agent's keys may not have arrived yet. */
    assert_int_equal(offer(&a, 100110, key, 99990), WP_NOT_KEEPER);
    hand_over_keys(&leaver, &a, 100120);
    assert_int_equal(offer(&a, 100130, key, 99990), WP_ONCE_RUNNING);
    g_autofree char *fresh = key_for("leaver", "heir");
    g_autofree char *other = g_strconcat(fresh, "x", NULL);
    (void)other;
    agent_end(&a);
    agent_end(&leaver);
}

static void find_owner(void *arg, const char *version, const char *key,
                       bool done)
{
    const Agent *a = arg;
    const WPMemberRow *r =
        wp_idempotency_owner(a->members, version, key, 100000, SETTLE_MS);
    (void)done;
    assert_non_null(r);
    assert_string_equal(r->m->id, "third");
}

/* An agent that drains looks for the next owner of each key that it has, also
   of those that it was handed. */
static void a_key_that_was_handed_over_is_handed_on(void **state)
{
    Agent first, second;
    Wp__Member third = member("third", 1);
    (void)state;
    agent_init(&first, "first", 1);
    agent_init(&second, "second", 1);
    assert_int_equal(wp_idempotency_begin(first.keys, at_ms(100000), VERSION,
                                          "w/key", 99990, 0),
                     WP_OK);
    hand_over_keys(&first, &second, 100010);
    assert_int_equal(wp_idempotency_count(second.keys), 1);
    wp_members_merge(second.members, &third, 0);
    second.self.has_leaving = second.self.leaving = 1;
    wp_members_merge(second.members, &second.self, 0);
    wp_idempotency_each(second.keys, find_owner, &second);
    agent_end(&first);
    agent_end(&second);
}

static void keys_expire_after_the_window(void **state)
{
    Agent a;
    (void)state;
    agent_init(&a, "only", 1);
    uint64_t t = 100000000;
    assert_int_equal(offer(&a, t, "k", t), WP_OK);
    assert_int_equal(wp_idempotency_count(a.keys), 1);
    t += WINDOW_S * 1000ULL + 1;
    assert_int_equal(offer(&a, t, "k2", t), WP_OK);
    assert_int_equal(wp_idempotency_count(a.keys), 1);
    /* The first key is past the window, so whether it ran is unknown and it
       must not run again. */
    assert_int_equal(offer(&a, t, "k", t - WINDOW_S * 1000ULL - 1),
                     WP_ONCE_UNKNOWN);
    agent_end(&a);
}

TESTS_MAIN(T(a_key_runs_once_in_any_order_of_a_join),
           T(after_a_lost_owner_older_keys_are_unknown),
           T(after_a_drained_owner_no_key_is_unknown),
           T(a_key_that_was_handed_over_is_handed_on),
           T(keys_expire_after_the_window))
