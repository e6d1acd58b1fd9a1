/* News and records of requests under which endpoints have ended
 * (src/wp_suspects.h). News goes out with the loop's next turn, to all boxes
 * that are linked, and each passes on what it did not know; it may not wait for
 * the next tick, as the caller repeats such a request after a tenth of a
 * second. What two endpoints have ended under is kept in the store, where it
 * outlasts a loss of all boxes: it would end as many endpoints again. */
#include "wp_pb.h"
#include "wp_sync_int.h"

#include <stdio.h>
#include <stdlib.h>

enum {
    WRITE_AFTER_MS = 100,
    DOUBT_AFTER_MS = 1000, /* of what is not kept out yet: most of it ends whole
                              by then */
    OTHERS_AFTER_MS = 1000, /* boxes that have only heard of it, later still */
    SPREAD_MS = 40, /* boxes write at different times, this far apart for
                       each of them, so that most find it written */
    SPREAD_MOST_MS = 1000,
    RECORDS_MOST = 256, /* in the store. XXX: what more requests did is known to
                           processes only */
    COUNT_KEPT =
        WP_SUSPECT_QUARANTINE_CRASHES + 1, /* lives that a record is to tell */
    GAP_MS = 20, /* between messages: what one crash brings goes in the first */
    BURST = 128, /* requests told at once: what runs at some endpoints */
    PER_S = 50,  /* and after that: where a fifth of a thousand answers a second
                    was reset, news went round without an end at a hundred
                    boxes and took 300 MB */
    HEX = 16
};

typedef struct WPSuspectNews {
    WPSync *sync;
    struct event *send;
    GHashTable *due; /* request -> int64_t, when this box writes its record */
    unsigned records;
    int64_t sent_us;
    double allowance; /* requests that may be told, as of then */
    bool writing;
    /* The write under way. */
    char *key;
    GByteArray *value; /* NULL: it removes the record */
} WPSuspectNews;

static void note(const WPSync *s, const char *event, const char *from,
                 const WPSuspect *p)
{
    char hash[HEX + 1], ended[HEX + 1], tries[HEX + 1];
    unsigned n = wp_suspect_crash_count(p);
    snprintf(hash, sizeof(hash), "%016lx", (unsigned long)p->request);
    snprintf(ended, sizeof(ended), "%u", n);
    snprintf(tries, sizeof(tries), "%u", p->probes);
    wp_log(&s->host->log,
           n >= WP_SUSPECT_QUARANTINE_CRASHES ? WP_WARN : WP_INFO, event,
           "request_hash", hash, "ended", ended, "tries", tries, "from", from,
           NULL);
}

typedef struct Message {
    WPSuspect suspects[WP_SUSPECTS_PER_MESSAGE];
    WPSuspectBuffers room[WP_SUSPECTS_PER_MESSAGE];
    Wp__Suspect items[WP_SUSPECTS_PER_MESSAGE], *list[WP_SUSPECTS_PER_MESSAGE];
} Message;

/* How many requests may be told now. */
static size_t allow(WPSuspectNews *d, WPTime now)
{
    double passed_s = (double)(now.mono_us - d->sent_us) / WP_US_PER_S;
    d->allowance = MIN(d->allowance + PER_S * passed_s, (double)BURST);
    d->sent_us = now.mono_us;
    return MIN((size_t)d->allowance, WP_SUSPECTS_PER_MESSAGE);
}

static void send_news(WPSuspectNews *d, WPTime now, size_t most)
{
    WPSync *s = d->sync;
    g_autofree Message *m = g_new(Message, 1);
    Wp__SuspectNews news = WP__SUSPECT_NEWS__INIT;
    news.n_suspects =
        wp_suspects_take_unsent(s->host->direct.suspects, m->suspects, most);
    news.suspects = m->list;
    for (size_t i = 0; i < news.n_suspects; i++) {
        wp_suspect_encode(&m->suspects[i], now, &m->room[i], &m->items[i]);
        m->list[i] = &m->items[i];
    }
    d->allowance -= (double)news.n_suspects;
    if (news.n_suspects)
        wp_peers_send_suspects(s->peers, &news);
}

static void on_send(evutil_socket_t fd, short what, void *arg)
{
    WPSuspectNews *d = arg;
    WPTime now = wp_clock_now(0);
    size_t most = allow(d, now);
    (void)fd;
    (void)what;
    if (most)
        send_news(d, now, most);
    wp_suspect_news_wake(d);
}

void wp_suspect_news_wake(WPSuspectNews *d)
{
    static const struct timeval at_once = { 0, 0 };
    static const struct timeval later = { 0, GAP_MS * WP_US_PER_MS };
    if (!wp_suspects_any_unsent(d->sync->host->direct.suspects) ||
        event_pending(d->send, EV_TIMEOUT, NULL))
        return;
    int64_t gap_us = wp_clock_now(0).mono_us - d->sent_us;
    bool waits = gap_us < (int64_t)GAP_MS * WP_US_PER_MS;
    event_add(d->send, waits ? &later : &at_once);
}

static void hear(WPSync *s, const char *event, const char *from,
                 const Wp__Suspect *m)
{
    WPSuspects *all = s->host->direct.suspects;
    unsigned had = wp_suspects_crash_count(all, m->request);
    if (wp_suspects_merge(all, wp_clock_now(0), m) &&
        wp_suspects_crash_count(all, m->request) != had)
        note(s, event, from, wp_suspects_find(all, m->request));
}

void wp_suspect_news_heard(WPSync *s, const char *from,
                           const Wp__SuspectNews *n)
{
    for (size_t i = 0; i < n->n_suspects; i++)
        hear(s, "suspect_heard", from, n->suspects[i]);
    wp_suspect_news_wake(s->suspect_news);
}

void wp_suspect_news_take(WPSync *s, const char *hex, const WPStr *value)
{
    uint64_t request = strtoull(hex, NULL, HEX);
    if (!value) {
        if (wp_suspects_release(s->host->direct.suspects, wp_clock_now(0),
                                request))
            wp_log(&s->host->log, WP_INFO, "suspect_let_in", "request_hash",
                   hex, NULL);
        return;
    }
    Wp__Suspect *m =
        wp__suspect__unpack(NULL, value->n, (const uint8_t *)value->p);
    if (m && m->request == request) {
        hear(s, "suspect_read", "store", m);
    } else {
        wp_count(&s->host->direct.counters, WP_C_BAD_ENTRIES);
        wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_entry", "key", hex, "why",
               "not a record of a request", NULL);
    }
    wp_pb_free(m);
}

static char *key_of(uint64_t request)
{
    return g_strdup_printf("%s%016lx", WP_KEY_SUSPECT, (unsigned long)request);
}

/* What a record tells; zeros when there is none. */
typedef struct Recorded {
    bool is_there;
    unsigned halves, tries; /* lives, counted as by wp_suspect_crash_count() */
} Recorded;

static Recorded read_record(const WPSync *s, const char *key)
{
    const WPMirrorItem *item = wp_mirror_get(s->mirror, key);
    Recorded r = { .is_there = item && item->value };
    gsize n = 0;
    if (!r.is_there)
        return r;
    const uint8_t *data = g_bytes_get_data(item->value, &n);
    Wp__Suspect *m = wp__suspect__unpack(NULL, n, data);
    for (size_t i = 0; m && i < m->n_cleared; i++)
        if (!m->cleared[i])
            r.halves += i < m->n_weak && m->weak[i] ? 1 : 2;
    r.tries = m ? m->tries : 0;
    wp_pb_free(m);
    return r;
}

/* What the store is to be told of requests. */
typedef struct Look {
    WPSync *sync;
    WPTime now;
    bool found, removes;
    WPSuspect suspect;
} Look;

/* Whether this box's turn to write has come: boxes wait for different times,
   and most then find the record written. */
static bool is_turn(WPSuspectNews *d, WPTime now, const WPSuspect *p)
{
    WPSync *s = d->sync;
    int64_t *due = g_hash_table_lookup(d->due, &p->request);
    if (!due) {
        double spread_ms =
            MIN(SPREAD_MS * wp_peers_known(s->peers), SPREAD_MOST_MS);
        bool out = wp_suspect_crash_count(p) >= WP_SUSPECT_QUARANTINE_CRASHES;
        double ms = (out ? WRITE_AFTER_MS : DOUBT_AFTER_MS) +
                    (p->local_origin ? 0 : OTHERS_AFTER_MS) +
                    spread_ms * g_rand_double(s->host->direct.rand);
        due = g_new(int64_t, 1);
        *due = now.mono_us + (int64_t)(ms * WP_US_PER_MS);
        g_hash_table_insert(d->due, g_memdup2(&p->request, sizeof(p->request)),
                            due);
    }
    return now.mono_us >= *due;
}

static void look_at(void *arg, const WPSuspect *p)
{
    Look *l = arg;
    WPSync *s = l->sync;
    WPSuspectNews *d = s->suspect_news;
    g_autofree char *key = key_of(p->request);
    const Recorded r = read_record(s, key);
    bool lasts = wp_suspect_is_persistent(p, l->now);
    unsigned count = MIN(wp_suspect_crash_count(p), COUNT_KEPT);
    bool lacks = lasts && (r.halves / 2 < count || r.tries < p->probes);
    d->records += r.is_there;
    if (!lacks && (lasts || !r.is_there)) {
        g_hash_table_remove(d->due, &p->request);
        return;
    }
    if (l->found || !is_turn(d, l->now, p))
        return;
    l->found = true;
    l->removes = !lasts;
    l->suspect = *p;
}

static void clear(WPSuspectNews *d)
{
    g_clear_pointer(&d->key, g_free);
    g_clear_pointer(&d->value, g_byte_array_unref);
}

static void on_written(void *arg, const WPKvResult *r)
{
    WPSync *s = arg;
    WPSuspectNews *d = s->suspect_news;
    d->writing = false;
    if (!r->ok)
        wp_count(&s->host->direct.counters, WP_C_STORE_ERRORS);
    if (r->ok && r->succeeded && d->value) {
        WPStr value = wp_strn((const char *)d->value->data, d->value->len);
        wp_news_take(s, d->key, &value, r->revision, false);
    } else if (r->ok && r->succeeded) {
        wp_news_take(s, d->key, NULL, r->revision, false);
    }
    for (size_t i = 0; i < r->n_items; i++)
        wp_news_take(s, r->items[i].key.p, &r->items[i].value,
                     r->items[i].mod_revision, false);
    clear(d);
}

static void write_record(WPSync *s, const Look *l)
{
    WPSuspectNews *d = s->suspect_news;
    WPSuspectBuffers room;
    Wp__Suspect m;
    d->key = key_of(l->suspect.request);
    wp_suspect_encode(&l->suspect, l->now, &room, &m);
    m.has_busy_ms = m.has_busy_box = 0;
    d->value = l->removes ? NULL : wp_pb_pack(&m.base);
    d->writing = true;
    const WPKvCompare compare = { d->key,
                                  wp_mirror_key_revision(s->mirror, d->key) };
    WPKvOp op = { .key = d->key, .remove = l->removes };
    if (d->value)
        op.value = wp_strn((const char *)d->value->data, d->value->len);
    wp_count(&s->host->direct.counters, WP_C_STORE_WRITES);
    note(s, l->removes ? "suspect_forgotten" : "suspect_written", "-",
         &l->suspect);
    g_hash_table_remove(d->due, &l->suspect.request);
    s->kv->ops->txn(s->kv, &compare, 1, &op, 1, on_written, s);
}

void wp_suspect_news_tick(WPSync *s, WPTime now)
{
    WPSuspectNews *d = s->suspect_news;
    Look l = { .sync = s, .now = now };
    wp_suspect_news_wake(d);
    if (d->writing || !s->up || !s->complete)
        return;
    d->records = 0;
    wp_suspects_each(s->host->direct.suspects, look_at, &l);
    if (l.found && (l.removes || d->records < RECORDS_MOST))
        write_record(s, &l);
}

WPSuspectNews *wp_suspect_news_new(WPSync *s)
{
    WPSuspectNews *d = g_new0(WPSuspectNews, 1);
    d->sync = s;
    d->send = evtimer_new(s->host->base, on_send, d);
    d->due = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return d;
}

void wp_suspect_news_free(WPSuspectNews *d)
{
    if (!d)
        return;
    event_free(d->send);
    g_hash_table_unref(d->due);
    clear(d);
    g_free(d);
}
