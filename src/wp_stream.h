/* Events of a stream (text/event-stream) on their way from an endpoint to a
 * caller: only whole ones are passed on, in order, none twice, so that the
 * stream can go on at another endpoint after a break. */
#ifndef WP_STREAM_H
#define WP_STREAM_H

#include "wp_base.h"

typedef struct WPStream {
    GByteArray *partial; /* an event that has not wholly come */
    bool has_last;
    uint64_t last; /* id of the last event passed on */
    uint64_t events;
} WPStream;

void wp_stream_init(WPStream *s);
void wp_stream_end(WPStream *s);

/* The caller has events up to this one already. */
void wp_stream_after(WPStream *s, uint64_t id);

/* Another endpoint goes on: what it begins is not joined to what is partial. */
void wp_stream_restart(WPStream *s);

/* Appends the whole events in `data` to `out`. Returns false when one is
   missing in the order: the stream is broken there. */
bool wp_stream_feed(WPStream *s, const char *data, size_t n, GByteArray *out);

/* Whether nothing partial is left. */
bool wp_stream_is_even(const WPStream *s);

#endif
