#include "policy/retry_policy.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

// Safety margin, in timer resolutions: a queued request expires this long before its deadline, and an
// idempotency key is not relied upon this close to the end of its window.
constexpr int kTimerMargin = 2;

}  // namespace

bool RetryPolicy::mayAttempt(const PendingRequest& request, const EndpointState* target) const {
  if (request.attempts.size() >= context_.settings().maxAttempts || request.finished) return false;
  if (request.attemptsInFlight > 0 && !context_.settings().hedgingAllowed) return false;
  return mayRun(request, target, kNoAttempt);
}

bool RetryPolicy::mayRun(const PendingRequest& request, const EndpointState* target,
                         std::size_t currentAttempt) const {
  const RequestClassSettings& requestClass = context_.classAt(request.request.classIndex);
  if (requestClass.idempotency == Idempotency::Idempotent) return true;
  const Micros margin = kTimerMargin * context_.settings().timerResolution;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const AttemptRecord& attempt = request.attempts[i];
    if (!attempt.mayHaveRun || i == currentAttempt) continue;
    if (requestClass.idempotency == Idempotency::None) return false;
    // An endpoint remembers a key from the first attempt that may have run, within the key's scope.
    if (context_.now() + margin >= attempt.sentAt + requestClass.keyWindow) return false;
    if (target == nullptr || target->info.id == attempt.endpoint) continue;
    // It is not known which other endpoints of the zone share the keys.
    if (requestClass.keyScope == KeyScope::Endpoint || requestClass.keyScope == KeyScope::Zone) return false;
  }
  return true;
}

bool RetryPolicy::mayReject(const PendingRequest& request) const {
  const RequestClassSettings& requestClass = context_.classAt(request.request.classIndex);
  if (requestClass.idempotency == Idempotency::Idempotent) return true;
  if (requestClass.idempotency == Idempotency::WithKey && requestClass.keyScope == KeyScope::Global)
    return true;
  return std::none_of(request.attempts.begin(), request.attempts.end(),
                      [](const AttemptRecord& attempt) { return attempt.mayHaveRun; });
}

Micros RetryPolicy::expiresAt(const PendingRequest& request) const {
  const std::size_t classIndex = request.request.classIndex;
  const Micros last = request.request.deadline - kTimerMargin * context_.settings().timerResolution;
  if (context_.classAt(classIndex).lateValueShare > 0) return last;
  return std::min(last, request.objectiveEnd - static_cast<Micros>(latency_.boundedLatencyOf(classIndex)));
}

void RetryPolicy::observeArrival() { budget_ = std::min(kMaxBudget, budget_ + kBudgetPerRequest); }

bool RetryPolicy::takeRetry(const PendingRequest& request, const AttemptRecord& attempt,
                            AttemptOutcome outcome) {
  const PolicySettings& settings = context_.settings();
  const bool idempotent = context_.classAt(request.request.classIndex).idempotency == Idempotency::Idempotent;
  const bool costsBudget = !neverRan(outcome) || outcome == AttemptOutcome::Overloaded;
  const bool unsendable = outcome == AttemptOutcome::NotSent && !attempt.cancelledUnsent;
  if (request.partForwarded || unsendable) return false;
  if (context_.now() + settings.timerResolution >= request.request.deadline) return false;
  if (costsBudget && idempotent && budget_ < 1) return false;
  if (costsBudget) budget_ -= 1;
  return true;
}

}  // namespace heathflow::policy
