/* What every box does with the others: keeps the configuration, the table of
 * boxes and the ratings' sums, spreads news, and speaks with the store when
 * it is its zone's turn. No I/O: messages, answers and time go in; actions
 * come out and are taken with wp_node_next(). */
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
    WP_ACT_READ_HEAD, /* read the newest change -> wp_node_head() */
    WP_ACT_READ_ALL,  /* read the whole configuration -> wp_node_all() */
    WP_ACT_WATCH,     /* watch the newest change -> wp_node_watched() */
    WP_ACT_UNWATCH,
    WP_ACT_READ_BOXES,   /* -> wp_node_boxes() */
    WP_ACT_READ_RATINGS, /* -> wp_node_ratings() */
    WP_ACT_CONFIG,       /* the configuration has changed */
    WP_ACT_MEMBERS,      /* the table of boxes has changed */
    WP_ACT_QUALITY,      /* the ratings' sums have changed */
    WP_ACT_READY         /* may serve from now on */
} WPActionKind;

typedef struct WPAction {
    WPList link;
    WPActionKind kind;
    char *addr;
    GByteArray *frame; /* packed Frame, without the length */
} WPAction;

typedef struct WPNode WPNode;

/* What the platform's list says of one box. */
typedef struct WPBox {
    const char *id, *addr;
    uint32_t port;
    bool leaving;
} WPBox;

/* `self` is copied; its incarnation must be higher than any before. */
WPNode *wp_node_new(const Wp__NodeSettings *s, const Wp__Member *self,
                    uint32_t seed, WPTime now);
void wp_node_free(WPNode *n);

void wp_node_tick(WPNode *n, WPTime now);

/* A message from the peer that listens at `from`. Returns false when it is
   none of a node's own and is for the entry or the agent. */
bool wp_node_frame(WPNode *n, WPTime now, const char *from, const Wp__Frame *f);

/* The head's revision and value (a packed Delta), asked for at `asked_us`;
   revision 0 when nothing was ever written; `ok` false when the store did
   not answer. */
void wp_node_head(WPNode *n, WPTime now, int64_t asked_us, bool ok,
                  uint64_t revision, const uint8_t *value, size_t size);
void wp_node_all(WPNode *n, WPTime now, int64_t asked_us, bool ok,
                 const Wp__Snapshot *s);
void wp_node_watched(WPNode *n, WPTime now, uint64_t revision,
                     const uint8_t *value, size_t size);
void wp_node_watch_ended(WPNode *n, WPTime now);
void wp_node_boxes(WPNode *n, WPTime now, const WPBox *boxes, size_t count);
void wp_node_ratings(WPNode *n, WPTime now, const Wp__Ratings *r);

/* Next action, or NULL; free it with wp_action_free(). */
WPAction *wp_node_next(WPNode *n);
void wp_action_free(WPAction *a);

/* A peer has shown this revision; asks it for what is missing. */
void wp_node_saw(WPNode *n, WPTime now, const char *from, uint64_t revision);

/* Changes the own record and spreads it. */
void wp_node_leave(WPNode *n, WPTime now);
void wp_node_serve(WPNode *n, WPTime now, char **versions);

bool wp_node_ready(const WPNode *n);
bool wp_node_store_up(const WPNode *n);
const WPConfig *wp_node_config(const WPNode *n);
const WPMembers *wp_node_members(const WPNode *n);
const Wp__Member *wp_node_self(const WPNode *n);
WPQuality *wp_node_quality(WPNode *n);
WPCounters *wp_node_counters(WPNode *n);
WPEvents *wp_node_events(WPNode *n);

/* Milliseconds since the configuration was last known to be the newest, by
   own reading of the store or another box's; INT64_MAX if never. */
int64_t wp_node_age_ms(const WPNode *n, WPTime now);

/* The policy is only used to weigh ratings; the node holds a reference. */
void wp_node_set_policy(WPNode *n, WPPolicy *p);

/* Whether this box is among the first `most` of its zone. */
bool wp_node_on_duty(WPNode *n, unsigned most);

/* The same among the entries of its zone. */
bool wp_node_entry_on_duty(WPNode *n, unsigned most);

#endif
