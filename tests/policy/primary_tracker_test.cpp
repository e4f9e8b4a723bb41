// Tests which endpoint counts as the primary, from reported roles, answers and the endpoint list.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

TEST(PrimaryTracker, AFailedPreconditionProvesThatNothingRanAndReportsTheRole) {
  PolicyHarness harness;
  harness.listUsualGroup();
  const auto write = harness.sendRequest(kUnsafeWrite);
  ASSERT_EQ(harness.sentTo(write), Endpoints{1});
  harness.endAttempt(write, 0, AttemptOutcome::PreconditionFailed, Role::Replica);
  EXPECT_EQ(harness.sentTo(write), Endpoints{1});
  harness.now += 10 * kMs;
  harness.healthCheckOk(2, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(write), (Endpoints{1, 2}));
}

TEST(PrimaryTracker, ARoleInAnAnswerOverridesOlderReportsAndYieldsToNewerOnes) {
  PolicyHarness harness;
  harness.listUsualGroup();
  const auto first = harness.sendRequest(kUnsafeWrite);
  harness.endAttempt(first, 0, AttemptOutcome::PreconditionFailed, Role::Replica);
  harness.now += 100 * kMs;
  harness.healthCheckOk(1, Role::Primary, harness.now - 150 * kMs);  // older than the answer
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{});
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{})
      << "the claim is older than the rejection";
  harness.healthCheckOk(1, Role::Primary, harness.now);
  // A write shows whether the endpoint is the primary; after it served one, strong reads are sent there too.
  const auto write = harness.sendRequest(kUnsafeWrite);
  EXPECT_EQ(harness.sentTo(write), Endpoints{1});
  const auto waiting = harness.sendRequest(kStrongRead);
  EXPECT_EQ(harness.sentTo(waiting), Endpoints{}) << "it rejected a write, and has served none since";
  harness.endAttempt(write, 0, AttemptOutcome::Ok, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(waiting), Endpoints{1});
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{1});
}

// Failure: a strong read is stale because a primary that hands over rejects writes but still claims its role.
TEST(PrimaryTracker, StrongReadsWaitWhileAPrimaryHandsOver) {
  PolicyHarnessWithKnownGroup harness;
  harness.endAttempt(harness.sendRequest(kUnsafeWrite), 0, AttemptOutcome::PreconditionFailed, Role::Replica);
  harness.now += 20 * kMs;
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.healthCheckOk(2, Role::Replica, harness.now - 10 * kS);
  harness.healthCheckOk(3, Role::Replica, harness.now - 10 * kS);
  harness.clearActions();
  const auto strongRead = harness.sendRequest(kStrongRead);
  EXPECT_EQ(harness.sentTo(strongRead), Endpoints{});
  harness.healthCheckOk(2, Role::Primary, harness.now + 10 * kMs);
  EXPECT_EQ(harness.sentTo(strongRead), Endpoints{2});
}

// Otherwise strong reads would wait for as long as no other endpoint becomes the primary and no write is
// sent.
TEST(PrimaryTracker, ARejectedWriteStopsCountingAfterTheSmallestStalenessBound) {
  PolicyHarnessWithKnownGroup harness;
  harness.endAttempt(harness.sendRequest(kUnsafeWrite), 0, AttemptOutcome::PreconditionFailed, Role::Replica);
  harness.now += 2900 * kMs;
  harness.healthCheckOk(1, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{});
  harness.now += 200 * kMs;
  harness.healthCheckOk(1, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{1});
}

TEST(PrimaryTracker, OfTwoClaimantsTheLatestClaimWins) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.healthCheckOk(2, Role::Primary, harness.now - 10 * kMs);
  harness.healthCheckOk(1, Role::Primary, harness.now - 400 * kMs);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{2});
  // The older claim does not become valid again when the newer one ends.
  const auto write = harness.sendRequest(kUnsafeWrite);
  harness.endAttempt(write, 0, AttemptOutcome::PreconditionFailed, Role::Replica);
  EXPECT_EQ(harness.sentTo(write), Endpoints{2});
}

TEST(PrimaryTracker, TheListedPrimaryCountsOnlyWhileNothingBetterIsKnown) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.healthCheckOk(2, Role::Primary, harness.now);
  harness.updateEndpoints({makeEndpoint(3, true)}, EndpointsChanged::Scope::Delta);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{2});
}

// Failure: reads are stale because an old list names a primary that has reported the replica role since.
TEST(PrimaryTracker, ReadsTrustAnEndpointsOwnDenialOverALaterList) {
  PolicyHarnessWithKnownGroup harness;
  harness.now += kS;
  harness.updateEndpoints(
      {makeEndpoint(1, false, EndpointStatus::Removed), makeEndpoint(2), makeEndpoint(3)});
  harness.healthCheckOk(2, Role::Primary, harness.now);
  harness.now += kS;
  const auto write = harness.sendRequest(kUnsafeWrite);
  harness.endAttempt(write, 0, AttemptOutcome::Error, Role::Replica);
  harness.advance(4 * kS);
  harness.updateEndpoints({makeEndpoint(2, true), makeEndpoint(3)});
  harness.clearActions();
  const auto bounded = harness.sendRequest(kBoundedRead);
  const auto strongRead = harness.sendRequest(kStrongRead);
  EXPECT_EQ(harness.sentTo(bounded), Endpoints{});
  EXPECT_EQ(harness.sentTo(strongRead), Endpoints{});
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{2})
      << "a write to a replica is rejected";
  harness.healthCheckOk(2, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(strongRead), Endpoints{2}) << "the endpoint's own newer report counts";
}

// Failure: an answer from before the endpoint lost its role counts as newer than the report of the loss.
TEST(PrimaryTracker, AClaimInAnAnswerCountsFromItsCommitTime) {
  PolicyHarnessWithKnownGroup harness;
  harness.now += kS;
  const auto write = harness.sendRequest(kUnsafeWrite);
  const Micros lostRoleAt = harness.now + 10 * kMs;
  harness.now += 15 * kMs;
  harness.endAttempt(write, 0, AttemptOutcome::Ok, Role::Primary, lostRoleAt - kMs);
  harness.now += 4 * kS;
  harness.healthCheckOk(1, Role::Replica, lostRoleAt);
  harness.clearActions();
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{});
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{});
}

TEST(PrimaryTracker, WhereHealthChecksAreForbiddenTheLastClaimIsKept) {
  PolicySettings settings = makeSettings();
  settings.healthChecksAllowed = false;
  PolicyHarnessWithKnownGroup harness(settings);
  harness.advance(10 * kS);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{1});
}

TEST(PrimaryTracker, ARestartEndsAnOlderClaim) {
  PolicyHarnessWithKnownGroup harness;
  harness.now += kS;
  harness.updateEndpoints({makeEndpoint(1, false, EndpointStatus::Ready, harness.now - 10 * kMs)},
                          EndpointsChanged::Scope::Delta);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{});
}

TEST(PrimaryTracker, ABoundedReadIsNotSentToAnEndpointThatMayBeStale) {
  PolicyHarness harness;
  harness.updateEndpoints({makeEndpoint(1), makeEndpoint(2)});
  const auto read = harness.sendRequest(kBoundedRead, 500 * kMs);
  harness.advance(kS);
  EXPECT_TRUE(harness.sentTo(read).empty());
  EXPECT_EQ(harness.rejections(read), 1);
}

TEST(PrimaryTracker, TheSuccessorOfALostPrimaryIsFoundByHealthChecks) {
  PolicyHarnessWithKnownGroup harness;
  const auto write = harness.sendRequest(kUnsafeWrite);
  harness.endAttempt(write, 0, AttemptOutcome::ConnectFailed);
  harness.advance(100 * kMs);
  EXPECT_EQ(harness.sentTo(write), Endpoints{1});
  EXPECT_GE(harness.healthChecks(), 1U);
  harness.healthCheckOk(2, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(write), (Endpoints{1, 2}));
}

TEST(PrimaryTracker, TheGroupOfABlockedPrimaryIsHealthChecked) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.reportUsualState();
  const auto first = harness.sendRequest(kUnsafeWrite);
  harness.endAttempt(first, 0, AttemptOutcome::ConnectionReset);
  harness.healthCheckFailed(1);
  for (EndpointId id : {2, 3}) harness.healthCheckOk(id, Role::Replica, harness.now);
  harness.advance(kS);
  harness.clearActions();
  // Nothing has been answered yet, so an endpoint in slow start gets no requests. The new primary still has
  // to be found.
  const auto next = harness.sendRequest(kUnsafeWrite);
  EXPECT_TRUE(harness.sentTo(next).empty());
  EXPECT_EQ(harness.healthChecks(), 1U);
  harness.healthCheckOk(3, Role::Replica, harness.now);
  harness.healthCheckOk(2, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(next), Endpoints{2});
}

TEST(PrimaryTracker, AWriteFindsTheNewPrimaryWhereHealthChecksReportNoRole) {
  PolicyHarness harness(settingsWithoutReports());
  harness.listUsualGroup();
  const auto write = harness.sendRequest(kUnsafeWrite);
  EXPECT_EQ(harness.sentTo(write), Endpoints{1});
  harness.endAttempt(write, 0, AttemptOutcome::PreconditionFailed, Role::Replica);
  const auto second = harness.sentTo(write);
  ASSERT_EQ(second.size(), 2U) << "retried, because the first attempt never ran";
  harness.endAttempt(write, 1, AttemptOutcome::PreconditionFailed, Role::Replica);
  const auto third = harness.sentTo(write);
  ASSERT_EQ(third.size(), 3U);
  EXPECT_EQ(std::set<EndpointId>(third.begin(), third.end()).size(), 3U) << "each endpoint once";
  harness.endAttempt(write, 2, AttemptOutcome::PreconditionFailed, Role::Replica);
  EXPECT_EQ(harness.sentTo(write).size(), 3U) << "no endpoint is the primary at this time";
  harness.advance(450 * kMs);
  EXPECT_EQ(harness.sentTo(write).size(), 4U);
  harness.endAttempt(write, 3, AttemptOutcome::Ok, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{harness.sentTo(write)[3]});
  EXPECT_EQ(harness.healthChecks(), 0U);
}

// Failure: a strong read is stale because the primary lost its role while a request went unanswered.
TEST(PrimaryTracker, AStrongReadChecksAnUnresponsivePrimaryFirst) {
  PolicyHarnessWithKnownGroup harness;
  harness.sendRequest(kUnsafeWrite);
  harness.now += 200 * kMs;
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{1}) << "not unresponsive yet";
  harness.now += 100 * kMs;
  harness.clearActions();
  const auto strongRead = harness.sendRequest(kStrongRead);
  EXPECT_EQ(harness.sentTo(strongRead), Endpoints{});
  ASSERT_EQ(harness.healthChecks(), 1U);
  EXPECT_EQ(harness.actionsOf<StartHealthCheck>()[0].endpoint, 1U);
  harness.healthCheckOk(1, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(strongRead), Endpoints{1});
}

// Failure: the report of a lost role is lost with its connection, and reads trust the old claim.
TEST(PrimaryTracker, AReadChecksAPrimaryWhoseClaimIsOlderThanItsBound) {
  PolicyHarnessWithKnownGroup harness;
  harness.advance(3100 * kMs);
  harness.clearActions();
  for (const std::uint32_t kind : {kBoundedRead, kStrongRead})
    EXPECT_EQ(harness.sentTo(harness.sendRequest(kind)), Endpoints{});
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{1})
      << "a write to a replica is rejected";
  const auto healthChecks = harness.actionsOf<StartHealthCheck>();
  EXPECT_TRUE(std::any_of(healthChecks.begin(), healthChecks.end(),
                          [](const StartHealthCheck& p) { return p.endpoint == 1; }));
  const auto strongRead = harness.lastId - 1;
  harness.healthCheckOk(1, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(strongRead), Endpoints{1});
}

TEST(PrimaryTracker, AReadChecksAPrimaryThatFailedAnAttemptSinceItsClaim) {
  for (const AttemptOutcome outcome :
       {AttemptOutcome::ConnectionReset, AttemptOutcome::ConnectFailed, AttemptOutcome::TimedOut}) {
    PolicyHarnessWithKnownGroup harness;
    const auto write = harness.sendRequest(kUnsafeWrite);
    harness.now += 600 * kMs;
    harness.endAttempt(write, 0, outcome);
    harness.handle(HealthCheckEnded{1, true, kMs, {}});  // alive, without a role in its report
    harness.clearActions();
    const auto strongRead = harness.sendRequest(kStrongRead);
    EXPECT_EQ(harness.sentTo(strongRead), Endpoints{});
    ASSERT_GE(harness.healthChecks(), 1U);
    EXPECT_EQ(harness.actionsOf<StartHealthCheck>()[0].endpoint, 1U);
    harness.now += kMs;
    harness.healthCheckOk(1, Role::Primary, harness.now);
    EXPECT_EQ(harness.sentTo(strongRead), Endpoints{1});
  }
}

TEST(PrimaryTracker, AClientRetryWaitsForThePrimarysHealthCheckToo) {
  PolicyHarnessWithKnownGroup harness;
  harness.advance(3100 * kMs);
  Request request;
  request.id = ++harness.lastId;
  request.group = 1;
  request.classIndex = kStrongRead;
  request.isClientRetry = true;
  request.deadline = harness.now + kS;
  harness.clearActions();
  harness.handle(RequestArrived{request});
  EXPECT_EQ(harness.rejections(request.id), 0);
  harness.healthCheckOk(1, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(request.id), Endpoints{1});
}

}  // namespace
}  // namespace heathflow::test
