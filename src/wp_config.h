/* The operators' configuration as replicated to every box: objects by key
 * (KIND/NAME) at one revision. The revision never decreases. */
#ifndef WP_CONFIG_H
#define WP_CONFIG_H

#include "config.pb-c.h"
#include "wp_base.h"

typedef struct WPConfig WPConfig;

typedef enum WPApplyResult {
    WP_APPLY_DONE,  /* applied; the revision has increased */
    WP_APPLY_STALE, /* not newer than the current revision */
    WP_APPLY_GAP,   /* an earlier change is missing and must be requested */
    WP_APPLY_BAD    /* cannot be decoded */
} WPApplyResult;

/* How many changes, and for how long, are kept as undos: sessions that began
   earlier are placed as if they had begun by the oldest configuration kept. */
enum { WP_UNDO_MAX = 256 };
#define WP_UNDO_KEEP_MS (12 * 3600 * (uint64_t)WP_MS_PER_S)

/* Number of undos that one change removes at most. */
enum { WP_UNDO_DROP_MAX = 16 };

/* Number of recent changes kept, so that boxes that lag a little behind can be
   brought up to date without a full copy. */
enum { WP_CONFIG_HISTORY = 64 };

/* Returns an empty configuration at revision 0. */
WPConfig *wp_config_new(void);
void wp_config_free(WPConfig *c);

/* Returns the present revision; 0: no change has been applied yet. */
uint64_t wp_config_revision(const WPConfig *c);

/* Applies one change. `c` is unchanged unless WP_APPLY_DONE is returned. */
WPApplyResult wp_config_apply(WPConfig *c, const Wp__Delta *d);

/* Replaces all objects by those of a full copy if its revision is higher. `c`
   is unchanged unless WP_APPLY_DONE is returned. */
WPApplyResult wp_config_apply_snapshot(WPConfig *c, const Wp__Snapshot *s);

/* Returns a full copy; free with wp_pb_free(). */
Wp__Snapshot *wp_config_snapshot(const WPConfig *c);

/* Returns the serialized deltas that lead from revision `have` to the current
   one, as GBytes owned by `c`, oldest first; NULL if the history does not reach
   back to `have`. Free with g_ptr_array_unref(). */
GPtrArray *wp_config_deltas_since(const WPConfig *c, uint64_t have);

/* The undos of recent changes, oldest first: their number, and the one at an
   index below that number, owned by `c`. */
unsigned wp_config_undos(const WPConfig *c);
const Wp__Undo *wp_config_undo_at(const WPConfig *c, unsigned i);

/* Returns how many of the oldest undos a change that is effective at
   `effective_ms` (Unix ms) and is recorded removes. */
unsigned wp_config_undos_dropped(const WPConfig *c, uint64_t effective_ms);

/* Returns a copy of the objects and the revision, without undos and history. */
WPConfig *wp_config_copy(const WPConfig *c);

/* Takes back the change of `u`, which must be the last of those that are
   recorded as undos and not taken back yet. */
void wp_config_take_back(WPConfig *c, const Wp__Undo *u);

/* Returns the object of `key`, owned by `c`, or NULL. */
const Wp__Object *wp_config_get(const WPConfig *c, const char *key);

/* Calls `fn` with `arg` for each object in the order of the keys. */
void wp_config_each(const WPConfig *c,
                    void (*fn)(void *arg, const char *key, const Wp__Object *o),
                    void *arg);

/* Returns the key KIND/NAME of an object, to be freed with g_free(); NULL if
   the object has no spec. */
char *wp_object_key(const Wp__Object *o);

/* Returns one put operation (Wp__Op) for each object of a rules file; free with
   wp_ops_free(). */
GPtrArray *wp_rules_to_ops(const Wp__Rules *r);

/* Returns an operation that stores a copy of the object; free with
   wp_pb_free(). */
Wp__Op *wp_op_put(const Wp__Object *o);

/* Returns an operation that deletes the object of `key`; free with
   wp_pb_free(). */
Wp__Op *wp_op_delete(const char *key);

/* Frees an array of operations, as returned by wp_rules_to_ops(), and the
   operations in it. */
void wp_ops_free(GPtrArray *ops);

#endif
