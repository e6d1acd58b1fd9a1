/* Exchange of suspect requests, those during which endpoints have crashed
 * (src/wp_suspects.h), and their records in the store. Updates go out in the
 * next iteration of the event loop to all linked boxes, and each box
 * forwards what was new to it; they cannot wait for the next tick, as the
 * caller retries such a request after a tenth of a second. A request during
 * which two endpoints have crashed is recorded in the store, so that it
 * stays known if all boxes are lost: it would crash as many endpoints again. */
#include "wp_pb.h"
#include "wp_sync_int.h"

#include <stdio.h>
#include <stdlib.h>

enum {
    WRITE_AFTER_MS = 100,
    /* for a request that is not quarantined: most of these have completed by
       then */
    UNQUARANTINED_AFTER_MS = 1000,
    /* added for boxes that have only received the update */
    RECEIVED_AFTER_MS = 1000,
    /* boxes write at random times within this much for each known box, so
       that most of them find the record already written */
    SPREAD_MS = 40,
    SPREAD_MAX_MS = 1000,
    /* in the store. XXX: crashes of further requests are known to processes
       only */
    RECORDS_MAX = 256,
    /* number of crashes up to which a record in the store is updated */
    CRASHES_MAX = WP_SUSPECT_QUARANTINE_CRASHES + 1,
    /* between messages: what one crash causes goes into the first */
    MIN_INTERVAL_MS = 20,
    BURST = 128, /* requests sent at once: what runs at some endpoints */
    /* rate after the burst: where a fifth of a thousand answers a second was
       reset, updates circulated endlessly among a hundred boxes and took 300
       MB */
    PER_S = 50,
    HEX = 16
};

typedef struct WPSuspectUpdates {
    WPSync *sync;
    struct event *send;
    GHashTable *due; /* request -> int64_t, when this box writes its record */
    unsigned records;
    int64_t sent_us;
    double allowance; /* requests that may be sent at `sent_us` */
    bool writing;
    /* The write in progress. */
    char *key;
    GByteArray *value; /* NULL: the write removes the record */
} WPSuspectUpdates;

/* The log field that has the suspect's key. */
static const char *key_name(uint64_t key)
{
    return wp_suspect_key_is_part(key) ? "part" : "request_hash";
}

static void log_suspect(const WPSync *s, const char *event, const char *from,
                        const WPSuspect *p)
{
    char hash[HEX + 1], ended[HEX + 1], tries[HEX + 1];
    unsigned n = wp_suspect_crash_count(p);
    snprintf(hash, sizeof(hash), "%016lx", (unsigned long)p->request);
    snprintf(ended, sizeof(ended), "%u", n);
    snprintf(tries, sizeof(tries), "%u", p->probes);
    wp_log(&s->host->log,
           n >= WP_SUSPECT_QUARANTINE_CRASHES ? WP_WARN : WP_INFO, event,
           key_name(p->request), hash, "ended", ended, "tries", tries, "from",
           from, NULL);
}

typedef struct Message {
    WPSuspect suspects[WP_SUSPECTS_PER_MESSAGE];
    WPSuspectBuffers buffers[WP_SUSPECTS_PER_MESSAGE];
    Wp__Suspect items[WP_SUSPECTS_PER_MESSAGE], *list[WP_SUSPECTS_PER_MESSAGE];
} Message;

/* Refills the token bucket. Returns how many requests may be sent now. */
static size_t refill_allowance(WPSuspectUpdates *d, WPTime now)
{
    double passed_s = (double)(now.mono_us - d->sent_us) / WP_US_PER_S;
    d->allowance = MIN(d->allowance + PER_S * passed_s, (double)BURST);
    d->sent_us = now.mono_us;
    return MIN((size_t)d->allowance, WP_SUSPECTS_PER_MESSAGE);
}

static void send_updates(WPSuspectUpdates *d, WPTime now, size_t max)
{
    WPSync *s = d->sync;
    g_autofree Message *m = g_new(Message, 1);
    Wp__SuspectNews wire = WP__SUSPECT_NEWS__INIT;
    wire.n_suspects =
        wp_suspects_take_unsent(s->host->direct.suspects, m->suspects, max);
    wire.suspects = m->list;
    for (size_t i = 0; i < wire.n_suspects; i++) {
        wp_suspect_encode(&m->suspects[i], now, &m->buffers[i], &m->items[i]);
        m->list[i] = &m->items[i];
    }
    d->allowance -= (double)wire.n_suspects;
    if (wire.n_suspects)
        wp_peers_send_suspects(s->peers, &wire);
}

static void on_send(evutil_socket_t fd, short what, void *arg)
{
    WPSuspectUpdates *d = arg;
    WPTime now = wp_clock_now(0);
    size_t max = refill_allowance(d, now);
    (void)fd;
    (void)what;
    if (max)
        send_updates(d, now, max);
    wp_suspect_updates_schedule(d);
}

/* Logs what was found out about answers that ended with their connections. */
static void log_verdicts(WPSync *s)
{
    WPSuspectVerdict v;
    while (wp_suspects_take_verdict(s->host->direct.suspects, &v)) {
        const WPReplica *e =
            wp_fleet_by_hash(s->host->direct.fleet, v.incarnation);
        char hash[HEX + 1], ms[2 * HEX];
        snprintf(hash, sizeof(hash), "%016lx", (unsigned long)v.request);
        snprintf(ms, sizeof(ms), "%ld", (long)(v.waited_us / WP_US_PER_MS));
        wp_log(&s->host->log, WP_INFO, "answer_judged", "request_hash", hash,
               "endpoint", e ? e->id : "-", "result",
               v.crashed ? "crashed" : "complete", "after_ms", ms, NULL);
    }
}

void wp_suspect_updates_schedule(WPSuspectUpdates *d)
{
    static const struct timeval at_once = { 0, 0 };
    static const struct timeval later = { 0, MIN_INTERVAL_MS * WP_US_PER_MS };
    log_verdicts(d->sync);
    if (!wp_suspects_any_unsent(d->sync->host->direct.suspects) ||
        event_pending(d->send, EV_TIMEOUT, NULL))
        return;
    int64_t gap_us = wp_clock_now(0).mono_us - d->sent_us;
    bool waits = gap_us < (int64_t)MIN_INTERVAL_MS * WP_US_PER_MS;
    event_add(d->send, waits ? &later : &at_once);
}

static void merge(WPSync *s, const char *event, const char *from,
                  const Wp__Suspect *m)
{
    WPSuspects *all = s->host->direct.suspects;
    unsigned previous = wp_suspects_crash_count(all, m->request);
    if (wp_suspects_merge(all, wp_clock_now(0), m) &&
        wp_suspects_crash_count(all, m->request) != previous)
        log_suspect(s, event, from, wp_suspects_find(all, m->request));
}

void wp_suspect_updates_merge(WPSync *s, const char *from,
                              const Wp__SuspectNews *n)
{
    for (size_t i = 0; i < n->n_suspects; i++)
        merge(s, "suspect_heard", from, n->suspects[i]);
    wp_suspect_updates_schedule(s->suspect_updates);
}

void wp_suspect_record_apply(WPSync *s, const char *hex, const WPStr *value)
{
    uint64_t request = strtoull(hex, NULL, HEX);
    if (!value) {
        if (wp_suspects_release(s->host->direct.suspects, wp_clock_now(0),
                                request))
            wp_log(&s->host->log, WP_INFO, "suspect_let_in", key_name(request),
                   hex, NULL);
        return;
    }
    Wp__Suspect *m =
        wp__suspect__unpack(NULL, value->n, (const uint8_t *)value->p);
    if (m && m->request == request) {
        merge(s, "suspect_read", "store", m);
    } else {
        wp_count(&s->host->direct.counters, WP_C_BAD_ENTRIES);
        wp_log(&s->host->log, WP_ERROR_LEVEL, "bad_entry", "key", hex, "why",
               "not a valid suspect record", NULL);
    }
    wp_pb_free(m);
}

static char *key_of(uint64_t request)
{
    return g_strdup_printf("%s%016lx", WP_KEY_SUSPECT, (unsigned long)request);
}

/* Contents of a record; zeros if there is none. */
typedef struct Recorded {
    bool is_there;
    /* crashes in halves, as weak ones count half in
       wp_suspect_crash_count() */
    unsigned half_crashes;
    unsigned tries; /* probes */
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
            r.half_crashes += i < m->n_weak && m->weak[i] ? 1 : 2;
    r.tries = m ? m->tries : 0;
    wp_pb_free(m);
    return r;
}

/* A search for a request whose record in the store is to be written or
   removed. */
typedef struct Scan {
    WPSync *sync;
    WPTime now;
    bool found, removes;
    WPSuspect suspect;
} Scan;

/* Returns whether this box is to write the record now. Boxes wait for
   different times, and most of them then find the record already written.
   `stored`: the store's copy. */
static bool is_turn(WPSuspectUpdates *d, WPTime now, const WPSuspect *p,
                    const Recorded *stored)
{
    WPSync *s = d->sync;
    int64_t *due = g_hash_table_lookup(d->due, &p->request);
    if (!due) {
        double spread_ms =
            MIN(SPREAD_MS * wp_peers_known_count(s->peers), SPREAD_MAX_MS);
        unsigned most =
            MAX(wp_suspect_crash_count(p), stored->half_crashes / 2);
        bool out = most >= WP_SUSPECT_QUARANTINE_CRASHES;
        double ms = (out ? WRITE_AFTER_MS : UNQUARANTINED_AFTER_MS) +
                    (p->local_origin ? 0 : RECEIVED_AFTER_MS) +
                    spread_ms * g_rand_double(s->host->direct.rand);
        due = g_new(int64_t, 1);
        *due = now.mono_us + (int64_t)(ms * WP_US_PER_MS);
        g_hash_table_insert(d->due, g_memdup2(&p->request, sizeof(p->request)),
                            due);
    }
    return now.mono_us >= *due;
}

/* Selects the record for `l` if the store's copy lacks crashes or probes, or is
   to be removed, and this box is due to write. The first such record is taken.
 */
static void scan_suspect(void *arg, const WPSuspect *p)
{
    Scan *l = arg;
    WPSync *s = l->sync;
    WPSuspectUpdates *d = s->suspect_updates;
    g_autofree char *key = key_of(p->request);
    const Recorded r = read_record(s, key);
    bool persistent =
        wp_suspects_is_persistent(s->host->direct.suspects, p, l->now);
    unsigned count = MIN(wp_suspect_crash_count(p), CRASHES_MAX);
    bool outdated =
        persistent && (r.half_crashes / 2 < count || r.tries < p->probes);
    d->records += r.is_there;
    if (!outdated && (persistent || !r.is_there)) {
        g_hash_table_remove(d->due, &p->request);
        return;
    }
    if (l->found || !is_turn(d, l->now, p, &r))
        return;
    l->found = true;
    l->removes = !persistent;
    l->suspect = *p;
}

static void clear(WPSuspectUpdates *d)
{
    g_clear_pointer(&d->key, g_free);
    g_clear_pointer(&d->value, g_byte_array_unref);
}

/* The write or removal of a record has ended: applies it, or, after a conflict,
   the present value of its key. */
static void on_written(void *arg, const WPKvResult *r)
{
    WPSync *s = arg;
    WPSuspectUpdates *d = s->suspect_updates;
    d->writing = false;
    if (!r->ok)
        wp_count(&s->host->direct.counters, WP_C_STORE_ERRORS);
    if (r->ok && r->succeeded && d->value) {
        WPStr value = wp_strn((const char *)d->value->data, d->value->len);
        wp_store_apply(s, d->key, &value, r->revision, false);
    } else if (r->ok && r->succeeded) {
        wp_store_apply(s, d->key, NULL, r->revision, false);
    }
    for (size_t i = 0; i < r->n_items; i++)
        wp_store_apply(s, r->items[i].key.p, &r->items[i].value,
                       r->items[i].mod_revision, false);
    clear(d);
}

/* Writes the selected record to the store, or removes it, on the condition that
   its key has the known revision. The copy in flight is left out. */
static void write_record(WPSync *s, const Scan *l)
{
    WPSuspectUpdates *d = s->suspect_updates;
    WPSuspectBuffers buffers;
    Wp__Suspect m;
    d->key = key_of(l->suspect.request);
    wp_suspect_encode(&l->suspect, l->now, &buffers, &m);
    m.has_busy_ms = m.has_busy_box = m.has_answered_ms = 0;
    d->value = l->removes ? NULL : wp_pb_pack(&m.base);
    d->writing = true;
    const WPKvCompare compare = { d->key,
                                  wp_mirror_key_revision(s->mirror, d->key) };
    WPKvOp op = { .key = d->key, .remove = l->removes };
    if (d->value)
        op.value = wp_strn((const char *)d->value->data, d->value->len);
    wp_count(&s->host->direct.counters, WP_C_STORE_WRITES);
    log_suspect(s, l->removes ? "suspect_forgotten" : "suspect_written", "-",
                &l->suspect);
    g_hash_table_remove(d->due, &l->suspect.request);
    s->kv->ops->txn(s->kv, &compare, 1, &op, 1, on_written, s);
}

void wp_suspect_updates_tick(WPSync *s, WPTime now)
{
    WPSuspectUpdates *d = s->suspect_updates;
    Scan l = { .sync = s, .now = now };
    wp_suspect_updates_schedule(d);
    if (d->writing || !s->store_up || !wp_sync_may_write(s))
        return;
    d->records = 0;
    wp_suspects_each(s->host->direct.suspects, scan_suspect, &l);
    if (l.found && (l.removes || d->records < RECORDS_MAX))
        write_record(s, &l);
}

WPSuspectUpdates *wp_suspect_updates_new(WPSync *s)
{
    WPSuspectUpdates *d = g_new0(WPSuspectUpdates, 1);
    d->sync = s;
    d->send = evtimer_new(s->host->base, on_send, d);
    d->due = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return d;
}

void wp_suspect_updates_free(WPSuspectUpdates *d)
{
    if (!d)
        return;
    event_free(d->send);
    g_hash_table_unref(d->due);
    clear(d);
    g_free(d);
}
