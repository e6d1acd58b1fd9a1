/* The state of an entry in direct mode. */
#include "wp_direct_int.h"

/* A longer time without a tick is a pause of the process. */
#define PAUSE_MIN_US (200 * WP_US_PER_MS)

/* How often expired sessions and suspects are removed. */
#define EXPIRE_INTERVAL_US (1000 * WP_US_PER_MS)

/* A session is bound for this many times the required time, as the platform
   measures that by another clock. */
#define SESSION_MARGIN 1.3

/* A session that another box reports again within this time is not sent on
   again. */
#define RESEND_US (1500 * WP_US_PER_MS)

/* Up to this many boxes apply the full share in the first half of a shift. */
#define FEW_BOXES 4

/* The bits of a session's key that are of its service. */
#define SERVICE_PART_MASK 0xffffULL

/* Sessions are remembered for this many times session_idle_ms. */
#define SESSION_KEEP_TIMES 2

/* Times to first byte that boxes tell each other for each model: several times
   what a prediction needs. Later ones change little. */
enum { SHARED_TTFB_SAMPLES = 200 };

/* Takes a time to first byte of another box into the model that is kept under
   the same name here, if there is one. */
static void merge_ttfb(void *arg, const WPTtfbSample *t)
{
    WPDirect *d = arg;
    GHashTableIter it;
    gpointer name, model;
    g_hash_table_iter_init(&it, d->ttfb_models);
    while (g_hash_table_iter_next(&it, &name, &model))
        if (wp_hash(wp_str(name), 0) == t->model)
            wp_ttfb_add(model, &t->inputs, (int64_t)t->usual_us);
}

void wp_direct_share_ttfb(WPDirect *d, const WPTtfbModel *model,
                          const WPTtfbInputs *inputs, int64_t took_us)
{
    GHashTableIter it;
    gpointer name, other;
    if (model->samples > SHARED_TTFB_SAMPLES)
        return;
    g_hash_table_iter_init(&it, d->ttfb_models);
    while (g_hash_table_iter_next(&it, &name, &other)) {
        if (other != model)
            continue;
        double slowdown = inputs->slowdown > 0 ? inputs->slowdown : 1;
        const WPTtfbSample t = { .model = wp_hash(wp_str(name), 0),
                                 .inputs = *inputs,
                                 .usual_us = (double)took_us / slowdown };
        wp_fleet_share_ttfb(d->fleet, &t);
    }
}

void wp_direct_init(WPDirect *d, const WPDirectRules *rules,
                    const Wp__Chart *chart, uint32_t seed)
{
    memset(d, 0, sizeof(*d));
    d->rules = *rules;
    d->boxes = 1;
    wp_value_rate_init(&d->value_rate);
    wp_stall_init(&d->stalls);
    d->fleet = wp_fleet_new(seed);
    wp_fleet_set_rules(d->fleet, &rules->fleet);
    wp_fleet_set_ttfb_listener(d->fleet, merge_ttfb, d);
    d->shifts = wp_shifts_new(chart);
    wp_shifts_set_exposure(d->shifts, &rules->exposure);
    d->suspects = wp_suspects_new(rules->box);
    d->retry_budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->sessions =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    d->ttfb_models =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->quartiles =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->quality = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    d->uneven_services = g_hash_table_new(g_direct_hash, g_direct_equal);
    d->irregular_routes = g_hash_table_new(g_direct_hash, g_direct_equal);
    d->rand = g_rand_new_with_seed(seed);
}

void wp_direct_end(WPDirect *d)
{
    wp_routes_unref(d->routes);
    wp_fleet_free(d->fleet);
    wp_shifts_free(d->shifts);
    wp_suspects_free(d->suspects);
    g_hash_table_unref(d->retry_budgets);
    g_hash_table_unref(d->sessions);
    g_hash_table_unref(d->ttfb_models);
    g_hash_table_unref(d->quality);
    g_hash_table_unref(d->quartiles);
    g_hash_table_unref(d->uneven_services);
    g_hash_table_unref(d->irregular_routes);
    g_rand_free(d->rand);
}

bool wp_direct_is_contended(const WPDirect *d, const char *service)
{
    if (d->rules.contention != WP_CONTENTION_AUTO)
        return d->rules.contention == WP_CONTENTION_ON;
    return g_hash_table_contains(d->uneven_services, g_intern_string(service));
}

bool wp_direct_has_irregular_ids(const WPDirect *d, const char *route)
{
    return g_hash_table_contains(d->irregular_routes, g_intern_string(route));
}

void wp_direct_note_irregular_ids(WPDirect *d, const char *route)
{
    g_hash_table_add(d->irregular_routes, (gpointer)g_intern_string(route));
}

bool wp_direct_note_uneven(WPDirect *d, const char *service)
{
    bool added = g_hash_table_add(d->uneven_services,
                                  (gpointer)g_intern_string(service));
    return added && d->rules.contention == WP_CONTENTION_AUTO;
}

void wp_direct_note_first_start(WPDirect *d)
{
    d->retries_since_us -=
        (int64_t)d->rules.retry_budget.window_ms * WP_US_PER_MS;
}

bool wp_direct_set_routes(WPDirect *d, WPRoutes *t)
{
    if (d->routes && d->routes->version >= t->version) {
        wp_routes_unref(t);
        return false;
    }
    wp_routes_unref(d->routes);
    d->routes = t;
    for (guint i = 0; i < t->services->len; i++) {
        const WPService *s = g_ptr_array_index(t->services, i);
        wp_fleet_set_cold_rule(d->fleet, s->name, s->cold_per_s,
                               s->cold_start_s);
    }
    wp_count(&d->counters, WP_C_CONFIG_CHANGES);
    return true;
}

typedef struct Expiry {
    WPTime now;
    int64_t oldest_us;
} Expiry;

static gboolean is_expired(gpointer key, gpointer value, gpointer arg)
{
    const WPSessionRecord *record = value;
    const Expiry *expiry = arg;
    (void)key;
    return record->last_used_us < expiry->oldest_us;
}

/* Notes in all retry budgets that the process has stood still since the last
   tick, if it has. */
static void note_pause(WPDirect *d, WPTime now)
{
    int64_t pause_us = d->tick_us ? now.mono_us - d->tick_us : 0;
    GHashTableIter it;
    gpointer b;
    d->tick_us = now.mono_us;
    if (pause_us < PAUSE_MIN_US)
        return;
    g_hash_table_iter_init(&it, d->retry_budgets);
    while (g_hash_table_iter_next(&it, NULL, &b))
        wp_retry_budget_note_pause(b, &d->rules.retry_budget, now, pause_us);
}

void wp_direct_tick(WPDirect *d, WPTime now)
{
    int64_t keep_us =
        (int64_t)d->rules.session_idle_ms * WP_US_PER_MS * SESSION_KEEP_TIMES;
    Expiry expiry = { now, now.mono_us - keep_us };
    note_pause(d, now);
    wp_fleet_tick(d->fleet, now);
    if (now.mono_us - d->expired_us < EXPIRE_INTERVAL_US)
        return;
    d->expired_us = now.mono_us;
    wp_suspects_expire(d->suspects, now);
    g_hash_table_foreach_remove(d->sessions, is_expired, &expiry);
}

WPRetryBudget *wp_direct_retry_budget(WPDirect *d, const char *service)
{
    WPRetryBudget *b = g_hash_table_lookup(d->retry_budgets, service);
    if (!b) {
        b = g_new(WPRetryBudget, 1);
        wp_retry_budget_init(b, d->retries_since_us);
        g_hash_table_insert(d->retry_budgets, g_strdup(service), b);
    }
    return b;
}

/* The value in a table by name and model; created, with zeroes, if missing. */
static void *get_or_create(GHashTable *t, const char *name, WPStr model,
                           size_t size)
{
    g_autofree char *key =
        g_strdup_printf("%s %.*s", name, (int)model.n, model.p);
    void *v = g_hash_table_lookup(t, key);
    if (!v) {
        v = g_malloc0(size);
        g_hash_table_insert(t, g_steal_pointer(&key), v);
    }
    return v;
}

WPTtfbModel *wp_direct_ttfb_model(WPDirect *d, const char *what, WPStr model)
{
    return get_or_create(d->ttfb_models, what, model, sizeof(WPTtfbModel));
}

WPQuartiles *wp_direct_quartiles(WPDirect *d, const char *what, WPStr model)
{
    return get_or_create(d->quartiles, what, model, sizeof(WPQuartiles));
}

WPGoodShare *wp_direct_quality(WPDirect *d, const char *route)
{
    WPGoodShare *q = g_hash_table_lookup(d->quality, route);
    if (!q) {
        q = g_new0(WPGoodShare, 1);
        g_hash_table_insert(d->quality, g_strdup(route), q);
    }
    return q;
}

static int64_t session_binding_us(const WPDirect *d)
{
    return (int64_t)(d->rules.session_idle_ms * SESSION_MARGIN) * WP_US_PER_MS;
}

const char *wp_direct_session_version(WPDirect *d, WPTime now, uint64_t session)
{
    const WPSessionRecord *record = g_hash_table_lookup(d->sessions, &session);
    if (!record || now.mono_us - record->last_used_us > session_binding_us(d))
        return NULL;
    return record->version;
}

uint32_t wp_direct_session_remaining_ms(WPDirect *d, WPTime now,
                                        uint64_t session)
{
    const WPSessionRecord *record = g_hash_table_lookup(d->sessions, &session);
    int64_t left_us =
        record ? record->last_used_us + session_binding_us(d) - now.mono_us : 0;
    return (uint32_t)(MAX(left_us, 0) / WP_US_PER_MS);
}

void wp_direct_record_session(WPDirect *d, WPTime now, uint64_t session,
                              const char *version)
{
    WPSessionRecord *record = g_hash_table_lookup(d->sessions, &session);
    if (!record) {
        record = g_new0(WPSessionRecord, 1);
        record->session = session;
        g_hash_table_insert(d->sessions, &record->session, record);
    }
    record->version = g_intern_string(version);
    record->last_used_us = now.mono_us;
    record->served_here = true;
    record->sent = record->sent_retired = false;
}

/* The part of a session's key that is of the service. */
static uint64_t service_part(const char *service)
{
    return wp_hash(wp_str(service), 0) & SERVICE_PART_MASK;
}

uint64_t wp_direct_session_key(const char *service, WPStr session)
{
    uint64_t id = wp_hash(session, wp_hash(wp_str(service), 0));
    uint64_t key = (id & ~SERVICE_PART_MASK) | service_part(service);
    return key ? key : 1;
}

typedef struct ShiftSearch {
    uint64_t service_part;
    WPShift *found;
} ShiftSearch;

static void match_service(void *arg, WPShift *sh)
{
    ShiftSearch *search = arg;
    if (service_part(sh->service) == search->service_part)
        search->found = sh;
}

/* The shift of the session's service, or NULL.
   XXX: services whose names have the same part of the hash, one pair in 65,536,
   are taken for each other. */
static WPShift *shift_of_session(const WPDirect *d, uint64_t session)
{
    ShiftSearch search = { session & SERVICE_PART_MASK, NULL };
    wp_shifts_each(d->shifts, match_service, &search);
    return search.found;
}

static bool is_running(const WPShift *sh)
{
    return sh && sh->state == WP_SHIFT_RUNNING;
}

double wp_direct_session_position(uint64_t session)
{
    return wp_hash_unit(wp_strn((const char *)&session, sizeof(session)), 1);
}

/* In the first half of a shift each of many boxes applies a smaller share: the
   check of the new version needs a number of answers, not a part of all, and
   each session that is moved may come to a box that does not know of it yet.
   The number of boxes is the same at all boxes. */
double wp_direct_shift_position(const WPDirect *d, WPTime now,
                                const WPShift *sh, double position)
{
    double few_share = (double)FEW_BOXES / MAX(d->boxes, FEW_BOXES);
    return wp_shift_first_half(sh, now) ? position / few_share : position;
}

/* Whether a box that knows nothing of the session would send it to another
   version than its present one. Only these are sent: for most sessions it would
   not, and traffic for all sessions would grow with the square of the number of
   boxes. `moved`: it is on the new version. */
static bool needs_sending(const WPDirect *d, WPTime now, const WPShift *sh,
                          uint64_t session, bool moved)
{
    double position = wp_direct_shift_position(
        d, now, sh, wp_direct_session_position(session));
    bool is_moved = position < wp_shift_share(d->shifts, sh, now);
    return moved ? wp_shift_first_half(sh, now) || !is_moved : is_moved;
}

/* Whether this is to be sent of the session to the other boxes. */
static bool is_unsent(const WPDirect *d, WPTime now, WPSessionUpdate what,
                      const WPSessionRecord *record)
{
    const WPShift *sh = shift_of_session(d, record->session);
    bool retired = sh && strcmp(record->version, WP_VERSION_OLD) &&
                   wp_shift_has_replaced(sh, record->version);
    if (what == WP_SESSION_UPDATE_RETIRED || retired)
        return what == WP_SESSION_UPDATE_RETIRED && retired &&
               !record->sent_retired;
    bool moved = what == WP_SESSION_UPDATE_MOVED;
    return !record->sent && is_running(sh) &&
           !strcmp(record->version, sh->version) == moved &&
           needs_sending(d, now, sh, record->session, moved);
}

/* Whether there may be any session now of which this is to be sent. */
static bool may_have_unsent(const WPDirect *d, WPTime now, WPSessionUpdate what)
{
    switch (what) {
    case WP_SESSION_UPDATE_BOUND:
        return wp_shifts_any_first_half(d->shifts, now);
    case WP_SESSION_UPDATE_MOVED:
        return wp_shifts_any_partial(d->shifts, now);
    default:
        return true;
    }
}

size_t wp_direct_take_unsent_sessions(WPDirect *d, WPTime now,
                                      WPSessionUpdate what, uint64_t *out,
                                      size_t max)
{
    GHashTableIter it;
    gpointer p;
    size_t n = 0;
    int64_t oldest = now.mono_us - session_binding_us(d);
    if (!may_have_unsent(d, now, what))
        return 0;
    g_hash_table_iter_init(&it, d->sessions);
    while (n < max && g_hash_table_iter_next(&it, NULL, &p)) {
        WPSessionRecord *record = p;
        if (record->last_used_us <= oldest || !is_unsent(d, now, what, record))
            continue;
        if (what == WP_SESSION_UPDATE_RETIRED)
            record->sent_retired = true;
        else
            record->sent = true;
        out[n++] = record->session;
    }
    return n;
}

void wp_direct_merge_session(WPDirect *d, WPTime now, WPSessionUpdate what,
                             uint64_t session)
{
    WPSessionRecord *record = g_hash_table_lookup(d->sessions, &session);
    int64_t age_us = record ? now.mono_us - record->last_used_us : INT64_MAX;
    const char *version =
        what == WP_SESSION_UPDATE_RETIRED ? WP_VERSION_RETIRED : WP_VERSION_OLD;
    if (record && record->served_here && age_us < session_binding_us(d))
        return;
    const WPShift *sh = shift_of_session(d, session);
    if (what == WP_SESSION_UPDATE_MOVED && is_running(sh))
        version = sh->version;
    bool recent = record && age_us < RESEND_US;
    bool recently_retired =
        recent && !strcmp(record->version, WP_VERSION_RETIRED);
    wp_direct_record_session(d, now, session, version);
    record = g_hash_table_lookup(d->sessions, &session);
    record->served_here = false;
    /* It is sent on, for boxes that are linked to this one and not to the
       sender. An update that comes back is known by then, and stops here. */
    record->sent = recent;
    record->sent_retired = recently_retired;
}
