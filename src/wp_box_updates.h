/* Updates that the boxes of a zone send each other about the endpoints that
 * they share: requests that a box has sent there, loads that endpoints have
 * reported to it, prompt prefixes that endpoints hold in cache, and the rate of
 * callers' requests. A box that balances by its own requests alone knows little
 * of an engine's queue, as most of that comes from other boxes.
 *
 * All records expire by themselves, so that lost and late updates do no harm: a
 * prefill counts for the time that it is expected to take, a load for a limited
 * time. */
#ifndef WP_BOX_UPDATES_H
#define WP_BOX_UPDATES_H

#include "wire.pb-c.h"
#include "wp_fleet.h"

enum {
    WP_BOX_UPDATES_MAX = 256 /* records of each kind between two messages; a box
                                of the largest site has 5 */
};

/* The values of a WPTtfbSample in a message. */
typedef enum WPTtfbValue {
    WP_TTFB_PROMPT,
    WP_TTFB_UNCACHED,
    WP_TTFB_LOAD,
    WP_TTFB_WAITING,
    WP_TTFB_QUEUED_MS,
    WP_TTFB_US,
    WP_TTFB_VALUES
} WPTtfbValue;

/* Records for the next message, in parallel arrays as in Wp__BoxNews. */
typedef struct WPBoxUpdates {
    GArray *sent_to, *sent_ms;
    GArray *began_at, *began_ms;
    GArray *load_of, *load_running, *load_waiting;
    GArray *kept_at, *kept_prefix, *kept_tokens;
    GArray *asked_of, *asked_per_min;
    GArray *ttfb_of, *ttfb[WP_TTFB_VALUES];
    uint64_t dropped; /* records discarded because WP_BOX_UPDATES_MAX of their
                         kind were queued */
} WPBoxUpdates;

/* Initializes `n` without records. */
void wp_box_updates_init(WPBoxUpdates *n);

/* Frees the records of `n`, but not `n` itself. */
void wp_box_updates_destroy(WPBoxUpdates *n);

/* Each wp_box_updates_add_ function queues one record, or counts it as dropped
   if there is no room. `replica` is the hash that identifies an endpoint in
   messages. */

/* A request was sent to the endpoint; `prefill_us` is the predicted prefill
   time of its prompt. */
void wp_box_updates_add_sent(WPBoxUpdates *n, uint64_t replica,
                             double prefill_us);

/* The first byte of an answer has arrived from the endpoint; `prefill_us`: the
   same as in wp_box_updates_add_sent(). */
void wp_box_updates_add_first_byte(WPBoxUpdates *n, uint64_t replica,
                                   double prefill_us);

/* The endpoint has reported this load. Replaces a queued load of the same
   endpoint. */
void wp_box_updates_add_load(WPBoxUpdates *n, uint64_t replica,
                             uint32_t running, uint32_t waiting);

/* The endpoint holds this prompt prefix in its cache. */
void wp_box_updates_add_cached(WPBoxUpdates *n,
                               const WPCachedPrefixUpdate *cached);

/* The rate of callers' requests for a service at this box. */
void wp_box_updates_add_demand(WPBoxUpdates *n, const WPDemandUpdate *demand);

/* A time to first byte. */
void wp_box_updates_add_ttfb(WPBoxUpdates *n, const WPTtfbSample *t);

/* Returns whether any record is queued. */
bool wp_box_updates_pending(const WPBoxUpdates *n);

/* Fills `out` with the queued records. `box` is the hash of this box's id.
   `out` points into `n` and is valid until a record is added or
   wp_box_updates_reset() is called. */
void wp_box_updates_fill(const WPBoxUpdates *n, uint64_t box, Wp__BoxNews *out);

/* Discards the queued records; the count of dropped ones stays. */
void wp_box_updates_reset(WPBoxUpdates *n);

/* Merges the records that another box has sent into `f`. Returns the number of
   records that were ignored as invalid: a value out of range, or an element
   without a counterpart in the parallel array. */
unsigned wp_box_updates_merge(WPFleet *f, WPTime now, const Wp__BoxNews *m);

/* Messages of the boxes of a zone, collected by the box that relays them to the
   whole zone. A message is added completely or, if the batch would exceed
   WP_UPDATE_BATCH_MAX records, dropped. */
typedef struct WPUpdateBatch {
    GPtrArray *boxes; /* Wp__BoxNews, owned copies */
    unsigned records;
    uint64_t dropped; /* messages discarded because the batch was full */
} WPUpdateBatch;

enum {
    WP_UPDATE_BATCH_MAX = 8192 /* records between two messages: thirty times
                                  what 20 boxes send in 20 ms */
};

/* Initializes an empty batch. */
void wp_update_batch_init(WPUpdateBatch *b);

/* Frees the messages of the batch, but not `b` itself. */
void wp_update_batch_destroy(WPUpdateBatch *b);

/* Adds a copy of `m`, or counts it as dropped if there is no room. */
void wp_update_batch_add(WPUpdateBatch *b, const Wp__BoxNews *m);

/* Fills `out` with all messages of the batch, marked as relayed. `out` points
   into `b` and is valid until a message is added or wp_update_batch_reset() is
   called. */
void wp_update_batch_fill(const WPUpdateBatch *b, Wp__ZoneNews *out);

/* Discards the messages; the count of dropped ones stays. */
void wp_update_batch_reset(WPUpdateBatch *b);

#endif
