/*
 * Makes system calls of one process fail on command. Only gateway processes of the soak load it, by LD_PRELOAD.
 *
 * The file that SOAK_SHIM names is mapped shared; the soak writes rules into it and reads the hit counters. A rule states, for
 * one call on one kind of descriptor, that one in one_in calls fails with an errno, or (errno 0) transfers only one byte. The
 * wall clock is shifted by an offset; the monotonic clock is unchanged.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { CALL_ACCEPT, CALL_SOCKET, CALL_CONNECT, CALL_READ, CALL_WRITE, CALL_EPOLL, CALL_CLOSE, CALL_FSYNC, CALLS };
enum kind { KIND_FILE, KIND_CLIENT, KIND_BACKEND, KIND_DISCOVERY, KINDS };

struct rule {
    volatile int32_t one_in; /* 0: off */
    volatile int32_t error;  /* 0: short transfer */
    volatile int64_t hits;
};

/* The layout that FaultShim.java writes and reads. */
struct control {
    volatile int64_t clock_offset_ns;
    volatile int64_t clock_hits;
    volatile int32_t discovery_ports[4];
    struct rule rules[CALLS][KINDS];
};

#define MOST_DESCRIPTORS 65536
static struct control off;
static struct control *control = &off;
static unsigned char kinds[MOST_DESCRIPTORS];
static __thread uint64_t random_state;

static void *next(const char *name) {
    static void *(*real)(void *, const char *);
    if (!real) real = dlvsym(RTLD_NEXT, "dlsym", "GLIBC_2.2.5");
    if (!real) real = dlvsym(RTLD_NEXT, "dlsym", "GLIBC_2.34");
    return real(RTLD_NEXT, name);
}

#define REAL(result, name, ...)                     \
    static result (*real_##name)(__VA_ARGS__);      \
    if (!real_##name) real_##name = next(#name)

__attribute__((constructor)) static void map_control(void) {
    const char *file = getenv("SOAK_SHIM");
    if (!file) return;
    int fd = open(file, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *mapped = mmap(0, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) control = mapped;
}

static int kind_of(int fd) { return fd >= 0 && fd < MOST_DESCRIPTORS ? kinds[fd] : KIND_FILE; }

static void set_kind(int fd, int kind) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS) kinds[fd] = (unsigned char)kind;
}

/* Returns the rule by which this call fails, or 0 if it does not fail. */
static struct rule *hit(enum call call, int kind) {
    struct rule *rule = &control->rules[call][kind];
    int one_in = rule->one_in;
    if (one_in <= 0) return 0;
    if (!random_state) random_state = (uint64_t)(uintptr_t)&random_state ^ 0x9E3779B97F4A7C15ull;
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    if ((random_state >> 20) % (uint64_t)one_in) return 0;
    __sync_fetch_and_add(&rule->hits, 1);
    return rule;
}

#define FAIL_IF_HIT(call, kind)                     \
    do {                                            \
        struct rule *failing = hit(call, kind);     \
        if (failing && failing->error) {            \
            errno = failing->error;                 \
            return -1;                              \
        }                                           \
    } while (0)

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(int, accept, int, struct sockaddr *, socklen_t *);
    FAIL_IF_HIT(CALL_ACCEPT, KIND_CLIENT);
    int made = real_accept(fd, address, length);
    set_kind(made, KIND_CLIENT);
    return made;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, accept4, int, struct sockaddr *, socklen_t *, int);
    FAIL_IF_HIT(CALL_ACCEPT, KIND_CLIENT);
    int made = real_accept4(fd, address, length, flags);
    set_kind(made, KIND_CLIENT);
    return made;
}

int socket(int domain, int type, int protocol) {
    REAL(int, socket, int, int, int);
    if (domain == AF_INET || domain == AF_INET6) FAIL_IF_HIT(CALL_SOCKET, KIND_BACKEND);
    int made = real_socket(domain, type, protocol);
    set_kind(made, KIND_FILE);
    return made;
}

static int port_of(const struct sockaddr *address) {
    if (address->sa_family == AF_INET) return ntohs(((const struct sockaddr_in *)address)->sin_port);
    if (address->sa_family == AF_INET6) return ntohs(((const struct sockaddr_in6 *)address)->sin6_port);
    return -1;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, connect, int, const struct sockaddr *, socklen_t);
    int port = port_of(address);
    if (port >= 0) {
        int kind = KIND_BACKEND;
        for (int i = 0; i < 4; i++)
            if (control->discovery_ports[i] == port) kind = KIND_DISCOVERY;
        set_kind(fd, kind);
        FAIL_IF_HIT(CALL_CONNECT, kind);
    }
    return real_connect(fd, address, length);
}

ssize_t read(int fd, void *to, size_t length) {
    REAL(ssize_t, read, int, void *, size_t);
    int kind = kind_of(fd);
    if (kind != KIND_FILE && length > 0) {
        struct rule *failing = hit(CALL_READ, kind);
        if (failing && failing->error) {
            errno = failing->error;
            return -1;
        }
        if (failing) length = 1;
    }
    return real_read(fd, to, length);
}

ssize_t readv(int fd, const struct iovec *to, int count) {
    REAL(ssize_t, readv, int, const struct iovec *, int);
    int kind = kind_of(fd);
    if (kind != KIND_FILE) FAIL_IF_HIT(CALL_READ, kind);
    return real_readv(fd, to, count);
}

ssize_t write(int fd, const void *from, size_t length) {
    REAL(ssize_t, write, int, const void *, size_t);
    int kind = kind_of(fd);
    if (kind != KIND_FILE && length > 1) {
        struct rule *failing = hit(CALL_WRITE, kind);
        if (failing && failing->error) {
            errno = failing->error;
            return -1;
        }
        if (failing) length = 1;
    }
    return real_write(fd, from, length);
}

ssize_t writev(int fd, const struct iovec *from, int count) {
    REAL(ssize_t, writev, int, const struct iovec *, int);
    int kind = kind_of(fd);
    if (kind != KIND_FILE && count > 0 && from[0].iov_len > 1) {
        struct rule *failing = hit(CALL_WRITE, kind);
        if (failing && failing->error) {
            errno = failing->error;
            return -1;
        }
        if (failing) {
            struct iovec first = {from[0].iov_base, 1};
            return real_writev(fd, &first, 1);
        }
    }
    return real_writev(fd, from, count);
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int timeout) {
    REAL(int, epoll_wait, int, struct epoll_event *, int, int);
    FAIL_IF_HIT(CALL_EPOLL, KIND_FILE);
    return real_epoll_wait(epoll, events, most, timeout);
}

int close(int fd) {
    REAL(int, close, int);
    set_kind(fd, KIND_FILE);
    return real_close(fd);
}

int fsync(int fd) {
    REAL(int, fsync, int);
    FAIL_IF_HIT(CALL_FSYNC, KIND_FILE);
    return real_fsync(fd);
}

int fdatasync(int fd) {
    REAL(int, fdatasync, int);
    FAIL_IF_HIT(CALL_FSYNC, KIND_FILE);
    return real_fdatasync(fd);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(int, clock_gettime, clockid_t, struct timespec *);
    int result = real_clock_gettime(clock, time);
    int64_t offset = control->clock_offset_ns;
    if (result == 0 && offset && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t shifted = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + offset;
        time->tv_sec = shifted / 1000000000;
        time->tv_nsec = shifted % 1000000000;
        __sync_fetch_and_add(&control->clock_hits, 1);
    }
    return result;
}

int gettimeofday(struct timeval *time, void *zone) {
    (void)zone;
    struct timespec now;
    if (clock_gettime(CLOCK_REALTIME, &now)) return -1;
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return 0;
}

/* The JVM looks up clock_gettime by name in a specific library, which would bypass the replacement above. */
void *dlsym(void *library, const char *name) {
    static void *(*real)(void *, const char *);
    if (!real) real = dlvsym(RTLD_NEXT, "dlsym", "GLIBC_2.2.5");
    if (!real) real = dlvsym(RTLD_NEXT, "dlsym", "GLIBC_2.34");
    if (!strcmp(name, "clock_gettime")) return (void *)clock_gettime;
    return real(library, name);
}
