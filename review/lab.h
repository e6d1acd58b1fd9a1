/* Test bench of the review: starts the project's programs as processes on
 * loopback, and has small stand-ins of replicas and requesters. */
#ifndef LAB_H
#define LAB_H

#include <stdbool.h>
#include <stddef.h>

enum { LAB_HELD = 0, LAB_BROKEN = 1, LAB_CANNOT_RUN = 2 };

/* The settings of a deployment that the cases differ in. */
typedef struct LabSite {
    unsigned memory_mb;  /* limits.memoryMb */
    unsigned grace_s;    /* bounds.graceS */
    unsigned contact_ms; /* bounds.contactMs */
    const char *routes;  /* JSON: the routes of the configuration */
    const char *limits;  /* JSON: its limits */
} LabSite;

/* A request as a replica has read it. */
typedef struct LabRequest {
    char line[512];
    char id[64]; /* X-Attempt-Id; empty: none */
    const char *replica;
    const char *body;
    size_t body_bytes;
    int fd; /* of the channel, for the answer */
} LabRequest;

/* Called by a replica, from a thread for each channel, for each request that it
   runs. Returns whether the channel is kept. */
typedef bool (*LabRun)(const LabRequest *r);

/* An answer as a requester has read it. */
typedef struct LabAnswer {
    int status;    /* 0: none */
    bool complete; /* it has the length that its head states */
    size_t body_bytes, expected_bytes;
    double ended_s; /* when it was complete, or its channel ended */
} LabAnswer;

/* The time of the monotonic clock in seconds since lab_start(). */
double lab_now_s(void);
void lab_sleep_s(double s);

/* Writes a line with the time to record.txt and to the standard output. */
void lab_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Whether the disruption is to be played: not with TROUBLE=0. */
bool lab_has_trouble(void);

/* Starts the store, `replicas` replicas that run requests by `run`, and one
   machine with the command of the deploy file, and waits until it serves.
   `folder` is that of the case. Exits with LAB_CANNOT_RUN on failure. */
void lab_start(const char *folder, const LabSite *site, unsigned replicas,
               LabRun run);

/* Sends a signal to the machine's process. */
void lab_signal(int signal);

/* Opens a channel to the machine; `receive_bytes` and `segment_bytes` limit the
   requester's receive buffer and its TCP segments (0: as usual). */
int lab_dial(int receive_bytes, int segment_bytes);

/* Writes the head of a request into `out`, with the fields that all requesters
   send; `fields` are further lines. Returns its length. */
size_t lab_head(char *out, size_t size, const char *method, const char *path,
                const char *id, unsigned deadline_ms, const char *fields);

bool lab_send(int fd, const void *data, size_t n);

/* Reads one answer with a length, by `step_bytes` each `step_s` (0: at once),
   until it is complete, the channel ends or `until_s` has come. */
LabAnswer lab_read_answer(int fd, size_t step_bytes, double step_s,
                          double until_s);

/* For replicas: sends a whole answer that this replica has made. */
bool lab_reply(const LabRequest *r, const char *body, size_t n);

/* Ends all processes, records the verdict and exits with `code`. */
void lab_finish(int code, const char *verdict) __attribute__((noreturn));

#endif
