#include "policy/endpoint_evidence.h"

#include <algorithm>

namespace heathflow::policy {

void EndpointEvidence::observeHealthCheck(Micros now, const HealthCheckEnded& check) {
  Micros since = std::max(now - check.connectionAge, lastFailureAt_);
  // A connection that was already open at the previous answer leads to the same process.
  if (connectedSince_ && since <= answeredAt_) since = std::min(since, *connectedSince_);
  connectedSince_ = since;
  answeredAt_ = now - check.elapsed;
  if (check.provesReadiness) readyAt_ = answeredAt_;
}

void EndpointEvidence::observeConnectionFailure(Micros now) {
  lastFailureAt_ = now;
  connectedSince_ = now;
}

void EndpointEvidence::observeAnswer(Micros sentAt, bool rejected) {
  Micros& newest = rejected ? lastRejectedSentAt_ : lastServedSentAt_;
  newest = std::max(newest, sentAt);
}

void EndpointEvidence::observeExpiry(const EndpointListExpired& criteria) {
  if (!wasConnectedInTime(criteria)) connectedSince_.reset();
}

bool EndpointEvidence::suffices(Micros now, const EndpointListExpired& criteria) const {
  return now - readyAt_ < criteria.healthCheckMaxAge && wasConnectedInTime(criteria) &&
         !rejectsRequests(criteria);
}

bool EndpointEvidence::maySufficeAfterCheck(const EndpointListExpired& criteria) const {
  const bool unbroken = criteria.latestConnectedSince && lastFailureAt_ <= *criteria.latestConnectedSince;
  return unbroken && (!connectedSince_ || wasConnectedInTime(criteria)) && !rejectsRequests(criteria);
}

// Returns whether the endpoint has rejected the newest request that it has answered, unless the list shows
// that it did not do so because it was draining. The answers arrive in any order: one that drains still
// serves what was sent before.
bool EndpointEvidence::rejectsRequests(const EndpointListExpired& criteria) const {
  return lastRejectedSentAt_ > lastServedSentAt_ && criteria.latestConnectedSince &&
         lastRejectedSentAt_ > *criteria.latestConnectedSince;
}

bool EndpointEvidence::wasConnectedInTime(const EndpointListExpired& criteria) const {
  return connectedSince_ && criteria.latestConnectedSince &&
         *connectedSince_ <= *criteria.latestConnectedSince;
}

}  // namespace heathflow::policy
