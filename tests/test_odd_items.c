/* Items of other writers in the store's answers: whatever one of them holds,
 * the others are read. */
#include "pf.h"
#include "pf_names.h"
#include "test.h"
#include "wp_kv.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

enum { DEPTH = 5000 };

/* A store whose answers are given as text: to the first range call, to the
   second, and to the first watch. */
typedef struct FakeStore {
    struct event_base *base;
    struct evhttp *http;
    char target[32];
    const char *pages[2], *watch;
    unsigned asked;
    GString *query; /* of the last range call */
    /* What the client reported. */
    GString *read; /* "KEY=VALUE " of each item */
    unsigned bad;
    bool done, ok, skipped;
} FakeStore;

static void reply(struct evhttp_request *r, const char *text)
{
    evbuffer_add(evhttp_request_get_output_buffer(r), text, strlen(text));
    evhttp_send_reply(r, 200, "OK", NULL);
}

static void on_request(struct evhttp_request *r, void *arg)
{
    FakeStore *s = arg;
    const char *uri = evhttp_request_get_uri(r);
    if (strstr(uri, "watch")) {
        reply(r, s->watch ? s->watch : "{\"events\":[],\"storeRevision\":0}");
        s->watch = NULL;
        return;
    }
    g_string_assign(s->query, uri);
    reply(r, s->pages[MIN(s->asked, 1)]);
    s->asked++;
}

static void store_init(FakeStore *s)
{
    struct sockaddr_in sa;
    socklen_t n = sizeof(sa);
    memset(s, 0, sizeof(*s));
    s->base = event_base_new();
    s->http = evhttp_new(s->base);
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(s->http, "127.0.0.1", 0);
    evhttp_set_gencb(s->http, on_request, s);
    getsockname(evhttp_bound_socket_get_fd(bound), (void *)&sa, &n);
    snprintf(s->target, sizeof(s->target), "127.0.0.1:%d", ntohs(sa.sin_port));
    s->read = g_string_new(NULL);
    s->query = g_string_new(NULL);
}

static void store_end(FakeStore *s)
{
    evhttp_free(s->http);
    event_base_free(s->base);
    g_string_free(s->read, TRUE);
    g_string_free(s->query, TRUE);
}

static void note_item(FakeStore *s, const WPKvItem *i)
{
    g_string_append_len(s->read, i->key.p, (gssize)i->key.n);
    g_string_append_c(s->read, '=');
    g_string_append_len(s->read, i->value.p, (gssize)i->value.n);
    g_string_append_c(s->read, ' ');
}

static void on_read(void *arg, const WPKvResult *r)
{
    FakeStore *s = arg;
    s->done = true;
    s->ok = r->ok;
    for (size_t i = 0; i < r->n_items; i++)
        note_item(s, &r->items[i]);
}

static void on_event(void *arg, WPKvWatchEvent what, const WPKvItem *item)
{
    FakeStore *s = arg;
    s->done = true;
    s->ok = what != WP_KV_WATCH_LOST && what != WP_KV_COMPACTED;
    s->skipped = s->skipped || what == WP_KV_SKIPPED;
    if (what == WP_KV_CHANGED)
        note_item(s, item);
}

static void on_bad(void *arg, const char *what, const char *why)
{
    FakeStore *s = arg;
    (void)what;
    (void)why;
    s->bad++;
}

static void watch_reports(FakeStore *s, WPKv *kv)
{
    kv->bad_item = on_bad;
    kv->bad_item_arg = s;
}

static void run(FakeStore *s)
{
    for (s->done = false; !s->done;)
        event_base_loop(s->base, EVLOOP_ONCE);
}

/* The items of other writers, as JSON; none of them is one that can be used. */
static GPtrArray *odd_items(bool etcd)
{
    static const char *const platform[] = {
        "{\"privateKey\":\"a\\u0000b\",\"value\":\"MQ==\",\"revision\":3}",
        "{\"privateKey\":\"\\u0000\",\"value\":\"MQ==\",\"revision\":3}",
        "{\"privateKey\":\"\",\"value\":\"MQ==\",\"revision\":3}",
        "{\"privateKey\":\"\\ud800\",\"value\":\"MQ==\",\"revision\":3}",
        "{\"privateKey\":\"\xff\xfe\",\"value\":\"MQ==\",\"revision\":3}",
        "{\"privateKey\":7,\"value\":\"MQ==\",\"revision\":3}",
        "{\"privateKey\":null,\"value\":\"MQ==\",\"revision\":3}",
        "{\"privateKey\":[\"x\"],\"value\":\"MQ==\",\"revision\":3}",
        "{\"privateKey\":\"odd\",\"value\":\"MQ==\"}",
        "{\"privateKey\":\"odd\",\"value\":\"MQ==\",\"revision\":\"3\"}",
        "{\"privateKey\":\"odd\",\"value\":\"MQ==\",\"revision\":-3}",
        "{\"privateKey\":\"odd\",\"value\":\"MQ==\",\"revision\":0}",
        "{\"privateKey\":\"odd\",\"value\":\"MQ==\",\"revision\":1e999}",
        "{\"privateKey\":\"odd\",\"value\":\"MQ==\",\"revision\":"
        "99999999999999999999}",
        "{\"privateKey\":\"odd\",\"value\":1e999,\"revision\":3}",
        "{\"privateKey\":\"odd\",\"lease\":99999999999999999999}",
        "{\"value\":\"MQ==\",\"revision\":3}",
        "{\"privateKey\":\"odd\" \"value\":\"MQ==\"}",
        "{}",
        "[]",
        "null",
        "17",
        "\"text\"",
    };
    static const char *const gateway[] = {
        "{\"key\":\"YQBi\",\"value\":\"MQ==\",\"mod_revision\":\"3\"}",
        "{\"key\":\"\",\"value\":\"MQ==\",\"mod_revision\":\"3\"}",
        "{\"key\":7,\"value\":\"MQ==\",\"mod_revision\":\"3\"}",
        "{\"key\":\"b2Rk\",\"value\":\"MQ==\"}",
        "{\"key\":\"b2Rk\",\"value\":\"MQ==\",\"mod_revision\":1e999}",
        "{\"key\":\"b2Rk\",\"value\":\"MQ==\",\"version\":"
        "99999999999999999999}",
        "{\"key\":\"\\ud800\",\"value\":\"MQ==\",\"mod_revision\":\"3\"}",
        "{}",
        "null",
    };
    GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
    const char *const *from = etcd ? gateway : platform;
    for (size_t i = 0; i < (etcd ? WP_COUNT(gateway) : WP_COUNT(platform)); i++)
        g_ptr_array_add(out, g_strdup(from[i]));
    GString *deep = g_string_new(NULL);
    for (int i = 0; i < DEPTH; i++)
        g_string_append(deep, "{\"k\":[");
    for (int i = 0; i < DEPTH; i++)
        g_string_append(deep, "]}");
    g_ptr_array_add(out, g_string_free(deep, FALSE));
    return out;
}

/* A list of two sound items, with the odd one at position `at`. */
static char *join(const char *first, const char *second, const char *odd,
                  int at)
{
    const char *items[] = { first, second, NULL, NULL };
    for (int i = 2; i > at; i--)
        items[i] = items[i - 1];
    items[at] = odd;
    return g_strjoinv(",", (char **)items);
}

#define FIRST "{\"privateKey\":\"k1\",\"value\":\"MQ==\",\"revision\":1}"
#define SECOND "{\"privateKey\":\"k2\",\"value\":\"Mg==\",\"revision\":2}"

/* Calls `check` with each odd item at each position. */
static void each_list(bool etcd, const char *first, const char *second,
                      void (*check)(const char *list))
{
    g_autoptr(GPtrArray) odd = odd_items(etcd);
    for (guint i = 0; i < odd->len; i++)
        for (int at = 0; at < 3; at++) {
            g_autofree char *list = join(first, second, odd->pdata[i], at);
            check(list);
        }
}

static void check_range(const char *list)
{
    FakeStore s;
    store_init(&s);
    g_autofree char *page =
        g_strdup_printf("{\"items\":[%s],\"storeRevision\":5}", list);
    s.pages[0] = page;
    WPKv *kv = pf_store_new(s.base, s.target);
    watch_reports(&s, kv);
    kv->ops->range(kv, "", NULL, on_read, &s);
    run(&s);
    if (!s.ok || strcmp(s.read->str, "k1=1 k2=2 ") || !s.bad)
        fail_msg("%.200s: read %s", list, s.read->str);
    kv->ops->free(kv);
    store_end(&s);
}

static void one_odd_item_ends_the_reading_of_a_list(void **state)
{
    (void)state;
    each_list(false, FIRST, SECOND, check_range);
}

static void check_watch(const char *list)
{
    FakeStore s;
    store_init(&s);
    g_autofree char *events =
        g_strdup_printf("{\"events\":[%s],\"storeRevision\":5}", list);
    s.watch = events;
    WPKv *kv = pf_store_new(s.base, s.target);
    watch_reports(&s, kv);
    kv->ops->watch(kv, "", 1, true, on_event, &s);
    run(&s);
    if (!s.ok || strcmp(s.read->str, "k1=1 k2=2 ") || !s.bad || !s.skipped)
        fail_msg("%.200s: read %s", list, s.read->str);
    kv->ops->free(kv);
    store_end(&s);
}

static void one_odd_item_ends_a_watch(void **state)
{
    (void)state;
    each_list(false, FIRST, SECOND, check_watch);
}

/* A change that cannot be read is no sign that changes were missed. */
static void odd_item_alone_makes_a_watch_read_everything_again(void **state)
{
    FakeStore s;
    (void)state;
    store_init(&s);
    s.watch = "{\"events\":[{\"privateKey\":\"a\\u0000b\",\"revision\":5}],"
              "\"storeRevision\":5}";
    WPKv *kv = pf_store_new(s.base, s.target);
    kv->ops->watch(kv, "", 1, true, on_event, &s);
    run(&s);
    assert_true(s.ok && s.skipped);
    kv->ops->free(kv);
    store_end(&s);
}

/* The key of an odd item at the end of a page is where the next one goes on. */
static void odd_item_at_the_end_of_a_page_ends_the_reading(void **state)
{
    FakeStore s;
    (void)state;
    store_init(&s);
    s.pages[0] = "{\"items\":[{\"privateKey\":\"a\\u0000b\",\"revision\":1}],"
                 "\"storeRevision\":5,\"truncated\":true}";
    s.pages[1] = "{\"items\":[" FIRST "," SECOND "],\"storeRevision\":6}";
    WPKv *kv = pf_store_new(s.base, s.target);
    kv->ops->range(kv, "", NULL, on_read, &s);
    run(&s);
    assert_true(s.ok);
    assert_string_equal(s.read->str, "k1=1 k2=2 ");
    assert_non_null(strstr(s.query->str, "afterRev=a%00b"));
    kv->ops->free(kv);
    store_end(&s);
}

/* A page without a key to go on from is asked for once only. */
static void page_that_repeats_itself_is_read_for_ever(void **state)
{
    FakeStore s;
    (void)state;
    store_init(&s);
    s.pages[0] = s.pages[1] = "{\"items\":[" FIRST "],\"storeRevision\":5,"
                              "\"truncated\":true}";
    WPKv *kv = pf_store_new(s.base, s.target);
    kv->ops->range(kv, "", NULL, on_read, &s);
    run(&s);
    assert_false(s.ok);
    assert_int_equal(s.asked, 2);
    kv->ops->free(kv);
    store_end(&s);
}

#define ETCD_FIRST                                                             \
    "{\"key\":\"azE=\",\"value\":\"MQ==\",\"mod_revision\":\"1\"}"
#define ETCD_SECOND                                                            \
    "{\"key\":\"azI=\",\"value\":\"Mg==\",\"mod_revision\":\"2\"}"

static void check_etcd_range(const char *list)
{
    FakeStore s;
    store_init(&s);
    g_autofree char *page =
        g_strdup_printf("{\"header\":{\"revision\":\"5\"},\"kvs\":[%s]}", list);
    char *targets[] = { s.target };
    s.pages[0] = page;
    WPKv *kv = wp_kv_etcd(s.base, targets, 1);
    watch_reports(&s, kv);
    kv->ops->range(kv, "k", "l", on_read, &s);
    run(&s);
    if (!s.ok || strcmp(s.read->str, "k1=1 k2=2 ") || !s.bad)
        fail_msg("%.200s: read %s", list, s.read->str);
    kv->ops->free(kv);
    store_end(&s);
}

static void one_odd_item_ends_the_reading_of_the_gateways_list(void **state)
{
    (void)state;
    each_list(true, ETCD_FIRST, ETCD_SECOND, check_etcd_range);
}

/* Each item is in the field "kv" of an element. */
static void check_etcd_watch(const char *list)
{
    FakeStore s;
    store_init(&s);
    g_autofree char *line =
        g_strdup_printf("{\"result\":{\"events\":[%s]}}\n", list);
    char *targets[] = { s.target };
    s.watch = line;
    WPKv *kv = wp_kv_etcd(s.base, targets, 1);
    watch_reports(&s, kv);
    kv->ops->watch(kv, "k", 1, false, on_event, &s);
    run(&s);
    if (strcmp(s.read->str, "k1=1 k2=2 ") || !s.bad)
        fail_msg("%.200s: read %s", list, s.read->str);
    kv->ops->free(kv);
    store_end(&s);
}

static void one_odd_item_loses_the_gateways_changes(void **state)
{
    (void)state;
    each_list(true, "{\"kv\":" ETCD_FIRST "}", "{\"kv\":" ETCD_SECOND "}",
              check_etcd_watch);
}

static void ignore(void *arg, WPStr start, const char *why)
{
    (void)start;
    (void)why;
    ++*(unsigned *)arg;
}

/* Texts whose brackets do not match are read to their ends and no further. */
static void cut_lists_are_harmless(void **state)
{
    static const char text[] =
        "{\"x\":\"items\",\"items\" : [ " FIRST ",{\"a\":\"]}\\\"\"}, 1e999 ,"
        "\"\\ud800\"],\"truncated\":true}";
    (void)state;
    for (size_t n = 0; n < sizeof(text); n++) {
        unsigned bad = 0;
        g_autofree char *copy = g_memdup2(text, n + 1);
        json_t *j = wp_json_load_list(wp_strn(copy, n), "items", ignore, &bad);
        assert_int_equal(j != NULL, n == sizeof(text) - 1);
        json_decref(j);
    }
}

TESTS_MAIN(T(one_odd_item_ends_the_reading_of_a_list),
           T(one_odd_item_ends_a_watch),
           T(odd_item_alone_makes_a_watch_read_everything_again),
           T(odd_item_at_the_end_of_a_page_ends_the_reading),
           T(page_that_repeats_itself_is_read_for_ever),
           T(one_odd_item_ends_the_reading_of_the_gateways_list),
           T(one_odd_item_loses_the_gateways_changes),
           T(cut_lists_are_harmless))
