// Which reads a replica is recent enough for: its known log position, and how far it was last known to lag.
#pragma once

#include "policy/pending_request.h"
#include "policy/policy_context.h"

namespace heathflow::policy {

// Whether a read may go by a replica's reported lag alone: a wrong guess does no harm, for the replica waits
// and then rejects, and each answer corrects it.
inline bool lagIsSufficient(const PolicySettings& settings) {
  return settings.staleReads == StaleReadBehavior::Waits && settings.responsesReportPosition;
}

// The log position that a replica needs for a read; kNever: any will do.
LogPosition requiredPosition(const PendingRequest& request, const PolicyContext& context);

// What is known of one replica. A position never goes back.
class ReplicaFreshness {
 public:
  LogPosition position() const { return position_; }
  // How far it was behind by its last report, or is assumed to be since it rejected a read.
  Micros lag() const { return lag_; }

  void observePosition(LogPosition position, Micros now);
  // It rejected a read that needs the given position, and reported none.
  void observeTooOldFor(LogPosition required, Micros now);

  bool covers(LogPosition required, const PolicyContext& context) const;
  // Assumes that its lag has shrunk by half a second in each second since.
  bool mayHaveReached(LogPosition required, Micros now) const;
  // Its lag was too large, and was observed less long ago than the read may be stale.
  bool isKnownTooOldFor(LogPosition required, Micros now) const;

 private:
  LogPosition position_ = kNever;
  Micros lag_ = 0;  // with the age of the report
  Micros lagObservedAt_ = kNever;
};

}  // namespace heathflow::policy
