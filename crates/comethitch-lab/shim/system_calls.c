/*
 * Injects faults of system calls, for tests and soak tests only. The library is loaded before the C library
 * (LD_PRELOAD) and makes calls fail in ways that Linux documents. The router neither contains nor needs it.
 *
 * COMETHITCH_FAULTS holds `name=number` pairs, separated by commas. "One in N" means that each such call is
 * affected with a probability of 1/N. All random draws derive from the seed.
 *
 *   seed=N           seed of all random draws
 *   interrupt=N      one in N reads and writes of sockets, and one in N polls, fails with EINTR
 *   short=N          receives and sends on TCP sockets transfer at most 1 to N bytes, drawn at random
 *   socket=N         one in N sockets cannot be created (ENFILE, ENOBUFS, EMFILE or ENOMEM, drawn at random)
 *   socket_first=N   the first N sockets cannot be created (same errors)
 *   accept=N         one in N accepts fails (ECONNABORTED, ENFILE, ENOBUFS or EMFILE, drawn at random)
 *   connect=N        one in N connects fails (EADDRNOTAVAIL, ENETUNREACH, ENOBUFS or EINTR, drawn at random)
 *   wait=N           one in N waits for events fails with EINTR
 *   hold=N           one in N sends on TCP sockets is delayed by hold_ms
 *   hold_ms=N        length of a delay, in milliseconds
 *   stderr=N         one in N writes to standard error fails with ENOSPC or EIO
 *   wall_ms=N        the wall clock is wrong by N milliseconds, which may be negative
 *   mend_ms=N        the wall clock is corrected N milliseconds after the start; by default never
 *   step_ms=N        the wall clock is stepped by N milliseconds and back, alternately
 *   step_every_ms=N  interval between these steps, in milliseconds
 *   share=N          the process has 1/N of a core: each thread waits N - 1 times the processor time that it
 *                    has used
 *   from_ms=N        faults begin N milliseconds after the start; by default at once
 *   until_ms=N       faults end N milliseconds after the start; by default never
 *
 * from_ms and until_ms affect neither socket_first nor the settings of the wall clock.
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
    MEND_MS, STEP_MS, STEP_EVERY_MS, SHARE, FROM_MS, UNTIL_MS, SETTING_COUNT
};

static const char *const setting_names[SETTING_COUNT] = {
    "seed", "interrupt", "short", "socket", "socket_first", "accept", "connect", "wait", "hold", "hold_ms",
    "stderr", "wall_ms", "mend_ms", "step_ms", "step_every_ms", "share", "from_ms", "until_ms"
};

static long settings[SETTING_COUNT];
static int64_t started_ns;
static atomic_ulong draw_count;
static atomic_ulong socket_calls;

static int64_t clock_ns(clockid_t clock) {
    struct timespec now;
    syscall(SYS_clock_gettime, clock, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

/* Returns the time since the start of the process, in milliseconds. */
static int64_t elapsed_ms(void) {
    return (clock_ns(CLOCK_MONOTONIC) - started_ns) / 1000000;
}

__attribute__((constructor)) static void read_settings(void) {
    const char *text = getenv("COMETHITCH_FAULTS");
    started_ns = clock_ns(CLOCK_MONOTONIC);
    while (text && *text) {
        for (int setting = 0; setting < SETTING_COUNT; setting++) {
            size_t length = strlen(setting_names[setting]);
            if (strncmp(text, setting_names[setting], length) == 0 && text[length] == '=')
                settings[setting] = strtol(text + length + 1, NULL, 10);
        }
        text = strchr(text, ',');
        text = text ? text + 1 : NULL;
    }
}

/* Returns the next random number of the seed (splitmix64). */
static uint64_t draw(void) {
    uint64_t mixed = (uint64_t)settings[SEED] + (atomic_fetch_add(&draw_count, 1) + 1) * 0x9e3779b97f4a7c15u;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
    return mixed ^ (mixed >> 31);
}

/* Returns whether the current time is between from_ms and until_ms. */
static int faults_are_active(void) {
    int64_t now_ms = elapsed_ms();
    return now_ms >= settings[FROM_MS] && (settings[UNTIL_MS] == 0 || now_ms < settings[UNTIL_MS]);
}

/* Draws whether a call is affected, with a probability of 1/N for a setting of N. Makes no random draw if the
 * setting is absent or faults are not active. */
static int fault_is_drawn(enum setting setting) {
    return settings[setting] > 0 && faults_are_active() && draw() % (uint64_t)settings[setting] == 0;
}

/* Sets errno to one of four errors, drawn at random, and returns the result of a failed call. */
static int fail_with_one_of(int a, int b, int c, int d) {
    int errors[] = { a, b, c, d };
    errno = errors[draw() % 4];
    return -1;
}

static int is_tcp(int fd) {
    int domain = 0;
    socklen_t length = sizeof domain;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain != AF_UNIX;
}

/* Returns the length of a transfer on a socket, reduced as `short` requires. */
static size_t limit_transfer(int fd, size_t length) {
    if (settings[SHORT] <= 0 || length <= 1 || !faults_are_active() || !is_tcp(fd))
        return length;
    size_t limit = 1 + draw() % (uint64_t)settings[SHORT];
    return length < limit ? length : limit;
}

/* Shorter waits are postponed, because the system wakes threads some tens of microseconds late. */
#define MIN_WAIT_NS 1000000

/* Waits in proportion to the processor time that this thread has used since the last call, so that the
 * process behaves as if it had only a fraction of a core. A long computation between two system calls results
 * in one long wait. */
static void wait_for_processor(void) {
    static __thread int64_t counted_ns, pending_ns;
    if (settings[SHARE] <= 1)
        return;
    int64_t used_ns = clock_ns(CLOCK_THREAD_CPUTIME_ID);
    if (faults_are_active())
        pending_ns += (used_ns - counted_ns) * (settings[SHARE] - 1);
    counted_ns = used_ns;
    if (pending_ns < MIN_WAIT_NS)
        return;
    int64_t from_ns = clock_ns(CLOCK_MONOTONIC);
    struct timespec duration = { pending_ns / 1000000000, pending_ns % 1000000000 };
    syscall(SYS_nanosleep, &duration, NULL);
    pending_ns -= clock_ns(CLOCK_MONOTONIC) - from_ns;
}

static void delay_write(int fd) {
    if (settings[HOLD] > 0 && is_tcp(fd) && fault_is_drawn(HOLD)) {
        struct timespec duration = { settings[HOLD_MS] / 1000, settings[HOLD_MS] % 1000 * 1000000 };
        syscall(SYS_nanosleep, &duration, NULL);
    }
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    wait_for_processor();
    if (fault_is_drawn(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    if (!(flags & MSG_PEEK))
        length = limit_transfer(fd, length);
    return syscall(SYS_recvfrom, fd, buffer, length, flags, NULL, NULL);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    wait_for_processor();
    if (fault_is_drawn(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    delay_write(fd);
    return syscall(SYS_sendto, fd, buffer, limit_transfer(fd, length), flags, NULL, 0);
}

static int is_socket(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0;
}

ssize_t read(int fd, void *buffer, size_t length) {
    wait_for_processor();
    if (settings[INTERRUPT] > 0 && is_socket(fd) && fault_is_drawn(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    return syscall(SYS_read, fd, buffer, length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    wait_for_processor();
    if (fd == STDERR_FILENO && fault_is_drawn(STDERR)) {
        errno = draw() % 2 ? ENOSPC : EIO;
        return -1;
    }
    if (settings[INTERRUPT] > 0 && is_socket(fd) && fault_is_drawn(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    return syscall(SYS_write, fd, buffer, length);
}

int socket(int domain, int type, int protocol) {
    if ((long)atomic_fetch_add(&socket_calls, 1) < settings[SOCKET_FIRST] || fault_is_drawn(SOCKET))
        return fail_with_one_of(ENFILE, ENOBUFS, EMFILE, ENOMEM);
    return syscall(SYS_socket, domain, type, protocol);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (fault_is_drawn(ACCEPT))
        return fail_with_one_of(ECONNABORTED, ENFILE, ENOBUFS, EMFILE);
    return syscall(SYS_accept4, fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (fault_is_drawn(CONNECT))
        return fail_with_one_of(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR);
    return syscall(SYS_connect, fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    if (fault_is_drawn(WAIT)) {
        errno = EINTR;
        return -1;
    }
    return syscall(SYS_epoll_pwait, fd, events, max_events, timeout, NULL, (size_t)8);
}

int poll(struct pollfd *polled, nfds_t number, int timeout) {
    struct timespec duration = { timeout / 1000, timeout % 1000 * 1000000L };
    if (fault_is_drawn(WAIT) || fault_is_drawn(INTERRUPT)) {
        errno = EINTR;
        return -1;
    }
    return syscall(SYS_ppoll, polled, number, timeout < 0 ? NULL : &duration, NULL, (size_t)8);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    wait_for_processor();
    int result = syscall(SYS_clock_gettime, clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        int64_t now_ms = elapsed_ms();
        int64_t offset_ms = settings[MEND_MS] == 0 || now_ms < settings[MEND_MS] ? settings[WALL_MS] : 0;
        if (settings[STEP_EVERY_MS] > 0 && now_ms / settings[STEP_EVERY_MS] % 2 == 1)
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
