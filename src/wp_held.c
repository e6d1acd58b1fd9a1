/* What is held for slow readers. */
#include "wp_held.h"

#define MEMORY_PART                                                            \
    0.4               /* of the machine's; the rest is tables and the kernel's \
                         buffers */
#define END_PART 0.75 /* of the bound */

enum { UNKNOWN_MB = 160, MB = 1 << 20 };

void wp_held_limit(WPHeld *h, double memory_mb)
{
    double mb = memory_mb > 0 ? memory_mb : UNKNOWN_MB;
    h->most = (uint64_t)(MEMORY_PART * mb * MB);
}

bool wp_held_note(WPHeld *h, uint64_t sum)
{
    bool was = h->over;
    double least = was ? END_PART * (double)h->most : (double)h->most;
    h->sum = sum;
    h->over = (double)sum >= least;
    return h->over != was;
}
