/* Priority classes, weighted fair sharing and early refusal at one endpoint. */
#include "wp_queue.h"

#include <math.h>

/* Weight of the newest value in the smoothed service time. */
#define SERVICE_TIME_WEIGHT 0.1
#define FIRST_SERVICE_US 100000.0
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 30000

/* Time constant with which a workspace's past use of the endpoint decays: long
   enough that chance bursts of a small workspace do not count as overuse. */
#define USE_DECAY_US (10.0 * WP_US_PER_S)

typedef struct Share {
    char workspace[64];
    double used; /* work begun recently, decaying */
    int64_t decayed_us;
    unsigned waiting;
    double weight;
} Share;

struct WPQueue {
    unsigned slots, max_waiting, running, waiting;
    WPList queue;   /* of WPTicket, in order of arrival */
    GArray *shares; /* of Share; workspaces seen */
    double service_us;
};

WPQueue *wp_queue_new(unsigned slots, unsigned max_waiting)
{
    WPQueue *q = g_new0(WPQueue, 1);
    q->slots = slots;
    q->max_waiting = max_waiting;
    q->service_us = FIRST_SERVICE_US;
    q->shares = g_array_new(FALSE, TRUE, sizeof(Share));
    wp_list_init(&q->queue);
    return q;
}

void wp_queue_free(WPQueue *q)
{
    if (!q)
        return;
    g_array_unref(q->shares);
    g_free(q);
}

void wp_queue_set_slots(WPQueue *q, unsigned slots)
{
    q->slots = slots;
}

/* The share of the ticket's workspace, added if it is missing; valid until the
   next one is added. */
static Share *share_of(WPQueue *q, const WPTicket *t)
{
    Share new_share = { .weight = t->weight };
    for (guint i = 0; i < q->shares->len; i++) {
        Share *s = &g_array_index(q->shares, Share, i);
        if (!strcmp(s->workspace, t->workspace))
            return s;
    }
    g_strlcpy(new_share.workspace, t->workspace, sizeof(new_share.workspace));
    g_array_append_val(q->shares, new_share);
    return &g_array_index(q->shares, Share, q->shares->len - 1);
}

static void decay(Share *s, int64_t now_us)
{
    s->used *= exp(-(double)(now_us - s->decayed_us) / USE_DECAY_US);
    s->decayed_us = now_us;
}

static void decay_all(WPQueue *q, int64_t now_us)
{
    for (guint i = 0; i < q->shares->len; i++)
        decay(&g_array_index(q->shares, Share, i), now_us);
}

/* The recent use of the workspace relative to its weight. */
static double relative_use(const Share *s)
{
    return s->used / s->weight;
}

/* The same with its waiting tickets and `more` new ones. */
static double relative_claim(const Share *s, unsigned more)
{
    return (s->used + s->waiting + more) / s->weight;
}

/* The expected wait of `t` in microseconds: slots are taken first by better
   classes, by its own workspace, and by workspaces that have had less. */
static double expected_wait(WPQueue *q, const WPTicket *t)
{
    const double own = relative_use(share_of(q, t));
    unsigned ahead = 0;
    if (q->running < q->slots && !q->waiting)
        return 0;
    wp_list_each (it, &q->queue) {
        const WPTicket *o = wp_list_item(it, WPTicket, link);
        ahead += o->class_rank < t->class_rank ||
                 (o->class_rank == t->class_rank &&
                  relative_use(share_of(q, o)) <= own);
    }
    return (ahead + 1) * q->service_us / MAX(q->slots, 1);
}

static bool can_finish(const WPQueue *q, const WPTicket *t, int64_t now_us,
                       double wait_us)
{
    double work = q->service_us * t->relative_work;
    return (double)now_us + wait_us + work <= (double)t->deadline_us;
}

static void enqueue(WPQueue *q, WPTicket *t)
{
    wp_list_append(&q->queue, &t->link);
    share_of(q, t)->waiting++;
    q->waiting++;
}

static void dequeue(WPQueue *q, WPTicket *t)
{
    wp_list_remove(&t->link);
    share_of(q, t)->waiting--;
    q->waiting--;
}

static void start(WPQueue *q, int64_t now_us, WPTicket *t)
{
    t->running = true;
    t->started_us = now_us;
    q->running++;
    share_of(q, t)->used += t->relative_work;
}

/* The ticket that is evicted when the queue is full: of the lowest class, of
   the workspace that claims most relative to its weight, the newest. */
static WPTicket *eviction_candidate(WPQueue *q)
{
    WPTicket *candidate = NULL;
    double max_claim = 0;
    wp_list_each (it, &q->queue) {
        WPTicket *t = wp_list_item(it, WPTicket, link);
        double claim = relative_claim(share_of(q, t), 0);
        if (candidate &&
            (t->class_rank < candidate->class_rank ||
             (t->class_rank == candidate->class_rank && claim < max_claim)))
            continue;
        candidate = t;
        max_claim = claim;
    }
    return candidate;
}

static bool is_evicted_for(WPQueue *q, const WPTicket *old, const WPTicket *t)
{
    if (old->class_rank != t->class_rank)
        return old->class_rank > t->class_rank;
    double old_claim = relative_claim(share_of(q, old), 0);
    return old_claim > relative_claim(share_of(q, t), 1);
}

WPAdmit wp_queue_offer(WPQueue *q, int64_t now_us, WPTicket *t, WPCode *code,
                       WPTicket **evicted)
{
    *evicted = NULL;
    wp_list_init(&t->link);
    t->arrived_us = now_us;
    t->running = false;
    if (t->relative_work <= 0)
        t->relative_work = 1;
    share_of(q, t)->weight = t->weight;
    decay_all(q, now_us);
    if (!can_finish(q, t, now_us, expected_wait(q, t))) {
        *code = WP_LATE;
        return WP_ADMIT_REFUSE;
    }
    if (q->running < q->slots && !q->waiting) {
        start(q, now_us, t);
        return WP_ADMIT_RUN;
    }
    if (q->waiting >= q->max_waiting) {
        WPTicket *old = eviction_candidate(q);
        if (!old || !is_evicted_for(q, old, t)) {
            *code = WP_OVERLOADED;
            return WP_ADMIT_REFUSE;
        }
        dequeue(q, old);
        *evicted = old;
    }
    enqueue(q, t);
    return WP_ADMIT_WAIT;
}

void wp_queue_remove(WPQueue *q, int64_t now_us, WPTicket *t, bool completed)
{
    if (!t->running) {
        dequeue(q, t);
        return;
    }
    t->running = false;
    q->running--;
    if (completed) {
        double took = (double)(now_us - t->started_us) / t->relative_work;
        q->service_us += SERVICE_TIME_WEIGHT * (took - q->service_us);
    }
}

/* The best class first; in it the workspace with the least use; of one
   workspace the oldest ticket. */
WPTicket *wp_queue_start_next(WPQueue *q, int64_t now_us)
{
    WPTicket *best = NULL;
    double min_use = 0;
    if (q->running >= q->slots || !q->waiting)
        return NULL;
    decay_all(q, now_us);
    wp_list_each (it, &q->queue) {
        WPTicket *t = wp_list_item(it, WPTicket, link);
        double use = relative_use(share_of(q, t));
        if (best && (t->class_rank > best->class_rank ||
                     (t->class_rank == best->class_rank && use >= min_use)))
            continue;
        best = t;
        min_use = use;
    }
    dequeue(q, best);
    start(q, now_us, best);
    return best;
}

WPTicket *wp_queue_pop_late(WPQueue *q, int64_t now_us)
{
    wp_list_each (it, &q->queue) {
        WPTicket *t = wp_list_item(it, WPTicket, link);
        if (can_finish(q, t, now_us, 0))
            continue;
        dequeue(q, t);
        return t;
    }
    return NULL;
}

unsigned wp_queue_running(const WPQueue *q)
{
    return q->running;
}

unsigned wp_queue_waiting(const WPQueue *q)
{
    return q->waiting;
}

unsigned wp_queue_slots(const WPQueue *q)
{
    return q->slots;
}

double wp_queue_service_us(const WPQueue *q)
{
    return q->service_us;
}

uint32_t wp_queue_retry_ms(const WPQueue *q, unsigned rank)
{
    unsigned ahead = 1;
    wp_list_each (it, &q->queue) {
        const WPTicket *t = wp_list_item(it, WPTicket, link);
        ahead += t->class_rank <= rank;
    }
    double ms = ahead * q->service_us / MAX(q->slots, 1) / WP_US_PER_MS;
    return (uint32_t)CLAMP(ms, RETRY_MIN_MS, RETRY_MAX_MS);
}
