/* A small logger: one line for each change of state, as key=value pairs or
 * as JSON. Requests are counted, not logged. */
#ifndef WP_LOG_H
#define WP_LOG_H

#include "wp_base.h"

typedef enum WPLevel { WP_DEBUG, WP_INFO, WP_WARN, WP_ERROR_LEVEL } WPLevel;

typedef struct WPLog {
    const char *box;
    WPLevel least;
    bool json;
    int fd;
} WPLog;

/* `level` is debug, info, warn or error; `format` is kv or json. */
void wp_log_init(WPLog *l, const char *box, const char *level,
                 const char *format);

/* `event` is one word; then pairs of key and value, ended by NULL. */
void wp_log(const WPLog *l, WPLevel level, const char *event,
            ...) G_GNUC_NULL_TERMINATED;

#endif
