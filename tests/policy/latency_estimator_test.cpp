// Tests the effect of the latency estimates of endpoints and request classes.
#include <gtest/gtest.h>

#include <map>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

TEST(LatencyEstimator, LatencyObjectivesTellWhichReadsAreLongBeforeAnyAnswer) {
  PolicySettings settings = makeSettings();
  settings.classes.push_back(makeClass(Consistency::Eventual, Idempotency::Idempotent, 4 * kS, 8 * kS, 0));
  const auto longRead = static_cast<std::uint32_t>(settings.classes.size() - 1);
  PolicyHarnessWithKnownGroup harness(settings);
  for (int i = 0; i < 20; ++i)
    harness.endAttempt(harness.sendRequest(kEventualRead), 0, AttemptOutcome::Ok, Role::Replica, {},
                       40 * kMs);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(harness.sentTo(harness.sendRequest(longRead)), Endpoints{2});
}

TEST(LatencyEstimator, ASlowEndpointGetsLessThanItsPeers) {
  PolicyHarnessWithKnownGroup harness;
  std::map<EndpointId, int> sent;
  for (int i = 0; i < 300; ++i) {
    harness.now += 10 * kMs;
    const auto read = harness.sendRequest(kEventualRead);
    const EndpointId endpoint = harness.sentTo(read).at(0);
    ++sent[endpoint];
    harness.endAttempt(read, 0, AttemptOutcome::Ok, Role::Replica, {}, endpoint == 2 ? 200 * kMs : 20 * kMs);
    harness.clearActions();
  }
  EXPECT_LT(sent[2] * 3, sent[3]);
}

TEST(LatencyEstimator, FastErrorsDoNotAttractTraffic) {
  PolicyHarnessWithKnownGroup harness;
  std::map<EndpointId, int> sent;
  for (int i = 0; i < 300; ++i) {
    harness.now += 10 * kMs;
    const auto read = harness.sendRequest(kEventualRead);
    for (std::uint32_t n = 0; n < harness.sentTo(read).size(); ++n) {
      const EndpointId endpoint = harness.sentTo(read)[n];
      ++sent[endpoint];
      const bool fails = endpoint == 2 && i % 3 == 0;
      harness.endAttempt(read, n, fails ? AttemptOutcome::Error : AttemptOutcome::Ok, Role::Replica, {},
                         endpoint == 2 ? 30 * kMs : 40 * kMs);
    }
    harness.clearActions();
  }
  EXPECT_LT(sent[2] * 2, sent[3]);
}

}  // namespace
}  // namespace heathflow::test
