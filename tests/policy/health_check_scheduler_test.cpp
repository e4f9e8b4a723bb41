// Tests when an endpoint is health checked, and for which reason.
#include <gtest/gtest.h>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

TEST(HealthCheckScheduler, ReadsDoNotWaitWhereHealthChecksAreForbidden) {
  PolicySettings settings = makeSettings();
  settings.healthChecksAllowed = false;
  PolicyHarness harness(settings);
  harness.listUsualGroup();
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{1});
  EXPECT_EQ(harness.healthChecks(), 0U);
}

TEST(HealthCheckScheduler, FirstReadsOfANewGatewayWaitForItsFirstHealthChecks) {
  PolicyHarness harness;
  harness.listUsualGroup();
  const auto read = harness.sendRequest(kBoundedRead);
  EXPECT_TRUE(harness.sentTo(read).empty());
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.healthCheckOk(2, Role::Replica, harness.now - 100 * kMs);
  EXPECT_EQ(harness.sentTo(read).size(), 1U);
  EXPECT_NE(harness.sentTo(read).at(0), 1U);
}

TEST(HealthCheckScheduler, AReadThatNoPositionCoversWaitsForACheckOfTheMostAdvancedReplica) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.sendRequest(kEventualRead);
  harness.reportUsualState();
  for (int i = 0; i < 6; ++i)
    harness.sendRequest(kUnsafeWrite);  // an idle primary would take the read meanwhile
  harness.now += 200 * kMs;
  harness.clearActions();
  const auto read = harness.sendRequest(kSessionRead, 0, 250 * kMs);
  EXPECT_TRUE(harness.sentTo(read).empty());
  ASSERT_EQ(harness.healthChecks(), 1U);
  const EndpointId checked = harness.actionsOf<StartHealthCheck>()[0].endpoint;
  harness.healthCheckOk(checked, Role::Replica, harness.now - 20 * kMs);
  EXPECT_EQ(harness.sentTo(read), Endpoints{checked});
}

TEST(HealthCheckScheduler, ANewGatewayChecksOneEndpointWhenAReadNeedsAPosition) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.sendRequest(kEventualRead);
  harness.sendRequest(kUnsafeWrite);
  EXPECT_EQ(harness.healthChecks(), 0U) << "neither needs a position, and the list names the primary";
  harness.sendRequest(kBoundedRead);
  harness.sendRequest(kBoundedRead);
  EXPECT_EQ(harness.healthChecks(), 1U);
}

// There are enough reads that the positions of both replicas are kept up to date.
TEST(HealthCheckScheduler, ChecksAgainWhenAPositionIsOlderThanHalfTheSmallestBound) {
  PolicyHarnessWithKnownGroup harness;
  for (int i = 0; i < 60; ++i) harness.sendRequest(kBoundedRead);
  harness.now += 1390 * kMs;
  harness.sendRequest(kBoundedRead);
  EXPECT_EQ(harness.healthChecks(), 0U);
  harness.now += 20 * kMs;
  harness.sendRequest(kBoundedRead);
  EXPECT_EQ(harness.healthChecks(), 2U);
}

TEST(HealthCheckScheduler, WithoutAPrimaryTheGroupIsCheckedWhileWritesAreQueued) {
  PolicyHarness harness;
  harness.updateEndpoints({makeEndpoint(1), makeEndpoint(2), makeEndpoint(3)});
  const auto write = harness.sendRequest(kUnsafeWrite);
  harness.answerHealthChecks(Role::Replica, harness.now - kS);
  EXPECT_EQ(harness.healthChecks(), 3U);
  harness.clearActions();
  harness.advance(kS);
  EXPECT_GE(harness.healthChecks(), 1U);
  EXPECT_LE(harness.healthChecks(), 15U);
  EXPECT_TRUE(harness.sentTo(write).empty());
  harness.healthCheckOk(3, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(write), Endpoints{3});
}

TEST(HealthCheckScheduler, AnUnresponsiveEndpointWithRequestsInFlightIsChecked) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.sendRequest(kUnsafeWrite);
  harness.reportUsualState();
  harness.now += 400 * kMs;
  harness.sendRequest(kUnsafeWrite);
  ASSERT_EQ(harness.healthChecks(), 1U);
  EXPECT_EQ(harness.actionsOf<StartHealthCheck>()[0].endpoint, 1U);
  harness.healthCheckFailed(1);
  EXPECT_TRUE(harness.sentTo(harness.sendRequest(kUnsafeWrite)).empty());
}

TEST(HealthCheckScheduler, ARejectedHealthCheckProvesThatTheEndpointLives) {
  PolicyHarnessWithKnownGroup harness;
  for (const EndpointId endpoint : {2, 3}) harness.handle(HealthCheckEnded{endpoint, false, kMs, {}, true});
  EXPECT_NE(harness.sentTo(harness.sendRequest(kEventualRead)).at(0), 1U);
}

TEST(HealthCheckScheduler, ATimeoutWithoutAnswerIsFollowedByAHealthCheck) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.endAttempt(harness.sendRequest(kEventualRead), 0, AttemptOutcome::Ok, Role::Replica);
  harness.reportUsualState();
  const auto read = harness.sendRequest(kEventualRead, 600 * kMs);
  const EndpointId endpoint = harness.sentTo(read).at(0);
  harness.now += 600 * kMs;
  harness.clearActions();
  harness.endAttempt(read, 0, AttemptOutcome::TimedOut, {}, {}, 600 * kMs);
  ASSERT_EQ(harness.healthChecks(), 1U);
  EXPECT_EQ(harness.actionsOf<StartHealthCheck>()[0].endpoint, endpoint);
  harness.healthCheckFailed(endpoint);
  for (int i = 0; i < 4; ++i) EXPECT_NE(harness.sentTo(harness.sendRequest(kEventualRead)).at(0), endpoint);
}

TEST(HealthCheckScheduler, NoCheckForPositionsWhereHealthChecksReportNone) {
  PolicySettings settings = settingsWithoutReports();
  settings.staleReads = StaleReadBehavior::ServesStale;
  PolicyHarness harness(settings);
  harness.listUsualGroup();
  for (int i = 0; i < 60; ++i) {
    harness.sendRequest(kBoundedRead);
    harness.now += 50 * kMs;
  }
  for (const StartHealthCheck& healthCheck : harness.actionsOf<StartHealthCheck>())
    EXPECT_EQ(healthCheck.reason, HealthCheckReason::Unresponsive) << "only for liveness";
}

TEST(HealthCheckScheduler, AHealthCheckComesBeforeATrialOnAReplicaThatWouldWait) {
  PolicySettings settings = settingsWhereReplicasWait();
  settings.responsesReportPosition = false;
  PolicyHarnessWithKnownGroup harness(settings);
  for (int i = 0; i < 6; ++i)
    harness.sendRequest(kUnsafeWrite);  // an idle primary would take the read meanwhile
  harness.now += 10 * kS;
  harness.clearActions();
  const auto read = harness.sendRequest(kBoundedRead);
  EXPECT_TRUE(harness.sentTo(read).empty());
  EXPECT_EQ(harness.healthChecks(), 1U);
}

// Failure: each rejected health check leads to the next one at once.
TEST(HealthCheckScheduler, AnEndpointThatRejectsHealthChecksIsCheckedLessOften) {
  PolicyHarnessWithKnownGroup harness;
  harness.advance(4 * kS);
  std::size_t seen = harness.healthChecks();
  const auto read = harness.sendRequest(kStrongRead, 3 * kS);
  ASSERT_EQ(newHealthChecks(harness, seen), Endpoints{1});
  std::size_t checked = 0;
  for (int i = 0; i < 100; ++i) {
    harness.handle(refusing(1));
    harness.advance(10 * kMs);
    for (const EndpointId endpoint : newHealthChecks(harness, seen)) checked += endpoint == 1 ? 1 : 0;
  }
  EXPECT_LE(checked, 5U);
  EXPECT_TRUE(harness.sentTo(read).empty());
}

}  // namespace
}  // namespace heathflow::test
