/* Ages of the store's word. */
#include "wp_fresh.h"

/* Parts of the time that a change may take: the last rank asks at 0.87 of it;
   the question and the word to the others take 0.1 to 0.2 s. Guards against
   watches of all zones that fall silent at once: an age that does not follow
   from that time lets a revoked key be served beyond it. */
#define LIMIT_PART 0.75    /* the first of a zone asks */
#define RANK_PART 0.03     /* each later one so much later */
#define RANKS_MOST 3       /* all others come together */
#define HASTE_PART 0.03    /* spread within a rank */
#define ASK_AGAIN_PART 0.4 /* between questions, and up to twice as long */
#define BEHIND_PART                                                            \
    0.35 /* news takes some 100 ms a hop, and six hops in a                    \
            zone of a hundred boxes */

/* A word's time from one box to another, at the most. Without it a word that
   boxes tell each other round and round does not grow old, so that none asks
   the store. */
#define HOP_MS 50

/* Pauses before a store that does not answer is asked again: the first, the
   longest as a part of the time that a change may take, and how much longer
   some boxes wait. Calls are paid for, also those that are turned away. */
#define PAUSE_FIRST_MS 400
#define PAUSE_MOST_PART 0.4
#define PAUSE_SPREAD 0.5

/* A box that reads the store makes a call for each 50 to 500 entries, and all
   that start together share its link; one that is told by another box makes
   none. At the system's first start nobody waits for it yet, and others are
   given time to tell; at any other start callers wait: requests are held for
   some hundred ms. */
#define START_MS 400
#define START_REACHES_MS                                                       \
    2000 /* the box that reads takes a second for 3,000                        \
            entries; all that read at once exceed what the                     \
            store allows, and none gets through */
#define START_FIRST_MS 4000
#define START_SPREAD 0.4

void wp_fresh_hear(WPFresh *f, int64_t at_us)
{
    f->word_us = MAX(f->word_us, at_us);
}

int64_t wp_fresh_told_us(WPTime now, uint32_t age_ms)
{
    return now.mono_us - ((int64_t)age_ms + HOP_MS) * WP_US_PER_MS;
}

void wp_fresh_know(WPFresh *f, uint64_t upto, uint64_t has, int64_t at_us)
{
    if (f->lacks && has >= f->lacks) {
        f->known_us = MAX(f->known_us, f->lacks_us);
        f->lacks = 0;
    }
    if (has >= upto) {
        f->known_us = MAX(f->known_us, at_us);
    } else if (!f->lacks || at_us > f->lacks_us) {
        f->lacks = upto;
        f->lacks_us = at_us;
    }
}

int64_t wp_fresh_known_ms(const WPFresh *f, WPTime now)
{
    if (!f->known_us)
        return -1;
    return MAX(0, (now.mono_us - f->known_us) / WP_US_PER_MS);
}

void wp_fresh_ask(WPFresh *f, WPTime now)
{
    f->asked_us = now.mono_us;
}

static int64_t part_us(const WPFresh *f, double part)
{
    return (int64_t)(f->apply_ms * part) * WP_US_PER_MS;
}

uint32_t wp_fresh_limit_ms(const WPFresh *f, unsigned rank)
{
    double part =
        LIMIT_PART + RANK_PART * MIN(rank, RANKS_MOST) + HASTE_PART * f->haste;
    return (uint32_t)(f->apply_ms * part);
}

bool wp_fresh_is_due(const WPFresh *f, WPTime now, unsigned rank)
{
    int64_t limit_us = (int64_t)wp_fresh_limit_ms(f, rank) * WP_US_PER_MS;
    int64_t again_us = part_us(f, ASK_AGAIN_PART * (1 + f->haste));
    return now.mono_us - f->word_us > limit_us &&
           now.mono_us - f->asked_us > again_us;
}

uint32_t wp_fresh_pause_ms(const WPFresh *f, unsigned failures)
{
    double most_ms = PAUSE_MOST_PART * f->apply_ms;
    double ms = PAUSE_FIRST_MS;
    while (failures-- && ms < most_ms)
        ms *= 2;
    return (uint32_t)(MIN(ms, most_ms) * (1 + PAUSE_SPREAD * f->haste));
}

uint32_t wp_fresh_start_ms(const WPFresh *f, bool first, bool reaches)
{
    double again_ms = reaches ? START_REACHES_MS : START_MS;
    double ms = first ? START_FIRST_MS : again_ms;
    return (uint32_t)(ms * (1 + START_SPREAD * f->haste));
}

bool wp_fresh_lags(const WPFresh *f, WPTime now, int64_t behind_ms)
{
    int64_t limit_us = part_us(f, BEHIND_PART);
    return behind_ms * WP_US_PER_MS > limit_us &&
           now.mono_us - f->asked_us > limit_us;
}
