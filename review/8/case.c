/* While two services move to new versions at once, sessions that are on the new
 * version of one are sent back to its old version by the other box. */
#include "../rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { SESSIONS = 600, DURATION_S = 24, SESSION_MS = 5000 };

static RigBox *boxes[2];

static void serve(RigCall *c)
{
    if (strncmp(c->head.target, "/chat/", 6)) {
        rig_reply(c, 200, "", c->replica->version);
        return;
    }
    rig_begin_stream(c);
    char text[128], chunk[256];
    int n = snprintf(text, sizeof(text), "id: 1\ndata: %s\n\n",
                     c->replica->version);
    int k = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", n, text);
    rig_send(c->fd, chunk, (size_t)k);
    rig_end_stream(c);
}

/* Sends a request of a session; returns 1 or 2, the version that served it; 0:
   none. */
static int ask(unsigned box, unsigned session, int64_t *ended_ms)
{
    static int fds[2] = { -1, -1 };
    RigAnswer a;
    char fields[256];
    if (fds[box] < 0)
        fds[box] = rig_connect(boxes[box]->port, 0);
    snprintf(fields, sizeof(fields),
             "Session: session-%u\r\nX-Model: m0\r\nX-Token-Count: 100,20\r\n"
             "X-Prompt-Prefix: 5c1e07a2:60,%x:40\r\nX-Deadline-Ms: 5000\r\n",
             session, session + 1);
    rig_request(&a, fds[box], "POST", "/chat/", fields, "{}");
    rig_read(&a, rig_ms() + 6000, 0, 0);
    *ended_ms = a.ended_ms;
    if (a.closed || !a.complete) {
        close(fds[box]);
        fds[box] = -1;
    }
    int version = strstr(a.body, "data: v2") ? 2 : strstr(a.body, "data: v1") != NULL;
    rig_note("session %u at box %u: request %s, status %d, version v%d",
             session, box + 1, a.id, a.status, version);
    return a.status == 200 && a.complete ? version : 0;
}

static void order(const char *service, const char *version)
{
    rig_note("operator orders that %s moves to %s within %d s", service,
             version, DURATION_S);
    rig_control_store("{\"put\":{\"key\":\"op/rollout/%s\",\"value\":{"
                      "\"service\":\"%s\",\"targetVersion\":\"%s\","
                      "\"durationS\":%d}}}",
                      service, service, version, DURATION_S);
}

int main(int argc, char **argv)
{
    const char *llm = argc > 2 ? argv[2] : "llm";
    const char *app = argc > 3 ? argv[3] : "app";
    unsigned moved = 0, back = 0;
    char text[2048], services[1024];
    rig_init(argc > 1 ? argv[1] : "record.txt", 110);
    rig_start_store();
    snprintf(text, sizeof(text),
             "{\"name\":\"r1\",\"host\":\"app.example\",\"prefix\":\"/chat/\","
             "\"service\":\"%s\",\"kind\":\"streaming\",\"resumable\":true,"
             "\"sticky\":true,\"timeoutMs\":5000,\"targetLatencyMs\":2000,"
             "\"maxAttempts\":3,\"priority\":1},"
             "{\"name\":\"r2\",\"host\":\"app.example\",\"prefix\":\"/call/\","
             "\"service\":\"%s\",\"kind\":\"safe\",\"timeoutMs\":4000,"
             "\"targetLatencyMs\":300,\"maxAttempts\":2,\"priority\":2}",
             llm, app);
    snprintf(services, sizeof(services),
             "{\"name\":\"%s\",\"maxConnections\":230,\"engine\":{\"slots\":64,"
             "\"kvTokens\":700000,\"models\":[{\"name\":\"m0\",\"cost\":0.1}]}}"
             ",{\"name\":\"%s\",\"maxConnections\":96}",
             llm, app);
    rig_write_config(1, text, services, NULL);
    for (unsigned i = 0; i < 3; i++) {
        snprintf(text, sizeof(text), "i-l%u", i);
        rig_start_replica(text, llm, "v1", serve);
        snprintf(text, sizeof(text), "i-a%u", i);
        rig_start_replica(text, app, "w1", serve);
    }
    boxes[0] = rig_start_box("");
    boxes[1] = rig_start_box("");
    rig_wait_ready(boxes[0]);
    rig_wait_ready(boxes[1]);
    rig_sleep_ms(3000);
    order(llm, "v2");
    if (rig_trouble())
        order(app, "w2");
    int64_t ordered_ms = rig_ms();
    for (unsigned i = 0; i < 3; i++) {
        snprintf(text, sizeof(text), "i-m%u", i);
        rig_start_replica(text, llm, "v2", serve);
        snprintf(text, sizeof(text), "i-b%u", i);
        rig_start_replica(text, app, "w2", serve);
    }
    rig_sleep_ms(2500);
    /* In the first half of the roll-outs. */
    static int64_t ended[SESSIONS];
    static bool on_new[SESSIONS];
    for (unsigned i = 0; i < SESSIONS; i++) {
        on_new[i] = ask(0, i, &ended[i]) == 2;
        moved += on_new[i];
        rig_sleep_ms(3);
    }
    rig_sleep_ms(800);
    for (unsigned i = 0; i < SESSIONS; i++) {
        int64_t now;
        if (!on_new[i] || rig_ms() - ended[i] > SESSION_MS - 500)
            continue;
        if (ask(1, i, &now) == 1)
            back++;
    }
    if (rig_ms() - ordered_ms > DURATION_S * 1000 / 2)
        rig_die("too late: the first half is over");
    rig_note("%u sessions were on the new version, %u of them went back", moved,
             back);
    rig_exit(back > 3 ? RIG_BROKEN : RIG_HELD);
}
