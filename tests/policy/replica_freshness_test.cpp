// Tests which replicas are fresh enough for a read, by log position, session token and staleness bound.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "policy_harness.h"
#include "settings/settings.h"
#include "settings_text.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

// A harness in which answers reported a lag of 100 ms, ten seconds ago.
class HarnessWithPastAnswers : public PolicyHarness {
 public:
  explicit HarnessWithPastAnswers(PolicySettings settings = settingsWithoutReports())
      : PolicyHarness(std::move(settings)) {
    listUsualGroup();
    const RequestId one = sendRequest(kEventualRead);
    const RequestId two = sendRequest(kEventualRead);
    for (const RequestId read : {one, two})
      endAttempt(read, 0, AttemptOutcome::Ok, Role::Replica, now - 100 * kMs);
    now += 10 * kS;
    clearActions();
  }
};

TEST(ReplicaFreshness, BoundedReadsGoOnlyWhereThePositionIsWithinTheBound) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.healthCheckOk(2, Role::Replica, harness.now - 3 * kS - 1);
  harness.healthCheckOk(3, Role::Replica, harness.now - 3 * kS);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{3});
  harness.now += 1;  // now both are too old
  EXPECT_NE(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{3});
}

TEST(ReplicaFreshness, BoundedReadsFallBackToThePrimaryWhereNoReplicaIsKnownToBeCurrent) {
  PolicyHarness harness;
  harness.listUsualGroup();
  const auto read = harness.sendRequest(kBoundedRead);
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.healthCheckOk(2, Role::Replica, harness.now - 4 * kS);
  EXPECT_TRUE(harness.sentTo(read).empty());  // another health check is in flight
  harness.advance(60 * kMs);
  EXPECT_EQ(harness.sentTo(read), Endpoints{1});
}

TEST(ReplicaFreshness, APositionNeverGoesBack) {
  PolicyHarnessWithKnownGroup harness;
  harness.healthCheckOk(2, Role::Replica, harness.now - 9 * kS);
  harness.healthCheckOk(3, Role::Replica, harness.now - 9 * kS);
  EXPECT_NE(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{1});
}

TEST(ReplicaFreshness, ClientTokensSelectReplicasThatHaveTheSessionsWrite) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.healthCheckOk(2, Role::Replica, harness.now - 100 * kMs);
  harness.healthCheckOk(3, Role::Replica, harness.now - 500 * kMs);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kSessionRead, 0, 200 * kMs)), Endpoints{2});
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kSessionRead, 0, 200 * kMs)), Endpoints{2});
  const auto none = harness.sendRequest(kSessionRead, 0, 50 * kMs);
  harness.advance(300 * kMs);
  EXPECT_EQ(harness.sentTo(none), Endpoints{1});
}

// Failure: a read of a session does not see the session's write, because the answer to it was late or lost.
TEST(ReplicaFreshness, SessionReadsGoToThePrimaryWhileAWriteOfTheSessionMayHaveRun) {
  PolicySettings settings = makeSettings();
  settings.sessionTokens = SessionTokenSource::Gateway;
  for (const AttemptOutcome outcome : {AttemptOutcome::ConnectionReset, AttemptOutcome::TimedOut,
                                       AttemptOutcome::Error, AttemptOutcome::Malformed}) {
    PolicyHarnessWithKnownGroup harness(settings);
    const auto write = harness.sendRequest(kUnsafeWrite, kS, {}, 9);
    EXPECT_EQ(harness.sentTo(harness.sendRequest(kSessionRead, 0, {}, 9)), Endpoints{1})
        << "the write has no answer yet";
    EXPECT_NE(harness.sentTo(harness.sendRequest(kSessionRead, 0, {}, 8)), Endpoints{1}) << "another session";
    harness.endAttempt(write, 0, outcome);
    harness.now += 100 * kMs;
    harness.reportUsualState();
    EXPECT_EQ(harness.sentTo(harness.sendRequest(kSessionRead, 0, {}, 9)), Endpoints{1})
        << "the write may still start to run";
    harness.now += 3 * kS;
    for (const EndpointId endpoint : {2U, 3U}) harness.healthCheckOk(endpoint, Role::Replica, harness.now);
    EXPECT_NE(harness.sentTo(harness.sendRequest(kSessionRead, 0, {}, 9)), Endpoints{1})
        << "by now the replicas have the write if it was committed";
  }
}

TEST(ReplicaFreshness, SessionReadsAreNotBoundByAWriteThatNeverRan) {
  PolicySettings settings = makeSettings();
  settings.sessionTokens = SessionTokenSource::Gateway;
  PolicyHarnessWithKnownGroup harness(settings);
  harness.endAttempt(harness.sendRequest(kUnsafeWrite, 10 * kMs, {}, 9), 0, AttemptOutcome::Overloaded);
  EXPECT_NE(harness.sentTo(harness.sendRequest(kSessionRead, 0, {}, 9)), Endpoints{1});
}

TEST(ReplicaFreshness, SessionReadsWithoutATokenGoToAnyReplica) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.healthCheckOk(1, Role::Primary, harness.now);
  EXPECT_NE(harness.sentTo(harness.sendRequest(kSessionRead)).at(0), 1U);
}

TEST(ReplicaFreshness, GatewayTokensComeFromAnswersToWrites) {
  PolicySettings settings = makeSettings();
  settings.sessionTokens = SessionTokenSource::Gateway;
  PolicyHarnessWithKnownGroup harness(settings);
  const auto write = harness.sendRequest(kUnsafeWrite, 0, {}, 42);
  harness.endAttempt(write, 0, AttemptOutcome::Ok, Role::Primary, harness.now - 50 * kMs);
  // The time has not advanced: the replicas lag 100 ms and lack that write.
  const auto read = harness.sendRequest(kSessionRead, 0, {}, 42);
  const auto other = harness.sendRequest(kSessionRead, 0, {}, 43);
  harness.advance(300 * kMs);
  EXPECT_EQ(harness.sentTo(read), Endpoints{1});
  EXPECT_NE(harness.sentTo(other).at(0), 1U);
}

TEST(ReplicaFreshness, SessionReadsAreStrongWhereNoTokensExist) {
  PolicySettings settings = makeSettings();
  settings.sessionTokens = SessionTokenSource::None;
  PolicyHarnessWithKnownGroup harness(settings);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kSessionRead)), Endpoints{1});
}

TEST(ReplicaFreshness, WhereReplicasRejectStaleReadsTheMostAdvancedIsTriedBeforeThePrimary) {
  PolicySettings settings = makeSettings();
  settings.staleReads = StaleReadBehavior::Rejects;
  PolicyHarness harness(settings);
  harness.listUsualGroup();
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.healthCheckOk(2, Role::Replica, harness.now - 900 * kMs);
  harness.healthCheckOk(3, Role::Replica, harness.now - 800 * kMs);
  harness.now += 200 * kMs;
  const auto read = harness.sendRequest(kSessionRead, 0, 100 * kMs);
  EXPECT_EQ(harness.sentTo(read), Endpoints{3});
  harness.endAttempt(read, 0, AttemptOutcome::PreconditionFailed, Role::Replica, harness.now - 700 * kMs);
  EXPECT_EQ(harness.sentTo(read), (Endpoints{3, 2}));
}

TEST(ReplicaFreshness, NoReplicaIsTriedThatJustReportedTooMuchLag) {
  PolicySettings settings = makeSettings();
  settings.staleReads = StaleReadBehavior::Rejects;
  PolicyHarness harness(settings);
  harness.listUsualGroup();
  harness.sendRequest(kEventualRead);
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.healthCheckOk(2, Role::Replica, harness.now - 4 * kS);
  harness.healthCheckOk(3, Role::Replica, harness.now - 4 * kS);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{1});
}

TEST(ReplicaFreshness, EvictedTokensStillBindReads) {
  PolicySettings settings = makeSettings();
  settings.sessionTokens = SessionTokenSource::Gateway;
  PolicyHarnessWithKnownGroup harness(settings);
  harness.healthCheckOk(2, Role::Replica, harness.now - 10 * kS);
  harness.healthCheckOk(3, Role::Replica, harness.now - 10 * kS);
  const Micros first = harness.now;
  for (std::uint64_t session = 1; session <= 5000; ++session) {
    const auto write = harness.sendRequest(kUnsafeWrite, 0, {}, session);
    harness.endAttempt(write, 0, AttemptOutcome::Ok, Role::Primary, first);
    harness.clearActions();
  }
  harness.now += 100 * kS;
  for (std::uint64_t session = 6001; session <= 12000; ++session) {
    const auto write = harness.sendRequest(kUnsafeWrite, 0, {}, session);
    harness.endAttempt(write, 0, AttemptOutcome::Ok, Role::Primary, harness.now);
    harness.clearActions();
  }
  // The token of session 1 was dropped, but the replicas are known to lack its write.
  harness.healthCheckOk(2, Role::Replica, first - kS);
  harness.healthCheckOk(3, Role::Replica, first - kS);
  const auto lacking = harness.sendRequest(kSessionRead, 0, {}, 1);
  harness.advance(100 * kMs);
  EXPECT_EQ(harness.sentTo(lacking), Endpoints{1});
  harness.healthCheckOk(2, Role::Replica, first + kS);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kSessionRead, 0, {}, 1)), Endpoints{2});
}

// Failure: a client token is ignored for classes other than session reads.
TEST(ReplicaFreshness, AClientTokenBindsReadsOfAnyClass) {
  for (const std::uint32_t index : {kEventualRead, kBoundedRead, kSessionRead}) {
    PolicyHarnessWithKnownGroup harness;
    // The replicas lag 100 ms, and the write is 50 ms old.
    const auto bound = harness.sendRequest(index, 0, 50 * kMs);
    harness.advance(100 * kMs);
    EXPECT_EQ(harness.sentTo(bound), Endpoints{1}) << index;
    const auto old = harness.sendRequest(index, 0, 2 * kS);
    ASSERT_EQ(harness.sentTo(old).size(), 1U) << index;
    EXPECT_NE(harness.sentTo(old)[0], 1U) << index;
  }
}

TEST(ReplicaFreshness, AReplicaThatLaggedLittleQualifiesWhereItChecksReadsItself) {
  HarnessWithPastAnswers harness;
  std::map<EndpointId, int> sent;
  for (int i = 0; i < 4; ++i) ++sent[harness.sentTo(harness.sendRequest(kBoundedRead)).at(0)];
  EXPECT_EQ(sent[2], 2);
  EXPECT_EQ(sent[3], 2);
  EXPECT_EQ(harness.healthChecks(), 0U);
}

TEST(ReplicaFreshness, AReplicaThatLaggedTooFarIsAvoidedForSixteenTimesItsLag) {
  HarnessWithPastAnswers harness;
  const auto missed = harness.sendRequest(kBoundedRead);
  const EndpointId behind = harness.sentTo(missed).at(0);
  harness.endAttempt(missed, 0, AttemptOutcome::PreconditionFailed, Role::Replica, harness.now - 5 * kS);
  const auto isUsed = [&] {
    bool any = false;
    for (int i = 0; i < 4; ++i) {
      const auto read = harness.sendRequest(kBoundedRead);
      any = any || harness.sentTo(read).at(0) == behind;
      harness.endAttempt(read, 0, AttemptOutcome::Ok, Role::Replica, harness.now - 100 * kMs);
    }
    return any;
  };
  harness.now += 79 * kS;
  EXPECT_FALSE(isUsed());
  harness.now += 2 * kS;
  const auto one = harness.sendRequest(kBoundedRead);
  const auto two = harness.sendRequest(kBoundedRead);
  EXPECT_TRUE(harness.sentTo(one).at(0) == behind || harness.sentTo(two).at(0) == behind)
      << "it may have caught up";
}

TEST(ReplicaFreshness, PastLagIsNotEnoughWhereReplicasServeStaleReads) {
  PolicySettings settings = settingsWithoutReports();
  settings.staleReads = StaleReadBehavior::ServesStale;
  HarnessWithPastAnswers harness(settings);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{1});
}

TEST(ReplicaFreshness, NoReadIsTriedOnAReplicaKnownToLagFarWhereReplicasWait) {
  PolicySettings settings = settingsWhereReplicasWait();
  settings.responsesReportPosition = false;
  PolicyHarnessWithKnownGroup harness(settings);
  harness.now += 10 * kS;
  harness.healthCheckOk(1, Role::Primary, harness.now);
  for (const EndpointId endpoint : {2U, 3U})
    harness.healthCheckOk(endpoint, Role::Replica, harness.now - 9 * kS);
  harness.now += 3500 * kMs;  // longer than the bound; the lag shrinks by at most half of that
  harness.healthCheckOk(1, Role::Primary, harness.now);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{1});
}

// Without a position in the answer, the lag is only known to exceed the bound of the read.
TEST(ReplicaFreshness, AFailedPreconditionWithoutAPositionCountsAsLagOfTheReadsBound) {
  PolicySettings settings = settingsWhereReplicasWait();
  settings.responsesReportPosition = false;
  settings.healthChecksAllowed = false;
  PolicyHarnessWithKnownGroup harness(settings);
  harness.now += 10 * kS;
  const auto read = harness.sendRequest(kBoundedRead);
  harness.endAttempt(read, 0, AttemptOutcome::PreconditionFailed, Role::Replica);
  harness.endAttempt(read, 1, AttemptOutcome::PreconditionFailed, Role::Replica);
  ASSERT_EQ(harness.sentTo(read).size(), 3U);
  EXPECT_EQ(harness.sentTo(read)[2], 1U);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{1}) << "neither is tried again";
}

// ---- Clocks that differ ----

// Returns the endpoints that a session read is sent to, whose token was issued 200 ms before by an endpoint's
// clock. The replicas lack the write by 'missing'; the lead of the endpoints' clocks changes before the
// replicas report or between their report and the read.
Endpoints sentAfterLeadChange(Micros leadBefore, Micros leadAfter, bool reportsFirst) {
  constexpr Micros kMissing = 300 * kMs;
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.handle(ClockLeadChanged{leadBefore});
  const Micros written = harness.now - 200 * kMs;
  const auto report = [&] {
    for (const EndpointId replica : {2U, 3U})
      harness.healthCheckOk(replica, Role::Replica, written - kMissing);
  };
  RequestId read = 0;
  if (reportsFirst) {
    report();
    harness.handle(ClockLeadChanged{leadAfter});
    harness.healthCheckOk(1, Role::Primary, harness.now);
    read = harness.sendRequest(kSessionRead, 0, harness.now - written);
  } else {
    read = harness.sendRequest(kSessionRead, 0, harness.now - written);
    harness.handle(ClockLeadChanged{leadAfter});
    harness.healthCheckOk(1, Role::Primary, harness.now);
    report();
  }
  harness.advance(200 * kMs);
  return harness.sentTo(read);
}

// Failure: a session read is served by a replica that lacks the session's write, because its token and the
// replica's position were converted with different leads.
TEST(ReplicaFreshness, AChangedClockLeadDoesNotLoosenSessionReads) {
  for (const bool reportsFirst : {false, true}) {
    for (const Micros lead : {350 * kMs, kS}) {
      EXPECT_EQ(sentAfterLeadChange(lead, 0, reportsFirst), Endpoints{1}) << lead << reportsFirst;
      EXPECT_EQ(sentAfterLeadChange(0, lead, reportsFirst), Endpoints{1}) << lead << reportsFirst;
    }
  }
}

TEST(ReplicaFreshness, SessionReadsNeedNoClockLead) {
  for (const Micros lead : {Micros{0}, 350 * kMs, kS}) {
    PolicyHarness harness;
    harness.listUsualGroup();
    harness.handle(ClockLeadChanged{lead});
    harness.healthCheckOk(1, Role::Primary, harness.now);
    harness.healthCheckOk(2, Role::Replica, harness.now - 100 * kMs);
    EXPECT_EQ(harness.sentTo(harness.sendRequest(kSessionRead, 0, 100 * kMs)), Endpoints{2}) << lead;
  }
}

// Failure: the same as for client tokens, with the position of the write taken from its answer.
TEST(ReplicaFreshness, AChangedClockLeadDoesNotLoosenGatewayTokens) {
  PolicySettings settings = makeSettings();
  settings.sessionTokens = SessionTokenSource::Gateway;
  for (const auto& [before, after] : {std::pair(kS, Micros{0}), std::pair(Micros{0}, kS)}) {
    PolicyHarness harness(settings);
    harness.listUsualGroup();
    harness.handle(ClockLeadChanged{before});
    const auto write = harness.sendRequest(kUnsafeWrite, 0, {}, 42);
    harness.endAttempt(write, 0, AttemptOutcome::Ok, Role::Primary, harness.now);
    harness.handle(ClockLeadChanged{after});
    for (const EndpointId replica : {2U, 3U})
      harness.healthCheckOk(replica, Role::Replica, harness.now - 100 * kMs);
    const auto read = harness.sendRequest(kSessionRead, 0, {}, 42);
    harness.advance(200 * kMs);
    EXPECT_EQ(harness.sentTo(read), Endpoints{1}) << before;
  }
}

// Without a position in its answer, a write is known to have been committed by the time of the answer by this
// process's clock, which replicas reach only by a position that is ahead by the lead.
TEST(ReplicaFreshness, TheTimeOfAnAnswerIsComparedWithPositionsLessTheClockLead) {
  PolicySettings settings = makeSettings();
  settings.sessionTokens = SessionTokenSource::Gateway;
  constexpr Micros kLead = 350 * kMs;
  PolicyHarness harness(settings);
  harness.listUsualGroup();
  const auto write = harness.sendRequest(kUnsafeWrite, 0, {}, 42);
  harness.endAttempt(write, 0, AttemptOutcome::Ok, Role::Primary);
  const Micros answered = harness.now;
  harness.handle(ClockLeadChanged{kLead});
  harness.now += kS;
  harness.healthCheckOk(1, Role::Primary, harness.now + kLead);
  harness.healthCheckOk(2, Role::Replica, answered + kLead - 1);
  harness.healthCheckOk(3, Role::Replica, answered + kLead);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kSessionRead, 0, {}, 42)), Endpoints{3});
}

// Failure: a replica's position is taken for too recent by a bounded read, because the lead became known only
// after its report.
TEST(ReplicaFreshness, BoundedReadsApplyTheCurrentClockLeadToEarlierReports) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.healthCheckOk(1, Role::Primary, harness.now);
  for (const EndpointId replica : {2U, 3U})
    harness.healthCheckOk(replica, Role::Replica, harness.now - 2800 * kMs);
  EXPECT_NE(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{1}) << "within the bound of 3 s";
  harness.handle(ClockLeadChanged{350 * kMs});
  const auto read = harness.sendRequest(kBoundedRead);
  harness.advance(100 * kMs);
  EXPECT_EQ(harness.sentTo(read), Endpoints{1});
}

TEST(ReplicaFreshness, SettingsNameTheSourcesOfPositionsAndRoles) {
  const PolicySettings reporting = settings::parseSettings(kSettingsText).policy;
  EXPECT_TRUE(reporting.healthChecksReportPosition);
  EXPECT_TRUE(reporting.healthChecksReportRole);
  EXPECT_FALSE(reporting.responsesReportPosition);
  std::string text = kSettingsText;
  const auto replace = [&text](const std::string& what, const std::string& with) {
    const auto at = text.find(what);
    ASSERT_NE(at, std::string::npos) << what;
    text.replace(at, what.size(), with);
  };
  replace(R"("Fields": ["odd", "x0", "x1"])", R"("Fields": [])");
  replace(R"("CatchUpWait": 0)", R"("CatchUpWait": 20000)");
  replace(R"("Positions": false)", R"("Positions": true)");
  const PolicySettings notReporting = settings::parseSettings(text).policy;
  EXPECT_FALSE(notReporting.healthChecksReportPosition);
  EXPECT_FALSE(notReporting.healthChecksReportRole);
  EXPECT_TRUE(notReporting.responsesReportPosition);
  EXPECT_EQ(notReporting.catchUpTimeout, 20 * kMs);
  EXPECT_FALSE(notReporting.crossZoneTrafficHasCost);
  replace(R"("Az": 0)", R"("Az": 1, "Charges": {"CrossZone": 0.04})");
  const PolicySettings charged = settings::parseSettings(text).policy;
  EXPECT_TRUE(charged.crossZoneTrafficHasCost);
  EXPECT_EQ(charged.zone, 1U);
}

}  // namespace
}  // namespace heathflow::test
