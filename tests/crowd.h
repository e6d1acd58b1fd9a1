/* Crowds of clients that do not behave, on loopback: each connection sends the
 * same bytes and leaves its answers unread, or reads them slowly. */
#ifndef CROWD_H
#define CROWD_H

#include "wp_base.h"

#include <sys/types.h>

typedef struct CrowdPlan {
    uint16_t port;
    unsigned connections;
    WPStr head;       /* sent once */
    const char *unit; /* then sent `repeats` times */
    unsigned repeats;
    size_t fill_bytes; /* then so many bytes '0' */
    unsigned rounds;   /* for which answers are then waited for */
    size_t read_bytes; /* of them, by each connection in each round */
} CrowdPlan;

typedef struct Crowd Crowd;

/* Opens the connections, and sends on each of them as much as the peer takes.
   Returns once nothing moves any more. The connections stay open until
   crowd_free(), which takes NULL too; those that the peer closes are closed
   here too. */
Crowd *crowd_new(const CrowdPlan *plan);
void crowd_free(Crowd *c);

/* Whether the answer to `request` begins with `wanted`. A request that is
   refused, or not answered, is sent again some times. */
bool crowd_is_served(uint16_t port, WPStr request, const char *wanted);

/* The highest resident memory of a process so far, in KB; 0: unknown. */
long crowd_peak_kb(pid_t pid);

/* Open descriptors of a process; 0: unknown. */
unsigned crowd_descriptors(pid_t pid);

/* Whether the process has neither ended nor become a zombie. */
bool crowd_is_alive(pid_t pid);

/* Lowers the limit of descriptors of this process and of those that it starts,
   and returns the limit from before. */
unsigned crowd_limit_descriptors(unsigned limit);

#endif
