// Who is the primary of a group, by its own claims and denials, answers and the endpoint list.
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
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{}) << "an older claim";
  harness.healthCheckOk(1, Role::Primary, harness.now);
  // A write shows by itself whether the endpoint leads; once it has taken one, strong reads go there too.
  const auto write = harness.sendRequest(kUnsafeWrite);
  EXPECT_EQ(harness.sentTo(write), Endpoints{1});
  const auto waits = harness.sendRequest(kStrongRead);
  EXPECT_EQ(harness.sentTo(waits), Endpoints{})
      << "it rejected a write, and its claim is no better than before that";
  harness.endAttempt(write, 0, AttemptOutcome::Ok, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(waits), Endpoints{1});
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{1});
}

// Failure: a stale strong read from a primary that hands over: it rejects writes but still claims its role.
TEST(PrimaryTracker, StrongReadsWaitWhileAPrimaryHandsOver) {
  PolicyHarnessWithKnownGroup harness;
  harness.endAttempt(harness.sendRequest(kUnsafeWrite), 0, AttemptOutcome::PreconditionFailed, Role::Replica);
  harness.now += 20 * kMs;
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.healthCheckOk(2, Role::Replica, harness.now - 10 * kS);
  harness.healthCheckOk(3, Role::Replica, harness.now - 10 * kS);
  harness.clearActions();
  const auto fresh = harness.sendRequest(kStrongRead);
  EXPECT_EQ(harness.sentTo(fresh), Endpoints{});
  harness.healthCheckOk(2, Role::Primary, harness.now + 10 * kMs);
  EXPECT_EQ(harness.sentTo(fresh), Endpoints{2});
}

// Where no other endpoint leads and no write shows the role.
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
  // The older claim does not come back when the newer one ends.
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

// Failure: stale reads from a primary that a late list names and that has since denied its role.
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
  const auto fresh = harness.sendRequest(kStrongRead);
  EXPECT_EQ(harness.sentTo(bounded), Endpoints{});
  EXPECT_EQ(harness.sentTo(fresh), Endpoints{});
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{2})
      << "a write to a replica is rejected";
  harness.healthCheckOk(2, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(fresh), Endpoints{2}) << "its own newer claim counts";
}

// Failure: an answer in flight while its endpoint falls counts as a claim newer than the denial.
TEST(PrimaryTracker, AClaimInAnAnswerCountsFromItsCommitTime) {
  PolicyHarnessWithKnownGroup harness;
  harness.now += kS;
  const auto write = harness.sendRequest(kUnsafeWrite);
  const LogPosition stood = harness.now + 10 * kMs;
  harness.now += 15 * kMs;
  harness.endAttempt(write, 0, AttemptOutcome::Ok, Role::Primary, stood - kMs);
  harness.now += 4 * kS;
  harness.healthCheckOk(1, Role::Replica, stood);
  harness.clearActions();
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{});
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{});
}

TEST(PrimaryTracker, WhereHealthChecksAreForbiddenTheLastClaimStands) {
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
  // Nothing has been answered yet, so that an endpoint in slow start gets nothing; the new primary has to
  // be found all the same.
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
  ASSERT_EQ(second.size(), 2U) << "it never ran";
  harness.endAttempt(write, 1, AttemptOutcome::PreconditionFailed, Role::Replica);
  const auto third = harness.sentTo(write);
  ASSERT_EQ(third.size(), 3U);
  EXPECT_EQ(std::set<EndpointId>(third.begin(), third.end()).size(), 3U) << "each once";
  harness.endAttempt(write, 2, AttemptOutcome::PreconditionFailed, Role::Replica);
  EXPECT_EQ(harness.sentTo(write).size(), 3U) << "nobody leads for now";
  harness.advance(450 * kMs);
  EXPECT_EQ(harness.sentTo(write).size(), 4U);
  harness.endAttempt(write, 3, AttemptOutcome::Ok, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{harness.sentTo(write)[3]});
  EXPECT_EQ(harness.healthChecks(), 0U);
}

// Failure: a stale strong read from a primary that fell with an unanswered request.
TEST(PrimaryTracker, AStrongReadChecksAnUnresponsivePrimaryFirst) {
  PolicyHarnessWithKnownGroup harness;
  harness.sendRequest(kUnsafeWrite);
  harness.now += 200 * kMs;
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)), Endpoints{1}) << "not unresponsive yet";
  harness.now += 100 * kMs;
  harness.clearActions();
  const auto fresh = harness.sendRequest(kStrongRead);
  EXPECT_EQ(harness.sentTo(fresh), Endpoints{});
  ASSERT_EQ(harness.healthChecks(), 1U);
  EXPECT_EQ(harness.actionsOf<StartHealthCheck>()[0].endpoint, 1U);
  harness.healthCheckOk(1, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(fresh), Endpoints{1});
}

// Failure: the denial is lost on a broken connection, and reads trust the old claim.
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
  const auto fresh = harness.lastId - 1;
  harness.healthCheckOk(1, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(fresh), Endpoints{1});
}

TEST(PrimaryTracker, AReadChecksAPrimaryThatFailedAnAttemptSinceItsClaim) {
  for (const AttemptOutcome outcome :
       {AttemptOutcome::ConnectionReset, AttemptOutcome::ConnectFailed, AttemptOutcome::TimedOut}) {
    PolicyHarnessWithKnownGroup harness;
    const auto write = harness.sendRequest(kUnsafeWrite);
    harness.now += 600 * kMs;
    harness.endAttempt(write, 0, outcome);
    harness.handle(HealthCheckEnded{1, true, kMs, {}});  // it lives, and reports no role
    harness.clearActions();
    const auto fresh = harness.sendRequest(kStrongRead);
    EXPECT_EQ(harness.sentTo(fresh), Endpoints{});
    ASSERT_GE(harness.healthChecks(), 1U);
    EXPECT_EQ(harness.actionsOf<StartHealthCheck>()[0].endpoint, 1U);
    harness.now += kMs;
    harness.healthCheckOk(1, Role::Primary, harness.now);
    EXPECT_EQ(harness.sentTo(fresh), Endpoints{1});
  }
}

TEST(PrimaryTracker, AClientRetryWaitsForThatHealthCheckToo) {
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
