// Handles a request from arrival to its one final answer: sends, queues and retries it.
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
  // Marks a request as finished: it needs no further action.
  void finish(RequestId id);
  void observeExpiryTimer(RequestId id);
  void observeQueueTimer(GroupId id);

  // Sends queued requests: repeatedly the one with the highest priority among the newest of each class, until
  // the newest of every class can't be sent. Rejects or fails a newest request that has expired, and one for
  // a primary that lacks evidence after the endpoint list has expired and can't get any from a health check.
  void dispatchQueued(EndpointGroup& group);
  // Requests that arrive after the deadline are rejected.
  void startShutdown(Micros deadline);
  // Rejects or fails every request, at the deadline of the shutdown.
  void rejectOrFailAll();

 private:
  // Sends the request, queues it, or rejects or fails it.
  void dispatch(PendingRequest& request, EndpointGroup& group);
  bool trySend(PendingRequest& request, EndpointGroup& group);
  void send(PendingRequest& request, EndpointState& endpoint);
  void enqueue(PendingRequest& request, EndpointGroup& group);
  void setQueueTimer(GroupId id, EndpointGroup& group);
  PendingRequest* nextQueued(EndpointGroup& group, const std::vector<bool>& blocked);
  void expireQueued(EndpointGroup& group, std::size_t classIndex);
  double priorityOf(const PendingRequest& request) const;

  bool isServable(const Request& request) const;
  PendingRequest& addRequest(const Request& request);
  void setRequiredToken(PendingRequest& pending);
  bool hasWriteInFlight(std::uint64_t session) const;
  void releaseEndpoint(EndpointState& endpoint, const PendingRequest& request, const AttemptEnded& event);
  void observeSessionWrite(const PendingRequest& request, const AttemptEnded& event);

  // Ends an unserved request with its one final answer: a rejection if it had no effect or a repeat of it is
  // harmless, otherwise a failure.
  void rejectOrFail(PendingRequest& request);
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
