// Whether a request may have another attempt, and how it may end: no effect may happen twice, and no retries
// may multiply an overload.
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

  // Whether an attempt may be made, given those before it.
  // @param target  nullptr: anywhere.
  bool mayAttempt(const PendingRequest& request, const EndpointState* target) const;
  // Whether an attempt may run beside the effects that the others may have had.
  // @param own  the attempt itself, where it has been made already.
  bool mayRun(const PendingRequest& request, const EndpointState* target, std::size_t own) const;
  // Whether the request may be rejected: it had no effect, or a repeat of it is harmless.
  bool mayReject(const PendingRequest& request) const;
  // When a queued request is ended: just before its deadline, or, where late answers have no value, once its
  // objective can't be met.
  Micros expiresAt(const PendingRequest& request) const;

  // Each request adds to the retry budget, so that retries do not multiply an overload.
  void observeArrival();
  // Whether a request whose last attempt did not serve it goes on. Takes the retry from the budget, also
  // where no retry follows after all; requests that are not idempotent may overdraw it.
  bool takeRetry(const PendingRequest& request, const AttemptRecord& attempt, AttemptOutcome outcome);

 private:
  static constexpr double kBudgetPerRequest = 0.1;
  static constexpr double kMaxBudget = 10;

  const PolicyContext& context_;
  const LatencyEstimator& latency_;
  double budget_ = kMaxBudget;  // in retries
};

// Whether an attempt that ended so never ran at its endpoint.
inline bool neverRan(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::Overloaded || outcome == AttemptOutcome::ConnectFailed ||
         outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::PreconditionFailed;
}

}  // namespace heathflow::policy
