/* A resumed stream whose next replica spoils a digit of its status: the requester
 * gets the head of an answer in the middle of its chunked body. */
#include "../rig.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    REPLICAS = 12,
    FAULTY = 6,    /* share .5 */
    ONE_IN = 100,  /* each of two ways: x .02 together */
    CALLERS = 40,
    EVENTS = 4,
    MOST_S = 105,  /* until a stream is broken; */
    QUIET_S = 15,  /* without the disruption */
    NOTE_EACH = 20000
};

static RigBox *box;
static unsigned n_answers[REPLICAS];
static unsigned n_streams, n_whole, n_ended, n_off, n_spoiled, n_resumed, n_bad;
static volatile bool stopping;

static unsigned count(unsigned *n)
{
    return __sync_add_and_fetch(n, 1);
}

static void serve(RigCall *c)
{
    unsigned index = (unsigned)atoi(c->replica->id + 2) - 1;
    unsigned n = __sync_add_and_fetch(&n_answers[index], 1) % ONE_IN;
    const char *after = rig_field(&c->head, "Last-Event-Id");
    unsigned from = after ? (unsigned)atoi(after) : 0;
    bool faulty = rig_trouble() && index < FAULTY;
    bool spoils = faulty && n == ONE_IN / 2, breaks = faulty && !n;
    char text[1024];
    int k = snprintf(text, sizeof(text),
                     "HTTP/1.1 %s OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: "
                     "seal.%s.%s\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                     spoils ? "400" : "200", c->id, c->replica->id, c->id);
    for (unsigned i = from + 1; i <= EVENTS && (!breaks || i <= 2); i++) {
        char event[64];
        int m = snprintf(event, sizeof(event), "id: %u\ndata: piece %u\n\n", i,
                         i);
        k += snprintf(text + k, sizeof(text) - (size_t)k, "%x\r\n%s\r\n", m,
                      event);
    }
    if (!breaks)
        k += snprintf(text + k, sizeof(text) - (size_t)k, "0\r\n\r\n");
    rig_send(c->fd, text, (size_t)k);
    if (spoils)
        count(&n_spoiled);
    if (from)
        count(&n_resumed);
    if (from && spoils)
        rig_note("replica %s goes on with %s after event %u, and spoils a digit "
                 "of its status: 400",
                 c->replica->id, c->id, from);
    if (breaks)
        count(&n_off);
    c->close = breaks;
}

static void *run_caller(void *arg)
{
    int fd = -1;
    (void)arg;
    while (!stopping) {
        RigAnswer a;
        if (fd < 0)
            fd = rig_connect(box->port, 0);
        rig_request(&a, fd, "POST", "/chat/", "X-Deadline-Ms: 5000\r\n", "{}");
        rig_read_raw(&a, rig_ms() + 6000);
        unsigned n = count(&n_streams);
        if (n % NOTE_EACH == 0)
            rig_note("%u streams asked for, %u whole, %u not complete; by "
                     "replicas: %u broken off, %u spoiled, %u resumed",
                     n, n_whole, n_ended, n_off, n_spoiled, n_resumed);
        if (a.status == 200 && a.complete)
            count(&n_whole);
        else if (a.status != 400)
            count(&n_ended);
        if (a.bad_chunk) {
            count(&n_bad);
            stopping = true;
            rig_note("requester: in the body of the answer to %s, status %d, "
                     "comes in place of a chunk's size: \"%s\"",
                     a.id, a.status, a.body);
        }
        if (a.closed || !a.complete) {
            close(fd);
            fd = -1;
        }
    }
    if (fd >= 0)
        close(fd);
    return NULL;
}

int main(int argc, char **argv)
{
    pthread_t callers[CALLERS];
    rig_init(argc > 1 ? argv[1] : "record.txt", 118);
    rig_start_store();
    rig_write_config(1,
                     "{\"name\":\"r1\",\"host\":\"app.example\",\"prefix\":"
                     "\"/chat/\",\"service\":\"llm\",\"kind\":\"streaming\","
                     "\"resumable\":true,\"timeoutMs\":5000,"
                     "\"targetLatencyMs\":2000,\"maxAttempts\":3,"
                     "\"priority\":1}",
                     "{\"name\":\"llm\",\"maxConnections\":230}", NULL);
    rig_set_slots(4);
    for (unsigned i = 0; i < REPLICAS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%u", i + 1);
        rig_start_replica(id, "llm", "v1", serve);
    }
    box = rig_start_box("log_level: warn\n");
    rig_wait_ready(box);
    rig_sleep_ms(500);
    rig_note_each(false);
    int64_t until_ms = rig_ms() + (rig_trouble() ? MOST_S : QUIET_S) * 1000;
    for (unsigned i = 0; i < CALLERS; i++)
        pthread_create(&callers[i], NULL, run_caller, NULL);
    while (!stopping && rig_ms() < until_ms)
        rig_sleep_ms(50);
    stopping = true;
    for (unsigned i = 0; i < CALLERS; i++)
        pthread_join(callers[i], NULL);
    rig_note("%u streams asked for, %u whole, %u not complete; by replicas: %u "
             "broken off, %u spoiled, %u resumed; %u requesters got a status "
             "inside a stream",
             n_streams, n_whole, n_ended, n_off, n_spoiled, n_resumed, n_bad);
    rig_exit(n_bad ? RIG_BROKEN : RIG_HELD);
}
