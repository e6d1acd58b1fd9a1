/* The duty of reporting usage. */
#include "wp_duty.h"
#include "wp_pb.h"

enum {
    SETTLE_MS = 2000, /* after a window's end its counts are on their way */
    GRACE_MS = 1500,  /* and its holder may be slow */
    MARGIN_MS = 1000, /* a report may be so long on its way */
    SPREAD_MS = 500,  /* between boxes that could take over */
    AGAIN_MS = 500,   /* after a call without success */
    SETTLED_MOST = 16 /* windows in one record */
};

struct WPDuty {
    WPDutyRules rules;
    const WPUsage *usage;
    int64_t start_us;
    Wp__DutyRecord *record; /* the newest that is known */
    bool unreadable;
    uint64_t revision;
    int64_t seen_us;      /* when it became known */
    uint64_t first_fence; /* the lowest of this process; 0: it has had none */
    int64_t until_us;     /* it may send until then */
    Wp__DutyRecord *out;  /* the write under way, or the last */
    int64_t out_us;       /* when that set out */
    int64_t acted_us;     /* when this process last sent; 0: it never did */
    bool writing, sending;
    int64_t again_us; /* no call before that */
    GArray *reported; /* windows of the record that were taken */
    uint64_t sent;    /* the window under way */
    uint64_t missed, out_missed;
    Wp__SettledUsage *fresh; /* tests: what is sent unsettled */
};

WPDuty *wp_duty_new(const WPDutyRules *rules, const WPUsage *usage, WPTime now)
{
    WPDuty *d = g_new0(WPDuty, 1);
    d->rules = *rules;
    d->usage = usage;
    d->start_us = now.mono_us;
    d->reported = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    return d;
}

void wp_duty_free(WPDuty *d)
{
    if (!d)
        return;
    wp_pb_free(d->record);
    wp_pb_free(d->out);
    wp_pb_free(d->fresh);
    g_array_unref(d->reported);
    g_free(d);
}

static int64_t in_us(uint32_t ms)
{
    return (int64_t)ms * WP_US_PER_MS;
}

/* A write that had no answer may have come about all the same. */
bool wp_duty_is_mine(const WPDuty *d)
{
    return d->record && d->first_fence && d->record->fence >= d->first_fence &&
           !strcmp(d->record->holder, d->rules.box);
}

uint64_t wp_duty_fence(const WPDuty *d)
{
    return d->record ? d->record->fence : 0;
}

uint64_t wp_duty_missed(const WPDuty *d)
{
    return d->missed;
}

static bool holds(const Wp__DutyRecord *r, uint64_t window)
{
    for (size_t i = 0; r && i < r->n_settled; i++)
        if (r->settled[i]->window == window)
            return true;
    return false;
}

static void forget_reported(WPDuty *d)
{
    for (guint i = d->reported->len; i > 0; i--)
        if (!holds(d->record, g_array_index(d->reported, uint64_t, i - 1)))
            g_array_remove_index_fast(d->reported, i - 1);
}

void wp_duty_record(WPDuty *d, WPTime now, uint64_t revision,
                    const Wp__DutyRecord *r, bool unreadable)
{
    if (revision <= d->revision)
        return;
    wp_pb_free(d->record);
    d->record = r ? wp_pb_copy(&r->base) : NULL;
    d->unreadable = unreadable;
    d->revision = revision;
    d->seen_us = now.mono_us;
    forget_reported(d);
}

/* When a window's end is so long ago, by the clock of usage. */
static bool is_past(const WPDuty *d, WPTime now, uint64_t window, double ms)
{
    int64_t end_ms = (int64_t)((window + 1) * d->rules.window_ms);
    return wp_usage_clock_ms(d->usage, now.mono_us) >= end_ms + (int64_t)ms;
}

/* Nobody is to take a report that would come later. */
static bool is_late(const WPDuty *d, WPTime now, uint64_t window)
{
    return is_past(d, now, window, d->rules.late_ms);
}

/* Short bounds leave less time to wait for counts and for the holder. */
static double settle_ms(const WPDuty *d)
{
    return MIN(SETTLE_MS, d->rules.late_ms / 5.0);
}

static double takeover_ms(const WPDuty *d)
{
    double grace_ms = MIN(GRACE_MS, d->rules.late_ms / 5.0);
    return settle_ms(d) + grace_ms + d->rules.haste * SPREAD_MS;
}

static bool was_reported(const WPDuty *d, uint64_t window)
{
    for (guint i = 0; i < d->reported->len; i++)
        if (g_array_index(d->reported, uint64_t, i) == window)
            return true;
    return false;
}

/* The oldest settled window that is to be reported; NULL: none is. */
static const Wp__SettledUsage *oldest_due(const WPDuty *d, WPTime now)
{
    for (size_t i = 0; i < d->record->n_settled; i++) {
        const Wp__SettledUsage *s = d->record->settled[i];
        if (!was_reported(d, s->window) && !is_late(d, now, s->window))
            return s;
    }
    return NULL;
}

typedef struct Fill {
    GPtrArray *workspaces;
    GArray *counts;
} Fill;

static void add_count(void *arg, const WPUsageCount *c)
{
    Fill *f = arg;
    g_ptr_array_add(f->workspaces, g_strdup(c->workspace));
    g_array_append_val(f->counts, c->count);
}

/* What is known of a window now. */
static Wp__SettledUsage *sum_of(const WPDuty *d, uint64_t window)
{
    Wp__SettledUsage *s = g_new(Wp__SettledUsage, 1);
    wp__settled_usage__init(s);
    Fill f = { g_ptr_array_new(), g_array_new(FALSE, FALSE, sizeof(uint32_t)) };
    wp_usage_each_sum(d->usage, window, add_count, &f);
    s->window = window;
    s->n_workspaces = f.workspaces->len;
    s->workspaces = (char **)g_ptr_array_free(f.workspaces, FALSE);
    s->n_counts = f.counts->len;
    s->counts = (uint32_t *)(void *)g_array_free(f.counts, FALSE);
    return s;
}

/* Copies what is still to be reported of the record. */
static void carry_settled(WPDuty *d, WPTime now, GPtrArray *to)
{
    for (size_t i = 0; d->record && i < d->record->n_settled; i++) {
        const Wp__SettledUsage *s = d->record->settled[i];
        if (was_reported(d, s->window))
            continue;
        if (is_late(d, now, s->window))
            d->out_missed++;
        else
            g_ptr_array_add(to, wp_pb_copy(&s->base));
    }
}

/* Whether nothing can be known of a window: it ended before this process began,
   and whoever has counted has told nobody that is left. No report is better
   than one of nothing. */
static bool is_lost(const WPDuty *d, const Wp__SettledUsage *u)
{
    int64_t end_ms = (int64_t)((u->window + 1) * d->rules.window_ms);
    return !u->n_counts && end_ms <= wp_usage_clock_ms(d->usage, d->start_us);
}

/* Settles the windows whose counts are in; those that are too late are left
   out, as nobody is to take them. */
static void settle(WPDuty *d, WPTime now, Wp__DutyRecord *r, GPtrArray *to)
{
    while (is_past(d, now, r->next, settle_ms(d)) && to->len < SETTLED_MOST) {
        Wp__SettledUsage *u = sum_of(d, r->next++);
        if (!is_late(d, now, u->window) && !is_lost(d, u)) {
            g_ptr_array_add(to, u);
            continue;
        }
        d->out_missed++;
        wp_pb_free(u);
    }
}

/* A record that says more than the present one, as this box would have it. */
static Wp__DutyRecord *next_record(WPDuty *d, WPTime now, uint64_t fence,
                                   bool settles)
{
    Wp__DutyRecord *r = g_new(Wp__DutyRecord, 1);
    GPtrArray *list = g_ptr_array_new();
    int64_t clock_ms = wp_usage_clock_ms(d->usage, now.mono_us);
    wp__duty_record__init(r);
    d->out_missed = 0;
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

static void write(WPDuty *d, WPTime now, Wp__DutyRecord *r, const char *why,
                  WPDutyAct *out)
{
    wp_pb_free(d->out);
    d->out = r;
    d->out_us = now.mono_us;
    d->writing = true;
    *out = (WPDutyAct){ .kind = WP_DUTY_WRITE,
                        .why = why,
                        .record = r,
                        .revision = d->record ? d->revision : 0 };
}

static void send(WPDuty *d, WPTime now, const Wp__SettledUsage *s,
                 WPDutyAct *out)
{
    if (now.mono_us >= d->until_us) {
        write(d, now, next_record(d, now, d->record->fence, false), "renews",
              out);
        return;
    }
    if (d->rules.unsettled) {
        wp_pb_free(d->fresh);
        d->fresh = sum_of(d, s->window);
        s = d->fresh;
    }
    d->sending = true;
    d->acted_us = now.mono_us;
    d->sent = s->window;
    *out = (WPDutyAct){ .kind = WP_DUTY_SEND,
                        .report = s,
                        .fence = d->record->fence };
}

static void work(WPDuty *d, WPTime now, WPDutyAct *out)
{
    const Wp__SettledUsage *due = oldest_due(d, now);
    if (due)
        send(d, now, due, out);
    else if (is_past(d, now, d->record->next, settle_ms(d)))
        write(d, now, next_record(d, now, d->record->fence, true), "settles",
              out);
}

/* Whether the holder, whoever it was, has ceased: it did not settle a window in
   time, and whatever it sent has arrived. */
static bool has_ceased(const WPDuty *d, WPTime now)
{
    int64_t quiet_us = in_us(d->rules.lease_ms) + in_us(MARGIN_MS);
    int64_t since_us = d->record ? MAX(d->seen_us, d->start_us) : d->start_us;
    double spread_us = d->rules.haste * SPREAD_MS * WP_US_PER_MS;
    /* Nor does a box come back so soon that another one acted in between. */
    if (d->acted_us && now.mono_us < d->acted_us + quiet_us)
        return false;
    if (d->record && !*d->record->holder) /* given up */
        return now.mono_us >= d->start_us + quiet_us &&
               now.mono_us >= d->seen_us + (int64_t)spread_us;
    if (now.mono_us < since_us + quiet_us + (int64_t)spread_us)
        return false;
    return !d->record || is_past(d, now, d->record->next, takeover_ms(d));
}

static void take_over(WPDuty *d, WPTime now, WPDutyAct *out)
{
    uint64_t fence = wp_duty_fence(d) + 1;
    if (!d->first_fence)
        d->first_fence = fence;
    d->until_us = 0;
    g_array_set_size(d->reported, 0);
    write(d, now, next_record(d, now, fence, false), "takes over", out);
}

/* Nothing is under way: whoever is next may act at once. */
static void give_up(WPDuty *d, WPTime now, WPDutyAct *out)
{
    Wp__DutyRecord *r = next_record(d, now, d->record->fence, false);
    g_free(r->holder);
    r->holder = g_strdup("");
    write(d, now, r, "gives up", out);
}

const char *wp_duty_problem(const WPDuty *d, WPTime now)
{
    int64_t clock_ms = wp_usage_clock_ms(d->usage, now.mono_us);
    if (d->unreadable)
        return "its record in the store cannot be read";
    if (d->record && d->record->next > wp_usage_window(d->usage, clock_ms) + 1)
        return "windows are settled that have not begun";
    return NULL;
}

void wp_duty_next(WPDuty *d, WPTime now, WPDutyFit fit, WPDutyAct *out)
{
    bool mine = wp_duty_is_mine(d);
    *out = (WPDutyAct){ .kind = WP_DUTY_REST };
    if (fit == WP_DUTY_CANNOT || d->writing || d->sending || d->unreadable ||
        now.mono_us < d->again_us)
        return;
    if (mine && fit == WP_DUTY_YIELDS)
        give_up(d, now, out);
    else if (mine)
        work(d, now, out);
    else if (fit == WP_DUTY_MAY && has_ceased(d, now))
        take_over(d, now, out);
}

void wp_duty_written(WPDuty *d, WPTime now, bool done, uint64_t revision)
{
    d->writing = false;
    if (!done) {
        d->again_us = now.mono_us + in_us(AGAIN_MS);
        return;
    }
    d->missed += d->out_missed;
    wp_duty_record(d, now, revision, d->out, false);
    if (wp_duty_is_mine(d))
        d->until_us = d->out_us + in_us(d->rules.lease_ms) / 2;
}

void wp_duty_sent(WPDuty *d, WPTime now, bool taken)
{
    d->sending = false;
    if (taken)
        g_array_append_val(d->reported, d->sent);
    else
        d->again_us = now.mono_us + in_us(AGAIN_MS);
}
