// Decides whether and when a startup step, or a reload of the configuration, is retried after a failed system
// call: transient errors are retried for a bounded time, others are final.
#pragma once

#include <cstdint>

namespace heathflow {

// The total of all delays of one startup step, in microseconds. Nine in ten restarted gateways have to be
// ready within 10 s, and the rest of the start needs time as well.
inline constexpr std::int64_t kStartupRetryTime = 7'000'000;
// The total of all delays of one reload, in microseconds. A reload has to be in effect 4 s after SIGHUP.
inline constexpr std::int64_t kReloadRetryTime = 3'000'000;

// Returns whether the failure that an errno value reports may be gone on a retry.
bool isTransient(int error);

// Computes the delays between the attempts of one startup step or one reload. All times are in microseconds.
class StartupBackoff {
 public:
  explicit StartupBackoff(std::int64_t retryTime = kStartupRetryTime) : retryTime_(retryTime) {}
  // Returns the delay before the next attempt, or -1 if the error is permanent or the retry time is used up.
  std::int64_t nextDelay(int error);

 private:
  std::int64_t retryTime_;
  std::int64_t waited_ = 0;
  std::int64_t delay_ = 0;
};

}  // namespace heathflow
