// Selects the endpoint for a request: the primary for a write or strong read; for any other read the least
// loaded replica that is fresh enough, or else the primary.
#pragma once

#include <optional>

#include "policy/endpoint_registry.h"
#include "policy/health_check_scheduler.h"
#include "policy/latency_estimator.h"
#include "policy/pending_request.h"
#include "policy/primary_tracker.h"
#include "policy/slow_start.h"

namespace heathflow::policy {

class EndpointSelection {
 public:
  EndpointSelection(PolicyContext& context, EndpointRegistry& registry, PrimaryTracker& primaries,
                    HealthCheckScheduler& healthChecks, const SlowStart& slowStart,
                    const LatencyEstimator& latency)
      : context_(context),
        registry_(registry),
        primaries_(primaries),
        healthChecks_(healthChecks),
        slowStart_(slowStart),
        latency_(latency) {}

  // Returns the endpoint for a request, or nullptr if the request can't be sent now. The request's reason is
  // then set, except for a long read that waits for the replicas on which long reads are packed. May start a
  // health check that a later selection needs.
  EndpointState* select(PendingRequest& request, EndpointGroup& group);
  // Returns whether an endpoint may still get a request for which it was selected earlier.
  bool stillQualifies(const EndpointState& endpoint, const PendingRequest& request);

  void observeArrival();
  void observeSent(double work, bool toPrimary);
  // Returns the time by which the next long read should end at an endpoint that gets or answers one now.
  Micros nextLongReadEndDue(std::size_t classIndex) const;

 private:
  // The requirements of a read on a replica.
  struct ReplicaQuery {
    RequiredFreshness required;
    double work = 0;
    bool isLongRead = false;
    double longReadReplicas = 0;  // how many replicas, the first by id, take long reads
    double waited = 0;            // time since arrival, as a share of the latency objective
    Micros recheckAfter = 0;
    const EndpointState* primary = nullptr;
  };
  // The result of one pass over a group's replicas.
  struct ReplicaSearch {
    EndpointState* best = nullptr;
    double bestScore = 0;
    EndpointState* mostAdvanced = nullptr;    // of those that may be too far behind
    EndpointState* checkCandidate = nullptr;  // a health check may show that it qualifies
    bool checkInProgress = false;
    double longReadReplica = 0;  // number of the current one among those that take long reads
    // If set, the read waits unless the primary has spare capacity and at least this concurrency limit.
    std::optional<double> minPrimaryLimit;
  };

  ReplicaQuery queryOf(const PendingRequest& request, const EndpointGroup& group,
                       const EndpointState* primary) const;
  ReplicaSearch searchReplicas(PendingRequest& request, const EndpointGroup& group,
                               const ReplicaQuery& query);
  void consider(EndpointState& endpoint, PendingRequest& request, const ReplicaQuery& query,
                ReplicaSearch& search);
  void considerWithoutEvidence(EndpointState& endpoint, ReplicaSearch& search) const;
  void considerPossiblyStale(EndpointState& endpoint, const PendingRequest& request,
                             const ReplicaQuery& query, bool capacity, ReplicaSearch& search) const;
  void considerQualified(EndpointState& endpoint, const PendingRequest& request, const ReplicaQuery& query,
                         ReplicaSearch& search);
  EndpointState* selectReplica(PendingRequest& request, EndpointGroup& group, const EndpointState* primary,
                               std::optional<double>& minPrimaryLimit);
  EndpointState* selectMostAdvanced(const ReplicaQuery& query, const ReplicaSearch& search) const;
  bool waitsForHealthCheck(const ReplicaQuery& query, ReplicaSearch& search);
  bool healthChecksTellPosition() const;
  EndpointState* selectPrimary(PendingRequest& request, EndpointGroup& group, EndpointState* primary);
  EndpointState* selectForDiscoveringWrite(PendingRequest& request, const EndpointGroup& group);

  // Returns whether this gateway may send the request to an endpoint that has `load` in flight. Sets the
  // request's reason if not.
  bool hasCapacity(const EndpointState& endpoint, double load, PendingRequest& request) const;
  bool hasSpareCapacity(const EndpointState& primary) const;
  bool primaryHasSpareShare(const EndpointGroup& group) const;
  bool takesLongReads(const EndpointState& endpoint) const;
  double longReadReplicas(const EndpointGroup& group, const EndpointState* primary) const;
  double preferenceOf(const EndpointState& endpoint) const;
  double scoreOf(const EndpointState& endpoint, const PendingRequest& request, double work);

  PolicyContext& context_;
  EndpointRegistry& registry_;
  PrimaryTracker& primaries_;
  HealthCheckScheduler& healthChecks_;
  const SlowStart& slowStart_;
  const LatencyEstimator& latency_;
  // Work sent recently, in average requests, and the part of it that went to primaries.
  double sentWork_ = 0;
  double sentWorkToPrimaries_ = 0;
};

}  // namespace heathflow::policy
