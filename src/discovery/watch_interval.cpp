#include "discovery/watch_interval.h"

#include <algorithm>

namespace heathflow::discovery {
namespace {

// The renewals of all gateways' watches take at most this share of the service's time.
constexpr double kRenewalShare = 0.25;
// The maximum number of watches in a poll interval.
constexpr Micros kWatchesPerPollInterval = 4;
constexpr Micros kMinDuration = 1'000'000;
// The service accepts waits of at most 60 s.
constexpr Micros kMaxDuration = 60'000'000;

}  // namespace

Micros watchDuration(const GatewayPopulation& population, double callCost) {
  const Micros minDuration =
      std::clamp(population.maxPollInterval / kWatchesPerPollInterval, kMinDuration, kMaxDuration);
  const Micros maxDuration = std::clamp(population.maxPollInterval, minDuration, kMaxDuration);
  const double renewalTime = population.serviceTime(callCost) / kRenewalShare;
  return std::clamp(static_cast<Micros>(std::min(renewalTime, static_cast<double>(maxDuration))), minDuration,
                    maxDuration);
}

}  // namespace heathflow::discovery
