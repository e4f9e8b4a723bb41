#include "invariants/guard.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace heathflow::invariants {
namespace {

constexpr std::array<const char*, kInvariants> kNames = {
    "sent_after_answer",    "sent_after_leaving", "sent_after_time",   "told_too_much_time",
    "sent_to_draining",     "second_copy",        "repeated_effect",   "second_answer",
    "refused_after_effect", "closed_unanswered",  "taken_after_close", "started_unready"};

}  // namespace

const char* nameOf(Invariant invariant) { return kNames.at(static_cast<std::size_t>(invariant)); }

Guard::Guard(const Settings& settings, Micros drainGrace, OnBroken onBroken)
    : settings_(settings), drainGrace_(drainGrace), onBroken_(std::move(onBroken)) {}

std::uint64_t Guard::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

// Always false, for the one who asks.
bool Guard::broken(Invariant invariant, RequestId request) {
  ++counts_[static_cast<std::size_t>(invariant)];
  if (onBroken_) onBroken_(invariant, request);
  return false;
}

void Guard::listTaken(Micros now, const MembersChanged& list) {
  if (list.scope == MembersChanged::Scope::Failed) return;
  listed_ = true;
  for (const Member& member : list.members) {
    // Where the list is only advice, that it leaves a member out or calls it gone binds nothing.
    const bool binds = member.state == MemberState::Draining ||
                       (member.state == MemberState::Gone && !settings_.goneIsAdvice);
    if (binds) {
      drainingSince_.try_emplace(member.id, now);
    } else if (member.state == MemberState::Ready) {
      drainingSince_.erase(member.id);
    }
  }
}

void Guard::startsTaking() {
  if (!listed_) broken(Invariant::StartedUnready, 0);
}

void Guard::taken(const Request& request) {
  Record& record = records_[request.id];
  record.classIndex = request.classIndex;
  record.deadline = request.deadline;
}

void Guard::takenOn(RequestId request, bool onClosing) {
  if (onClosing) broken(Invariant::TakenAfterClose, request);
}

bool Guard::maySend(Micros now, const Sending& sending) {
  const RequestId id = sending.request;
  const auto found = records_.find(id);
  if (found == records_.end() || found->second.answered) return broken(Invariant::SentAfterAnswer, id);
  Record& record = found->second;
  if (record.left) return broken(Invariant::SentAfterLeaving, id);
  if (now >= record.deadline) return broken(Invariant::SentAfterTime, id);
  if (sending.told > record.deadline - now + kToldSlack) return broken(Invariant::ToldTooMuchTime, id);
  const auto draining = drainingSince_.find(sending.member);
  if (draining != drainingSince_.end() && now > draining->second + drainGrace_)
    return broken(Invariant::SentToDraining, id);
  const auto out = [](const Try& earlier) { return earlier.out; };
  if (!settings_.parallelTries && std::any_of(record.tries.begin(), record.tries.end(), out))
    return broken(Invariant::SecondCopy, id);
  if (!mayRepeat(record, now)) return broken(Invariant::RepeatedEffect, id);
  record.tries.push_back({sending.attempt, now});
  return true;
}

bool Guard::mayRepeat(const Record& record, Micros now) const {
  if (record.classIndex >= settings_.classes.size()) return true;
  const ClassSettings& entry = settings_.classes[record.classIndex];
  if (entry.effect == Effect::Safe) return true;
  return std::none_of(record.tries.begin(), record.tries.end(), [&](const Try& earlier) {
    if (!earlier.mayHaveRun) return false;
    return entry.effect == Effect::Unsafe || now >= earlier.sentAt + entry.window;
  });
}

void Guard::ended(RequestId request, std::uint32_t attempt, bool mayHaveRun) {
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  for (Try& one : found->second.tries) {
    if (one.attempt != attempt) continue;
    one.out = false;
    one.mayHaveRun = mayHaveRun;
  }
}

void Guard::answered(RequestId request, Final answer) {
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  Record& record = found->second;
  if (record.answered) {
    broken(Invariant::SecondAnswer, request);
    return;
  }
  record.answered = true;
  if (answer != Final::Refused || record.classIndex >= settings_.classes.size()) return;
  const ClassSettings& entry = settings_.classes[record.classIndex];
  const bool harmless =
      entry.effect == Effect::Safe || (entry.effect == Effect::Keyed && entry.scope == KeyScope::Everywhere);
  const auto ran = [](const Try& one) { return one.mayHaveRun; };
  if (!harmless && std::any_of(record.tries.begin(), record.tries.end(), ran))
    broken(Invariant::RefusedAfterEffect, request);
}

void Guard::left(RequestId request) {
  const auto found = records_.find(request);
  if (found != records_.end()) found->second.left = true;
}

void Guard::closing(RequestId request, bool unanswered) {
  if (unanswered) broken(Invariant::ClosedUnanswered, request);
}

}  // namespace heathflow::invariants
