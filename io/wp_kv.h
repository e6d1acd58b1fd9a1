/* Interface of a client of the platform's key-value store, so that one client
 * can be replaced by another. */
#ifndef WP_KV_H
#define WP_KV_H

#include "config.pb-c.h"
#include "wp_json_list.h"
#include "wp_store_era.h"

#include <event2/event.h>

#define WP_KV_HEAD "/wp/config/head"
#define WP_KV_OBJECTS "/wp/config/o/"
#define WP_KV_UNDO "/wp/config/undo/"
#define WP_KV_CONFIG "/wp/config/"
#define WP_KV_CONFIG_END "/wp/config0"

typedef struct WPKvItem {
    WPStr key, value;
    uint64_t mod_revision; /* see wp_revision.h, as all revisions here */
    bool removed;          /* in a watch event: the key was deleted; no value */
} WPKvItem;

/* One condition of a transaction: the key was last modified at this revision;
   0: the key does not exist. */
typedef struct WPKvCompare {
    const char *key;
    uint64_t mod_revision;
} WPKvCompare;

/* One change of a transaction: writes the value, or deletes the key. */
typedef struct WPKvOp {
    const char *key;
    WPStr value;
    bool remove;
} WPKvOp;

/* The items of an answer. */
typedef struct WPKvItems {
    GArray *list; /* WPKvItem */
    GPtrArray *owned;
    unsigned skipped; /* that could not be read */
} WPKvItems;

typedef struct WPKvResult {
    bool ok;           /* the store answered */
    bool succeeded;    /* of a transaction: all conditions held */
    uint64_t revision; /* of the store */
    const WPKvItem *items;
    size_t n_items;
} WPKvResult;

typedef void (*WPKvResultFn)(void *arg, const WPKvResult *r);

typedef enum WPKvWatchEvent {
    WP_KV_CHANGED,   /* the item was written or deleted */
    WP_KV_UNCHANGED, /* the store has answered: nothing has changed */
    WP_KV_SKIPPED,   /* there was a change that cannot be read; the item has the
                        revision up to which all changes were reported */
    WP_KV_WATCH_LOST, /* the watch has ended */
    WP_KV_COMPACTED   /* the watch has ended, and changes may have been missed,
                         as the store no longer has them: everything must be
                         read again */
} WPKvWatchEvent;

/* Reports an event of a watch; `item` is NULL except for WP_KV_CHANGED and
   WP_KV_SKIPPED. */
typedef void (*WPKvWatchFn)(void *arg, WPKvWatchEvent what,
                            const WPKvItem *item);

typedef struct WPKv WPKv;

typedef struct WPKvOps {
    /* Reads the keys from `key` up to but not including `end`, or `key` alone
       if `end` is NULL. The client of the platform's own store ignores `end`
       and reads all keys with the prefix `key`. The result is valid during the
       call of `done`. */
    void (*range)(WPKv *kv, const char *key, const char *end, WPKvResultFn done,
                  void *arg);
    /* Makes the changes if all conditions hold. If one fails, the result has
       the present items of the keys compared. */
    void (*txn)(WPKv *kv, const WPKvCompare *compares, size_t n_compares,
                const WPKvOp *ops, size_t n_ops, WPKvResultFn done, void *arg);
    /* Watches `key` (with the platform's own store: all keys with this prefix)
       for changes from revision `from` on. Replaces the watch in progress: as
       its connection is no longer trusted, the new one uses another. With
       `immediate`, the store sends a first answer at once, if it can, whether
       or not there are changes. */
    void (*watch)(WPKv *kv, const char *key, uint64_t from, bool immediate,
                  WPKvWatchFn event, void *arg);
    /* Ends the watch in progress, if there is one, without an event. */
    void (*unwatch)(WPKv *kv);
    /* Frees the client. */
    void (*free)(WPKv *kv);
} WPKvOps;

/* Reports an answer that names another era than the one before, or none that
   can be read; `text`: as it is named. */
typedef void (*WPKvEraFn)(void *arg, WPStoreEraChange change, const char *text);

/* Reports an item of an answer that cannot be read: its key, or its beginning
   if that is not known, and why. */
typedef void (*WPKvBadItemFn)(void *arg, const char *what, const char *why);

struct WPKv {
    const WPKvOps *ops;
    WPStoreEra era;
    WPKvEraFn era_changed; /* NULL: nothing is reported */
    void *era_arg;
    WPKvBadItemFn bad_item; /* NULL: nothing is reported */
    void *bad_item_arg;
};

/* For clients: begins without items; frees them. */
void wp_kv_items_init(WPKvItems *v);
void wp_kv_items_end(WPKvItems *v);

/* For clients: parses an answer whose items are in the array `list`. Items that
   are no JSON are reported and counted as skipped. NULL: the answer is invalid.
   Free with json_decref(). */
json_t *wp_kv_load(WPKv *kv, WPKvItems *v, WPStr text, const char *list);

/* For clients: adds an item, whose key and value are taken over. One with a key
   that no entry can have, or without a revision, is reported and counted as
   skipped. */
void wp_kv_items_add(WPKv *kv, WPKvItems *v, const WPKvItem *item);

/* For clients: names the items in a result, which is then valid as long as
   they are. */
void wp_kv_items_result(const WPKvItems *v, WPKvResult *out);

/* For clients that read page by page: sets `last` to the last key in the array
   `list` of items, which have it in the field `name`. Returns whether it is
   another one than before. */
bool wp_kv_note_last(GString *last, const json_t *list, const char *name);

/* For clients: a key as a part of a URI. Free with g_free(). */
char *wp_kv_escape(const GString *key);

/* For clients: copies of the bytes of a JSON string; of none: "" without a
   byte. */
WPStr wp_kv_copy(const json_t *j);
WPStr wp_kv_decode_base64(const json_t *j);

/* For clients: takes the era that an answer names, before anything else of the
   answer; NULL: it names none. Returns false if the answer is from before a
   restore of the store and does not count. */
bool wp_kv_observe_era(WPKv *kv, const char *text);

/* Converts the result of a range over WP_KV_CONFIG: the configuration's
   objects and undos, and as its revision that of WP_KV_HEAD. Free with
   wp_pb_free(). */
Wp__Snapshot *wp_kv_snapshot(const WPKvResult *r);

/* Creates a client of etcd's v3 JSON gateway. It uses one of `targets`
   (host:port) and goes on to the next when a call fails. Returns NULL if a
   target is malformed. */
WPKv *wp_kv_etcd(struct event_base *base, char **targets, size_t n);

#endif
