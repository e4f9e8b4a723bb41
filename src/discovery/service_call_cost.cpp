#include "discovery/service_call_cost.h"

#include <algorithm>

#include "discovery/list_lease.h"

namespace heathflow::discovery {
namespace {

// Microseconds per call of a service about which nothing is known: 250 calls per second.
constexpr double kDefaultCost = 4'000;
// The factor by which each rejection raises the assumed cost, if no cost was cached.
constexpr double kDefaultCostGrowth = 4;
// The factor by which each rejection raises a cached cost, and the most by which the cost to cache may exceed
// the one cached by the previous process.
constexpr double kCachedCostGrowth = 2;

}  // namespace

ServiceCallCost::ServiceCallCost(std::optional<Micros> cached)
    : cached_(cached), assumed_(cached ? static_cast<double>(std::max<Micros>(1, *cached)) : kDefaultCost) {}

void ServiceCallCost::observeAnswer(Micros elapsed) {
  const Micros cost = std::max<Micros>(1, elapsed);
  fastest_ = fastest_ ? std::min(*fastest_, cost) : cost;
}

void ServiceCallCost::observeRejection() {
  const double growth = cached_ ? kCachedCostGrowth : kDefaultCostGrowth;
  assumed_ = std::min(assumed_ * growth, static_cast<double>(kNotificationTimeout));
}

std::optional<Micros> ServiceCallCost::toCache() const {
  if (!fastest_) return cached_;
  if (!cached_) return fastest_;
  // The limit is needed because all calls of this process may have waited in the service's queue.
  return std::min(*fastest_, static_cast<Micros>(kCachedCostGrowth * static_cast<double>(*cached_)));
}

}  // namespace heathflow::discovery
