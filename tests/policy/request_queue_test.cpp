// Tests requests that are queued in the gateway.
#include <gtest/gtest.h>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

TEST(RequestQueue, AQueueIsReleasedWithinTheNewPrimarysLimit) {
  PolicyHarness harness;
  harness.updateEndpoints({makeEndpoint(1), makeEndpoint(2)});
  for (int i = 0; i < 60; ++i) harness.sendRequest(kUnsafeWrite);
  harness.now += 10 * kMs;
  harness.clearActions();
  harness.healthCheckOk(2, Role::Primary, harness.now);
  EXPECT_GE(harness.actionsOf<SendAttempt>().size(), 1U);
  EXPECT_LE(harness.actionsOf<SendAttempt>().size(), 16U);
}

TEST(RequestQueue, AQueuedRequestIsRejectedOnceItsLatencyObjectiveIsMissed) {
  PolicyHarness harness;
  harness.updateEndpoints({makeEndpoint(1), makeEndpoint(2)});
  const auto read = harness.sendRequest(kStrongRead, kS);
  harness.advance(310 * kMs);  // a late answer has no value, and the latency objective is 300 ms
  EXPECT_EQ(harness.rejections(read), 1);
  EXPECT_EQ(harness.actionsOf<RejectRequest>().at(0).retryAfter, 500 * kMs);
}

TEST(RequestQueue, NothingIsSentForADisconnectedClient) {
  PolicyHarness harness;
  harness.updateEndpoints({makeEndpoint(1), makeEndpoint(2)});
  const auto write = harness.sendRequest(kUnsafeWrite);
  harness.handle(ClientDisconnected{write});
  harness.healthCheckOk(1, Role::Primary, harness.now);
  harness.advance(6 * kS);
  EXPECT_TRUE(harness.sentTo(write).empty());
  EXPECT_EQ(harness.rejections(write) + harness.failures(write), 0);
}

TEST(RequestQueue, RequestsOverTheLimitAreQueuedAndSentWhenOneEnds) {
  PolicyHarnessWithKnownGroup harness;
  std::vector<RequestId> reads;
  for (int i = 0; i < 40; ++i) reads.push_back(harness.sendRequest(kEventualRead));
  const auto sent = harness.actionsOf<SendAttempt>().size();
  EXPECT_LT(sent, 40U);
  EXPECT_EQ(harness.actionsOf<RejectRequest>().size(), 0U);
  harness.endAttempt(reads[0], 0, AttemptOutcome::Ok, Role::Replica);
  EXPECT_GT(harness.actionsOf<SendAttempt>().size(), sent);
}

}  // namespace
}  // namespace heathflow::test
