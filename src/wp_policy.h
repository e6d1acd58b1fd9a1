/* The configuration compiled for routing decisions, once per revision, so that
 * a request needs only bit sets and small arrays. */
#ifndef WP_POLICY_H
#define WP_POLICY_H

#include "wp_config.h"
#include "wp_labels.h"

enum { WP_MAX_VERSIONS = 256, WP_VERSION_SET_WORDS = WP_MAX_VERSIONS / 64 };

/* A set of versions, by their index in the policy. */
typedef struct WPVersionSet {
    uint64_t w[WP_VERSION_SET_WORDS];
} WPVersionSet;

static inline void wp_version_set_add(WPVersionSet *s, unsigned i)
{
    s->w[i / 64] |= 1ULL << (i % 64);
}

static inline void wp_version_set_remove(WPVersionSet *s, unsigned i)
{
    s->w[i / 64] &= ~(1ULL << (i % 64));
}

static inline bool wp_version_set_has(const WPVersionSet *s, unsigned i)
{
    return s->w[i / 64] >> (i % 64) & 1;
}

static inline bool wp_version_set_empty(const WPVersionSet *s)
{
    return !(s->w[0] | s->w[1] | s->w[2] | s->w[3]);
}

/* Returns the number of versions in the set. */
unsigned wp_version_set_count(const WPVersionSet *s);

typedef struct WPVersion {
    unsigned index;
    const Wp__Version *spec; /* owned by the policy */
    WPLabels *labels;        /* its own, its model's, and those set by rules */
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

/* Immutable after creation; reference-counted. */
typedef struct WPPolicy WPPolicy;

/* Compiles a configuration. Never fails: objects that are invalid are left out
   and named in wp_policy_problems(). A selector that denies and cannot be
   parsed denies everything. */
WPPolicy *wp_policy_new(const WPConfig *c);

/* Like wp_policy_new(), with the policies of the configurations that the undos
   of `c` lead back to. Those that `prev` has (NULL: none) are shared with it.
 */
WPPolicy *wp_policy_new_with_past(const WPConfig *c, const WPPolicy *prev);

/* A configuration that was replaced by a later one. */
typedef struct WPPastPolicy {
    uint64_t effective_ms; /* until when sessions began by it, Unix ms */
    WPPolicy *policy;      /* has no past of its own */
} WPPastPolicy;

/* The past policies, oldest first: their number, and the one at an index below
   that number, owned by `p`. */
unsigned wp_policy_pasts(const WPPolicy *p);
const WPPastPolicy *wp_policy_past_at(const WPPolicy *p, unsigned i);

/* Takes and drops a reference. */
WPPolicy *wp_policy_ref(WPPolicy *p);
void wp_policy_unref(WPPolicy *p);

/* Returns the revision of the configuration that it was compiled from. */
uint64_t wp_policy_revision(const WPPolicy *p);

/* Returns a message (char *) for each invalid object; owned by the policy. */
const GPtrArray *wp_policy_problems(const WPPolicy *p);

/* Accessors of versions, kinds and workspaces: their number, the one at an
   index below that number (_at), and the one of this name, or NULL. All objects
   are owned by the policy. */
unsigned wp_policy_versions(const WPPolicy *p);
const WPVersion *wp_policy_version_at(const WPPolicy *p, unsigned i);
const WPVersion *wp_policy_version(const WPPolicy *p, const char *name);
unsigned wp_policy_kinds(const WPPolicy *p);
const WPKind *wp_policy_kind_at(const WPPolicy *p, unsigned i);
const WPKind *wp_policy_kind(const WPPolicy *p, const char *name);
unsigned wp_policy_workspaces(const WPPolicy *p);
const WPWorkspace *wp_policy_workspace_at(const WPPolicy *p, unsigned i);
const WPWorkspace *wp_policy_workspace(const WPPolicy *p, const char *name);

/* Returns the workspace that has an API key with this SHA-256 digest, in hex,
   or NULL. */
const WPWorkspace *wp_policy_by_key(const WPPolicy *p, const char *sha256);

/* Accessors of roll-outs and session keys: their number, and the one at an
   index below that number. */
unsigned wp_policy_rollouts(const WPPolicy *p);
const WPRollout *wp_policy_rollout_at(const WPPolicy *p, unsigned i);
unsigned wp_policy_session_keys(const WPPolicy *p);
const Wp__SessionKey *wp_policy_session_key_at(const WPPolicy *p, unsigned i);

/* Sets `out` to the versions that may serve a request of this workspace and
   kind (NULL: none) with the labels `request`, which may be NULL. Withdrawn
   versions are never included. The workspace's own labels take precedence over
   the request's. */
void wp_policy_allowed(const WPPolicy *p, const WPWorkspace *ws,
                       const WPKind *kind, const WPLabels *request,
                       WPVersionSet *out);

/* Like wp_policy_allowed(), without the selectors that allow and were changed
   after `at_ms` (Unix ms): the versions that a session that began then could
   have been assigned. */
void wp_policy_allowed_as_of(const WPPolicy *p, const WPWorkspace *ws,
                             const WPKind *kind, const WPLabels *request,
                             uint64_t at_ms, WPVersionSet *out);

/* Removes from `set` the versions that `model` does not name. It may be the
   name of a version or of a model; the name of a kind, or "auto", stands for
   all models. Returns false if nothing has that name. */
bool wp_policy_filter_model(const WPPolicy *p, const char *model,
                            WPVersionSet *set);

/* Removes from `set` the versions that a request to this plain service may not
   go to or, if `service` is NULL, as wp_policy_filter_model() does; `model`
   NULL: "auto". Returns false if no version or model has the model's name. */
bool wp_policy_filter_request(const WPPolicy *p, const char *model,
                              const char *service, WPVersionSet *set);

/* Explains why each version may or may not serve the traffic. Returns one line
   per version (char *); free with g_ptr_array_unref(). */
GPtrArray *wp_policy_explain(const WPPolicy *p, const WPWorkspace *ws,
                             const WPKind *kind, const WPLabels *request);

#endif
