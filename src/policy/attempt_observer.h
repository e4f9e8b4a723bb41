// Updates the state of endpoints and groups from the results of attempts and health checks.
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

  // Processes the result of an attempt. The caller has updated the attempt's record before.
  void observeEnd(EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event);
  void observeHealthCheck(EndpointState& endpoint, const HealthCheckEnded& event);
  // Returns whether idle connections should be closed because endpoints are short of connections.
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
