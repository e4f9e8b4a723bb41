#include "policy/endpoint_selection.h"

#include <algorithm>
#include <cmath>

namespace heathflow::policy {
namespace {

// How long a read waits for a health check before the primary serves it, as a share of its latency objective.
constexpr double kMaxHealthCheckWait = 0.125;
// How long a long read waits for the replicas on which long reads are packed, as a share of its objective.
constexpr double kMaxPackingWait = 0.25;
// No more long reads are packed on an endpoint if none has ended there for this multiple of their average
// latency.
constexpr double kLongReadTimeoutMultiple = 2;
// A primary takes reads that replicas have no capacity for up to this share of its limit. The rest is
// reserved for writes, strong reads, and reads that no replica is fresh enough for.
constexpr double kPrimarySpareShare = 0.3;
// Weight of this gateway's preference in a replica's score, in average requests.
constexpr double kPreferenceWeight = 0.8;
// Scores are increased by a random share of up to this, so that gateways with equal information choose
// differently.
constexpr double kScoreJitter = 0.05;
// Factor on the score of an endpoint for each earlier attempt of the request there, and for an endpoint known
// only from an advisory list.
constexpr double kPenaltyFactor = 4;
constexpr double kSentWorkDecay = 0.999;

}  // namespace

EndpointState* EndpointSelection::select(PendingRequest& request, EndpointGroup& group) {
  EndpointState* primary = primaries_.primaryOf(group, request.consistency == Consistency::Write);
  if (!request.needsPrimary()) {
    std::optional<double> minPrimaryLimit;
    if (EndpointState* replica = selectReplica(request, group, primary, minPrimaryLimit)) return replica;
    // If minPrimaryLimit is set, the read waits for a replica, unless the primary has spare capacity and at
    // least that concurrency limit. If it is not set, the read goes to the primary.
    const bool primaryMayServe = primary != nullptr && hasSpareCapacity(*primary) &&
                                 (!minPrimaryLimit || primary->concurrencyLimit() >= *minPrimaryLimit);
    if (minPrimaryLimit && !primaryMayServe) return nullptr;
  }
  return selectPrimary(request, group, primary);
}

EndpointState* EndpointSelection::selectPrimary(PendingRequest& request, EndpointGroup& group,
                                                EndpointState* primary) {
  if (primary == nullptr) {
    request.reason = RejectReason::NoPrimary;
    healthChecks_.findPrimary(group);
    const bool writeMayTell = !context_.settings().healthChecksReportRole && request.isWrite();
    return writeMayTell ? selectForDiscoveringWrite(request, group) : nullptr;
  }
  const bool lacksEvidence = registry_.lacksEvidence(*primary);
  if (lacksEvidence && !registry_.healthCheckMayGiveEvidence(*primary)) {
    request.reason = RejectReason::EndpointListExpired;
    return nullptr;
  }
  if (lacksEvidence || !primaries_.isConfirmed(*primary, request)) {
    request.reason = RejectReason::AwaitingHealthCheck;
    if (primaries_.rejectedWrite(*primary))
      healthChecks_.findPrimary(group);
    else
      healthChecks_.start(*primary, HealthCheckReason::PrimaryUnknown);
    return nullptr;
  }
  const RequestClassSettings& requestClass = context_.classAt(request.request.classIndex);
  if (!request.needsPrimary() && group.primaryServed.shedsLoad(request, requestClass)) {
    request.reason = RejectReason::LoadShed;
    return nullptr;
  }
  if (hasCapacity(*primary, primary->inFlight.work, request)) return primary;
  // If the primary is presumed dead, another endpoint may have become the primary.
  if (primary->outlier.isPresumedDead()) healthChecks_.findPrimary(group);
  return nullptr;
}

// Selects an endpoint for a write that is to find the primary because health checks report no role: any
// endpoint but the primary rejects the write. The one that was a replica longest ago comes first. The last
// attempt of the write is reserved for a known primary. Returns nullptr if no endpoint qualifies.
EndpointState* EndpointSelection::selectForDiscoveringWrite(PendingRequest& request,
                                                            const EndpointGroup& group) {
  if (request.attempts.size() + 1 >= context_.settings().maxAttempts) return nullptr;
  EndpointState* next = nullptr;
  for (const EndpointId id : group.endpoints) {
    EndpointState& endpoint = registry_.at(id);
    if (!endpoint.listing.usable || endpoint.outlier.isEjected(context_.now())) continue;
    if (endpoint.isPresumedAbsent()) continue;
    if (context_.now() - endpoint.role.replicaAt < kPrimarySearchInterval) continue;
    const bool lacksEvidence = registry_.lacksEvidence(endpoint);
    if (lacksEvidence && registry_.healthCheckMayGiveEvidence(endpoint))
      healthChecks_.start(endpoint, HealthCheckReason::Unresponsive);
    if (lacksEvidence || !hasCapacity(endpoint, endpoint.inFlight.work, request)) continue;
    if (next == nullptr || endpoint.role.replicaAt < next->role.replicaAt) next = &endpoint;
  }
  return next;
}

EndpointState* EndpointSelection::selectReplica(PendingRequest& request, EndpointGroup& group,
                                                const EndpointState* primary,
                                                std::optional<double>& minPrimaryLimit) {
  const ReplicaQuery query = queryOf(request, group, primary);
  ReplicaSearch search = searchReplicas(request, group, query);
  minPrimaryLimit = search.minPrimaryLimit;
  if (search.best != nullptr || minPrimaryLimit) return search.best;
  if (EndpointState* candidate = selectMostAdvanced(query, search)) return candidate;
  // A primary with spare capacity serves the read while primaries get less than their fair share of this
  // gateway's work.
  const bool spareShare = primaryHasSpareShare(group);
  if (spareShare && primary != nullptr && hasSpareCapacity(*primary)) return nullptr;
  if (waitsForHealthCheck(query, search)) {
    request.reason = RejectReason::AwaitingHealthCheck;
    minPrimaryLimit = ConcurrencyLimit::kMax;
  }
  return nullptr;
}

EndpointSelection::ReplicaQuery EndpointSelection::queryOf(const PendingRequest& request,
                                                           const EndpointGroup& group,
                                                           const EndpointState* primary) const {
  const std::size_t classIndex = request.request.classIndex;
  const Micros objective = std::max<Micros>(1, context_.classAt(classIndex).latencyObjective);
  ReplicaQuery query;
  query.required = requiredFreshness(request, context_);
  query.work = latency_.workOf(classIndex);
  query.isLongRead = latency_.isLongRead(classIndex);
  query.longReadReplicas = query.isLongRead ? longReadReplicas(group, primary) : 0;
  query.waited = toDouble(context_.now() - request.arrivedAt) / toDouble(objective);
  query.recheckAfter =
      shareOf(kMinCheckIntervalShare, context_.now() - query.required.asProcessTime(context_));
  query.primary = primary;
  return query;
}

EndpointSelection::ReplicaSearch EndpointSelection::searchReplicas(PendingRequest& request,
                                                                   const EndpointGroup& group,
                                                                   const ReplicaQuery& query) {
  ReplicaSearch search;
  for (const EndpointId id : group.endpoints) {
    EndpointState& endpoint = registry_.at(id);
    if (!endpoint.listing.usable || &endpoint == query.primary) continue;
    if (endpoint.isPresumedAbsent() || endpoint.outlier.isEjected(context_.now())) continue;
    if (registry_.lacksEvidence(endpoint))
      considerWithoutEvidence(endpoint, search);
    else
      consider(endpoint, request, query, search);
  }
  return search;
}

void EndpointSelection::considerWithoutEvidence(EndpointState& endpoint, ReplicaSearch& search) const {
  search.checkInProgress = search.checkInProgress || endpoint.healthCheck.inProgress;
  if (!registry_.healthCheckMayGiveEvidence(endpoint) || healthChecks_.refusesNewWork(endpoint)) return;
  if (search.checkCandidate == nullptr || endpoint.preference < search.checkCandidate->preference)
    search.checkCandidate = &endpoint;
}

void EndpointSelection::consider(EndpointState& endpoint, PendingRequest& request, const ReplicaQuery& query,
                                 ReplicaSearch& search) {
  if (query.isLongRead) {
    const bool packedHere = takesLongReads(endpoint) && ++search.longReadReplica <= query.longReadReplicas;
    if (!packedHere && query.waited < kMaxPackingWait) {
      search.minPrimaryLimit = search.minPrimaryLimit.value_or(0);
      return;
    }
  }
  const double load = query.isLongRead ? endpoint.inFlight.requests : endpoint.inFlight.work;
  const bool capacity = hasCapacity(endpoint, load, request);
  if (!endpoint.freshness.covers(query.required, context_))
    considerPossiblyStale(endpoint, request, query, capacity, search);
  else if (!capacity)
    search.minPrimaryLimit = std::max(search.minPrimaryLimit.value_or(0), endpoint.concurrencyLimit());
  else
    considerQualified(endpoint, request, query, search);
}

// Considers a replica that is not known to be fresh enough.
void EndpointSelection::considerPossiblyStale(EndpointState& endpoint, const PendingRequest& request,
                                              const ReplicaQuery& query, bool capacity,
                                              ReplicaSearch& search) const {
  search.checkInProgress = search.checkInProgress || endpoint.healthCheck.inProgress;
  const ReplicaFreshness& freshness = endpoint.freshness;
  const bool mayHaveCaughtUp = freshness.mayHaveReached(query.required, context_);
  // Each gateway has its own order, so that not all gateways check, and then use, the same replica.
  const bool preferred =
      search.checkCandidate == nullptr || endpoint.preference < search.checkCandidate->preference;
  const bool checkDue = context_.now() - endpoint.healthCheck.startedAt >= query.recheckAfter;
  if (capacity && mayHaveCaughtUp && preferred && checkDue && !healthChecks_.refusesNewWork(endpoint))
    search.checkCandidate = &endpoint;

  const bool tried =
      std::any_of(request.attempts.begin(), request.attempts.end(),
                  [&](const AttemptRecord& attempt) { return attempt.endpoint == endpoint.info.id; });
  const bool replicasWait = context_.settings().catchUpTimeout > 0;
  const bool tooFarBehind =
      replicasWait ? !mayHaveCaughtUp : freshness.isKnownTooOldFor(query.required, context_);
  if (!capacity || tried || tooFarBehind) return;
  if (search.mostAdvanced == nullptr || freshness.position() > search.mostAdvanced->freshness.position())
    search.mostAdvanced = &endpoint;
}

void EndpointSelection::considerQualified(EndpointState& endpoint, const PendingRequest& request,
                                          const ReplicaQuery& query, ReplicaSearch& search) {
  const double score = scoreOf(endpoint, request, query.work);
  if (search.best != nullptr && score >= search.bestScore) return;
  search.best = &endpoint;
  search.bestScore = score;
}

// Returns the most advanced replica for a read that no replica is known to be fresh enough for, or nullptr.
// This is safe only if replicas check reads themselves and reject those that they are too far behind for. If
// they wait before they reject, a health check is preferred.
EndpointState* EndpointSelection::selectMostAdvanced(const ReplicaQuery& query,
                                                     const ReplicaSearch& search) const {
  const PolicySettings& settings = context_.settings();
  if (settings.staleReads == StaleReadBehavior::ServesStale) return nullptr;
  const bool checkFirst =
      healthChecksTellPosition() && settings.catchUpTimeout > 0 && query.waited < kMaxHealthCheckWait;
  if (checkFirst && (search.checkInProgress || search.checkCandidate != nullptr)) return nullptr;
  if (search.mostAdvanced == nullptr || search.mostAdvanced->freshness.position() == kNoPosition)
    return nullptr;
  return search.mostAdvanced;
}

// Returns whether the read waits for a health check, and starts the check if needed. A short wait keeps the
// read off the primary. Without a primary, positions do not advance, so no check is started for them.
bool EndpointSelection::waitsForHealthCheck(const ReplicaQuery& query, ReplicaSearch& search) {
  if (search.checkCandidate != nullptr && !search.checkInProgress) {
    const bool lacksEvidence = registry_.lacksEvidence(*search.checkCandidate);
    if (lacksEvidence || (healthChecksTellPosition() && query.primary != nullptr)) {
      const auto reason = lacksEvidence ? HealthCheckReason::Unresponsive : HealthCheckReason::ReadWaiting;
      search.checkInProgress = healthChecks_.start(*search.checkCandidate, reason);
    }
  }
  return search.checkInProgress && query.waited < kMaxHealthCheckWait;
}

bool EndpointSelection::healthChecksTellPosition() const {
  return context_.settings().healthChecksReportPosition && context_.settings().healthChecksAllowed;
}

bool EndpointSelection::stillQualifies(const EndpointState& endpoint, const PendingRequest& request) {
  if (!endpoint.listing.usable || registry_.lacksEvidence(endpoint)) return false;
  const bool confirmed = endpoint.role.mayBePrimary() && primaries_.isConfirmed(endpoint, request);
  if (request.needsPrimary()) return confirmed;
  if (context_.settings().staleReads != StaleReadBehavior::ServesStale) return true;
  const EndpointGroup& group = registry_.groupOf(request.request.group);
  const bool claimed =
      endpoint.role.listedPrimarySince != kNever || PrimaryTracker::wasLastPrimary(endpoint, group);
  const RequiredFreshness required = requiredFreshness(request, context_);
  return (confirmed && claimed) || required.isMetBy(endpoint.freshness.position(), context_);
}

void EndpointSelection::observeArrival() {
  sentWork_ *= kSentWorkDecay;
  sentWorkToPrimaries_ *= kSentWorkDecay;
}

void EndpointSelection::observeSent(double work, bool toPrimary) {
  sentWork_ += work;
  if (toPrimary) sentWorkToPrimaries_ += work;
}

bool EndpointSelection::hasCapacity(const EndpointState& endpoint, double load,
                                    PendingRequest& request) const {
  const std::size_t classIndex = request.request.classIndex;
  const Micros sinceLastSent = context_.now() - endpoint.slowStart.sentWork.updatedAt();
  if (load >= endpoint.concurrencyLimit())
    request.reason = RejectReason::ConcurrencyLimit;
  else if (!endpoint.limit.allowsNow(sinceLastSent, latency_.boundedLatencyOf(classIndex)))
    request.reason = RejectReason::Paced;
  else if (!slowStart_.admits(endpoint, latency_.workOf(classIndex)))
    request.reason = RejectReason::SlowStart;
  else
    return true;
  return false;
}

bool EndpointSelection::hasSpareCapacity(const EndpointState& primary) const {
  return primary.inFlight.work < kPrimarySpareShare * primary.concurrencyLimit();
}

bool EndpointSelection::primaryHasSpareShare(const EndpointGroup& group) const {
  return sentWorkToPrimaries_ * static_cast<double>(group.endpoints.size()) < sentWork_;
}

bool EndpointSelection::takesLongReads(const EndpointState& endpoint) const {
  if (!endpoint.listing.usable || endpoint.listing.unconfirmed) return false;
  if (endpoint.outlier.isEjected(context_.now())) return false;
  return endpoint.inFlight.longReads == 0 || context_.now() < endpoint.inFlight.nextLongReadEndDue;
}

Micros EndpointSelection::nextLongReadEndDue(std::size_t classIndex) const {
  const double timeout = kLongReadTimeoutMultiple * latency_.latencyOf(classIndex);
  if (timeout <= 0) return context_.now() + context_.classAt(classIndex).latencyObjective;
  return context_.now() + static_cast<Micros>(timeout);
}

// Returns how many replicas take long reads. Spread over all replicas, long reads would leave none up to
// date, so they are packed on the first replicas by id, as many as the share of long reads in the work needs.
double EndpointSelection::longReadReplicas(const EndpointGroup& group, const EndpointState* primary) const {
  const auto replicas = std::count_if(group.endpoints.begin(), group.endpoints.end(), [&](EndpointId id) {
    const EndpointState& endpoint = registry_.at(id);
    return &endpoint != primary && takesLongReads(endpoint);
  });
  return std::max(1.0, std::ceil(latency_.longReadShare() * static_cast<double>(replicas)));
}

// Returns the preference of an endpoint, lowest first. If traffic between zones has a cost, the endpoints of
// this gateway's zone are in the first half of the order.
double EndpointSelection::preferenceOf(const EndpointState& endpoint) const {
  if (!context_.settings().crossZoneTrafficHasCost) return endpoint.preference;
  const double otherZone = endpoint.info.zone != context_.settings().zone ? 1 : 0;
  return (endpoint.preference + otherZone) / 2;
}

double EndpointSelection::scoreOf(const EndpointState& endpoint, const PendingRequest& request, double work) {
  const double expectedLoad = endpoint.inFlight.work / slowStart_.capacityShare(endpoint) + work +
                              kPreferenceWeight * preferenceOf(endpoint);
  double score = expectedLoad * endpoint.relativeLatency.valueAt(context_.now()) *
                 (1 + kScoreJitter * context_.random());
  if (endpoint.listing.unconfirmed) score *= kPenaltyFactor;
  for (const AttemptRecord& attempt : request.attempts)
    score *= attempt.endpoint == endpoint.info.id ? kPenaltyFactor : 1;
  return score;
}

}  // namespace heathflow::policy
