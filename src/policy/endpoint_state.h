// What a gateway keeps of each endpoint and group. Each part names the class that mainly updates it;
// AttemptObserver updates several.
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

// What the endpoint list says of an endpoint. Updated by EndpointRegistry.
struct ListingState {
  bool usable = false;       // requests may be sent to it
  bool draining = false;     // listed so since its last start
  bool unconfirmed = false;  // where the list is only advice: nothing else has shown that it exists
  Micros listedAt = kNever;
  std::uint64_t listNumber = 0;  // of the newest list that names it
};

// When an endpoint was known to have which role. Updated by PrimaryTracker, and by EndpointRegistry from the
// list.
struct RoleState {
  Micros primaryAt = kNever;           // the newest time at which it was the primary
  Micros replicaAt = kNever;           // the newest time at which it was a replica
  Micros reportedAt = kNever;          // when it last reported its role
  Micros writeRejectedAt = kNever;     // when it rejected a write as no primary, and has taken none since
  Micros listedPrimarySince = kNever;  // when the list first took it for the primary

  // Nothing newer shows that it is a replica.
  bool mayBePrimary() const { return replicaAt == kNever || primaryAt > replicaAt; }
};

// This gateway's own requests at an endpoint. Updated by RequestDispatcher.
struct InFlightState {
  int requests = 0;
  double work = 0;  // in usual requests
  int longReads = 0;
  Micros longReadDue = kNever;  // by when one of the long reads should have ended
};

// Updated by HealthCheckScheduler and AttemptObserver.
struct HealthCheckState {
  bool inProgress = false;
  Micros startedAt = kNever;
  Micros newWorkRefusedAt = kNever;  // when the endpoint rejected a check since it takes nothing new
  bool connectRejected = false;  // a check is to tell whether an endpoint that rejected a connection is alive
};

// Updated by SlowStart.
struct SlowStartState {
  DecayingSum sentWork;  // what the endpoint rejected included
  double growth = 1;     // factor on this gateway's even part, where requests are spaced out
  Micros adjustedAt = kNever;
};

// The least time without a response after which an endpoint counts as unresponsive.
inline constexpr Micros kMinResponseTimeout = 250 * kMillisecond;

struct EndpointState {
  Endpoint info;
  // This gateway's own order of endpoints, from 0 to 1: among equals the lowest is preferred.
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

  // Nothing but an advisory list names it, and it has failed: it is only checked, not used.
  bool isPresumedAbsent() const { return outlier.hasFailed() && listing.unconfirmed; }
  // Requests in flight; one that has failed gets a single one.
  double concurrencyLimit() const {
    return outlier.hasFailed() ? std::min(1.0, limit.value()) : limit.value();
  }
  // For so long nothing may come from an endpoint before it counts as unresponsive.
  static Micros responseTimeout(const PolicySettings& settings) {
    return std::max(settings.connectTimeout, kMinResponseTimeout);
  }
  // Requests are in flight there and nothing has come from it for the response timeout.
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
  Micros startedAt = kNever;     // of the present round
  Micros allCheckedAt = kNever;  // of the last round that checks all endpoints
  bool checksAll = false;        // in this round
};

// A primary and its replicas.
struct EndpointGroup {
  std::vector<EndpointId> endpoints;  // by id, so that their order is the same at every gateway
  Micros primaryAt = kNever;          // the newest time at which any of them was the primary
  Micros primaryReportedAt = kNever;  // when one last reported to be it
  PrimarySearch search;
  RequestQueue queue;
  DecayingSum answeredWork;     // by endpoints with their full capacity
  DecayingSum positionedReads;  // of late, reads that need a log position
  ServedShare replicasServed;
  ServedShare primaryServed;
  bool queueTimerSet = false;
};

}  // namespace heathflow::policy
