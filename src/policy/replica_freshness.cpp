#include "policy/replica_freshness.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

// What makes a replica lag outlasts the lag: it counts as behind for so many times as long.
constexpr int kLagValidityFactor = 16;
// How much farther behind a replica counts than a read needs that it rejected.
constexpr int kAssumedLagFactor = 2;

}  // namespace

LogPosition requiredPosition(const PendingRequest& request, const PolicyContext& context) {
  if (request.consistency == Consistency::BoundedStaleness) {
    const Micros bound = context.classAt(request.request.classIndex).maxStaleness;
    return std::max(context.now() - bound, request.token);
  }
  return request.consistency == Consistency::Session ? request.token : kNever;
}

void ReplicaFreshness::observePosition(LogPosition position, Micros now) {
  position_ = std::max(position_, position);
  lag_ = now - position;
  lagObservedAt_ = now;
}

void ReplicaFreshness::observeTooOldFor(LogPosition required, Micros now) {
  lag_ = kAssumedLagFactor * (now - required);
  lagObservedAt_ = now;
}

bool ReplicaFreshness::covers(LogPosition required, const PolicyContext& context) const {
  if (required == kNever || position_ >= required) return true;
  if (!lagIsSufficient(context.settings())) return false;
  const Micros now = context.now();
  const Micros lag = now - lagObservedAt_ < kLagValidityFactor * lag_ ? lag_ : 0;
  return lag <= now - required + context.settings().catchUpTimeout;
}

bool ReplicaFreshness::mayHaveReached(LogPosition required, Micros now) const {
  return lag_ - (now - lagObservedAt_) / 2 <= now - required;
}

bool ReplicaFreshness::isKnownTooOldFor(LogPosition required, Micros now) const {
  return lag_ > now - required && now - lagObservedAt_ < now - required;
}

}  // namespace heathflow::policy
