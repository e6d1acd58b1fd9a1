/* Bills: made where a request ran, kept in memory, written to the store in
 * numbered batches that are created only if absent, and folded by request. */
#ifndef WP_BILL_H
#define WP_BILL_H

#include "wire.pb-c.h"
#include "wp_base.h"

enum { WP_BILL_BATCH_MOST = 4000 };
#define WP_BILL_PREFIX "/wp/bills/"

typedef struct WPBills WPBills;

typedef enum WPBillWrite {
    WP_BILL_CREATED, /* the write took effect */
    WP_BILL_EXISTS,  /* something is there; its bytes are given */
    WP_BILL_FAILED   /* no answer: it may or may not have taken effect */
} WPBillWrite;

typedef struct WPBillBatch {
    char *key;         /* in the store */
    GByteArray *value; /* a packed BillBatch */
} WPBillBatch;

WPBills *wp_bills_new(const char *owner, uint64_t incarnation,
                      uint32_t batch_ms, uint32_t limit);
void wp_bills_free(WPBills *b);

/* Takes a copy and gives it the next number, which is returned. */
uint64_t wp_bills_add(WPBills *b, WPTime now, const Wp__Bill *bill);
bool wp_bills_full(const WPBills *b);
unsigned wp_bills_pending(const WPBills *b);
uint64_t wp_bills_settled(const WPBills *b); /* all up to this number */

/* For scenarios: gives a batch up when its answer is lost. */
void wp_bills_set_careless(WPBills *b);

/* How many boxes write: the pause between batches grows with them, so that
   all together stay within the store's rate. */
void wp_bills_set_writers(WPBills *b, unsigned writers);

/* The batch to write now, or NULL: none is due, or one is on its way. The
   same batch comes again after a failure, byte for byte. */
const WPBillBatch *wp_bills_due(WPBills *b, WPTime now, bool at_once);
void wp_bills_written(WPBills *b, WPTime now, WPBillWrite result,
                      const uint8_t *found, size_t size);

/* Charges by request id and cascade step: a request that stands in several
   batches, or was tried again, is charged once. */
typedef struct WPCharges WPCharges;

typedef struct WPCharge {
    char request_id[40];
    unsigned step;
    Wp__Bill *bill; /* the one that counts */
    unsigned seen;  /* how often it stood in batches */
} WPCharge;

WPCharges *wp_charges_new(void);
void wp_charges_free(WPCharges *c);
void wp_charges_add(WPCharges *c, const Wp__BillBatch *b);
void wp_charges_each(const WPCharges *c,
                     void (*fn)(void *arg, const WPCharge *c), void *arg);

#endif
