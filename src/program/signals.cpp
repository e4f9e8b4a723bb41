#include "program/signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace heathflow::program {

namespace {

sigset_t handledSignals() {
  sigset_t out;
  sigemptyset(&out);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) sigaddset(&out, signal);
  return out;
}

}  // namespace

void blockSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t handled = handledSignals();
  sigprocmask(SIG_BLOCK, &handled, nullptr);
}

Signals::Signals(transport::EventLoop& loop, Handler handler) : loop_(loop), handler_(std::move(handler)) {
  blockSignals();
  const sigset_t handled = handledSignals();
  fd_ = transport::UniqueFd(::signalfd(-1, &handled, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd_ || !loop_.watch(fd_.get(), *this))
    throw std::system_error(errno, std::generic_category(), "signalfd");
}

Signals::~Signals() { loop_.unwatch(fd_.get(), *this); }

void Signals::onReady(std::uint32_t) {
  signalfd_siginfo info{};
  // The descriptor is watched edge-triggered, so it has to be read until it is empty.
  for (;;) {
    const ssize_t got = ::read(fd_.get(), &info, sizeof info);
    if (got == static_cast<ssize_t>(sizeof info)) {
      handler_(static_cast<int>(info.ssi_signo));
    } else if (got >= 0 || errno != EINTR) {
      return;
    }
  }
}

}  // namespace heathflow::program
