// Tests the policy as a whole: requests from arrival to answer, timers, discovery and shutdown.
#include <gtest/gtest.h>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

TEST(RoutingPolicy, WritesAndStrongReadsGoToThePrimary) {
  PolicyHarnessWithKnownGroup harness;
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{1});
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{1});
}

// SendAttempt::asPrimary is set where an answer counts only from the primary.
TEST(RoutingPolicy, OnlyReadsThatNeedThePrimaryAreSentAsPrimary) {
  PolicyHarnessWithKnownGroup harness;
  const auto asPrimary = [&](RequestId id) {
    for (const SendAttempt& a : harness.actionsOf<SendAttempt>()) {
      if (a.request == id) return a.asPrimary;
    }
    ADD_FAILURE() << "not sent";
    return false;
  };
  EXPECT_TRUE(asPrimary(harness.sendRequest(kStrongRead)));
  EXPECT_FALSE(asPrimary(harness.sendRequest(kUnsafeWrite)));
  EXPECT_FALSE(asPrimary(harness.sendRequest(kEventualRead)));
  EXPECT_FALSE(asPrimary(harness.sendRequest(kBoundedRead))) << "a replica is fresh enough";
  harness.now += 4 * kS;
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.healthCheckOk(2, Role::Replica, harness.now - 10 * kS);
  harness.healthCheckOk(3, Role::Replica, harness.now - 10 * kS);
  EXPECT_TRUE(asPrimary(harness.sendRequest(kBoundedRead))) << "no replica is fresh enough";
}

TEST(RoutingPolicy, ATimeoutAtTheDeadlineIsAnsweredAtOnce) {
  PolicyHarnessWithKnownGroup harness;
  const auto write = harness.sendRequest(kUnsafeWrite, 300 * kMs);
  harness.now += 300 * kMs;
  harness.endAttempt(write, 0, AttemptOutcome::TimedOut);
  EXPECT_EQ(harness.failures(write), 1);
}

TEST(RoutingPolicy, EventsOfUnknownRequestsAndEndpointsAreIgnored) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.clearActions();
  harness.endAttempt(999, 0, AttemptOutcome::Ok);
  harness.handle(ClientDisconnected{999});
  harness.handle(ResponseStreaming{999, 0});
  harness.handle(HealthCheckEnded{999, true, 0, {}});
  harness.handle(TimerFired{~std::uint64_t{0}});
  harness.handle(TimerFired{999});
  const auto read = harness.sendRequest(kEventualRead);
  harness.endAttempt(read, 17, AttemptOutcome::Ok);  // an attempt that was never issued
  EXPECT_EQ(harness.rejections(read) + harness.failures(read), 0);
}

TEST(RoutingPolicy, SubscribesOnceAndAgainAfterFailuresAtALimitedRate) {
  PolicySettings settings = makeSettings();
  settings.discoveryIsPolled = true;
  PolicyHarness harness(settings);
  harness.listUsualGroup();
  harness.advance(kS);
  ASSERT_EQ(harness.actionsOf<SubscribeToEndpoints>().size(), 1U);
  for (int failures = 1; failures <= 6; ++failures) {
    harness.updateEndpoints({}, EndpointsChanged::Scope::Failed);
    harness.clearActions();
    harness.advance(settings.maxPollInterval);
    EXPECT_GE(harness.actionsOf<SubscribeToEndpoints>().size(), 1U);
    EXPECT_LE(harness.actionsOf<SubscribeToEndpoints>().size(), 3U);
  }
  harness.listUsualGroup();
  harness.clearActions();
  harness.advance(10 * settings.maxPollInterval);
  EXPECT_TRUE(harness.actionsOf<SubscribeToEndpoints>().empty());
}

TEST(RoutingPolicy, AFailedDiscoveryCallKeepsTheList) {
  PolicyHarnessWithKnownGroup harness;
  harness.updateEndpoints({}, EndpointsChanged::Scope::Failed);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)).size(), 1U);
}

TEST(RoutingPolicy, ShutdownAnswersAPartlyAnsweredRequest) {
  PolicyHarnessWithKnownGroup harness;
  const auto write = harness.sendRequest(kUnsafeWrite);
  harness.handle(ResponsePartForwarded{write, 0});
  harness.handle(ShutdownStarted{harness.now + 100 * kMs});
  harness.advance(200 * kMs);
  EXPECT_EQ(harness.failures(write) + harness.rejections(write), 1);
  EXPECT_EQ(harness.actionsOf<CancelAttempt>().size(), 1U);
}

// Failure: the staleness bound is checked before a slow connect but not again when the read is written.
TEST(RoutingPolicy, AReadIsCancelledWhereItsEndpointIsTooStaleOnceConnected) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.healthCheckOk(1, Role::Primary, harness.now);
  for (const EndpointId endpoint : {2U, 3U})
    harness.healthCheckOk(endpoint, Role::Replica, harness.now - 2950 * kMs);
  const auto read = harness.sendRequest(kBoundedRead);
  EXPECT_NE(harness.sentTo(read).at(0), 1U) << "within the bound of 3 s";
  harness.now += 20 * kMs;
  harness.handle(AttemptConnected{read, 0});
  EXPECT_TRUE(harness.actionsOf<CancelAttempt>().empty()) << "still current enough";
  harness.now += 80 * kMs;
  harness.handle(AttemptConnected{read, 0});
  ASSERT_EQ(harness.actionsOf<CancelAttempt>().size(), 1U);
  EXPECT_EQ(harness.actionsOf<CancelAttempt>()[0].attempt, 0U);
  harness.endAttempt(read, 0, AttemptOutcome::NotSent);
  EXPECT_EQ(harness.sentTo(read).size(), 2U) << "sent to another endpoint";
  EXPECT_EQ(harness.sentTo(read).back(), 1U);
  EXPECT_EQ(harness.rejections(read) + harness.failures(read), 0);
}

TEST(RoutingPolicy, AnAttemptIsCancelledWhereItsEndpointDrainsOrLostLeadershipOnceConnected) {
  PolicyHarnessWithKnownGroup harness;
  const auto any = harness.sendRequest(kEventualRead);
  const EndpointId endpoint = harness.sentTo(any).at(0);
  harness.updateEndpoints({makeEndpoint(endpoint, false, EndpointStatus::Draining)},
                          EndpointsChanged::Scope::Delta);
  harness.handle(AttemptConnected{any, 0});
  EXPECT_EQ(harness.actionsOf<CancelAttempt>().size(), 1U);
  const auto write = harness.sendRequest(kUnsafeWrite);
  EXPECT_EQ(harness.sentTo(write), Endpoints{1});
  harness.clearActions();
  harness.handle(AttemptConnected{write, 0});
  EXPECT_TRUE(harness.actionsOf<CancelAttempt>().empty());
  harness.now += kMs;
  harness.healthCheckOk(1, Role::Replica, harness.now);
  harness.handle(AttemptConnected{write, 0});
  EXPECT_EQ(harness.actionsOf<CancelAttempt>().size(), 1U);
}

// Failure: requests that are pending when the process shuts down get no answer.
TEST(RoutingPolicy, ShutdownAnswersPendingRequestsAndRejectsLaterOnes) {
  PolicyHarnessWithKnownGroup harness;
  const auto write = harness.sendRequest(kUnsafeWrite);
  const auto read = harness.sendRequest(kEventualRead);
  harness.handle(ShutdownStarted{harness.now + kS});
  harness.advance(900 * kMs);
  EXPECT_EQ(
      harness.failures(write) + harness.rejections(write) + harness.failures(read) + harness.rejections(read),
      0);
  const auto late = harness.sendRequest(kEventualRead);
  EXPECT_EQ(harness.sentTo(late).size(), 1U) << "requests are accepted until the deadline";
  harness.advance(200 * kMs);
  EXPECT_EQ(harness.failures(write), 1) << "the write may have run";
  EXPECT_EQ(harness.rejections(read), 1);
  EXPECT_EQ(harness.rejections(late), 1);
  EXPECT_EQ(harness.actionsOf<CancelAttempt>().size(), 3U);
  const auto after = harness.sendRequest(kEventualRead);
  EXPECT_TRUE(harness.sentTo(after).empty());
  EXPECT_EQ(harness.rejections(after), 1);
  harness.endAttempt(write, 0, AttemptOutcome::Cancelled);
  EXPECT_EQ(harness.failures(write), 1) << "one answer only";
}

}  // namespace
}  // namespace heathflow::test
