/* Faults for scenarios: a process that is cut off from some peers, one way or
 * both, or from the store. Only with the setting test_hooks. */
#ifndef WP_FAULT_H
#define WP_FAULT_H

#include "wp_http.h"
#include "wp_kv.h"
#include "wp_link.h"

typedef struct WPFault {
    char **peers; /* box ids, or "*" for all; NULL: none */
    bool in, out; /* which directions are cut */
    bool store;
} WPFault;

/* Takes {"peers": [...], "in": b, "out": b, "store": b}; what is not named is
   healed. */
void wp_fault_set(WPFault *f, const json_t *j);
void wp_fault_end(WPFault *f);
bool wp_fault_blocks(const WPFault *f, const WPLink *l, bool outwards);

/* A client that fails while `f` cuts the store, else passes on to `kv`, which
   it takes over. */
WPKv *wp_kv_faulty(WPKv *kv, const WPFault *f);

#endif
