// Tests which requests are retried, at which endpoints and for how long.
#include <gtest/gtest.h>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

// The attempt ran, so an idempotent read is retried at another endpoint and any other is failed.
TEST(RetryPolicy, AnAnswerAfterLostLeadershipIsRetriedOnlyWhereIdempotent) {
  auto settings = makeSettings();
  for (const Idempotency effect : {Idempotency::Idempotent, Idempotency::None}) {
    settings.classes[kStrongRead].idempotency = effect;
    PolicyHarnessWithKnownGroup harness(settings);
    const auto strongRead = harness.sendRequest(kStrongRead);
    harness.endAttempt(strongRead, 0, AttemptOutcome::LostLeadership, Role::Replica);
    harness.healthCheckOk(2, Role::Primary, harness.now);
    EXPECT_EQ(harness.sentTo(strongRead).size(), effect == Idempotency::Idempotent ? 2U : 1U);
    EXPECT_EQ(harness.failures(strongRead), effect == Idempotency::Idempotent ? 0 : 1);
  }
}

TEST(RetryPolicy, AnUnsafeWriteThatMayHaveRunIsFailedAndNeverRetried) {
  for (const AttemptOutcome outcome : {AttemptOutcome::TimedOut, AttemptOutcome::Error,
                                       AttemptOutcome::ConnectionReset, AttemptOutcome::Cancelled}) {
    PolicyHarnessWithKnownGroup harness;
    const auto write = harness.sendRequest(kUnsafeWrite);
    harness.endAttempt(write, 0, outcome);
    harness.advance(6 * kS);
    EXPECT_EQ(harness.sentTo(write).size(), 1U);
    EXPECT_EQ(harness.failures(write), 1);
    EXPECT_EQ(harness.rejections(write), 0);
  }
}

TEST(RetryPolicy, AnUnsafeWriteThatNeverRanIsRetried) {
  PolicyHarnessWithKnownGroup harness;
  const auto write = harness.sendRequest(kUnsafeWrite);
  harness.endAttempt(write, 0, AttemptOutcome::Overloaded);
  harness.advance(200 * kMs);
  EXPECT_EQ(harness.sentTo(write).size(), 2U);
}

TEST(RetryPolicy, AKeyedWriteIsRetriedWithinItsWindowOnly) {
  PolicyHarnessWithKnownGroup harness;
  const auto write = harness.sendRequest(kKeyedWrite, 8 * kS);
  harness.endAttempt(write, 0, AttemptOutcome::ConnectionReset);
  harness.now += kS;
  harness.healthCheckOk(2, Role::Primary, harness.now);
  ASSERT_EQ(harness.sentTo(write), (Endpoints{1, 2}));
  harness.now += 4 * kS;  // past the window of the first attempt
  harness.endAttempt(write, 1, AttemptOutcome::ConnectionReset);
  harness.advance(10 * kMs);
  harness.healthCheckOk(3, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(write).size(), 2U);
  EXPECT_EQ(harness.failures(write), 1);
  EXPECT_EQ(harness.rejections(write), 0);
}

TEST(RetryPolicy, AKeyedWriteStaysWithinItsKeyScope) {
  PolicySettings settings = makeSettings();
  settings.classes[kKeyedWrite].keyScope = KeyScope::Endpoint;
  PolicyHarnessWithKnownGroup harness(settings);
  const auto write = harness.sendRequest(kKeyedWrite);
  harness.endAttempt(write, 0, AttemptOutcome::ConnectionReset);
  harness.now += kS;
  harness.healthCheckOk(2, Role::Primary, harness.now);
  harness.advance(kS);
  EXPECT_EQ(harness.sentTo(write), Endpoints{1});
}

TEST(RetryPolicy, AnIdempotentReadIsRetriedOnAnotherEndpoint) {
  PolicyHarnessWithKnownGroup harness;
  const auto read = harness.sendRequest(kBoundedRead);
  const EndpointId first = harness.sentTo(read).at(0);
  harness.endAttempt(read, 0, AttemptOutcome::ConnectionReset);
  ASSERT_EQ(harness.sentTo(read).size(), 2U);
  EXPECT_NE(harness.sentTo(read)[1], first);
}

TEST(RetryPolicy, RetriesAreATenthOfRequestsUnderOverload) {
  PolicyHarnessWithKnownGroup harness;
  std::size_t attempts = 0;
  for (int i = 0; i < 300; ++i) {
    harness.now += kMs;
    harness.healthCheckOk(1, Role::Primary, harness.now);
    const auto read = harness.sendRequest(kStrongRead);
    for (std::uint32_t n = 0; n < harness.sentTo(read).size(); ++n)
      harness.endAttempt(read, n, AttemptOutcome::Error, Role::Primary);
    attempts += harness.sentTo(read).size();
    harness.clearActions();
  }
  EXPECT_LE(attempts, 300U + 300U / 10 + 12);
}

TEST(RetryPolicy, NoMoreAttemptsThanAllowed) {
  PolicySettings settings = makeSettings();
  settings.maxAttempts = 2;
  PolicyHarnessWithKnownGroup harness(settings);
  const auto read = harness.sendRequest(kEventualRead);
  for (std::uint32_t n = 0; n < 2; ++n) {
    harness.endAttempt(read, n, AttemptOutcome::ConnectionReset);
    harness.advance(100 * kMs);
  }
  EXPECT_EQ(harness.sentTo(read).size(), 2U);
  EXPECT_EQ(harness.rejections(read), 1);
}

TEST(RetryPolicy, ARequestIsNotRetriedOnceAPartOfItsResponseWasForwarded) {
  PolicyHarnessWithKnownGroup harness;
  const auto read = harness.sendRequest(kEventualRead);
  ASSERT_EQ(harness.sentTo(read).size(), 1U);
  harness.handle(ResponsePartForwarded{read, 0});
  harness.endAttempt(read, 0, AttemptOutcome::ConnectionReset);
  harness.advance(kS);
  EXPECT_EQ(harness.sentTo(read).size(), 1U);
  EXPECT_EQ(harness.rejections(read), 1) << "a repeat by the client is harmless";
  EXPECT_EQ(harness.failures(read), 0);
}

TEST(RetryPolicy, APartlyAnsweredWriteIsFailedAndARolledBackOneRejected) {
  PolicyHarnessWithKnownGroup harness;
  const auto end = [&](RequestId id, bool reverted) {
    AttemptEnded e;
    e.request = id;
    e.outcome = AttemptOutcome::ConnectionReset;
    e.rolledBack = reverted;
    harness.handle(ResponsePartForwarded{id, 0});
    harness.handle(e);
  };
  const auto ran = harness.sendRequest(kUnsafeWrite);
  const auto reverted = harness.sendRequest(kUnsafeWrite);
  end(ran, false);
  end(reverted, true);
  EXPECT_EQ(harness.failures(ran), 1);
  EXPECT_EQ(harness.rejections(ran), 0);
  EXPECT_EQ(harness.rejections(reverted), 1);
  EXPECT_EQ(harness.sentTo(reverted).size(), 1U);
}

TEST(RetryPolicy, ARolledBackWriteIsRetried) {
  PolicyHarnessWithKnownGroup harness;
  const auto write = harness.sendRequest(kUnsafeWrite);
  AttemptEnded e;
  e.request = write;
  e.outcome = AttemptOutcome::Error;
  e.rolledBack = true;
  harness.handle(e);
  EXPECT_EQ(harness.sentTo(write), (Endpoints{1, 1}));
}

TEST(RetryPolicy, OtherAttemptsAreCancelledOnceAResponseHasBegun) {
  PolicySettings settings = makeSettings();
  settings.hedgingAllowed = true;
  PolicyHarnessWithKnownGroup harness(settings);
  const auto read = harness.sendRequest(kEventualRead);
  harness.handle(ResponsePartForwarded{read, 0});
  // An attempt that still waits for its connection is not written.
  harness.handle(AttemptConnected{read, 0});
  const auto cancels = harness.actionsOf<CancelAttempt>();
  ASSERT_EQ(cancels.size(), 1U);
  EXPECT_EQ(cancels[0].request, read);
}

// Failure: a slow connect delays a retry past the window in which endpoints discard repeats.
TEST(RetryPolicy, ARetryIsCancelledWhereItsKeyWindowEndsBeforeItConnects) {
  PolicySettings settings = makeSettings();
  settings.classes[kKeyedWrite].keyWindow = kS;
  PolicyHarnessWithKnownGroup harness(settings);
  const auto write = harness.sendRequest(kKeyedWrite, 8 * kS);
  harness.now += 900 * kMs;
  harness.endAttempt(write, 0, AttemptOutcome::TimedOut);
  ASSERT_EQ(harness.sentTo(write).size(), 2U) << "the window is still open";
  harness.handle(AttemptConnected{write, 1});
  EXPECT_TRUE(harness.actionsOf<CancelAttempt>().empty());
  harness.now += 95 * kMs;
  harness.handle(AttemptConnected{write, 1});
  ASSERT_EQ(harness.actionsOf<CancelAttempt>().size(), 1U);
  harness.endAttempt(write, 1, AttemptOutcome::NotSent);
  EXPECT_EQ(harness.sentTo(write).size(), 2U);
  EXPECT_EQ(harness.failures(write), 1);
  EXPECT_EQ(harness.rejections(write), 0) << "the first attempt may have run";
}

TEST(RetryPolicy, AnAttemptThatNeverRanStartsNoKeyWindow) {
  PolicySettings settings = makeSettings();
  settings.classes[kKeyedWrite].keyWindow = 100 * kMs;
  PolicyHarnessWithKnownGroup harness(settings);
  const auto write = harness.sendRequest(kKeyedWrite, 8 * kS);
  harness.endAttempt(write, 0, AttemptOutcome::Overloaded);
  harness.now += 200 * kMs;
  harness.handle(AttemptConnected{write, 1});
  EXPECT_TRUE(harness.actionsOf<CancelAttempt>().empty());
}

TEST(RetryPolicy, AnAttemptNotSentAndNotCancelledEndsTheRequest) {
  PolicyHarnessWithKnownGroup harness;
  const auto read = harness.sendRequest(kEventualRead);
  harness.endAttempt(read, 0, AttemptOutcome::NotSent);
  EXPECT_EQ(harness.sentTo(read).size(), 1U);
  EXPECT_EQ(harness.rejections(read), 1);
}

}  // namespace
}  // namespace heathflow::test
