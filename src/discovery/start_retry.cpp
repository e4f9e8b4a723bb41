#include "discovery/start_retry.h"

#include <algorithm>
#include <array>
#include <cerrno>

namespace heathflow::discovery {
namespace {

constexpr Micros kWaitLeast = 20'000;
constexpr Micros kWaitMost = 500'000;
// EADDRINUSE: an earlier life of this gateway may still hold the port. EIO: of a read of a file.
constexpr std::array kPassing = {EINTR,  EAGAIN, EMFILE, ENFILE,       ENOBUFS,    ENOMEM,
                                 ENOSPC, EIO,    EBUSY,  ECONNABORTED, EADDRINUSE, ENETDOWN};

}  // namespace

bool mayPass(int error) { return std::find(kPassing.begin(), kPassing.end(), error) != kPassing.end(); }

Micros StartRetry::next(int error) {
  if (!mayPass(error) || waited_ >= within_) return -1;
  wait_ = std::min({std::max(kWaitLeast, 2 * wait_), kWaitMost, within_ - waited_});
  waited_ += wait_;
  return wait_;
}

}  // namespace heathflow::discovery
