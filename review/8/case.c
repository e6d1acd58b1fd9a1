/* A spoiled event makes a requester get a piece of its stream twice. */
#include "../rig.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    REPLICAS = 4,
    CALLERS = 8,
    FAULTY = 2,  /* share .5 */
    ONE_IN = 50, /* of the answers of those, x .02 */
    EVENTS = 12,
    SPOILED = 7, /* the event whose bytes are wrong */
    REQUESTS = 800
};

static RigBox *box;
static unsigned n_answers[REPLICAS], n_spoiled;

/* One event in a chunk of its own; `name` is "id" unless it is spoiled. */
static void send_event(RigCall *c, const char *name, unsigned i)
{
    char text[256], chunk[512];
    int n = snprintf(text, sizeof(text), "%s: %u\ndata: piece %u%s\n\n", name,
                     i, i, i == EVENTS ? " last" : "");
    int k = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", n, text);
    rig_send(c->fd, chunk, (size_t)k);
}

static void serve(RigCall *c)
{
    unsigned index = (unsigned)atoi(c->replica->id + 2) - 1;
    unsigned n = __sync_add_and_fetch(&n_answers[index], 1);
    const char *after = rig_field(&c->head, "Last-Event-Id");
    unsigned from = after ? (unsigned)atoi(after) : 0;
    bool spoils = rig_trouble() && index < FAULTY && n % ONE_IN == 0 && !from;
    if (spoils) {
        __sync_add_and_fetch(&n_spoiled, 1);
        rig_note("replica %s spoils a byte of event %d of its answer to %s",
                 c->replica->id, SPOILED, c->id);
    }
    if (from)
        rig_note("replica %s goes on with %s after event %u", c->replica->id,
                 c->id, from);
    rig_begin_stream(c);
    for (unsigned i = from + 1; i <= EVENTS; i++)
        send_event(c, spoils && i == SPOILED ? "hd" : "id", i);
    rig_end_stream(c);
}

static unsigned repeated, whole;

/* A requester: one request after the other on a kept channel. */
static void *run_caller(void *arg)
{
    int fd = -1;
    (void)arg;
    for (unsigned i = 0; i < REQUESTS / CALLERS; i++) {
        RigAnswer a;
        unsigned next = 1, twice = 0;
        if (fd < 0)
            fd = rig_connect(box->port, 0);
        rig_request(&a, fd, "POST", "/chat/", "X-Deadline-Ms: 5000\r\n", "{}");
        rig_read(&a, rig_ms() + 6000, 0, 0);
        rig_note_answer("requester", &a);
        for (const char *p = a.body; (p = strstr(p, "data: piece ")); p++) {
            unsigned piece = (unsigned)atoi(p + 12);
            if (piece < next)
                twice = piece;
            else
                next = piece + 1;
        }
        if (a.status == 200 && a.complete && next == EVENTS + 1 && !twice)
            __sync_add_and_fetch(&whole, 1);
        if (a.status == 200 && a.complete && twice) {
            __sync_add_and_fetch(&repeated, 1);
            rig_note("requester: the stream of %s, complete, has piece %u "
                     "twice:",
                     a.id, twice);
            for (char *p = a.body; *p; p++)
                *p = *p == '\n' ? '|' : *p;
            rig_note("    %s", a.body);
        }
        if (a.closed || !a.complete) {
            close(fd);
            fd = -1;
        }
    }
    return NULL;
}

int main(int argc, char **argv)
{
    pthread_t callers[CALLERS];
    rig_init(argc > 1 ? argv[1] : "record.txt", 110);
    rig_start_store();
    rig_write_config(1,
                     "{\"name\":\"r1\",\"host\":\"app.example\",\"prefix\":"
                     "\"/chat/\",\"service\":\"llm\",\"kind\":\"streaming\","
                     "\"resumable\":true,\"timeoutMs\":5000,"
                     "\"targetLatencyMs\":2000,\"maxAttempts\":3,"
                     "\"priority\":1}",
                     "{\"name\":\"llm\",\"maxConnections\":230}", NULL);
    for (unsigned i = 0; i < REPLICAS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%u", i + 1);
        rig_start_replica(id, "llm", "v1", serve);
    }
    box = rig_start_box("");
    rig_wait_ready(box);
    rig_sleep_ms(500);
    for (unsigned i = 0; i < CALLERS; i++)
        pthread_create(&callers[i], NULL, run_caller, NULL);
    for (unsigned i = 0; i < CALLERS; i++)
        pthread_join(callers[i], NULL);
    rig_note("%u of %d streams were whole; %u were spoiled; %u had a piece "
             "twice",
             whole, REQUESTS, n_spoiled, repeated);
    rig_exit(repeated ? RIG_BROKEN : RIG_HELD);
}
