/* Usage reports of a box: the store is a fake, the service that accepts
 * reports listens on loopback. */
#include "pf.h"
#include "sync_fake.h"
#include "wp_usage.h"

#include <arpa/inet.h>

enum { LEASE_MS = 3000, WINDOW_MS = 1000, GUARD_MS = 5000 };

typedef struct Service {
    struct evhttp *http;
    unsigned calls;
    char *holder, *fence;
    json_t *report; /* the last report */
} Service;

static void on_usage(struct evhttp_request *r, void *arg)
{
    Service *v = arg;
    v->calls++;
    g_free(v->holder);
    g_free(v->fence);
    json_decref(v->report);
    v->holder = g_strdup(wp_http_header(r, "X-Duty-Holder"));
    v->fence = g_strdup(wp_http_header(r, "X-Fence-Token"));
    v->report = wp_http_body_json(r);
    wp_http_reply_text(r, 200, "text/plain", wp_str(""));
}

static char *open_service(Service *v, struct event_base *base)
{
    struct sockaddr_in sa;
    socklen_t n = sizeof(sa);
    v->http = evhttp_new(base);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(v->http, "127.0.0.1", 0);
    evhttp_set_cb(v->http, "/usage", on_usage, v);
    getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&sa, &n);
    return g_strdup_printf("127.0.0.1:%u", ntohs(sa.sin_port));
}

/* Answers the last write: it succeeded, at this revision. */
static void write_done(uint64_t revision)
{
    const WPKvResult r = { .ok = true,
                           .succeeded = true,
                           .revision = revision };
    WPKvResultFn done = store.txn_done;
    store.txn_done = NULL;
    done(store.txn_arg, &r);
}

/* Returns whether a write of the lease record awaits its answer. */
static bool writes_lease(void)
{
    return store.txn_done && !strcmp(store.key, WP_KEY_REPORT_LEASE);
}

typedef struct Reporter {
    SyncFixture box;
    Service service;
    WPPlatformOps platform;
    char *to, *duties[1];
    int64_t ms;
} Reporter;

static void init(Reporter *r)
{
    memset(r, 0, sizeof(*r));
    sync_fixture_init(&r->box);
    r->to = open_service(&r->service, r->box.host.base);
    wp_sync_free(r->box.host.sync);
    r->platform = platform;
    r->platform.is_usage_duty = pf_ops.is_usage_duty;
    r->platform.write_report = pf_ops.write_report;
    r->duties[0] = (char *)"usage_report";
    r->box.host.platform = &r->platform;
    r->box.settings.report_to = r->to;
    r->box.settings.duties = r->duties;
    r->box.settings.n_duties = 1;
    r->box.settings.usage_window_s = WINDOW_MS / WP_MS_PER_S;
    r->box.settings.duty_lease_ms = LEASE_MS;
    r->box.host.sync = wp_sync_new(&r->box.host, NULL);
    const char *ids[] = { "l1" };
    answer_range(ids, 1, 5);
}

static void end(Reporter *r)
{
    evhttp_free(r->service.http); /* uses the event loop, so it goes first */
    sync_fixture_end(&r->box);
    g_free(r->service.holder);
    g_free(r->service.fence);
    json_decref(r->service.report);
    g_free(r->to);
}

/* Ticks for up to 10 s until the box writes the lease record; other writes
   succeed. Returns whether it did. */
static bool wait_for_write(Reporter *r)
{
    for (int64_t end_ms = r->ms + 10000; r->ms < end_ms; r->ms += 50) {
        tick(&r->box, r->ms);
        if (writes_lease())
            return true;
        if (store.txn_done)
            write_done(6);
    }
    return false;
}

/* Runs the event loop until the service receives a report, for GUARD_MS at
   most. */
static bool wait_for_report(Reporter *r)
{
    int64_t end_us = g_get_monotonic_time() + GUARD_MS * WP_US_PER_MS;
    unsigned had = r->service.calls;
    tick(&r->box, r->ms);
    while (r->service.calls == had && g_get_monotonic_time() < end_us)
        event_base_loop(r->box.host.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    return r->service.calls > had;
}

static void a_window_is_settled_and_then_reported(void **state)
{
    (void)state;
    Reporter r;
    init(&r);
    assert_true(wait_for_write(&r)); /* the box takes the lease */
    assert_int_equal(r.service.calls, 0);
    write_done(7);
    WPTime now = wp_clock_now(0);
    now.mono_us += r.ms * WP_US_PER_MS;
    for (unsigned i = 0; i < 3; i++)
        wp_usage_count_request(r.box.host.direct.usage, now.mono_us, "acme");
    unsigned sum = 0;
    for (unsigned i = 0; i < 5 && !sum; i++) {
        assert_true(wait_for_write(&r)); /* the box settles a window */
        write_done(8 + i);
        assert_true(wait_for_report(&r));
        assert_string_equal(r.service.holder, "e1");
        assert_string_equal(r.service.fence, "1");
        assert_true(
            json_is_integer(json_object_get(r.service.report, "windowIndex")));
        sum = (unsigned)json_integer_value(json_object_get(
            json_object_get(r.service.report, "counts"), "acme"));
    }
    assert_int_equal(sum, 3);
    end(&r);
}

/* A lease record that cannot be decoded prevents all reports, as its fencing
   token is not known, until it is removed. */
static void an_unreadable_record_prevents_reports(void **state)
{
    (void)state;
    Reporter r;
    WPStr invalid = wp_str("\xff\xff odd");
    init(&r);
    wp_store_apply(r.box.host.sync, WP_KEY_REPORT_LEASE, &invalid, 6, false);
    assert_false(wait_for_write(&r));
    wp_store_apply(r.box.host.sync, WP_KEY_REPORT_LEASE, NULL, 7, false);
    assert_true(wait_for_write(&r));
    end(&r);
}

/* Without an address in the settings, or with a duty of an unknown name,
   nothing is counted or reported. */
static void without_an_address_nothing_is_reported(void **state)
{
    (void)state;
    Reporter r;
    init(&r);
    wp_sync_free(r.box.host.sync);
    r.box.settings.report_to = (char *)"";
    r.box.host.sync = wp_sync_new(&r.box.host, NULL);
    assert_null(r.box.host.direct.usage);
    wp_sync_free(r.box.host.sync);
    r.box.settings.report_to = r.to;
    r.duties[0] = (char *)"something";
    r.box.host.sync = wp_sync_new(&r.box.host, NULL);
    assert_null(r.box.host.direct.usage);
    end(&r);
}

TESTS_MAIN(T(a_window_is_settled_and_then_reported),
           T(an_unreadable_record_prevents_reports),
           T(without_an_address_nothing_is_reported))
