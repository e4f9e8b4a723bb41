// For how long an endpoint list may be used without confirmation by the list service. Decisions only, under
// any one clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// STANDING: a gateway counts as notified of a change so long after the service had it and could be reached,
// whatever calls failed, were rejected or given up.
inline constexpr Micros kNotificationTimeout = 6'000'000;
// STANDING: during a watch, so long after the end of its wait, where that is later.
inline constexpr Micros kNotificationAfterWatch = 2'000'000;
// STANDING: after a move of the service (SIGHUP) the gateway counts as notified of its list so much later.
inline constexpr Micros kNotificationAfterMove = 4'000'000;

// The longest time for which an event of a rejected watch may have waited in the service's queue.
inline constexpr Micros kMaxServiceQueueTime = kNotificationTimeout / 2;

// The longest time until the list service has recorded an endpoint's return (BENCH, site files: 'add_s').
inline constexpr Micros kMaxReturnRecordingDelay = 2'000'000;

// A lease on the list. Until it ends, the list lacks no change that the gateway counts as notified of;
// afterwards it may.
class ListLease {
 public:
  // For a process that starts with a cached list.
  // @param pushed changes count as soon as the service has them, so the cached list has no lease; else it may
  //        be used for the notification timeout, or until a call has failed before the first answer.
  ListLease(Micros now, bool pushed) : endsAt_(pushed ? now : now + kNotificationTimeout) {}

  // The service has answered. The answer may have been delayed.
  // @param provenAt when the list is known to have been true.
  void renew(Micros provenAt) {
    wasRenewed_ = true;
    renewedUntil_ = endsAt_ = provenAt + kNotificationTimeout;
  }
  // A watch begins, which waits for so long.
  void watchStarted(Micros now, Micros wait) {
    endsAt_ = std::max(endsAt_, now + wait + kNotificationAfterWatch);
  }
  // A watch was rejected, or its connection broke: up to now it would have delivered changes, except those in
  // the service's queue.
  void watchEnded(Micros now) {
    endsAt_ = std::max(renewedUntil_, now + kNotificationTimeout - kMaxServiceQueueTime);
  }
  // A watch had no response after its wait: a change since the last confirmation may count by now.
  void watchTimedOut(Micros now) { endsAt_ = std::max(renewedUntil_, now); }
  // A call failed. Before this process's first answer that ends the lease at once.
  void callFailed(Micros now) {
    if (!wasRenewed_) endsAt_ = std::min(endsAt_, now);
  }
  // The service is reached at another address from now on.
  void serviceMoved(Micros now) { endsAt_ = std::min(endsAt_, now + kNotificationAfterMove); }

  Micros endsAt() const { return endsAt_; }
  // An endpoint with a connection that has stood since then was in the newest confirmed list and has not been
  // removed since. Nothing where this process has no confirmed list.
  std::optional<Micros> connectedBefore() const {
    if (!wasRenewed_) return std::nullopt;
    return renewedUntil_ - kNotificationTimeout - kMaxReturnRecordingDelay;
  }

 private:
  bool wasRenewed_ = false;  // by this process
  Micros renewedUntil_ = 0;  // by the last answer; extensions by watches not included
  Micros endsAt_;
};

}  // namespace heathflow::discovery
