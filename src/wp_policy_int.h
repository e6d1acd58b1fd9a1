/* Internals of WPPolicy, for the modules that compile and evaluate it. */
#ifndef WP_POLICY_INT_H
#define WP_POLICY_INT_H

#include "wp_policy.h"

typedef struct WPSelectorRule {
    const Wp__Selector *spec;
    WPSelector *traffic;   /* NULL: matches no traffic */
    WPVersionSet versions; /* versions that its version selector matches */
    bool deny;
} WPSelectorRule;

typedef struct WPLabelRule {
    const Wp__Rule *spec;
    WPSelector *match; /* NULL: matches nothing */
} WPLabelRule;

struct WPPolicy {
    int refs;
    uint64_t revision;
    WPConfig *config_copy; /* a copy that owns the decoded objects */
    GArray *versions;      /* of WPVersion */
    GArray *kinds;         /* of WPKind */
    GArray *workspaces;    /* of WPWorkspace */
    GArray *selectors;     /* of WPSelectorRule */
    GArray *rules;         /* of WPLabelRule */
    GArray *rollouts;      /* of WPRollout */
    GPtrArray *models;     /* of const Wp__Model */
    GPtrArray *session_keys;
    GHashTable *by_name;         /* "KIND/NAME" -> index + 1 */
    GHashTable *by_key;          /* key digest -> index of workspace + 1 */
    WPVersionSet *allowed_table; /* [workspace * kinds + kind]: allowed versions
                                    of requests without labels */
    GPtrArray *problems;
    GArray *past; /* of WPPastPolicy */
};

/* Returns an empty array of WPPastPolicy that owns the policies in it. */
GArray *wp_past_new(void);

/* Applies the rules on `target` ("model", "version", "workspace" or "request")
   to `labels` until they change nothing more. Rules match against `overrides`,
   which may be NULL, before `labels`. Returns false if rules undo each other's
   changes without end. */
bool wp_rules_apply(const WPPolicy *p, const char *target,
                    const WPLabels *overrides, WPLabels *labels);

/* Returns the labels of the traffic: the workspace's, then "workspace" and
   "kind" with the names of both (`kind` may be NULL). Free with
   wp_labels_free(). */
WPLabels *wp_traffic_labels(const WPWorkspace *ws, const WPKind *kind);

/* Like wp_policy_allowed(), without the precomputed table. */
void wp_policy_compute_allowed(const WPPolicy *p, const WPWorkspace *ws,
                               const WPKind *kind, const WPLabels *request,
                               WPVersionSet *out);

#endif
