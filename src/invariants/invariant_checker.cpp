#include "invariants/invariant_checker.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace heathflow::invariants {
namespace {

constexpr std::array<const char*, kInvariants> kNames = {
    "sent_after_answer",     "sent_after_disconnect", "sent_after_deadline",  "timeout_too_long",
    "sent_to_draining",      "forbidden_hedge",       "repeated_effect",      "second_answer",
    "rejected_after_effect", "closed_unanswered",     "accepted_after_close", "started_unready"};

}  // namespace

const char* nameOf(Invariant invariant) { return kNames.at(static_cast<std::size_t>(invariant)); }

InvariantChecker::InvariantChecker(const PolicySettings& settings, Micros drainGrace, OnViolation onViolation)
    : settings_(settings), drainGrace_(drainGrace), onViolation_(std::move(onViolation)) {}

std::uint64_t InvariantChecker::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void InvariantChecker::reportViolation(Invariant invariant, RequestId request) {
  ++counts_[static_cast<std::size_t>(invariant)];
  if (onViolation_) onViolation_(invariant, request);
}

void InvariantChecker::endpointsChanged(Micros now, const EndpointsChanged& list) {
  if (list.scope == EndpointsChanged::Scope::Failed) return;
  listReceived_ = true;
  for (const Endpoint& endpoint : list.endpoints) {
    // If removals are advisory, a removed endpoint may still be used.
    const bool binding = endpoint.status == EndpointStatus::Draining ||
                         (endpoint.status == EndpointStatus::Removed && !settings_.removalIsAdvisory);
    if (binding) {
      drainingSince_.try_emplace(endpoint.id, now);
    } else if (endpoint.status == EndpointStatus::Ready) {
      drainingSince_.erase(endpoint.id);
    }
  }
}

void InvariantChecker::servingStarted() {
  if (!listReceived_) reportViolation(Invariant::StartedUnready, 0);
}

void InvariantChecker::requestAccepted(const Request& request) {
  RequestRecord& record = records_[request.id];
  record.classIndex = request.classIndex;
  record.deadline = request.deadline;
}

void InvariantChecker::requestAcceptedOn(RequestId request, bool closing) {
  if (closing) reportViolation(Invariant::AcceptedAfterClose, request);
}

bool InvariantChecker::maySend(Micros now, const AttemptToSend& sending) {
  if (const auto violation = violationOf(now, sending)) {
    reportViolation(*violation, sending.request);
    return false;
  }
  records_.at(sending.request).attempts.push_back({sending.attempt, now});
  return true;
}

// Returns the first invariant that sending the attempt would violate.
std::optional<Invariant> InvariantChecker::violationOf(Micros now, const AttemptToSend& sending) const {
  const auto found = records_.find(sending.request);
  if (found == records_.end() || found->second.answered) return Invariant::SentAfterAnswer;
  const RequestRecord& record = found->second;
  if (record.cancelled) return Invariant::SentAfterDisconnect;
  if (now >= record.deadline) return Invariant::SentAfterDeadline;
  if (sending.timeout > record.deadline - now + kTimeoutSlack) return Invariant::TimeoutTooLong;
  const auto draining = drainingSince_.find(sending.endpoint);
  if (draining != drainingSince_.end() && now > draining->second + drainGrace_)
    return Invariant::SentToDraining;
  const auto inFlight = [](const AttemptRecord& earlier) { return earlier.inFlight; };
  if (!settings_.hedgingAllowed && std::any_of(record.attempts.begin(), record.attempts.end(), inFlight))
    return Invariant::ForbiddenHedge;
  if (!mayRetry(record, now)) return Invariant::RepeatedEffect;
  return {};
}

bool InvariantChecker::mayRetry(const RequestRecord& record, Micros now) const {
  if (record.classIndex >= settings_.classes.size()) return true;
  const RequestClassSettings& entry = settings_.classes[record.classIndex];
  if (entry.idempotency == Idempotency::Idempotent) return true;
  return std::none_of(record.attempts.begin(), record.attempts.end(), [&](const AttemptRecord& earlier) {
    if (!earlier.mayHaveRun) return false;
    return entry.idempotency == Idempotency::None || now >= earlier.sentAt + entry.keyWindow;
  });
}

void InvariantChecker::attemptEnded(RequestId request, std::uint32_t attempt, bool mayHaveRun) {
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  for (AttemptRecord& record : found->second.attempts) {
    if (record.attempt != attempt) continue;
    record.inFlight = false;
    record.mayHaveRun = mayHaveRun;
  }
}

void InvariantChecker::requestAnswered(RequestId request, FinalAnswer answer) {
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  RequestRecord& record = found->second;
  if (record.answered) return reportViolation(Invariant::SecondAnswer, request);
  record.answered = true;
  if (answer != FinalAnswer::Rejected || record.classIndex >= settings_.classes.size()) return;
  const RequestClassSettings& entry = settings_.classes[record.classIndex];
  const bool repeatable = entry.idempotency == Idempotency::Idempotent ||
                          (entry.idempotency == Idempotency::WithKey && entry.keyScope == KeyScope::Global);
  const auto mayHaveRun = [](const AttemptRecord& attempt) { return attempt.mayHaveRun; };
  if (!repeatable && std::any_of(record.attempts.begin(), record.attempts.end(), mayHaveRun))
    reportViolation(Invariant::RejectedAfterEffect, request);
}

void InvariantChecker::requestCancelled(RequestId request) {
  const auto found = records_.find(request);
  if (found != records_.end()) found->second.cancelled = true;
}

void InvariantChecker::connectionClosing(RequestId request, bool unanswered) {
  if (unanswered) reportViolation(Invariant::ClosedUnanswered, request);
}

}  // namespace heathflow::invariants
