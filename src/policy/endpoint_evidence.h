// Decides whether an endpoint may be used after the endpoint list has expired, from its health checks.
//
// An expired list may miss a removal or a drain. An answered health check shows that an endpoint is alive and
// does not drain. It does not show that the endpoint was not removed and started again in the meantime, so
// the check has to be answered over a connection that was already open while the list was valid.
#pragma once

#include <optional>

#include "policy/policy_context.h"

namespace heathflow::policy {

// The evidence from one endpoint.
class EndpointEvidence {
 public:
  void observeHealthCheck(Micros now, const HealthCheckEnded& check);
  // Records a failed connection or health check, or a timeout without any response: the process that answers
  // next may be a new one.
  void observeConnectionFailure(Micros now);
  // Forgets a connection that was opened too late, since a check over an older one may still give evidence.
  void observeExpiry(const EndpointListExpired& criteria);
  // Returns whether the endpoint may be used.
  bool suffices(Micros now, const EndpointListExpired& criteria) const;
  // Returns whether a health check can still show that the endpoint may be used.
  bool maySufficeAfterCheck(const EndpointListExpired& criteria) const;

 private:
  bool wasConnectedInTime(const EndpointListExpired& criteria) const;

  Micros answeredAt_ = kNever;            // when the newest answered health check was sent
  std::optional<Micros> connectedSince_;  // not set: not known
  Micros lastFailureAt_ = kNever;
};

}  // namespace heathflow::policy
