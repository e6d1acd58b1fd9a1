/* What the files of the fleet share. */
#ifndef WP_FLEET_INT_H
#define WP_FLEET_INT_H

#include "wp_bid.h"

#include <math.h>

/* The endpoints of one service and version: how busy those of this box's zone
   are, of which it hears. */
typedef struct WPCohort {
    double taken;    /* mean share of their places */
    double ahead_us; /* mean reading before a new request */
    int64_t at_us;   /* when that was worked out */
} WPCohort;

/* How the endpoints of a service start. */
typedef struct WPColdRule {
    double per_s; /* requests that a cold one bears; 0: no matter */
    int64_t start_us;
} WPColdRule;

struct WPFleet {
    int64_t start_us; /* the first listing; 0: none has come */
    WPPaceBoxes boxes;
    GHashTable *cold;        /* service -> WPColdRule */
    GHashTable *cohorts;     /* "SERVICE VERSION" -> WPCohort */
    GHashTable *by_load;     /* service and version -> LoadSeen */
    int64_t loaded_until_us; /* the latest of theirs */
    GHashTable *by_id;
    GHashTable *by_service; /* name -> GPtrArray of WPReplica */
    GHashTable *by_hash;    /* of the life, and of the id -> WPReplica */
    GHashTable *zones_out;  /* set of names */
    GHashTable *areas;      /* zone -> area, interned */
    GArray *untold;         /* WPKeptNews */
    GPtrArray *limited;     /* WPReplica: of which a limit is remembered */
    bool limits_untold;
    GPtrArray *leaving; /* WPReplica: that said so to a box */
    bool leaving_untold;
    GPtrArray *resting;   /* WPReplica: until the end is told */
    GPtrArray *rested_by; /* WPReplica: whose rest boxes are told of */
    bool rests_untold;
    GHashTable *unlisted; /* hash of a life -> Unlisted, of wp_fleet_notice.c */
    GHashTable *early_limits; /* hash of a life that is not listed ->
                                 WPLimitNews */
    GHashTable *limit_sums;   /* WPLimit.place -> PlaceSum */
    GHashTable *refusals;     /* service -> Refusals: for limits */
    WPDemand *demand;
    GRand *rand;
    WPFleetRules rules;
    struct WPBoxNews *news; /* what the zone is told; NULL: nothing */
};

/* wp_fleet_learn.c: until the list tells, it may be cold. */
void wp_fleet_doubt(WPReplica *s, WPTime now);

/* wp_fleet_limit.c: when an endpoint's limit lets this box send it one more;
   what this box may send there in a second; whether a request leaves such
   places to more urgent ones. */
int64_t wp_fleet_limit_free_us(WPFleet *f, WPTime now, const WPReplica *s);
double wp_fleet_limit_own_rate(WPFleet *f, WPTime now, const WPReplica *s);
bool wp_fleet_limit_yields(WPFleet *f, WPTime now, const WPWant *w);
void wp_fleet_tick_limits(WPFleet *f, WPTime now);
void wp_fleet_take_early_limit(WPFleet *f, WPTime now, const WPReplica *s);
void wp_fleet_forget_limit(WPFleet *f, WPReplica *s);

/* wp_fleet_notice.c: what a life has said outlasts its entry in the list, which
   may lapse and come back; a new life has said nothing. */
void wp_fleet_take_notices(WPFleet *f, WPReplica *s);
void wp_fleet_keep_notices(WPFleet *f, WPTime now, const WPReplica *s);
void wp_fleet_forget_notices(WPFleet *f, WPReplica *s);

/* wp_fleet_bar.c: a bar that does not pass by itself, or none; whether requests
   of this sort are meant for the endpoint, whatever bars it. */
WPBar wp_fleet_lasting_bar(const WPReplica *s);
bool wp_fleet_suits(const WPWant *w, const WPReplica *s);

/* The endpoints of a service (WPReplica), made when it is not known yet. */
GPtrArray *wp_fleet_of_service(WPFleet *f, const char *service);

/* wp_fleet_hear.c: the replica's cohort, by its service and version. */
WPCohort *wp_fleet_cohort(WPFleet *f, const WPReplica *s);

/* Works out the cohorts of a service anew, unless that was done just now. */
void wp_fleet_survey(WPTime now, const GPtrArray *list);

/* Whether the endpoint's load was told lately. */
bool wp_fleet_is_fresh(const WPReplica *s, WPTime now);

/* The endpoint is sent one more request, with a prompt that it reads so long,
   by this box or another one. */
void wp_fleet_tell_sent(WPFleet *f, const WPReplica *s, double reading_us);

/* The rate of failures as it is now: old ones are forgotten. */
double wp_fleet_fail_rate(const WPReplica *s, WPTime now);

#endif
