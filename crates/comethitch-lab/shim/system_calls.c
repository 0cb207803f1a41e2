/*
 * Injects faults of system calls, for tests and the soak only. The library is loaded in front of the C library
 * (LD_PRELOAD) and makes calls fail in ways that Linux documents. The product neither contains nor needs it.
 *
 * COMETHITCH_FAULTS holds `name=number` pairs, separated by commas. "One in N" is drawn with the seed.
 *
 *   seed=N           seed of all random draws
 *   interrupt=N      one in N reads and writes of sockets fails with EINTR
 *   short=N          reads and writes of TCP sockets move 1 to N bytes
 *   socket=N         one in N sockets cannot be created (ENFILE, ENOBUFS, EMFILE, ENOMEM in turn)
 *   socket_first=N   the first N sockets cannot be created
 *   accept=N         one in N accepts fails (ECONNABORTED, ENFILE, ENOBUFS, EMFILE in turn)
 *   connect=N        one in N connects fails (EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR in turn)
 *   wait=N           one in N waits fails with EINTR
 *   hold=N           one in N writes of TCP sockets is delayed ...
 *   hold_ms=N        ... by this many milliseconds
 *   stderr=N         one in N writes to standard error fails with ENOSPC or EIO
 *   wall_ms=N        the wall clock is wrong by N, which may be negative ...
 *   mend_ms=N        ... until N after the start; without it, for ever
 *   step_ms=N        the wall clock is stepped by N, and back ...
 *   step_every_ms=N  ... at this interval
 *   share=N          the process has 1/N of a core: each thread waits N - 1 times the processor time that it has used
 *   from_ms=N        calls fail only from N after the start ...
 *   until_ms=N       ... until N after the start
 */
#define _GNU_SOURCE
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

enum setting {
    SEED, INTERRUPT, SHORT, SOCKET, SOCKET_FIRST, ACCEPT, CONNECT, WAIT, HOLD, HOLD_MS, STDERR, WALL_MS,
    MEND_MS, STEP_MS, STEP_EVERY_MS, SHARE, FROM_MS, UNTIL_MS, SETTINGS
};

static const char *const names[SETTINGS] = {
    "seed", "interrupt", "short", "socket", "socket_first", "accept", "connect", "wait", "hold", "hold_ms",
    "stderr", "wall_ms", "mend_ms", "step_ms", "step_every_ms", "share", "from_ms", "until_ms"
};

static long settings[SETTINGS];
static int64_t started_ns;
static atomic_ulong draws;
static atomic_ulong sockets;

static int64_t clock_ns(clockid_t clock) {
    struct timespec now;
    syscall(SYS_clock_gettime, clock, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static int64_t since_start_ms(void) {
    return (clock_ns(CLOCK_MONOTONIC) - started_ns) / 1000000;
}

__attribute__((constructor)) static void read_settings(void) {
    const char *text = getenv("COMETHITCH_FAULTS");
    started_ns = clock_ns(CLOCK_MONOTONIC);
    while (text && *text) {
        for (int setting = 0; setting < SETTINGS; setting++) {
            size_t length = strlen(names[setting]);
            if (strncmp(text, names[setting], length) == 0 && text[length] == '=')
                settings[setting] = strtol(text + length + 1, NULL, 10);
        }
        text = strchr(text, ',');
        text = text ? text + 1 : NULL;
    }
}

/* Returns the next random number of the seed (splitmix64). */
static uint64_t draw(void) {
    uint64_t mixed = (uint64_t)settings[SEED] + (atomic_fetch_add(&draws, 1) + 1) * 0x9e3779b97f4a7c15u;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
    return mixed ^ (mixed >> 31);
}

static int calls_fail(void) {
    int64_t now = since_start_ms();
    return now >= settings[FROM_MS] && (settings[UNTIL_MS] == 0 || now < settings[UNTIL_MS]);
}

static int happens(enum setting setting) {
    return settings[setting] > 0 && calls_fail() && draw() % (uint64_t)settings[setting] == 0;
}

static int one_of(int a, int b, int c, int d) {
    int errors[] = { a, b, c, d };
    errno = errors[draw() % 4];
    return -1;
}

static int is_tcp(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain != AF_UNIX;
}

static size_t shortened(int fd, size_t length) {
    if (settings[SHORT] <= 0 || length <= 1 || !calls_fail() || !is_tcp(fd))
        return length;
    size_t limit = 1 + draw() % (uint64_t)settings[SHORT];
    return length < limit ? length : limit;
}

/* Shorter waits are postponed, as the system wakes threads some tens of microseconds late. */
#define MIN_WAIT_NS 1000000

/* Waits in proportion to the processor time that this thread has used since the last call, as if the process had a
 * fraction of a core. A long computation between two system calls results in one long wait. */
static void wait_for_processor(void) {
    static __thread int64_t counted_ns, pending_ns;
    if (settings[SHARE] <= 1)
        return;
    int64_t used_ns = clock_ns(CLOCK_THREAD_CPUTIME_ID);
    if (calls_fail())
        pending_ns += (used_ns - counted_ns) * (settings[SHARE] - 1);
    counted_ns = used_ns;
    if (pending_ns < MIN_WAIT_NS)
        return;
    int64_t from_ns = clock_ns(CLOCK_MONOTONIC);
    struct timespec span = { pending_ns / 1000000000, pending_ns % 1000000000 };
    syscall(SYS_nanosleep, &span, NULL);
    pending_ns -= clock_ns(CLOCK_MONOTONIC) - from_ns;
}

static void delay_write(int fd) {
    if (settings[HOLD] > 0 && is_tcp(fd) && happens(HOLD)) {
        struct timespec span = { settings[HOLD_MS] / 1000, settings[HOLD_MS] % 1000 * 1000000 };
        syscall(SYS_nanosleep, &span, NULL);
    }
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    wait_for_processor();
    if (happens(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    if (!(flags & MSG_PEEK))
        length = shortened(fd, length);
    return syscall(SYS_recvfrom, fd, buffer, length, flags, NULL, NULL);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    wait_for_processor();
    if (happens(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    delay_write(fd);
    return syscall(SYS_sendto, fd, buffer, shortened(fd, length), flags, NULL, 0);
}

static int is_socket(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
}

ssize_t read(int fd, void *buffer, size_t length) {
    wait_for_processor();
    if (settings[INTERRUPT] > 0 && is_socket(fd) && happens(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    return syscall(SYS_read, fd, buffer, length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    wait_for_processor();
    if (fd == STDERR_FILENO && happens(STDERR)) {
        errno = draw() % 2 ? ENOSPC : EIO;
        return -1;
    }
    if (settings[INTERRUPT] > 0 && is_socket(fd) && happens(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    return syscall(SYS_write, fd, buffer, length);
}

int socket(int domain, int type, int protocol) {
    if ((long)atomic_fetch_add(&sockets, 1) < settings[SOCKET_FIRST] || happens(SOCKET))
        return one_of(ENFILE, ENOBUFS, EMFILE, ENOMEM);
    return syscall(SYS_socket, domain, type, protocol);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (happens(ACCEPT))
        return one_of(ECONNABORTED, ENFILE, ENOBUFS, EMFILE);
    return syscall(SYS_accept4, fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (happens(CONNECT))
        return one_of(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR);
    return syscall(SYS_connect, fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    if (happens(WAIT)) {
        errno = EINTR;
        return -1;
    }
    return syscall(SYS_epoll_pwait, fd, events, max_events, timeout, NULL, (size_t)8);
}

int poll(struct pollfd *polled, nfds_t number, int timeout) {
    struct timespec span = { timeout / 1000, timeout % 1000 * 1000000L };
    if (happens(WAIT) || happens(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    return syscall(SYS_ppoll, polled, number, timeout < 0 ? NULL : &span, NULL, (size_t)8);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    wait_for_processor();
    int result = syscall(SYS_clock_gettime, clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        int64_t elapsed = since_start_ms();
        int64_t offset_ms = settings[MEND_MS] == 0 || elapsed < settings[MEND_MS] ? settings[WALL_MS] : 0;
        if (settings[STEP_EVERY_MS] > 0 && elapsed / settings[STEP_EVERY_MS] % 2 == 1)
            offset_ms += settings[STEP_MS];
        now->tv_sec += offset_ms / 1000;
        now->tv_nsec += offset_ms % 1000 * 1000000;
        if (now->tv_nsec < 0) {
            now->tv_nsec += 1000000000;
            now->tv_sec -= 1;
        } else if (now->tv_nsec >= 1000000000) {
            now->tv_nsec -= 1000000000;
            now->tv_sec += 1;
        }
    }
    return result;
}
