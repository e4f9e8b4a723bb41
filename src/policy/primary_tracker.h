// Tracks which endpoint of a group is the primary. Reports may be late: a claim counts from the time at which
// it was true, and newer evidence outweighs older.
#pragma once

#include "policy/endpoint_registry.h"
#include "policy/pending_request.h"

namespace heathflow::policy {

class PrimaryTracker {
 public:
  PrimaryTracker(PolicyContext& context, EndpointRegistry& registry)
      : context_(context), registry_(registry) {}

  // Returns the endpoint that was the primary last, unless it is known to be a replica, is ejected or not
  // usable; otherwise the one that the list names, while nothing newer is known. Returns nullptr if there is
  // none. An older claim does not become valid again.
  // @param forWrite  trusts the list further, because a replica rejects writes.
  EndpointState* primaryOf(const EndpointGroup& group, bool forWrite);
  // Returns whether it was the primary at the newest time at which any endpoint of its group was.
  static bool wasLastPrimary(const EndpointState& endpoint, const EndpointGroup& group) {
    return endpoint.role.primaryAt != kNever && endpoint.role.primaryAt == group.primaryAt;
  }
  // Returns whether a primary's role was confirmed recently enough for a request: it may have lost its role
  // while its answers did not arrive.
  bool isConfirmed(const EndpointState& endpoint, const PendingRequest& request) const;
  // Returns whether it rejected a write recently. While a primary hands over its role, its answers to reads
  // still claim that it is the primary.
  bool rejectedWrite(const EndpointState& endpoint) const;

  // @param at  when the endpoint had the role.
  void observeRole(EndpointState& endpoint, Role role, Micros at);
  void observeWriteRejected(EndpointState& endpoint) { endpoint.role.writeRejectedAt = context_.now(); }
  void observeWriteServed(EndpointState& endpoint) { endpoint.role.writeRejectedAt = kNever; }
  // Records the position and the role of a load report.
  void observeReport(EndpointState& endpoint, const LoadReport& report);

 private:
  PolicyContext& context_;
  EndpointRegistry& registry_;
};

}  // namespace heathflow::policy
