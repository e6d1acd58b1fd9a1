/* What a process has of its machine. */
#include "wp_process.h"
#include "wp_base.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <limits.h>
#include <malloc.h>
#include <sys/resource.h>

enum {
    /* Larger pieces of memory are mapped one by one. Without this, glibc raises
       the size up to 32 MB, and freed bodies and answers stay resident. */
    MAPPED_BYTES = 256 << 10,
    TRIM_BYTES = 1 << 20 /* free memory above which the heap shrinks */
};

struct event_base *wp_process_base_new(void)
{
    struct event_base *base = event_base_new();
    event_base_priority_init(base, 2);
    (void)mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
    (void)mallopt(M_TRIM_THRESHOLD, TRIM_BYTES);
    return base;
}

void wp_process_close(struct bufferevent *bev)
{
    struct evbuffer *out = bufferevent_get_output(bev),
                    *in = bufferevent_get_input(bev);
    evbuffer_unfreeze(out, 1);
    evbuffer_drain(out, evbuffer_get_length(out));
    evbuffer_drain(in, evbuffer_get_length(in));
    bufferevent_free(bev);
}

unsigned wp_process_descriptors(void)
{
    struct rlimit r;
    if (getrlimit(RLIMIT_NOFILE, &r) || r.rlim_cur == RLIM_INFINITY)
        return 0;
    return (unsigned)MIN(r.rlim_cur, UINT_MAX);
}
