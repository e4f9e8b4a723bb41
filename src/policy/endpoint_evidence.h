// What stands in for an expired endpoint list: evidence of an endpoint's own that it was neither removed nor
// notified to drain.
//
// Past its lease the list may lack a change that counts. An answered health check shows that an endpoint
// is alive and does not drain. It does not show that it was not removed and brought back meanwhile, so the
// check has to be answered over a connection that stood while the list was still true (docs/design.md,
// Discovery).
#pragma once

#include <optional>

#include "policy/policy_context.h"

namespace heathflow::policy {

// What one endpoint has shown.
class EndpointEvidence {
 public:
  void observeHealthCheck(Micros now, const HealthCheckEnded& check);
  // Something broke there: what answers from now on may have been started anew.
  void observeBreak(Micros now);
  // Forgets a connection that was opened too late: a check over an older one may still give evidence.
  void observeExpiry(const EndpointListExpired& terms);
  // It may be used.
  bool suffices(Micros now, const EndpointListExpired& terms) const;
  // A health check may show that it may be used.
  bool mayYetSuffice(const EndpointListExpired& terms) const;

 private:
  bool wasConnectedInTime(const EndpointListExpired& terms) const;

  Micros answeredAt_ = kNever;            // when the newest answered health check was sent
  std::optional<Micros> connectedSince_;  // nothing: not known
  Micros brokenAt_ = kNever;
};

}  // namespace heathflow::policy
