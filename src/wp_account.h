/* Account of the bytes that a process holds for the clients of its ports. Each
 * owner, a connection, is charged what it holds by purpose, when it takes or
 * frees it. Above the limit the account names the owner that has to give way.
 *
 * Owners that keep the process waiting (a body cut short, an answer that is not
 * read, an idle connection) give way before those that wait for the process,
 * and the more bytes they have held for the longer, the sooner. */
#ifndef WP_ACCOUNT_H
#define WP_ACCOUNT_H

#include "wp_base.h"

typedef enum WPPurpose {
    WP_HELD_CONNECTION, /* the connection itself */
    WP_HELD_INPUT,      /* received and not yet parsed; heads of requests */
    WP_HELD_BODY,       /* bodies of requests */
    WP_HELD_PARSED,     /* what parsing a body makes of it */
    WP_HELD_ANSWER,     /* answers that are not yet passed on */
    WP_HELD_OUTPUT,     /* answers that the client has not read */
    WP_PURPOSE_COUNT
} WPPurpose;

enum { WP_ACCOUNT_SIZES = 40 }; /* powers of two of bytes */

typedef struct WPOwner {
    WPList node;
    uint64_t bytes[WP_PURPOSE_COUNT];
    uint64_t sum;
    int64_t since_us; /* it has held about so much from then on */
    bool waits;       /* for the process, not the process for it */
} WPOwner;

typedef struct WPAccount {
    uint64_t limit_bytes; /* 0: none */
    uint64_t bytes[WP_PURPOSE_COUNT];
    uint64_t sum;
    /* Owners by the power of two of their bytes, those that have held as much
       for the longest first; [1]: of those that wait. */
    WPList owners[2][WP_ACCOUNT_SIZES];
} WPAccount;

/* Initializes an account without owners. */
void wp_account_init(WPAccount *a);

/* Sets the limit for a machine with this much memory; 0: unknown. */
void wp_account_set_memory(WPAccount *a, double memory_mb);

/* Adds an owner that holds nothing yet. The account does not own it. */
void wp_account_add(WPAccount *a, WPOwner *o, int64_t now_us);

/* Removes an owner, with all that it holds. */
void wp_account_remove(WPAccount *a, WPOwner *o);

/* Sets what the owner holds for a purpose. */
void wp_account_set(WPAccount *a, WPOwner *o, WPPurpose purpose, uint64_t bytes,
                    int64_t now_us);

/* Notes that the owner waits for the process from now on, or that the process
   waits for it. */
void wp_account_set_waits(WPAccount *a, WPOwner *o, bool waits, int64_t now_us);

/* Notes that the owner has done what the process waited for: what it holds
   counts as held from now on. */
void wp_account_progress(WPAccount *a, WPOwner *o, int64_t now_us);

/* Whether more is held than the limit. */
bool wp_account_is_over(const WPAccount *a);

/* Whether `more` bytes fit below the limit. */
bool wp_account_has_room(const WPAccount *a, uint64_t more);

/* Returns the owner that has to give way first; NULL: none of those that keep
   the process waiting and, with `any`, none at all. */
WPOwner *wp_account_victim(const WPAccount *a, bool any, int64_t now_us);

/* The name of a purpose, for logs and metrics. */
const char *wp_purpose_name(WPPurpose purpose);

#endif
