/* Admission at one endpoint: a few places, a short queue, classes served in
 * order, and weighted fairness between workspaces inside a class. Every agent
 * does it for its own endpoint, so no counter is shared. */
#ifndef WP_QUEUE_H
#define WP_QUEUE_H

#include "wp_code.h"

/* One waiting or running request; embedded in its owner's record. */
typedef struct WPTicket {
    WPList link;
    char workspace[64];
    double weight; /* of the workspace, above 0 */
    unsigned rank; /* class; 0 is served first */
    double size;   /* expected work against an average request's */
    int64_t deadline_us;
    int64_t offered_us, started_us;
    bool running;
} WPTicket;

typedef struct WPQueue WPQueue;

typedef enum WPAdmit { WP_ADMIT_RUN, WP_ADMIT_WAIT, WP_ADMIT_REFUSE } WPAdmit;

WPQueue *wp_queue_new(unsigned slots, unsigned limit);
void wp_queue_free(WPQueue *q);
void wp_queue_set_slots(WPQueue *q, unsigned slots);

/* Decides on a new ticket. With WP_ADMIT_REFUSE `code` says why. With
   WP_ADMIT_WAIT another may have had to give way: `evicted` is it, no longer
   queued, and has not been run. */
WPAdmit wp_queue_offer(WPQueue *q, int64_t now_us, WPTicket *t, WPCode *code,
                       WPTicket **evicted);

/* A running ticket ended, or a waiting one was given up. */
void wp_queue_leave(WPQueue *q, int64_t now_us, WPTicket *t, bool completed);

/* The next ticket to start, already counted as running, or NULL. */
WPTicket *wp_queue_next(WPQueue *q, int64_t now_us);

/* A waiting ticket that can no longer meet its deadline, taken out; NULL when
   there is none. */
WPTicket *wp_queue_hopeless(WPQueue *q, int64_t now_us);

unsigned wp_queue_running(const WPQueue *q);
unsigned wp_queue_waiting(const WPQueue *q);
unsigned wp_queue_slots(const WPQueue *q);
double wp_queue_service_us(const WPQueue *q); /* smoothed time in a place */

/* When a caller of this class may try again, in milliseconds. */
uint32_t wp_queue_retry_ms(const WPQueue *q, unsigned rank);

#endif
