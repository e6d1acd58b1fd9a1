/* Test cluster of direct mode: entries, and stand-ins of the platform's store
 * and endpoints (replicas), as real processes on loopback. Each entry reaches
 * the store, and all entries reach each replica, through a proxy (wpproxy) that
 * can disturb the connections. Entries and replicas are given by index. */
#ifndef CLUSTER_H
#define CLUSTER_H

#include "test.h"
#include "wp_base.h"

#include <jansson.h>
#include <sys/types.h>

typedef struct TestCluster TestCluster;

typedef struct ClusterAnswer {
    int fd;
    int status;  /* HTTP status; 0: no answer */
    char id[24]; /* of the request */
    GString *body;
    bool complete; /* the answer ended as its framing says */
    bool closed;   /* the peer closed the connection */
} ClusterAnswer;

/* Starts all processes and waits until each entry serves requests. The routes
   are /call/ (may be retried), /once/ (non-repeatable) and /stream/ of the host
   h.example; the caller's key is key-1. */
TestCluster *cluster_new(unsigned entries, unsigned replicas);
void cluster_free(TestCluster *p);

/* Whether clusters made from now on keep what their processes log; and prints
   the lines of the events whose names begin with `event`. */
void cluster_keep_log(bool keep);
void cluster_print_log(const TestCluster *p, const char *event);

/* Sends a request on a new connection and reads its answer. `fields` replace
   the field with the caller's key unless NULL. Release the answer with
   cluster_answer_release(). */
ClusterAnswer cluster_request(TestCluster *p, unsigned entry,
                              const char *method, const char *target,
                              const char *fields);

/* The same in two steps: sends the request, then reads the answer into `a`. */
ClusterAnswer cluster_send_request(TestCluster *p, unsigned entry,
                                   const char *method, const char *target);
void cluster_read_answer(TestCluster *p, ClusterAnswer *a);
void cluster_answer_release(ClusterAnswer *a);

/* Sends a request with the id in `a` on the connection a->fd, which is opened
   if it is -1, and reads the answer into `a`. The connection is kept for the
   next request. May be called from any thread. */
void cluster_exchange(ClusterAnswer *a, uint16_t port, const char *method,
                      const char *target);
void cluster_exchange_body(ClusterAnswer *a, uint16_t port, const char *method,
                           const char *target, const char *body);

/* The same with `fields` in place of the field with the caller's key; NULL: as
   above. */
void cluster_exchange_fields(ClusterAnswer *a, uint16_t port,
                             const char *method, const char *target,
                             const char *fields, const char *body);

/* Sends the bytes unchanged. The answer's body is all that was received, head
   included, until the connection ended. */
ClusterAnswer cluster_send_raw(TestCluster *p, unsigned entry,
                               const char *bytes);

/* Number of events of a complete stream; -1 if it is not complete or the events
   are not numbered 1, 2, ... without a gap. */
int cluster_count_events(const ClusterAnswer *a);

/* Set faults by sending JSON to the /control page of a replica or of the store;
   cluster_silence_store() makes the proxy between an entry and the store
   forward nothing. A stand-in that does not answer fails the test. */
void cluster_set_replica_faults(TestCluster *p, unsigned replica,
                                const char *json);
void cluster_control_store(TestCluster *p, const char *json);
void cluster_silence_store(TestCluster *p, unsigned entry);

/* Writes the operator's configuration, with a route for `prefix` besides those
   of cluster_new(), into the store. */
void cluster_write_config(TestCluster *p, unsigned version, const char *prefix);

/* The same without the key of cluster_new()'s caller, which another one has. */
void cluster_revoke_key(TestCluster *p, unsigned version);

/* The same with a further key that only this version has, "version-N". */
void cluster_write_version_key(TestCluster *p, unsigned version);

/* Restores the store from its copy of `ms` ago: what boxes have written since
   is lost, its era rises, and after `rewrite_ms` the operator and the replicas
   write again what they had written. A store that was down answers again. */
void cluster_restore_store(TestCluster *p, unsigned ms, unsigned rewrite_ms);

/* Writes `n` entries that nobody reads. */
void cluster_write_filler(TestCluster *p, unsigned n);

/* Runs that the replicas have counted: of all requests, at one replica, the
   maximum of any one request, and whether the request `id` ran. */
unsigned cluster_count_runs(TestCluster *p);
unsigned cluster_count_replica_runs(TestCluster *p, unsigned replica);
unsigned cluster_max_runs_of_a_request(TestCluster *p);
bool cluster_has_run(TestCluster *p, const char *id);

/* Number of violations by requests that reached a replica: with a caller's key
   or a field that only the router may set, or without the workspace's field.
   Replicas that are not running are skipped. */
unsigned cluster_count_field_violations(TestCluster *p);

/* Wait, and fail the test after 20 s: until an entry answers requests for
   `target` with `status`; until the store has `key`; until the replica got none
   of 10 successive rounds of one request to each entry; until the replica runs
   `n` requests at the same time. */
void cluster_wait_status(TestCluster *p, unsigned entry, const char *target,
                         int status);
void cluster_wait_store_key(TestCluster *p, const char *key);
void cluster_wait_no_requests(TestCluster *p, unsigned replica);
void cluster_wait_running(TestCluster *p, unsigned replica, unsigned n);

/* For soak tests: signals, restarts and proxies that disturb connections
   (wpproxy's modes as JSON). None of these fails a test if a process does not
   run or a stand-in does not answer. cluster_entry_resident_kb() returns an
   entry's resident memory, 0 if unknown; cluster_folder() the folder of
   settings files and of the replicas' run log (file `runs`);
   cluster_wait_replica_up() waits up to 5 s until the replica answers on its
   /control page. */
long cluster_entry_resident_kb(const TestCluster *p, unsigned entry);
uint16_t cluster_entry_port(const TestCluster *p, unsigned entry);
const char *cluster_folder(const TestCluster *p);
/* The text of an entry's metrics; empty if it does not answer. To be freed with
   g_free(). */
char *cluster_entry_metrics(TestCluster *p, unsigned entry);
void cluster_signal_entry(TestCluster *p, unsigned entry, int signal);
void cluster_restart_entry(TestCluster *p, unsigned entry);
void cluster_restart_replica(TestCluster *p, unsigned replica);
void cluster_wait_replica_up(TestCluster *p, unsigned replica);

/* cluster_replica_exited() returns whether the replica's process has ended;
   cluster_unregister_replica() removes the registry entry of its last
   incarnation from the store. */
bool cluster_replica_exited(TestCluster *p, unsigned replica);
void cluster_unregister_replica(TestCluster *p, unsigned replica);
void cluster_set_store_proxy(TestCluster *p, unsigned entry, const char *json);
void cluster_set_replica_proxy(TestCluster *p, unsigned replica,
                               const char *json);
void cluster_try_replica_faults(TestCluster *p, unsigned replica,
                                const char *json);

/* Shifts between versions. cluster_add_version() starts `n` more replicas of
   `version` with the faults `json`. cluster_order_shift() writes the operator's
   order to shift the service to `version` within `seconds`.
   cluster_read_shift_state() returns the state that the store has for the
   shift, to be freed with g_free(); NULL if there is none yet or the store does
   not answer. cluster_remove_replicas() kills the replicas with an index below
   `count` and removes their registry entries, as the operator does with the old
   version; they are never started again. */
void cluster_add_version(TestCluster *p, const char *version, unsigned n,
                         const char *json);
void cluster_order_shift(TestCluster *p, const char *version, double seconds);
char *cluster_read_shift_state(TestCluster *p);
void cluster_remove_replicas(TestCluster *p, unsigned count);

/* cluster_step_clock() sets the offset of an entry's wall clock to `ms`; its
   other clocks are not affected. Only for entries that were started by
   cluster_new_with_clocks(). */
TestCluster *cluster_new_with_clocks(unsigned entries, unsigned replicas);
void cluster_step_clock(TestCluster *p, unsigned entry, int64_t ms);

/* Makes the clocks of such an entry read as if its machine had been suspended
   for `ms` in all. */
void cluster_simulate_suspend(TestCluster *p, unsigned entry, int64_t ms);

/* As cluster_new(), with entries and replicas alternating between two zones. A
   replica keeps its id when it is restarted and is cold for a while after each
   start: it can serve few requests then, and logs those beyond.
   cluster_set_evacuated() writes or removes the order to evacuate the second
   zone. */
#define CLUSTER_EVACUATED_ZONE "z2"
TestCluster *cluster_new_with_zones(unsigned entries, unsigned replicas);
void cluster_set_evacuated(TestCluster *p, bool evacuated);

/* As cluster_new(), with `slots` slots at each replica, and if `zones` is set
   with two zones as above. */
TestCluster *cluster_new_with_slots(unsigned entries, unsigned replicas,
                                    unsigned slots, bool zones);

/* As cluster_new_with_slots() in one zone, with entries that have `settings`
   besides, as lines of YAML. */
TestCluster *cluster_new_with_settings(unsigned entries, unsigned replicas,
                                       unsigned slots, const char *settings);

/* The process of an entry, and its ports for other boxes, for the readiness
   check and for the metrics. */
typedef struct ClusterEntry {
    pid_t pid;
    uint16_t http, peers, ready, metrics;
} ClusterEntry;
ClusterEntry cluster_entry(const TestCluster *p, unsigned entry);

/* Sends SIGTERM to an entry; waits for its end and returns its exit code, -1 if
   a signal ended it. */
void cluster_stop_entry(TestCluster *p, unsigned entry);
int cluster_wait_exit_code(TestCluster *p, unsigned entry);

#endif
