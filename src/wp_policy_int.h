/* The insides of WPPolicy, for the modules that compile and match. */
#ifndef WP_POLICY_INT_H
#define WP_POLICY_INT_H

#include "wp_policy.h"

typedef struct WPSelectorRule {
    const Wp__Selector *spec;
    WPSelector *traffic; /* NULL: matches no traffic */
    WPSet versions;      /* what the version side matches */
    bool deny;
} WPSelectorRule;

typedef struct WPLabelRule {
    const Wp__Rule *spec;
    WPSelector *match; /* NULL: matches nothing */
} WPLabelRule;

struct WPPolicy {
    int refs;
    uint64_t revision;
    WPConfig *own;      /* a copy that owns the decoded objects */
    GArray *versions;   /* of WPVersion */
    GArray *kinds;      /* of WPKind */
    GArray *workspaces; /* of WPWorkspace */
    GArray *selectors;  /* of WPSelectorRule */
    GArray *rules;      /* of WPLabelRule */
    GArray *rollouts;   /* of WPRollout */
    GPtrArray *models;  /* of const Wp__Model */
    GPtrArray *session_keys;
    GHashTable *by_name; /* "KIND/NAME" -> index + 1 */
    GHashTable *by_key;  /* key digest -> index of workspace + 1 */
    WPSet *plain;        /* [workspace * kinds + kind], no request labels */
    GPtrArray *problems;
};

/* Labels that rules on `target` add to `labels`, to a fixed point. Returns
   false when the rules undo each other. */
bool wp_rules_run(const WPPolicy *p, const char *target, const WPLabels *over,
                  WPLabels *labels);

/* The traffic's own labels: the workspace's, then kind and workspace. */
WPLabels *wp_traffic_labels(const WPWorkspace *ws, const WPKind *kind);

/* As wp_policy_allowed(), without the table made beforehand. */
void wp_allowed_slow(const WPPolicy *p, const WPWorkspace *ws,
                     const WPKind *kind, const WPLabels *request, WPSet *out);

#endif
