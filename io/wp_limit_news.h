/* News of the limits that endpoints name, to all boxes: each passes on what it
 * did not know. What is told is src/wp_fleet_limit.c's and src/wp_demand.c's.
 */
#ifndef WP_LIMIT_NEWS_H
#define WP_LIMIT_NEWS_H

#include "wp_direct_int.h"
#include "wp_peers.h"

typedef struct WPLimitFlood WPLimitFlood;

WPLimitFlood *wp_limit_news_new(WPDirectHost *h, WPPeers *peers);
void wp_limit_news_free(WPLimitFlood *n);

void wp_limit_news_tick(WPLimitFlood *n, WPTime now);

/* There is something to tell: it goes out with the loop's next turns. */
void wp_limit_news_wake(WPLimitFlood *n);

/* Another box's message; a box that was reached, or lost. */
void wp_limit_news_heard(WPLimitFlood *n, const char *from,
                         const Wp__LimitNews *m);
void wp_limit_news_peer(WPLimitFlood *n, const char *peer, bool up);

#endif
