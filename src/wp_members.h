/* The membership table: the boxes of the system, merged from all sources
 * without coordination. Of two records of one box the one with the higher
 * (incarnation, state, seq) wins, where gone ranks above draining and draining
 * above live. So an old message cannot bring back a box that is gone in the
 * same incarnation. */
#ifndef WP_MEMBERS_H
#define WP_MEMBERS_H

#include "wire.pb-c.h"
#include "wp_base.h"

enum { WP_MEMBER_BUCKETS = 128 };

typedef struct WPMembers WPMembers;

typedef struct WPMemberRow {
    Wp__Member *m;
    char *addr;            /* host:port */
    int64_t first_seen_us; /* when this incarnation was first received */
    uint64_t hash;
    guint live_index; /* index in the array of live boxes; internal */
} WPMemberRow;

/* Returns an empty table. */
WPMembers *wp_members_new(void);
void wp_members_free(WPMembers *t);

/* Stores a copy of `m` if it is newer than the record of the same box. Returns
   whether it was. */
bool wp_members_merge(WPMembers *t, const Wp__Member *m, int64_t now_us);

/* Returns the row of the box with this id, owned by `t`; NULL: not known. */
const WPMemberRow *wp_members_get(const WPMembers *t, const char *id);

/* Returns the number of boxes that are not gone. */
unsigned wp_members_live_count(const WPMembers *t);

/* Returns the box at an index below wp_members_live_count(). */
const WPMemberRow *wp_members_live_at(const WPMembers *t, unsigned i);

/* Calls `fn` with `arg` for each row, including those of boxes that are
   gone. */
void wp_members_each(const WPMembers *t,
                     void (*fn)(void *arg, const WPMemberRow *r), void *arg);

/* Returns the hash of all records; two boxes with the same records have the
   same hash. */
uint64_t wp_members_hash(const WPMembers *t);

/* Returns the hash of the records in one of WP_MEMBER_BUCKETS buckets. */
uint64_t wp_members_bucket_hash(const WPMembers *t, unsigned bucket);

/* Returns the bucket of the box with this id. */
unsigned wp_member_bucket(const char *id);

/* Returns the rank of `self` in its zone: the number of other boxes of the zone
   that precede it, not counting those that are gone or draining, or that have
   another role than `role` (Wp__Role; 0: any). Boxes with low ranks take on
   work for their zone. */
unsigned wp_members_rank(const WPMembers *t, const Wp__Member *self,
                         unsigned role);

/* Returns a copy of a record; free with wp_pb_free(). */
Wp__Member *wp_member_copy(const Wp__Member *m);

#endif
