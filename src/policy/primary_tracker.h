// Which endpoint of a group is the primary. Reports may be late: a claim counts from the time at which it was
// true, and newer evidence outweighs older.
#pragma once

#include "policy/endpoint_registry.h"
#include "policy/pending_request.h"

namespace heathflow::policy {

class PrimaryTracker {
 public:
  PrimaryTracker(PolicyContext& context, EndpointRegistry& registry)
      : context_(context), registry_(registry) {}

  // The endpoint that was the primary last, unless it is known to be a replica, is ejected or not usable;
  // else the one that the list names, while nothing newer is known. An older claim never revives.
  // @param forWrite  an endpoint that is not the primary rejects a write, so the list is trusted further.
  // @return nullptr  where none is known.
  EndpointState* primaryOf(const EndpointGroup& group, bool forWrite);
  // It was the primary at the newest time at which any of its group was.
  static bool wasLastPrimary(const EndpointState& endpoint, const EndpointGroup& group) {
    return endpoint.role.primaryAt != kNever && endpoint.role.primaryAt == group.primaryAt;
  }
  // Whether a primary's role is confirmed recently enough for a request: it may have lost its role while its
  // answers were lost.
  bool isConfirmed(const EndpointState& endpoint, const PendingRequest& request) const;
  // It rejected a write of late: while a primary hands over, its reads go on claiming that it is the primary.
  bool rejectedWrite(const EndpointState& endpoint) const;

  // @param at  when the endpoint had the role.
  void observeRole(EndpointState& endpoint, Role role, Micros at);
  void observeWriteRejected(EndpointState& endpoint) { endpoint.role.writeRejectedAt = context_.now(); }
  void observeWriteServed(EndpointState& endpoint) { endpoint.role.writeRejectedAt = kNever; }
  // Takes in position and role of a load report.
  void observeReport(EndpointState& endpoint, const LoadReport& report);

 private:
  PolicyContext& context_;
  EndpointRegistry& registry_;
};

}  // namespace heathflow::policy
