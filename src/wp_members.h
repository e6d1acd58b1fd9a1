/* The table of boxes, merged from every side without coordination: of two
 * records of one box the higher (incarnation, rank, seq) wins, where gone
 * ranks over leaving and leaving over live. So a box that has left cannot
 * come back in the same incarnation by an old message. */
#ifndef WP_MEMBERS_H
#define WP_MEMBERS_H

#include "wire.pb-c.h"
#include "wp_base.h"

enum { WP_MEMBER_BUCKETS = 128 };

typedef struct WPMembers WPMembers;

typedef struct WPMemberRow {
    Wp__Member *m;
    char *addr;       /* host:port */
    int64_t first_us; /* when this incarnation was first heard of */
    uint64_t hash;
    guint peer_index; /* place in the array of live ones; own use */
} WPMemberRow;

WPMembers *wp_members_new(void);
void wp_members_free(WPMembers *t);

/* Copies `m` if it is news; returns whether it was. */
bool wp_members_take(WPMembers *t, const Wp__Member *m, int64_t now_us);

const WPMemberRow *wp_members_get(const WPMembers *t, const char *id);

/* Boxes that are not gone. */
unsigned wp_members_live(const WPMembers *t);
const WPMemberRow *wp_members_live_at(const WPMembers *t, unsigned i);

/* All rows, also of boxes that are gone. */
void wp_members_each(const WPMembers *t,
                     void (*fn)(void *arg, const WPMemberRow *r), void *arg);

uint64_t wp_members_hash(const WPMembers *t);
uint64_t wp_members_bucket_hash(const WPMembers *t, unsigned bucket);
unsigned wp_member_bucket(const char *id);

/* How many live boxes of the zone of `self`, of the role (0: any), come
   before it in the order in which boxes take on work for their zone. */
unsigned wp_members_rank(const WPMembers *t, const Wp__Member *self,
                         unsigned role);

/* Copies and frees single records. */
Wp__Member *wp_member_copy(const Wp__Member *m);

#endif
