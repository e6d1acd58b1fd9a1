/* The lease for reporting usage: one box reports at a time, whichever box
 * reports a window sends the same counts, and every window is reported in
 * time despite faults of the holder, the store and the service. */
#include "report_lease_sim.h"
#include "test.h"

enum { SEEDS = 100, MIXED = 300 };

static void assert_invariants(const LeaseResult *r, const LeaseCase *c)
{
    if (r->conflicts || r->fence_errors || r->early_returns)
        fail_msg("fault %d seed %u: %u conflicting reports, %u fence "
                 "errors, %u early returns",
                 c->fault, c->seed, r->conflicts, r->fence_errors,
                 r->early_returns);
}

/* Each fault lasts for less than a report may be late, so no window may be
   missed. `all_accurate`: no count may be lost either. */
static void check_fault(LeaseFault fault, bool all_accurate)
{
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        const LeaseCase c = { fault, seed, false };
        LeaseResult r = simulate_report_lease(&c);
        assert_invariants(&r, &c);
        if (r.reported < r.due)
            fail_msg("fault %d seed %u: %u of %u windows reported", fault, seed,
                     r.reported, r.due);
        if (all_accurate && r.accurate < r.due)
            fail_msg("fault %d seed %u: %u of %u windows accurate", fault, seed,
                     r.accurate, r.due);
    }
}

static void no_fault(void **state)
{
    (void)state;
    check_fault(LEASE_FAULT_NONE, true);
}

static void faults_of_the_holder(void **state)
{
    (void)state;
    /* Requests that a killed or cut-off process has counted and not yet sent
       to other boxes are lost, so these reports may be inaccurate. */
    check_fault(LEASE_FAULT_KILL, false);
    check_fault(LEASE_FAULT_CUT_OFF, false);
    check_fault(LEASE_FAULT_FREEZE, true);
    check_fault(LEASE_FAULT_STORE_CUT_OFF, true);
    check_fault(LEASE_FAULT_FREEZE_AFTER_REFUSAL, false);
    check_fault(LEASE_FAULT_DRAIN, false);
    check_fault(LEASE_FAULT_YIELD, true);
}

static void faults_of_store_and_service(void **state)
{
    (void)state;
    check_fault(LEASE_FAULT_STORE_DOWN, true);
    check_fault(LEASE_FAULT_STORE_ANSWERS_LOST, true);
    check_fault(LEASE_FAULT_SERVICE_NO_ANSWER, true);
    check_fault(LEASE_FAULT_SERVICE_REFUSES, true);
    check_fault(LEASE_FAULT_SERVICE_SLOW, true);
}

static void a_restored_store_repeats_no_report_with_other_counts(void **state)
{
    (void)state;
    check_fault(LEASE_FAULT_STORE_RESTORED, true);
}

static void clock_jumps(void **state)
{
    (void)state;
    check_fault(LEASE_FAULT_CLOCK_JUMP, false);
}

static void several_faults_at_once(void **state)
{
    (void)state;
    for (uint32_t seed = 1; seed <= MIXED; seed++) {
        const LeaseCase c = { LEASE_FAULT_MIX, seed, false };
        LeaseResult r = simulate_report_lease(&c);
        assert_invariants(&r, &c);
    }
}

/* If counts are sent without having been settled in the store, a new holder
   sends other counts than the one before it; the check must find that. */
static void unsettled_counts_conflict(void **state)
{
    (void)state;
    unsigned conflicts = 0;
    for (uint32_t seed = 1; seed <= MIXED; seed++) {
        const LeaseCase c = { LEASE_FAULT_MIX, seed, true };
        conflicts += simulate_report_lease(&c).conflicts;
    }
    assert_true(conflicts > 0);
}

TESTS_MAIN(T(no_fault), T(faults_of_the_holder), T(faults_of_store_and_service),
           T(a_restored_store_repeats_no_report_with_other_counts),
           T(clock_jumps), T(several_faults_at_once),
           T(unsettled_counts_conflict))
