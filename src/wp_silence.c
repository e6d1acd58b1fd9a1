/* Silent endpoints. */
#include "wp_silence.h"

/* Other boxes report no request that they give up; those are forgotten when
   nothing has been sent for this time. */
#define OTHERS_KEPT_US (4000 * WP_US_PER_MS)

/* An engine may take this many times the predicted prefill. */
#define QUEUE_MARGIN 2.0

/* Time to first byte at an engine without a queue, connection included. */
#define USUAL_US (300 * WP_US_PER_MS)

static bool others_wait(const WPSilence *s, WPTime now)
{
    return s->others && now.mono_us - s->others_sent_us < OTHERS_KEPT_US;
}

static bool any_waits(const WPSilence *s, WPTime now)
{
    return s->own || others_wait(s, now);
}

void wp_silence_sent(WPSilence *s, WPTime now)
{
    if (!any_waits(s, now))
        s->since_us = now.mono_us;
    s->own++;
}

void wp_silence_first_byte(WPSilence *s, WPTime now)
{
    wp_silence_given_up(s);
    s->since_us = now.mono_us;
}

void wp_silence_given_up(WPSilence *s)
{
    if (s->own)
        s->own--;
}

void wp_silence_merge_sent(WPSilence *s, WPTime now)
{
    if (!others_wait(s, now))
        s->others = 0;
    if (!any_waits(s, now))
        s->since_us = now.mono_us;
    s->others++;
    s->others_sent_us = now.mono_us;
}

void wp_silence_merge_first_byte(WPSilence *s, WPTime now)
{
    if (s->others)
        s->others--;
    s->since_us = now.mono_us;
}

int64_t wp_silence_us(const WPSilence *s, WPTime now)
{
    return any_waits(s, now) ? now.mono_us - s->since_us : 0;
}

int64_t wp_silence_unexplained_us(const WPSilence *s, WPTime now,
                                  double queued_us)
{
    int64_t us = wp_silence_us(s, now);
    return (double)us > QUEUE_MARGIN * queued_us + USUAL_US ? us : 0;
}
