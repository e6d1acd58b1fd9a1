/* What a change of the configuration overwrites, as far as the versions of
 * sessions follow from it. */
#ifndef WP_UNDO_H
#define WP_UNDO_H

#include "wp_config.h"

/* How long after it is written a change that adds choices is used for sessions:
   by then every box has it. */
#define WP_CHANGE_ACTIVATION_DELAY_MS 3000

/* Returns the undo of the change `d`, which is about to be applied to `c`; free
   with wp_pb_free(). NULL: the change is not to be recorded, it changes nothing
   that sessions are placed by, or it cannot be decoded. */
Wp__Undo *wp_undo_of_delta(const WPConfig *c, const Wp__Delta *d);

#endif
