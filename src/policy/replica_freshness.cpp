#include "policy/replica_freshness.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

// An observed lag is valid for this multiple of itself, because the cause of a lag lasts longer than the lag.
constexpr int kLagValidityFactor = 16;
// A replica that rejected a read without a position is assumed to lag by this multiple of what the read
// allows.
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
