#include "faultshim/shim.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <bitset>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace heathflow::faultshim {
namespace {

constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr Micros kNanosPerMicro = 1000;
constexpr std::size_t kMaxDescriptors = 65'536;

// Reads the kernel's monotonic clock directly, without the clock_gettime that is replaced below.
Micros monotonicNow() {
  timespec at{};
  ::syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &at);
  return at.tv_sec * kMicrosPerSecond + at.tv_nsec / kNanosPerMicro;
}

// The state of the shim in this process. It is not synchronized: only one thread may make calls.
struct State {
  FaultSampler sampler;
  Micros startedAt = monotonicNow();
  std::bitset<kMaxDescriptors> outgoing;  // sockets on which connect() was called

  State() {
    const char* text = std::getenv(kPlanVariable);
    if (text == nullptr) return;
    std::string problem;
    const auto plan = parsePlan(text, problem);
    if (!plan) {
      std::fprintf(stderr, "%s: %s\n", kPlanVariable, problem.c_str());
      ::_exit(2);
    }
    sampler = FaultSampler(*plan);
  }
  Micros now() const { return monotonicNow() - startedAt; }
};

State& state() {
  static State* const instance = new State;  // never destroyed: destructors at exit still make calls
  return *instance;
}

bool shouldFail(Fault fault) { return state().sampler.shouldFail(fault, state().now()); }

// Sets errno to the next of the fault's errors and returns -1.
template <std::size_t kCount>
int failWith(Fault fault, const std::array<int, kCount>& errors) {
  errno = errors[state().sampler.nextErrorIndex(fault, kCount)];
  return -1;
}

template <typename Function>
Function realCall(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

bool isFile(int fd) {
  struct stat about {};
  return ::fstat(fd, &about) == 0 && S_ISREG(about.st_mode);
}

bool isOutgoing(int fd) {
  return fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors &&
         state().outgoing[static_cast<std::size_t>(fd)];
}

void setOutgoing(int fd, bool value) {
  if (fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors)
    state().outgoing[static_cast<std::size_t>(fd)] = value;
}

// Decides whether recv or send fails as a whole; sets errno if so. A broken connection is also shut down.
bool transferFails(int fd) {
  if (shouldFail(Fault::InterruptIo)) {
    errno = EINTR;
    return true;
  }
  if (!isOutgoing(fd) || !shouldFail(Fault::Break)) return false;
  ::shutdown(fd, SHUT_RDWR);
  setOutgoing(fd, false);
  failWith<3>(Fault::Break, {ETIMEDOUT, EHOSTUNREACH, ECONNRESET});
  return true;
}

std::size_t maybeShorten(Fault fault, std::size_t size) {
  return size > 1 && shouldFail(fault) ? state().sampler.randomUpTo(size - 1) : size;
}

void maybePause() {
  if (!shouldFail(Fault::HoldUp)) return;
  const auto nanos = static_cast<long>(state().sampler.randomUpTo(kMaxHoldUp)) * kNanosPerMicro;
  timespec span{0, nanos};
  ::syscall(SYS_nanosleep, &span, nullptr);
}

// Decides whether a write to a file fails; sets errno if so. In half of these cases a part of the bytes is
// written first.
bool fileWriteFails(int fd, const void* from, std::size_t size) {
  if (!isFile(fd) || !shouldFail(Fault::FileWrite)) return false;
  if (size > 1 && state().sampler.randomUpTo(2) == 1)
    (void)!::syscall(SYS_write, fd, from, state().sampler.randomUpTo(size - 1));
  failWith<2>(Fault::FileWrite, {ENOSPC, EIO});
  return true;
}

bool fileOpenFails(const char* mode) {
  // Only files that the program opens by path get here; shared libraries are loaded by other calls.
  if (mode == nullptr || !shouldFail(Fault::FileOpen)) return false;
  failWith<3>(Fault::FileOpen, {ENFILE, EIO, ENOMEM});
  return true;
}

}  // namespace

void setPlan(const FaultPlan& plan) {
  state().sampler = FaultSampler(plan);
  state().startedAt = monotonicNow();
}

std::uint64_t injectedCount(Fault fault) { return state().sampler.injectedCount(fault); }

}  // namespace heathflow::faultshim

namespace shim = heathflow::faultshim;
using shim::Fault;

extern "C" {

ssize_t recv(int fd, void* into, size_t size, int flags) {
  static const auto real = shim::realCall<ssize_t (*)(int, void*, size_t, int)>("recv");
  if (shim::transferFails(fd)) return -1;
  // A shortened read asks for a random number of bytes up to 4096. Callers may ask for far more than the
  // socket holds, so a random number up to 'size' would seldom shorten anything. If there is nothing to read,
  // the call goes through unchanged.
  char byte = 0;
  const bool cut = size > 1 && shim::shouldFail(Fault::ShortRead);
  if (!cut || (flags & (MSG_PEEK | MSG_TRUNC)) != 0) return real(fd, into, size, flags);
  const ssize_t there = real(fd, &byte, 1, MSG_PEEK | MSG_TRUNC | MSG_DONTWAIT);
  if (there <= 0) return real(fd, into, size, flags);
  return real(fd, into, std::min(size, shim::state().sampler.randomUpTo(std::min<size_t>(size, 4096))),
              flags);
}

ssize_t send(int fd, const void* from, size_t size, int flags) {
  static const auto real = shim::realCall<ssize_t (*)(int, const void*, size_t, int)>("send");
  shim::maybePause();
  if (shim::transferFails(fd)) return -1;
  return real(fd, from, shim::maybeShorten(Fault::ShortWrite, size), flags);
}

ssize_t read(int fd, void* into, size_t size) {
  static const auto real = shim::realCall<ssize_t (*)(int, void*, size_t)>("read");
  if (shim::shouldFail(Fault::InterruptIo)) {
    errno = EINTR;
    return -1;
  }
  if (shim::isFile(fd)) {
    if (shim::shouldFail(Fault::FileRead)) {
      errno = EIO;
      return -1;
    }
    size = shim::maybeShorten(Fault::ShortRead, size);
  }
  return real(fd, into, size);
}

ssize_t write(int fd, const void* from, size_t size) {
  static const auto real = shim::realCall<ssize_t (*)(int, const void*, size_t)>("write");
  if (!shim::isFile(fd)) return real(fd, from, size);
  if (shim::fileWriteFails(fd, from, size)) return -1;
  return real(fd, from, shim::maybeShorten(Fault::ShortWrite, size));
}

ssize_t writev(int fd, const iovec* pieces, int count) {
  static const auto real = shim::realCall<ssize_t (*)(int, const iovec*, int)>("writev");
  if (count > 0 && shim::fileWriteFails(fd, pieces[0].iov_base, pieces[0].iov_len)) return -1;
  return real(fd, pieces, count);
}

int close(int fd) {
  static const auto real = shim::realCall<int (*)(int)>("close");
  shim::setOutgoing(fd, false);
  return real(fd);
}

int socket(int domain, int type, int protocol) {
  static const auto real = shim::realCall<int (*)(int, int, int)>("socket");
  if (shim::shouldFail(Fault::Socket)) return shim::failWith<3>(Fault::Socket, {ENFILE, ENOBUFS, ENOMEM});
  return real(domain, type, protocol);
}

int bind(int fd, const sockaddr* address, socklen_t size) {
  static const auto real = shim::realCall<int (*)(int, const sockaddr*, socklen_t)>("bind");
  if (shim::shouldFail(Fault::Listen)) return shim::failWith<1>(Fault::Listen, {EADDRINUSE});
  return real(fd, address, size);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = shim::realCall<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (shim::shouldFail(Fault::InterruptIo)) {
    errno = EINTR;
    return -1;
  }
  if (shim::shouldFail(Fault::Accept))
    return shim::failWith<5>(Fault::Accept, {ECONNABORTED, ENFILE, ENOBUFS, EPROTO, ENOMEM});
  return real(fd, address, size, flags);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto real = shim::realCall<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (shim::shouldFail(Fault::Connect))
    return shim::failWith<4>(Fault::Connect, {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN});
  shim::setOutgoing(fd, true);
  return real(fd, address, size);
}

int epoll_create1(int flags) {
  static const auto real = shim::realCall<int (*)(int)>("epoll_create1");
  if (shim::shouldFail(Fault::Create)) return shim::failWith<3>(Fault::Create, {EMFILE, ENFILE, ENOMEM});
  return real(flags);
}

int signalfd(int fd, const sigset_t* mask, int flags) {
  static const auto real = shim::realCall<int (*)(int, const sigset_t*, int)>("signalfd");
  if (shim::shouldFail(Fault::Create)) return shim::failWith<3>(Fault::Create, {EMFILE, ENFILE, ENOMEM});
  return real(fd, mask, flags);
}

int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) {
  static const auto real = shim::realCall<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation == EPOLL_CTL_ADD && shim::shouldFail(Fault::Watch))
    return shim::failWith<2>(Fault::Watch, {ENOMEM, ENOSPC});
  return real(epoll, operation, fd, event);
}

int epoll_wait(int epoll, epoll_event* events, int most, int millis) {
  static const auto real = shim::realCall<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  if (shim::shouldFail(Fault::Interrupt)) {
    errno = EINTR;
    return -1;
  }
  return real(epoll, events, most, millis);
}

int epoll_pwait2(int epoll, epoll_event* events, int most, const timespec* limit, const sigset_t* mask) {
  static const auto real =
      shim::realCall<int (*)(int, epoll_event*, int, const timespec*, const sigset_t*)>("epoll_pwait2");
  if (shim::shouldFail(Fault::Interrupt)) {
    errno = EINTR;
    return -1;
  }
  return real(epoll, events, most, limit, mask);
}

int clock_gettime(clockid_t clock, timespec* at) {
  static const auto real = shim::realCall<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, at);
  if (result != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) return result;
  const shim::Micros ahead = shim::state().sampler.wallClockOffset(shim::state().now());
  const shim::Micros stepped =
      at->tv_sec * shim::kMicrosPerSecond + at->tv_nsec / shim::kNanosPerMicro + ahead;
  at->tv_sec = stepped / shim::kMicrosPerSecond;
  at->tv_nsec = stepped % shim::kMicrosPerSecond * shim::kNanosPerMicro;
  return result;
}

FILE* fopen(const char* path, const char* mode) {
  static const auto real = shim::realCall<FILE* (*)(const char*, const char*)>("fopen");
  return shim::fileOpenFails(mode) ? nullptr : real(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  static const auto real = shim::realCall<FILE* (*)(const char*, const char*)>("fopen64");
  return shim::fileOpenFails(mode) ? nullptr : real(path, mode);
}

int fsync(int fd) {
  static const auto real = shim::realCall<int (*)(int)>("fsync");
  if (shim::shouldFail(Fault::FileSync)) return shim::failWith<2>(Fault::FileSync, {EIO, ENOSPC});
  return real(fd);
}

int fdatasync(int fd) {
  static const auto real = shim::realCall<int (*)(int)>("fdatasync");
  if (shim::shouldFail(Fault::FileSync)) return shim::failWith<2>(Fault::FileSync, {EIO, ENOSPC});
  return real(fd);
}

int rename(const char* from, const char* to) {
  static const auto real = shim::realCall<int (*)(const char*, const char*)>("rename");
  if (shim::shouldFail(Fault::FileRename)) return shim::failWith<2>(Fault::FileRename, {ENOSPC, EIO});
  return real(from, to);
}

int open(const char* path, int flags, ...) {
  static const auto real = shim::realCall<int (*)(const char*, int, ...)>("open");
  mode_t mode = 0;
  if ((flags & (O_CREAT | O_TMPFILE)) != 0) {
    va_list rest;
    va_start(rest, flags);
    mode = va_arg(rest, mode_t);
    va_end(rest);
  }
  // A directory is opened only to be synced, and fsync has a fault of its own (FileSync).
  if ((flags & O_DIRECTORY) == 0 && shim::fileOpenFails("")) return -1;
  return real(path, flags, mode);
}

}  // extern "C"
