#include "policy/primary_tracker.h"

#include <algorithm>

namespace heathflow::policy {

EndpointState* PrimaryTracker::primaryOf(const EndpointGroup& group, bool forWrite) {
  const bool trustListForWrite = forWrite && !context_.settings().healthChecksAllowed;
  EndpointState* listed = nullptr;
  for (const EndpointId id : group.endpoints) {
    EndpointState& endpoint = registry_.at(id);
    const RoleState& role = endpoint.role;
    if (!endpoint.listing.usable || endpoint.outlier.isEjected(context_.now()) || endpoint.isPresumedAbsent())
      continue;
    if (wasLastPrimary(endpoint, group) && role.primaryAt > role.replicaAt) return &endpoint;
    // A former primary still answers reads, so for reads its own report that it is a replica outweighs the
    // list.
    const bool listIsNewest = role.listedPrimarySince > std::max(role.reportedAt, group.primaryReportedAt);
    const bool trusted = trustListForWrite || (listIsNewest && (forWrite || role.mayBePrimary()));
    if (role.listedPrimarySince == kNever || !trusted) continue;
    if (listed == nullptr || role.listedPrimarySince > listed->role.listedPrimarySince) listed = &endpoint;
  }
  return listed;
}

bool PrimaryTracker::isConfirmed(const EndpointState& endpoint, const PendingRequest& request) const {
  const Consistency consistency = request.consistency;
  if (consistency == Consistency::Write || consistency == Consistency::Eventual) return true;
  const bool bounded = consistency == Consistency::BoundedStaleness;
  if (!bounded && (rejectedWrite(endpoint) || endpoint.isUnresponsive(context_))) return false;
  const PolicySettings& settings = context_.settings();
  if (!settings.healthChecksAllowed || !settings.healthChecksReportRole) return true;
  if (settings.staleReads != StaleReadBehavior::ServesStale) return true;
  const Micros within =
      bounded ? context_.classAt(request.request.classIndex).maxStaleness : context_.smallestStaleness();
  const Micros confirmedAt = std::max(endpoint.role.reportedAt, endpoint.role.listedPrimarySince);
  return confirmedAt > std::max(endpoint.outlier.lastConnectionFailureAt(), context_.now() - within);
}

bool PrimaryTracker::rejectedWrite(const EndpointState& endpoint) const {
  return context_.now() - endpoint.role.writeRejectedAt < context_.smallestStaleness();
}

void PrimaryTracker::observeRole(EndpointState& endpoint, Role role, Micros at) {
  endpoint.role.reportedAt = context_.now();
  Micros& newest = role == Role::Primary ? endpoint.role.primaryAt : endpoint.role.replicaAt;
  newest = std::max(newest, at);
  if (role == Role::Replica) return;
  EndpointGroup& group = registry_.groupOf(endpoint.info.group);
  group.primaryAt = std::max(group.primaryAt, endpoint.role.primaryAt);
  group.primaryReportedAt = context_.now();
}

void PrimaryTracker::observeReport(EndpointState& endpoint, const LoadReport& report) {
  if (report.position) endpoint.freshness.observePosition(*report.position, context_);
  // A primary's position is the time of its report, and a replica's report is no older than its position.
  // Without a position the age of the report is not known, so it counts only while no role is known.
  const bool unknown = endpoint.role.replicaAt == kNever && endpoint.role.primaryAt == kNever;
  if (!report.role || (!report.position && !unknown)) return;
  const Micros at = report.position ? context_.processTimeOf(*report.position) : context_.now();
  observeRole(endpoint, *report.role, at);
}

}  // namespace heathflow::policy
