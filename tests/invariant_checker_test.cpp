// Violates each invariant on purpose: the violation is counted once and reported, and a violating attempt is
// not sent.
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

class InvariantCheckerTest : public testing::Test {
 protected:
  InvariantCheckerTest()
      : checker(settings, kGrace, [this](Invariant invariant, RequestId) { reported.push_back(invariant); }) {
    checker.endpointsChanged(kStart, listWith(EndpointStatus::Ready));
  }
  static EndpointsChanged listWith(EndpointStatus state) {
    return {EndpointsChanged::Scope::Full, {test::makeEndpoint(kEndpoint, true, state)}};
  }
  RequestId accept(std::uint32_t classIndex = test::kEventualRead) {
    Request request;
    request.id = ++lastId;
    request.classIndex = classIndex;
    request.deadline = kStart + kS;
    checker.requestAccepted(request);
    return request.id;
  }
  bool send(RequestId request, std::uint32_t attempt = 0, Micros after = 0, Micros time = 500 * kMs) {
    return checker.maySend(kStart + after, {request, attempt, kEndpoint, time});
  }
  // Checks that this invariant was violated once, and no other.
  void expectOnly(Invariant invariant) {
    EXPECT_EQ(checker.count(invariant), 1U) << nameOf(invariant);
    EXPECT_EQ(checker.total(), 1U);
    EXPECT_EQ(reported, std::vector<Invariant>{invariant});
  }

  PolicySettings settings = test::makeSettings();
  std::vector<Invariant> reported;
  InvariantChecker checker;
  RequestId lastId = 0;
};

TEST_F(InvariantCheckerTest, CountsNothingWithoutAViolation) {
  const RequestId id = accept();
  EXPECT_TRUE(send(id));
  checker.attemptEnded(id, 0, false);
  EXPECT_TRUE(send(id, 1));
  checker.attemptEnded(id, 1, true);
  checker.requestAnswered(id, InvariantChecker::FinalAnswer::Served);
  checker.connectionClosing(id, false);
  checker.servingStarted();
  checker.forget(id);
  EXPECT_EQ(checker.total(), 0U);
  EXPECT_EQ(checker.openRequests(), 0U);
}

TEST_F(InvariantCheckerTest, SentAfterAnswer) {
  const RequestId id = accept();
  checker.requestAnswered(id, InvariantChecker::FinalAnswer::Failed);
  EXPECT_FALSE(send(id));
  expectOnly(Invariant::SentAfterAnswer);
}

TEST_F(InvariantCheckerTest, SentAfterDisconnect) {
  const RequestId id = accept();
  checker.requestCancelled(id);
  EXPECT_FALSE(send(id));
  expectOnly(Invariant::SentAfterDisconnect);
}

TEST_F(InvariantCheckerTest, SentAfterDeadline) {
  EXPECT_FALSE(send(accept(), 0, kS, 0));
  expectOnly(Invariant::SentAfterDeadline);
}

TEST_F(InvariantCheckerTest, TimeoutTooLong) {
  EXPECT_TRUE(send(accept(), 0, 0, kS + kTimeoutSlack));
  EXPECT_FALSE(send(accept(), 0, 0, kS + kTimeoutSlack + 1));
  expectOnly(Invariant::TimeoutTooLong);
}

TEST_F(InvariantCheckerTest, SentToDraining) {
  checker.endpointsChanged(kStart, listWith(EndpointStatus::Draining));
  checker.endpointsChanged(kStart + kGrace, listWith(EndpointStatus::Draining));
  EXPECT_TRUE(send(accept(), 0, kGrace))
      << "the grace period starts with the first list that reports the drain";
  EXPECT_FALSE(send(accept(), 0, kGrace + 1));
  expectOnly(Invariant::SentToDraining);
  checker.endpointsChanged(kStart + kS, listWith(EndpointStatus::Ready));
  EXPECT_TRUE(send(accept(), 0, 500 * kMs));
}

TEST_F(InvariantCheckerTest, ForbiddenHedge) {
  const RequestId id = accept();
  EXPECT_TRUE(send(id));
  EXPECT_FALSE(send(id, 1));
  expectOnly(Invariant::ForbiddenHedge);
}

TEST_F(InvariantCheckerTest, RepeatedEffect) {
  const RequestId unsafe = accept(test::kUnsafeWrite);
  EXPECT_TRUE(send(unsafe));
  checker.attemptEnded(unsafe, 0, true);
  EXPECT_FALSE(send(unsafe, 1));
  expectOnly(Invariant::RepeatedEffect);
  const RequestId keyed = accept(test::kKeyedWrite);
  EXPECT_TRUE(send(keyed));
  checker.attemptEnded(keyed, 0, true);
  EXPECT_TRUE(send(keyed, 1, 100 * kMs))
      << "a request with an idempotency key may be repeated within its window";
}

TEST_F(InvariantCheckerTest, RepeatedEffectBeyondItsWindow) {
  settings.classes[test::kKeyedWrite].keyWindow = 300 * kMs;
  const RequestId keyed = accept(test::kKeyedWrite);
  EXPECT_TRUE(send(keyed));
  checker.attemptEnded(keyed, 0, true);
  EXPECT_FALSE(send(keyed, 1, 300 * kMs));
  expectOnly(Invariant::RepeatedEffect);
}

TEST_F(InvariantCheckerTest, SecondAnswer) {
  const RequestId id = accept();
  checker.requestAnswered(id, InvariantChecker::FinalAnswer::Served);
  checker.requestAnswered(id, InvariantChecker::FinalAnswer::Rejected);
  expectOnly(Invariant::SecondAnswer);
}

TEST_F(InvariantCheckerTest, RejectedAfterEffect) {
  const RequestId id = accept(test::kUnsafeWrite);
  EXPECT_TRUE(send(id));
  checker.attemptEnded(id, 0, true);
  checker.requestAnswered(id, InvariantChecker::FinalAnswer::Rejected);
  expectOnly(Invariant::RejectedAfterEffect);
}

TEST_F(InvariantCheckerTest, ClosedUnanswered) {
  checker.connectionClosing(accept(), true);
  expectOnly(Invariant::ClosedUnanswered);
}

TEST_F(InvariantCheckerTest, AcceptedAfterClose) {
  checker.requestAcceptedOn(accept(), true);
  expectOnly(Invariant::AcceptedAfterClose);
}

TEST_F(InvariantCheckerTest, StartedUnready) {
  InvariantChecker fresh(settings, kGrace,
                         [this](Invariant invariant, RequestId) { reported.push_back(invariant); });
  fresh.servingStarted();
  EXPECT_EQ(fresh.count(Invariant::StartedUnready), 1U);
  EXPECT_EQ(reported, std::vector<Invariant>{Invariant::StartedUnready});
}

}  // namespace
}  // namespace heathflow::invariants
