/* Suspect requests and prompt parts: those during which endpoints have crashed.
 * A request may crash whatever runs it (a query of death), and its caller may
 * repeat it at any box. Each box records which incarnations of endpoints
 * crashed while they ran which request, the boxes send each other these
 * records, and the record of a request with two crashes is kept in the store.
 *
 * From the first crash on, only one copy of the request runs at a time over all
 * boxes. From the third crash on the request is quarantined. It may then still
 * be sent as a probe: one more time at once, and one time to each version on
 * which it has crashed no endpoint; three probes in all. One complete answer
 * clears the request of all crashes: a request that crashes its endpoints never
 * completes, while one that only ran on an endpoint that crashed completes when
 * it is sent to another.
 *
 * A crash counts against its request until it is cleared; a weak one, see
 * WPSuspectCrash, counts half. "Crashes" as a number, such as "the third crash"
 * above, is the sum of those, rounded down (wp_suspect_crash_count()).
 *
 * A part of a prompt has a record of its own, by wp_suspect_part_key(): it is
 * in the crashes of all requests that have it. The same holds for it as for a
 * request, but for this: it is cleared as soon as any request with it is
 * answered completely, or has been answered for a second, as a part that
 * crashes endpoints does so when the answer begins. A part that was never
 * answered is sent one copy at a time from the second crash on, and its record
 * is kept in the store from its quarantine on. For one that was answered, at
 * any box, it takes twice the crashes and 5 s without an answer; it is then
 * probed without a limit, as it takes all traffic with it if it is innocent.
 *
 * Guards against one request, or one part, that crashes all endpoints again and
 * again, so that the other requests find none. */
#ifndef WP_SUSPECTS_H
#define WP_SUSPECTS_H

#include "wire.pb-c.h"
#include "wp_base.h"

enum {
    /* Crashes that are recorded of one request. */
    WP_SUSPECT_MAX_CRASHES = 8,
    /* Crashes from which on a request is quarantined. The platform allows three
       more sends then. */
    WP_SUSPECT_QUARANTINE_CRASHES = 3,
    /* The same for a part that was answered before. */
    WP_SUSPECT_ANSWERED_CRASHES = 6,
    /* Records in one message. */
    WP_SUSPECTS_PER_MESSAGE = 64
};

/* The key of a prompt part in the table of suspects, from the hash of its id.
   Its highest bit parts it from the keys of requests. */
#define WP_SUSPECT_PART_BIT (UINT64_C(1) << 63)

static inline uint64_t wp_suspect_part_key(uint64_t id_hash)
{
    return id_hash | WP_SUSPECT_PART_BIT;
}

static inline bool wp_suspect_key_is_part(uint64_t key)
{
    return key & WP_SUSPECT_PART_BIT;
}

/* A request whose answer has been coming for this long since its first byte
   does not crash its endpoint any more. Guards against streams that are
   quarantined for crashes that they did not cause. */
#define WP_SUSPECT_LONG_RUN_US (1000 * WP_US_PER_MS)

/* The crash of one incarnation of an endpoint while it ran the request. */
typedef struct WPSuspectCrash {
    uint64_t incarnation; /* hash of the incarnation */
    uint64_t version;     /* hash of the endpoint's service and version */
    int64_t at_us;        /* when this box recorded it, monotonic; not sent */
    bool weak;            /* the request had run there for over a second: the
                             crash counts half */
    bool cleared; /* does not count any more: the endpoint turned out to be
                     alive, or the request has completed since */
} WPSuspectCrash;

/* The record of one suspect request. */
typedef struct WPSuspect {
    uint64_t request; /* hash, by wp_flow_request_hash(); or key of a part */
    WPSuspectCrash crashes[WP_SUSPECT_MAX_CRASHES];
    unsigned n_crashes;
    unsigned probes; /* times that it was sent in quarantine */

    /* Another box may be running a copy until this monotonic time. */
    int64_t in_flight_until_us;

    /* The latest copy: hash of the box that started it, and its sequence
       number, which rises with each copy. */
    uint64_t in_flight_box;
    uint32_t in_flight_sequence;

    /* Of a part: when a request with it was last answered without a crash, at
       another box, monotonic; 0: unknown. */
    int64_t answered_us;

    int64_t probed_us; /* when this box last sent it in quarantine, monotonic */
    int64_t changed_us;  /* when the record last changed, monotonic */
    bool local_origin;   /* this box made the last change; it then writes the
                            record to the store before other boxes do */
    bool known_to_peers; /* other boxes know of the request */
    bool unsent; /* has changes that are still to be sent to the other boxes */
} WPSuspect;

typedef struct WPSuspects WPSuspects;

/* An empty table for the box whose id has this hash. */
WPSuspects *wp_suspects_new(uint64_t self);
void wp_suspects_free(WPSuspects *s);

/* Removes the records that have expired. */
void wp_suspects_expire(WPSuspects *s, WPTime now);

/* The request's record; NULL if there is none. */
const WPSuspect *wp_suspects_find(WPSuspects *s, uint64_t request);

/* Number of crashes that count against the request; 0 if it has no record. */
unsigned wp_suspects_crash_count(WPSuspects *s, uint64_t request);

typedef enum WPSuspectAdmission {
    WP_SUSPECT_ADMITTED,   /* the request may be sent */
    WP_SUSPECT_IN_FLIGHT,  /* another copy is in flight and may crash its
                              endpoint */
    WP_SUSPECT_QUARANTINED /* the request is quarantined */
} WPSuspectAdmission;

/* Whether a request that a caller has sent may go to an endpoint of this
   version. */
WPSuspectAdmission wp_suspects_admit(WPSuspects *s, WPTime now,
                                     uint64_t request, uint64_t version);

/* Whether a request whose endpoint has just crashed may be retried. */
bool wp_suspects_may_retry(WPSuspects *s, WPTime now, uint64_t request);

/* Notes that an attempt of a request, suspect or not, starts or has ended at
   this box. Each start is followed by one end. */
void wp_suspects_attempt_started(WPSuspects *s, WPTime now, uint64_t request);
void wp_suspects_attempt_ended(WPSuspects *s, uint64_t request);

/* One attempt of a request at an endpoint; hashes as in WPSuspectCrash,
   monotonic times. */
typedef struct WPSuspectAttempt {
    uint64_t request, incarnation, version;
    int64_t sent_us;
    int64_t first_byte_us; /* first byte of the answer; 0: none has come */
} WPSuspectAttempt;

/* Records that the connection to the endpoint was lost before the answer had
   ended, which is taken for a crash. An attempt that began after the
   incarnation's crash is not recorded, as it did not cause it. Returns the
   number of crashes that count against the request now. */
unsigned wp_suspects_record_crash(WPSuspects *s, WPTime now,
                                  const WPSuspectAttempt *r);

/* Whether the incarnation of an endpoint is presumed dead. */
bool wp_suspects_is_presumed_dead(const WPSuspects *s, uint64_t incarnation);

/* Notes that the incarnation has answered a request that was sent at `sent_us`.
   If it was presumed dead and the answer shows that it is not, its crash is
   cleared from all records. */
void wp_suspects_endpoint_alive(WPSuspects *s, WPTime now, uint64_t incarnation,
                                int64_t sent_us);

/* Notes that the request was answered completely, which clears it of all
   crashes. Returns whether there was one that was not cleared before. */
bool wp_suspects_completed(WPSuspects *s, WPTime now, uint64_t request);

/* Notes that the answer of an attempt, of a request with `n` keys, looks
   complete but ended with its connection. It counts as complete if the endpoint
   answers something again in the next 10 s, and as lost if the endpoint is
   found to have crashed in the next second. `attempt->request` is not used. */
void wp_suspects_ended_with_connection(WPSuspects *s, WPTime now,
                                       const WPSuspectAttempt *attempt,
                                       const uint64_t *keys, unsigned n);

/* Notes that the incarnation could not be connected to, which decides what such
   answers of the last second were: it has crashed. */
void wp_suspects_endpoint_unreachable(WPSuspects *s, WPTime now,
                                      uint64_t incarnation);

/* What was found out about such an answer of a suspect, or of a request that
   has become one by it. */
typedef struct WPSuspectVerdict {
    uint64_t request;     /* hash of the request */
    uint64_t incarnation; /* that answered it, by hash */
    bool crashed;         /* the answer was lost; otherwise it was complete */
    int64_t waited_us;    /* since the answer ended */
} WPSuspectVerdict;

/* Takes the oldest verdict, to be logged, if there is one. Verdicts that nobody
   takes are overwritten. */
bool wp_suspects_take_verdict(WPSuspects *s, WPSuspectVerdict *out);

/* An incarnation that such an answer of a suspect was from, if nothing has been
   sent to it since: the next request, at best of no suspect, tells what the
   answer was. 0: none. */
uint64_t wp_suspects_incarnation_to_verify(WPSuspects *s, WPTime now);

/* Notes that a request is sent to the incarnation. */
void wp_suspects_note_sent(WPSuspects *s, WPTime now, uint64_t incarnation);

/* Clears the request of all crashes by an operator's order. Returns whether
   there was one that was not cleared before. */
bool wp_suspects_release(WPSuspects *s, WPTime now, uint64_t request);

/* Merges a record from another box or from the store. Returns whether it
   contained anything new. */
bool wp_suspects_merge(WPSuspects *s, WPTime now, const Wp__Suspect *m);

/* Whether there are changes to be sent to the other boxes. */
bool wp_suspects_any_unsent(const WPSuspects *s);

/* Copies up to `max` records with such changes to `out`, those with the most
   crashes first, and marks them as sent. `max` is WP_SUSPECTS_PER_MESSAGE or
   less. Returns the number of records. */
size_t wp_suspects_take_unsent(WPSuspects *s, WPSuspect *out, size_t max);

/* Marks each record whose wp_suspect_crash_count() is not 0 as unsent, so that
   the next messages carry it; to be called when another box has connected. */
void wp_suspects_mark_all_unsent(WPSuspects *s);

/* Arrays that a message points into. */
typedef struct WPSuspectBuffers {
    uint64_t incarnations[WP_SUSPECT_MAX_CRASHES],
        versions[WP_SUSPECT_MAX_CRASHES];
    protobuf_c_boolean cleared[WP_SUSPECT_MAX_CRASHES],
        weak[WP_SUSPECT_MAX_CRASHES];
} WPSuspectBuffers;

/* Fills `m`, for the wire or the store, with the record. `m` points into
   `buffers`, which must outlive it. */
void wp_suspect_encode(const WPSuspect *p, WPTime now,
                       WPSuspectBuffers *buffers, Wp__Suspect *m);

/* Number of crashes that count against the request: those that are not cleared,
   two weak ones as one, and a single weak one left over as none. */
unsigned wp_suspect_crash_count(const WPSuspect *p);

/* Whether the record is to be kept in the store: at least two crashes count,
   three of a part, and the record has not expired. */
bool wp_suspects_is_persistent(WPSuspects *s, const WPSuspect *p, WPTime now);

/* Calls `fn` for each record. */
void wp_suspects_each(WPSuspects *s, void (*fn)(void *arg, const WPSuspect *p),
                      void *arg);

#endif
