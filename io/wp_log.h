/* A small logger: structured lines on standard output, as key=value pairs or
 * as JSON. It never blocks: what the reader does not take, or what goes over
 * the rate, is dropped and counted, and a later line tells how many. */
#ifndef WP_LOG_H
#define WP_LOG_H

#include "wp_base.h"

typedef enum WPLevel { WP_DEBUG, WP_INFO, WP_WARN, WP_ERROR_LEVEL } WPLevel;

typedef struct WPLog {
    const char *box;
    WPLevel least;
    bool json;
    int fd;
    GString *pending;     /* NULL: each line is written at once */
    uint32_t bytes_per_s; /* of lines about requests; 0: no bound */
    double allowance;     /* bytes that may still be written */
    int64_t refilled_us;
    uint64_t dropped, dropped_told; /* lines */
} WPLog;

/* `level` is debug, info, warn or error; `format` is kv or json. */
void wp_log_init(WPLog *l, const char *box, const char *level,
                 const char *format);

/* Gathers lines until wp_log_flush(), which is to be called several times a
   second, and holds lines of level info to `bytes_per_s`. */
void wp_log_gather(WPLog *l, uint32_t bytes_per_s);
void wp_log_flush(WPLog *l);
void wp_log_end(WPLog *l);

/* `event` is one word; then pairs of key and value, ended by NULL. */
void wp_log(WPLog *l, WPLevel level, const char *event,
            ...) G_GNUC_NULL_TERMINATED;

#endif
