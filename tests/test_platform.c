/* The platform adapter: decoding and encoding of the platform's store entries,
 * requests and answers. The examples are those of the platform's
 * documentation. */
#include "pf.h"
#include "pf_names.h"
#include "test.h"

/* Decodes the store entry `key`; a NULL `value` stands for its removal. */
static WPStoreEntry decode(const char *key, const char *value,
                           uint64_t revision)
{
    WPKvItem i = { wp_str(key), wp_str(value), revision, !value };
    WPStoreEntry n;
    pf_decode_store_entry(&i, &n);
    return n;
}

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\","
    "\"prefix\":\"/x/\",\"kind\":\"streaming\",\"timeoutMs\":20000,"
    "\"targetLatencyMs\":2000,\"priority\":1,\"sizes\":[\"m0\",\"m1\"],"
    "\"trafficSplit\":[{\"service\":\"llm\",\"weight\":90},"
    "{\"service\":\"app\",\"weight\":0}],\"maxAttempts\":3,"
    "\"anonymous\":false,\"sticky\":true,\"resumable\":true,"
    "\"gapAimMs\":1200},{\"name\":\"r2\",\"host\":\"a.example\","
    "\"prefix\":\"/x/y/\",\"kind\":\"unsafe\",\"service\":\"app\"}],"
    "\"services\":[{\"name\":\"llm\",\"maxConnections\":230,\"engine\":"
    "{\"slots\":32,\"kvTokens\":761808,\"models\":[{\"name\":\"m0\","
    "\"cost\":0.013}]}},{\"name\":\"app\",\"maxConnections\":96}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
    "\"name\":\"t1\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1}]}";

static void a_configuration_is_decoded_completely(void **state)
{
    WPStoreEntry n = decode(PF_K_CONFIG, config, 4);
    (void)state;
    assert_int_equal(n.kind, WP_STORE_ENTRY_ROUTES);
    const WPRoutes *t = n.routes;
    assert_int_equal(t->version, 7);
    assert_true(t->requires_keys);
    assert_int_equal(t->limits.idle_ms, 15000);
    const WPRoute *r = wp_routes_find(t, wp_str("A.example"), wp_str("/x/z?q"));
    assert_string_equal(r->name, "r1");
    assert_int_equal(r->retry_policy, WP_RETRY_STREAM);
    assert_true(r->resumable);
    assert_int_equal(r->models->len, 2);
    assert_string_equal(wp_route_pick_service(t, r, 0.999)->name, "llm");
    r = wp_routes_find(t, wp_str("a.example"), wp_str("/x/y/z"));
    assert_string_equal(r->name, "r2");
    assert_int_equal(r->retry_policy, WP_RETRY_NEVER);
    assert_int_equal(r->max_attempts, 1);
    assert_string_equal(wp_routes_caller_by_key(t, wp_str("k2"))->workspace,
                        "t1");
    assert_null(wp_routes_caller_by_key(t, wp_str("k3")));
    assert_float_equal(wp_service_cost(wp_routes_service(t, "llm"), "m0"),
                       0.013, 1e-9);
    wp_routes_unref(n.routes);
    pf_release_store_entry(&n);
}

static void endpoints_orders_and_outcomes_are_decoded(void **state)
{
    (void)state;
    WPStoreEntry n =
        decode(PF_K_ENDPOINT "i-7",
               "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
               "\"z\",\"version\":\"v1\",\"slots\":32,\"state\":"
               "\"draining\",\"coldLeftMs\":5,\"callSeq\":1}",
               9);
    assert_int_equal(n.kind, WP_STORE_ENTRY_ENDPOINT);
    assert_string_equal(n.endpoint.id, "i-7");
    assert_true(n.endpoint.draining);
    assert_int_equal(n.endpoint.cold_left_ms, 5);
    pf_release_store_entry(&n);
    n = decode(PF_K_ENDPOINT "i-7", NULL, 10);
    assert_int_equal(n.kind, WP_STORE_ENTRY_ENDPOINT_REMOVED);
    assert_string_equal(n.endpoint.id, "i-7");
    n = decode(PF_K_ORDER "s",
               "{\"service\":\"s\",\"targetVersion\":\"v2\",\"durationS\":12}",
               11);
    assert_int_equal(n.kind, WP_STORE_ENTRY_SHIFT_ORDER);
    assert_int_equal(n.order.duration_ms, 12000);
    assert_int_equal(n.order.revision, 11);
    pf_release_store_entry(&n);
    n = decode(PF_K_OUTCOME "s",
               "{\"state\":\"rolled_back\",\"targetVersion\":\"v2\"}", 12);
    assert_int_equal(n.kind, WP_STORE_ENTRY_SHIFT_OUTCOME);
    assert_int_equal(n.state, WP_SHIFT_ROLLED_BACK);
    pf_release_store_entry(&n);
    n = decode(PF_K_CONFIG, "[]", 13);
    assert_int_equal(n.kind, WP_STORE_ENTRY_INVALID);
    pf_release_store_entry(&n);
    n = decode("something/else", "{}", 14);
    assert_int_equal(n.kind, WP_STORE_ENTRY_IGNORED);
}

/* The registry entry of an endpoint, with one field added. */
#define ENTRY(field)                                                           \
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","           \
    "\"version\":\"v1\",\"slots\":32,\"state\":\"ready\",\"coldLeftMs\":0,"    \
    "\"callSeq\":1," field "}"

/* Entries that another writer has left malformed in the store are rejected,
   with the invalid field named. If a field occurs twice, the last one counts.
 */
static void invalid_store_entries_are_rejected(void **state)
{
    static const struct {
        const char *key, *value, *problem;
    } rows[] = {
        { PF_K_ENDPOINT "e", "", "not a JSON object" },
        { PF_K_ENDPOINT "e", "\xff\xfe{", "not a JSON object" },
        { PF_K_ENDPOINT "e", "[]", "not a JSON object" },
        { PF_K_ENDPOINT "e", "{}", "state" },
        { PF_K_ENDPOINT "e", ENTRY("\"slots\":-3"), "slots" },
        { PF_K_ENDPOINT "e", ENTRY("\"slots\":\"8\""), "slots" },
        { PF_K_ENDPOINT "e", ENTRY("\"slots\":8.5"), "slots" },
        { PF_K_ENDPOINT "e", ENTRY("\"slots\":null"), "slots" },
        { PF_K_ENDPOINT "e", ENTRY("\"state\":\"sleeping\""), "state" },
        { PF_K_ENDPOINT "e", ENTRY("\"state\":7"), "state" },
        { PF_K_ENDPOINT "e", ENTRY("\"service\":[]"), "service" },
        { PF_K_ENDPOINT "e", ENTRY("\"address\":{}"), "address" },
        { PF_K_ENDPOINT "e", ENTRY("\"zone\":\"\""), "zone" },
        { PF_K_ENDPOINT "e", ENTRY("\"version\":3"), "version" },
        { PF_K_ENDPOINT "e", ENTRY("\"coldLeftMs\":-5"), "coldLeftMs" },
        { PF_K_ENDPOINT "e", ENTRY("\"coldLeftMs\":1e300"), "coldLeftMs" },
        { PF_K_ENDPOINT "e", ENTRY("\"callSeq\":true"), "callSeq" },
        { PF_K_ENDPOINT "e", ENTRY("\"born\":1.5"), "born" },
        { PF_K_ENDPOINT "e", ENTRY("\"born\":\"now\""), "born" },
        { PF_K_ORDER "s", "{\"service\":\"s\"}", "targetVersion" },
        { PF_K_OUTCOME "s", "{\"targetVersion\":\"v\",\"state\":\"odd\"}",
          "state" },
        { PF_K_CONFIG, "{\"version\":1,\"services\":[],\"routes\":{}}",
          "routes" },
        { PF_K_CONFIG, "{\"version\":\"1\",\"services\":[],\"routes\":[]}",
          "version" },
        { PF_K_CONFIG, "{\"version\":1,\"services\":[{}],\"routes\":[]}",
          "name" },
        { PF_K_CONFIG,
          "{\"version\":1,\"services\":[],\"routes\":[{\"name\":\"r\",\"host\":"
          "\"h\",\"prefix\":\"/"
          "\",\"kind\":\"safe\",\"service\":\"s\",\"sizes\":"
          "[1,null]}]}",
          "sizes" },
        { PF_K_CONFIG,
          "{\"version\":1,\"services\":[],\"routes\":[],\"tenants\":7}",
          "tenants" },
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(rows); i++) {
        WPStoreEntry n = decode(rows[i].key, rows[i].value, 3);
        if (n.kind != WP_STORE_ENTRY_INVALID ||
            strcmp(n.problem, rows[i].problem))
            fail_msg("%s: %s", rows[i].value, n.problem);
        assert_null(n.routes);
        if (g_str_has_prefix(rows[i].key, PF_K_ENDPOINT))
            assert_string_equal(n.endpoint.id, "e");
        pf_release_store_entry(&n);
    }
}

static void the_start_time_of_an_endpoint_is_optional(void **state)
{
    (void)state;
    WPStoreEntry n =
        decode(PF_K_ENDPOINT "e", ENTRY("\"born\":1700000000123"), 3);
    assert_int_equal(n.kind, WP_STORE_ENTRY_ENDPOINT);
    assert_int_equal(n.endpoint.born_ms, 1700000000123);
    pf_release_store_entry(&n);
    n = decode(PF_K_ENDPOINT "e", ENTRY("\"other\":[]"), 3);
    assert_int_equal(n.kind, WP_STORE_ENTRY_ENDPOINT);
    assert_int_equal(n.endpoint.born_ms, 0);
    pf_release_store_entry(&n);
}

/* The key alone evacuates the zone, whatever the value is. */
static void zone_evacuations_are_decoded(void **state)
{
    static const char *const values[] = { "{}", "", "\xff" };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(values); i++) {
        WPStoreEntry n = decode(PF_K_EVACUATED_ZONE "z1", values[i], 3);
        assert_int_equal(n.kind, WP_STORE_ENTRY_ZONE_EVACUATED);
        assert_string_equal(n.zone, "z1");
    }
    WPStoreEntry n = decode(PF_K_EVACUATED_ZONE "z1", NULL, 4);
    assert_int_equal(n.kind, WP_STORE_ENTRY_ZONE_EVACUATION_ENDED);
    assert_string_equal(n.zone, "z1");
}

static void outcomes_survive_encoding_and_decoding(void **state)
{
    WPShift sh = { .service = (char *)"s", .version = (char *)"v2" };
    (void)state;
    for (int st = WP_SHIFT_RUNNING; st <= WP_SHIFT_ROLLED_BACK; st++) {
        g_autofree char *key = g_strconcat(pf_ops.outcome_prefix, "s", NULL);
        g_autofree char *text = pf_outcome_text(&sh, (WPShiftState)st);
        WPStoreEntry n = decode(key, text, 3);
        assert_int_equal(n.state, st);
        assert_string_equal(n.order.version, "v2");
        pf_release_store_entry(&n);
    }
}

static WPField field(const char *name, const char *value)
{
    return (WPField){ wp_str(name), wp_str(value) };
}

/* The header fields that an attempt sends to the endpoint. */
static char *forwarded_text(const WPHead *h, const WPAttemptHeader *attempt)
{
    struct evbuffer *out = evbuffer_new();
    pf_ops.write_attempt_fields(h, attempt, out);
    evbuffer_add(out, "", 1);
    char *text = g_strdup((char *)evbuffer_pullup(out, -1));
    evbuffer_free(out);
    return text;
}

/* Fields that only the router may set are dropped from a caller's request, and
   so is the caller's key; the others are forwarded unchanged. */
static void a_forwarded_request_keeps_only_the_callers_fields(void **state)
{
    const WPField fields[] = { field("Host", "a.example"),
                               field("x-attempt-id", "id1"),
                               field("Authorization", "Token k1"),
                               field("X-Tenant", "forged"),
                               field("X-Hold", "h"),
                               field("X-Pin-Ms", "9"),
                               field("X-Kv-Backup", "1.2.3.4:5"),
                               field("Kv-From", "1.2.3.4:5/6"),
                               field("X-Expect-Replica", "i-0"),
                               field("X-Request-Priority", "0"),
                               field("Connection", "X-Drop"),
                               field("X-Drop", "1"),
                               field("Transfer-Encoding", "chunked"),
                               field("X-Model", "*"),
                               field("X-Token-Count", "1460,80"),
                               field("X-Custom", " as it came"),
                               field("X-Deadline-Ms", "25000") };
    WPHead h = { .fields = fields, .n_fields = WP_COUNT(fields) };
    WPAttemptHeader attempt = { .replica_id = "i-7",
                                .workspace = "t1",
                                .model = wp_str("m0"),
                                .budget_ms = 1234,
                                .priority = 2 };
    WPDirectRequest params;
    (void)state;
    h.target = wp_str("/x/y?z=1");
    assert_null(pf_ops.parse_request(&h, &params));
    assert_true(wp_str_eq(params.key, wp_str("k1")));
    assert_true(wp_str_eq(params.path, wp_str("/x/y")));
    assert_int_equal(params.prompt.tokens, 1460);
    assert_int_equal(params.answer_tokens, 80);
    assert_int_equal(params.deadline_ms, 25000);
    g_autofree char *text = forwarded_text(&h, &attempt);
    assert_string_equal(text, "Host: a.example\r\nx-attempt-id: id1\r\n"
                              "X-Token-Count: 1460,80\r\n"
                              "X-Custom:  as it came\r\n"
                              "X-Expect-Replica: i-7\r\nX-Tenant: t1\r\n"
                              "X-Model: m0\r\nX-Deadline-Ms: 1234\r\n"
                              "X-Request-Priority: 2\r\n");
}

static void the_shared_prompt_hash_covers_all_parts_but_the_last(void **state)
{
    WPField a[] = { field(PF_H_REQUEST_ID, "1"),
                    field(PF_H_PROMPT, "aa:5,bb:6,cc:7") };
    WPField b[] = { field(PF_H_REQUEST_ID, "2"),
                    field(PF_H_PROMPT, "aa:5,bb:6,dd:9") };
    WPHead ha = { .fields = a, .n_fields = 2, .target = wp_str("/") };
    WPHead hb = { .fields = b, .n_fields = 2, .target = wp_str("/") };
    WPDirectRequest x, y;
    (void)state;
    pf_ops.parse_request(&ha, &x);
    pf_ops.parse_request(&hb, &y);
    assert_true(wp_prompt_shared_hash(&x.prompt) &&
                wp_prompt_shared_hash(&x.prompt) ==
                    wp_prompt_shared_hash(&y.prompt));
    ha.n_fields = 1;
    assert_null(pf_ops.parse_request(&ha, &x));
    assert_int_equal(wp_prompt_shared_hash(&x.prompt), 0);
    ha.n_fields = 0;
    assert_non_null(pf_ops.parse_request(&ha, &x));
}

/* A malformed or absurd list of prompt parts leaves the token counts as they
   are, and parts stay within their bounds. */
static void malformed_prompt_parts_are_harmless(void **state)
{
    static const char *const texts[] = {
        "",
        ",",
        ":",
        "aa",
        "aa:",
        "aa:x",
        ":5",
        "aa:5;bb:6",
        "aa:-1,bb:2",
        "aa:5,,bb:6",
        "aa:99999999999999999999999999,bb:1",
        "aa:4294967295,bb:4294967295",
        "a:1,b:1,c:1,d:1,e:1,f:1,g:1,h:1,i:1,j:1",
    };
    (void)state;
    for (size_t i = 0; i < WP_COUNT(texts); i++) {
        WPField f[] = { field(PF_H_REQUEST_ID, "1"),
                        field(PF_H_TOKENS, "1000,50"),
                        field(PF_H_PROMPT, texts[i]) };
        WPHead h = { .fields = f, .n_fields = 3, .target = wp_str("/") };
        WPDirectRequest params;
        assert_null(pf_ops.parse_request(&h, &params));
        assert_int_equal(params.prompt.tokens, 1000);
        assert_true(params.prompt.n_parts <= WP_PROMPT_PARTS_MAX);
        assert_true(wp_prompt_shared_tokens(&params.prompt) <= 1000);
    }
}

static void answers_are_decoded(void **state)
{
    WPField f[] = { field("X-Attempt-Id", "id1"), field("X-Replica-Seal", "s"),
                    field("X-Confidence", "61"),
                    field("X-Replica-Load", "3,1,8") };
    WPHead h = { .status = 200, .fields = f, .n_fields = WP_COUNT(f) };
    WPDirectAnswer a;
    (void)state;
    assert_true(pf_ops.is_answer_to(&h, "id1"));
    assert_false(pf_ops.is_answer_to(&h, "id2"));
    pf_ops.read_answer(&h, &a);
    assert_true(a.has_seal && a.load_status == WP_NOTICE_PRESENT && !a.not_run);
    assert_int_equal(a.confidence, 61);
    assert_int_equal(a.load.running * 100 + a.load.waiting * 10 + a.load.slots,
                     318);
    assert_int_equal(a.load.slowdown, 0);
    f[3] = field("X-Replica-Load", "3,1,8,170");
    pf_ops.read_answer(&h, &a);
    assert_int_equal(a.load.running * 100 + a.load.waiting * 10 + a.load.slots,
                     318);
    assert_int_equal(a.load.slowdown, 170);
    f[3] = field("X-Replica-Load", "3;1,8");
    pf_ops.read_answer(&h, &a);
    assert_int_equal(a.load_status, WP_NOTICE_INVALID);
    f[3] = field("Content-Encoding", "gzip");
    pf_ops.read_answer(&h, &a);
    assert_false(a.has_seal);
    f[3] = field("X-Not-Executed", "1");
    h.status = 503;
    pf_ops.read_answer(&h, &a);
    assert_true(a.not_run);
}

/* Guards against a Connection field that names the request's id, which then did
   not reach the endpoint, so that no answer was the caller's. */
static void
fields_of_the_protocol_pass_though_connection_names_them(void **state)
{
    const WPField fields[] = { field("Connection", "X-Attempt-Id, X-Model, "
                                                   "X-Drop, X-Replica-Seal"),
                               field("X-Attempt-Id", "id1"),
                               field("X-Model", "m1"), field("X-Drop", "1"),
                               field("X-Replica-Seal", "s") };
    WPHead h = { .fields = fields, .n_fields = WP_COUNT(fields) };
    WPAttemptHeader attempt = { .replica_id = "i-7" };
    (void)state;
    g_autofree char *text = forwarded_text(&h, &attempt);
    assert_non_null(strstr(text, "X-Attempt-Id: id1\r\n"));
    assert_non_null(strstr(text, "X-Model: m1\r\n"));
    assert_null(strstr(text, "X-Drop"));
    assert_true(pf_ops.is_forwarded_to_caller(&h, &fields[4]));
    assert_false(pf_ops.is_forwarded_to_caller(&h, &fields[3]));
}

TESTS_MAIN(T(a_configuration_is_decoded_completely),
           T(endpoints_orders_and_outcomes_are_decoded),
           T(invalid_store_entries_are_rejected),
           T(the_start_time_of_an_endpoint_is_optional),
           T(zone_evacuations_are_decoded),
           T(outcomes_survive_encoding_and_decoding),
           T(a_forwarded_request_keeps_only_the_callers_fields),
           T(the_shared_prompt_hash_covers_all_parts_but_the_last),
           T(fields_of_the_protocol_pass_though_connection_names_them),
           T(malformed_prompt_parts_are_harmless), T(answers_are_decoded))
