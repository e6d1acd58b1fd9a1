/* How long an endpoint has given no sign of life while requests wait there for
 * their first byte. An endpoint that hangs has few requests and an empty queue
 * by its last report, so that it looks idle; its silence tells it apart. */
#ifndef WP_SILENCE_H
#define WP_SILENCE_H

#include "wp_base.h"

typedef struct WPSilence {
    uint32_t own;           /* requests of this box without a first byte */
    uint32_t others;        /* the same of other boxes */
    int64_t others_sent_us; /* when another box last sent one */
    /* The last first byte, or when the oldest of these requests was sent if
       that is later. */
    int64_t since_us;
} WPSilence;

/* This box has sent the endpoint a request. */
void wp_silence_sent(WPSilence *s, WPTime now);

/* The first byte of an answer to this box has come. */
void wp_silence_first_byte(WPSilence *s, WPTime now);

/* A request of this box ended without a first byte. */
void wp_silence_given_up(WPSilence *s);

/* The same events at another box. */
void wp_silence_merge_sent(WPSilence *s, WPTime now);
void wp_silence_merge_first_byte(WPSilence *s, WPTime now);

/* Returns for how long the endpoint has been silent, in microseconds; 0 if no
   request waits there. */
int64_t wp_silence_us(const WPSilence *s, WPTime now);

/* The same, but 0 while prefill of `queued_us` microseconds explains it. */
int64_t wp_silence_unexplained_us(const WPSilence *s, WPTime now,
                                  double queued_us);

#endif
