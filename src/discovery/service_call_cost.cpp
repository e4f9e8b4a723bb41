#include "discovery/service_call_cost.h"

#include <algorithm>

#include "discovery/list_lease.h"

namespace heathflow::discovery {
namespace {

// Of a service of which nothing is known: one that serves 250 calls in a second.
constexpr double kDefaultCost = 4'000;
// After each rejection the cost is assumed to be so many times higher than the guess was.
constexpr double kGuessGrowth = 4;
// A cached cost changes by this factor at most: with each rejection, and from one process to the next.
constexpr double kCachedGrowth = 2;

}  // namespace

ServiceCallCost::ServiceCallCost(std::optional<Micros> cached)
    : cached_(cached), assumed_(cached ? static_cast<double>(std::max<Micros>(1, *cached)) : kDefaultCost) {}

void ServiceCallCost::observeAnswer(Micros elapsed) {
  const Micros cost = std::max<Micros>(1, elapsed);
  fastest_ = fastest_ ? std::min(*fastest_, cost) : cost;
}

void ServiceCallCost::observeRejection() {
  const double growth = cached_ ? kCachedGrowth : kGuessGrowth;
  assumed_ = std::min(assumed_ * growth, static_cast<double>(kNotificationTimeout));
}

std::optional<Micros> ServiceCallCost::toCache() const {
  if (!fastest_) return cached_;
  if (!cached_) return fastest_;
  // All calls of this process may have waited in the service's queue.
  return std::min(*fastest_, static_cast<Micros>(kCachedGrowth * static_cast<double>(*cached_)));
}

}  // namespace heathflow::discovery
