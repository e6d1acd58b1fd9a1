/* A local copy of the store's entries that the router reads, versioned by the
 * store's own revisions. Boxes send each other what is missing in their copies,
 * so that a box that the store does not answer still receives changes. */
#ifndef WP_MIRROR_H
#define WP_MIRROR_H

#include "wire.pb-c.h"
#include "wp_base.h"

typedef struct WPMirrorItem {
    char *key;
    GBytes *value; /* NULL: removed */
    uint64_t revision;
    GBytes *compressed; /* the value as it is sent to other boxes; created when
                           first needed */
    bool lapsed; /* removed, but perhaps only by an expired lease while the
                    store was unavailable */
} WPMirrorItem;

typedef struct WPMirror WPMirror;

/* Returns an empty copy at revision 0. */
WPMirror *wp_mirror_new(void);
void wp_mirror_free(WPMirror *m);

/* Returns the revision up to which the copy contains every change. */
uint64_t wp_mirror_complete_revision(const WPMirror *m);

/* Raises the complete revision to `revision`; never lowers it. */
void wp_mirror_advance(WPMirror *m, uint64_t revision);

/* Stores an entry, or its removal if `value` is NULL. Returns false and changes
   nothing if `revision` is not higher than the known one of the key. */
bool wp_mirror_put(WPMirror *m, const char *key, const WPStr *value,
                   uint64_t revision, bool lapsed);

/* Returns whether there is an entry whose key begins with `prefix`. */
bool wp_mirror_has_prefix(const WPMirror *m, const char *prefix);

/* Returns the number of entries, including removed ones that are still on
   record. */
uint32_t wp_mirror_size(const WPMirror *m);

/* Returns the revision of an entry; 0 if it does not exist. */
uint64_t wp_mirror_key_revision(const WPMirror *m, const char *key);

/* Returns an entry, owned by `m`; NULL if it does not exist. */
const WPMirrorItem *wp_mirror_get(const WPMirror *m, const char *key);

/* Returns the entries changed after a revision (WPMirrorItem, owned by `m`), in
   the order of their changes; free with g_ptr_array_unref(). */
GPtrArray *wp_mirror_since(const WPMirror *m, uint64_t revision);

/* Returns the entries (WPMirrorItem, owned by `m`) that a full read of the
   store at `revision` did not return: those known from before it whose keys are
   not in the set `keys`. Free with g_ptr_array_unref(). */
GPtrArray *wp_mirror_not_in(const WPMirror *m, GHashTable *keys,
                            uint64_t revision);

/* Returns a message to another box with all entries changed after revision
   `since`. Its items point into `m`; free it with wp_mirror_delta_free(). */
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

/* Decompresses a delta that was received. Returns a new delta, to be freed with
   wp_pb_free(), or NULL if it cannot be decoded. */
Wp__MirrorDelta *wp_mirror_delta_decompress(const Wp__MirrorDelta *d);

/* Returns a new reference to the value of an item that was received,
   decompressed if necessary; NULL if the item is a removal or cannot be
   decoded. */
GBytes *wp_mirror_item_value(const Wp__MirrorItem *item);

#endif
