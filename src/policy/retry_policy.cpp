#include "policy/retry_policy.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

// A request that waits is ended so many timer resolutions before its deadline, and a key is not relied upon
// so close to the end of its window.
constexpr int kTimerMargin = 2;

}  // namespace

bool RetryPolicy::mayAttempt(const PendingRequest& request, const EndpointState* target) const {
  if (request.attempts.size() >= context_.settings().maxAttempts || request.concluded) return false;
  if (request.attemptsInFlight > 0 && !context_.settings().hedgingAllowed) return false;
  return mayRun(request, target, kNoAttempt);
}

bool RetryPolicy::mayRun(const PendingRequest& request, const EndpointState* target, std::size_t own) const {
  const RequestClassSettings& entry = context_.classAt(request.request.classIndex);
  if (entry.idempotency == Idempotency::Idempotent) return true;
  const Micros margin = kTimerMargin * context_.settings().timerResolution;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const AttemptRecord& attempt = request.attempts[i];
    if (!attempt.mayHaveRun || i == own) continue;
    if (entry.idempotency == Idempotency::None) return false;
    // A key is remembered from the first attempt that may have run, within its scope.
    if (context_.now() + margin >= attempt.sentAt + entry.keyWindow) return false;
    if (target == nullptr || target->info.id == attempt.endpoint) continue;
    // Which other endpoints of the zone share the keys is not known.
    if (entry.keyScope == KeyScope::Endpoint || entry.keyScope == KeyScope::Zone) return false;
  }
  return true;
}

bool RetryPolicy::mayReject(const PendingRequest& request) const {
  const RequestClassSettings& entry = context_.classAt(request.request.classIndex);
  if (entry.idempotency == Idempotency::Idempotent) return true;
  if (entry.idempotency == Idempotency::WithKey && entry.keyScope == KeyScope::Global) return true;
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
  const bool unsendable = outcome == AttemptOutcome::NotSent && !attempt.recalled;
  if (request.partForwarded || unsendable) return false;
  if (context_.now() + settings.timerResolution >= request.request.deadline) return false;
  if (costsBudget && idempotent && budget_ < 1) return false;
  if (costsBudget) budget_ -= 1;
  return true;
}

}  // namespace heathflow::policy
