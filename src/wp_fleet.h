/* Endpoints that are called without an agent beside them: which are there,
 * what is believed of each, and which one takes a request. Beliefs come from
 * the list of endpoints, from the load that answers carry, and from how this
 * box's own requests ended. */
#ifndef WP_FLEET_H
#define WP_FLEET_H

#include "wp_demand.h"
#include "wp_kept.h"
#include "wp_listing.h"
#include "wp_notice.h"
#include "wp_pace.h"
#include "wp_pause.h"
#include "wp_speed.h"

enum { WP_PRIORITIES = 10 };

struct WPCohort;
struct WPColdRule;

/* One life of an endpoint: what started again is another one. */
typedef struct WPReplica {
    char *id, *service, *addr, *zone, *version;
    int64_t born_ms;         /* time of day of its start; 0: not told */
    struct WPCohort *cohort; /* of its service and version */
    bool far;                /* not of this box's zone */
    const char *area;        /* of its zone; interned, NULL: not known */
    uint32_t slots;
    WPSaid said;        /* by itself; see wp_notice.h */
    bool zone_out;      /* nothing is to be sent to its zone */
    bool unreadable;    /* its entry in the list is, at present */
    bool gone;          /* out of the list; kept while requests run on it */
    bool unreachable;   /* another endpoint answers at its address */
    int64_t missing_us; /* since when the list lacks it; 0: it does not */
    const struct WPColdRule *cold; /* of its service */
    int64_t doubt_until_us;        /* it may have started again unnoticed */
    WPPace pace;                   /* what this box has sent there */
    int refs; /* requests that hold it, and the fleet itself */

    /* This box's own requests. */
    uint32_t in_flight;
    uint32_t since_load; /* sent since the last report of its load */
    double ahead_us;     /* reading of prompts sent whose first event is
                            awaited, as foretold */
    double others_us;    /* the same, sent by other boxes of the zone, as of
                            `others_at_us` */
    int64_t others_at_us;
    WPPeaks peaks;      /* of all that it had to read at one time */
    WPKept *kept;       /* prompts that it has read for this box */
    uint64_t id_hash;   /* of its id: of all its lives */
    uint64_t life_hash; /* of this one; the same when its start is not told */
    double fail_rate;   /* moving average over ended requests, 0 to 1 */
    int64_t fail_us;    /* when `fail_rate` was last brought up to date */
    double slowness;    /* moving ratio of its time to the expected, 1: alike */
    uint32_t failures;  /* in a row */
    int64_t avoid_until_us;
} WPReplica;

/* How one request ended at one endpoint. */
typedef enum WPServed {
    WP_SERVED_OK,
    WP_SERVED_REFUSED, /* it said that it did not run the request */
    WP_SERVED_RESTS,   /* the same, and asked for rest: no verdict */
    WP_SERVED_FAILED,  /* an error of its own, or no whole answer */
    WP_SERVED_BROKEN,  /* a stream broke off: it may have crashed */
    WP_SERVED_SILENT,  /* could not be reached, or said nothing in time */
    WP_SERVED_LEFT,    /* given up by the caller or by this box: no verdict */
    WP_SERVED_WRONG    /* another endpoint has the address */
} WPServed;

/* Whether requests may go to a version now, and at what preference. */
typedef bool (*WPVersionFn)(void *arg, const char *version);

typedef struct WPWant {
    const char *service;
    const char *version; /* only this one; NULL: as `allowed` says */
    WPVersionFn allowed; /* NULL: all */
    void *allowed_arg;
    const char *zone; /* of this box */
    /* Of an engine; NULL: not one. */
    const WPPrompt *prompt;
    uint64_t model; /* hash */
    WPSpeed *speed; /* of first bytes with that model; NULL: not known */
    double second;  /* weight of a second until the first byte, in places */
    const WPPauses *pauses;  /* of streams; NULL: not known */
    double pause_us;         /* the longest that one may last */
    double pause_weight;     /* of one stream that pauses longer, in places */
    uint64_t memory_tokens;  /* of each endpoint; 0: not known */
    uint32_t body_bytes;     /* that go to the endpoint */
    WPReplica *const *tried; /* not these again */
    size_t n_tried;
    bool once;        /* may not be repeated: doubtful endpoints cost more */
    unsigned suspect; /* endpoints that have ended under it */
    int priority;     /* 0 is the most urgent */
    double draw;      /* of the request, at random in [0, 1) */
    /* char *, the only areas where the request may be served: by its route, by
       its caller. NULL or empty: anywhere. */
    const GPtrArray *areas, *caller_areas;
} WPWant;

/* Weights of a choice, in places: 1 is a replica whose every place is
   taken. */
typedef struct WPFleetRules {
    const char *own_zone; /* of this box; interned, NULL: of no zone */
    double zone;    /* against another zone: bytes between zones are paid for */
    double zone_kb; /* the same of an engine, for each KB that goes there */
    double home;    /* for the replica that boxes prefer for a shared prompt */
    double read_kt; /* of each 1,000 shared tokens that are read again */
    double move_kt; /* of each 1,000 tokens that are taken from another engine;
                       0: none are */
    double cold_overshoot, cold_slack; /* see WPPaceRules */
    bool keep;                         /* note what engines keep of prompts */
    double pause; /* of a stream that pauses for too long, for what it loses */
    double slow;  /* of its slowness beyond its peers' */
    uint32_t choices; /* candidates drawn at random, the home besides; 0: all */
} WPFleetRules;

typedef struct WPFleet WPFleet;
struct WPBoxNews;

WPFleet *wp_fleet_new(uint32_t seed);
void wp_fleet_free(WPFleet *f);
void wp_fleet_rules(WPFleet *f, const WPFleetRules *rules);

/* Takes one listing, which wp_listing_problem() has passed; returns true when
   it changes what is known. One of a later start, or of another address, zone
   or service, is of a new life: nothing that was believed of the one before
   holds. One of an earlier start comes late and changes nothing. */
bool wp_fleet_put(WPFleet *f, WPTime now, const WPListing *l);

/* Its entry in the list cannot be read: it takes nothing until it can. */
void wp_fleet_set_unreadable(WPFleet *f, const char *id);

/* An operator's order that nothing is sent to the endpoints of a zone, and its
   end. Returns true when that is new. */
bool wp_fleet_set_zone_out(WPFleet *f, WPTime now, const char *zone, bool out);

/* Which area a zone lies in. */
void wp_fleet_set_area(WPFleet *f, const char *zone, const char *area);

/* Whether the request may be served there, by its areas; whether all endpoints
   of its service that are listed lie where it may not. */
bool wp_fleet_in_areas(const WPWant *w, const WPReplica *s);
bool wp_fleet_is_elsewhere(WPFleet *f, const WPWant *w);

/* How a service's endpoints start: so many requests a second reach one while it
   is cold (0: they need no pacing), for so long after an unnoticed start. */
void wp_fleet_set_cold(WPFleet *f, const char *service, double per_s,
                       double start_s);

/* The boxes that send to these endpoints. */
void wp_fleet_set_boxes(WPFleet *f, const WPPaceBox *self,
                        const WPPaceBox *others, size_t n, unsigned least);

/* Whether the endpoint is to be spared requests, as it has just started. */
bool wp_fleet_is_cold(const WPReplica *s, WPTime now);

/* Whether the service has endpoints that only such orders keep out. */
bool wp_fleet_is_kept_out(WPFleet *f, const char *service);

/* Calls `fn` for each zone that is out. */
void wp_fleet_each_zone_out(WPFleet *f, void (*fn)(void *arg, const char *zone),
                            void *arg);

/* The list lacks it. With `doubt` the list itself may have lost entries: the
   endpoint then stays in use until wp_fleet_tick() has waited. */
void wp_fleet_remove(WPFleet *f, WPTime now, const char *id, bool doubt);

/* Lets go of the endpoints that the list has lacked for long enough. */
void wp_fleet_tick(WPFleet *f, WPTime now);

WPReplica *wp_fleet_find(WPFleet *f, const char *id);
void wp_fleet_each(WPFleet *f, void (*fn)(void *arg, WPReplica *s), void *arg);

/* How many endpoints of the service could take a request. */
unsigned wp_fleet_count(WPFleet *f, const WPWant *w);

/* The share of places taken at those, 0 to 1 and above with a queue. */
double wp_fleet_pressure(WPFleet *f, WPTime now, const WPWant *w);

/* The endpoint for a request, held for the caller; NULL if there is none. */
WPReplica *wp_fleet_choose(WPFleet *f, WPTime now, const WPWant *w);

/* Requests believed to be at the replica, from all boxes. */
double wp_fleet_load_of(const WPReplica *s, WPTime now);

/* The share of its places that are taken, as far as is known. */
double wp_fleet_taken(const WPReplica *s, WPTime now);

/* Holds a replica, and lets go of it again. */
WPReplica *wp_fleet_hold(WPReplica *s);
void wp_fleet_release(WPReplica *s);

/* What an endpoint has to do before the first byte of this request, and another
   one from which it is to take the prompt's beginning, or NULL. */
WPWork wp_fleet_work(WPFleet *f, WPTime now, const WPWant *w,
                     const WPReplica *s, const WPReplica **source);

/* What this box's requests have made endpoints keep and the other boxes have
   not been told of: written to `out`, they count as told. */
typedef struct WPKeptNews {
    uint64_t replica; /* hash of its life */
    uint64_t key;     /* wp_kept_key() */
    uint32_t tokens;
} WPKeptNews;

size_t wp_fleet_tell_kept(WPFleet *f, WPKeptNews *out, size_t most);
void wp_fleet_hear_kept(WPFleet *f, WPTime now, const WPKeptNews *n);

/* A request that was chosen for `s` is handed to it; its prompt takes so long
   to read there. */
void wp_fleet_sent(WPFleet *f, WPReplica *s, WPTime now, const WPWant *w,
                   double reading_us);

/* The first byte of its answer came after `took_us`, where an endpoint of its
   kind is expected to take `expected_us`; 0: not to be compared. */
void wp_fleet_began(WPFleet *f, WPReplica *s, double reading_us,
                    int64_t took_us, int64_t expected_us);

/* The request has ended there. */
void wp_fleet_ended(WPReplica *s, WPTime now, WPServed how);

/* An answer, or a failure of its own, of an endpoint of which so much was taken
   when the request was sent. A version may fail only on endpoints that are half
   full: those are then passed over while others have room. */
void wp_fleet_learn(WPFleet *f, WPTime now, const WPReplica *s, double taken,
                    bool failed);

/* Another box has found it. */
void wp_fleet_hear_loaded(WPFleet *f, WPTime now, const char *service,
                          const char *version);

/* The versions of which this box has found it, as "SERVICE VERSION". */
void wp_fleet_each_loaded(WPFleet *f, WPTime now,
                          void (*fn)(void *arg, const char *what), void *arg);

/* Whether that has been seen of this version. */
bool wp_fleet_fails_loaded(WPFleet *f, WPTime now, const char *service,
                           const char *version);

/* Whether its endpoints are so full, on the whole, that it is to be given less
   to do. */
bool wp_fleet_spares(WPFleet *f, WPTime now, const WPWant *w,
                     const char *version);

/* A resting connection to it ended before its time: it may have started again,
   and the list tells of that some tenths of a second later. */
void wp_fleet_idle_lost(WPReplica *s, WPTime now);

/* The endpoint's own word on its load. */
void wp_fleet_load(WPReplica *s, WPTime now, uint32_t running, uint32_t waiting,
                   uint32_t slots);

/* The endpoint's own word on how long work takes there, in hundredths of the
   usual. It changes many times a second; what lasts of it is believed. */
void wp_fleet_told_pace(WPReplica *s, uint32_t pace);

/* wp_fleet_limit.c: what endpoints say of the requests that they take.

   What an answer's word on that changed. */
typedef enum WPLimitChange {
    WP_LIMIT_SAME,
    WP_LIMIT_CHANGED, /* named for the first time, another one, or dropped */
    WP_LIMIT_ODD      /* a bad field is to be reported; what is believed is that
                         it names none */
} WPLimitChange;

typedef struct WPLimitSeen {
    WPLimitField field;
    bool genuine;    /* the answer carries the endpoint's mark: only then its
                        saying nothing counts */
    int64_t sent_us; /* when the request was sent that it answers */
} WPLimitSeen;

WPLimitChange wp_fleet_told_limit(WPFleet *f, WPReplica *s, WPTime now,
                                  const WPLimitSeen *seen);

/* The limit that is believed to be in force; 0: none. */
double wp_fleet_limit_of(const WPReplica *s);

/* A belief as boxes tell it; see WPLimit. */
typedef struct WPLimitNews {
    uint64_t endpoint; /* hash of its life */
    double per_s;      /* 0: it names none any more */
    uint32_t number;
    uint64_t box;
} WPLimitNews;

/* Returns the endpoint when that is new; it is then told on. */
WPReplica *wp_fleet_hear_limit(WPFleet *f, WPTime now, const WPLimitNews *n);

/* What is to be told now; it counts as told. */
size_t wp_fleet_tell_limits(WPFleet *f, WPTime now, WPLimitNews *out,
                            size_t most);
bool wp_fleet_any_untold_limit(const WPFleet *f);

/* All of it, for a box that comes. */
void wp_fleet_each_limit(WPFleet *f,
                         void (*fn)(void *arg, const WPLimitNews *n),
                         void *arg);

/* The boxes' requests by service, which quotas rest on. */
WPDemand *wp_fleet_demand(WPFleet *f);

/* The figure of this box's zone that is to be told to the others, if any. */
bool wp_fleet_tell_zone_demand(WPFleet *f, WPTime now, WPDemandNews *out);

/* A caller's request for a service. */
void wp_fleet_asked(WPFleet *f, WPTime now, const char *service);

/* A request is refused as limits alone keep it from endpoints; returns in how
   many ms its caller is to come back. */
struct WPBarred;
uint32_t wp_fleet_limit_refused(WPFleet *f, WPTime now, const WPWant *w,
                                const struct WPBarred *met);

/* wp_fleet_notice.c: endpoints that leave, and endpoints that want nothing from
   this box for a while. Each returns true when that is new. */
bool wp_fleet_told_leaving(WPFleet *f, WPReplica *s, WPTime now);
bool wp_fleet_told_rest(WPFleet *f, WPReplica *s, WPTime now, double rest_s);

/* A field that cannot be read: whether it is to be reported. */
bool wp_fleet_told_bad(WPReplica *s, WPTime now);

/* Another box was told by the endpoint of this life that it leaves. Returns the
   endpoint when that is new; it is then told on. */
WPReplica *wp_fleet_hear_leaving(WPFleet *f, WPTime now, uint64_t life);

/* The lives that are to be told of now; they count as told. */
size_t wp_fleet_tell_leaving(WPFleet *f, uint64_t *out, size_t most);
bool wp_fleet_any_untold_leaving(const WPFleet *f);

/* All of them, for a box that comes. */
void wp_fleet_each_leaving(WPFleet *f, void (*fn)(void *arg, uint64_t life),
                           void *arg);

bool wp_fleet_rests(const WPReplica *s, WPTime now);

/* An endpoint whose rest has ended, each once, held for the caller; NULL: none
   has. */
WPReplica *wp_fleet_rested(WPFleet *f, WPTime now);

/* A rest as a box tells it to those that it is linked to: it is likely that the
   endpoint refuses the others as well. */
typedef struct WPRestNews {
    uint64_t endpoint; /* hash of its life */
    uint32_t left_ms;
} WPRestNews;

void wp_fleet_hear_rest(WPFleet *f, WPTime now, const WPRestNews *n);

/* What is to be told now; it counts as told. */
size_t wp_fleet_tell_rests(WPFleet *f, WPTime now, WPRestNews *out,
                           size_t most);
bool wp_fleet_any_untold_rest(const WPFleet *f);

/* How many endpoints leave, and rest, at present. */
typedef struct WPNoticeCount {
    unsigned leaving, resting;
} WPNoticeCount;

WPNoticeCount wp_fleet_count_notices(const WPFleet *f, WPTime now);

/* wp_fleet_bar.c: why nothing, or nothing more, is to be sent to an endpoint.
 */
typedef enum WPBar {
    WP_BAR_NONE,
    WP_BAR_UNLISTED, /* gone, unreadable, or another one has its address */
    WP_BAR_ZONE_OUT,
    WP_BAR_LEAVING,
    /* From here on for a while. */
    WP_BAR_REST,
    WP_BAR_COLD, /* what this box may send it while it is cold is sent */
    WP_BAR_LIMIT /* the same by its limit */
} WPBar;

/* For this request; the one question that each way to an endpoint asks. */
WPBar wp_fleet_bar(WPFleet *f, WPTime now, const WPWant *w, WPReplica *s);

/* The endpoints that one passing bar alone keeps from a request. */
typedef struct WPBarred {
    const WPReplica *endpoint; /* the first that is free again; NULL: none */
    int64_t free_us;           /* when; INT64_MAX: not for this box */
    double own_per_s; /* LIMIT: what this box may send to all of these */
} WPBarred;

bool wp_fleet_barred(WPFleet *f, WPTime now, const WPWant *w, WPBar bar,
                     WPBarred *out);

/* wp_fleet_hear.c: what the boxes of a zone tell each other. From now on, what
   others should know goes to `news`; NULL: nowhere. */
void wp_fleet_tell(WPFleet *f, struct WPBoxNews *news);

/* By the hash of its life, or of its id, as boxes tell that know no lives;
   NULL: not known. */
WPReplica *wp_fleet_by_hash(WPFleet *f, uint64_t hash);

/* As wp_fleet_load(), and told on. */
void wp_fleet_told_load(WPFleet *f, WPReplica *s, WPTime now, uint32_t running,
                        uint32_t waiting, uint32_t slots);

/* Another box has sent it a request, with a prompt that takes so long to read;
   has had the first byte of its answer; has been told its load. */
void wp_fleet_hear_sent(WPReplica *s, WPTime now, double reading_us);
void wp_fleet_hear_began(WPReplica *s, WPTime now, double reading_us);
void wp_fleet_hear_load(WPReplica *s, WPTime now, uint32_t running,
                        uint32_t waiting);

/* Reading that lies before a new request there, as far as is known. */
double wp_fleet_ahead_us(const WPReplica *s, WPTime now);

#endif
