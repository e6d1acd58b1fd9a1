/* Runs a whole site as real processes on loopback, for scenarios, benchmarks
 * and the demo: the platform's stand-ins, entries e1, e2, ..., agents a1, a2,
 * ... and the endpoint xN of each agent aN. The last agent serves the plain
 * services, the others the models. */
#ifndef SITE_H
#define SITE_H

#include "load.h"
#include "ports.h"

typedef struct Proc {
    char *name;
    const char *program; /* wpentry, wpagent or wpstand */
    char *config;        /* path of the settings file */
    uint16_t port;       /* HTTP port of the entry or stand-in */
    uint16_t peer_port, admin_port;
    GPid pid;
    bool running, frozen; /* frozen: suspended by SIGSTOP */
} Proc;

/* A named time in a scenario. */
typedef struct Mark {
    char *name;
    int64_t wall_ms, mono_us;
} Mark;

/* A site. Most functions append what failed to error_text. */
typedef struct Site {
    struct event_base *base;
    const Wp__Scenario *plan;
    const char *disabled_guard; /* name; NULL: no guard is disabled */
    char *folder, *bin;
    GPtrArray *procs; /* of Proc */
    GArray *marks;    /* of Mark */
    Wp__Mix *mix;
    Load *load;
    Ports ports;
    int ctl_exit;        /* exit code of the last wpctl that a scenario ran */
    GString *error_text; /* what failed, for the report */
} Site;

/* site_new() writes the settings files of all processes, to run the programs
   in the directory `bin`; `disabled_guard` may be NULL. `plan` must outlive
   the site. site_start_all() starts the stand-ins, applies the rules, starts
   the other processes and waits until all are ready; false and error_text if
   one does not come up. */
Site *site_new(const Wp__Scenario *plan, const char *bin,
               const char *disabled_guard);
bool site_start_all(Site *s);

/* Kills the processes and removes the site's directory, unless WP_KEEP is set
   in the environment. */
void site_free(Site *s);

/* The first sanitizer report or GLib critical message in a process's log, up
   to 2,000 characters; NULL: none. The caller frees it. */
char *site_sanitizer_report(Site *s);

/* The process of this name; NULL and error_text if there is none. */
Proc *site_proc(Site *s, const char *name);

/* Starts the process; false and error_text if it cannot be started. */
bool site_start(Site *s, Proc *p);

/* Sends a signal to the process if it is running; after SIGKILL, waits for its
   end. */
void site_signal(Proc *p, int signal);

/* Whether the process has exited; then also updates Proc.running. */
bool site_process_exited(Proc *p);

/* Runs the event loop (load generator, HTTP requests) for about `ms`
   milliseconds. */
void site_run_loop(Site *s, int ms);

/* Sends a GET, or a POST if `body` is not NULL, and waits for the response.
   Returns its JSON; NULL if the status is not 200 or there is no response. */
json_t *site_fetch(Site *s, uint16_t port, const char *path, const char *body);

/* The same for GET and text; the caller frees it. */
char *site_fetch_text(Site *s, uint16_t port, const char *path);

/* Runs wpctl with these arguments and returns its exit code, -1 if it did not
   exit normally. The event loop runs meanwhile. *output, unless `output` is
   NULL, is set to its output. site_ctl_start() only starts it, site_ctl_wait()
   waits for its end. */
int site_ctl(Site *s, const char *words, char **output);
GPid site_ctl_start(Site *s, const char *words);
int site_ctl_wait(Site *s, GPid pid);

/* Reports the box's state ("live", "gone", ...) to the list of boxes. */
void site_announce_box(Site *s, const Proc *p, const char *state);

/* Starts the load of a mix file for this time, at this rate or, if it is 0, at
   the mix's own. Returns false and error_text if the file is invalid. */
bool site_load(Site *s, const char *file, double seconds, double rate);

#endif
