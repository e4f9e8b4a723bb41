#include "discovery/discovery_backoff.h"

#include <algorithm>

namespace heathflow::discovery {
namespace {

constexpr Micros kMinDelay = 250'000;
// After a timeout: the delay is drawn from 0 to this.
constexpr Micros kMaxSpreadAfterTimeout = 250'000;
// The longest delay after a broken, unreachable or unreadable call and after the first two rejections, as a
// share of the recovery time: it leaves time for a second failure and an answer.
constexpr double kMaxDelayShare = 0.25;
constexpr int kMaxDoublings = 8;

}  // namespace

Micros DiscoveryBackoff::maxDelay() const {
  const auto share = static_cast<Micros>(kMaxDelayShare * static_cast<double>(fleet_.recoveryTime()));
  return std::max(2 * kMinDelay, share);
}

Micros DiscoveryBackoff::nextDelay(CallFailure failure, double callCost, std::optional<Micros> retryAfter) {
  ++failures_;
  // A call that timed out has cost its time already, and a dedicated service need not be spared: the delay
  // only spreads gateways whose watches timed out together. Retry-After is ignored.
  if (failure == CallFailure::TimedOut || dedicatedService_)
    return static_cast<Micros>(random() * static_cast<double>(kMaxSpreadAfterTimeout));
  if (failure == CallFailure::Rejected) return delayAfterRejection(callCost, retryAfter.value_or(0));
  const Micros delay = std::min(maxDelay(), kMinDelay << std::min(failures_, kMaxDoublings));
  return static_cast<Micros>((0.5 + 0.5 * random()) * static_cast<double>(delay));
}

// One rejection or two leave time for an answer within the recovery time. From then on calls are spread over
// ever more of it: a service that gets more calls than it can answer in time would keep its queue for ever.
Micros DiscoveryBackoff::delayAfterRejection(double callCost, Micros retryAfter) {
  const int doublings = std::max(0, rejections_++ - 1);
  const Micros most = std::min(fleet_.recoveryTime(), maxDelay() << std::min(doublings, kMaxDoublings));
  // Retry-After counts as far as the recovery time allows, and gateways that were given the same one must not
  // return together.
  const Micros granted = std::clamp<Micros>(retryAfter, 0, most - kMinDelay);
  const Micros window =
      std::clamp(static_cast<Micros>(fleet_.serviceTime(callCost)), kMinDelay, most - granted);
  const auto spread = static_cast<Micros>(random() * static_cast<double>(window));
  return std::max(kMinDelay, granted + spread);
}

}  // namespace heathflow::discovery
