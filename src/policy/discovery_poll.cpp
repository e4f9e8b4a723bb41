#include "policy/discovery_poll.h"

#include <algorithm>
#include <cmath>

namespace heathflow::policy {
namespace {

// Shares of the maximum poll interval, except for kMaxDoublings.
constexpr double kFirstPollSpread = 0.02;
constexpr double kAnswerTimeout = 0.5;
constexpr double kMinBackoff = 0.05;
constexpr int kMaxDoublings = 8;

}  // namespace

void DiscoveryPoll::start() {
  if (!context_.settings().discoveryIsPolled) return;
  schedule(shareOf(context_.random(), shareOf(kFirstPollSpread, maxInterval())));
}

void DiscoveryPoll::observeTimer(std::uint64_t pollNumber) {
  if (pollNumber != pollNumber_ || watching_) return;
  polled_ = true;
  context_.emit(SubscribeToEndpoints{});
  schedule(shareOf(kAnswerTimeout, maxInterval()));
}

void DiscoveryPoll::observeList() {
  if (polled_) watching_ = true;
  failures_ = 0;
}

void DiscoveryPoll::observeFailure() {
  if (!context_.settings().discoveryIsPolled) return;
  watching_ = false;
  const int doublings = std::min(failures_++, kMaxDoublings);
  const double backoff = std::min(kAnswerTimeout, kMinBackoff * std::exp2(doublings));
  schedule(shareOf(backoff * (0.5 + 0.5 * context_.random()), maxInterval()));
}

Micros DiscoveryPoll::maxInterval() const { return std::max(context_.settings().maxPollInterval, kSecond); }

void DiscoveryPoll::schedule(Micros after) {
  context_.setTimer(TimerKind::DiscoveryPoll, ++pollNumber_, after);
}

}  // namespace heathflow::policy
