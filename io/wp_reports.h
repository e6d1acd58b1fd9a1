/* Usage reports: this box's counts go to the relay root of its zone (the box
 * that passes updates on to the others of the zone), and from there to the
 * relay roots of the other zones. One of these holds the usage reporting lease
 * and reports the sums (src/wp_usage.h, src/wp_report_lease.h). */
#ifndef WP_REPORTS_H
#define WP_REPORTS_H

#include "wp_sync_int.h"

typedef struct WPReports WPReports;

/* Returns NULL if the settings ask for no usage reports, or if they are
   invalid, which is logged. */
WPReports *wp_reports_new(WPSync *s);
void wp_reports_free(WPReports *r);

/* Called on each tick of `s`: sends counts to other boxes, and writes the lease
   record or sends a report when due. */
void wp_reports_tick(WPReports *r, WPTime now);

/* Merges another box's counts; `remote_zone`: they come from another zone. */
void wp_reports_merge(WPReports *r, bool remote_zone, const Wp__UsageNews *n);

/* A connection to a box was made or lost: all counts are sent again, as a box
   may lack those that were sent before. */
void wp_reports_mark_all_unsent(WPReports *r);

/* Takes the store's record of the usage reporting lease at this revision; NULL:
   it has been removed. */
void wp_reports_observe_record(WPReports *r, const WPStr *value,
                               uint64_t revision);

/* The lease's record has another revision, after a restore of the store, and is
   the same; 0: the store has lost it. */
void wp_reports_renumber(WPReports *r, uint64_t revision);

/* Adds this box's usage clock, which usage windows are based on, to a digest
   that is about to be sent. */
void wp_reports_fill_digest(const WPReports *r, WPTime now,
                            Wp__MirrorDigest *d);

/* Takes the usage clock of the box `from` out of a digest that it has sent. */
void wp_reports_observe_clock(WPReports *r, WPTime now, const char *from,
                              const Wp__MirrorDigest *d);

/* Whether this box holds the usage reporting lease. */
bool wp_reports_is_holder(const WPReports *r);

#endif
