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
  // Whether the request may be ended with the promise that it had no effect.
  bool mayReject(const PendingRequest& request) const;
  // When a request that waits here is worth nothing any more. It is then ended, not at its deadline.
  Micros expiresAt(const PendingRequest& request) const;

  // Each request earns a part of a retry.
  void observeArrival();
  // Whether a request goes on after an attempt that ended without an answer; takes the credit for its retry.
  bool takeRetry(const PendingRequest& request, const AttemptRecord& attempt, AttemptOutcome outcome);

 private:
  static constexpr double kCreditPerRequest = 0.1;
  static constexpr double kMaxCredit = 10;

  const PolicyContext& context_;
  const LatencyEstimator& latency_;
  double credit_ = kMaxCredit;  // in retries
};

// Whether an attempt that ended so never ran at its endpoint.
inline bool neverRan(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::Overloaded || outcome == AttemptOutcome::ConnectFailed ||
         outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::PreconditionFailed;
}

}  // namespace heathflow::policy
