/* Counts of usage between boxes (src/wp_usage.h). */
#ifndef WP_USAGE_NEWS_H
#define WP_USAGE_NEWS_H

#include "wp_peers.h"
#include "wp_usage.h"

typedef struct WPUsageNews WPUsageNews;

WPUsageNews *wp_usage_news_new(WPPeers *peers, WPUsage *usage);
void wp_usage_news_free(WPUsageNews *n);

/* Sends what was not told yet, some times a second. */
void wp_usage_news_tick(WPUsageNews *n, WPTime now);
void wp_usage_news_heard(WPUsageNews *n, bool far, const Wp__UsageNews *m);

#endif
