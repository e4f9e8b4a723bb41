#include "policy/endpoint_evidence.h"

#include <algorithm>

namespace heathflow::policy {

void EndpointEvidence::observeHealthCheck(Micros now, const HealthCheckEnded& check) {
  Micros since = std::max(now - check.connectionAge, lastFailureAt_);
  // A connection that was already open at the previous answer leads to the same process.
  if (connectedSince_ && since <= answeredAt_) since = std::min(since, *connectedSince_);
  connectedSince_ = since;
  answeredAt_ = now - check.elapsed;
}

void EndpointEvidence::observeConnectionFailure(Micros now) {
  lastFailureAt_ = now;
  connectedSince_ = now;
}

void EndpointEvidence::observeExpiry(const EndpointListExpired& criteria) {
  if (!wasConnectedInTime(criteria)) connectedSince_.reset();
}

bool EndpointEvidence::suffices(Micros now, const EndpointListExpired& criteria) const {
  return now - answeredAt_ < criteria.healthCheckMaxAge && wasConnectedInTime(criteria);
}

bool EndpointEvidence::maySufficeAfterCheck(const EndpointListExpired& criteria) const {
  const bool unbroken = criteria.latestConnectedSince && lastFailureAt_ <= *criteria.latestConnectedSince;
  return unbroken && (!connectedSince_ || wasConnectedInTime(criteria));
}

bool EndpointEvidence::wasConnectedInTime(const EndpointListExpired& criteria) const {
  return connectedSince_ && criteria.latestConnectedSince &&
         *connectedSince_ <= *criteria.latestConnectedSince;
}

}  // namespace heathflow::policy
