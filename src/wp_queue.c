/* Classes, weighted fair queueing and early refusal at one endpoint. */
#include "wp_queue.h"

#define SMOOTH 0.1
#define FIRST_SERVICE_US 100000.0
#define RETRY_LEAST_MS 50
#define RETRY_MOST_MS 30000

typedef struct Share {
    char workspace[64];
    double finish; /* virtual finish time of its newest ticket */
    unsigned waiting, running;
    double weight;
} Share;

struct WPQueue {
    unsigned slots, limit, running, waiting;
    WPList queue;       /* of WPTicket, in order of arrival */
    GArray *shares;     /* of Share; workspaces seen */
    double virtual_now; /* tag of the newest started ticket */
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

/* Served earlier: a better class, then the lower tag, then arrival. */
static bool before(const WPTicket *a, const WPTicket *b)
{
    return a->rank != b->rank ? a->rank < b->rank : a->tag < b->tag;
}

static double expected_wait(const WPQueue *q, const WPTicket *t)
{
    unsigned ahead = 0;
    wp_list_each (it, &q->queue) {
        const WPTicket *o = wp_list_item(it, WPTicket, link);
        ahead += before(o, t);
    }
    if (q->running < q->slots && !ahead)
        return 0;
    return (ahead + 1) * q->service_us / MAX(q->slots, 1);
}

static bool can_finish(const WPQueue *q, const WPTicket *t, int64_t now_us,
                       double wait_us)
{
    double work = q->service_us * t->size;
    return (double)now_us + wait_us + work <= (double)t->deadline_us;
}

static void set_tag(WPQueue *q, WPTicket *t)
{
    Share *s = share_of(q, t);
    s->weight = t->weight;
    s->finish = MAX(s->finish, q->virtual_now) + t->size / t->weight;
    t->tag = s->finish;
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
    share_of(q, t)->running++;
    q->virtual_now = MAX(q->virtual_now, t->tag - t->size / t->weight);
}

/* The ticket that gives way when the queue is full: of the worst class, of
   the workspace that holds most for its weight, the newest. */
static WPTicket *worst(WPQueue *q)
{
    WPTicket *worst = NULL;
    double worst_hold = 0;
    wp_list_each (it, &q->queue) {
        WPTicket *t = wp_list_item(it, WPTicket, link);
        const Share *s = share_of(q, t);
        double hold = (s->waiting + s->running) / s->weight;
        if (worst && (t->rank < worst->rank ||
                      (t->rank == worst->rank && hold < worst_hold)))
            continue;
        worst = t;
        worst_hold = hold;
    }
    return worst;
}

static bool gives_way(WPQueue *q, const WPTicket *old, const WPTicket *t)
{
    const Share *a = share_of(q, old);
    double old_hold = (a->waiting + a->running) / a->weight;
    const Share *b = share_of(q, t);
    double new_hold = (b->waiting + b->running + 1) / t->weight;
    return old->rank != t->rank ? old->rank > t->rank : old_hold > new_hold;
}

/* Puts a refused ticket's claim on virtual time back. */
static void give_back(WPQueue *q, const WPTicket *t)
{
    share_of(q, t)->finish -= t->size / t->weight;
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
    set_tag(q, t);
    if (!can_finish(q, t, now_us, expected_wait(q, t))) {
        give_back(q, t);
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
            give_back(q, t);
            *code = WP_OVERLOADED;
            return WP_ADMIT_REFUSE;
        }
        dequeue(q, old);
        give_back(q, old);
        *evicted = old;
    }
    enqueue(q, t);
    return WP_ADMIT_WAIT;
}

void wp_queue_leave(WPQueue *q, int64_t now_us, WPTicket *t, bool completed)
{
    if (!t->running) {
        dequeue(q, t);
        give_back(q, t);
        return;
    }
    t->running = false;
    q->running--;
    share_of(q, t)->running--;
    if (completed) {
        double took = (double)(now_us - t->started_us) / t->size;
        q->service_us += SMOOTH * (took - q->service_us);
    }
}

WPTicket *wp_queue_next(WPQueue *q, int64_t now_us)
{
    WPTicket *best = NULL;
    if (q->running >= q->slots)
        return NULL;
    wp_list_each (it, &q->queue) {
        WPTicket *t = wp_list_item(it, WPTicket, link);
        if (!best || before(t, best))
            best = t;
    }
    if (!best)
        return NULL;
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
        give_back(q, t);
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
