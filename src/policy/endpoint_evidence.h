// What stands in for an expired list of endpoints: evidence of an endpoint's own that it was neither removed
// nor told to drain. A decision of the routing policy (logic.cpp asks it), without I/O, under any one clock.
//
// Past its lease the list may have missed a change that counts as told. An answered health check shows that
// an endpoint lives and does not drain; it does not show that the endpoint was not removed and brought back,
// for the return counts as told later than the removal, and while the list service is away not at all. So it
// has to be answered over a connection that stood while the list was still true (docs/design.md, Discovery).
#pragma once

#include <algorithm>
#include <limits>
#include <optional>

#include "policy/routing_policy.h"

namespace heathflow {

// What one endpoint has shown.
class EndpointEvidence {
 public:
  // It answered a health check.
  void answered(Micros now, const HealthCheckEnded& healthCheck) {
    Micros since = std::max(now - healthCheck.connectionAge, brokeAt_);
    // A connection that is older than the answer before goes on from what that one showed.
    if (stoodSince_ && since <= answeredAt_) since = std::min(since, *stoodSince_);
    stoodSince_ = since;
    answeredAt_ = now - healthCheck.elapsed;
  }
  // Something there broke: what stands there from now on may be another life.
  void broke(Micros now) {
    brokeAt_ = now;
    stoodSince_ = now;
  }
  // Health checks went over the newest connections so far; an older one may yet stand.
  void listExpired(const EndpointListExpired& terms) {
    if (!stoodLongEnough(terms)) stoodSince_.reset();
  }
  // It may be sent to.
  bool suffices(Micros now, const EndpointListExpired& terms) const {
    return now - answeredAt_ < terms.healthCheckMaxAge && stoodLongEnough(terms);
  }
  // A health check may show that it may: nothing is known of its connections, or they have stood long enough.
  bool mayYetSuffice(const EndpointListExpired& terms) const {
    const bool whole = terms.connectedBefore && brokeAt_ <= *terms.connectedBefore;
    return whole && (!stoodSince_ || stoodLongEnough(terms));
  }

 private:
  static constexpr Micros kLongAgo = std::numeric_limits<Micros>::min() / 4;
  bool stoodLongEnough(const EndpointListExpired& terms) const {
    return stoodSince_ && terms.connectedBefore && *stoodSince_ <= *terms.connectedBefore;
  }

  Micros answeredAt_ = kLongAgo;      // when the newest answered health check was sent
  std::optional<Micros> stoodSince_;  // since when it is known to have been there; nothing: unknown
  Micros brokeAt_ = kLongAgo;
};

}  // namespace heathflow
