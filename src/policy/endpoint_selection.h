// Which endpoint a request goes to: a write or strong read to the primary; any other read to the replica with
// the least work of this gateway among those that are recent enough, else to the primary.
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

  // May start a health check that a later selection needs.
  // @return nullptr  where the request has to wait. Its reason then says why, but for long reads that wait
  // for
  //                  the replicas on which they are packed.
  EndpointState* select(PendingRequest& request, EndpointGroup& group);
  // Whether an endpoint may still be sent a request that was placed on it a while ago.
  bool stillQualifies(const EndpointState& endpoint, const PendingRequest& request);

  void observeArrival();
  void observeSent(double work, bool toPrimary);
  // By when a long read that is sent or answered now lets another one end.
  Micros longReadDue(std::size_t classIndex) const;

 private:
  // What a read needs of a replica.
  struct ReplicaQuery {
    LogPosition required = kNever;
    double work = 0;
    bool isLongRead = false;
    double longReadReplicas = 0;  // on so many, by id, long reads are packed
    double waited = 0;            // as a share of the latency objective
    Micros recheckAfter = 0;
    const EndpointState* primary = nullptr;
  };
  // What one pass over a group's replicas has found.
  struct ReplicaSearch {
    EndpointState* best = nullptr;
    double bestScore = 0;
    EndpointState* mostAdvanced = nullptr;    // of those that may be too far behind
    EndpointState* checkCandidate = nullptr;  // a health check may show that it qualifies
    bool checkInProgress = false;
    double longReadReplica = 0;  // number of the one at hand among those that take long reads
    // Set: the read waits, unless the primary has capacity to spare and at least this limit.
    std::optional<double> minPrimaryLimit;
  };

  ReplicaQuery queryOf(const PendingRequest& request, const EndpointGroup& group,
                       const EndpointState* primary) const;
  ReplicaSearch searchReplicas(PendingRequest& request, const EndpointGroup& group,
                               const ReplicaQuery& query);
  void consider(EndpointState& endpoint, PendingRequest& request, const ReplicaQuery& query,
                ReplicaSearch& search);
  void considerWithoutEvidence(EndpointState& endpoint, ReplicaSearch& search) const;
  void considerBehind(EndpointState& endpoint, const PendingRequest& request, const ReplicaQuery& query,
                      bool capacity, ReplicaSearch& search) const;
  void considerQualified(EndpointState& endpoint, const PendingRequest& request, const ReplicaQuery& query,
                         ReplicaSearch& search);
  EndpointState* selectReplica(PendingRequest& request, EndpointGroup& group, const EndpointState* primary,
                               std::optional<double>& minPrimaryLimit);
  EndpointState* selectMostAdvanced(const ReplicaQuery& query, const ReplicaSearch& search) const;
  bool waitsForHealthCheck(const ReplicaQuery& query, ReplicaSearch& search);
  bool healthChecksTellPosition() const;
  EndpointState* selectPrimary(PendingRequest& request, EndpointGroup& group, EndpointState* primary);
  EndpointState* selectForDiscoveringWrite(PendingRequest& request, const EndpointGroup& group);

  // Sets the request's reason where it returns false.
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
  // Work that was sent of late, in usual requests, and how much of it to primaries.
  double sentWork_ = 0;
  double sentWorkToPrimaries_ = 0;
};

}  // namespace heathflow::policy
