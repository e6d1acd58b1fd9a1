/* Spoiled heads of a replica's answers reach requesters as successes that are no
 * answers in the protocol. */
#include "../rig.h"

#include <ctype.h>
#include <signal.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    REPLICAS = 4,
    CALLERS = 8,
    FAULTY = 2,       /* share .5 */
    ONE_IN = 50,      /* of the answers of those, x .02 */
    REQUESTS = 800
};

static RigBox *box;
static unsigned n_answers[REPLICAS], n_spoiled;

/* The answer in one chunk, with the head as a faulty replica spoils it. */
static void spoil(RigCall *c, unsigned n)
{
    char text[1024];
    const char *line = n % 2 ? "HTTP/1.1 20 OK" : "HTTP/1.1 200 OK";
    const char *field = n % 2 ? "Transfer-Encoding" : "Transfer-Encoding ";
    int k = snprintf(text, sizeof(text),
                     "%s\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal.%s.%s\r\n"
                     "%s: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                     line, c->id, c->replica->id, c->id, field);
    rig_note("replica %s spoils its answer to %s: \"%s\", \"%s: chunked\"",
             c->replica->id, c->id, line, field);
    rig_send(c->fd, text, (size_t)k);
}

static void serve(RigCall *c)
{
    unsigned index = (unsigned)atoi(c->replica->id + 2) - 1;
    unsigned n = __sync_add_and_fetch(&n_answers[index], 1);
    if (rig_trouble() && index < FAULTY && n % ONE_IN == 0)
        spoil(c, __sync_fetch_and_add(&n_spoiled, 1));
    else
        rig_reply(c, 200, "", "hello");
}

/* Why the head is none of HTTP/1.1; NULL: it is one. */
static const char *malformed(const RigHead *h)
{
    static const char token[] = "!#$%&'*+-.^_`|~";
    const char *p = h->text;
    bool length = false, encoding = false;
    if (strncmp(p, "HTTP/1.1 ", 9) || !isdigit((unsigned char)p[9]) ||
        !isdigit((unsigned char)p[10]) || !isdigit((unsigned char)p[11]) ||
        p[12] != ' ' || p[9] < '1' || p[9] > '5')
        return "the status line has no status of three digits";
    for (p = strstr(p, "\r\n") + 2; strncmp(p, "\r\n", 2);
         p = strstr(p, "\r\n") + 2) {
        size_t n = 0;
        while (isalnum((unsigned char)p[n]) || (p[n] && strchr(token, p[n])))
            n++;
        length |= n == 14 && !strncasecmp(p, "Content-Length", n);
        encoding |= n == 17 && !strncasecmp(p, "Transfer-Encoding", n);
        if (!n || p[n] != ':')
            return "a field name is not followed by its colon";
    }
    return length && encoding ? "two framings" : NULL;
}

static unsigned bad, whole;

/* A requester: one request after the other on a kept channel. */
static void *run_caller(void *arg)
{
    int fd = -1;
    (void)arg;
    for (unsigned i = 0; i < REQUESTS / CALLERS; i++) {
        RigAnswer a;
        if (fd < 0)
            fd = rig_connect(box->port, 0);
        rig_request(&a, fd, "GET", "/call/", "X-Deadline-Ms: 4000\r\n", "");
        rig_read(&a, rig_ms() + 5000, 0, 0);
        rig_note_answer("requester", &a);
        const char *why = a.status ? malformed(&a.head) : "no answer";
        const char *seal = rig_field(&a.head, "X-Replica-Seal");
        if (!why && a.status == 200 && a.complete)
            __sync_add_and_fetch(&whole, 1);
        if (why && a.status && a.status < 300 && seal) {
            __sync_add_and_fetch(&bad, 1);
            rig_note("requester: the answer to %s is no answer: %s; it begins:",
                     a.id, why);
            for (const char *p = a.head.text; *p && *p != '\r';) {
                const char *end = strstr(p, "\r\n");
                rig_note("    %.*s", (int)(end - p), p);
                p = end + 2;
            }
        }
        if (why || a.closed || !a.complete) {
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
                     "\"/call/\",\"service\":\"app\",\"kind\":\"safe\","
                     "\"timeoutMs\":2000,\"targetLatencyMs\":300,"
                     "\"maxAttempts\":2,\"priority\":2}",
                     "{\"name\":\"app\",\"maxConnections\":96}", NULL);
    for (unsigned i = 0; i < REPLICAS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%u", i + 1);
        rig_start_replica(id, "app", "v1", serve);
    }
    box = rig_start_box("");
    rig_wait_ready(box);
    rig_sleep_ms(500);
    for (unsigned i = 0; i < CALLERS; i++)
        pthread_create(&callers[i], NULL, run_caller, NULL);
    for (unsigned i = 0; i < CALLERS; i++)
        pthread_join(callers[i], NULL);
    rig_note("%u of %d requests got whole answers; %u answers were spoiled; %u "
             "requesters got a success that is no answer",
             whole, REQUESTS, n_spoiled, bad);
    rig_exit(bad ? RIG_BROKEN : RIG_HELD);
}
