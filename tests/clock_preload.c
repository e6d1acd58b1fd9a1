/* LD_PRELOAD library for tests that shifts the clocks of one process. The file
 * named by $WP_CLOCK_FILE is read at each call, so that a change takes effect
 * at once. It holds one or two numbers in milliseconds: a step of the wall
 * clock; and the time for which the machine has been suspended, which
 * CLOCK_REALTIME and CLOCK_BOOTTIME count and CLOCK_MONOTONIC does not. */
#define _GNU_SOURCE
#include <fcntl.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum { MS_PER_S = 1000, NS_PER_MS = 1000000, NS_PER_S = 1000000000 };

/* Milliseconds to add to `clock`; 0 if there is no file. */
static long offset_ms(clockid_t clock)
{
    const char *file = getenv("WP_CLOCK_FILE");
    char text[32] = "";
    int fd = file ? open(file, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0)
        return 0;
    ssize_t n = read(fd, text, sizeof(text) - 1);
    close(fd);
    char *suspended_text = text;
    long step = n > 0 ? strtol(text, &suspended_text, 10) : 0;
    long suspended = strtol(suspended_text, NULL, 10);
    return (clock == CLOCK_REALTIME ? step : 0) + suspended;
}

int clock_gettime(clockid_t clock, struct timespec *out)
{
    int code = (int)syscall(SYS_clock_gettime, clock, out);
    if (code || (clock != CLOCK_REALTIME && clock != CLOCK_BOOTTIME))
        return code;
    long offset = offset_ms(clock);
    out->tv_sec += offset / MS_PER_S;
    out->tv_nsec += offset % MS_PER_S * NS_PER_MS;
    out->tv_sec += out->tv_nsec >= NS_PER_S;
    out->tv_sec -= out->tv_nsec < 0;
    out->tv_nsec += out->tv_nsec < 0 ? NS_PER_S : 0;
    out->tv_nsec -= out->tv_nsec >= NS_PER_S ? NS_PER_S : 0;
    return 0;
}

int gettimeofday(struct timeval *out, void *zone)
{
    struct timespec t;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &t);
    out->tv_sec = t.tv_sec;
    out->tv_usec = t.tv_nsec / 1000;
    return 0;
}
