/* The lease of usage reporting. */
#include "wp_report_lease.h"
#include "wp_pb.h"

enum {
    SETTLE_MS = 2000, /* after a window's end, until all counts have come */
    GRACE_MS = 1500,  /* then, for a slow holder to settle the window */
    MARGIN_MS = 1000, /* the longest that a report takes to arrive */
    SPREAD_MS = 500,  /* over which takeovers by several boxes are spread */
    RETRY_MS = 500,   /* after a write or a report that failed */
    SETTLED_MAX = 16  /* windows in one record */
};

struct WPReportLease {
    WPReportLeaseRules rules;
    const WPUsage *usage;
    int64_t start_us;
    Wp__DutyRecord *record; /* the newest that is known */
    bool unreadable;
    uint64_t revision;
    int64_t seen_us; /* when this box saw that revision */
    /* the lowest token of this process; 0: it has had none */
    uint64_t first_fence;
    /* until then this process may send, if it holds the lease */
    int64_t send_until_us;
    Wp__DutyRecord *pending; /* of the write under way, or of the last one */
    int64_t write_sent_us;   /* when that was sent */
    int64_t last_report_us; /* when this process last sent a report; 0: never */
    bool writing, sending;
    int64_t retry_us; /* nothing is written or sent before that */
    GArray *reported; /* windows of the record whose reports were accepted */
    uint64_t sent_window; /* the window whose report is under way */
    uint64_t missed;
    uint64_t write_missed; /* that are added when the write takes effect */
    /* tests: what is sent instead of settled counts */
    Wp__SettledUsage *unsettled_report;
};

WPReportLease *wp_report_lease_new(const WPReportLeaseRules *rules,
                                   const WPUsage *usage, WPTime now)
{
    WPReportLease *d = g_new0(WPReportLease, 1);
    d->rules = *rules;
    d->usage = usage;
    d->start_us = now.mono_us;
    d->reported = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    return d;
}

void wp_report_lease_free(WPReportLease *d)
{
    if (!d)
        return;
    wp_pb_free(d->record);
    wp_pb_free(d->pending);
    wp_pb_free(d->unsettled_report);
    g_array_unref(d->reported);
    g_free(d);
}

static int64_t in_us(uint32_t ms)
{
    return (int64_t)ms * WP_US_PER_MS;
}

/* By the token, not by writes that were answered: a write without an answer may
   have taken effect, and the record then shows it. A record of an earlier
   process of this box has a lower token. */
bool wp_report_lease_is_held(const WPReportLease *d)
{
    return d->record && d->first_fence && d->record->fence >= d->first_fence &&
           !strcmp(d->record->holder, d->rules.box);
}

uint64_t wp_report_lease_fence(const WPReportLease *d)
{
    return d->record ? d->record->fence : 0;
}

uint64_t wp_report_lease_missed(const WPReportLease *d)
{
    return d->missed;
}

static bool has_settled(const Wp__DutyRecord *r, uint64_t window)
{
    for (size_t i = 0; r && i < r->n_settled; i++)
        if (r->settled[i]->window == window)
            return true;
    return false;
}

static void prune_reported(WPReportLease *d)
{
    for (guint i = d->reported->len; i > 0; i--)
        if (!has_settled(d->record,
                         g_array_index(d->reported, uint64_t, i - 1)))
            g_array_remove_index_fast(d->reported, i - 1);
}

/* Whether a record is from before the known one. In the store neither fence nor
   windows go back but by a restore. */
static bool is_behind(const WPReportLease *d, const Wp__DutyRecord *r)
{
    return d->record && r &&
           (r->fence < d->record->fence ||
            (r->fence == d->record->fence && r->next < d->record->next));
}

void wp_report_lease_observe(WPReportLease *d, WPTime now, uint64_t revision,
                             const Wp__DutyRecord *r, bool unreadable)
{
    if (revision <= d->revision)
        return;
    if (is_behind(d, r)) {
        d->revision = revision;
        return;
    }
    wp_pb_free(d->record);
    d->record = r ? wp_pb_copy(&r->base) : NULL;
    d->unreadable = unreadable;
    d->revision = revision;
    d->seen_us = now.mono_us;
    prune_reported(d);
}

void wp_report_lease_renumber(WPReportLease *d, uint64_t revision)
{
    d->revision = revision;
}

/* Whether at least `ms` milliseconds have passed since the end of the window,
   by the usage clock. */
static bool is_past(const WPReportLease *d, WPTime now, uint64_t window,
                    double ms)
{
    int64_t end_ms = (int64_t)((window + 1) * d->rules.window_ms);
    return wp_usage_clock_ms(d->usage, now.mono_us) >= end_ms + (int64_t)ms;
}

/* Whether the window's report would come too late to be accepted. */
static bool is_late(const WPReportLease *d, WPTime now, uint64_t window)
{
    return is_past(d, now, window, d->rules.report_deadline_ms);
}

/* If reports are due soon, there is less time to wait for counts, and for the
   holder: a fifth of it for each. */
static double settle_ms(const WPReportLease *d)
{
    return MIN(SETTLE_MS, d->rules.report_deadline_ms / 5.0);
}

static double takeover_ms(const WPReportLease *d)
{
    double grace_ms = MIN(GRACE_MS, d->rules.report_deadline_ms / 5.0);
    return settle_ms(d) + grace_ms + d->rules.jitter * SPREAD_MS;
}

static bool was_reported(const WPReportLease *d, uint64_t window)
{
    for (guint i = 0; i < d->reported->len; i++)
        if (g_array_index(d->reported, uint64_t, i) == window)
            return true;
    return false;
}

/* The oldest settled window that is still to be reported, or NULL. */
static const Wp__SettledUsage *oldest_due(const WPReportLease *d, WPTime now)
{
    for (size_t i = 0; i < d->record->n_settled; i++) {
        const Wp__SettledUsage *s = d->record->settled[i];
        if (!was_reported(d, s->window) && !is_late(d, now, s->window))
            return s;
    }
    return NULL;
}

typedef struct CountList {
    GPtrArray *workspaces;
    GArray *counts;
} CountList;

static void add_count(void *arg, const WPUsageCount *c)
{
    CountList *f = arg;
    g_ptr_array_add(f->workspaces, g_strdup(c->workspace));
    g_array_append_val(f->counts, c->count);
}

/* The counts of a window that are known now. */
static Wp__SettledUsage *make_usage(const WPReportLease *d, uint64_t window)
{
    Wp__SettledUsage *s = g_new(Wp__SettledUsage, 1);
    wp__settled_usage__init(s);
    CountList f = { g_ptr_array_new(),
                    g_array_new(FALSE, FALSE, sizeof(uint32_t)) };
    wp_usage_each_sum(d->usage, window, add_count, &f);
    s->window = window;
    s->n_workspaces = f.workspaces->len;
    s->workspaces = (char **)g_ptr_array_free(f.workspaces, FALSE);
    s->n_counts = f.counts->len;
    s->counts = (uint32_t *)(void *)g_array_free(f.counts, FALSE);
    return s;
}

/* Copies the settled windows that are still to be reported, and counts those
   that are too late as missed. */
static void carry_settled(WPReportLease *d, WPTime now, GPtrArray *to)
{
    for (size_t i = 0; d->record && i < d->record->n_settled; i++) {
        const Wp__SettledUsage *s = d->record->settled[i];
        if (was_reported(d, s->window))
            continue;
        if (is_late(d, now, s->window))
            d->write_missed++;
        else
            g_ptr_array_add(to, wp_pb_copy(&s->base));
    }
}

/* Whether the counts of a window are lost: it ended before this process began,
   and no box that is left has received any. No report is better than one of no
   requests. */
static bool is_lost(const WPReportLease *d, const Wp__SettledUsage *u)
{
    int64_t end_ms = (int64_t)((u->window + 1) * d->rules.window_ms);
    return !u->n_counts && end_ms <= wp_usage_clock_ms(d->usage, d->start_us);
}

/* Settles the windows whose counts have come. Those that are too late are left
   out, as their reports would not be accepted, and those that are lost. */
static void settle(WPReportLease *d, WPTime now, Wp__DutyRecord *r,
                   GPtrArray *to)
{
    while (is_past(d, now, r->next, settle_ms(d)) && to->len < SETTLED_MAX) {
        Wp__SettledUsage *u = make_usage(d, r->next++);
        if (!is_late(d, now, u->window) && !is_lost(d, u)) {
            g_ptr_array_add(to, u);
            continue;
        }
        d->write_missed++;
        wp_pb_free(u);
    }
}

/* The record to be written after the known one, with this box as the holder;
   `settles`: with the windows that can be settled now. */
static Wp__DutyRecord *next_record(WPReportLease *d, WPTime now, uint64_t fence,
                                   bool settles)
{
    Wp__DutyRecord *r = g_new(Wp__DutyRecord, 1);
    GPtrArray *list = g_ptr_array_new();
    int64_t clock_ms = wp_usage_clock_ms(d->usage, now.mono_us);
    wp__duty_record__init(r);
    d->write_missed = 0;
    r->holder = g_strdup(d->rules.box);
    r->fence = fence;
    r->next = d->record ? d->record->next : wp_usage_window(d->usage, clock_ms);
    r->has_renewals = 1;
    r->renewals = d->record ? d->record->renewals + 1 : 0;
    carry_settled(d, now, list);
    if (settles)
        settle(d, now, r, list);
    r->n_settled = list->len;
    r->settled = (Wp__SettledUsage **)g_ptr_array_free(list, FALSE);
    return r;
}

/* Sets the next action to a write of the record `r`, which it takes over, on
   the condition that the stored one still has the known revision. */
static void start_write(WPReportLease *d, WPTime now, Wp__DutyRecord *r,
                        const char *why, WPReportAction *out)
{
    wp_pb_free(d->pending);
    d->pending = r;
    d->write_sent_us = now.mono_us;
    d->writing = true;
    *out = (WPReportAction){ .kind = WP_REPORT_WRITE,
                             .reason = why,
                             .record = r,
                             .revision = d->record ? d->revision : 0 };
}

/* Sets the next action to the report of `s`; or to a renewal of the lease, if
   that is not certainly held any more. */
static void start_report(WPReportLease *d, WPTime now,
                         const Wp__SettledUsage *s, WPReportAction *out)
{
    if (now.mono_us >= d->send_until_us) {
        start_write(d, now, next_record(d, now, d->record->fence, false),
                    "renews", out);
        return;
    }
    if (d->rules.send_unsettled) {
        wp_pb_free(d->unsettled_report);
        d->unsettled_report = make_usage(d, s->window);
        s = d->unsettled_report;
    }
    d->sending = true;
    d->last_report_us = now.mono_us;
    d->sent_window = s->window;
    *out = (WPReportAction){ .kind = WP_REPORT_SEND,
                             .report = s,
                             .fence = d->record->fence };
}

static void act_as_holder(WPReportLease *d, WPTime now, WPReportAction *out)
{
    const Wp__SettledUsage *due = oldest_due(d, now);
    if (due)
        start_report(d, now, due, out);
    else if (is_past(d, now, d->record->next, settle_ms(d)))
        start_write(d, now, next_record(d, now, d->record->fence, true),
                    "settles", out);
}

/* Whether another box may take over from the last holder: it did not settle a
   window in time, or has given the lease up, and all that it sent has
   arrived. */
static bool may_take_over(const WPReportLease *d, WPTime now)
{
    int64_t quiet_us = in_us(d->rules.lease_ms) + in_us(MARGIN_MS);
    int64_t since_us = d->record ? MAX(d->seen_us, d->start_us) : d->start_us;
    double spread_us = d->rules.jitter * SPREAD_MS * WP_US_PER_MS;
    /* This box also keeps its distance from its own last report, as another
       one may have sent in between. */
    if (d->last_report_us && now.mono_us < d->last_report_us + quiet_us)
        return false;
    if (d->record && !*d->record->holder) /* given up */
        return now.mono_us >= d->start_us + quiet_us &&
               now.mono_us >= d->seen_us + (int64_t)spread_us;
    if (now.mono_us < since_us + quiet_us + (int64_t)spread_us)
        return false;
    return !d->record || is_past(d, now, d->record->next, takeover_ms(d));
}

static void take_over(WPReportLease *d, WPTime now, WPReportAction *out)
{
    uint64_t fence = wp_report_lease_fence(d) + 1;
    if (!d->first_fence)
        d->first_fence = fence;
    d->send_until_us = 0;
    g_array_set_size(d->reported, 0);
    start_write(d, now, next_record(d, now, fence, false), "takes over", out);
}

/* Only while no report is under way, so the next holder may act at once. */
static void give_up(WPReportLease *d, WPTime now, WPReportAction *out)
{
    Wp__DutyRecord *r = next_record(d, now, d->record->fence, false);
    g_free(r->holder);
    r->holder = g_strdup("");
    start_write(d, now, r, "gives up", out);
}

const char *wp_report_lease_problem(const WPReportLease *d, WPTime now)
{
    int64_t clock_ms = wp_usage_clock_ms(d->usage, now.mono_us);
    if (d->unreadable)
        return "the record in the store cannot be decoded";
    if (d->record && d->record->next > wp_usage_window(d->usage, clock_ms) + 1)
        return "the record has settled windows that have not begun";
    return NULL;
}

void wp_report_lease_next(WPReportLease *d, WPTime now,
                          WPReportEligibility eligibility, WPReportAction *out)
{
    bool mine = wp_report_lease_is_held(d);
    *out = (WPReportAction){ .kind = WP_REPORT_IDLE };
    if (eligibility == WP_REPORT_STORE_DOWN || d->writing || d->sending ||
        d->unreadable || now.mono_us < d->retry_us)
        return;
    if (mine && eligibility == WP_REPORT_YIELD)
        give_up(d, now, out);
    else if (mine)
        act_as_holder(d, now, out);
    else if (eligibility == WP_REPORT_ELIGIBLE && may_take_over(d, now))
        take_over(d, now, out);
}

void wp_report_lease_written(WPReportLease *d, WPTime now, bool done,
                             uint64_t revision)
{
    d->writing = false;
    if (!done) {
        d->retry_us = now.mono_us + in_us(RETRY_MS);
        return;
    }
    d->missed += d->write_missed;
    wp_report_lease_observe(d, now, revision, d->pending, false);
    if (wp_report_lease_is_held(d))
        d->send_until_us = d->write_sent_us + in_us(d->rules.lease_ms) / 2;
}

void wp_report_lease_sent(WPReportLease *d, WPTime now, bool accepted)
{
    d->sending = false;
    if (accepted)
        g_array_append_val(d->reported, d->sent_window);
    else
        d->retry_us = now.mono_us + in_us(RETRY_MS);
}
