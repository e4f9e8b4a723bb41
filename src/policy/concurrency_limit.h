// How much work this gateway may have in flight at one endpoint, in usual requests: additive increase while
// answers come well inside their objective, multiplicative decrease when a request is slow or not served.
#pragma once

#include <algorithm>

#include "policy/policy_context.h"

namespace heathflow::policy {

class ConcurrencyLimit {
 public:
  static constexpr double kMax = 64;

  // The limit of an endpoint of which nothing is known: this gateway's part of what all start with.
  static double initialOf(const PolicySettings& settings) {
    return std::max(1.0, kInitialOfAllGateways / settings.gatewayCount);
  }

  ConcurrencyLimit() = default;
  explicit ConcurrencyLimit(double value) : value_(value) {}

  double value() const { return value_; }
  void restrictTo(double most) { value_ = std::min(value_, most); }
  void increase() { value_ = std::min(kMax, value_ + std::min(1 / value_, kMaxGrowthShare * value_)); }
  void decrease(const PolicySettings& settings) {
    const double least = kMin * std::min(1.0, kInitialOfAllGateways / settings.gatewayCount);
    value_ = std::max(least, value_ * kDecreaseFactor);
  }
  // Many gateways with one request each can overload an endpoint too: a limit below one spaces requests out.
  // @param sinceLastSent  time since the last request was sent there.
  // @param latency        that a request usually takes, in microseconds.
  bool allowsNow(Micros sinceLastSent, double latency) const {
    return value_ >= 1 || toDouble(sinceLastSent) >= latency * (1 / value_ - 1);
  }

 private:
  static constexpr double kInitialOfAllGateways = 24;
  static constexpr double kMin = 0.25;
  static constexpr double kDecreaseFactor = 0.9;
  // The limit grows by one request for each limit's worth of answers, but no more than this at once.
  static constexpr double kMaxGrowthShare = 0.15;

  double value_ = 1;
};

}  // namespace heathflow::policy
