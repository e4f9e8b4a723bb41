#include "policy/endpoint_evidence.h"

#include <algorithm>

namespace heathflow::policy {

void EndpointEvidence::observeHealthCheck(Micros now, const HealthCheckEnded& check) {
  Micros since = std::max(now - check.connectionAge, brokenAt_);
  // A connection that was open at the answer before leads to the same process.
  if (connectedSince_ && since <= answeredAt_) since = std::min(since, *connectedSince_);
  connectedSince_ = since;
  answeredAt_ = now - check.elapsed;
}

void EndpointEvidence::observeBreak(Micros now) {
  brokenAt_ = now;
  connectedSince_ = now;
}

void EndpointEvidence::observeExpiry(const EndpointListExpired& terms) {
  if (!wasConnectedInTime(terms)) connectedSince_.reset();
}

bool EndpointEvidence::suffices(Micros now, const EndpointListExpired& terms) const {
  return now - answeredAt_ < terms.healthCheckMaxAge && wasConnectedInTime(terms);
}

bool EndpointEvidence::mayYetSuffice(const EndpointListExpired& terms) const {
  const bool unbroken = terms.connectedBefore && brokenAt_ <= *terms.connectedBefore;
  return unbroken && (!connectedSince_ || wasConnectedInTime(terms));
}

bool EndpointEvidence::wasConnectedInTime(const EndpointListExpired& terms) const {
  return connectedSince_ && terms.connectedBefore && *connectedSince_ <= *terms.connectedBefore;
}

}  // namespace heathflow::policy
