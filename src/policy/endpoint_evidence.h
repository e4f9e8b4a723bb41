// Decides whether an endpoint may be used after the endpoint list has expired, from its health checks.
//
// An expired list may miss a removal or a drain. An endpoint that drains either rejects readiness checks or
// answers them and rejects requests, so both count: an answered readiness check is needed, and the endpoint
// must not have rejected the newest request that it has answered. A check does not show that the endpoint was
// not removed and started again in the meantime, so the check has to be answered over a connection that was
// already open while the list was valid.
#pragma once

#include <optional>

#include "policy/policy_context.h"

namespace heathflow::policy {

// The evidence from one endpoint.
class EndpointEvidence {
 public:
  void observeHealthCheck(Micros now, const HealthCheckEnded& check);
  // Records the answer to a request that was sent at 'sentAt': whether it was rejected or served.
  void observeAnswer(Micros sentAt, bool rejected);
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
  bool rejectsRequests(const EndpointListExpired& criteria) const;

  Micros answeredAt_ = kNever;            // when the newest answered health check was sent
  Micros readyAt_ = kNever;               // when the newest one that proved readiness was sent
  std::optional<Micros> connectedSince_;  // not set: not known
  Micros lastFailureAt_ = kNever;
  Micros lastServedSentAt_ = kNever;    // when the newest request that was served was sent
  Micros lastRejectedSentAt_ = kNever;  // when the newest request that was rejected was sent
};

}  // namespace heathflow::policy
