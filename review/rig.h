/* Rig of the review's scripts: starts the project's programs as processes on
 * loopback, and holds small stand-ins of endpoints and callers. Failures of the
 * rig itself end the script with status 2. */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum { RIG_HELD = 0, RIG_BROKEN = 1, RIG_CANNOT_RUN = 2, RIG_MAX_BOXES = 4 };

/* Opens the record and a temporary folder; ends the script after `limit_s`. */
void rig_init(const char *record, unsigned limit_s);
/* Ends all processes, removes the folder and exits with `status`. */
void rig_exit(int status) __attribute__((noreturn));
void rig_die(const char *why, ...)
    __attribute__((noreturn, format(printf, 1, 2)));
/* Whether the disruption is to take place: the variable TROUBLE is not 0. */
bool rig_trouble(void);

/* Milliseconds since rig_init(), by the monotonic clock. */
int64_t rig_ms(void);
void rig_sleep_ms(int64_t ms);
/* Adds a line to the record, with the time. */
void rig_note(const char *text, ...) __attribute__((format(printf, 1, 2)));

/* Whether each request that is sent or received is noted; it is at first. */
void rig_note_each(bool each);

uint16_t rig_free_port(void);

/* The platform's store: target/wpstand. */
void rig_start_store(void);
/* Sends JSON to the store's control page. */
void rig_control_store(const char *json, ...)
    __attribute__((format(printf, 1, 2)));
/* Writes op/config. `routes`, `services` and `tenants`: JSON lists; tenants may
   be NULL. */
void rig_write_config(unsigned version, const char *routes,
                      const char *services, const char *tenants);

/* A box: target/wpdirect. `more` is added to its settings. */
typedef struct RigBox {
    pid_t pid;
    uint16_t port, ready, peers, metrics;
    unsigned index;
} RigBox;
RigBox *rig_start_box(const char *more);
/* Starts the box's process again with the same settings. */
void rig_restart_box(RigBox *b);
/* Waits until the box calls itself ready; 20 s at most. */
void rig_wait_ready(const RigBox *b);
void rig_signal(const RigBox *b, int signal);
/* Whether the box's process has ended by itself or by a signal; its wait
   status. */
bool rig_box_ended(RigBox *b, int *status);

/* One message's head. */
typedef struct RigHead {
    char method[16], target[512];
    int status;
    char text[16384]; /* the whole head */
} RigHead;
/* The value of a field, or NULL; valid until the next call in this thread. */
const char *rig_field(const RigHead *h, const char *name);

/* An endpoint: a thread that accepts, and one per connection. */
typedef struct RigReplica RigReplica;
typedef struct RigCall {
    RigReplica *replica;
    int fd;
    RigHead head;
    char id[64];
    size_t body_bytes;
    bool close; /* the connection is closed after the answer */
} RigCall;
/* Answers a request on `fd`. */
typedef void (*RigServe)(RigCall *c);
struct RigReplica {
    char id[32], service[32], version[16], zone[16];
    uint16_t port;
    int listener;
    RigServe serve;
    void *arg;
};
/* Requests at once that replicas state from now on; 64 at first. */
void rig_set_slots(unsigned n);
RigReplica *rig_start_replica(const char *id, const char *service,
                              const char *version, RigServe serve);
void rig_register(const RigReplica *r, const char *state);
void rig_unregister(const RigReplica *r);
/* A complete answer with a receipt; `more`: further fields, each with CRLF. */
void rig_reply(RigCall *c, int status, const char *more, const char *body);
/* The head of a chunked stream of events, one chunk, and its end. */
void rig_begin_stream(RigCall *c);
bool rig_send_event(RigCall *c, unsigned id, size_t bytes);
void rig_end_stream(RigCall *c);
bool rig_send(int fd, const void *p, size_t n);

/* A caller's request and what came back. */
typedef struct RigAnswer {
    int fd;
    char id[64];
    int status;     /* 0: no head came */
    bool complete;  /* as its framing tells */
    bool closed;    /* the connection ended */
    bool bad_chunk; /* what stands in `body` came in place of a size */
    size_t bytes;   /* of the body */
    int64_t sent_ms, ended_ms;
    char body[4096]; /* its beginning */
    RigHead head;
} RigAnswer;
/* Connects; `receive_bytes`: size of the receive buffer, 0: the default. */
int rig_connect(uint16_t port, int receive_bytes);
/* Sends a request with a new id on `fd`. `fields`: further fields, each with
   CRLF. */
void rig_request(RigAnswer *a, int fd, const char *method, const char *target,
                 const char *fields, const char *body);
/* Reads the answer to its end, until `until_ms` at most. With `pause_us`, waits
   so long before each read of `step` bytes. */
void rig_read(RigAnswer *a, int64_t until_ms, size_t step, int64_t pause_us);
/* The same, but reads nothing for `pause_ms` once, after `pause_after` bytes. */
void rig_read_pausing(RigAnswer *a, int64_t until_ms, size_t pause_after,
                      int64_t pause_ms);
/* The same with few system calls, for many short answers. */
void rig_read_raw(RigAnswer *a, int64_t until_ms);
void rig_note_answer(const char *who, const RigAnswer *a);

#endif
