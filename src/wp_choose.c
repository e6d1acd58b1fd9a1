/* Policies that choose the version for a request. */
#include "wp_choose.h"

#include <math.h>

/* Cost of having one answer checked, as a share of a typical cheap answer;
   prevents cascades with a negligible gain. */
#define CHECK_COST_SHARE 0.02
/* Versions with a lower chance of meeting the quality target are not
   explored. */
#define EXPLORE_CHANCE 0.05

double wp_version_cost(const WPVersion *v, uint32_t prompt_tokens,
                       uint32_t answer_tokens)
{
    return (v->spec->cost_in * prompt_tokens +
            v->spec->cost_out * answer_tokens) /
           1000;
}

static const WPBound *bound(const WPVersionQuery *c, unsigned i)
{
    unsigned n = wp_policy_versions(c->policy);
    return &c->bounds[c->kind->index * n + i];
}

static double cost(const WPVersionQuery *c, unsigned i)
{
    return wp_version_cost(wp_policy_version_at(c->policy, i), c->prompt_tokens,
                           c->answer_tokens);
}

typedef double (*KeyFn)(const WPVersionQuery *c, unsigned i);
typedef bool (*TestFn)(const WPVersionQuery *c, unsigned i);

/* The allowed version with the lowest `key` of those that pass `test` (NULL:
   all); -1 if there is none. */
static int min_version(const WPVersionQuery *c, KeyFn key, TestFn test)
{
    int best = -1;
    double best_key = 0;
    for (unsigned i = 0; i < wp_policy_versions(c->policy); i++) {
        if (!wp_version_set_has(&c->allowed, i) || (test && !test(c, i)))
            continue;
        double k = key(c, i);
        if (best >= 0 && k >= best_key)
            continue;
        best = (int)i;
        best_key = k;
    }
    return best;
}

static double weakness(const WPVersionQuery *c, unsigned i)
{
    return -bound(c, i)->low;
}

static double prior_weakness(const WPVersionQuery *c, unsigned i)
{
    return -wp_policy_version_at(c->policy, i)->spec->quality_prior;
}

static double target(const WPVersionQuery *c)
{
    return c->kind->spec->quality_target;
}

static bool is_qualified(const WPVersionQuery *c, unsigned i)
{
    return bound(c, i)->low >= target(c);
}

static bool is_qualified_and_free(const WPVersionQuery *c, unsigned i)
{
    return is_qualified(c, i) && !wp_version_set_has(&c->busy, i);
}

/* The cheapest qualified version (one whose lower quality bound meets the
   target) with a free slot; else the cheapest qualified one; else the one with
   the highest lower bound. */
static int best_version(const WPVersionQuery *c)
{
    int best = min_version(c, cost, is_qualified_and_free);
    if (best < 0)
        best = min_version(c, cost, is_qualified);
    if (best < 0)
        best = min_version(c, weakness, NULL);
    return best;
}

/* The chance that the version meets the target, assuming a normal distribution
   with these bounds. */
static double target_chance(const WPVersionQuery *c, unsigned i)
{
    const WPBound *b = bound(c, i);
    double spread = (b->high - b->low) / (2 * WP_QUALITY_Z);
    if (spread <= 0)
        return b->mean >= target(c);
    return 0.5 * erfc((target(c) - b->mean) / spread / M_SQRT2);
}

/* The version most worth exploring: the one with the largest cost saving,
   times its chance of meeting the target. -1 if there is none, or if this
   request is not used for exploration. */
static int explored_version(const WPVersionQuery *c, int best)
{
    int other = -1;
    double best_gain = 0;
    if (c->kind->spec->strict || !c->may_explore ||
        c->random >= c->kind->spec->explore_share)
        return -1;
    for (unsigned i = 0; i < wp_policy_versions(c->policy); i++) {
        double saving = cost(c, (unsigned)best) - cost(c, i);
        if (!wp_version_set_has(&c->allowed, i) ||
            wp_version_set_has(&c->busy, i) || is_qualified(c, i) ||
            target_chance(c, i) < EXPLORE_CHANCE)
            continue;
        if (saving * target_chance(c, i) <= best_gain)
            continue;
        best_gain = saving * target_chance(c, i);
        other = (int)i;
    }
    return other;
}

/* Asking a cheap version first pays if cheap + check + p(fail) * strong <
   strong. */
static bool cascade_pays(const WPVersionQuery *c, unsigned cheap,
                         unsigned strong)
{
    double a = cost(c, cheap);
    double b = cost(c, strong);
    return a * (1 + CHECK_COST_SHARE) + (1 - bound(c, cheap)->mean) * b < b;
}

/* The policy "cost": the best version, or a version to explore, or a cheap one
   with escalation to the best one if that is expected to cost less. */
static WPVersionChoice choose_cost(const WPChooser *self,
                                   const WPVersionQuery *c)
{
    WPVersionChoice out = { best_version(c), -1, false };
    (void)self;
    if (out.version < 0)
        return out;
    int other = explored_version(c, out.version);
    if (other >= 0) {
        out.version = other;
        out.explored = true;
        return out;
    }
    const Wp__Kind *k = c->kind->spec;
    int cheap = min_version(c, cost, NULL);
    if (k->cascade && k->repeatable && cheap != out.version &&
        cascade_pays(c, (unsigned)cheap, (unsigned)out.version)) {
        out.escalate = out.version;
        out.version = cheap;
    }
    return out;
}

static WPVersionChoice choose_strongest(const WPChooser *self,
                                        const WPVersionQuery *c)
{
    (void)self;
    return (WPVersionChoice){ min_version(c, prior_weakness, NULL), -1, false };
}

static WPVersionChoice choose_cheapest(const WPChooser *self,
                                       const WPVersionQuery *c)
{
    (void)self;
    return (WPVersionChoice){ min_version(c, cost, NULL), -1, false };
}

/* Equal shares of requests for all allowed versions. */
static WPVersionChoice choose_static(const WPChooser *self,
                                     const WPVersionQuery *c)
{
    unsigned n = wp_version_set_count(&c->allowed);
    unsigned k = (unsigned)(c->random * n);
    (void)self;
    for (unsigned i = 0; i < wp_policy_versions(c->policy); i++)
        if (wp_version_set_has(&c->allowed, i) && k-- == 0)
            return (WPVersionChoice){ (int)i, -1, false };
    return (WPVersionChoice){ -1, -1, false };
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
