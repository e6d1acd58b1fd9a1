/* Simulates in virtual time the lease by which one box at a time reports
 * usage: several boxes, a store with conditional writes, a service that
 * accepts reports and checks them, and a fault at a random time. */
#ifndef REPORT_LEASE_SIM_H
#define REPORT_LEASE_SIM_H

#include "wp_base.h"

typedef enum LeaseFault {
    LEASE_FAULT_NONE,
    LEASE_FAULT_KILL,    /* the holder's process is killed and starts again */
    LEASE_FAULT_FREEZE,  /* the holder's process pauses for a while */
    LEASE_FAULT_CUT_OFF, /* the holder reaches neither store nor service nor
                            boxes */
    LEASE_FAULT_STORE_CUT_OFF,      /* the store does not answer the holder */
    LEASE_FAULT_STORE_DOWN,         /* the store does not answer any box */
    LEASE_FAULT_STORE_ANSWERS_LOST, /* the store's answers are lost; some writes
                                       are delayed */
    LEASE_FAULT_SERVICE_NO_ANSWER,  /* some reports arrive, none is answered */
    LEASE_FAULT_SERVICE_REFUSES,    /* the service refuses all reports */
    LEASE_FAULT_SERVICE_SLOW,
    LEASE_FAULT_DRAIN, /* the holder is drained, exits and starts again */
    LEASE_FAULT_YIELD, /* the holder gives the lease up, and so do its
                          successors in turn; the service refuses all reports
                          meanwhile */
    LEASE_FAULT_FREEZE_AFTER_REFUSAL, /* the holder freezes once the service has
                                         refused a report of it */
    LEASE_FAULT_CLOCK_JUMP, /* the wall clocks of some boxes jump, then these
                               start again */
    LEASE_FAULT_STORE_RESTORED, /* the store is down and comes back from an
                                   older copy */
    LEASE_FAULT_MIX,            /* several of the above, at random */
    LEASE_FAULT_COUNT
} LeaseFault;

typedef struct LeaseCase {
    LeaseFault fault;
    uint32_t seed;
    bool send_unsettled; /* counts are sent without having been settled in the
                            store first, so that the check for conflicting
                            reports can be tested */
} LeaseCase;

typedef struct LeaseResult {
    unsigned due;       /* windows whose deadline was during the run */
    unsigned reported;  /* due windows with a report accepted by its deadline */
    unsigned accurate;  /* due windows with an accepted report in which each
                           workspace's count is within 5% or one request of the
                           true count */
    unsigned conflicts; /* accepted reports that differ from an earlier one of
                           the same window */
    unsigned fence_errors; /* reports whose fencing token is lower than an
                              earlier one, or the same as another box's */
    /* Reports of a box less than a lease after its previous one, although
       another box has reported in between. */
    unsigned early_returns;
    /* Store writes and report calls in all. */
    unsigned writes, sends;
} LeaseResult;

/* Runs one simulated minute with the fault and seed of `c` and returns what
   was counted. */
LeaseResult simulate_report_lease(const LeaseCase *c);

#endif
