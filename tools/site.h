/* A whole site as real processes on loopback, for scenarios and the demo. */
#ifndef SITE_H
#define SITE_H

#include "load.h"
#include "ports.h"

typedef struct Proc {
    char *name;
    const char *program; /* wpentry, wpagent or wpstand */
    char *config;        /* settings file */
    uint16_t port;       /* HTTP: callers', or the stand-in's */
    uint16_t peer_port, admin_port;
    GPid pid;
    bool running, frozen;
} Proc;

typedef struct Mark {
    char *name;
    int64_t wall_ms, mono_us;
} Mark;

typedef struct Site {
    struct event_base *base;
    const Wp__Scenario *plan;
    const char *off; /* guard switched off, or NULL */
    char *folder, *bin;
    GPtrArray *procs; /* of Proc */
    GArray *marks;    /* of Mark */
    Wp__Mix *mix;
    Load *load;
    Ports ports;
    int ctl_exit;
    GString *why; /* what failed, for the report */
} Site;

/* Starts every process; false (and `why`) when one does not come up. */
Site *site_new(const Wp__Scenario *plan, const char *bin, const char *off);
bool site_up(Site *s);
void site_free(Site *s);

/* The first complaint of a sanitizer in any process's log; NULL: none. */
char *site_complaint(Site *s);

Proc *site_proc(Site *s, const char *name);
bool site_start(Site *s, Proc *p);
void site_signal(Proc *p, int signal);

/* Whether it has ended; also notes that. */
bool site_ended(Proc *p);

/* Runs the loop (load, answers) for about `ms`. */
void site_pump(Site *s, int ms);

/* JSON of a page, or NULL; POST when `body` is given. */
json_t *site_fetch(Site *s, uint16_t port, const char *path, const char *body);
char *site_text(Site *s, uint16_t port, const char *path);

/* Runs wpctl with these words; gives its exit code. */
int site_ctl(Site *s, const char *words, char **output);
GPid site_ctl_begin(Site *s, const char *words);
int site_ctl_end(Site *s, GPid pid);

void site_box(Site *s, const Proc *p, const char *state);
bool site_load(Site *s, const char *file, double seconds, double rate);

#endif
