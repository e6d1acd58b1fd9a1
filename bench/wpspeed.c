/* wpspeed: measures the overhead of entry and agent with real processes on
 * loopback: latency compared with calling the endpoint directly, tokens
 * relayed per second and CPU core, and memory with many open streams. */
#include "site.h"
#include "wp_pb.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define LATENCY_RATE 2000
#define LATENCY_S 5
#define STREAMS 300
#define STREAM_TOKENS 400
#define OPEN_STREAMS 5000

/* CPU seconds that the process has used. */
static double cpu_s(const Proc *p)
{
    g_autofree char *file = g_strdup_printf("/proc/%d/stat", p->pid);
    g_autofree char *text = NULL;
    unsigned long user = 0, system = 0;
    if (!g_file_get_contents(file, &text, NULL, NULL))
        return 0;
    const char *at = strrchr(text, ')');
    sscanf(at + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
           &system);
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

/* Resident memory of the process in MB. */
static double resident_mb(const Proc *p)
{
    g_autofree char *file = g_strdup_printf("/proc/%d/status", p->pid);
    g_autofree char *text = NULL;
    g_file_get_contents(file, &text, NULL, NULL);
    const char *rss = text ? strstr(text, "VmRSS:") : NULL;
    return rss ? strtod(rss + 6, NULL) / 1024 : 0;
}

/* Starts a site of one entry, one engine agent and one service agent; ends the
   process if it does not come up. */
static Site *start(unsigned slots, unsigned step_us)
{
    static Wp__Scenario plan;
    const char *bin = g_getenv("WP_BIN") ? g_getenv("WP_BIN") : "build";
    wp__scenario__init(&plan);
    plan.name = (char *)"speed";
    plan.entries = 1;
    plan.agents = 2;
    plan.slots = slots;
    plan.step_us = step_us;
    Site *s = site_new(&plan, bin, NULL);
    if (!site_start_all(s)) {
        fprintf(stderr, "%s\n", s->error_text->str);
        exit(1);
    }
    return s;
}

/* Sends requests of this item to a port of 127.0.0.1, and waits until all have
   ended. */
static Load *run(Site *s, Wp__MixItem *item, double rate, double seconds,
                 uint16_t port)
{
    static Wp__Mix mix;
    static Wp__MixItem *items[1];
    g_autofree char *target = g_strdup_printf("127.0.0.1:%u", port);
    char *targets[] = { target };
    wp__mix__init(&mix);
    items[0] = item;
    mix.rate = rate;
    mix.seconds = seconds;
    mix.items = items;
    mix.n_items = 1;
    Load *l = load_new(s->base, &mix, targets, 1, NULL, NULL);
    load_start(l);
    while (!load_done(l))
        site_run_loop(s, 10);
    return l;
}

static Wp__MixItem service_item(void)
{
    Wp__MixItem i = WP__MIX_ITEM__INIT;
    i.workspace = (char *)"hall-nord";
    i.key = (char *)"key-hall-nord";
    i.kind = (char *)"rates";
    i.service = (char *)"rates";
    i.stream = 0;
    i.prompt_words = 10;
    return i;
}

static void latency(void)
{
    Site *s = start(512, 2000);
    Wp__MixItem item = service_item();
    const Proc *e = site_proc(s, "e1"), *a = site_proc(s, "a2");
    double p50[2], p99[2], entry = 0, agent = 0;
    for (int through = 0; through < 2; through++) {
        entry = cpu_s(e);
        agent = cpu_s(a);
        Load *l = run(s, &item, LATENCY_RATE, LATENCY_S,
                      site_proc(s, through ? "e1" : "x2")->port);
        const LoadResult *r = load_result(l);
        p50[through] = sample_quantile(r->complete_ms, 0.5);
        p99[through] = sample_quantile(r->complete_ms, 0.99);
        printf("%-9s %lu of %lu answered, p50 %.3f ms, p99 %.3f ms\n",
               through ? "through:" : "direct:", (unsigned long)r->ok,
               (unsigned long)r->sent, p50[through], p99[through]);
        load_free(l);
    }
    double n = LATENCY_RATE * LATENCY_S;
    printf("added:    p50 %.3f ms (%.2f times), p99 %.3f ms (%.2f times); "
           "entry %.0f us, agent %.0f us of CPU per request\n",
           p50[1] - p50[0], p50[1] / p50[0], p99[1] - p99[0], p99[1] / p99[0],
           (cpu_s(e) - entry) / n * 1e6, (cpu_s(a) - agent) / n * 1e6);
    site_free(s);
}

static Wp__MixItem plan_item(unsigned tokens)
{
    Wp__MixItem i = WP__MIX_ITEM__INIT;
    i.workspace = (char *)"lake-north";
    i.key = (char *)"key-lake-north";
    i.kind = (char *)"plan";
    i.answer_tokens = tokens;
    i.prompt_words = 10;
    i.deadline_ms = 120000;
    return i;
}

static void tokens(void)
{
    Site *s = start(2 * STREAMS, 2000);
    Wp__MixItem item = plan_item(STREAM_TOKENS);
    const Proc *e = site_proc(s, "e1"), *a = site_proc(s, "a1");
    double entry = cpu_s(e), agent = cpu_s(a);
    int64_t begin = g_get_monotonic_time();
    Load *l = run(s, &item, STREAMS * 4, 0.25, e->port);
    double seconds = (double)(g_get_monotonic_time() - begin) / WP_US_PER_S;
    entry = cpu_s(e) - entry;
    agent = cpu_s(a) - agent;
    double n = (double)load_result(l)->ok * STREAM_TOKENS;
    printf("%lu streams of %d tokens at once: %.0f tokens/s; entry %.0f "
           "tokens/s per core, agent %.0f\n",
           (unsigned long)load_result(l)->ok, STREAM_TOKENS, n / seconds,
           n / entry, n / agent);
    load_free(l);
    site_free(s);
}

static void memory(void)
{
    Site *s = start(2 * OPEN_STREAMS, 400000);
    Wp__MixItem item = plan_item(60);
    Wp__Mix mix = WP__MIX__INIT;
    Wp__MixItem *items[] = { &item };
    const Proc *e = site_proc(s, "e1"), *a = site_proc(s, "a1");
    g_autofree char *target = g_strdup_printf("127.0.0.1:%u", e->port);
    char *targets[] = { target };
    double entry = resident_mb(e), agent = resident_mb(a);
    mix.rate = 2500;
    mix.seconds = (double)OPEN_STREAMS / 2500;
    mix.items = items;
    mix.n_items = 1;
    Load *l = load_new(s->base, &mix, targets, 1, NULL, NULL);
    load_start(l);
    int open = 0;
    for (int i = 0; i < 300 && open < OPEN_STREAMS * 9 / 10; i++) {
        site_run_loop(s, 50);
        json_t *j = site_fetch(s, e->admin_port, "/v1/status", NULL);
        open = (int)json_integer_value(json_object_get(j, "requests"));
        json_decref(j);
    }
    printf("%d open streams: entry %.1f MB (%.1f before), agent %.1f MB (%.1f "
           "before)\n",
           open, resident_mb(e), entry, resident_mb(a), agent);
    load_stop(l);
    load_free(l);
    site_free(s);
}

int main(void)
{
    setvbuf(stdout, NULL, _IOLBF, 0);
    printf("\nOverhead of entry and agent, real processes, %d requests/s of a "
           "plain service\n",
           LATENCY_RATE);
    latency();
    tokens();
    memory();
    return 0;
}
