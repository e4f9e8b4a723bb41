// Decides how long an endpoint list may be used without confirmation by the list service. Pure logic without
// I/O; all times are readings of one clock, which may be any.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// A gateway counts as notified of a change once this much time has passed since the service recorded the
// change and could be reached, no matter which calls failed, were rejected or timed out. From then on it must
// not send requests to endpoints that the change drains or removes.
inline constexpr Micros kNotificationTimeout = 6'000'000;
// During a watch the gateway counts as notified this long after the end of the watch's wait, if that is
// later.
inline constexpr Micros kNotificationAfterWatch = 2'000'000;
// After the service has moved to a new address (configuration reload by SIGHUP), the gateway counts as
// notified of the list there this long after the reload.
inline constexpr Micros kNotificationAfterMove = 4'000'000;

// The longest time that a change may wait in the service's queue before its watch is rejected.
inline constexpr Micros kMaxServiceQueueTime = kNotificationTimeout / 2;

// The longest time from when a removed endpoint runs again until the list of the list service contains it.
inline constexpr Micros kMaxRelistingDelay = 2'000'000;

// The lease on the endpoint list. While it lasts, the list contains every change that the gateway counts as
// notified of; afterwards it may lack one.
class ListLease {
 public:
  // Creates the lease of a process that starts with a cached list.
  // @param pushed whether the gateway counts as notified of a change as soon as the service has recorded it.
  //        Then the cached list has no lease; otherwise the list may be used for the notification timeout, or
  //        until a call fails before the first answer.
  ListLease(Micros now, bool pushed) : endsAt_(pushed ? now : now + kNotificationTimeout) {}

  // Renews the lease after an answer of the service, which may have been delayed.
  // @param validAsOf the latest time at which the list is known to have been correct.
  void renew(Micros validAsOf) {
    wasRenewed_ = true;
    renewedUntil_ = endsAt_ = validAsOf + kNotificationTimeout;
  }
  // Extends the lease at the start of a watch.
  // @param wait how long the service waits for a change.
  void watchStarted(Micros now, Micros wait) {
    endsAt_ = std::max(endsAt_, now + wait + kNotificationAfterWatch);
  }
  // Sets a new end of the lease, mostly an earlier one, after a watch was rejected or its connection was
  // reset. Until now the watch would have delivered all changes except those still in the service's queue.
  void watchEnded(Micros now) {
    endsAt_ = std::max(renewedUntil_, now + kNotificationTimeout - kMaxServiceQueueTime);
  }
  // Shortens the lease after a watch had no response at the end of its wait: by now the gateway may count as
  // notified of a change since the last confirmation.
  void watchTimedOut(Micros now) { endsAt_ = std::max(renewedUntil_, now); }
  // Ends the lease after a failed call, if this process has had no answer yet.
  void callFailed(Micros now) {
    if (!wasRenewed_) endsAt_ = std::min(endsAt_, now);
  }
  // Limits the lease after the service has moved to a new address.
  void serviceMoved(Micros now) { endsAt_ = std::min(endsAt_, now + kNotificationAfterMove); }

  Micros endsAt() const { return endsAt_; }
  // Returns a time such that an endpoint with a connection open since then was in the newest confirmed list
  // and has not been removed since; std::nullopt if this process has had no confirmed list.
  std::optional<Micros> latestConnectedSince() const {
    if (!wasRenewed_) return std::nullopt;
    return renewedUntil_ - kNotificationTimeout - kMaxRelistingDelay;
  }

 private:
  bool wasRenewed_ = false;  // by this process
  Micros renewedUntil_ = 0;  // by the last answer, without extensions by watches
  Micros endsAt_;
};

}  // namespace heathflow::discovery
