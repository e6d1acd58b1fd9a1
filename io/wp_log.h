/* Logger: structured lines on standard output, as key=value pairs or as JSON.
 * With buffering (wp_log_enable_buffering()) it never blocks: lines that the
 * reader of the output does not accept in time or that exceed the rate limit
 * are dropped and counted, and a later line states how many. */
#ifndef WP_LOG_H
#define WP_LOG_H

#include "wp_base.h"

typedef enum WPLevel { WP_DEBUG, WP_INFO, WP_WARN, WP_ERROR_LEVEL } WPLevel;

typedef struct WPLog {
    const char *box;
    WPLevel min_level;
    bool json;
    int fd;
    GString *pending; /* buffered lines; NULL: each line is written at once */
    uint32_t bytes_per_s; /* rate limit of lines up to info, such as
                             those on requests; 0: none */
    double allowance;     /* tokens of the rate limit, in bytes */
    int64_t refilled_us;
    uint64_t dropped, dropped_reported; /* numbers of lines */
} WPLog;

/* `box` is the box id that each line carries; it must outlive the log. `level`,
   the lowest one logged, is debug, info, warn or error (info if it is none of
   these); `format` is json, or kv, which any other text stands for as well. */
void wp_log_init(WPLog *l, const char *box, const char *level,
                 const char *format);

/* From now on buffers lines until wp_log_flush(), which is to be called several
   times a second, and limits lines of the levels debug and info to
   `bytes_per_s`; 0: no limit. Lines of higher levels are never rate-limited. */
void wp_log_enable_buffering(WPLog *l, uint32_t bytes_per_s);

/* Writes out the buffered lines, as far as the reader accepts them; does
   nothing without buffering. */
void wp_log_flush(WPLog *l);

/* Flushes the log and ends buffering. */
void wp_log_end(WPLog *l);

/* Logs a line. `event` is one word; pairs of key and value follow, all of them
   strings, ended by NULL. */
void wp_log(WPLog *l, WPLevel level, const char *event,
            ...) G_GNUC_NULL_TERMINATED;

#endif
