/* Events of a stream (text/event-stream) on their way from an endpoint to a
 * caller: only complete ones are passed on, in order, none twice, so that the
 * stream can be resumed at another endpoint after a break. */
#ifndef WP_STREAM_H
#define WP_STREAM_H

#include "wp_base.h"

/* Bytes that may arrive without a new event. An endpoint that sends more is
   broken: bytes without end would fill the memory or, as comments, keep the
   caller waiting. */
enum { WP_STREAM_QUIET_MAX_BYTES = 256 << 10 };

typedef enum WPStreamStatus {
    WP_STREAM_OK,
    WP_STREAM_EVENT_MISSING, /* in the order of ids */
    WP_STREAM_ENDLESS        /* over WP_STREAM_QUIET_MAX_BYTES */
} WPStreamStatus;

typedef struct WPStream {
    GByteArray *partial; /* an event that has not arrived completely */
    size_t scanned;      /* bytes of it in which no event ends */
    size_t quiet_bytes;  /* received since the last new event */
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
   Unless it returns WP_STREAM_OK, the stream has to be treated as broken after
   these. */
WPStreamStatus wp_stream_feed(WPStream *s, const char *data, size_t n,
                              GByteArray *out);

/* Whether no partial event is left. */
bool wp_stream_at_event_boundary(const WPStream *s);

#endif
