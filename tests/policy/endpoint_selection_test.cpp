// Tests to which endpoint of a group an attempt is sent.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

// The settings of makeSettings() with an additional class of long reads.
constexpr std::uint32_t kLongRead = kKeyedWrite + 1;
PolicySettings settingsWithLongReads(Micros aim, Micros requestTimeout) {
  PolicySettings settings = makeSettings();
  settings.classes.push_back(
      makeClass(Consistency::Eventual, Idempotency::Idempotent, aim, requestTimeout, 0));
  return settings;
}

// Serves short reads of 40 ms and one long read of 900 ms, so that the policy learns which class is long.
void serveReads(PolicyHarness& harness, int shortReads) {
  for (int i = 0; i < shortReads; ++i)
    harness.endAttempt(harness.sendRequest(kEventualRead), 0, AttemptOutcome::Ok, Role::Replica, {},
                       40 * kMs);
  harness.endAttempt(harness.sendRequest(kLongRead), 0, AttemptOutcome::Ok, Role::Replica, {}, 900 * kMs);
}

TEST(EndpointSelection, EventualReadsSpreadOverReplicasByRequestsInFlight) {
  PolicyHarnessWithKnownGroup harness;
  std::map<EndpointId, int> sent;
  for (int i = 0; i < 6; ++i) ++sent[harness.sentTo(harness.sendRequest(kEventualRead)).at(0)];
  EXPECT_EQ(sent[1], 0);
  EXPECT_EQ(sent[2], 3);
  EXPECT_EQ(sent[3], 3);
}

TEST(EndpointSelection, LongReadsArePackedOnOneReplicaSoThatOthersStayCurrent) {
  PolicyHarnessWithKnownGroup harness(settingsWithLongReads(4 * kS, 8 * kS));
  serveReads(harness, 200);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(harness.sentTo(harness.sendRequest(kLongRead)), Endpoints{2});
}

// Failure: long reads are still sent to a replica that has become slow.
TEST(EndpointSelection, LongReadsAreNotPackedWhereEarlierOnesAreOverdue) {
  PolicyHarnessWithKnownGroup harness(settingsWithLongReads(8 * kS, 16 * kS));
  serveReads(harness, 2000);
  const auto overdue = harness.sendRequest(kLongRead, 16 * kS);
  const auto other = harness.sendRequest(kLongRead, 16 * kS);
  EXPECT_EQ(harness.sentTo(overdue), Endpoints{2});
  harness.now += 1700 * kMs;
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kLongRead, 16 * kS)), Endpoints{2})
      << "less than twice the average latency";
  harness.now += 200 * kMs;
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kLongRead, 16 * kS)), Endpoints{3});
  harness.endAttempt(other, 0, AttemptOutcome::Ok, Role::Replica, {}, 1900 * kMs);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kLongRead, 16 * kS)), Endpoints{2})
      << "a long read has ended there";
}

TEST(EndpointSelection, LongReadsUseAsManyReplicasAsTheirShareOfTheWorkNeeds) {
  PolicyHarness harness(settingsWithLongReads(4 * kS, 8 * kS));
  harness.updateEndpoints(
      {makeEndpoint(1, true), makeEndpoint(2), makeEndpoint(3), makeEndpoint(4), makeEndpoint(5)});
  harness.healthCheckOk(1, Role::Primary, harness.now);
  for (EndpointId id = 2; id <= 5; ++id) harness.healthCheckOk(id, Role::Replica, harness.now - 100 * kMs);
  std::set<EndpointId> used;
  for (int i = 0; i < 400; ++i) {
    // One long read of 900 ms per 60 short reads of 40 ms is 3/8 of the work, so 1.5 of four replicas.
    const bool isHeavy = i % 61 == 60;
    const auto read = harness.sendRequest(isHeavy ? kLongRead : static_cast<std::uint32_t>(kEventualRead));
    const auto to = harness.sentTo(read);
    ASSERT_EQ(to.size(), 1U);
    if (isHeavy && i > 200) used.insert(to[0]);
    harness.endAttempt(read, 0, AttemptOutcome::Ok, Role::Replica, {}, isHeavy ? 900 * kMs : 40 * kMs);
  }
  const auto one = harness.sendRequest(kLongRead);
  const auto two = harness.sendRequest(kLongRead);
  for (const RequestId id : {one, two}) {
    for (const EndpointId endpoint : harness.sentTo(id)) used.insert(endpoint);
  }
  EXPECT_EQ(used, (std::set<EndpointId>{2, 3}));
}

TEST(EndpointSelection, OwnZoneComesFirstWhereCrossZoneTrafficHasCost) {
  const auto crossings = [](bool costs) {
    PolicySettings settings = makeSettings();
    settings.zone = 1;
    settings.crossZoneTrafficHasCost = costs;
    int crossed = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      PolicyHarness harness(settings, seed);
      std::vector<Endpoint> endpoints = {makeEndpoint(1, true), makeEndpoint(2), makeEndpoint(3)};
      endpoints[2].zone = 1;
      harness.updateEndpoints(endpoints);
      const auto first = harness.sendRequest(kEventualRead);
      crossed += harness.sentTo(first) == Endpoints{2} ? 1 : 0;
      EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)).size(), 1U);
      EXPECT_NE(harness.sentTo(harness.lastId), harness.sentTo(first))
          << "the replica without a read in flight is used";
    }
    return crossed;
  };
  EXPECT_EQ(crossings(true), 0);
  EXPECT_GT(crossings(false), 4);
}

TEST(EndpointSelection, DrainingAndRemovedEndpointsGetNoNewRequests) {
  for (const EndpointStatus state : {EndpointStatus::Draining, EndpointStatus::Removed}) {
    PolicyHarnessWithKnownGroup harness;
    harness.updateEndpoints({makeEndpoint(2, false, state)}, EndpointsChanged::Scope::Delta);
    for (int i = 0; i < 6; ++i) EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)), Endpoints{3});
  }
}

TEST(EndpointSelection, AnEndpointMissingFromAFullListIsRemoved) {
  PolicyHarnessWithKnownGroup harness;
  harness.updateEndpoints({makeEndpoint(1, true), makeEndpoint(3)});
  for (int i = 0; i < 6; ++i) EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)), Endpoints{3});
}

TEST(EndpointSelection, ADrainingPrimaryGetsNoWrites) {
  PolicyHarnessWithKnownGroup harness;
  harness.updateEndpoints({makeEndpoint(1, true, EndpointStatus::Draining)}, EndpointsChanged::Scope::Delta);
  EXPECT_TRUE(harness.sentTo(harness.sendRequest(kUnsafeWrite)).empty());
}

// Failure: endpoints that were replaced still count, which shrinks the fair share of the remaining ones.
TEST(EndpointSelection, RemovedEndpointsDoNotCountForTheEvenShareOfAGroup) {
  PolicyHarnessWithKnownGroup harness;
  std::vector<Endpoint> replaced;
  for (EndpointId id = 100; id < 160; ++id) replaced.push_back(makeEndpoint(id));
  harness.updateEndpoints(replaced, EndpointsChanged::Scope::Delta);
  for (Endpoint& endpoint : replaced) endpoint.status = EndpointStatus::Removed;
  harness.updateEndpoints(replaced, EndpointsChanged::Scope::Delta);
  harness.advance(11 * kS);
  harness.updateEndpoints({makeEndpoint(3)}, EndpointsChanged::Scope::Delta);
  harness.reportUsualState();
  harness.endAttempt(harness.sendRequest(kUnsafeWrite), 0, AttemptOutcome::Ok, Role::Primary);
  for (int i = 0; i < 20; ++i)
    harness.endAttempt(harness.sendRequest(kEventualRead), 0, AttemptOutcome::Ok, Role::Replica);
  // No replica is fresh enough: a health check is in progress, and an idle primary with less than its fair
  // share takes the read.
  harness.advance(4 * kS);
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.clearActions();
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kBoundedRead)), Endpoints{1});
}

}  // namespace
}  // namespace heathflow::test
