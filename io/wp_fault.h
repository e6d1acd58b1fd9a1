/* Fault injection for scenarios: cuts a process off from some peers, in one
 * direction or both, or from the store. Enabled only by the setting
 * test_hooks. */
#ifndef WP_FAULT_H
#define WP_FAULT_H

#include "wp_http.h"
#include "wp_kv.h"
#include "wp_link.h"

typedef struct WPFault {
    char **peers; /* box ids, or "*" for all; NULL: none */
    bool in, out; /* whether incoming and outgoing frames are dropped */
    bool store;   /* whether calls of the store fail */
} WPFault;

/* Sets the faults from {"peers": [...], "in": b, "out": b, "store": b}; a
   fault that is not given is cleared. */
void wp_fault_set(WPFault *f, const json_t *j);

/* Clears all faults and frees what they hold. */
void wp_fault_end(WPFault *f);

/* Returns whether frames on the link are to be dropped, outgoing ones if
   `outwards` is set, otherwise incoming ones. */
bool wp_fault_blocks(const WPFault *f, const WPLink *l, bool outwards);

/* Wraps `kv` in a client whose calls fail while `f` cuts the store and
   otherwise go to `kv`. Takes ownership of `kv`; `f` must stay valid. */
WPKv *wp_kv_faulty(WPKv *kv, const WPFault *f);

#endif
