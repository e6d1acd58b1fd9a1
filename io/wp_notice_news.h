/* News of what endpoints say of themselves, to all boxes: each passes on what
 * it did not know. What is told is src/wp_fleet_limit.c's, src/wp_demand.c's
 * and src/wp_fleet_notice.c's. */
#ifndef WP_NOTICE_NEWS_H
#define WP_NOTICE_NEWS_H

#include "wp_direct_int.h"
#include "wp_peers.h"

typedef struct WPNoticeFlood WPNoticeFlood;

WPNoticeFlood *wp_notice_news_new(WPDirectHost *h, WPPeers *peers);
void wp_notice_news_free(WPNoticeFlood *n);

void wp_notice_news_tick(WPNoticeFlood *n, WPTime now);

/* There is something to tell: it goes out with the loop's next turns. */
void wp_notice_news_wake(WPNoticeFlood *n);

/* Another box's message; a box that was reached, or lost. */
void wp_notice_news_heard(WPNoticeFlood *n, const char *from,
                          const Wp__NoticeNews *m);
void wp_notice_news_peer(WPNoticeFlood *n, const char *peer, bool up);

#endif
