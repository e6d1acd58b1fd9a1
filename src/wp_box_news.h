/* What a box tells the others of its zone of the endpoints that they share:
 * which requests it has sent there, what load they told, what they keep of
 * prompts. A box that chooses by its own requests alone knows little of what an
 * engine has before it, as most of that is of others.
 *
 * Everything told fades by itself, so that lost and late news do no harm:
 * reading is done after the time it takes, loads are believed for a while. */
#ifndef WP_BOX_NEWS_H
#define WP_BOX_NEWS_H

#include "wire.pb-c.h"
#include "wp_fleet.h"

enum {
    WP_BOX_NEWS_MOST = 256 /* records of each sort between two messages; a box
                              of the largest site has 5 */
};

typedef struct WPBoxNews {
    GArray *sent_to, *sent_ms;
    GArray *began_at, *began_ms;
    GArray *load_of, *load_running, *load_waiting;
    GArray *kept_at, *kept_prefix, *kept_tokens;
    GArray *asked_of, *asked_per_min;
    uint64_t dropped; /* records beyond the bound */
} WPBoxNews;

void wp_box_news_init(WPBoxNews *n);
void wp_box_news_end(WPBoxNews *n);

/* Endpoints are named by the hash of their id. */
void wp_box_news_sent(WPBoxNews *n, uint64_t replica, double reading_us);
void wp_box_news_began(WPBoxNews *n, uint64_t replica, double reading_us);
void wp_box_news_load(WPBoxNews *n, uint64_t replica, uint32_t running,
                      uint32_t waiting);
void wp_box_news_kept(WPBoxNews *n, const WPCachedPrefixUpdate *kept);
void wp_box_news_asked(WPBoxNews *n, const WPDemandNews *asked);

bool wp_box_news_any(const WPBoxNews *n);

/* Points `out` to what there is; it lives until wp_box_news_clear(). */
void wp_box_news_fill(const WPBoxNews *n, uint64_t box, Wp__BoxNews *out);
void wp_box_news_clear(WPBoxNews *n);

/* Takes what another box tells. Returns how many records were left out as they
   cannot be true: figures beyond all measure, or without their partner. */
unsigned wp_box_news_hear(WPFleet *f, WPTime now, const Wp__BoxNews *m);

/* What one box collects and passes on to its zone: whole messages, until there
   are as many records as the bound allows. */
typedef struct WPBundle {
    GPtrArray *boxes; /* Wp__BoxNews, own copies */
    unsigned records;
    uint64_t dropped; /* messages beyond the bound */
} WPBundle;

enum {
    WP_BUNDLE_MOST = 8192 /* records between two messages: thirty times what 20
                             boxes tell in 20 ms */
};

void wp_bundle_init(WPBundle *b);
void wp_bundle_end(WPBundle *b);
void wp_bundle_add(WPBundle *b, const Wp__BoxNews *m);

/* Points `out` to all of it; it lives until wp_bundle_clear(). */
void wp_bundle_fill(const WPBundle *b, Wp__ZoneNews *out);
void wp_bundle_clear(WPBundle *b);

#endif
