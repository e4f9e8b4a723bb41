// Decides which reads a replica is fresh enough for, from its known log position and its last known lag.
#pragma once

#include "policy/pending_request.h"
#include "policy/policy_context.h"

namespace heathflow::policy {

// Returns whether the reported lag of a replica is enough to send it a read. A wrong estimate does no harm:
// the replica waits and then rejects the read, and each answer corrects the estimate.
inline bool lagIsSufficient(const PolicySettings& settings) {
  return settings.staleReads == StaleReadBehavior::Waits && settings.responsesReportPosition;
}

// Returns what a replica must have applied to serve a read.
RequiredFreshness requiredFreshness(const PendingRequest& request, const PolicyContext& context);

// The known position and lag of one replica. The position never decreases.
class ReplicaFreshness {
 public:
  LogPosition position() const { return position_; }
  // Returns its lag by its last report, or an assumed lag if it has rejected a read since.
  Micros lag() const { return lag_; }

  void observePosition(LogPosition position, const PolicyContext& context);
  // Records that it rejected a read with this requirement, without reporting its position.
  void observeTooOldFor(const RequiredFreshness& required, const PolicyContext& context);

  // Returns whether it may serve a read: it meets the requirement, or its last known lag is enough.
  bool covers(const RequiredFreshness& required, const PolicyContext& context) const;
  // Returns whether it may meet the requirement by now. Assumes that the lag has decreased by half a second
  // per second since it was observed.
  bool mayHaveReached(const RequiredFreshness& required, const PolicyContext& context) const;
  // Returns whether its last known lag is too large for the read, and was observed more recently than the age
  // of the required position.
  bool isKnownTooOldFor(const RequiredFreshness& required, const PolicyContext& context) const;

 private:
  LogPosition position_ = kNoPosition;
  Micros lag_ = 0;  // includes the age of the report
  Micros lagObservedAt_ = kNever;
};

}  // namespace heathflow::policy
