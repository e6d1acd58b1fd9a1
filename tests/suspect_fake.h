/* Helpers of the tests of suspect requests and prompt parts: virtual time,
 * crashes, and the exchange of records between two boxes. */
#ifndef SUSPECT_FAKE_H
#define SUSPECT_FAKE_H

#include "direct_fake.h"

enum { BAD = 7, GOOD = 8, OTHER = 9 };

static inline WPTime at_ms(int64_t ms)
{
    return (WPTime){ 1000000000 + ms * WP_US_PER_MS, 1700000000000 + ms };
}

static inline int64_t us_at(int64_t ms)
{
    return at_ms(ms).mono_us;
}

static inline unsigned record_crash(WPSuspects *s, int64_t ms, uint64_t request,
                                    uint64_t incarnation, uint64_t version,
                                    int64_t sent_us)
{
    const WPSuspectAttempt r = { request, incarnation, version, sent_us, 0 };
    return wp_suspects_record_crash(s, at_ms(ms), &r);
}

/* Merges all unsent records of `from` into `to`, encoded as on the wire.
   Returns whether any of them was new there. */
static inline bool merge_unsent(WPSuspects *from, WPSuspects *to, WPTime now)
{
    static WPSuspect list[WP_SUSPECTS_PER_MESSAGE];
    size_t n = wp_suspects_take_unsent(from, list, WP_SUSPECTS_PER_MESSAGE);
    bool is_new = false;
    for (size_t i = 0; i < n; i++) {
        WPSuspectBuffers buffers;
        Wp__Suspect m;
        wp_suspect_encode(&list[i], now, &buffers, &m);
        is_new |= wp_suspects_merge(to, now, &m);
    }
    return is_new;
}

static inline WPSuspectKeys keys_of(uint64_t request, const char *const *parts)
{
    WPPrompt prompt = { .tokens = 1000 };
    WPSuspectKeys k;
    for (; *parts; parts++)
        wp_prompt_add(&prompt, wp_str(*parts), 10);
    wp_suspect_keys_init(&k, request, &prompt);
    return k;
}

#define KEYS(request, ...)                                                     \
    keys_of(request, (const char *const[]){ __VA_ARGS__, "own", NULL })

static inline void crash_of(WPSuspects *s, int64_t ms, const WPSuspectKeys *k,
                            uint64_t incarnation)
{
    const WPSuspectAttempt a = { .incarnation = incarnation,
                                 .version = 1,
                                 .sent_us = us_at(ms - 50) };
    wp_suspect_keys_record_crash(s, at_ms(ms), k, &a);
}

static inline WPSuspectAdmission admit(WPSuspects *s, int64_t ms,
                                       const WPSuspectKeys *k)
{
    uint64_t why;
    return wp_suspect_keys_admit(s, at_ms(ms), k, 1, &why);
}

#endif
