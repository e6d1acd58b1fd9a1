/* Policies that choose a version. */
#include "wp_choose.h"

#include <math.h>

/* What asking for a check of one answer costs, as a share of a typical cheap
   answer; it keeps a cascade from being chosen for next to no gain. */
#define CHECK_COST_SHARE 0.02
/* A version less likely than this to be good enough is not tried. */
#define EXPLORE_CHANCE 0.05

double wp_version_cost(const WPVersion *v, uint32_t prompt_tokens,
                       uint32_t answer_tokens)
{
    return (v->spec->cost_in * prompt_tokens +
            v->spec->cost_out * answer_tokens) /
           1000;
}

static const WPBound *bound(const WPChoice *c, unsigned i)
{
    unsigned n = wp_policy_versions(c->policy);
    return &c->table[c->kind->index * n + i];
}

static double cost(const WPChoice *c, unsigned i)
{
    return wp_version_cost(wp_policy_version_at(c->policy, i), c->prompt_tokens,
                           c->answer_tokens);
}

/* The allowed version with the least `key`; -1 if none passes `test`. */
typedef double (*KeyFn)(const WPChoice *c, unsigned i);
typedef bool (*TestFn)(const WPChoice *c, unsigned i);

static int least(const WPChoice *c, KeyFn key, TestFn test)
{
    int best = -1;
    double best_key = 0;
    for (unsigned i = 0; i < wp_policy_versions(c->policy); i++) {
        if (!wp_set_has(&c->allowed, i) || (test && !test(c, i)))
            continue;
        double k = key(c, i);
        if (best >= 0 && k >= best_key)
            continue;
        best = (int)i;
        best_key = k;
    }
    return best;
}

static double weakness(const WPChoice *c, unsigned i)
{
    return -bound(c, i)->low;
}

static double prior_weakness(const WPChoice *c, unsigned i)
{
    return -wp_policy_version_at(c->policy, i)->spec->quality_prior;
}

static double target(const WPChoice *c)
{
    return c->kind->spec->quality_target;
}

static bool sure(const WPChoice *c, unsigned i)
{
    return bound(c, i)->low >= target(c);
}

static bool sure_and_free(const WPChoice *c, unsigned i)
{
    return sure(c, i) && !wp_set_has(&c->busy, i);
}

/* Cheapest that surely meets the target and has room; else that surely meets
   it; else the one with the best lower bound. */
static int best_version(const WPChoice *c)
{
    int best = least(c, cost, sure_and_free);
    if (best < 0)
        best = least(c, cost, sure);
    if (best < 0)
        best = least(c, weakness, NULL);
    return best;
}

/* How likely the version is to meet the target, by a normal law over its
   bounds. */
static double chance(const WPChoice *c, unsigned i)
{
    const WPBound *b = bound(c, i);
    double spread = (b->high - b->low) / (2 * WP_QUALITY_Z);
    if (spread <= 0)
        return b->mean >= target(c);
    return 0.5 * erfc((target(c) - b->mean) / spread / M_SQRT2);
}

/* What is learned best: the version with the largest saving times its chance
   to be good enough; -1 when none is worth it. */
static int explore(const WPChoice *c, int best)
{
    int other = -1;
    double most = 0;
    if (c->kind->spec->strict || !c->may_explore ||
        c->u >= c->kind->spec->explore_share)
        return -1;
    for (unsigned i = 0; i < wp_policy_versions(c->policy); i++) {
        double saving = cost(c, (unsigned)best) - cost(c, i);
        if (!wp_set_has(&c->allowed, i) || wp_set_has(&c->busy, i) ||
            sure(c, i) || chance(c, i) < EXPLORE_CHANCE)
            continue;
        if (saving * chance(c, i) <= most)
            continue;
        most = saving * chance(c, i);
        other = (int)i;
    }
    return other;
}

/* A cheap first leg pays when cheap + check + p(fail) * strong < strong. */
static bool cascade_pays(const WPChoice *c, unsigned cheap, unsigned strong)
{
    double a = cost(c, cheap);
    double b = cost(c, strong);
    return a * (1 + CHECK_COST_SHARE) + (1 - bound(c, cheap)->mean) * b < b;
}

static WPChosen choose_cost(const WPChooser *self, const WPChoice *c)
{
    WPChosen out = { best_version(c), -1, false };
    (void)self;
    if (out.version < 0)
        return out;
    int other = explore(c, out.version);
    if (other >= 0) {
        out.version = other;
        out.explored = true;
        return out;
    }
    const Wp__Kind *k = c->kind->spec;
    int cheap = least(c, cost, NULL);
    if (k->cascade && k->repeatable && cheap != out.version &&
        cascade_pays(c, (unsigned)cheap, (unsigned)out.version)) {
        out.escalate = out.version;
        out.version = cheap;
    }
    return out;
}

static WPChosen choose_strongest(const WPChooser *self, const WPChoice *c)
{
    (void)self;
    return (WPChosen){ least(c, prior_weakness, NULL), -1, false };
}

static WPChosen choose_cheapest(const WPChooser *self, const WPChoice *c)
{
    (void)self;
    return (WPChosen){ least(c, cost, NULL), -1, false };
}

/* Equal shares of what is allowed. */
static WPChosen choose_static(const WPChooser *self, const WPChoice *c)
{
    unsigned n = wp_set_count(&c->allowed);
    unsigned k = (unsigned)(c->u * n);
    (void)self;
    for (unsigned i = 0; i < wp_policy_versions(c->policy); i++)
        if (wp_set_has(&c->allowed, i) && k-- == 0)
            return (WPChosen){ (int)i, -1, false };
    return (WPChosen){ -1, -1, false };
}

static const WPChooserOps ops[] = {
    { "cost", choose_cost },
    { "strongest", choose_strongest },
    { "cheapest", choose_cheapest },
    { "static", choose_static },
};

static const WPChooser choosers[] = {
    { &ops[0] }, { &ops[1] }, { &ops[2] }, { &ops[3] }
};

const WPChooser *wp_chooser(const char *name)
{
    for (size_t i = 0; i < WP_COUNT(choosers); i++)
        if (!strcmp(choosers[i].ops->name, name))
            return &choosers[i];
    return NULL;
}
