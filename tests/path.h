/* A direct site for tests: entries, the platform's store and endpoints as
 * real processes, each entry's way to the store through a proxy of its own. */
#ifndef PATH_H
#define PATH_H

#include "test.h"
#include "wp_base.h"

#include <jansson.h>

typedef struct Path Path;

typedef struct PathAnswer {
    int fd;
    int status; /* 0: no answer */
    char id[24];
    GString *body;
    bool whole;  /* ended as its framing says */
    bool closed; /* the connection ended */
} PathAnswer;

/* Starts all and waits until a request could be served; the routes are
   /call/, /once/ and /stream/ of h.example, the key is key-1. */
Path *path_new(unsigned entries, unsigned replicas);
void path_free(Path *p);

/* One request, answered; `fields` replace the usual key. */
PathAnswer path_ask(Path *p, unsigned entry, const char *method,
                    const char *target, const char *fields);

/* The same in two steps. */
PathAnswer path_begin(Path *p, unsigned entry, const char *method,
                      const char *target);
void path_finish(Path *p, PathAnswer *a);
void path_answer_end(PathAnswer *a);

/* One request with the id in `a` on its connection, made anew if need be; for
   threads of the soak, which keep connections open. */
void path_exchange(PathAnswer *a, uint16_t port, const char *method,
                   const char *target);
void path_exchange_body(PathAnswer *a, uint16_t port, const char *method,
                        const char *target, const char *body);

/* Bytes as they are; all that comes back until the connection ends. */
PathAnswer path_raw(Path *p, unsigned entry, const char *bytes);

/* Events of a stream, numbered 1, 2, ... without a gap; -1 if they are not. */
int path_events(const PathAnswer *a);

/* Faults: of a replica, of the store, of an entry's way to the store. */
void path_fault(Path *p, unsigned replica, const char *json);
void path_store(Path *p, const char *json);
void path_cut_store(Path *p, unsigned entry);

/* The operator's configuration, with one more route beside the usual ones. */
void path_config(Path *p, unsigned version, const char *prefix);

/* What the replicas have seen. */
unsigned path_ran(Path *p);
unsigned path_ran_at(Path *p, unsigned replica);
unsigned path_most_runs(Path *p); /* of any one request */
bool path_has_run(Path *p, const char *id);
unsigned path_broken(Path *p); /* requests with what only the system may set */

/* Waits, until the test's time is over. */
void path_wait_status(Path *p, unsigned entry, const char *target, int status);
void path_wait_stored(Path *p, const char *key);
void path_wait_leaving(Path *p, unsigned replica);
void path_wait_running(Path *p, unsigned replica, unsigned n);

/* For the soak: signals, restarts, and ways that misbehave (wpproxy's modes as
   JSON). Nothing of these fails a test; what is not running is passed over. */
long path_entry_kb(const Path *p, unsigned entry); /* resident memory */
uint16_t path_port(const Path *p, unsigned entry);
const char *path_folder(const Path *p);
void path_signal_entry(Path *p, unsigned entry, int signal);
void path_restart_entry(Path *p, unsigned entry);
void path_restart_replica(Path *p, unsigned replica);
void path_wait_replica(Path *p, unsigned replica); /* until it answers */

/* Whether a replica that was started has ended by itself; takes its entry out
   of the store's list. */
bool path_replica_ended(Path *p, unsigned replica);
void path_unlist_replica(Path *p, unsigned replica);
void path_way_to_store(Path *p, unsigned entry, const char *json);
void path_way_to_replica(Path *p, unsigned replica, const char *json);
void path_try_fault(Path *p, unsigned replica, const char *json);

/* Moves between versions: an operator's order for the service's endpoints to
   be those of `version`, which are started beside the others with `json` as
   their faults; how the store says that the move stands (NULL: nothing yet, or
   it does not answer; free with g_free()); and the end of the endpoints with an
   index below `end`, as the operator ends the old ones. */
void path_add_version(Path *p, const char *version, unsigned n,
                      const char *json);
void path_order(Path *p, const char *version, double seconds);
char *path_move_state(Path *p);
void path_end_replicas(Path *p, unsigned end);

/* Sets an entry's time of day on by so much; its programs' other clocks run on.
   Only where the entries were started with path_new_clocks(). */
Path *path_new_clocks(unsigned entries, unsigned replicas);
void path_clock(Path *p, unsigned entry, int64_t ms);

/* To the same entry's clocks its machine has been suspended for so long, in
   all. */
void path_suspend(Path *p, unsigned entry, int64_t ms);

/* Entries and replicas in two zones by turns. Replicas start again under their
   ids, and are cold for a while then: they bear few requests, and note what is
   more. The second zone can be kept out. */
#define PATH_ZONE_OUT "z2"
Path *path_new_zones(unsigned entries, unsigned replicas);
void path_zone(Path *p, bool out);

/* Each replica has so few places, in one zone or in two as above. */
Path *path_new_small(unsigned entries, unsigned replicas, unsigned slots,
                     bool zones);

/* SIGTERM to an entry, and how it ended. */
void path_stop(Path *p, unsigned entry);
int path_exit_code(Path *p, unsigned entry);

#endif
