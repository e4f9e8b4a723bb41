// Tests when an endpoint is ejected for failures and how it returns.
#include <gtest/gtest.h>

#include <algorithm>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

// Failure: one malformed answer ejects a primary and starts its slow start.
TEST(OutlierDetection, AnEndpointIsEjectedOnlyForConsecutiveMalformedAnswers) {
  PolicyHarnessWithKnownGroup harness;
  for (int i = 0; i < 6; ++i) {
    const auto write = harness.sendRequest(kUnsafeWrite);
    ASSERT_EQ(harness.sentTo(write), Endpoints{1}) << i;
    // Every other answer is malformed, and its write may have run.
    harness.endAttempt(write, 0, i % 2 == 0 ? AttemptOutcome::Malformed : AttemptOutcome::Ok);
    EXPECT_EQ(harness.failures(write), i % 2 == 0 ? 1 : 0);
  }
  for (int i = 0; i < 3; ++i) {
    const auto write = harness.sendRequest(kUnsafeWrite);
    ASSERT_EQ(harness.sentTo(write), Endpoints{1}) << i;
    harness.endAttempt(write, 0, AttemptOutcome::Malformed);
  }
  EXPECT_TRUE(harness.sentTo(harness.sendRequest(kUnsafeWrite)).empty());
}

TEST(OutlierDetection, ADelayOfTheClientDoesNotCountAgainstTheEndpoint) {
  PolicyHarnessWithKnownGroup harness;
  for (int i = 0; i < 20; ++i) {
    const auto write = harness.sendRequest(kUnsafeWrite);
    ASSERT_EQ(harness.sentTo(write), Endpoints{1}) << i;
    harness.handle(ResponsePartForwarded{write, 0});
    harness.endAttempt(write, 0, i % 2 == 0 ? AttemptOutcome::Abandoned : AttemptOutcome::Cancelled);
    harness.advance(10 * kMs);
  }
  EXPECT_EQ(harness.healthChecks(), 0U);
}

TEST(OutlierDetection, AnUnreachableEndpointIsEjectedAndReturnsByATrialRequest) {
  PolicyHarnessWithKnownGroup harness;
  RequestId read = 0;
  do read = harness.sendRequest(kEventualRead);
  while (harness.sentTo(read).at(0) != 2);
  harness.endAttempt(read, 0, AttemptOutcome::ConnectFailed);
  harness.healthCheckFailed(2);
  harness.clearActions();
  for (int i = 0; i < 4; ++i) EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)), Endpoints{3});
  harness.now += 5 * kS;
  harness.clearActions();
  for (int i = 0; i < 6; ++i) harness.sendRequest(kEventualRead);
  const auto sent = harness.actionsOf<SendAttempt>();
  EXPECT_EQ(std::count_if(sent.begin(), sent.end(), [](const SendAttempt& a) { return a.endpoint == 2; }), 1);
}

// Failure: one broken connection ejects a primary and starts its slow start.
TEST(OutlierDetection, ABrokenConnectionEjectsOnlyUntilAHealthCheckAnswers) {
  for (const AttemptOutcome outcome : {AttemptOutcome::ConnectionReset, AttemptOutcome::ConnectFailed}) {
    PolicyHarnessWithKnownGroup harness;
    for (int i = 0; i < 40; ++i)
      harness.endAttempt(harness.sendRequest(kUnsafeWrite), 0, AttemptOutcome::Ok, Role::Primary);
    harness.reportUsualState();
    for (int i = 0; i < 10; ++i) {
      harness.clearActions();
      const auto broken = harness.sendRequest(kUnsafeWrite);
      ASSERT_EQ(harness.sentTo(broken), Endpoints{1}) << i;
      harness.endAttempt(broken, 0, outcome, {}, {}, kMs);
      EXPECT_EQ(harness.healthChecks(), 1U);
      const auto next = harness.sendRequest(kUnsafeWrite);
      EXPECT_TRUE(harness.sentTo(next).empty());
      harness.now += 2 * kMs;
      harness.healthCheckOk(1, Role::Primary, harness.now);
      EXPECT_EQ(harness.sentTo(next), Endpoints{1});
      harness.endAttempt(next, 0, AttemptOutcome::Ok, Role::Primary);
      const auto tries = static_cast<std::uint32_t>(harness.sentTo(broken).size());
      if (tries == 2) harness.endAttempt(broken, 1, AttemptOutcome::Ok, Role::Primary);
      // There is no slow start: later writes are sent at once.
      for (int n = 0; n < 4; ++n) {
        const auto more = harness.sendRequest(kUnsafeWrite);
        ASSERT_EQ(harness.sentTo(more), Endpoints{1}) << i << " " << n;
        harness.endAttempt(more, 0, AttemptOutcome::Ok, Role::Primary);
      }
    }
  }
}

TEST(OutlierDetection, IdleConnectionsAreClosedWhileALivingEndpointRejectsConnections) {
  PolicyHarness harness;
  harness.listUsualGroup();
  harness.endAttempt(harness.sendRequest(kEventualRead), 0, AttemptOutcome::Ok, Role::Replica);
  harness.reportUsualState();
  const auto rejected = harness.sendRequest(kEventualRead);
  const EndpointId endpoint = harness.sentTo(rejected).at(0);
  harness.endAttempt(rejected, 0, AttemptOutcome::ConnectFailed, {}, {}, kMs);
  EXPECT_TRUE(harness.actionsOf<CloseIdleConnections>().empty());  // it may be down: a health check decides
  harness.healthCheckOk(endpoint, Role::Replica, harness.now - 100 * kMs);
  harness.endAttempt(harness.sendRequest(kUnsafeWrite), 0, AttemptOutcome::Ok, Role::Primary, harness.now);
  ASSERT_EQ(harness.actionsOf<CloseIdleConnections>().size(), 1U);
  EXPECT_EQ(harness.actionsOf<CloseIdleConnections>()[0].endpoint, 1U);
  harness.advance(20 * kS);
  harness.clearActions();
  harness.endAttempt(harness.sendRequest(kUnsafeWrite), 0, AttemptOutcome::Ok, Role::Primary, harness.now);
  EXPECT_TRUE(harness.actionsOf<CloseIdleConnections>().empty());
}

TEST(OutlierDetection, SlowOrDeadEndpointsAreNotTakenForOnesOutOfConnections) {
  for (const bool slow : {true, false}) {
    PolicyHarness harness;
    harness.listUsualGroup();
    harness.endAttempt(harness.sendRequest(kEventualRead), 0, AttemptOutcome::Ok, Role::Replica);
    harness.reportUsualState();
    const auto read = harness.sendRequest(kEventualRead);
    const EndpointId endpoint = harness.sentTo(read).at(0);
    harness.endAttempt(read, 0, AttemptOutcome::ConnectFailed, {}, {}, slow ? 250 * kMs : kMs);
    if (slow) {
      harness.healthCheckOk(endpoint, Role::Replica, harness.now - 100 * kMs);
    } else {
      harness.healthCheckFailed(endpoint);
    }
    EXPECT_TRUE(harness.actionsOf<CloseIdleConnections>().empty());
  }
}

TEST(OutlierDetection, ASlowNetworkPathDoesNotEjectAPrimary) {
  PolicyHarnessWithKnownGroup harness;
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    harness.advance(2 * kS);
    harness.clearActions();
    harness.healthCheckOk(1, Role::Primary,
                          harness.now - 200 * kMs);  // its health checks are slow too, but succeed
    const auto write = harness.sendRequest(kUnsafeWrite);
    if (harness.sentTo(write).empty()) continue;
    ++served;
    ASSERT_EQ(harness.sentTo(write), Endpoints{1});
    harness.now += 600 * kMs;  // past the latency objective, with half of the value
    harness.endAttempt(write, 0, AttemptOutcome::Ok, Role::Primary, harness.now, 600 * kMs);
  }
  EXPECT_GE(served, 15);
}

TEST(OutlierDetection, NoEndpointIsEjectedWhereAllAreSlow) {
  PolicyHarnessWithKnownGroup harness;
  for (int i = 0; i < 12; ++i) {
    const auto read = harness.sendRequest(kEventualRead, 300 * kMs);
    harness.now += 300 * kMs;
    for (std::uint32_t n = 0; n < harness.sentTo(read).size(); ++n)
      harness.endAttempt(read, n, AttemptOutcome::TimedOut, {}, {}, 300 * kMs);
    harness.reportUsualState();
  }
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kEventualRead)).size(), 1U);
}

}  // namespace
}  // namespace heathflow::test
