/* A copy of the store's entries, as far as the router reads them, by the
 * store's own revisions. Boxes bring each other up to date from it, so that
 * one that the store does not answer still learns what changes. */
#ifndef WP_MIRROR_H
#define WP_MIRROR_H

#include "wire.pb-c.h"
#include "wp_base.h"

typedef struct WPMirrorItem {
    char *key;
    GBytes *value; /* NULL: removed */
    uint64_t revision;
    GBytes *packed; /* the value as it is sent to other boxes; made when first
                       needed */
    bool lapsed;    /* removed, but perhaps only while the store was away */
} WPMirrorItem;

typedef struct WPMirror WPMirror;

WPMirror *wp_mirror_new(void);
void wp_mirror_free(WPMirror *m);

/* Everything up to this revision is known. */
uint64_t wp_mirror_complete(const WPMirror *m);
void wp_mirror_advance(WPMirror *m, uint64_t revision);

/* Takes an entry (value NULL: removed); false when it is not newer than what
   is known of the key. */
bool wp_mirror_put(WPMirror *m, const char *key, const WPStr *value,
                   uint64_t revision, bool lapsed);

/* Entries, removed ones that are still remembered included. */
uint32_t wp_mirror_size(const WPMirror *m);

/* The revision of the key as it is; 0 when it is not there. */
uint64_t wp_mirror_revision(const WPMirror *m, const char *key);

/* The value, or NULL. */
const WPMirrorItem *wp_mirror_get(const WPMirror *m, const char *key);

/* The entries changed after a revision, in the order of their changes; free
   with g_ptr_array_unref(). They stay the mirror's. */
GPtrArray *wp_mirror_since(const WPMirror *m, uint64_t revision);

/* Items that a whole reading at `revision` lacks: known from before it, and
   not in `keys` (a set). Free with g_ptr_array_unref(). */
GPtrArray *wp_mirror_lacking(const WPMirror *m, GHashTable *keys,
                             uint64_t revision);

/* Messages between boxes. The delta's items point into the mirror; free it
   with wp_mirror_delta_free(). */
Wp__MirrorDelta *wp_mirror_delta(const WPMirror *m, uint64_t since);
void wp_mirror_delta_free(Wp__MirrorDelta *d);

/* The same in one packed piece, where that is much shorter; else NULL. It is
   kept until the copy changes: many that start together ask for it. */
Wp__MirrorDelta *wp_mirror_delta_packed(WPMirror *m, uint64_t since);

/* The entries whose keys begin with `prefix` and whose value ends with `end`,
   alone; free it with wp_mirror_delta_free(). */
Wp__MirrorDelta *wp_mirror_part(const WPMirror *m, const char *prefix,
                                const char *end);

/* A packed delta that was received, as it was before; NULL when it cannot be
   read. Free with wp_pb_free(). */
Wp__MirrorDelta *wp_mirror_delta_unpack(const Wp__MirrorDelta *d);

/* The value of an item that was received; NULL when it was removed or cannot
   be read. */
GBytes *wp_mirror_item_value(const Wp__MirrorItem *item);

#endif
