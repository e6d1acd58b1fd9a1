/* Writing to the log never blocks, and the log reports how many lines it
 * dropped. */
#include "test.h"
#include "wp_clock.h"
#include "wp_log.h"

#include <fcntl.h>
#include <unistd.h>

enum { LINES = 20000, RATE = 1 << 20 };

static void log_into_pipe(WPLog *l, int pipe_fd[2], uint32_t rate)
{
    assert_int_equal(pipe(pipe_fd), 0);
    wp_log_init(l, "e1", "info", "kv");
    l->fd = pipe_fd[1];
    wp_log_enable_buffering(l, rate);
}

static char *read_all(int fd)
{
    GString *out = g_string_new(NULL);
    char buf[4096];
    ssize_t n;
    fcntl(fd, F_SETFL, O_NONBLOCK);
    while ((n = read(fd, buf, sizeof(buf))) > 0)
        g_string_append_len(out, buf, n);
    return g_string_free(out, FALSE);
}

/* Nothing reads the pipe: without the bound on buffered lines this test
   would never end. */
static void a_stalled_reader_does_not_block(void **state)
{
    WPLog l;
    int fd[2];
    (void)state;
    log_into_pipe(&l, fd, 0);
    for (int i = 0; i < LINES; i++) {
        wp_log(&l, WP_INFO, "request", "id", "0123456789abcdef", "outcome",
               "ok", NULL);
        wp_log_flush(&l);
    }
    assert_true(l.dropped > 0);
    /* Once the pipe is read, a log line tells how many lines were dropped. */
    bool reported = false;
    for (int i = 0; i < 100 && !reported; i++) {
        g_autofree char *text = read_all(fd[0]);
        reported = strstr(text, "event=log_dropped lines=") != NULL;
        wp_log_flush(&l);
    }
    assert_true(reported);
    wp_log_end(&l);
    close(fd[0]);
    close(fd[1]);
}

static void request_lines_keep_to_the_rate(void **state)
{
    WPLog l;
    int fd[2];
    (void)state;
    log_into_pipe(&l, fd, 1000);
    for (int i = 0; i < 1000; i++)
        wp_log(&l, WP_INFO, "request", "id", "0123456789abcdef", NULL);
    assert_true(l.pending->len <= 2000);
    /* Lines above the level info are not rate-limited. */
    wp_log(&l, WP_WARN, "store_lost", NULL);
    assert_non_null(strstr(l.pending->str, "store_lost"));
    wp_log_end(&l);
    close(fd[0]);
    close(fd[1]);
}

TESTS_MAIN(T(a_stalled_reader_does_not_block),
           T(request_lines_keep_to_the_rate))
