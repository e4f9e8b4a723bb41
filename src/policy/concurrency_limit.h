// Limits the work that this gateway has in flight at one endpoint, in average requests. Additive increase
// while answers are well within their latency objective, multiplicative decrease when a request is slow or
// not served.
#pragma once

#include <algorithm>

#include "policy/policy_context.h"

namespace heathflow::policy {

class ConcurrencyLimit {
 public:
  static constexpr double kMax = 64;

  // Returns the limit for a new endpoint: this gateway's share of the initial limit of all gateways together.
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
  // Returns whether a limit below one allows a request now; such a limit spaces requests out, because many
  // gateways with one request each can also overload an endpoint. Always true for limits from one.
  // @param sinceLastSent  time since the last request was sent to the endpoint.
  // @param latency        expected latency of the request, in microseconds.
  bool allowsNow(Micros sinceLastSent, double latency) const {
    return value_ >= 1 || toDouble(sinceLastSent) >= latency * (1 / value_ - 1);
  }

 private:
  static constexpr double kInitialOfAllGateways = 24;
  static constexpr double kMin = 0.25;
  static constexpr double kDecreaseFactor = 0.9;
  // The limit grows by one request per `limit` answers, but by at most this share of it per answer.
  static constexpr double kMaxGrowthShare = 0.15;

  double value_ = 1;
};

}  // namespace heathflow::policy
