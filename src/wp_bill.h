/* Bills: a record of each attempt of a request for charging its workspace. A
 * bill is made by the box where the request ran, kept in memory and written to
 * the store in numbered batches, each of which is created only if its key is
 * absent. Charges are formed from the batches by request. */
#ifndef WP_BILL_H
#define WP_BILL_H

#include "wire.pb-c.h"
#include "wp_base.h"

enum { WP_BILL_BATCH_MAX = 4000 }; /* bills in a batch */
#define WP_BILL_PREFIX "/wp/bills/"

/* A box's bills until they are in the store. */
typedef struct WPBills WPBills;

typedef enum WPBillWriteResult {
    WP_BILL_CREATED, /* the write took effect */
    WP_BILL_EXISTS,  /* the key holds a value already, which is given */
    WP_BILL_FAILED   /* no answer: it may or may not have taken effect */
} WPBillWriteResult;

typedef struct WPBillBatch {
    char *key;         /* in the store */
    GByteArray *value; /* a serialized BillBatch */
} WPBillBatch;

/* `owner` and `incarnation`: this process, for the batches' keys. `batch_ms`:
   the shortest interval between batches. `limit`: bills from which on
   wp_bills_full() is true. */
WPBills *wp_bills_new(const char *owner, uint64_t incarnation,
                      uint32_t batch_ms, uint32_t limit);
void wp_bills_free(WPBills *b);

/* Queues a copy of the bill under the next sequence number, which it
   returns. */
uint64_t wp_bills_add(WPBills *b, WPTime now, const Wp__Bill *bill);

/* Whether the number of pending bills has reached the limit given to
   wp_bills_new(), so that no more requests are to be taken. */
bool wp_bills_full(const WPBills *b);

/* How many bills are not known to be in the store. */
unsigned wp_bills_pending(const WPBills *b);

/* All bills up to this sequence number are settled, that is in the store. */
uint64_t wp_bills_settled(const WPBills *b);

/* For scenarios: takes each batch as written after the first try, whatever the
   store answered. */
void wp_bills_set_no_retry(WPBills *b);

/* Sets how many boxes write bills. The interval between batches grows with
   their number, so that all together stay within the store's rate. */
void wp_bills_set_writers(WPBills *b, unsigned writers);

/* Returns the batch to write now; NULL if none is due or one is being written.
   After a failure the same batch is returned again, byte for byte. `at_once`: a
   new batch does not wait for the interval. */
const WPBillBatch *wp_bills_next_batch(WPBills *b, WPTime now, bool at_once);

/* The write of that batch has ended. `found`: with WP_BILL_EXISTS, the value
   that the key holds; an equal one is this batch, from an earlier write whose
   answer was lost. */
void wp_bills_batch_written(WPBills *b, WPTime now, WPBillWriteResult result,
                            const uint8_t *found, size_t size);

/* Charges by request id and cascade step: a request that has bills in several
   batches, or had several attempts, is charged once. */
typedef struct WPCharges WPCharges;

typedef struct WPCharge {
    char request_id[40];
    unsigned step;
    Wp__Bill *bill;       /* the one that is charged */
    unsigned occurrences; /* bills that were found for it */
} WPCharge;

/* Returns an empty table of charges. */
WPCharges *wp_charges_new(void);
void wp_charges_free(WPCharges *c);

/* Adds the bills of a batch. Of several bills for one charge the preferred one
   is charged: that of a complete answer first, then that of the later attempt,
   then that with more answer tokens. */
void wp_charges_add(WPCharges *c, const Wp__BillBatch *b);

/* Calls `fn` with `arg` for each charge, in no particular order. */
void wp_charges_each(const WPCharges *c,
                     void (*fn)(void *arg, const WPCharge *c), void *arg);

#endif
