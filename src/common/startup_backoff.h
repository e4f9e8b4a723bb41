// How a start, or a reload of the configuration, repeats a system call that failed: transient errors are
// retried for a bounded time, others are final. Decisions only.
#pragma once

#include <cstdint>

namespace heathflow {

// STANDING: nine in ten restarted gateways are ready within 10 s. The waits of a start altogether, in
// microseconds, which leave time for the rest of it.
inline constexpr std::int64_t kStartupRetryTime = 7'000'000;
// DEPLOY, SIGHUP: the new configuration counts 4 s later. The waits of a reload altogether.
inline constexpr std::int64_t kReloadRetryTime = 3'000'000;

// Whether the error of a system call may not occur on a retry.
bool isTransient(int error);

// The waits, in microseconds, between the attempts of one start or reload.
class StartupBackoff {
 public:
  explicit StartupBackoff(std::int64_t retryTime = kStartupRetryTime) : retryTime_(retryTime) {}
  // The wait before the next attempt, in microseconds; below 0 where there is none.
  std::int64_t nextDelay(int error);

 private:
  std::int64_t retryTime_;
  std::int64_t waited_ = 0;
  std::int64_t delay_ = 0;
};

}  // namespace heathflow
