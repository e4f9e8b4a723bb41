// The way of a request: it is sent, queued, retried, and ended with its one final answer.
#pragma once

#include <cstddef>
#include <limits>
#include <map>

#include "policy/attempt_observer.h"
#include "policy/endpoint_registry.h"
#include "policy/endpoint_selection.h"
#include "policy/health_check_scheduler.h"
#include "policy/latency_estimator.h"
#include "policy/pending_request.h"
#include "policy/primary_tracker.h"
#include "policy/retry_policy.h"
#include "policy/session_tokens.h"
#include "policy/slow_start.h"

namespace heathflow::policy {

class RequestDispatcher {
 public:
  RequestDispatcher(PolicyContext& context, EndpointRegistry& registry, PrimaryTracker& primaries,
                    HealthCheckScheduler& healthChecks, SlowStart& slowStart, LatencyEstimator& latency,
                    AttemptObserver& observer);

  void observeArrival(const RequestArrived& event);
  void observeAttemptEnd(const AttemptEnded& event);
  void observeAttemptConnected(const AttemptConnected& event);
  void observePartForwarded(const ResponsePartForwarded& event);
  void observeClientDisconnect(RequestId id);
  // Nothing more is owed for the request.
  void finish(RequestId id);
  void observeExpiryTimer(RequestId id);
  void observeQueueTimer(GroupId id);

  // Sends what is queued and can be sent, the most valuable first. Ends what has waited too long, and what
  // needs an endpoint that lacks evidence while the list has expired.
  void dispatchQueued(EndpointGroup& group);
  // What arrives after the deadline is rejected.
  void startShutdown(Micros deadline);
  // The deadline of the shutdown has come: everything is rejected or failed.
  void concludeAll();

 private:
  // Sends the request, or queues it, or ends it.
  void place(PendingRequest& request, EndpointGroup& group);
  bool trySend(PendingRequest& request, EndpointGroup& group);
  void send(PendingRequest& request, EndpointState& endpoint);
  void enqueue(PendingRequest& request, EndpointGroup& group);
  void setQueueTimer(GroupId id, EndpointGroup& group);
  PendingRequest* nextQueued(EndpointGroup& group, const std::vector<bool>& blocked);
  void expireQueued(EndpointGroup& group, std::size_t classIndex);
  double priorityOf(const PendingRequest& request) const;

  bool isServable(const Request& request) const;
  PendingRequest& enter(const Request& request);
  void setRequiredToken(PendingRequest& pending);
  bool hasWriteInFlight(std::uint64_t session) const;
  void releaseEndpoint(EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event);
  void observeSessionWrite(const PendingRequest& request, const AttemptEnded& event);

  // Gives the request its one final answer.
  void conclude(PendingRequest& request);
  void cancelInFlight(const PendingRequest& request, std::size_t except = RetryPolicy::kNoAttempt);
  void eraseIfDone(RequestId id);
  PendingRequest* find(RequestId id);

  PolicyContext& context_;
  EndpointRegistry& registry_;
  PrimaryTracker& primaries_;
  HealthCheckScheduler& healthChecks_;
  SlowStart& slowStart_;
  LatencyEstimator& latency_;
  AttemptObserver& observer_;
  EndpointSelection selection_;
  RetryPolicy retries_;
  SessionTokens tokens_;
  std::map<RequestId, PendingRequest> requests_;
  Micros shutdownAt_ = std::numeric_limits<Micros>::max();
};

}  // namespace heathflow::policy
