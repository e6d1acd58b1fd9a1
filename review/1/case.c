#define _GNU_SOURCE /* memmem */
/* UNASKED: a request inside the chunked body of another one is run.
 *
 * Each requester sends one request, whose chunked body holds the text of
 * another request. The quoted value of a chunk extension contains a bare CR in
 * the disruption, a space without it. */
#include "lab.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

enum { REQUESTS = 5, ID_MAX = 64, RUNS_MAX = 64 };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct {
    char id[ID_MAX];
    char replica[ID_MAX];
} runs[RUNS_MAX];
static unsigned n_runs;

static bool run(const LabRequest *r)
{
    if (strncmp(r->id, "start-", 6)) {
        lab_record("replica %s runs id=%s: %s, body of %zu bytes, %s the text "
                   "of the inner request",
                   r->replica, r->id, r->line, r->body_bytes,
                   memmem(r->body, r->body_bytes, "X-Attempt-Id: inner", 19)
                       ? "with"
                       : "without");
        pthread_mutex_lock(&lock);
        if (n_runs < RUNS_MAX) {
            snprintf(runs[n_runs].id, ID_MAX, "%s", r->id);
            snprintf(runs[n_runs++].replica, ID_MAX, "%s", r->replica);
        }
        pthread_mutex_unlock(&lock);
    }
    return lab_reply(r, "done", 4);
}

/* Writes the chunked body. By RFC 9112 (2.2) a bare CR makes the element
   invalid, or is read as a space: the extension then ends at the first CRLF,
   and `inner` is the chunk's data. A parser that ends the line at the bare CR
   sees a chunk of filler, the last chunk, and then `inner` as a request. */
static size_t chunked_body(char *out, size_t size, const char *inner,
                           bool trouble)
{
    char filler[1024];
    size_t n = strlen(inner) + 2;
    memset(filler, 'f', n);
    filler[n] = '\0';
    return (size_t)snprintf(out, size,
                            "%zx;a=\"%cX%s--0;\"\r\n\r\n%s\r\n0\r\n\r\n", n,
                            trouble ? '\r' : ' ', filler, inner);
}

static void send_one(unsigned i)
{
    char inner[512], body[2048], head[1024], id[ID_MAX], inner_id[ID_MAX];
    snprintf(id, sizeof(id), "outer-%u", i);
    snprintf(inner_id, sizeof(inner_id), "inner-%u", i);
    lab_head(inner, sizeof(inner), "POST", "/once/inner", inner_id, 2000,
             "Content-Length: 0\r\n");
    size_t n = lab_head(head, sizeof(head), "POST", "/once/outer", id, 2000,
                        "Transfer-Encoding: chunked\r\n");
    size_t k = chunked_body(body, sizeof(body), inner, lab_has_trouble());
    int fd = lab_dial(0, 0);
    lab_record("requester sends id=%s: one request, chunked body with the text "
               "of id=%s",
               id, inner_id);
    if (fd < 0 || !lab_send(fd, head, n) || !lab_send(fd, body, k))
        lab_finish(LAB_CANNOT_RUN, "the machine takes no channel");
    /* No answer counts as one too: the channel may be closed. */
    LabAnswer a = lab_read_answer(fd, 0, 0, lab_now_s() + 2.5);
    lab_record("requester gets for id=%s: status %d", id, a.status);
    lab_sleep_s(0.3); /* for what may follow on the channel */
}

int main(int argc, char **argv)
{
    static const LabSite site = {
        .memory_mb = 110,
        .grace_s = 8,
        .contact_ms = 3000,
        .routes = "[{\"name\":\"r1\",\"host\":\"review.example\",\"prefix\":"
                  "\"/safe/\",\"kind\":\"safe\",\"timeoutMs\":1500,"
                  "\"maxAttempts\":2,\"service\":\"app\"},"
                  "{\"name\":\"r2\",\"host\":\"review.example\",\"prefix\":"
                  "\"/once/\",\"kind\":\"unsafe\",\"timeoutMs\":1500,"
                  "\"maxAttempts\":1,\"service\":\"app\"}]",
        .limits = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"
    };
    unsigned unasked = 0;
    if (argc != 2)
        return LAB_CANNOT_RUN;
    lab_start(argv[1], &site, 2, run);
    for (unsigned i = 0; i < REQUESTS; i++)
        send_one(i);
    pthread_mutex_lock(&lock);
    for (unsigned i = 0; i < n_runs; i++)
        unasked += !strncmp(runs[i].id, "inner-", 6);
    pthread_mutex_unlock(&lock);
    lab_record("requests that replicas ran and no requester sent: %u", unasked);
    if (unasked)
        lab_finish(LAB_BROKEN, "UNASKED is broken");
    lab_finish(LAB_HELD, "UNASKED held");
}
