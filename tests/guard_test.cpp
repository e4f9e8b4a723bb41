// Each invariant of the guard, broken on purpose: it is counted once, told, and what would break it is not
// sent.
#include "invariants/guard.h"

#include <gtest/gtest.h>

#include "rig.h"

namespace heathflow::invariants {
namespace {

using test::kMs;
using test::kS;
using test::kStart;

constexpr Micros kGrace = 250 * kMs;
constexpr MemberId kMember = 1;

class BrokenOnPurpose : public testing::Test {
 protected:
  BrokenOnPurpose()
      : guard(settings, kGrace, [this](Invariant invariant, RequestId) { told.push_back(invariant); }) {
    guard.listTaken(kStart, listWith(MemberState::Ready));
  }
  static MembersChanged listWith(MemberState state) {
    return {MembersChanged::Scope::Full, {test::makeMember(kMember, true, state)}};
  }
  RequestId take(std::uint32_t classIndex = test::kAny) {
    Request request;
    request.id = ++lastId;
    request.classIndex = classIndex;
    request.deadline = kStart + kS;
    guard.taken(request);
    return request.id;
  }
  bool send(RequestId request, std::uint32_t attempt = 0, Micros after = 0, Micros time = 500 * kMs) {
    return guard.maySend(kStart + after, {request, attempt, kMember, time});
  }
  // Nothing but that one was counted, and once.
  void expectOnly(Invariant invariant) {
    EXPECT_EQ(guard.count(invariant), 1U) << nameOf(invariant);
    EXPECT_EQ(guard.total(), 1U);
    EXPECT_EQ(told, std::vector<Invariant>{invariant});
  }

  Settings settings = test::makeSettings();
  std::vector<Invariant> told;
  Guard guard;
  RequestId lastId = 0;
};

TEST_F(BrokenOnPurpose, NothingIsCountedOnAnOrdinaryPath) {
  const RequestId id = take();
  EXPECT_TRUE(send(id));
  guard.ended(id, 0, false);
  EXPECT_TRUE(send(id, 1));
  guard.ended(id, 1, true);
  guard.answered(id, Guard::Final::Served);
  guard.closing(id, false);
  guard.startsTaking();
  guard.forget(id);
  EXPECT_EQ(guard.total(), 0U);
  EXPECT_EQ(guard.open(), 0U);
}

TEST_F(BrokenOnPurpose, SentAfterAnswer) {
  const RequestId id = take();
  guard.answered(id, Guard::Final::Failed);
  EXPECT_FALSE(send(id));
  expectOnly(Invariant::SentAfterAnswer);
}

TEST_F(BrokenOnPurpose, SentAfterLeaving) {
  const RequestId id = take();
  guard.left(id);
  EXPECT_FALSE(send(id));
  expectOnly(Invariant::SentAfterLeaving);
}

TEST_F(BrokenOnPurpose, SentAfterTime) {
  EXPECT_FALSE(send(take(), 0, kS, 0));
  expectOnly(Invariant::SentAfterTime);
}

TEST_F(BrokenOnPurpose, ToldTooMuchTime) {
  EXPECT_TRUE(send(take(), 0, 0, kS + kToldSlack));
  EXPECT_FALSE(send(take(), 0, 0, kS + kToldSlack + 1));
  expectOnly(Invariant::ToldTooMuchTime);
}

TEST_F(BrokenOnPurpose, SentToDraining) {
  guard.listTaken(kStart, listWith(MemberState::Draining));
  guard.listTaken(kStart + kGrace, listWith(MemberState::Draining));
  EXPECT_TRUE(send(take(), 0, kGrace)) << "the grace counts from the first word";
  EXPECT_FALSE(send(take(), 0, kGrace + 1));
  expectOnly(Invariant::SentToDraining);
  guard.listTaken(kStart + kS, listWith(MemberState::Ready));
  EXPECT_TRUE(send(take(), 0, 500 * kMs));
}

TEST_F(BrokenOnPurpose, SecondCopy) {
  const RequestId id = take();
  EXPECT_TRUE(send(id));
  EXPECT_FALSE(send(id, 1));
  expectOnly(Invariant::SecondCopy);
}

TEST_F(BrokenOnPurpose, RepeatedEffect) {
  const RequestId unsafe = take(test::kUnsafeWrite);
  EXPECT_TRUE(send(unsafe));
  guard.ended(unsafe, 0, true);
  EXPECT_FALSE(send(unsafe, 1));
  expectOnly(Invariant::RepeatedEffect);
  const RequestId keyed = take(test::kKeyedWrite);
  EXPECT_TRUE(send(keyed));
  guard.ended(keyed, 0, true);
  EXPECT_TRUE(send(keyed, 1, 100 * kMs)) << "within its window a keyed one may be repeated";
}

TEST_F(BrokenOnPurpose, RepeatedEffectBeyondItsWindow) {
  settings.classes[test::kKeyedWrite].window = 300 * kMs;
  const RequestId keyed = take(test::kKeyedWrite);
  EXPECT_TRUE(send(keyed));
  guard.ended(keyed, 0, true);
  EXPECT_FALSE(send(keyed, 1, 300 * kMs));
  expectOnly(Invariant::RepeatedEffect);
}

TEST_F(BrokenOnPurpose, SecondAnswer) {
  const RequestId id = take();
  guard.answered(id, Guard::Final::Served);
  guard.answered(id, Guard::Final::Refused);
  expectOnly(Invariant::SecondAnswer);
}

TEST_F(BrokenOnPurpose, RefusedAfterEffect) {
  const RequestId id = take(test::kUnsafeWrite);
  EXPECT_TRUE(send(id));
  guard.ended(id, 0, true);
  guard.answered(id, Guard::Final::Refused);
  expectOnly(Invariant::RefusedAfterEffect);
}

TEST_F(BrokenOnPurpose, ClosedUnanswered) {
  guard.closing(take(), true);
  expectOnly(Invariant::ClosedUnanswered);
}

TEST_F(BrokenOnPurpose, TakenAfterClose) {
  guard.takenOn(take(), true);
  expectOnly(Invariant::TakenAfterClose);
}

TEST_F(BrokenOnPurpose, StartedUnready) {
  Guard fresh(settings, kGrace, [this](Invariant invariant, RequestId) { told.push_back(invariant); });
  fresh.startsTaking();
  EXPECT_EQ(fresh.count(Invariant::StartedUnready), 1U);
  EXPECT_EQ(told, std::vector<Invariant>{Invariant::StartedUnready});
}

}  // namespace
}  // namespace heathflow::invariants
