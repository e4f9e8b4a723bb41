#include "discovery/discovery_schedule.h"

#include <algorithm>

#include "discovery/watch_interval.h"

namespace heathflow::discovery {
namespace {

// Limits the delay of the first call to a new address: the gateway counts as notified of the list there
// kNotificationAfterMove after the reload (SIGHUP).
constexpr Micros kMaxDelayAfterMove = 1'000'000;

}  // namespace

DiscoverySchedule::DiscoverySchedule(const DiscoveryScheduleSettings& settings, Micros now)
    : settings_(settings),
      population_{settings.gatewayCount, settings.maxPollInterval},
      cost_(settings.callCost),
      backoff_(population_, settings.dedicatedService, settings.seed),
      firstCallAt_(now + std::max(settings.startDelay, spreadDelay())) {}

Micros DiscoverySchedule::spreadDelay() const {
  return discovery::spreadDelay(settings_.gatewayName, population_, cost_.assumed());
}

Micros DiscoverySchedule::nextCallAfterFailure(Micros now, CallFailure failure,
                                               std::optional<Micros> retryAfter) {
  if (failure == CallFailure::Rejected && !settings_.dedicatedService) cost_.observeRejection();
  return now + backoff_.nextDelay(failure, cost_.assumed(), retryAfter);
}

Micros DiscoverySchedule::nextCallAfterMove(Micros now) {
  backoff_.reset();
  return now + std::min(spreadDelay(), kMaxDelayAfterMove);
}

void DiscoverySchedule::callSucceeded(Micros elapsed) {
  backoff_.reset();
  cost_.observeAnswer(elapsed);
}

void DiscoverySchedule::watchSucceeded() { backoff_.reset(); }

Micros DiscoverySchedule::watchDuration() const {
  return discovery::watchDuration(population_, cost_.observedOrAssumed());
}

}  // namespace heathflow::discovery
