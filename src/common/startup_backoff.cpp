#include "common/startup_backoff.h"

#include <algorithm>
#include <array>
#include <cerrno>

namespace heathflow {
namespace {

constexpr std::int64_t kMinDelay = 20'000;
constexpr std::int64_t kMaxDelay = 500'000;
// EADDRINUSE: an earlier process of this gateway may still hold the port. EIO: a file read failed.
constexpr std::array kTransientErrors = {EINTR,  EAGAIN, EMFILE, ENFILE,       ENOBUFS,    ENOMEM,
                                         ENOSPC, EIO,    EBUSY,  ECONNABORTED, EADDRINUSE, ENETDOWN};

}  // namespace

bool isTransient(int error) {
  return std::find(kTransientErrors.begin(), kTransientErrors.end(), error) != kTransientErrors.end();
}

std::int64_t StartupBackoff::nextDelay(int error) {
  if (!isTransient(error) || waited_ >= retryTime_) return -1;
  delay_ = std::min({std::max(kMinDelay, 2 * delay_), kMaxDelay, retryTime_ - waited_});
  waited_ += delay_;
  return delay_;
}

}  // namespace heathflow
