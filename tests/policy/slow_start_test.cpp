// Tests the limited share of requests that an endpoint gets after its start.
#include <gtest/gtest.h>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

// Sends reads to a group and returns the number of attempts at endpoint 3, which end with `coldOutcome`.
int attemptsAtEndpoint3(PolicyHarness& harness, AttemptOutcome coldOutcome, int requests,
                        Micros elapsed = 10 * kMs) {
  int sent = 0;
  for (int i = 0; i < requests; ++i) {
    harness.now += 10 * kMs;
    harness.healthCheckOk(1, Role::Primary, harness.now);
    harness.healthCheckOk(2, Role::Replica, harness.now);
    harness.healthCheckOk(3, Role::Replica, harness.now);
    // Two reads at a time, so that both replicas get some.
    const RequestId reads[] = {harness.sendRequest(kEventualRead), harness.sendRequest(kEventualRead)};
    for (const RequestId read : reads) {
      for (std::uint32_t n = 0; n < harness.sentTo(read).size(); ++n) {
        const bool cold = harness.sentTo(read)[n] == 3;
        sent += cold ? 1 : 0;
        harness.endAttempt(read, n, cold ? coldOutcome : AttemptOutcome::Ok, Role::Replica, {}, elapsed);
      }
    }
    harness.clearActions();
  }
  return sent;
}

TEST(SlowStart, AStartedEndpointGetsLessThanAWarmOne) {
  PolicyHarnessWithKnownGroup harness;
  attemptsAtEndpoint3(harness, AttemptOutcome::Ok, 400);
  harness.now += 8 * kS;  // it was down for a while
  harness.updateEndpoints({makeEndpoint(3, false, EndpointStatus::Ready, harness.now)},
                          EndpointsChanged::Scope::Delta);
  const int early = attemptsAtEndpoint3(harness, AttemptOutcome::Ok, 40);
  harness.now += 12 * kS;
  attemptsAtEndpoint3(harness, AttemptOutcome::Ok, 40);
  const int warm = attemptsAtEndpoint3(harness, AttemptOutcome::Ok, 400);
  EXPECT_GT(early, 0);
  EXPECT_LT(early, 36);
  EXPECT_GT(warm, 300);
}

TEST(SlowStart, RejectedAttemptsCountTowardsTheLimit) {
  PolicyHarnessWithKnownGroup harness;
  attemptsAtEndpoint3(harness, AttemptOutcome::Ok, 400);
  harness.now += 8 * kS;  // it was down for a while
  harness.updateEndpoints({makeEndpoint(3, false, EndpointStatus::Ready, harness.now)},
                          EndpointsChanged::Scope::Delta);
  // The limit is the allowed multiple of its capacity per window: at full capacity it answered 50 reads per
  // second, and in slow start it has a fifth to a third of that.
  EXPECT_LE(attemptsAtEndpoint3(harness, AttemptOutcome::Overloaded, 200), 100);
}

TEST(SlowStart, AnEndpointThatCrashedWarmsUpBeforeTheListReportsIt) {
  const auto sentAfter = [](AttemptOutcome outcome) {
    PolicyHarnessWithKnownGroup harness;
    attemptsAtEndpoint3(harness, AttemptOutcome::Ok, 400, 100 * kMs);
    RequestId read = 0;
    do read = harness.sendRequest(kEventualRead);
    while (harness.sentTo(read).at(0) != 3);
    harness.endAttempt(read, 0, outcome);
    harness.healthCheckFailed(3);
    harness.now += 6 * kS;
    harness.healthCheckOk(3, Role::Replica, harness.now);
    harness.clearActions();
    return attemptsAtEndpoint3(harness, AttemptOutcome::Ok, 40, 100 * kMs);
  };
  EXPECT_LT(sentAfter(AttemptOutcome::ConnectionReset), 32);
  EXPECT_GT(sentAfter(AttemptOutcome::ConnectFailed), 34);  // an unreachable endpoint has not restarted
}

TEST(SlowStart, LimitsPrimariesToo) {
  PolicyHarness harness;
  harness.updateEndpoints({makeEndpoint(1, false, EndpointStatus::Ready, harness.now), makeEndpoint(2)});
  harness.healthCheckOk(1, Role::Primary, harness.now);
  for (int i = 0; i < 20; ++i) harness.sendRequest(kUnsafeWrite);
  EXPECT_LE(harness.actionsOf<SendAttempt>().size(), 1U);
}

}  // namespace
}  // namespace heathflow::test
