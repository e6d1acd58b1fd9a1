/* Callers of wpentry, and clients of each port of wpentry and wpagent, that do
 * not behave: the process lives, stays within the memory of its machine and its
 * descriptors, and an ordinary request is answered beside them. */
#include "crowd.h"
#include "site.h"
#include "test.h"

#include <signal.h>

enum {
    MEMORY_MB = 256,   /* of a process's machine */
    DESCRIPTORS = 256, /* of processes where these run out */
    KB = 1 << 10
};

#define CALLER "Host: x\r\nAuthorization: Bearer key-lake-north\r\n"
#define CHAT "POST /v1/chat/completions HTTP/1.1\r\n" CALLER
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define ORDINARY                                                               \
    "POST /v1/chat/completions HTTP/1.1\r\nX-Wp-Kind: rider-answer\r\n" CALLER \
    "Connection: close\r\nContent-Length: 75\r\n\r\n"                          \
    "{\"model\":\"auto\",\"max_tokens\":3,"                                    \
    "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}"

static Site *site;
static Crowd *crowd;

static Proc *proc(const char *name)
{
    return site_proc(site, name);
}

static void open_site(void)
{
    static Wp__Scenario plan = WP__SCENARIO__INIT;
    const char *bin = g_getenv("WP_BIN") ? g_getenv("WP_BIN") : "build";
    plan.name = (char *)"unruly";
    plan.entries = 1;
    plan.agents = 2;
    site = site_new(&plan, bin, NULL);
    if (!site_start_all(site))
        fail_msg("%s", site->error_text->str);
}

static void check_process(const char *name)
{
    assert_true(crowd_is_alive(proc(name)->pid));
#ifndef __SANITIZE_ADDRESS__
    long kb = crowd_peak_kb(proc(name)->pid);
    print_message("%s: %ld KB\n", name, kb);
    if (!kb || kb > MEMORY_MB * KB)
        fail_msg("%s: %ld KB of %d KB", name, kb, MEMORY_MB * KB);
#endif
}

/* What must hold beside any crowd. Sanitizers keep freed memory, so that they
   do not show what a process holds. */
static void check_site(void)
{
    if (!crowd_is_served(proc("e1")->port, wp_str(ORDINARY), "HTTP/1.1 200 "))
        fail_msg("an ordinary request is not answered");
    check_process("e1");
    check_process("a1");
}

/* Also after a test that has failed. */
static int close_site(void **state)
{
    (void)state;
    crowd_free(crowd);
    crowd = NULL;
    site_free(site);
    return 0;
}

static void play(const CrowdPlan *plan)
{
    crowd = crowd_new(plan);
    check_site();
    crowd_free(g_steal_pointer(&crowd));
    check_site();
}

static void bodies_cut_short_exceed_the_memory(void **state)
{
    (void)state;
    open_site();
    play(&(CrowdPlan){ .port = proc("e1")->port,
                       .connections = 300,
                       .head = wp_str(CHAT CHUNKED "fffff\r\n"),
                       .fill_bytes = 1000 * KB });
}

static void bodies_without_a_key_exceed_the_memory(void **state)
{
    (void)state;
    open_site();
    play(&(CrowdPlan){ .port = proc("e1")->port,
                       .connections = 300,
                       .head = wp_str("POST /v1/services/x HTTP/1.1\r\n"
                                      "Host: x\r\nContent-Length: 1048576\r\n"
                                      "\r\n"),
                       .fill_bytes = 1000 * KB });
}

static void answers_to_requests_ahead_exceed_the_memory(void **state)
{
    (void)state;
    open_site();
    play(&(CrowdPlan){ .port = proc("e1")->port,
                       .connections = 100,
                       .unit = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
                       .repeats = 80000,
                       .rounds = 300 });
}

/* Guards against a planned stop that lasts as long as it may, as clients have
   stopped reading their answers. */
static void a_stop_waits_for_answers_that_nobody_reads(void **state)
{
    enum { POLLS = 150, POLL_MS = 100 }; /* a quarter of drain_s */
    (void)state;
    open_site();
    crowd = crowd_new(
        &(CrowdPlan){ .port = proc("e1")->port,
                      .connections = 60,
                      .unit = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
                      .repeats = 2000 });
    site_signal(proc("e1"), SIGTERM);
    bool ended = false;
    for (unsigned i = 0; i < POLLS && !ended; i++) {
        site_run_loop(site, POLL_MS);
        ended = site_process_exited(proc("e1"));
    }
    assert_true(ended);
}

/* Each value of an array takes some tens of bytes more when it is parsed. */
static void parsed_bodies_exceed_the_memory(void **state)
{
    g_autoptr(GString) body = g_string_new(
        "{\"model\":\"plan\",\"stream\":true,\"max_tokens\":5000,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"long\"}],\"x\":[[]");
    (void)state;
    while (body->len < 1000 * KB)
        g_string_append(body, ",[]");
    g_string_append(body, "]}");
    g_autofree char *text = g_strdup_printf(
        CHAT "Content-Length: %zu\r\n\r\n%s", body->len, body->str);
    open_site();
    play(&(CrowdPlan){ .port = proc("e1")->port,
                       .connections = 60,
                       .head = wp_str(text),
                       .rounds = 300 });
}

static void play_bodies_at_admin_port(const char *name)
{
    open_site();
    play(&(CrowdPlan){
        .port = proc(name)->admin_port,
        .connections = 300,
        .head = wp_str("POST /v1/status HTTP/1.1\r\nHost: x\r\n" CHUNKED
                       "fffff\r\n"),
        .fill_bytes = 1000 * KB });
}

static void bodies_at_the_entrys_admin_port_exceed_the_memory(void **state)
{
    (void)state;
    play_bodies_at_admin_port("e1");
}

static void bodies_at_the_agents_admin_port_exceed_the_memory(void **state)
{
    (void)state;
    play_bodies_at_admin_port("a1");
}

static void play_unread_pages(const char *name)
{
    open_site();
    play(&(CrowdPlan){ .port = proc(name)->admin_port,
                       .connections = 100,
                       .unit = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
                       .repeats = 80000,
                       .rounds = 300 });
}

static void unread_pages_of_the_entry_exceed_the_memory(void **state)
{
    (void)state;
    play_unread_pages("e1");
}

static void unread_pages_of_the_agent_exceed_the_memory(void **state)
{
    (void)state;
    play_unread_pages("a1");
}

static void play_frames(const char *name)
{
    open_site();
    play(&(CrowdPlan){ .port = proc(name)->peer_port,
                       .connections = 60,
                       .head = wp_strn("\x00\x79\x00\x00", 4),
                       .fill_bytes = 7000 * KB });
}

static void frames_to_the_entry_before_a_hello_exceed_the_memory(void **state)
{
    (void)state;
    play_frames("e1");
}

static void frames_to_the_agent_before_a_hello_exceed_the_memory(void **state)
{
    (void)state;
    play_frames("a1");
}

/* Plays a crowd of idle connections against processes with few descriptors. */
static void play_idle(const char *name, size_t port)
{
    unsigned before = crowd_limit_descriptors(DESCRIPTORS);
    open_site();
    crowd_limit_descriptors(before);
    Proc *p = proc(name);
    crowd = crowd_new(&(CrowdPlan){ .port = G_STRUCT_MEMBER(uint16_t, p, port),
                                    .connections = 400 });
    check_site();
    assert_in_range(crowd_descriptors(p->pid), 1, DESCRIPTORS - 1);
    crowd_free(g_steal_pointer(&crowd));
    check_site();
}

static void idle_callers_take_all_descriptors(void **state)
{
    (void)state;
    play_idle("e1", offsetof(Proc, port));
}

static void idle_peers_take_all_descriptors(void **state)
{
    (void)state;
    play_idle("e1", offsetof(Proc, peer_port));
}

static void idle_peers_of_the_agent_take_all_descriptors(void **state)
{
    (void)state;
    play_idle("a1", offsetof(Proc, peer_port));
}

static void idle_readers_of_pages_take_all_descriptors(void **state)
{
    (void)state;
    play_idle("e1", offsetof(Proc, admin_port));
}

static void idle_readers_of_the_agent_take_all_descriptors(void **state)
{
    (void)state;
    play_idle("a1", offsetof(Proc, admin_port));
}

#define U(name) cmocka_unit_test_teardown(name, close_site)

TESTS_MAIN(U(bodies_cut_short_exceed_the_memory),
           U(bodies_without_a_key_exceed_the_memory),
           U(answers_to_requests_ahead_exceed_the_memory),
           U(a_stop_waits_for_answers_that_nobody_reads),
           U(parsed_bodies_exceed_the_memory),
           U(bodies_at_the_entrys_admin_port_exceed_the_memory),
           U(bodies_at_the_agents_admin_port_exceed_the_memory),
           U(unread_pages_of_the_entry_exceed_the_memory),
           U(unread_pages_of_the_agent_exceed_the_memory),
           U(frames_to_the_entry_before_a_hello_exceed_the_memory),
           U(frames_to_the_agent_before_a_hello_exceed_the_memory),
           U(idle_callers_take_all_descriptors),
           U(idle_peers_take_all_descriptors),
           U(idle_peers_of_the_agent_take_all_descriptors),
           U(idle_readers_of_pages_take_all_descriptors),
           U(idle_readers_of_the_agent_take_all_descriptors))
