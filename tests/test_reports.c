/* Reports of usage as a box makes them: the store is a fake, the service that
 * takes reports listens on loopback. */
#include "pf.h"
#include "sync_fake.h"
#include "wp_usage.h"

#include <arpa/inet.h>

enum { LEASE_MS = 3000, WINDOW_MS = 1000, GUARD_MS = 5000 };

typedef struct Service {
    struct evhttp *http;
    unsigned calls;
    char *holder, *fence;
    json_t *report; /* the last */
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

/* The write under way is done, at this revision. */
static void write_done(uint64_t revision)
{
    const WPKvResult r = { .ok = true,
                           .succeeded = true,
                           .revision = revision };
    WPKvResultFn done = store.txn_done;
    store.txn_done = NULL;
    done(store.txn_arg, &r);
}

static bool writes_duty(void)
{
    return store.txn_done && !strcmp(store.key, WP_KEY_REPORT_LEASE);
}

typedef struct Reporter {
    Site site;
    Service service;
    WPPlatformOps platform;
    char *to, *duties[1];
    int64_t ms;
} Reporter;

static void init(Reporter *r)
{
    memset(r, 0, sizeof(*r));
    site_init(&r->site);
    r->to = open_service(&r->service, r->site.host.base);
    wp_sync_free(r->site.host.sync);
    r->platform = platform;
    r->platform.is_usage_duty = pf_ops.is_usage_duty;
    r->platform.write_report = pf_ops.write_report;
    r->duties[0] = (char *)"usage_report";
    r->site.host.platform = &r->platform;
    r->site.settings.report_to = r->to;
    r->site.settings.duties = r->duties;
    r->site.settings.n_duties = 1;
    r->site.settings.usage_window_s = WINDOW_MS / WP_MS_PER_S;
    r->site.settings.duty_lease_ms = LEASE_MS;
    r->site.host.sync = wp_sync_new(&r->site.host, NULL);
    const char *ids[] = { "l1" };
    answer_range(ids, 1, 5);
}

static void end(Reporter *r)
{
    evhttp_free(r->service.http); /* it is of the site's loop */
    site_end(&r->site);
    g_free(r->service.holder);
    g_free(r->service.fence);
    json_decref(r->service.report);
    g_free(r->to);
}

/* Ticks until the box writes its duty's record. */
static bool wait_for_write(Reporter *r)
{
    for (int64_t end_ms = r->ms + 10000; r->ms < end_ms; r->ms += 50) {
        tick(&r->site, r->ms);
        if (writes_duty())
            return true;
        if (store.txn_done)
            write_done(6);
    }
    return false;
}

static bool wait_for_report(Reporter *r)
{
    int64_t end_us = g_get_monotonic_time() + GUARD_MS * WP_US_PER_MS;
    unsigned had = r->service.calls;
    tick(&r->site, r->ms);
    while (r->service.calls == had && g_get_monotonic_time() < end_us)
        event_base_loop(r->site.host.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    return r->service.calls > had;
}

static void a_window_is_settled_and_then_reported(void **state)
{
    (void)state;
    Reporter r;
    init(&r);
    assert_true(wait_for_write(&r)); /* it takes the duty */
    assert_int_equal(r.service.calls, 0);
    write_done(7);
    WPTime now = wp_clock_now(0);
    now.mono_us += r.ms * WP_US_PER_MS;
    for (unsigned i = 0; i < 3; i++)
        wp_usage_count_request(r.site.host.direct.usage, now.mono_us, "acme");
    unsigned sum = 0;
    for (unsigned i = 0; i < 5 && !sum; i++) {
        assert_true(wait_for_write(&r)); /* it settles a window */
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

/* Whose fence cannot be known bars all reports. */
static void a_record_that_cannot_be_read_bars(void **state)
{
    (void)state;
    Reporter r;
    WPStr odd = wp_str("\xff\xff odd");
    init(&r);
    wp_store_apply(r.site.host.sync, WP_KEY_REPORT_LEASE, &odd, 6, false);
    assert_false(wait_for_write(&r));
    wp_store_apply(r.site.host.sync, WP_KEY_REPORT_LEASE, NULL, 7, false);
    assert_true(wait_for_write(&r));
    end(&r);
}

/* Settings without an address, or with a duty of another name, do no harm. */
static void without_an_address_nothing_is_reported(void **state)
{
    (void)state;
    Reporter r;
    init(&r);
    wp_sync_free(r.site.host.sync);
    r.site.settings.report_to = (char *)"";
    r.site.host.sync = wp_sync_new(&r.site.host, NULL);
    assert_null(r.site.host.direct.usage);
    wp_sync_free(r.site.host.sync);
    r.site.settings.report_to = r.to;
    r.duties[0] = (char *)"something";
    r.site.host.sync = wp_sync_new(&r.site.host, NULL);
    assert_null(r.site.host.direct.usage);
    end(&r);
}

TESTS_MAIN(T(a_window_is_settled_and_then_reported),
           T(a_record_that_cannot_be_read_bars),
           T(without_an_address_nothing_is_reported))
