#include "discovery/discovery_backoff.h"

#include <algorithm>

namespace heathflow::discovery {
namespace {

constexpr Micros kMinDelay = 250'000;
// The delay after a timeout is drawn from 0 to this.
constexpr Micros kMaxSpreadAfterTimeout = 250'000;
// The longest delay after a reset, unreachable or malformed call and after the first two rejections, as a
// share of the recovery time. It leaves time for a second failure and an answer.
constexpr double kMaxDelayShare = 0.25;
constexpr int kMaxDoublings = 8;

}  // namespace

Micros DiscoveryBackoff::maxDelay() const {
  const auto share = static_cast<Micros>(kMaxDelayShare * static_cast<double>(population_.recoveryTime()));
  return std::max(2 * kMinDelay, share);
}

Micros DiscoveryBackoff::nextDelay(CallFailure failure, double callCost, std::optional<Micros> retryAfter) {
  ++failures_;
  // A call that timed out has taken long enough already, and a dedicated service need not be protected from
  // load. The delay only spreads gateways whose watches timed out together; Retry-After is ignored.
  if (failure == CallFailure::TimedOut || dedicatedService_)
    return static_cast<Micros>(random() * static_cast<double>(kMaxSpreadAfterTimeout));
  if (failure == CallFailure::Rejected) return delayAfterRejection(callCost, retryAfter.value_or(0));
  const Micros delay = std::min(maxDelay(), kMinDelay << std::min(failures_, kMaxDoublings));
  return static_cast<Micros>((0.5 + 0.5 * random()) * static_cast<double>(delay));
}

// The delays after the first two rejections leave time for an answer within the recovery time. From the third
// rejection on, calls are spread over a growing part of it: a service that gets more calls than it can answer
// in time would never empty its queue.
Micros DiscoveryBackoff::delayAfterRejection(double callCost, Micros retryAfter) {
  const int doublings = std::max(0, rejections_++ - 1);
  const Micros limit = std::min(population_.recoveryTime(), maxDelay() << std::min(doublings, kMaxDoublings));
  // Retry-After is honored as far as the recovery time allows. The random part keeps gateways that were given
  // the same value from returning together.
  const Micros honored = std::clamp<Micros>(retryAfter, 0, limit - kMinDelay);
  const Micros window =
      std::clamp(static_cast<Micros>(population_.serviceTime(callCost)), kMinDelay, limit - honored);
  const auto spread = static_cast<Micros>(random() * static_cast<double>(window));
  return std::max(kMinDelay, honored + spread);
}

}  // namespace heathflow::discovery
