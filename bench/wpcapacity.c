/* wpcapacity: measures how costs grow with the number of nodes; the figures of
 * docs/CAPACITY.md are computed from these. Nodes are the product's own code,
 * exchanging encoded messages within one process. */
#include "fleet.h"
#include "wp_agent.h"
#include "wp_entry.h"
#include "wp_idempotency.h"
#include "wp_pb.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <time.h>

#define CHANGE_BYTES 700
#define GOSSIP_MS 5000 /* setting for the size expected in two years */
#define CHANGES 5

static double cpu_us(void)
{
    struct timespec t;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return (double)t.tv_sec * WP_US_PER_S + (double)t.tv_nsec / 1000;
}

static double heap_bytes(void)
{
    struct mallinfo2 m = mallinfo2();
    return (double)m.uordblks + (double)m.hblkhd;
}

/* Least-squares fit y = a + b x; `error` is the largest residual relative to
   y. */
typedef struct Fit {
    double a, b, error;
} Fit;

static Fit fit(const double *x, const double *y, int n)
{
    double sx = 0, sy = 0, sxx = 0, sxy = 0;
    Fit f = { 0 };
    for (int i = 0; i < n; i++) {
        sx += x[i];
        sy += y[i];
        sxx += x[i] * x[i];
        sxy += x[i] * y[i];
    }
    f.b = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    f.a = (sy - f.b * sx) / n;
    for (int i = 0; i < n; i++)
        f.error = fmax(f.error, fabs(f.a + f.b * x[i] - y[i]) / y[i]);
    return f;
}

/* Measurements of an idle fleet and of configuration changes. Bytes are sent
   and received ones. */
typedef struct Propagation {
    double seconds;       /* until all nodes have a change; mean over changes */
    double worst_seconds; /* the same, maximum */
    double bytes;         /* per node per change, mean */
    double worst_bytes;   /* of one node during one change, maximum */
    double idle_bytes_s;  /* per node per second without changes */
    double tick_us;       /* idle CPU time per tick, with message delivery */
    double delta_us;      /* CPU time per node per change */
    double reads_s;       /* store reads per second of all nodes, idle */
    double memory;        /* heap bytes per node */
} Propagation;

/* Runs the fleet until all nodes have the revision, 60 s at most; returns the
   virtual seconds that this took. */
static double run_until_converged(Fleet *f, uint64_t revision)
{
    int64_t start = fleet_now(f).mono_us;
    while (fleet_count_behind(f, revision) &&
           fleet_now(f).mono_us - start < 60 * WP_US_PER_S)
        fleet_run(f, 20 * WP_US_PER_MS);
    return (double)(fleet_now(f).mono_us - start) / WP_US_PER_S;
}

/* Measures a fleet of this size with this message loss and share of nodes
   down. */
static Propagation measure_propagation(unsigned nodes, double loss, double down)
{
    FleetPlan p = { .nodes = nodes,
                    .zones = nodes >= 1000 ? 20 : 3,
                    .seed = 11,
                    .loss = loss,
                    .gossip_ms = GOSSIP_MS,
                    .fanout = 3,
                    .versions = 32 };
    Propagation s = { 0 };
    double before = heap_bytes();
    Fleet *f = fleet_new(&p);
    fleet_start_converged(f);
    s.memory = (heap_bytes() - before) / nodes;
    double start = cpu_us();
    fleet_run(f, 10 * WP_US_PER_S);
    FleetCosts c = fleet_take_costs(f);
    s.idle_bytes_s = 2.0 * (double)c.bytes / nodes / 10;
    s.tick_us = (cpu_us() - start) / (double)c.ticks;
    s.reads_s = (double)c.store_reads / 10;
    for (unsigned i = 0; i < nodes * down; i++)
        fleet_set_down(f, i * 10, true);
    for (int i = 0; i < CHANGES; i++) {
        fleet_take_costs(f);
        start = cpu_us();
        double took = run_until_converged(f, fleet_change(f, CHANGE_BYTES));
        c = fleet_take_costs(f);
        s.delta_us += (cpu_us() - start) / nodes / CHANGES;
        s.seconds += took / CHANGES;
        s.worst_seconds = fmax(s.worst_seconds, took);
        s.bytes += 2.0 * (double)c.bytes / nodes / CHANGES;
        s.worst_bytes = fmax(s.worst_bytes, (double)c.worst_bytes);
        fleet_run(f, 2 * WP_US_PER_S);
    }
    fleet_free(f);
    return s;
}

static void table_changes(void)
{
    static const unsigned sizes[] = { 30, 100, 300, 1000, 3000 };
    static const struct {
        double loss, down;
    } cases[] = { { 0, 0 }, { 0.01, 0 }, { 0.1, 0 }, { 0.01, 0.1 } };
    double x[8], seconds[8], bytes[8], memory[8];
    printf("\nA change of %d bytes (fan-out 3, exchange every %d ms): time to "
           "all, bytes sent and\nreceived per node, the worst node; idle: "
           "bytes per second per node, CPU time per\ntick, store reads per "
           "second of all nodes; memory per node\n",
           CHANGE_BYTES, GOSSIP_MS);
    printf("%6s %5s %5s %8s %8s %8s %8s %8s %8s %8s %8s %10s\n", "nodes",
           "loss", "down", "mean s", "worst s", "bytes", "worst B", "idle B/s",
           "tick us", "delta us", "reads/s", "memory B");
    int n = 0;
    for (size_t i = 0; i < WP_COUNT(sizes); i++) {
        for (size_t k = 0; k < WP_COUNT(cases); k++) {
            if (sizes[i] == 3000 && k > 0)
                continue; /* one case is enough to check the prediction */
            Propagation s =
                measure_propagation(sizes[i], cases[k].loss, cases[k].down);
            printf("%6u %5.2f %5.2f %8.2f %8.2f %8.0f %8.0f %8.0f %8.2f %8.1f "
                   "%8.1f %10.0f\n",
                   sizes[i], cases[k].loss, cases[k].down, s.seconds,
                   s.worst_seconds, s.bytes, s.worst_bytes, s.idle_bytes_s,
                   s.tick_us, s.delta_us, s.reads_s, s.memory);
            if (k)
                continue;
            x[n] = log2(sizes[i]);
            seconds[n] = s.worst_seconds;
            bytes[n] = s.bytes;
            memory[n++] = s.memory;
        }
    }
    /* Predict the largest size from the others, and compare with the
       measurement. */
    Fit fs = fit(x, seconds, n - 1), fb = fit(x, bytes, n - 1);
    double nodes[8];
    for (int i = 0; i < n; i++)
        nodes[i] = exp2(x[i]);
    Fit fm = fit(nodes, memory, n - 1);
    printf("predicted at 3000 from the smaller: %.2f s, %.0f bytes, %.0f B "
           "memory; measured %.2f s, %.0f bytes, %.0f B\n",
           fs.a + fs.b * x[n - 1], fb.a + fb.b * x[n - 1], fm.a + fm.b * 3000,
           seconds[n - 1], bytes[n - 1], memory[n - 1]);
    fs = fit(x, seconds, n);
    fb = fit(x, bytes, n);
    fm = fit(nodes, memory, n);
    double log2_nodes = log2(13600);
    printf("fits: seconds %.2f + %.3f log2(n), largest residual %.0f %%; "
           "bytes %.0f + %.1f log2(n),\n%.0f %%; memory %.0f + %.1f n, "
           "%.0f %%\n",
           fs.a, fs.b, 100 * fs.error, fb.a, fb.b, 100 * fb.error, fm.a, fm.b,
           100 * fm.error);
    printf(
        "at 13,600 nodes: worst %.2f s, %.0f bytes per node per change; memory "
        "%.0f B per record of another box, %.1f MB per node\n",
        fs.a + fs.b * log2_nodes, fb.a + fb.b * log2_nodes, fm.b,
        (fm.a + fm.b * 13600) / 1e6);
}

/* --- restarts --- */

static void table_restarts(void)
{
    printf("\nRestarts: store reads, and seconds until all restarted nodes "
           "serve\n");
    printf("%6s %-22s %10s %12s %10s\n", "nodes", "what", "seconds", "reads",
           "peak reads/s");
    for (int scenario = 0; scenario < 3; scenario++) {
        FleetPlan p = { .nodes = 1000,
                        .zones = 20,
                        .seed = 3,
                        .gossip_ms = GOSSIP_MS,
                        .fanout = 3,
                        .versions = 32 };
        Fleet *f = fleet_new(&p);
        fleet_start_converged(f);
        unsigned n = 0;
        for (unsigned i = 0; i < 1000; i++) {
            bool restarted = scenario == 0   ? i == 7
                             : scenario == 1 ? i % 20 == 3
                                             : true;
            if (restarted) {
                fleet_restart(f, i);
                n++;
            }
        }
        double seconds = 0, reads = 0, peak = 0;
        bool all = false;
        while (!all && seconds < 60) {
            fleet_run(f, WP_US_PER_S / 4);
            seconds += 0.25;
            double r = (double)fleet_take_costs(f).store_reads;
            reads += r;
            peak = fmax(peak, r * 4);
            all = true;
            for (unsigned i = 0; i < 1000 && all; i++)
                all = wp_node_ready(fleet_node(f, i));
        }
        printf("%6u %-22s %10.2f %12.0f %10.0f\n", n,
               scenario == 0   ? "one box"
               : scenario == 1 ? "a zone of twenty"
                               : "the whole fleet",
               seconds, reads, peak);
        fleet_free(f);
    }
}

/* --- memory per object --- */

static WPConfig *config_of(unsigned rules)
{
    WPConfig *c = wp_config_new();
    Wp__Snapshot s = WP__SNAPSHOT__INIT;
    g_autoptr(GPtrArray) ops = g_ptr_array_new();
    for (unsigned i = 0; i < rules; i++) {
        Wp__Rule r = WP__RULE__INIT;
        Wp__Object o = WP__OBJECT__INIT;
        Wp__Label l = WP__LABEL__INIT, *labels[] = { &l };
        g_autofree char *name = g_strdup_printf("rule-%u", i);
        l.key = (char *)"care";
        l.value = (char *)"high";
        r.name = name;
        r.on = (char *)"version";
        r.match = (char *)"tier=strong,stage in (stable,next)";
        r.n_set = 1;
        r.set = labels;
        o.spec_case = WP__OBJECT__SPEC_RULE;
        o.rule = &r;
        g_ptr_array_add(ops, wp_op_put(&o));
    }
    s.revision = 1;
    s.n_ops = ops->len;
    s.ops = (Wp__Op **)ops->pdata;
    wp_config_apply_snapshot(c, &s);
    for (guint i = 0; i < ops->len; i++)
        wp_pb_free(ops->pdata[i]);
    return c;
}

static void memory_of_rules(void)
{
    double before = heap_bytes(), start = cpu_us();
    WPConfig *c = config_of(1000);
    WPPolicy *p = wp_policy_new(c);
    printf("%-34s %8.0f B\n", "a rule, stored and compiled",
           (heap_bytes() - before) / 1000);
    printf("%-34s %8.2f us\n", "  applying and compiling, each",
           (cpu_us() - start) / 1000);
    wp_policy_unref(p);
    wp_config_free(c);
}

static void memory_of_bills(void)
{
    WPBills *b = wp_bills_new("agent-00001", 1, 500, 100000);
    Wp__Bill bill = WP__BILL__INIT;
    WPTime now = { 0, 0 };
    bill.request_id = (char *)"01a236ad-ef4b-78dd-9e21-f6e59da3cea0";
    bill.workspace = (char *)"lake-north";
    bill.kind = (char *)"rider-answer";
    bill.version = (char *)"tagger-2";
    bill.entry = (char *)"entry-00001";
    bill.answer_tokens = 120;
    double before = heap_bytes();
    for (int i = 0; i < 4000; i++)
        wp_bills_add(b, now, &bill);
    printf("%-34s %8.0f B\n", "an unsettled bill",
           (heap_bytes() - before) / 4000);
    now.mono_us = WP_US_PER_S;
    const WPBillBatch *batch = wp_bills_next_batch(b, now, true);
    printf("%-34s %8.0f B\n", "  the same, serialized in a batch",
           (double)batch->value->len / 4000);
    wp_bills_free(b);
}

static void memory_of_keys(void)
{
    WPIdempotencyRules rules = { 600, 10000, 3000 };
    WPIdempotency *o = wp_idempotency_new(&rules);
    double before = heap_bytes();
    for (int i = 0; i < 10000; i++) {
        char key[64];
        WPTime now = { 1, 1800000000000 };
        g_snprintf(key, sizeof(key), "hall-mont/01a236ad-ef4b-78dd-9e21-%012d",
                   i);
        wp_idempotency_begin(o, now, "pings-1", key, 1800000000000, 0);
    }
    printf("%-34s %8.0f B\n", "an idempotency key",
           (heap_bytes() - before) / 10000);
    wp_idempotency_free(o);
}

static void memory_of_requests(void)
{
    double before = heap_bytes();
    enum { N = 10000 };
    g_autofree WPRequest **r = g_new0(WPRequest *, N);
    for (int i = 0; i < N; i++) {
        r[i] = g_new0(WPRequest, 1);
        r[i]->workspace = g_strdup("lake-north");
        r[i]->kind = g_strdup("rider-answer");
        r[i]->version = g_strdup("tagger-2");
        r[i]->new_session_token = g_strnfill(190, 'x');
    }
    printf("%-34s %8.0f B\n", "routing state of a request (entry)",
           (heap_bytes() - before) / N - sizeof(void *));
    for (int i = 0; i < N; i++)
        wp_request_free(r[i]);
    printf("%-34s %8zu B\n", "an endpoint's record at the entry",
           sizeof(WPEndpoint) + 64);
    printf("%-34s %8d B\n", "a session", 0);
}

static void frame_sizes(void)
{
    Wp__Frame f = WP__FRAME__INIT;
    Wp__Ping p = WP__PING__INIT;
    Wp__Load l = WP__LOAD__INIT;
    Wp__Pong pong = WP__PONG__INIT;
    f.has_revision = f.has_hlc = 1;
    f.revision = 1 << 30;
    f.hlc = 1800000000000ULL << 16;
    f.body_case = WP__FRAME__BODY_PING;
    f.ping = &p;
    p.sent_us = 1ULL << 40;
    printf("%-34s %8zu B\n", "a probe frame",
           wp__frame__get_packed_size(&f) + 4);
    l.has_service_us = 1;
    l.running = l.queued = l.slots = 8;
    l.service_us = 100000;
    f.load = &l;
    f.body_case = WP__FRAME__BODY_PONG;
    f.pong = &pong;
    pong.sent_us = p.sent_us;
    printf("%-34s %8zu B\n", "its response with the load",
           wp__frame__get_packed_size(&f) + 4);
}

int main(void)
{
    setvbuf(stdout, NULL, _IOLBF, 0);
    printf("Memory per object and sizes of frames\n");
    memory_of_rules();
    memory_of_bills();
    memory_of_keys();
    memory_of_requests();
    frame_sizes();
    table_changes();
    table_restarts();
    return 0;
}
