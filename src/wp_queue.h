/* Admission at one endpoint: a few slots, a short queue, priority classes that
 * are served in order, and weighted fair sharing between workspaces within a
 * class. Every agent does it for its own endpoint, so no counter is shared. */
#ifndef WP_QUEUE_H
#define WP_QUEUE_H

#include "wp_code.h"

/* One waiting or running request; embedded in its owner's record. */
typedef struct WPTicket {
    WPList link;
    char workspace[64];
    double weight;        /* of the workspace, above 0 */
    unsigned class_rank;  /* class; 0 is served first */
    double relative_work; /* expected work relative to an average request */
    int64_t deadline_us;
    int64_t arrived_us, started_us;
    bool running;
} WPTicket;

typedef struct WPQueue WPQueue;

typedef enum WPAdmit { WP_ADMIT_RUN, WP_ADMIT_WAIT, WP_ADMIT_REFUSE } WPAdmit;

/* `slots`: tickets that run at the same time. `max_waiting`: tickets that wait
   besides. */
WPQueue *wp_queue_new(unsigned slots, unsigned max_waiting);
void wp_queue_free(WPQueue *q);

/* Sets the number of tickets that run at the same time. */
void wp_queue_set_slots(WPQueue *q, unsigned slots);

/* Decides on a new ticket. With WP_ADMIT_REFUSE `code` gives the reason. With
   WP_ADMIT_WAIT another ticket may have been evicted for it: `evicted`, which
   is no longer queued and has not been run; else NULL. */
WPAdmit wp_queue_offer(WPQueue *q, int64_t now_us, WPTicket *t, WPCode *code,
                       WPTicket **evicted);

/* Removes a running ticket that has ended or a waiting one that was given up.
   `completed`: its time counts for the mean service time. */
void wp_queue_remove(WPQueue *q, int64_t now_us, WPTicket *t, bool completed);

/* Takes the next ticket from the queue and counts it as running; NULL when none
   waits or no slot is free. */
WPTicket *wp_queue_start_next(WPQueue *q, int64_t now_us);

/* Takes out a waiting ticket that can no longer meet its deadline; NULL when
   there is none. */
WPTicket *wp_queue_pop_late(WPQueue *q, int64_t now_us);

/* Numbers of tickets that run and that wait, and of slots. */
unsigned wp_queue_running(const WPQueue *q);
unsigned wp_queue_waiting(const WPQueue *q);
unsigned wp_queue_slots(const WPQueue *q);

/* Returns the smoothed time that a request holds a slot, in microseconds. */
double wp_queue_service_us(const WPQueue *q);

/* After how many milliseconds a caller of this class should retry. */
uint32_t wp_queue_retry_ms(const WPQueue *q, unsigned rank);

#endif
