/* Declarations shared by the source files of wpctl. */
#ifndef CTL_H
#define CTL_H

#include "daemon.h"
#include "wp_change.h"
#include "wp_code.h"
#include "wp_http.h"

typedef struct Ctl {
    struct event_base *base;
    WPKv *kv; /* the store; NULL: no --store was given */
    /* Values of the options of the same names; NULL: not given. */
    char *store, *admin, *file, *author, *output, *charts;
    char *traffic, *versions, *effect, *on, *match, **set;
    char *from, *to, *workspace, *kind, *labels, *request;
    gboolean force, wait, remove, version;
    double timeout_s;
    char **args; /* the command and its arguments */
    int n_args;
} Ctl;

/* Whether -o json was given. */
static inline bool ctl_wants_json(const Ctl *c)
{
    return c->output && !strcmp(c->output, "json");
}

/* Runs one command of wpctl and returns the exit code of the process (EXIT_* in
   daemon.h). */
typedef int (*CtlCommand)(Ctl *c);

/* ctl_change.c: commands that change the configuration, or check a rules file.
 */
int ctl_check(Ctl *c);
int ctl_apply(Ctl *c);
int ctl_label(Ctl *c);
int ctl_rule(Ctl *c);
int ctl_selector(Ctl *c);
int ctl_delete(Ctl *c);
int ctl_withdraw(Ctl *c);
int ctl_restore(Ctl *c);
int ctl_rollout(Ctl *c);

/* ctl_view.c: commands that only read. */
int ctl_get(Ctl *c);
int ctl_status(Ctl *c);
int ctl_timeline(Ctl *c);
int ctl_why(Ctl *c);
int ctl_bills(Ctl *c);

/* ctl_load.c */
int ctl_load(Ctl *c);
int ctl_shifts(Ctl *c);

/* Reads the keys of the store from `key` up to, but not including, `end`, or
   the one key if `end` is NULL, and passes the result to `done`. Waits for the
   answer. Returns false, after printing an error, if there is none. */
bool ctl_read_range(Ctl *c, const char *key, const char *end, WPKvResultFn done,
                    void *arg);

/* Reads the configuration from the store; free it with wp_config_free().
   Returns NULL, after printing an error, if the store does not answer. `*code`
   is set to the exit code that follows from this. */
WPConfig *ctl_read_config(Ctl *c, int *code);

/* GETs `path` from the admin port at `target` (host:port) and returns the JSON
   answer, a new reference. NULL if there is no answer within 2 s, its status is
   not 200, or it is not valid JSON. */
json_t *ctl_fetch_json(Ctl *c, const char *target, const char *path);

/* Waits until every box has applied `revision`, for at most --timeout seconds,
   and prints the outcome. Returns EXIT_OK or EXIT_UNAVAILABLE. */
int ctl_wait_for_revision(Ctl *c, uint64_t revision);

/* The present time. */
WPTime ctl_now(void);

#endif
