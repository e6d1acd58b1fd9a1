/* Classes, weighted fairness and early refusal at one endpoint. */
#include "wp_queue.h"

#include <math.h>

#define SMOOTH 0.1
#define FIRST_SERVICE_US 100000.0
#define RETRY_LEAST_MS 50
#define RETRY_MOST_MS 30000

/* How long use of the endpoint is held against a workspace: long enough that
   a small one's chance clusters are not taken for greed. */
#define MEMORY_US (10.0 * WP_US_PER_S)

typedef struct Share {
    char workspace[64];
    double used; /* work begun of late, fading */
    int64_t faded_us;
    unsigned waiting;
    double weight;
} Share;

struct WPQueue {
    unsigned slots, limit, running, waiting;
    WPList queue;   /* of WPTicket, in order of arrival */
    GArray *shares; /* of Share; workspaces seen */
    double service_us;
};

WPQueue *wp_queue_new(unsigned slots, unsigned limit)
{
    WPQueue *q = g_new0(WPQueue, 1);
    q->slots = slots;
    q->limit = limit;
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

static Share *share_of(WPQueue *q, const WPTicket *t)
{
    Share fresh = { .weight = t->weight };
    for (guint i = 0; i < q->shares->len; i++) {
        Share *s = &g_array_index(q->shares, Share, i);
        if (!strcmp(s->workspace, t->workspace))
            return s;
    }
    g_strlcpy(fresh.workspace, t->workspace, sizeof(fresh.workspace));
    g_array_append_val(q->shares, fresh);
    return &g_array_index(q->shares, Share, q->shares->len - 1);
}

static void fade(Share *s, int64_t now_us)
{
    s->used *= exp(-(double)(now_us - s->faded_us) / MEMORY_US);
    s->faded_us = now_us;
}

static void fade_all(WPQueue *q, int64_t now_us)
{
    for (guint i = 0; i < q->shares->len; i++)
        fade(&g_array_index(q->shares, Share, i), now_us);
}

/* What the workspace has had of late, by its weight. */
static double had(const Share *s)
{
    return s->used / s->weight;
}

/* The same with what it waits for. */
static double claimed(const Share *s, unsigned more)
{
    return (s->used + s->waiting + more) / s->weight;
}

/* Places taken before `t`: by better classes, by its own workspace, and by
   those that have had less. */
static double expected_wait(WPQueue *q, const WPTicket *t)
{
    const double own = had(share_of(q, t));
    unsigned ahead = 0;
    if (q->running < q->slots && !q->waiting)
        return 0;
    wp_list_each (it, &q->queue) {
        const WPTicket *o = wp_list_item(it, WPTicket, link);
        ahead += o->rank < t->rank ||
                 (o->rank == t->rank && had(share_of(q, o)) <= own);
    }
    return (ahead + 1) * q->service_us / MAX(q->slots, 1);
}

static bool can_finish(const WPQueue *q, const WPTicket *t, int64_t now_us,
                       double wait_us)
{
    double work = q->service_us * t->size;
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
    share_of(q, t)->used += t->size;
}

/* The ticket that gives way when the queue is full: of the worst class, of
   the workspace that claims most for its weight, the newest. */
static WPTicket *worst(WPQueue *q)
{
    WPTicket *worst = NULL;
    double most = 0;
    wp_list_each (it, &q->queue) {
        WPTicket *t = wp_list_item(it, WPTicket, link);
        double claim = claimed(share_of(q, t), 0);
        if (worst &&
            (t->rank < worst->rank || (t->rank == worst->rank && claim < most)))
            continue;
        worst = t;
        most = claim;
    }
    return worst;
}

static bool gives_way(WPQueue *q, const WPTicket *old, const WPTicket *t)
{
    if (old->rank != t->rank)
        return old->rank > t->rank;
    double old_claim = claimed(share_of(q, old), 0);
    return old_claim > claimed(share_of(q, t), 1);
}

WPAdmit wp_queue_offer(WPQueue *q, int64_t now_us, WPTicket *t, WPCode *code,
                       WPTicket **evicted)
{
    *evicted = NULL;
    wp_list_init(&t->link);
    t->offered_us = now_us;
    t->running = false;
    if (t->size <= 0)
        t->size = 1;
    share_of(q, t)->weight = t->weight;
    fade_all(q, now_us);
    if (!can_finish(q, t, now_us, expected_wait(q, t))) {
        *code = WP_LATE;
        return WP_ADMIT_REFUSE;
    }
    if (q->running < q->slots && !q->waiting) {
        start(q, now_us, t);
        return WP_ADMIT_RUN;
    }
    if (q->waiting >= q->limit) {
        WPTicket *old = worst(q);
        if (!old || !gives_way(q, old, t)) {
            *code = WP_OVERLOADED;
            return WP_ADMIT_REFUSE;
        }
        dequeue(q, old);
        *evicted = old;
    }
    enqueue(q, t);
    return WP_ADMIT_WAIT;
}

void wp_queue_leave(WPQueue *q, int64_t now_us, WPTicket *t, bool completed)
{
    if (!t->running) {
        dequeue(q, t);
        return;
    }
    t->running = false;
    q->running--;
    if (completed) {
        double took = (double)(now_us - t->started_us) / t->size;
        q->service_us += SMOOTH * (took - q->service_us);
    }
}

/* The best class first; in it the workspace that has had least; of one
   workspace the oldest. */
WPTicket *wp_queue_next(WPQueue *q, int64_t now_us)
{
    WPTicket *best = NULL;
    double least = 0;
    if (q->running >= q->slots || !q->waiting)
        return NULL;
    fade_all(q, now_us);
    wp_list_each (it, &q->queue) {
        WPTicket *t = wp_list_item(it, WPTicket, link);
        double level = had(share_of(q, t));
        if (best &&
            (t->rank > best->rank || (t->rank == best->rank && level >= least)))
            continue;
        best = t;
        least = level;
    }
    dequeue(q, best);
    start(q, now_us, best);
    return best;
}

WPTicket *wp_queue_hopeless(WPQueue *q, int64_t now_us)
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
        ahead += t->rank <= rank;
    }
    double ms = ahead * q->service_us / MAX(q->slots, 1) / WP_US_PER_MS;
    return (uint32_t)CLAMP(ms, RETRY_LEAST_MS, RETRY_MOST_MS);
}
