/* The cluster node that runs in every box: replicates the configuration, the
 * membership table and the sums of ratings, gossips changes to its peers, and
 * polls and watches the store if it is designated to do so for its zone. It
 * does no I/O: messages, answers and the time are passed in, and the actions
 * that it returns by wp_node_next_action() are carried out by the caller. */
#ifndef WP_NODE_H
#define WP_NODE_H

#include "settings.pb-c.h"
#include "wp_config.h"
#include "wp_counters.h"
#include "wp_events.h"
#include "wp_members.h"
#include "wp_quality.h"

typedef enum WPActionKind {
    WP_ACT_SEND,      /* `frame` to the peer at `addr` */
    WP_ACT_READ_HEAD, /* read the newest change -> wp_node_on_head() */
    WP_ACT_READ_ALL, /* read the whole configuration -> wp_node_on_snapshot() */
    WP_ACT_WATCH,    /* watch the newest change -> wp_node_on_watch_event() */
    WP_ACT_UNWATCH,
    WP_ACT_READ_BOXES,   /* read the list of boxes -> wp_node_on_box_list() */
    WP_ACT_READ_RATINGS, /* read the sums of ratings -> wp_node_on_ratings() */
    WP_ACT_CONFIG,       /* the configuration has changed */
    WP_ACT_MEMBERS,      /* the membership table has changed */
    WP_ACT_QUALITY,      /* the sums of ratings have changed */
    WP_ACT_READY         /* this box may serve requests from now on */
} WPActionKind;

typedef struct WPAction {
    WPList link;
    WPActionKind kind;
    char *addr;
    GByteArray *frame; /* serialized Frame, without the length prefix */
} WPAction;

typedef struct WPNode WPNode;

/* One box in the platform's list of boxes. */
typedef struct WPBox {
    const char *id, *addr;
    uint32_t port;
    bool draining;
} WPBox;

/* Creates the node of the box `self`, which is copied; its incarnation must be
   higher than that of any earlier run. `seed` seeds the node's random
   numbers. */
WPNode *wp_node_new(const Wp__NodeSettings *s, const Wp__Member *self,
                    uint32_t seed, WPTime now);
void wp_node_free(WPNode *n);

/* Starts the gossip and the calls to the platform that are due. */
void wp_node_tick(WPNode *n, WPTime now);

/* Handles a message from the peer that listens at `from`. Returns false if it
   is not a message for the node but for the entry or the agent. */
bool wp_node_on_frame(WPNode *n, WPTime now, const char *from,
                      const Wp__Frame *f);

/* The answer to WP_ACT_READ_HEAD, which was sent at `asked_us`: the head's
   revision and value (a serialized Delta). `revision` is 0 if nothing was ever
   written; `ok` is false if the store did not answer. */
void wp_node_on_head(WPNode *n, WPTime now, int64_t asked_us, bool ok,
                     uint64_t revision, const uint8_t *value, size_t size);

/* The answer to WP_ACT_READ_ALL, as above; `s` is used only if `ok` is true. */
void wp_node_on_snapshot(WPNode *n, WPTime now, int64_t asked_us, bool ok,
                         const Wp__Snapshot *s);

/* The watched head has changed to this revision and value (a serialized
   Delta). */
void wp_node_on_watch_event(WPNode *n, WPTime now, uint64_t revision,
                            const uint8_t *value, size_t size);

/* The watch has failed; the node reads the head again soon. */
void wp_node_on_watch_end(WPNode *n, WPTime now);

/* The answer to WP_ACT_READ_BOXES; not called if the platform gave no valid
   answer. */
void wp_node_on_box_list(WPNode *n, WPTime now, const WPBox *boxes,
                         size_t count);

/* The answer to WP_ACT_READ_RATINGS; not called if the platform gave no valid
   answer. */
void wp_node_on_ratings(WPNode *n, WPTime now, const Wp__Ratings *r);

/* Returns the next queued action, or NULL; free it with wp_action_free(). */
WPAction *wp_node_next_action(WPNode *n);
void wp_action_free(WPAction *a);

/* A message from a peer carried this configuration revision: requests the
   missing changes from the peer if it is higher than the local one. */
void wp_node_on_peer_revision(WPNode *n, WPTime now, const char *from,
                              uint64_t revision);

/* Marks this box as draining, and announces its changed record. */
void wp_node_drain(WPNode *n, WPTime now);

/* Sets the versions that this box serves (ended by NULL, copied), and announces
   its changed record. */
void wp_node_set_versions(WPNode *n, WPTime now, char **versions);

/* Whether this box may serve requests: WP_ACT_READY has been queued. */
bool wp_node_ready(const WPNode *n);

/* Whether the store answered the last call. */
bool wp_node_store_up(const WPNode *n);

/* Parts of the node, which owns them. */
const WPConfig *wp_node_config(const WPNode *n);
const WPMembers *wp_node_members(const WPNode *n);
const Wp__Member *wp_node_self(const WPNode *n);
WPQuality *wp_node_quality(WPNode *n);
WPCounters *wp_node_counters(WPNode *n);
WPEvents *wp_node_events(WPNode *n);

/* Returns the milliseconds since the local configuration was last confirmed to
   be the newest, by this box's own read of the store or by another box's;
   INT64_MAX if it never was. */
int64_t wp_node_config_age_ms(const WPNode *n, WPTime now);

/* Sets the policy that ratings are evaluated with; it has no other use here.
   The node keeps a reference. */
void wp_node_set_policy(WPNode *n, WPPolicy *p);

/* Returns whether this box is designated to work for its zone: it is not
   draining, and fewer than `max` boxes of the zone precede it (see
   wp_members_rank()). */
bool wp_node_is_designated(WPNode *n, unsigned max);

/* Like wp_node_is_designated(), counting only the entries of the zone. */
bool wp_node_is_designated_entry(WPNode *n, unsigned max);

#endif
