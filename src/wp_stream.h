/* Events of a stream (text/event-stream) on their way from an endpoint to a
 * caller: only complete ones are passed on, in order, none twice, so that the
 * stream can be resumed at another endpoint after a break. */
#ifndef WP_STREAM_H
#define WP_STREAM_H

#include "wp_base.h"

typedef struct WPStream {
    GByteArray *partial; /* an event that has not arrived completely */
    bool has_last_id;
    uint64_t last_id; /* id of the last event passed on */
    uint64_t events;
} WPStream;

/* Begins a stream without events. */
void wp_stream_init(WPStream *s);

/* Frees what `s` owns, but not `s` itself. */
void wp_stream_end(WPStream *s);

/* The caller already has the events up to the one with this id. */
void wp_stream_set_last_id(WPStream *s, uint64_t id);

/* Another endpoint resumes the stream: drops the partial event, to which its
   data does not belong. */
void wp_stream_discard_partial(WPStream *s);

/* Takes the next `n` bytes and appends the events that are complete to `out`.
   Returns false when an event is missing in the order of ids: the stream has to
   be treated as broken there. */
bool wp_stream_feed(WPStream *s, const char *data, size_t n, GByteArray *out);

/* Whether no partial event is left. */
bool wp_stream_at_event_boundary(const WPStream *s);

#endif
