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

RequiredFreshness requiredFreshness(const PendingRequest& request, const PolicyContext& context) {
  const bool isBounded = request.consistency == Consistency::BoundedStaleness;
  if (!isBounded && request.consistency != Consistency::Session) return {};
  RequiredFreshness required = request.token;
  if (isBounded) {
    const Micros bound = context.classAt(request.request.classIndex).maxStaleness;
    required.time = std::max(required.time, context.now() - bound);
  }
  return required;
}

void ReplicaFreshness::observePosition(LogPosition position, const PolicyContext& context) {
  position_ = std::max(position_, position);
  lag_ = context.now() - context.processTimeOf(position);
  lagObservedAt_ = context.now();
}

void ReplicaFreshness::observeTooOldFor(const RequiredFreshness& required, const PolicyContext& context) {
  lag_ = kAssumedLagFactor * (context.now() - required.asProcessTime(context));
  lagObservedAt_ = context.now();
}

bool ReplicaFreshness::covers(const RequiredFreshness& required, const PolicyContext& context) const {
  if (required.isMetBy(position_, context)) return true;
  if (!lagIsSufficient(context.settings())) return false;
  const Micros now = context.now();
  const Micros lag = now - lagObservedAt_ < kLagValidityFactor * lag_ ? lag_ : 0;
  return lag <= now - required.asProcessTime(context) + context.settings().catchUpTimeout;
}

bool ReplicaFreshness::mayHaveReached(const RequiredFreshness& required, const PolicyContext& context) const {
  const Micros now = context.now();
  return lag_ - (now - lagObservedAt_) / 2 <= now - required.asProcessTime(context);
}

bool ReplicaFreshness::isKnownTooOldFor(const RequiredFreshness& required,
                                        const PolicyContext& context) const {
  const Micros requiredAge = context.now() - required.asProcessTime(context);
  return lag_ > requiredAge && context.now() - lagObservedAt_ < requiredAge;
}

}  // namespace heathflow::policy
