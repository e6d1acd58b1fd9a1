/* Interface of an adapter to a platform: client of the store, decoding of store
 * entries, and header fields of requests and answers. An adapter only
 * translates; it makes no decisions. */
#ifndef WP_PLATFORM_H
#define WP_PLATFORM_H

#include "wp_direct.h"
#include "wp_h1.h"
#include "wp_http.h"
#include "wp_kv.h"

typedef enum WPStoreEntryKind {
    /* An entry that does not concern the router, or the removal of one other
       than an endpoint's or an evacuated zone's. */
    WP_STORE_ENTRY_IGNORED,
    /* An entry that cannot be decoded; `problem` says why. For an endpoint's
       entry, `endpoint.id` is set. */
    WP_STORE_ENTRY_INVALID,
    WP_STORE_ENTRY_ROUTES,           /* a complete table of routes */
    WP_STORE_ENTRY_ENDPOINT,         /* an endpoint is registered */
    WP_STORE_ENTRY_ENDPOINT_REMOVED, /* an endpoint's entry was removed */
    WP_STORE_ENTRY_SHIFT_ORDER,      /* an order to shift a service to another
                                        version */
    WP_STORE_ENTRY_SHIFT_OUTCOME,    /* the state of such a shift */
    /* An operator has evacuated a zone: no requests are sent there. */
    WP_STORE_ENTRY_ZONE_EVACUATED,
    WP_STORE_ENTRY_ZONE_EVACUATION_ENDED
} WPStoreEntryKind;

/* One entry of the store, decoded. The comments name the kinds in which a
   member is set. */
typedef struct WPStoreEntry {
    WPStoreEntryKind kind;
    WPRoutes *routes;         /* ROUTES: the caller owns them */
    WPRegistryEntry endpoint; /* ENDPOINT; ENDPOINT_REMOVED, INVALID: the id
                                 alone */
    const char *zone;         /* ZONE_EVACUATED, ZONE_EVACUATION_ENDED */
    WPShiftOrder order;  /* SHIFT_ORDER; SHIFT_OUTCOME: service and version, and
                            as revision that of the outcome's entry */
    WPShiftState state;  /* SHIFT_OUTCOME */
    const char *problem; /* INVALID: the field at fault, or another reason */
    void *owner;         /* owns the strings until release_store_entry() */
} WPStoreEntry;

/* Data for the header fields that the router adds to one attempt of a request
   at an endpoint. */
typedef struct WPAttemptHeader {
    const char *replica_id; /* id of the endpoint */
    const char *workspace;  /* NULL: anonymous */
    WPStr model;            /* empty: as the caller named it */
    uint32_t budget_ms;     /* time that is left for the answer; 0: no limit */
    const char *prefix_source; /* endpoint to fetch cached prefixes from;
                                  NULL: none */
    int priority;
    bool resumes; /* the stream is to go on after the event `after_event` */
    uint64_t after_event;
} WPAttemptHeader;

enum { WP_REPORT_FIELDS = 2 };

/* The HTTP request that reports usage. */
typedef struct WPUsageReport {
    const char *path;
    WPHttpField fields[WP_REPORT_FIELDS]; /* free the values with g_free() */
    char *body;                           /* free with g_free() */
} WPUsageReport;

typedef struct WPPlatformOps {
    /* Creates a client of the store at `target` (HOST:PORT); NULL if that is
       malformed. */
    WPKv *(*store)(struct event_base *base, const char *target);

    /* Decodes a store entry. Strings in `out` may point into `item`; the rest
       is released by release_store_entry(), except the routes. */
    void (*decode_store_entry)(const WPKvItem *item, WPStoreEntry *out);
    void (*release_store_entry)(WPStoreEntry *n);

    /* Keys of a service's shift order, and of the outcome of its shift, without
       the service's name, which follows. */
    const char *order_prefix, *outcome_prefix;

    /* Returns the value of the outcome's entry for a shift in `state`; free
       with g_free(). */
    char *(*outcome_text)(const WPShift *sh, WPShiftState state);

    /* Decodes the head of a caller's request. Returns NULL, or the reason why
       the request is refused. */
    const char *(*parse_request)(const WPHead *h, WPDirectRequest *out);

    /* Appends the header fields of an attempt to `out`: those of the caller's
       request `request` that are passed on, and those for `attempt`. */
    void (*write_attempt_fields)(const WPHead *request,
                                 const WPAttemptHeader *attempt,
                                 struct evbuffer *out);

    /* Whether an answer belongs to the request with this id. */
    bool (*is_answer_to)(const WPHead *h, const char *id);

    /* Decodes the head of an endpoint's answer. */
    void (*read_answer)(const WPHead *h, WPDirectAnswer *out);

    /* Whether the header field `f` of the answer `h` is forwarded to the
       caller. */
    bool (*is_forwarded_to_caller)(const WPHead *h, const WPField *f);

    /* Whether this name in the setting `duties` means usage reporting. */
    bool (*is_usage_duty)(const char *name);

    /* Builds the request that reports a window's settled counts. `holder` is
       the box that holds the usage reporting lease, `fence` the fencing token
       of the lease. */
    void (*write_report)(const char *holder, uint64_t fence,
                         const Wp__SettledUsage *u, WPUsageReport *out);

    /* Appends the header fields of an answer that the box itself gives. `id` is
       the request's, or NULL or empty; `retry_ms`: when the caller may try
       again, 0: not stated. */
    void (*write_box_answer_fields)(const char *id, uint32_t retry_ms,
                                    GString *out);
} WPPlatformOps;

#endif
