/* What an adapter to a platform provides: the store's client, the meaning of
 * the store's entries, and the spelling of requests and answers. An adapter
 * translates and decides nothing. */
#ifndef WP_PLATFORM_H
#define WP_PLATFORM_H

#include "wp_direct.h"
#include "wp_h1.h"
#include "wp_http.h"
#include "wp_kv.h"

typedef enum WPNewsKind {
    WP_NEWS_NONE,     /* an entry that does not concern the router */
    WP_NEWS_BAD,      /* an entry that cannot be read; `problem` tells why;
                         with the id, where it is an endpoint's */
    WP_NEWS_ROUTES,   /* a whole table of routes */
    WP_NEWS_ENDPOINT, /* an endpoint is there */
    WP_NEWS_GONE,     /* an endpoint is not there any more */
    WP_NEWS_ORDER,    /* a service is to move to another version */
    WP_NEWS_OUTCOME,  /* how such a move stands */
    WP_NEWS_ZONE_OUT, /* an operator keeps requests out of a zone */
    WP_NEWS_ZONE_BACK /* and not any more */
} WPNewsKind;

/* One entry of the store, decoded. */
typedef struct WPNews {
    WPNewsKind kind;
    WPRoutes *routes;        /* ROUTES: the caller's */
    WPRegistryEntry listing; /* ENDPOINT; GONE, BAD: the id alone */
    const char *zone;        /* ZONE_OUT, ZONE_BACK */
    WPShiftOrder order; /* ORDER; OUTCOME: service, version and the record's own
                           revision */
    WPShiftState state; /* OUTCOME */
    const char *problem;
    void *owner; /* holds the strings until news_end() */
} WPNews;

/* What goes with a request to an endpoint besides what the caller sent. */
typedef struct WPLegText {
    const char *replica;   /* the endpoint's id */
    const char *workspace; /* NULL: anonymous */
    WPStr model;           /* empty: as the caller named it */
    uint32_t budget_ms;
    const char *fetch; /* where kept memory is taken from; NULL: nowhere */
    int priority;
    bool resumes;
    uint64_t after_event;
} WPLegText;

enum { WP_REPORT_FIELDS = 2 };

/* A report of usage as it is sent. */
typedef struct WPReportText {
    const char *path;
    WPHttpField fields[WP_REPORT_FIELDS]; /* values: free with g_free() */
    char *body;                           /* the same */
} WPReportText;

typedef struct WPPlatformOps {
    /* A client of the store at `target`; NULL when that is malformed. */
    WPKv *(*store)(struct event_base *base, const char *target);

    /* The meaning of an entry. */
    void (*news)(const WPKvItem *item, WPNews *out);
    void (*news_end)(WPNews *n);

    /* Where an order for a service stands, where the outcome of its move is
       kept, and the text of that; free with g_free(). */
    char *(*order_key)(const char *service);
    char *(*outcome_key)(const char *service);
    char *(*outcome_text)(const WPShift *sh, WPShiftState state);

    /* Decodes a caller's request. Returns NULL, or why it is refused. */
    const char *(*read_ask)(const WPHead *h, WPDirectAsk *out);

    /* Appends the fields that go with a request to an endpoint. */
    void (*write_leg)(const WPHead *ask, const WPLegText *leg,
                      struct evbuffer *out);

    /* Whether an answer is to the request with this id. */
    bool (*is_answer_to)(const WPHead *h, const char *id);
    void (*read_answer)(const WPHead *h, WPDirectAnswer *out);

    /* Whether a field of an answer reaches the caller. */
    bool (*passes_back)(const WPHead *h, const WPField *f);

    /* Whether a duty of this name is to report usage; and such a report. */
    bool (*is_usage_duty)(const char *word);
    void (*write_report)(const char *holder, uint64_t fence,
                         const Wp__SettledUsage *u, WPReportText *out);

    /* Appends the fields of an answer of the box's own. */
    void (*write_own)(const char *id, uint32_t retry_ms, GString *out);
} WPPlatformOps;

#endif
