// Learns from the end of an attempt: passes what it shows to each part of the policy that it concerns.
#pragma once

#include "policy/endpoint_registry.h"
#include "policy/health_check_scheduler.h"
#include "policy/latency_estimator.h"
#include "policy/pending_request.h"
#include "policy/primary_tracker.h"
#include "policy/slow_start.h"

namespace heathflow::policy {

class AttemptObserver {
 public:
  AttemptObserver(PolicyContext& context, EndpointRegistry& registry, PrimaryTracker& primaries,
                  HealthCheckScheduler& healthChecks, SlowStart& slowStart, LatencyEstimator& latency)
      : context_(context),
        registry_(registry),
        primaries_(primaries),
        healthChecks_(healthChecks),
        slowStart_(slowStart),
        latency_(latency) {}

  // Takes in the end of an attempt, whose record has been updated.
  void observeEnd(EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event);
  void observeHealthCheck(EndpointState& endpoint, const HealthCheckEnded& event);
  // Whether idle connections are to be closed since endpoints lack connections.
  bool connectionsAreScarce() const { return scarcity_.isScarce(context_.now()); }

 private:
  void observeRole(EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event);
  void observeConnection(EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event);
  void observeLostConnection(EndpointState& endpoint, const AttemptEnded& event);
  void observeServed(const EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event);
  void observeLatency(EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event);
  void observeSlowStart(EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event);
  void observePreference(EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event);
  void observeLimit(EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event) const;

  bool isSlow(const PendingRequest& request, const AttemptEnded& event) const;

  PolicyContext& context_;
  EndpointRegistry& registry_;
  PrimaryTracker& primaries_;
  HealthCheckScheduler& healthChecks_;
  SlowStart& slowStart_;
  LatencyEstimator& latency_;
  ConnectionScarcity scarcity_;
};

}  // namespace heathflow::policy
