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

InvariantChecker::InvariantChecker(const PolicySettings& settings, Micros drainGrace, OnBroken onBroken)
    : settings_(settings), drainGrace_(drainGrace), onBroken_(std::move(onBroken)) {}

std::uint64_t InvariantChecker::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

// Always false, for the one who asks.
bool InvariantChecker::broken(Invariant invariant, RequestId request) {
  ++counts_[static_cast<std::size_t>(invariant)];
  if (onBroken_) onBroken_(invariant, request);
  return false;
}

void InvariantChecker::listTaken(Micros now, const EndpointsChanged& list) {
  if (list.scope == EndpointsChanged::Scope::Failed) return;
  listed_ = true;
  for (const Endpoint& endpoint : list.endpoints) {
    // Where the list is only advice, that it leaves an endpoint out or calls it gone binds nothing.
    const bool binds = endpoint.status == EndpointStatus::Draining ||
                       (endpoint.status == EndpointStatus::Removed && !settings_.removalIsAdvisory);
    if (binds) {
      drainingSince_.try_emplace(endpoint.id, now);
    } else if (endpoint.status == EndpointStatus::Ready) {
      drainingSince_.erase(endpoint.id);
    }
  }
}

void InvariantChecker::startsTaking() {
  if (!listed_) broken(Invariant::StartedUnready, 0);
}

void InvariantChecker::taken(const Request& request) {
  RequestRecord& record = records_[request.id];
  record.classIndex = request.classIndex;
  record.deadline = request.deadline;
}

void InvariantChecker::takenOn(RequestId request, bool onClosing) {
  if (onClosing) broken(Invariant::AcceptedAfterClose, request);
}

bool InvariantChecker::maySend(Micros now, const Sending& sending) {
  const RequestId id = sending.request;
  const auto found = records_.find(id);
  if (found == records_.end() || found->second.answered) return broken(Invariant::SentAfterAnswer, id);
  RequestRecord& record = found->second;
  if (record.left) return broken(Invariant::SentAfterDisconnect, id);
  if (now >= record.deadline) return broken(Invariant::SentAfterDeadline, id);
  if (sending.told > record.deadline - now + kToldSlack) return broken(Invariant::TimeoutTooLong, id);
  const auto draining = drainingSince_.find(sending.endpoint);
  if (draining != drainingSince_.end() && now > draining->second + drainGrace_)
    return broken(Invariant::SentToDraining, id);
  const auto out = [](const AttemptRecord& earlier) { return earlier.out; };
  if (!settings_.hedgingAllowed && std::any_of(record.tries.begin(), record.tries.end(), out))
    return broken(Invariant::ForbiddenHedge, id);
  if (!mayRepeat(record, now)) return broken(Invariant::RepeatedEffect, id);
  record.tries.push_back({sending.attempt, now});
  return true;
}

bool InvariantChecker::mayRepeat(const RequestRecord& record, Micros now) const {
  if (record.classIndex >= settings_.classes.size()) return true;
  const RequestClassSettings& entry = settings_.classes[record.classIndex];
  if (entry.idempotency == Idempotency::Idempotent) return true;
  return std::none_of(record.tries.begin(), record.tries.end(), [&](const AttemptRecord& earlier) {
    if (!earlier.mayHaveRun) return false;
    return entry.idempotency == Idempotency::None || now >= earlier.sentAt + entry.keyWindow;
  });
}

void InvariantChecker::ended(RequestId request, std::uint32_t attempt, bool mayHaveRun) {
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  for (AttemptRecord& one : found->second.tries) {
    if (one.attempt != attempt) continue;
    one.out = false;
    one.mayHaveRun = mayHaveRun;
  }
}

void InvariantChecker::answered(RequestId request, Final answer) {
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  RequestRecord& record = found->second;
  if (record.answered) {
    broken(Invariant::SecondAnswer, request);
    return;
  }
  record.answered = true;
  if (answer != Final::Rejected || record.classIndex >= settings_.classes.size()) return;
  const RequestClassSettings& entry = settings_.classes[record.classIndex];
  const bool harmless = entry.idempotency == Idempotency::Idempotent ||
                        (entry.idempotency == Idempotency::WithKey && entry.keyScope == KeyScope::Global);
  const auto ran = [](const AttemptRecord& one) { return one.mayHaveRun; };
  if (!harmless && std::any_of(record.tries.begin(), record.tries.end(), ran))
    broken(Invariant::RejectedAfterEffect, request);
}

void InvariantChecker::left(RequestId request) {
  const auto found = records_.find(request);
  if (found != records_.end()) found->second.left = true;
}

void InvariantChecker::closing(RequestId request, bool unanswered) {
  if (unanswered) broken(Invariant::ClosedUnanswered, request);
}

}  // namespace heathflow::invariants
