/* Requests under which endpoints have ended. A request may crash whatever runs
 * it (a query of death) and come again at any box. Each box notes which lives
 * of endpoints ended under which request, boxes tell each other, and what two
 * lives ended under is kept in the store. From the first on only one copy runs
 * at a time over all boxes; from the third on it is kept out, but for one more
 * try at once and one at each version on which none has ended, three in all.
 * One whole answer clears a request of everything: what crashes its endpoint
 * never ends whole, and what merely was there does when it is sent elsewhere.
 *
 * Guards against: one request that ends all endpoints again and again while
 * others find none. */
#ifndef WP_SUSPECTS_H
#define WP_SUSPECTS_H

#include "wire.pb-c.h"
#include "wp_base.h"

enum {
    WP_SUSPECT_LIVES = 8,    /* that are remembered of one request */
    WP_SUSPECT_KEPT_OUT = 3, /* lives that ended under it; the platform allows
                                three more sends after that */
    WP_SUSPECTS_TOLD = 64    /* in one message */
};

/* A life of an endpoint that ended while it ran the request. */
typedef struct WPSuspectLife {
    uint64_t life;    /* hash of it */
    uint64_t version; /* hash of its service and version */
    int64_t at_us;    /* when this box heard of it; not told */
    bool weak;        /* it had run there for long */
    bool cleared;     /* it lived on, or the request has ended whole since */
} WPSuspectLife;

typedef struct WPSuspect {
    uint64_t request; /* WPFlow.hash */
    WPSuspectLife lives[WP_SUSPECT_LIVES];
    unsigned n_lives;
    unsigned tries;        /* sends since it is kept out */
    int64_t busy_until_us; /* another box may be running it */
    uint64_t busy_box;     /* the one that began the latest copy, by hash */
    uint32_t busy_number;  /* of that copy */
    int64_t changed_us;
    bool own;    /* this box saw what changed last, and writes it first */
    bool told;   /* other boxes have heard of it */
    bool untold; /* they are to hear what has changed */
} WPSuspect;

typedef struct WPSuspects WPSuspects;

/* Of the box with this hash. */
WPSuspects *wp_suspects_new(uint64_t self);
void wp_suspects_free(WPSuspects *s);

/* Forgets what is over. */
void wp_suspects_tick(WPSuspects *s, WPTime now);

/* What is known of a request; NULL: nothing. */
const WPSuspect *wp_suspects_find(WPSuspects *s, uint64_t request);

/* Lives that count against a request; 0: it is not known. */
unsigned wp_suspects_count(WPSuspects *s, uint64_t request);

typedef enum WPSuspectVerdict {
    WP_SUSPECT_FREE,
    WP_SUSPECT_BUSY, /* another copy runs, and may end its endpoint */
    WP_SUSPECT_OUT   /* it has ended too many */
} WPSuspectVerdict;

/* Whether a caller's request may be sent to an endpoint of this version. */
WPSuspectVerdict wp_suspects_admit(WPSuspects *s, WPTime now, uint64_t request,
                                   uint64_t version);

/* Whether a request whose endpoint has just ended may be sent once more. */
bool wp_suspects_may_go_on(WPSuspects *s, WPTime now, uint64_t request);

/* A leg of any request begins, and ends. */
void wp_suspects_sent(WPSuspects *s, WPTime now, uint64_t request);
void wp_suspects_left(WPSuspects *s, uint64_t request);

/* One run of a request. */
typedef struct WPSuspectRun {
    uint64_t request, life, version;
    int64_t sent_us;
    int64_t first_us; /* when its first byte came; 0: it has not */
} WPSuspectRun;

/* The connection on which an endpoint ran it has ended before its answer.
   Returns the lives that count against it now. */
unsigned wp_suspects_ended(WPSuspects *s, WPTime now, const WPSuspectRun *r);

/* Whether the life is taken to have ended. */
bool wp_suspects_is_gone(const WPSuspects *s, uint64_t life);

/* An endpoint has answered a request that was sent to it then: if it was taken
   to have ended, it has not. */
void wp_suspects_alive(WPSuspects *s, WPTime now, uint64_t life,
                       int64_t sent_us);

/* The request has been answered whole. Returns true when it was in doubt. */
bool wp_suspects_whole(WPSuspects *s, WPTime now, uint64_t request);

/* An operator lets it in again. */
bool wp_suspects_let_in(WPSuspects *s, WPTime now, uint64_t request);

/* What another box, or the store, tells. Returns true when that was new. */
bool wp_suspects_hear(WPSuspects *s, WPTime now, const Wp__Suspect *m);

/* Whether there is anything to tell; some of it, what has ended the most first,
   which then counts as told: `most` up to WP_SUSPECTS_TOLD. All of it is told
   again when a box comes. */
bool wp_suspects_any_untold(const WPSuspects *s);
size_t wp_suspects_tell(WPSuspects *s, WPSuspect *out, size_t most);
void wp_suspects_tell_all(WPSuspects *s);

/* For the wire and the store; `m` points into `room`. */
typedef struct WPSuspectRoom {
    uint64_t lives[WP_SUSPECT_LIVES], versions[WP_SUSPECT_LIVES];
    protobuf_c_boolean cleared[WP_SUSPECT_LIVES], weak[WP_SUSPECT_LIVES];
} WPSuspectRoom;

void wp_suspect_fill(const WPSuspect *p, WPTime now, WPSuspectRoom *room,
                     Wp__Suspect *m);

/* Lives that count. */
unsigned wp_suspect_count(const WPSuspect *p);

/* Whether it is to be in the store: two lives count, and not for too long. */
bool wp_suspect_lasts(const WPSuspect *p, WPTime now);

void wp_suspects_each(WPSuspects *s, void (*fn)(void *arg, const WPSuspect *p),
                      void *arg);

#endif
