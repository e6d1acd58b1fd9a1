/* The clocks of one process, off by what a file says in milliseconds: a library
 * for LD_PRELOAD, for tests alone. The file ($WP_CLOCK_FILE) is read at each
 * call, so a step is seen at once. It holds one or two numbers: a step of the
 * time of day; and for how long the machine has been suspended, which the time
 * of day and the clock since the boot count and the steady clock does not. */
#define _GNU_SOURCE
#include <fcntl.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum { MS_PER_S = 1000, NS_PER_MS = 1000000, NS_PER_S = 1000000000 };

static long off_ms(clockid_t clock)
{
    const char *file = getenv("WP_CLOCK_FILE");
    char text[32] = "";
    int fd = file ? open(file, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0)
        return 0;
    ssize_t n = read(fd, text, sizeof(text) - 1);
    close(fd);
    char *more = text;
    long step = n > 0 ? strtol(text, &more, 10) : 0;
    long suspended = strtol(more, NULL, 10);
    return (clock == CLOCK_REALTIME ? step : 0) + suspended;
}

int clock_gettime(clockid_t clock, struct timespec *out)
{
    int code = (int)syscall(SYS_clock_gettime, clock, out);
    if (code || (clock != CLOCK_REALTIME && clock != CLOCK_BOOTTIME))
        return code;
    long off = off_ms(clock);
    out->tv_sec += off / MS_PER_S;
    out->tv_nsec += off % MS_PER_S * NS_PER_MS;
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
