/* Bytes buffered for slow readers. */
#include "wp_buffered.h"

/* The limit as a share of the machine's memory; the rest is for tables and the
   kernel's buffers. */
#define MEMORY_SHARE 0.4

/* The share of the limit below which `over_limit` ends. */
#define END_SHARE 0.75

/* What large requests may take of the limit. */
#define UPLOADS_SHARE 0.5

enum {
    DEFAULT_MEMORY_MB = 160, /* when the machine's memory is unknown */
    MB = 1 << 20
};

void wp_buffered_set_limit(WPBuffered *h, double memory_mb)
{
    double mb = memory_mb > 0 ? memory_mb : DEFAULT_MEMORY_MB;
    h->limit_bytes = (uint64_t)(MEMORY_SHARE * mb * MB);
    h->uploads_limit_bytes = (uint64_t)(UPLOADS_SHARE * (double)h->limit_bytes);
}

bool wp_buffered_update(WPBuffered *h, uint64_t bytes)
{
    bool was_over = h->over_limit;
    double threshold =
        was_over ? END_SHARE * (double)h->limit_bytes : (double)h->limit_bytes;
    h->bytes = bytes;
    h->over_limit = (double)bytes >= threshold;
    return h->over_limit != was_over;
}
