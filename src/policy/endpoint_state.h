// State of each endpoint and group. Each struct names the class that mainly updates it; AttemptObserver
// updates several.
#pragma once

#include <cstdint>
#include <vector>

#include "policy/admission_control.h"
#include "policy/concurrency_limit.h"
#include "policy/endpoint_evidence.h"
#include "policy/latency_estimator.h"
#include "policy/moving_average.h"
#include "policy/outlier_detection.h"
#include "policy/policy_context.h"
#include "policy/replica_freshness.h"
#include "policy/request_queue.h"

namespace heathflow::policy {

// An endpoint's state according to the endpoint list. Updated by EndpointRegistry.
struct ListingState {
  bool usable = false;       // requests may be sent to it
  bool draining = false;     // listed as draining since its last start
  bool unconfirmed = false;  // the list is only advisory, and nothing else has shown that it exists
  Micros listedAt = kNever;
  std::uint64_t listNumber = 0;  // of the newest list that contains it
};

// When an endpoint was known to have each role. Updated by PrimaryTracker, and by EndpointRegistry from the
// list.
struct RoleState {
  Micros primaryAt = kNever;           // the newest time at which it was the primary
  Micros replicaAt = kNever;           // the newest time at which it was a replica
  Micros reportedAt = kNever;          // when it last reported its role
  Micros writeRejectedAt = kNever;     // when it rejected a write as a replica; reset when it serves one
  Micros listedPrimarySince = kNever;  // since when the list names it as the primary

  // Returns whether the newest evidence does not show it as a replica.
  bool mayBePrimary() const { return replicaAt == kNever || primaryAt > replicaAt; }
};

// This gateway's own requests at an endpoint. Updated by RequestDispatcher.
struct InFlightState {
  int requests = 0;
  double work = 0;  // in average requests
  int longReads = 0;
  Micros nextLongReadEndDue = kNever;  // by when the next of the long reads should end
};

// Updated by HealthCheckScheduler and AttemptObserver.
struct HealthCheckState {
  bool inProgress = false;
  Micros startedAt = kNever;
  Micros newWorkRefusedAt = kNever;  // when the endpoint last rejected a check as starting or draining
  bool connectRejected = false;      // it rejected a connection, and the next check tells whether it is alive
};

// Updated by SlowStart.
struct SlowStartState {
  DecayingSum sentWork;  // including requests that the endpoint rejected
  double growth = 1;     // factor on this gateway's share while requests are spaced out
  Micros adjustedAt = kNever;
};

// Lower bound of EndpointState::responseTimeout().
inline constexpr Micros kMinResponseTimeout = 250 * kMillisecond;

struct EndpointState {
  Endpoint info;
  // Position in this gateway's own order of endpoints, from 0 to 1; among equals the lowest is preferred.
  double preference = 0;
  ListingState listing;
  RoleState role;
  ReplicaFreshness freshness;
  InFlightState inFlight;
  RelativeLatency relativeLatency;
  ConcurrencyLimit limit;
  OutlierDetection outlier;
  HealthCheckState healthCheck;
  EndpointEvidence evidence;
  SlowStartState slowStart;

  // Returns whether it is known only from an advisory list and has failed: it is only checked, not used.
  bool isPresumedAbsent() const { return outlier.hasFailed() && listing.unconfirmed; }
  // Returns the limit of work in flight; an endpoint that has failed gets at most one request at a time.
  double concurrencyLimit() const {
    return outlier.hasFailed() ? std::min(1.0, limit.value()) : limit.value();
  }
  // Returns the time without any response after which an endpoint counts as unresponsive.
  static Micros responseTimeout(const PolicySettings& settings) {
    return std::max(settings.connectTimeout, kMinResponseTimeout);
  }
  // Returns whether requests are in flight and nothing has come from it for the response timeout.
  bool isUnresponsive(const PolicyContext& context) const {
    return inFlight.requests > 0 && outlier.isSilentFor(responseTimeout(context.settings()), context.now());
  }
  void observeResponse(Micros now) {
    outlier.observeResponse(now);
    listing.unconfirmed = false;
  }
};

// The search for a group's primary. Updated by HealthCheckScheduler.
struct PrimarySearch {
  Micros startedAt = kNever;     // start of the current round
  Micros allCheckedAt = kNever;  // start of the last round that checks all endpoints
  bool checksAll = false;        // the current round checks all endpoints
};

// A primary and its replicas.
struct EndpointGroup {
  std::vector<EndpointId> endpoints;  // by id, so that their order is the same in every gateway
  Micros primaryAt = kNever;          // the newest time at which any of them was the primary
  Micros primaryReportedAt = kNever;  // when an endpoint last reported to be the primary
  PrimarySearch search;
  RequestQueue queue;
  DecayingSum answeredWork;     // answered by endpoints with their full capacity
  DecayingSum positionedReads;  // recent reads that need a log position
  ServedShare replicasServed;
  ServedShare primaryServed;
  bool queueTimerSet = false;
};

}  // namespace heathflow::policy
