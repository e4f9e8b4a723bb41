// Decides whether a request may have another attempt and how it may end. No effect may happen twice, and
// retries must not amplify an overload.
#pragma once

#include <cstddef>
#include <limits>

#include "policy/endpoint_state.h"
#include "policy/latency_estimator.h"
#include "policy/pending_request.h"

namespace heathflow::policy {

class RetryPolicy {
 public:
  static constexpr std::size_t kNoAttempt = std::numeric_limits<std::size_t>::max();

  RetryPolicy(const PolicyContext& context, const LatencyEstimator& latency)
      : context_(context), latency_(latency) {}

  // Returns whether a further attempt may be made.
  // @param target  nullptr: at any endpoint.
  bool mayAttempt(const PendingRequest& request, const EndpointState* target) const;
  // Returns whether an attempt may run, given the effects that the other attempts may have had.
  // @param currentAttempt  index of the attempt itself, or kNoAttempt if it has not been made yet.
  bool mayRun(const PendingRequest& request, const EndpointState* target, std::size_t currentAttempt) const;
  // Returns whether the request may be rejected: it had no effect, or a repeat of it is harmless.
  bool mayReject(const PendingRequest& request) const;
  // Returns when a queued request expires: just before its deadline, or, if late answers have no value, as
  // soon as its latency objective can't be met.
  Micros expiresAt(const PendingRequest& request) const;

  // Adds to the retry budget for each request, so that retries do not amplify an overload.
  void observeArrival();
  // Returns whether a request whose last attempt did not serve it may be retried, and takes the retry from
  // the budget, even if no attempt follows. Requests that are not idempotent may overdraw the budget.
  bool takeRetry(const PendingRequest& request, const AttemptRecord& attempt, AttemptOutcome outcome);

 private:
  static constexpr double kBudgetPerRequest = 0.1;
  static constexpr double kMaxBudget = 10;

  const PolicyContext& context_;
  const LatencyEstimator& latency_;
  double budget_ = kMaxBudget;  // in retries
};

// Returns whether an attempt with this outcome never ran at its endpoint.
inline bool neverRan(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::Overloaded || outcome == AttemptOutcome::ConnectFailed ||
         outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::PreconditionFailed;
}

}  // namespace heathflow::policy
