// Each invariant of the guard, broken on purpose: it is counted once, told, and what would break it is not
// sent.
#include "invariants/invariant_checker.h"

#include <gtest/gtest.h>

#include "policy_harness.h"

namespace heathflow::invariants {
namespace {

using test::kMs;
using test::kS;
using test::kStart;

constexpr Micros kGrace = 250 * kMs;
constexpr EndpointId kEndpoint = 1;

class BrokenOnPurpose : public testing::Test {
 protected:
  BrokenOnPurpose()
      : checker(settings, kGrace, [this](Invariant invariant, RequestId) { told.push_back(invariant); }) {
    checker.listTaken(kStart, listWith(EndpointStatus::Ready));
  }
  static EndpointsChanged listWith(EndpointStatus state) {
    return {EndpointsChanged::Scope::Full, {test::makeEndpoint(kEndpoint, true, state)}};
  }
  RequestId take(std::uint32_t classIndex = test::kEventualRead) {
    Request request;
    request.id = ++lastId;
    request.classIndex = classIndex;
    request.deadline = kStart + kS;
    checker.taken(request);
    return request.id;
  }
  bool send(RequestId request, std::uint32_t attempt = 0, Micros after = 0, Micros time = 500 * kMs) {
    return checker.maySend(kStart + after, {request, attempt, kEndpoint, time});
  }
  // Nothing but that one was counted, and once.
  void expectOnly(Invariant invariant) {
    EXPECT_EQ(checker.count(invariant), 1U) << nameOf(invariant);
    EXPECT_EQ(checker.total(), 1U);
    EXPECT_EQ(told, std::vector<Invariant>{invariant});
  }

  PolicySettings settings = test::makeSettings();
  std::vector<Invariant> told;
  InvariantChecker checker;
  RequestId lastId = 0;
};

TEST_F(BrokenOnPurpose, NothingIsCountedOnAnOrdinaryPath) {
  const RequestId id = take();
  EXPECT_TRUE(send(id));
  checker.ended(id, 0, false);
  EXPECT_TRUE(send(id, 1));
  checker.ended(id, 1, true);
  checker.answered(id, InvariantChecker::Final::Served);
  checker.closing(id, false);
  checker.startsTaking();
  checker.forget(id);
  EXPECT_EQ(checker.total(), 0U);
  EXPECT_EQ(checker.open(), 0U);
}

TEST_F(BrokenOnPurpose, SentAfterAnswer) {
  const RequestId id = take();
  checker.answered(id, InvariantChecker::Final::Failed);
  EXPECT_FALSE(send(id));
  expectOnly(Invariant::SentAfterAnswer);
}

TEST_F(BrokenOnPurpose, SentAfterLeaving) {
  const RequestId id = take();
  checker.left(id);
  EXPECT_FALSE(send(id));
  expectOnly(Invariant::SentAfterDisconnect);
}

TEST_F(BrokenOnPurpose, SentAfterTime) {
  EXPECT_FALSE(send(take(), 0, kS, 0));
  expectOnly(Invariant::SentAfterDeadline);
}

TEST_F(BrokenOnPurpose, ToldTooMuchTime) {
  EXPECT_TRUE(send(take(), 0, 0, kS + kToldSlack));
  EXPECT_FALSE(send(take(), 0, 0, kS + kToldSlack + 1));
  expectOnly(Invariant::TimeoutTooLong);
}

TEST_F(BrokenOnPurpose, SentToDraining) {
  checker.listTaken(kStart, listWith(EndpointStatus::Draining));
  checker.listTaken(kStart + kGrace, listWith(EndpointStatus::Draining));
  EXPECT_TRUE(send(take(), 0, kGrace)) << "the grace counts from the first word";
  EXPECT_FALSE(send(take(), 0, kGrace + 1));
  expectOnly(Invariant::SentToDraining);
  checker.listTaken(kStart + kS, listWith(EndpointStatus::Ready));
  EXPECT_TRUE(send(take(), 0, 500 * kMs));
}

TEST_F(BrokenOnPurpose, SecondCopy) {
  const RequestId id = take();
  EXPECT_TRUE(send(id));
  EXPECT_FALSE(send(id, 1));
  expectOnly(Invariant::ForbiddenHedge);
}

TEST_F(BrokenOnPurpose, RepeatedEffect) {
  const RequestId unsafe = take(test::kUnsafeWrite);
  EXPECT_TRUE(send(unsafe));
  checker.ended(unsafe, 0, true);
  EXPECT_FALSE(send(unsafe, 1));
  expectOnly(Invariant::RepeatedEffect);
  const RequestId keyed = take(test::kKeyedWrite);
  EXPECT_TRUE(send(keyed));
  checker.ended(keyed, 0, true);
  EXPECT_TRUE(send(keyed, 1, 100 * kMs)) << "within its window a keyed one may be repeated";
}

TEST_F(BrokenOnPurpose, RepeatedEffectBeyondItsWindow) {
  settings.classes[test::kKeyedWrite].keyWindow = 300 * kMs;
  const RequestId keyed = take(test::kKeyedWrite);
  EXPECT_TRUE(send(keyed));
  checker.ended(keyed, 0, true);
  EXPECT_FALSE(send(keyed, 1, 300 * kMs));
  expectOnly(Invariant::RepeatedEffect);
}

TEST_F(BrokenOnPurpose, SecondAnswer) {
  const RequestId id = take();
  checker.answered(id, InvariantChecker::Final::Served);
  checker.answered(id, InvariantChecker::Final::Rejected);
  expectOnly(Invariant::SecondAnswer);
}

TEST_F(BrokenOnPurpose, RejectedAfterEffect) {
  const RequestId id = take(test::kUnsafeWrite);
  EXPECT_TRUE(send(id));
  checker.ended(id, 0, true);
  checker.answered(id, InvariantChecker::Final::Rejected);
  expectOnly(Invariant::RejectedAfterEffect);
}

TEST_F(BrokenOnPurpose, ClosedUnanswered) {
  checker.closing(take(), true);
  expectOnly(Invariant::ClosedUnanswered);
}

TEST_F(BrokenOnPurpose, TakenAfterClose) {
  checker.takenOn(take(), true);
  expectOnly(Invariant::AcceptedAfterClose);
}

TEST_F(BrokenOnPurpose, StartedUnready) {
  InvariantChecker fresh(settings, kGrace,
                         [this](Invariant invariant, RequestId) { told.push_back(invariant); });
  fresh.startsTaking();
  EXPECT_EQ(fresh.count(Invariant::StartedUnready), 1U);
  EXPECT_EQ(told, std::vector<Invariant>{Invariant::StartedUnready});
}

}  // namespace
}  // namespace heathflow::invariants
