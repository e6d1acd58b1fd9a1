/* Reports of usage: this box's counts go to the box of its zone that passes
 * news on, from there to those of the other zones; one of these has the duty to
 * report the sums (src/wp_usage.h, src/wp_duty.h). */
#ifndef WP_REPORTS_H
#define WP_REPORTS_H

#include "wp_sync_int.h"

typedef struct WPReports WPReports;

/* NULL when the settings ask for no reports. */
WPReports *wp_reports_new(WPSync *s);
void wp_reports_free(WPReports *r);
void wp_reports_tick(WPReports *r, WPTime now);

/* Another box's counts; `far`: it is of another zone. */
void wp_reports_heard(WPReports *r, bool far, const Wp__UsageNews *n);

/* A box was reached or lost: it may lack what the others were told. */
void wp_reports_peer(WPReports *r);

/* The store's record of the duty; NULL: it has been removed. */
void wp_reports_record(WPReports *r, const WPStr *value, uint64_t revision);

/* Times of day, as digests carry them. */
void wp_reports_fill(const WPReports *r, WPTime now, Wp__MirrorDigest *d);
void wp_reports_hear_clock(WPReports *r, WPTime now, const char *from,
                           const Wp__MirrorDigest *d);

/* Whether this box has the duty. */
bool wp_reports_is_holder(const WPReports *r);

#endif
