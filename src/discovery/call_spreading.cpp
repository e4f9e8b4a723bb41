#include "discovery/call_spreading.h"

#include <xxhash.h>

#include <algorithm>

#include "common/uniform.h"
#include "discovery/list_lease.h"

namespace heathflow::discovery {
namespace {

// Calls need not be spread over the total time that the service needs for all of them: each may wait in the
// service's queue for kMaxQueueTime microseconds or, where that is less, for kMaxQueueShare of that time.
constexpr double kMaxQueueTime = 600'000;
constexpr double kMaxQueueShare = 0.5;
// First calls are spread over at most this share of the recovery time, which leaves time to repeat a failed
// call.
constexpr double kMaxSpreadShare = 0.4;

}  // namespace

double GatewayPopulation::serviceTime(double callCost) const { return callCost * std::max(1U, gatewayCount); }

Micros GatewayPopulation::recoveryTime() const {
  return maxPollInterval > 0 ? std::min(maxPollInterval, kNotificationTimeout) : kNotificationTimeout;
}

double spreadPosition(const std::string& gatewayName) {
  return uniformUnit(XXH3_64bits(gatewayName.data(), gatewayName.size()));
}

Micros spreadDelay(const std::string& gatewayName, const GatewayPopulation& population, double callCost) {
  const double totalTime = population.serviceTime(callCost);
  const double window = std::max(kMaxQueueShare * totalTime, totalTime - kMaxQueueTime);
  const double maxWindow = kMaxSpreadShare * static_cast<double>(population.recoveryTime());
  const auto bounded = static_cast<Micros>(std::min(window, maxWindow));
  return static_cast<Micros>(spreadPosition(gatewayName) * static_cast<double>(bounded));
}

}  // namespace heathflow::discovery
