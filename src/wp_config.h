/* The operators' configuration as every box holds it: objects by key
 * (KIND/NAME) at one revision. A revision never goes back. */
#ifndef WP_CONFIG_H
#define WP_CONFIG_H

#include "config.pb-c.h"
#include "wp_base.h"

typedef struct WPConfig WPConfig;

typedef enum WPApply {
    WP_APPLY_DONE, /* the revision went up */
    WP_APPLY_OLD,  /* already known */
    WP_APPLY_GAP,  /* an earlier change is missing: ask for what is missing */
    WP_APPLY_BAD   /* cannot be decoded */
} WPApply;

/* How many changes are kept for boxes that are a little behind. */
enum { WP_CONFIG_HISTORY = 64 };

WPConfig *wp_config_new(void);
void wp_config_free(WPConfig *c);
uint64_t wp_config_revision(const WPConfig *c); /* 0: none yet */

WPApply wp_config_apply(WPConfig *c, const Wp__Delta *d);

/* Takes a full copy when its revision is higher. */
WPApply wp_config_replace(WPConfig *c, const Wp__Snapshot *s);

/* Full copy; free with wp_pb_free(). */
Wp__Snapshot *wp_config_snapshot(const WPConfig *c);

/* Packed deltas that lead from `have` to the present revision, as GBytes in
   order; NULL when history does not reach back that far. */
GPtrArray *wp_config_since(const WPConfig *c, uint64_t have);

/* Decoded object, owned by `c`, or NULL. */
const Wp__Object *wp_config_get(const WPConfig *c, const char *key);

/* Calls `fn` for each object in key order. */
void wp_config_each(const WPConfig *c,
                    void (*fn)(void *arg, const char *key, const Wp__Object *o),
                    void *arg);

/* KIND/NAME of an object; free with g_free(); NULL if it holds none. */
char *wp_object_key(const Wp__Object *o);

/* One put operation per object in a rules file; free with
   wp_ops_free(). */
GPtrArray *wp_rules_ops(const Wp__Rules *r);
Wp__Op *wp_op_put(const Wp__Object *o);
Wp__Op *wp_op_delete(const char *key);
void wp_ops_free(GPtrArray *ops);

#endif
