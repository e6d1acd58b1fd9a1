/* Events of a stream (text/event-stream) on their way from an endpoint to a
 * caller: only complete ones are passed on, in order, none twice, so that the
 * stream can be resumed at another endpoint after a break. Each is checked
 * against those before it; nothing is passed on of a run that cannot be
 * trusted. */
#ifndef WP_STREAM_H
#define WP_STREAM_H

#include "wp_base.h"

/* Bytes that may arrive without a new event. An endpoint that sends more is
   broken: bytes without end would fill the memory or, as comments, keep the
   caller waiting. */
enum { WP_STREAM_QUIET_MAX_BYTES = 256 << 10 };

typedef enum WPStreamStatus {
    WP_STREAM_OK,
    WP_STREAM_INVALID, /* see WPStream.fault */
    WP_STREAM_ENDLESS  /* over WP_STREAM_QUIET_MAX_BYTES */
} WPStreamStatus;

/* How the events that were passed on are numbered. */
typedef enum WPStreamIds {
    WP_STREAM_IDS_UNKNOWN, /* there are none yet */
    WP_STREAM_NUMBERED,    /* by ascending ids */
    WP_STREAM_UNNUMBERED   /* they have no ids, or ids that are no numbers */
} WPStreamIds;

typedef struct WPStream {
    GByteArray *partial; /* an event that has not arrived completely */
    size_t scanned;      /* bytes of it in which no event ends */
    size_t quiet_bytes;  /* received since the last new event */
    bool resumable;      /* another endpoint can be asked to go on */

    /* What the caller has: */
    WPStreamIds ids;
    bool has_last_id;
    uint64_t last_id;   /* of the last event passed on */
    uint64_t last_hash; /* of its bytes; 0: not known */
    uint64_t step;      /* difference of successive ids; 0: not known */
    bool is_regular;    /* all ids so far agree with `step` */
    bool irregular;     /* the ids ascend by unlike steps */
    bool lost_place;    /* one of the ids is wrong, and which is not known */
    uint64_t events;

    /* The present run: */
    bool replays; /* it resumes the stream and has had no new event yet */
    bool has_run_id;
    uint64_t run_id;  /* of its last event, a repeated one included */
    GByteArray *held; /* an event whose id the next one has to confirm */
    uint64_t held_id; /* 0: none is held */

    uint64_t refused_id; /* that a run had in place of the next; 0: none */
    const char *fault;   /* why the run is not trusted, in words */
} WPStream;

/* Begins a stream without events. */
void wp_stream_init(WPStream *s);

/* What is known of streams on this route. `resumable`: another endpoint may be
   asked to go on. `irregular`: ids ascend by unlike steps. */
void wp_stream_set_route(WPStream *s, bool resumable, bool irregular);

/* Frees what `s` owns, but not `s` itself. */
void wp_stream_end(WPStream *s);

/* The caller already has the events up to the one with this id. */
void wp_stream_set_last_id(WPStream *s, uint64_t id);

/* Another endpoint begins or resumes the stream: drops what is left of the run
   before, to which its data does not belong. */
void wp_stream_begin_run(WPStream *s);

/* Takes the next `n` bytes and appends the events that are complete to `out`.
   Unless it returns WP_STREAM_OK, the stream has to be treated as broken after
   these. */
WPStreamStatus wp_stream_feed(WPStream *s, const char *data, size_t n,
                              GByteArray *out);

/* The run has ended properly: appends what is left to `out`. If it returns
   WP_STREAM_INVALID, the stream is not complete. */
WPStreamStatus wp_stream_finish(WPStream *s, GByteArray *out);

/* Whether no partial event is left. */
bool wp_stream_at_event_boundary(const WPStream *s);

/* Whether it is known after which event another endpoint has to go on. */
bool wp_stream_has_place(const WPStream *s);

#endif
