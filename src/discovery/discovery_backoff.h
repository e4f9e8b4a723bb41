// Decides how long a gateway waits after a failed call of the list service. Pure logic without I/O.
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

// The timeout of a call that is not a watch. Two such timeouts in a row, with the delays after them, leave
// time for a third call within the notification timeout.
inline constexpr Micros kCallTimeout = kNotificationTimeout / 4;
// A watch times out this long after the end of its wait.
inline constexpr Micros kWatchResponseTime = 700'000;

class DiscoveryBackoff {
 public:
  // @param dedicatedService whether no other gateway calls the service.
  DiscoveryBackoff(const GatewayPopulation& population, bool dedicatedService, std::uint64_t seed)
      : population_(population), dedicatedService_(dedicatedService), random_(seed) {}

  // Returns the delay before the next call, after a failed one.
  // @param callCost the time, in microseconds, that one call is assumed to take the service.
  // @param retryAfter the delay that the service requested; used only after a rejection, and not for a
  //        dedicated service.
  Micros nextDelay(CallFailure failure, double callCost, std::optional<Micros> retryAfter);
  // To be called when a call has succeeded or the service has moved.
  void reset() { failures_ = rejections_ = 0; }

 private:
  Micros delayAfterRejection(double callCost, Micros retryAfter);
  Micros maxDelay() const;
  double random() { return uniformUnit(random_()); }

  GatewayPopulation population_;
  bool dedicatedService_;
  std::mt19937_64 random_;
  int failures_ = 0;    // in a row
  int rejections_ = 0;  // since reset(); other failures neither increase nor reset it
};

}  // namespace heathflow::discovery
