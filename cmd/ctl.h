/* Shared by the parts of wpctl. */
#ifndef CTL_H
#define CTL_H

#include "daemon.h"
#include "wp_change.h"
#include "wp_code.h"
#include "wp_http.h"

typedef struct Ctl {
    struct event_base *base;
    WPKv *kv;
    /* Options. */
    char *store, *admin, *file, *author, *output, *charts;
    char *traffic, *versions, *effect, *on, *match, **set;
    char *from, *to, *workspace, *kind, *labels, *request;
    gboolean force, wait, remove, version;
    double timeout_s;
    char **words; /* the command and what follows it */
    int n_words;
} Ctl;

static inline bool ctl_json(const Ctl *c)
{
    return c->output && !strcmp(c->output, "json");
}

/* All give an exit code. */
typedef int (*CtlCommand)(Ctl *c);

int ctl_check(Ctl *c);
int ctl_apply(Ctl *c);
int ctl_label(Ctl *c);
int ctl_rule(Ctl *c);
int ctl_selector(Ctl *c);
int ctl_delete(Ctl *c);
int ctl_withdraw(Ctl *c);
int ctl_restore(Ctl *c);
int ctl_rollout(Ctl *c);

int ctl_get(Ctl *c);
int ctl_status(Ctl *c);
int ctl_timeline(Ctl *c);
int ctl_why(Ctl *c);
int ctl_bills(Ctl *c);

/* Calls that wait for their answer. */
bool ctl_range(Ctl *c, const char *key, const char *end, WPKvResultFn done,
               void *arg);

/* The store's configuration; NULL after saying what went wrong. */
WPConfig *ctl_config(Ctl *c, int *code);

/* GET of an admin page; NULL when it cannot be had. */
json_t *ctl_fetch(Ctl *c, const char *target, const char *path);

/* Waits until every box is at `revision`; gives an exit code. */
int ctl_wait_for(Ctl *c, uint64_t revision);

WPTime ctl_now(void);

#endif
