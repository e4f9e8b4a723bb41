#include "discovery/watch_interval.h"

#include <algorithm>

namespace heathflow::discovery {
namespace {

// Renewals of all gateways together take no more than this share of the service's time.
constexpr double kRenewalShare = 0.25;
// There are at most so many watches in a poll interval.
constexpr Micros kWatchesPerPollInterval = 4;
constexpr Micros kMinDuration = 1'000'000;
// PROTOCOL, Discovery: a watch waits at most 60 s.
constexpr Micros kMaxDuration = 60'000'000;

}  // namespace

Micros watchDuration(const GatewayFleet& fleet, double callCost) {
  const Micros least =
      std::clamp(fleet.maxPollInterval / kWatchesPerPollInterval, kMinDuration, kMaxDuration);
  const Micros most = std::clamp(fleet.maxPollInterval, least, kMaxDuration);
  const double renewalTime = fleet.serviceTime(callCost) / kRenewalShare;
  return std::clamp(static_cast<Micros>(std::min(renewalTime, static_cast<double>(most))), least, most);
}

}  // namespace heathflow::discovery
