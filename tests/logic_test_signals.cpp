// What a router goes by where endpoints send no reports, or where a signal that is sent is not worth its
// word.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "policy/routing_policy.h"
#include "rig.h"
#include "settings/settings.h"
#include "settings_text.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

// Endpoints check reads themselves and wait a little before they turn one away; each answer tells a position.
PolicySettings waitingEndpoints() {
  PolicySettings settings = makeSettings();
  settings.staleReads = StaleReadBehavior::Waits;
  settings.catchUpTimeout = 20 * kMs;
  settings.responsesReportPosition = true;
  return settings;
}

PolicySettings withoutReports() {
  PolicySettings settings = waitingEndpoints();
  settings.healthChecksReportPosition = false;
  settings.healthChecksReportRole = false;
  return settings;
}

// Its endpoints' answers have told a lag of 100 ms, ten seconds ago.
class AnsweredRig : public Rig {
 public:
  explicit AnsweredRig(PolicySettings settings = withoutReports()) : Rig(std::move(settings)) {
    usualGroup();
    const RequestId one = ask(kAny);
    const RequestId two = ask(kAny);
    for (const RequestId read : {one, two}) end(read, 0, AttemptOutcome::Ok, Role::Replica, now - 100 * kMs);
    now += 10 * kS;
    forget();
  }
};

TEST(Signals, AReplicaThatLaggedLittleQualifiesWhereItChecksReadsItself) {
  AnsweredRig rig;
  std::map<EndpointId, int> sent;
  for (int i = 0; i < 4; ++i) ++sent[rig.sentTo(rig.ask(kBounded)).at(0)];
  EXPECT_EQ(sent[2], 2);
  EXPECT_EQ(sent[3], 2);
  EXPECT_EQ(rig.healthChecks(), 0U);
}

TEST(Signals, AReplicaThatLaggedTooFarIsLeftForSixteenTimesAsLong) {
  AnsweredRig rig;
  const auto missed = rig.ask(kBounded);
  const EndpointId behind = rig.sentTo(missed).at(0);
  rig.end(missed, 0, AttemptOutcome::PreconditionFailed, Role::Replica, rig.now - 5 * kS);
  const auto goesThere = [&] {
    bool any = false;
    for (int i = 0; i < 4; ++i) {
      const auto read = rig.ask(kBounded);
      any = any || rig.sentTo(read).at(0) == behind;
      rig.end(read, 0, AttemptOutcome::Ok, Role::Replica, rig.now - 100 * kMs);
    }
    return any;
  };
  rig.now += 79 * kS;
  EXPECT_FALSE(goesThere());
  rig.now += 2 * kS;
  const auto one = rig.ask(kBounded);
  const auto two = rig.ask(kBounded);
  EXPECT_TRUE(rig.sentTo(one).at(0) == behind || rig.sentTo(two).at(0) == behind) << "it may have caught up";
}

TEST(Signals, WhereALaggingReplicaWouldAnswerThatIsNotEnough) {
  PolicySettings settings = withoutReports();
  settings.staleReads = StaleReadBehavior::ServesStale;
  AnsweredRig rig(settings);
  EXPECT_EQ(rig.sentTo(rig.ask(kBounded)), Endpoints{1});
}

TEST(Signals, NoPositionIsAskedForWhereHealthChecksTellNone) {
  PolicySettings settings = withoutReports();
  settings.staleReads = StaleReadBehavior::ServesStale;
  Rig rig(settings);
  rig.usualGroup();
  for (int i = 0; i < 60; ++i) {
    rig.ask(kBounded);
    rig.now += 50 * kMs;
  }
  for (const StartHealthCheck& healthCheck : rig.all<StartHealthCheck>())
    EXPECT_EQ(healthCheck.reason, HealthCheckReason::Unresponsive) << "only for life";
}

TEST(Signals, AWriteFindsTheNewPrimaryWhereHealthChecksTellNoRole) {
  Rig rig(withoutReports());
  rig.usualGroup();
  const auto write = rig.ask(kUnsafeWrite);
  EXPECT_EQ(rig.sentTo(write), Endpoints{1});
  rig.end(write, 0, AttemptOutcome::PreconditionFailed, Role::Replica);
  const auto second = rig.sentTo(write);
  ASSERT_EQ(second.size(), 2U) << "it never ran";
  rig.end(write, 1, AttemptOutcome::PreconditionFailed, Role::Replica);
  const auto third = rig.sentTo(write);
  ASSERT_EQ(third.size(), 3U);
  EXPECT_EQ(std::set<EndpointId>(third.begin(), third.end()).size(), 3U) << "each once";
  rig.end(write, 2, AttemptOutcome::PreconditionFailed, Role::Replica);
  EXPECT_EQ(rig.sentTo(write).size(), 3U) << "nobody leads for now";
  rig.pass(450 * kMs);
  EXPECT_EQ(rig.sentTo(write).size(), 4U);
  rig.end(write, 3, AttemptOutcome::Ok, Role::Primary, rig.now);
  EXPECT_EQ(rig.sentTo(rig.ask(kUnsafeWrite)), Endpoints{rig.sentTo(write)[3]});
  EXPECT_EQ(rig.healthChecks(), 0U);
}

TEST(Signals, HealthChecksComeBeforeAGuessThatAnEndpointWouldWaitFor) {
  PolicySettings settings = waitingEndpoints();
  settings.responsesReportPosition = false;
  KnownRig rig(settings);
  for (int i = 0; i < 6; ++i) rig.ask(kUnsafeWrite);  // an idle primary would take the read meanwhile
  rig.now += 10 * kS;
  rig.forget();
  const auto read = rig.ask(kBounded);
  EXPECT_TRUE(rig.sentTo(read).empty());
  EXPECT_EQ(rig.healthChecks(), 1U);
}

TEST(Signals, NoGuessGoesToOneBelievedFarBehindWhereEndpointsWait) {
  PolicySettings settings = waitingEndpoints();
  settings.responsesReportPosition = false;
  KnownRig rig(settings);
  rig.now += 10 * kS;
  rig.healthChecked(1, Role::Primary, rig.now);
  for (const EndpointId endpoint : {2U, 3U}) rig.healthChecked(endpoint, Role::Replica, rig.now - 9 * kS);
  rig.now += 3500 * kMs;  // longer than the read's bound; at most half of that can be caught up
  rig.healthChecked(1, Role::Primary, rig.now);
  EXPECT_EQ(rig.sentTo(rig.ask(kBounded)), Endpoints{1});
}

// A miss tells how far behind only where answers carry positions; else that it was further than the read
// bears.
TEST(Signals, AMissWithoutAPositionTellsThatItLaggedThatFar) {
  PolicySettings settings = waitingEndpoints();
  settings.responsesReportPosition = false;
  settings.healthChecksAllowed = false;
  KnownRig rig(settings);
  rig.now += 10 * kS;
  const auto read = rig.ask(kBounded);
  rig.end(read, 0, AttemptOutcome::PreconditionFailed, Role::Replica);
  rig.end(read, 1, AttemptOutcome::PreconditionFailed, Role::Replica);
  ASSERT_EQ(rig.sentTo(read).size(), 3U);
  EXPECT_EQ(rig.sentTo(read)[2], 1U);
  EXPECT_EQ(rig.sentTo(rig.ask(kBounded)), Endpoints{1}) << "none is guessed at again";
}

TEST(Signals, EndpointsOfTheOwnZoneComeFirstWhereCrossingHasAPrice) {
  const auto crossings = [](bool costs) {
    PolicySettings settings = makeSettings();
    settings.zone = 1;
    settings.crossZoneTrafficHasCost = costs;
    int crossed = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Rig rig(settings, seed);
      std::vector<Endpoint> endpoints = {makeEndpoint(1, true), makeEndpoint(2), makeEndpoint(3)};
      endpoints[2].zone = 1;
      rig.list(endpoints);
      const auto first = rig.ask(kAny);
      crossed += rig.sentTo(first) == Endpoints{2} ? 1 : 0;
      EXPECT_EQ(rig.sentTo(rig.ask(kAny)).size(), 1U);
      EXPECT_NE(rig.sentTo(rig.lastId), rig.sentTo(first)) << "not at the price of a queue";
    }
    return crossed;
  };
  EXPECT_EQ(crossings(true), 0);
  EXPECT_GT(crossings(false), 4);
}

TEST(Signals, TheSettingsSayWhatTellsPositions) {
  const PolicySettings told = settings::parseSettings(kSettingsText).policy;
  EXPECT_TRUE(told.healthChecksReportPosition);
  EXPECT_TRUE(told.healthChecksReportRole);
  EXPECT_FALSE(told.responsesReportPosition);
  std::string text = kSettingsText;
  const auto replace = [&text](const std::string& what, const std::string& with) {
    const auto at = text.find(what);
    ASSERT_NE(at, std::string::npos) << what;
    text.replace(at, what.size(), with);
  };
  replace(R"("Fields": ["odd", "x0", "x1"])", R"("Fields": [])");
  replace(R"("CatchUpWait": 0)", R"("CatchUpWait": 20000)");
  replace(R"("Positions": false)", R"("Positions": true)");
  const PolicySettings silent = settings::parseSettings(text).policy;
  EXPECT_FALSE(silent.healthChecksReportPosition);
  EXPECT_FALSE(silent.healthChecksReportRole);
  EXPECT_TRUE(silent.responsesReportPosition);
  EXPECT_EQ(silent.catchUpTimeout, 20 * kMs);
  EXPECT_FALSE(silent.crossZoneTrafficHasCost);
  replace(R"("Az": 0)", R"("Az": 1, "Charges": {"CrossZone": 0.04})");
  const PolicySettings priced = settings::parseSettings(text).policy;
  EXPECT_TRUE(priced.crossZoneTrafficHasCost);
  EXPECT_EQ(priced.zone, 1U);
}

TEST(Signals, AimsTellWhichReadsAreLongBeforeAnswersDo) {
  PolicySettings settings = makeSettings();
  settings.classes.push_back(makeClass(Consistency::Eventual, Idempotency::Idempotent, 4 * kS, 8 * kS, 0));
  const auto longRead = static_cast<std::uint32_t>(settings.classes.size() - 1);
  KnownRig rig(settings);
  for (int i = 0; i < 20; ++i) rig.end(rig.ask(kAny), 0, AttemptOutcome::Ok, Role::Replica, {}, 40 * kMs);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(rig.sentTo(rig.ask(longRead)), Endpoints{2});
}

}  // namespace
}  // namespace heathflow::test
