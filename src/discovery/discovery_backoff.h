// How long a gateway waits after a failed call of the list service. Decisions only.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "common/uniform.h"
#include "discovery/call_spreading.h"
#include "discovery/list_lease.h"
#include "stats/call_failure.h"

namespace heathflow::discovery {

using stats::CallFailure;
using stats::nameOf;

// A call that is not a watch times out after this. Two such calls in a row and the waits after them leave
// time for a third before the notification timeout.
inline constexpr Micros kCallTimeout = kNotificationTimeout / 4;
// The response to a watch is due so long after the end of its wait.
inline constexpr Micros kWatchResponseTime = 700'000;

class DiscoveryBackoff {
 public:
  // @param dedicatedService no other gateway calls the service.
  DiscoveryBackoff(const GatewayFleet& fleet, bool dedicatedService, std::uint64_t seed)
      : fleet_(fleet), dedicatedService_(dedicatedService), random_(seed) {}

  // The wait after a failed call.
  // @param callCost what one call is assumed to cost the service.
  // @param retryAfter the wait that the service requested; counts only after a rejection, and not for a
  //        dedicated service.
  Micros nextDelay(CallFailure failure, double callCost, std::optional<Micros> retryAfter);
  // A call has succeeded, or the service has moved.
  void reset() { failures_ = rejections_ = 0; }

 private:
  Micros delayAfterRejection(double callCost, Micros retryAfter);
  Micros maxDelay() const;
  double random() { return uniformUnit(random_()); }

  GatewayFleet fleet_;
  bool dedicatedService_;
  std::mt19937_64 random_;
  int failures_ = 0;    // in a row
  int rejections_ = 0;  // since reset(); other failures neither count nor reset it
};

}  // namespace heathflow::discovery
