/* Simulation of the usage reporting lease; see report_lease_sim.h. */
#include "report_lease_sim.h"
#include "wp_mirror.h"
#include "wp_report_lease.h"
#include "wp_pb.h"

enum {
    BOXES = 5,
    STEP_MS = 10,
    TICK_MS = 50,
    GOSSIP_MS = 400,
    RUN_MS = 60000,
    WINDOW_MS = 5000,
    REPORT_DEADLINE_MS = 10000,
    LEASE_MS = 3000,
    RETENTION_MS = 25000,
    STORE_LATENCY_MS = 4,
    RECONNECT_MS = 900, /* from a box's fault until it gets changes */
    YIELD_MS = 400,
    YIELD_INTERVAL_MS = 800,  /* from one holder's yield to the next one's */
    RESTART_MS = 300,         /* from a drained process's exit to its start */
    REFUSAL_FREEZE_MS = 7300, /* a successor takes the lease over meanwhile */
    CALL_TIMEOUT_MS = 1500,   /* until a call without an answer fails */
    COPY_MAX_MS = 12000,      /* age of a copy that the store comes back from */
    REWRITE_SPREAD_MS = 300,  /* until a box writes a lost record again */
    WINDOWS = RUN_MS / WINDOW_MS,
    WORKSPACES = 8,
    CLOCK_JUMP_MS = 20000
};
#define START_MS 1700000000000
#define REQUESTS_PER_MS 0.15
#define KEY "lease"

static const char *const ids[BOXES] = { "b0", "b1", "b2", "b3", "b4" };
static const char *const workspaces[WORKSPACES] = { "w0", "w1", "w2", "w3",
                                                    "w4", "w5", "w6", "w7" };

typedef struct Box {
    WPUsage *usage;
    WPReportLease *lease;
    unsigned incarnation;      /* counts the starts of the box's process */
    int64_t down_until_ms;     /* the process is gone until then */
    int64_t frozen_until_ms;   /* the process does not run until then */
    int64_t cut_off_until_ms;  /* the box reaches nothing until then */
    int64_t no_store_until_ms; /* the store does not answer it until then */
    int64_t clock_offset_ms;   /* error of the box's wall clock */
    int64_t yields_until_ms;   /* the box must not hold the lease until then */
    int64_t stops_at_ms; /* the box drains until then and exits; 0: it does not
                            drain */
    unsigned seen_version; /* last version of the store's record that the box
                              has received; 0: none */
    uint64_t era;          /* of the store, as the box knows it */
    WPMirror *mirror;      /* with the store's record under KEY */
    int64_t rewrite_ms;    /* when it writes a lost record again; 0: not due */
} Box;

/* One version of the lease record in the store. */
typedef struct Version {
    int64_t at_ms;
    Wp__DutyRecord *record;
} Version;

typedef enum CallKind {
    CALL_TXN,
    CALL_TXN_DONE,
    CALL_REWRITE, /* of a record that the store has lost */
    CALL_SEND,
    CALL_SENT
} CallKind;

typedef struct Call {
    CallKind kind;
    int64_t at_ms;
    unsigned box, incarnation;
    bool ok;
    uint64_t revision;
    Wp__DutyRecord *record;
    Wp__SettledUsage *report;
    uint64_t fence;
} Call;

typedef struct Sim {
    const LeaseCase *params;
    GRand *rand;
    int64_t now_ms;
    Box boxes[BOXES];
    GPtrArray *versions; /* Version; its length is the store's revision */
    uint64_t era;        /* of the store */
    int64_t restore_ms;  /* when the store comes back from a copy; 0: not due */
    GPtrArray *calls;
    /* Times until which faults of store and service last. */
    int64_t store_down_until_ms, store_answers_lost_until_ms;
    int64_t service_no_answer_until_ms, service_refuses_until_ms,
        service_slow_until_ms;
    int64_t yields_until_ms;    /* each holder in turn yields until then */
    unsigned freeze_on_refusal; /* index + 1 of the box that freezes when the
                                   service refuses its next report; 0: none */
    /* Requests begun, and the first report of each window that the service
       has accepted. */
    uint32_t true_counts[WINDOWS][WORKSPACES];
    Wp__SettledUsage *accepted[WINDOWS];
    int64_t accepted_ms[WINDOWS];
    /* The highest fencing token received and the box that sent it; the box
       and time of the last report call; when each box last made one. */
    uint64_t fence;
    unsigned fence_box, last_box;
    int64_t last_ms, sent_ms[BOXES];
    LeaseResult result;
} Sim;

static WPTime time_of(const Sim *w, const Box *b)
{
    return (WPTime){ (w->now_ms + 1) * WP_US_PER_MS,
                     START_MS + w->now_ms + b->clock_offset_ms };
}

static void free_version(void *p)
{
    wp_pb_free(((Version *)p)->record);
    g_free(p);
}

static void free_call(void *p)
{
    Call *c = p;
    wp_pb_free(c->record);
    wp_pb_free(c->report);
    g_free(c);
}

static void start_box(Sim *w, unsigned i)
{
    Box *b = &w->boxes[i];
    wp_report_lease_free(b->lease);
    wp_usage_free(b->usage);
    b->incarnation++;
    b->seen_version = 0;
    b->era = w->era;
    b->rewrite_ms = 0;
    wp_mirror_free(b->mirror);
    b->mirror = wp_mirror_new();
    b->usage = wp_usage_new((uint64_t)b->incarnation << 8 | i, WINDOW_MS,
                            RETENTION_MS);
    wp_usage_start_clock(b->usage, time_of(w, b));
    const WPReportLeaseRules rules = { .box = ids[i],
                                       .window_ms = WINDOW_MS,
                                       .report_deadline_ms = REPORT_DEADLINE_MS,
                                       .lease_ms = LEASE_MS,
                                       .jitter = (double)i / BOXES,
                                       .send_unsettled =
                                           w->params->send_unsettled };
    b->lease = wp_report_lease_new(&rules, b->usage, time_of(w, b));
}

static bool is_running(const Sim *w, const Box *b)
{
    return w->now_ms >= b->down_until_ms && w->now_ms >= b->frozen_until_ms;
}

static bool reaches_store(const Sim *w, const Box *b)
{
    return w->now_ms >= b->cut_off_until_ms &&
           w->now_ms >= b->no_store_until_ms &&
           w->now_ms >= w->store_down_until_ms;
}

/* Adds a call from `box` that arrives after `after_ms`. */
static Call *add_call(Sim *w, CallKind kind, unsigned box, int64_t after_ms)
{
    Call *c = g_new0(Call, 1);
    c->kind = kind;
    c->at_ms = w->now_ms + after_ms;
    c->box = box;
    c->incarnation = w->boxes[box].incarnation;
    g_ptr_array_add(w->calls, c);
    return c;
}

/* Adds the answer to the call `to`, which reaches the box after `after_ms`. */
static void add_answer(Sim *w, CallKind kind, const Call *to, int64_t after_ms,
                       bool ok, uint64_t revision)
{
    Call *c = add_call(w, kind, to->box, after_ms);
    c->incarnation = to->incarnation;
    c->ok = ok;
    c->revision = revision;
}

/* The store receives a write, which succeeds only if the record is still at
   the revision that the write names. */
static void store_txn(Sim *w, Call *c)
{
    bool same = wp_revision_number(c->revision) == w->versions->len;
    bool lost = w->now_ms < w->store_answers_lost_until_ms ||
                w->boxes[c->box].era < w->era;
    if (!reaches_store(w, &w->boxes[c->box])) {
        if (c->kind == CALL_TXN)
            add_answer(w, CALL_TXN_DONE, c, CALL_TIMEOUT_MS, false, 0);
        return;
    }
    w->result.writes++;
    if (same) {
        Version *v = g_new0(Version, 1);
        v->at_ms = w->now_ms;
        v->record = g_steal_pointer(&c->record);
        g_ptr_array_add(w->versions, v);
    }
    if (c->kind == CALL_TXN)
        add_answer(w, CALL_TXN_DONE, c,
                   lost ? CALL_TIMEOUT_MS : STORE_LATENCY_MS, same && !lost,
                   wp_revision(w->era, w->versions->len));
}

static uint32_t count_in(const Wp__SettledUsage *s, const char *workspace)
{
    for (size_t i = 0; i < s->n_workspaces; i++)
        if (!strcmp(s->workspaces[i], workspace))
            return s->counts[i];
    return 0;
}

static bool has_same_counts(const Wp__SettledUsage *a,
                            const Wp__SettledUsage *b)
{
    for (unsigned i = 0; i < WORKSPACES; i++)
        if (count_in(a, workspaces[i]) != count_in(b, workspaces[i]))
            return false;
    return true;
}

static bool is_accurate(const Sim *w, unsigned window)
{
    for (unsigned i = 0; i < WORKSPACES; i++) {
        double truth = w->true_counts[window][i];
        double reported = count_in(w->accepted[window], workspaces[i]);
        if (ABS(reported - truth) > MAX(1, truth / 20))
            return false;
    }
    return true;
}

/* Counts what the platform does not allow: a fencing token that goes back or
   is used by two boxes, and a box that reports again within a lease of its
   previous report after another one has reported. */
static void check_fence(Sim *w, const Call *c)
{
    LeaseResult *r = &w->result;
    bool other = c->box != w->fence_box;
    r->fence_errors += c->fence < w->fence || (c->fence == w->fence && other);
    if (c->fence >= w->fence) {
        w->fence = c->fence;
        w->fence_box = c->box;
    }
    if (w->last_ms && c->box != w->last_box && w->sent_ms[c->box] &&
        w->now_ms - w->sent_ms[c->box] < LEASE_MS)
        r->early_returns++;
    w->sent_ms[c->box] = w->now_ms;
    w->last_box = c->box;
    w->last_ms = w->now_ms;
}

static void accept_report(Sim *w, Call *c)
{
    unsigned k = (unsigned)(c->report->window - START_MS / WINDOW_MS);
    if (k >= WINDOWS)
        return;
    if (!w->accepted[k]) {
        w->accepted[k] = g_steal_pointer(&c->report);
        w->accepted_ms[k] = w->now_ms;
    } else if (!has_same_counts(w->accepted[k], c->report)) {
        w->result.conflicts++;
    }
}

static void service_receive(Sim *w, Call *c)
{
    bool silent = w->now_ms < w->service_no_answer_until_ms;
    bool cut_off = w->now_ms < w->boxes[c->box].cut_off_until_ms;
    bool refuses = w->now_ms < w->service_refuses_until_ms;
    bool arrives = !cut_off && !refuses && (!silent || g_rand_boolean(w->rand));
    int64_t ms = w->now_ms < w->service_slow_until_ms ? 400 : 5;
    w->result.sends++;
    if (!cut_off && (!silent || arrives))
        check_fence(w, c);
    if (arrives)
        accept_report(w, c);
    if (refuses && w->freeze_on_refusal == c->box + 1) {
        w->boxes[c->box].frozen_until_ms = w->now_ms + REFUSAL_FREEZE_MS;
        w->freeze_on_refusal = 0;
    }
    add_answer(w, CALL_SENT, c, silent || cut_off ? CALL_TIMEOUT_MS : ms,
               arrives && !silent, 0);
}

static void deliver_call(Sim *w, Call *c)
{
    Box *b = &w->boxes[c->box];
    bool mine =
        b->incarnation == c->incarnation && w->now_ms >= b->down_until_ms;
    if (c->kind == CALL_TXN || c->kind == CALL_REWRITE)
        store_txn(w, c);
    else if (c->kind == CALL_SEND)
        service_receive(w, c);
    else if (mine && c->kind == CALL_TXN_DONE)
        wp_report_lease_written(b->lease, time_of(w, b), c->ok, c->revision);
    else if (mine)
        wp_report_lease_sent(b->lease, time_of(w, b), c->ok);
}

/* Delivers the calls and answers that are due. A call arrives even if its
   sender has failed since; an answer waits until its box is no longer
   frozen. */
static void deliver_calls(Sim *w)
{
    for (guint i = 0; i < w->calls->len; i++) {
        Call *c = g_ptr_array_index(w->calls, i);
        bool to_box = c->kind == CALL_TXN_DONE || c->kind == CALL_SENT;
        if (c->at_ms > w->now_ms ||
            (to_box && w->now_ms < w->boxes[c->box].frozen_until_ms))
            continue;
        g_ptr_array_steal_index(w->calls, i--);
        deliver_call(w, c);
        free_call(c);
    }
}

/* The store has another state of the record for the box; NULL: none. */
static void put_record(Sim *w, Box *b, const Wp__DutyRecord *r,
                       uint64_t revision)
{
    g_autoptr(GByteArray) bytes = r ? wp_pb_pack(&r->base) : NULL;
    WPStr value =
        r ? wp_strn((const char *)bytes->data, bytes->len) : wp_str("");
    WPMirrorChange change =
        wp_mirror_put(b->mirror, KEY, r ? &value : NULL, revision, false);
    if (change == WP_MIRROR_CHANGED)
        wp_report_lease_observe(b->lease, time_of(w, b), revision, r, false);
    else
        wp_report_lease_renumber(b->lease,
                                 wp_mirror_key_revision(b->mirror, KEY));
}

/* A box learns that the store was restored, and reads it. */
static void read_restored(Sim *w, Box *b)
{
    const Version *v =
        w->versions->len ? g_ptr_array_index(w->versions, w->versions->len - 1)
                         : NULL;
    b->era = w->era;
    b->seen_version = w->versions->len;
    if (v)
        put_record(w, b, v->record, wp_revision(w->era, w->versions->len));
    wp_mirror_advance(b->mirror, wp_revision(w->era, w->versions->len));
    wp_mirror_mark_missing(b->mirror, w->era);
    wp_report_lease_renumber(b->lease, wp_mirror_key_revision(b->mirror, KEY));
    b->rewrite_ms =
        w->now_ms + g_rand_int_range(w->rand, 1, REWRITE_SPREAD_MS + 1);
}

/* Writes the record again if the store has lost it. */
static void rewrite_lost(Sim *w, unsigned i)
{
    Box *b = &w->boxes[i];
    const WPMirrorItem *item = wp_mirror_get(b->mirror, KEY);
    if (!b->rewrite_ms || w->now_ms < b->rewrite_ms || b->era < w->era)
        return;
    b->rewrite_ms = 0;
    if (!item || !item->lost)
        return;
    gsize n;
    const void *p = g_bytes_get_data(item->value, &n);
    Call *c = add_call(w, CALL_REWRITE, i, 1);
    c->record = wp__duty_record__unpack(NULL, n, p);
    c->revision = wp_mirror_key_revision(b->mirror, KEY);
}

/* Delivers to a box the versions of the record that it lacks,
   STORE_LATENCY_MS after each write; after a fault of the box, none before
   RECONNECT_MS have passed. */
static void watch_record(Sim *w, Box *b)
{
    int64_t back_ms =
        MAX(MAX(b->frozen_until_ms, b->cut_off_until_ms), b->no_store_until_ms);
    if (back_ms && w->now_ms < back_ms + RECONNECT_MS)
        return;
    if (reaches_store(w, b) && b->era < w->era)
        read_restored(w, b);
    while (reaches_store(w, b) && b->seen_version < w->versions->len) {
        const Version *v = g_ptr_array_index(w->versions, b->seen_version);
        if (v->at_ms + STORE_LATENCY_MS > w->now_ms)
            return;
        b->seen_version++;
        put_record(w, b, v->record, wp_revision(w->era, b->seen_version));
    }
}

static void run_lease(Sim *w, unsigned i)
{
    Box *b = &w->boxes[i];
    WPReportAction a;
    bool late =
        w->now_ms < w->store_answers_lost_until_ms && g_rand_boolean(w->rand);
    wp_report_lease_next(b->lease, time_of(w, b),
                         w->now_ms < b->stops_at_ms ||
                                 w->now_ms < b->yields_until_ms
                             ? WP_REPORT_YIELD
                             : WP_REPORT_ELIGIBLE,
                         &a);
    if (a.kind == WP_REPORT_WRITE) {
        Call *c = add_call(w, CALL_TXN, i, late ? 2000 : 1);
        c->record = wp_pb_copy(&a.record->base);
        c->revision = a.revision;
    } else if (a.kind == WP_REPORT_SEND) {
        Call *c = add_call(w, CALL_SEND, i,
                           w->now_ms < w->service_slow_until_ms ? 300 : 1);
        c->report = wp_pb_copy(&a.report->base);
        c->fence = a.fence;
    }
}

/* Begins this step's requests at random boxes, for random workspaces. */
static void generate_requests(Sim *w)
{
    double n = REQUESTS_PER_MS * STEP_MS;
    for (; n > 0; n--) {
        unsigned i = (unsigned)g_rand_int_range(w->rand, 0, BOXES);
        unsigned k = (unsigned)g_rand_int_range(w->rand, 0, WORKSPACES);
        Box *b = &w->boxes[i];
        if (g_rand_double(w->rand) > n || !is_running(w, b))
            continue;
        wp_usage_count_request(b->usage, time_of(w, b).mono_us, workspaces[k]);
        w->true_counts[w->now_ms / WINDOW_MS][k]++;
    }
}

static void merge_count(void *arg, const WPUsageCount *c)
{
    Sim *w = arg;
    for (unsigned i = 0; i < BOXES; i++)
        if (w->now_ms >= w->boxes[i].down_until_ms &&
            w->now_ms >= w->boxes[i].cut_off_until_ms)
            wp_usage_merge(w->boxes[i].usage, c);
}

/* Sends a box's usage counts and clock to all other boxes. */
static void send_counts(Sim *w, unsigned from)
{
    Box *b = &w->boxes[from];
    if (w->now_ms < b->cut_off_until_ms)
        return;
    wp_usage_take_unsent(b->usage, merge_count, w);
    for (unsigned i = 0; i < BOXES; i++)
        if (i != from)
            wp_usage_observe_clock(
                w->boxes[i].usage, time_of(w, &w->boxes[i]), from,
                wp_usage_local_clock_ms(b->usage, time_of(w, b).mono_us));
}

static unsigned find_holder(const Sim *w)
{
    for (unsigned i = 0; i < BOXES; i++)
        if (wp_report_lease_is_held(w->boxes[i].lease))
            return i;
    return 0;
}

/* Replaces a box's process by a new one, which begins to run after `ms`. */
static void kill_box(Sim *w, unsigned i, int64_t ms)
{
    start_box(w, i);
    w->boxes[i].down_until_ms = w->now_ms + ms;
}

/* Sets the wall clocks of the first boxes wrong by CLOCK_JUMP_MS, one ahead
   and one behind, and restarts these boxes. */
static void jump_clocks(Sim *w)
{
    for (unsigned i = 0; i < BOXES / 2; i++) {
        w->boxes[i].clock_offset_ms = i ? -CLOCK_JUMP_MS : CLOCK_JUMP_MS;
        kill_box(w, i, 0);
    }
}

static void inject_fault(Sim *w, LeaseFault what, int64_t ms)
{
    int64_t until_ms = w->now_ms + ms;
    unsigned holder = find_holder(w);
    Box *b = &w->boxes[holder];
    switch (what) {
    case LEASE_FAULT_KILL:
        kill_box(w, holder, ms / 2);
        break;
    case LEASE_FAULT_FREEZE:
        b->frozen_until_ms = until_ms;
        break;
    case LEASE_FAULT_CUT_OFF:
        b->cut_off_until_ms = until_ms;
        break;
    case LEASE_FAULT_STORE_CUT_OFF:
        b->no_store_until_ms = until_ms;
        break;
    case LEASE_FAULT_STORE_DOWN:
        w->store_down_until_ms = until_ms;
        break;
    case LEASE_FAULT_STORE_RESTORED:
        w->store_down_until_ms = w->restore_ms = until_ms;
        break;
    case LEASE_FAULT_STORE_ANSWERS_LOST:
        w->store_answers_lost_until_ms = until_ms;
        break;
    case LEASE_FAULT_SERVICE_NO_ANSWER:
        w->service_no_answer_until_ms = until_ms;
        break;
    case LEASE_FAULT_SERVICE_REFUSES:
        w->service_refuses_until_ms = until_ms;
        break;
    case LEASE_FAULT_SERVICE_SLOW:
        w->service_slow_until_ms = until_ms;
        break;
    case LEASE_FAULT_DRAIN:
        b->stops_at_ms = until_ms;
        break;
    case LEASE_FAULT_YIELD:
        w->yields_until_ms = w->service_refuses_until_ms = until_ms;
        break;
    case LEASE_FAULT_FREEZE_AFTER_REFUSAL:
        w->service_refuses_until_ms = until_ms;
        w->freeze_on_refusal = holder + 1;
        break;
    case LEASE_FAULT_CLOCK_JUMP:
        jump_clocks(w);
        break;
    default:
        break;
    }
}

/* Injects a fault if one is due. `next_ms` is when the next one is due: the
   first within 8 to 30 s, when a box holds the lease; only a mixed run has
   more than one. */
static void inject_due_fault(Sim *w, int64_t *next_ms)
{
    bool mix = w->params->fault == LEASE_FAULT_MIX;
    if (w->now_ms < *next_ms)
        return;
    *next_ms =
        mix ? w->now_ms + g_rand_int_range(w->rand, 300, 9000) : INT64_MAX;
    inject_fault(w,
                 mix ? (LeaseFault)g_rand_int_range(w->rand, LEASE_FAULT_KILL,
                                                    LEASE_FAULT_MIX)
                     : w->params->fault,
                 g_rand_int_range(w->rand, 500, mix ? 9000 : 4000));
}

/* While the yield fault lasts, makes the present holder give the lease up
   every YIELD_INTERVAL_MS. */
static void make_holders_yield(Sim *w)
{
    Box *b = &w->boxes[find_holder(w)];
    if (w->now_ms < w->yields_until_ms && w->now_ms % YIELD_INTERVAL_MS == 0 &&
        w->now_ms >= b->yields_until_ms)
        b->yields_until_ms = w->now_ms + YIELD_MS;
}

/* Brings the store back from a copy if that is due: later versions are lost,
   and their numbers are given out again. */
static void restore_store(Sim *w)
{
    if (!w->restore_ms || w->now_ms < w->restore_ms)
        return;
    int64_t copied_ms = w->now_ms - g_rand_int_range(w->rand, 500, COPY_MAX_MS);
    guint n = w->versions->len;
    while (n && ((Version *)g_ptr_array_index(w->versions, n - 1))->at_ms >
                    copied_ms)
        n--;
    g_ptr_array_set_size(w->versions, (gint)n);
    w->era++;
    w->restore_ms = 0;
}

static void step(Sim *w)
{
    make_holders_yield(w);
    restore_store(w);
    generate_requests(w);
    deliver_calls(w);
    for (unsigned i = 0; i < BOXES; i++) {
        Box *b = &w->boxes[i];
        if (!is_running(w, b))
            continue;
        if (b->stops_at_ms && w->now_ms >= b->stops_at_ms) {
            b->stops_at_ms = 0;
            kill_box(w, i, RESTART_MS);
            continue;
        }
        watch_record(w, b);
        rewrite_lost(w, i);
        if ((w->now_ms + i * STEP_MS) % TICK_MS == 0) {
            wp_usage_tick(b->usage, time_of(w, b));
            run_lease(w, i);
        }
        if (w->now_ms % GOSSIP_MS == 0)
            send_counts(w, i);
    }
}

/* Counts the windows of which a report fell due, was accepted in time and
   was accurate. */
static void count_windows(Sim *w)
{
    LeaseResult *r = &w->result;
    for (unsigned k = 1; k < WINDOWS; k++) {
        int64_t due_ms = (int64_t)(k + 1) * WINDOW_MS + REPORT_DEADLINE_MS;
        if (due_ms > RUN_MS)
            break;
        r->due++;
        r->reported += w->accepted[k] && w->accepted_ms[k] <= due_ms;
        r->accurate += w->accepted[k] && is_accurate(w, k);
    }
}

LeaseResult simulate_report_lease(const LeaseCase *c)
{
    Sim w = { .params = c };
    w.rand = g_rand_new_with_seed(c->seed);
    w.versions = g_ptr_array_new_with_free_func(free_version);
    w.calls = g_ptr_array_new_with_free_func(free_call);
    for (unsigned i = 0; i < BOXES; i++)
        start_box(&w, i);
    int64_t next_ms = g_rand_int_range(w.rand, 8000, 30000);
    for (; w.now_ms < RUN_MS; w.now_ms += STEP_MS) {
        inject_due_fault(&w, &next_ms);
        step(&w);
    }
    count_windows(&w);
    for (unsigned i = 0; i < BOXES; i++) {
        wp_report_lease_free(w.boxes[i].lease);
        wp_usage_free(w.boxes[i].usage);
        wp_mirror_free(w.boxes[i].mirror);
    }
    for (unsigned k = 0; k < WINDOWS; k++)
        wp_pb_free(w.accepted[k]);
    g_ptr_array_unref(w.versions);
    g_ptr_array_unref(w.calls);
    g_rand_free(w.rand);
    return w.result;
}
