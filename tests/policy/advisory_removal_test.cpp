// Tests deployments whose endpoint list is only advisory: an endpoint that it omits may still be used.
#include <gtest/gtest.h>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

PolicySettings settingsWithAdvisoryRemoval() {
  PolicySettings settings = makeSettings();
  settings.removalIsAdvisory = true;
  return settings;
}

TEST(AdvisoryRemoval, AListedRemovalKeepsRoleAndPosition) {
  for (const bool empty : {true, false}) {
    PolicyHarnessWithKnownGroup harness(settingsWithAdvisoryRemoval());
    if (empty) {
      harness.updateEndpoints({});
    } else {
      harness.updateEndpoints(
          {makeEndpoint(1, false, EndpointStatus::Removed), makeEndpoint(2, false, EndpointStatus::Removed),
           makeEndpoint(3, false, EndpointStatus::Removed)},
          EndpointsChanged::Scope::Delta);
    }
    EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{1});
    EXPECT_NE(harness.sentTo(harness.sendRequest(kBoundedRead)).at(0), 1U);
    EXPECT_NE(harness.sentTo(harness.sendRequest(kEventualRead)).at(0), 1U);
  }
}

TEST(AdvisoryRemoval, AnEndpointNeverListedAsRunningGetsNoRequests) {
  PolicyHarness harness(settingsWithAdvisoryRemoval());
  harness.updateEndpoints(
      {makeEndpoint(1, true), makeEndpoint(2), makeEndpoint(3, false, EndpointStatus::Removed)});
  for (int i = 0; i < 6; ++i) EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)), Endpoints{2});
}

TEST(AdvisoryRemoval, UnconfirmedEndpointsComeLastAndAreHealthChecked) {
  PolicyHarness harness(settingsWithAdvisoryRemoval());
  harness.listUsualGroup();
  harness.endAttempt(harness.sendRequest(kEventualRead), 0, AttemptOutcome::Ok, Role::Replica);
  harness.reportUsualState();
  harness.updateEndpoints({makeEndpoint(1, true), makeEndpoint(3)});  // without endpoint 2
  harness.advance(2 * kS);
  harness.clearActions();
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)), Endpoints{3});
  ASSERT_FALSE(harness.actionsOf<StartHealthCheck>().empty());
  EXPECT_EQ(harness.actionsOf<StartHealthCheck>().front().endpoint, 2U);
  harness.healthCheckOk(2, Role::Replica, harness.now - 100 * kMs);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)), Endpoints{2});
}

TEST(AdvisoryRemoval, AnEndpointThatNeverAnsweredGetsHealthChecksOnly) {
  PolicyHarnessWithKnownGroup harness(settingsWithAdvisoryRemoval());
  harness.updateEndpoints({makeEndpoint(9)}, EndpointsChanged::Scope::Delta);
  harness.healthCheckFailed(9);
  for (int i = 0; i < 40; ++i) {
    harness.advance(500 * kMs);
    harness.reportUsualState();
    const auto id = harness.sendRequest(kEventualRead);
    ASSERT_EQ(harness.sentTo(id).size(), 1U);
    EXPECT_NE(harness.sentTo(id).at(0), 9U);
    if (!harness.actionsOf<StartHealthCheck>().empty()) harness.healthCheckFailed(9);
    harness.endAttempt(id, 0, AttemptOutcome::Ok, Role::Replica);
  }
}

TEST(AdvisoryRemoval, AnOldListDoesNotEndADrainButARestartDoes) {
  PolicyHarnessWithKnownGroup harness(settingsWithAdvisoryRemoval());
  harness.updateEndpoints({makeEndpoint(2, false, EndpointStatus::Draining)}, EndpointsChanged::Scope::Delta);
  harness.updateEndpoints({makeEndpoint(1, true), makeEndpoint(3)});
  harness.updateEndpoints({makeEndpoint(1, true), makeEndpoint(2), makeEndpoint(3)});
  for (int i = 0; i < 6; ++i) EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)), Endpoints{3});
  harness.updateEndpoints({makeEndpoint(2, false, EndpointStatus::Ready, harness.now - 60 * kS)},
                          EndpointsChanged::Scope::Delta);
  bool used = false;
  for (int i = 0; i < 6; ++i)
    used = used || harness.sentTo(harness.sendRequest(kEventualRead)) == Endpoints{2};
  EXPECT_TRUE(used);
}

TEST(AdvisoryRemoval, AnEndpointListedAgainStartsNoNewSlowStart) {
  PolicySettings settings = settingsWithAdvisoryRemoval();
  settings.slowStartDuration = 100 * kS;
  PolicyHarness harness(settings);
  harness.updateEndpoints(
      {makeEndpoint(1, true), makeEndpoint(2, false, EndpointStatus::Ready, harness.now - 200 * kS)});
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.healthCheckOk(2, Role::Replica, harness.now);
  harness.updateEndpoints({makeEndpoint(2, false, EndpointStatus::Removed)}, EndpointsChanged::Scope::Delta);
  harness.updateEndpoints({makeEndpoint(2, false, EndpointStatus::Ready, harness.now - 300 * kS)},
                          EndpointsChanged::Scope::Delta);
  for (int i = 0; i < 6; ++i) EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)), Endpoints{2});
}

TEST(AdvisoryRemoval, UnlistedEndpointsAreForgottenAfterAnHourAndTheirDrainsWithThem) {
  PolicyHarnessWithKnownGroup harness(settingsWithAdvisoryRemoval());
  harness.updateEndpoints({makeEndpoint(2, false, EndpointStatus::Draining)}, EndpointsChanged::Scope::Delta);
  harness.now += 1800 * kS;
  harness.updateEndpoints({makeEndpoint(2)},
                          EndpointsChanged::Scope::Delta);  // may be an old list: the drain goes on
  for (int i = 0; i < 6; ++i) EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)), Endpoints{3});
  harness.updateEndpoints({makeEndpoint(1, true), makeEndpoint(3)});
  harness.now += 3700 * kS;
  harness.updateEndpoints({makeEndpoint(1, true), makeEndpoint(3)});
  harness.updateEndpoints({makeEndpoint(2)},
                          EndpointsChanged::Scope::Delta);  // forgotten by now: added as a new endpoint
  harness.healthCheckOk(2, Role::Replica, harness.now);
  bool used = false;
  for (int i = 0; i < 6; ++i)
    used = used || harness.sentTo(harness.sendRequest(kEventualRead)) == Endpoints{2};
  EXPECT_TRUE(used);
}

}  // namespace
}  // namespace heathflow::test
