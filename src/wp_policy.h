/* The configuration compiled for decisions: once per revision, so that a
 * request touches bit sets and small arrays only. */
#ifndef WP_POLICY_H
#define WP_POLICY_H

#include "wp_config.h"
#include "wp_labels.h"

enum { WP_MAX_VERSIONS = 256, WP_SET_WORDS = WP_MAX_VERSIONS / 64 };

/* A set of versions, by their index in the policy. */
typedef struct WPSet {
    uint64_t w[WP_SET_WORDS];
} WPSet;

static inline void wp_set_add(WPSet *s, unsigned i)
{
    s->w[i / 64] |= 1ULL << (i % 64);
}

static inline void wp_set_remove(WPSet *s, unsigned i)
{
    s->w[i / 64] &= ~(1ULL << (i % 64));
}

static inline bool wp_set_has(const WPSet *s, unsigned i)
{
    return s->w[i / 64] >> (i % 64) & 1;
}

static inline bool wp_set_empty(const WPSet *s)
{
    return !(s->w[0] | s->w[1] | s->w[2] | s->w[3]);
}

unsigned wp_set_count(const WPSet *s);

typedef struct WPVersion {
    unsigned index;
    const Wp__Version *spec; /* owned by the policy */
    WPLabels *labels;        /* own, the model's, and those of rules */
} WPVersion;

typedef struct WPKind {
    unsigned index;
    const Wp__Kind *spec;
} WPKind;

typedef struct WPWorkspace {
    unsigned index;
    const Wp__Workspace *spec;
    WPLabels *labels;
} WPWorkspace;

typedef struct WPRollout {
    const Wp__Rollout *spec;
    unsigned from, to; /* version indices */
} WPRollout;

/* Immutable once made; shared by reference. */
typedef struct WPPolicy WPPolicy;

/* Never fails: what cannot be used is left out (an unreadable selector that
   denies, denies all) and named in wp_policy_problems(). */
WPPolicy *wp_policy_new(const WPConfig *c);
WPPolicy *wp_policy_ref(WPPolicy *p);
void wp_policy_unref(WPPolicy *p);

uint64_t wp_policy_revision(const WPPolicy *p);
const GPtrArray *wp_policy_problems(const WPPolicy *p); /* of char * */

unsigned wp_policy_versions(const WPPolicy *p);
const WPVersion *wp_policy_version_at(const WPPolicy *p, unsigned i);
const WPVersion *wp_policy_version(const WPPolicy *p, const char *name);
unsigned wp_policy_kinds(const WPPolicy *p);
const WPKind *wp_policy_kind_at(const WPPolicy *p, unsigned i);
const WPKind *wp_policy_kind(const WPPolicy *p, const char *name);
unsigned wp_policy_workspaces(const WPPolicy *p);
const WPWorkspace *wp_policy_workspace_at(const WPPolicy *p, unsigned i);
const WPWorkspace *wp_policy_workspace(const WPPolicy *p, const char *name);

/* The workspace whose key has this SHA-256 in hex, or NULL. */
const WPWorkspace *wp_policy_by_key(const WPPolicy *p, const char *sha256);

unsigned wp_policy_rollouts(const WPPolicy *p);
const WPRollout *wp_policy_rollout_at(const WPPolicy *p, unsigned i);
unsigned wp_policy_session_keys(const WPPolicy *p);
const Wp__SessionKey *wp_policy_session_key_at(const WPPolicy *p, unsigned i);

/* Versions that may serve this traffic; withdrawn ones are never in it.
   `request` may be NULL. The workspace's own labels win over the request's. */
void wp_policy_allowed(const WPPolicy *p, const WPWorkspace *ws,
                       const WPKind *kind, const WPLabels *request, WPSet *out);

/* The same without what selectors allow that were changed after `at_ms`: what
   a session that began then could have been given. */
void wp_policy_allowed_since(const WPPolicy *p, const WPWorkspace *ws,
                             const WPKind *kind, const WPLabels *request,
                             uint64_t at_ms, WPSet *out);

/* Narrows `set` to what `model` names: a version, a model, or all when it
   names a kind or "auto". Returns false when nothing has that name. */
bool wp_policy_narrow(const WPPolicy *p, const char *model, WPSet *set);

/* Why each version may or may not serve the traffic: one line a version,
   of char *; free with g_ptr_array_unref(). */
GPtrArray *wp_policy_explain(const WPPolicy *p, const WPWorkspace *ws,
                             const WPKind *kind, const WPLabels *request);

#endif
