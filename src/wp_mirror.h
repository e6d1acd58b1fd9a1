/* A local copy of the store's entries that the router reads, versioned by the
 * store's own revisions (wp_revision.h). Boxes send each other what is missing
 * in their copies, so that a box that the store does not answer still receives
 * changes.
 *
 * When the store was restored from an older copy, it has lost changes that are
 * known here. They stay in force, marked as lost, until they are written again:
 * by those who had written them, or by the boxes themselves. */
#ifndef WP_MIRROR_H
#define WP_MIRROR_H

#include "wire.pb-c.h"
#include "wp_revision.h"

enum { WP_MIRROR_EARLIER_MAX = 8 };

/* An earlier state of an entry. */
typedef struct WPMirrorState {
    uint64_t number; /* the store's */
    uint64_t hash;   /* of the value */
} WPMirrorState;

typedef struct WPMirrorItem {
    char *key;
    GBytes *value; /* NULL: removed */
    uint64_t revision;
    GBytes *compressed; /* the value as it is sent to other boxes; created when
                           first needed */
    bool lapsed; /* removed, but perhaps only by an expired lease while the
                    store was unavailable */
    /* The store has lost this change in a restore. It has an earlier state of
       the entry of the number of `revision`; 0: none. */
    bool lost;
    /* The latest states before this one, in a ring. */
    WPMirrorState earlier[WP_MIRROR_EARLIER_MAX];
    unsigned n_earlier; /* that there were */
} WPMirrorItem;

/* What a state of an entry that was received has changed. */
typedef enum WPMirrorChange {
    WP_MIRROR_OLD,     /* nothing: it is not newer than the known one */
    WP_MIRROR_CHANGED, /* the entry */
    WP_MIRROR_SAME,    /* only its revision, in a new era or when a lost change
                          was written again */
    WP_MIRROR_LOST /* only its revision: the store has lost the known change,
                      and what it has is an earlier state */
} WPMirrorChange;

typedef struct WPMirror WPMirror;

/* Returns an empty copy at revision 0. */
WPMirror *wp_mirror_new(void);
void wp_mirror_free(WPMirror *m);

/* Returns the revision up to which the copy contains every change. */
uint64_t wp_mirror_complete_revision(const WPMirror *m);

/* Raises the complete revision to `revision`; never lowers it. */
void wp_mirror_advance(WPMirror *m, uint64_t revision);

/* The entries are to be those of a full copy that has all changes since `from`
   only: of entries that came and went before, nothing is known. Call it before
   wp_mirror_advance(). */
void wp_mirror_note_copy(WPMirror *m, uint64_t from);

/* Stores an entry, or its removal if `value` is NULL. Does nothing if
   `revision` is not higher than the known one of the key. */
WPMirrorChange wp_mirror_put(WPMirror *m, const char *key, const WPStr *value,
                             uint64_t revision, bool lapsed);

/* Marks an entry, as another box has sent it, as lost. */
void wp_mirror_mark_lost(WPMirror *m, const char *key);

/* Marks all entries from before this era as lost: the store was read since, or
   another box has sent all that it has, and they were not there. Returns how
   many there are. */
unsigned wp_mirror_mark_missing(WPMirror *m, uint64_t era);

/* Returns the lost changes (WPMirrorItem, owned by `m`) whose keys begin with
   `prefix`; free with g_ptr_array_unref(). */
GPtrArray *wp_mirror_lost(const WPMirror *m, const char *prefix);

/* Returns whether there is an entry whose key begins with `prefix`. */
bool wp_mirror_has_prefix(const WPMirror *m, const char *prefix);

/* Returns the number of entries, including removed ones that are still on
   record. */
uint32_t wp_mirror_size(const WPMirror *m);

/* Returns the revision of the entry in the store, for a conditional write; 0 if
   the store has none. */
uint64_t wp_mirror_key_revision(const WPMirror *m, const char *key);

/* Returns an entry, owned by `m`; NULL if it does not exist. */
const WPMirrorItem *wp_mirror_get(const WPMirror *m, const char *key);

/* Returns the entries changed after a revision (WPMirrorItem, owned by `m`), in
   the order of their changes; free with g_ptr_array_unref(). */
GPtrArray *wp_mirror_since(const WPMirror *m, uint64_t revision);

/* Returns the entries (WPMirrorItem, owned by `m`) that a full read of the
   store at `revision` did not return: those known from before it in the same
   era whose keys are not in the set `keys`, and that are not known to be lost.
   Free with g_ptr_array_unref(). */
GPtrArray *wp_mirror_not_in(const WPMirror *m, GHashTable *keys,
                            uint64_t revision);

/* Returns a message to another box with all entries changed after revision
   `since`, or with all entries, since 0, if not all changes since then are
   known. Its items point into `m`; free it with wp_mirror_delta_free(). */
Wp__MirrorDelta *wp_mirror_delta(const WPMirror *m, uint64_t since);
void wp_mirror_delta_free(Wp__MirrorDelta *d);

/* Like wp_mirror_delta(), with all items compressed as one block; NULL if there
   are too few for the block to be much shorter. The block is cached until the
   copy changes, as many boxes that start together request it. */
Wp__MirrorDelta *wp_mirror_delta_compressed(WPMirror *m, uint64_t since);

/* Returns a partial delta, with only the entries whose key begins with `prefix`
   and whose value ends with `end`; free it with wp_mirror_delta_free(). */
Wp__MirrorDelta *wp_mirror_delta_matching(const WPMirror *m, const char *prefix,
                                          const char *end);

/* Turns the revisions of a message, and of a delta also those of its items,
   from the store's numbers and eras into ordered ones (wp_revision.h). A sender
   that names no era is in `own_era`. */
void wp_mirror_delta_join(Wp__MirrorDelta *d, uint64_t own_era);
void wp_mirror_digest_join(Wp__MirrorDigest *d, uint64_t own_era);
void wp_mirror_pull_join(Wp__MirrorPull *p, uint64_t own_era);

/* Sets the revision of a message to another box. */
void wp_mirror_digest_set_complete(Wp__MirrorDigest *d, uint64_t revision);
void wp_mirror_pull_set_since(Wp__MirrorPull *p, uint64_t revision);

/* Decompresses a delta that was received. Returns a new delta, to be freed with
   wp_pb_free(), or NULL if it cannot be decoded. */
Wp__MirrorDelta *wp_mirror_delta_decompress(const Wp__MirrorDelta *d);

/* Returns a new reference to the value of an item that was received,
   decompressed if necessary; NULL if the item is a removal or cannot be
   decoded. */
GBytes *wp_mirror_item_value(const Wp__MirrorItem *item);

#endif
