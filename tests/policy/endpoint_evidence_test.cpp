// Tests the policy after the endpoint list has expired, when it may have missed a drain or a removal.
#include <gtest/gtest.h>

#include <algorithm>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

constexpr Micros kHealthCheckMaxAge = 6 * kS;
constexpr Micros kListAge = 8 * kS;  // since the list was last known to be valid

void expireList(PolicyHarness& harness) {
  harness.handle(EndpointListExpired{kHealthCheckMaxAge, harness.now - kListAge});
}

// All endpoints have been health checked, but too long ago to count as evidence.
struct HarnessWithExpiredList : PolicyHarnessWithKnownGroup {
  HarnessWithExpiredList() {
    advance(kHealthCheckMaxAge);
    expireList(*this);
  }
};

// The answer to a health check that was sent 1 ms ago, over a connection of the given age.
HealthCheckEnded answered(EndpointId endpoint, Micros connectionAge = 100 * kS) {
  HealthCheckEnded out;
  out.endpoint = endpoint;
  out.ok = true;
  out.elapsed = kMs;
  out.connectionAge = connectionAge;
  return out;
}

HealthCheckEnded failed(EndpointId endpoint) {
  HealthCheckEnded out;
  out.endpoint = endpoint;
  return out;
}

// Returns whether the reason of the last rejection is the expired list.
bool rejectedForExpiredList(PolicyHarness& harness) {
  const auto rejected = harness.actionsOf<RejectRequest>();
  return !rejected.empty() && rejected.back().reason == RejectReason::EndpointListExpired;
}

TEST(EndpointEvidence, WritesWaitForThePrimarysHealthCheck) {
  HarnessWithExpiredList harness;
  std::size_t seen = harness.healthChecks();
  const auto write = harness.sendRequest(kUnsafeWrite);
  EXPECT_TRUE(harness.sentTo(write).empty());
  EXPECT_EQ(newHealthChecks(harness, seen), Endpoints{1});
  harness.handle(answered(1));
  EXPECT_EQ(harness.sentTo(write), Endpoints{1});
}

TEST(EndpointEvidence, ReadsWaitForAReplicasHealthCheckAndAvoidDrainingOnes) {
  HarnessWithExpiredList harness;
  std::size_t seen = harness.healthChecks();
  const auto read = harness.sendRequest(kEventualRead);
  EXPECT_TRUE(harness.sentTo(read).empty());
  const Endpoints first = newHealthChecks(harness, seen);
  ASSERT_EQ(first.size(), 1U);
  ASSERT_NE(first[0], 1U);
  const EndpointId other = first[0] == 2 ? 3 : 2;
  harness.handle(refusing(first[0]));
  EXPECT_TRUE(harness.sentTo(read).empty());
  EXPECT_EQ(newHealthChecks(harness, seen), Endpoints{other});
  harness.handle(answered(other));
  EXPECT_EQ(harness.sentTo(read), Endpoints{other});
}

TEST(EndpointEvidence, EvidenceLastsAsLongAsTheHealthCheckMaxAge) {
  HarnessWithExpiredList harness;
  harness.handle(answered(1));
  harness.advance(kHealthCheckMaxAge - 2 * kMs);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{1});
  harness.advance(2 * kMs);
  const auto late = harness.sendRequest(kUnsafeWrite);
  EXPECT_TRUE(harness.sentTo(late).empty());
}

// Failure (review/9): an endpoint that drains answers health checks as ever, and is sent requests on an
// expired list although it has rejected those before.
TEST(EndpointEvidence, AnEndpointThatRejectsRequestsIsNotUsedHoweverItAnswersHealthChecks) {
  PolicyHarnessWithKnownGroup harness;
  const auto rejected = harness.sendRequest(kUnsafeWrite, kS);
  for (std::uint32_t attempt = 0; attempt < harness.sentTo(rejected).size(); ++attempt) {
    harness.endAttempt(rejected, attempt, AttemptOutcome::Overloaded);
    harness.advance(100 * kMs);
  }
  harness.advance(kS);
  ASSERT_EQ(harness.rejections(rejected), 1);
  expireList(harness);
  int forExpiredList = 0;
  for (int i = 0; i < 20; ++i) {
    harness.handle(answered(1));
    const auto write = harness.sendRequest(kUnsafeWrite);
    EXPECT_TRUE(harness.sentTo(write).empty());
    // Some are rejected on arrival, because the rejections before have made the gateway shed load.
    EXPECT_EQ(harness.rejections(write), 1) << "at once, because no health check can give evidence";
    forExpiredList += rejectedForExpiredList(harness) ? 1 : 0;
    harness.advance(kS);
  }
  EXPECT_GT(forExpiredList, 0);
  harness.updateEndpoints({}, EndpointsChanged::Scope::Delta);
  std::optional<RequestId> served;
  for (int i = 0; i < 20 && !served; ++i) {
    const auto write = harness.sendRequest(kUnsafeWrite);
    if (harness.sentTo(write) == Endpoints{1}) served = write;
  }
  EXPECT_TRUE(served) << "the next list ends the need for evidence";
}

// One that drains still serves what was sent before, so only a request that was sent later shows that it goes
// on.
TEST(EndpointEvidence, OnlyARequestSentAfterTheRejectedOneShowsThatTheEndpointGoesOn) {
  for (const bool servedIsLater : {false, true}) {
    PolicyHarnessWithKnownGroup harness;
    const auto first = harness.sendRequest(kUnsafeWrite);
    harness.advance(kMs);
    const auto second = harness.sendRequest(kUnsafeWrite);
    ASSERT_EQ(harness.sentTo(first), Endpoints{1});
    ASSERT_EQ(harness.sentTo(second), Endpoints{1});
    harness.endAttempt(servedIsLater ? first : second, 0, AttemptOutcome::Overloaded);
    harness.endAttempt(servedIsLater ? second : first, 0, AttemptOutcome::Ok, Role::Primary);
    expireList(harness);
    harness.handle(answered(1));
    const auto write = harness.sendRequest(kUnsafeWrite);
    EXPECT_EQ(harness.sentTo(write), servedIsLater ? Endpoints{1} : Endpoints{}) << servedIsLater;
  }
}

// A full queue is rejected for with the same code. The list was valid after that, without a drain.
TEST(EndpointEvidence, ARejectionBeforeTheNewestListSaysNothing) {
  PolicyHarnessWithKnownGroup harness;
  harness.endAttempt(harness.sendRequest(kUnsafeWrite), 0, AttemptOutcome::Overloaded);
  harness.advance(kListAge + kS);
  expireList(harness);
  harness.handle(answered(1));
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{1});
}

TEST(EndpointEvidence, TheNextListEndsTheNeedForEvidence) {
  HarnessWithExpiredList harness;
  harness.updateEndpoints({}, EndpointsChanged::Scope::Delta);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{1});
}

TEST(EndpointEvidence, AFailedDiscoveryCallDoesNotRenewTheList) {
  HarnessWithExpiredList harness;
  harness.updateEndpoints({}, EndpointsChanged::Scope::Failed);
  EXPECT_TRUE(harness.sentTo(harness.sendRequest(kUnsafeWrite)).empty());
}

// Failure: the endpoint answers, but may have been removed and restarted since the last list.
TEST(EndpointEvidence, AConnectionYoungerThanTheListIsNoEvidence) {
  HarnessWithExpiredList harness;
  harness.handle(answered(1, kListAge - kMs));
  const auto write = harness.sendRequest(kUnsafeWrite);
  EXPECT_TRUE(harness.sentTo(write).empty());
  EXPECT_TRUE(rejectedForExpiredList(harness)) << "at once, because no health check can give evidence";
}

// Failure: an endpoint that was removed and restarted while the list service was unreachable is used
// once its new connection is old enough.
TEST(EndpointEvidence, ALateConnectionIsNoEvidenceHoweverOldItGrows) {
  HarnessWithExpiredList harness;
  harness.handle(answered(1, kListAge - kMs));
  for (int i = 1; i <= 20; ++i) {
    harness.advance(kS);
    harness.handle(answered(1, kListAge - kMs + i * kS));
    const auto write = harness.sendRequest(kUnsafeWrite);
    EXPECT_TRUE(harness.sentTo(write).empty());
    EXPECT_TRUE(rejectedForExpiredList(harness));
  }
  harness.updateEndpoints({}, EndpointsChanged::Scope::Delta);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{1});
}

TEST(EndpointEvidence, NoEvidenceCountsWhereNoListWasEverReceived) {
  PolicyHarnessWithKnownGroup harness;
  harness.handle(EndpointListExpired{kHealthCheckMaxAge, std::nullopt});
  harness.handle(answered(1, 100 * kS));
  const auto write = harness.sendRequest(kUnsafeWrite);
  EXPECT_TRUE(harness.sentTo(write).empty());
  EXPECT_TRUE(rejectedForExpiredList(harness));
}

TEST(EndpointEvidence, HealthChecksUseTheOldestConnection) {
  HarnessWithExpiredList harness;
  harness.sendRequest(kUnsafeWrite);
  ASSERT_FALSE(harness.actionsOf<StartHealthCheck>().empty());
  EXPECT_TRUE(harness.actionsOf<StartHealthCheck>().back().onOldestConnection);
}

TEST(EndpointEvidence, AFailedHealthCheckEndsTheEvidence) {
  HarnessWithExpiredList harness;
  harness.handle(answered(1));
  ASSERT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{1});
  harness.handle(failed(1));
  harness.advance(5 * kS);
  const auto late = harness.sendRequest(kUnsafeWrite);
  EXPECT_TRUE(harness.sentTo(late).empty());
}

TEST(EndpointEvidence, ABrokenConnectionEndsTheEvidence) {
  HarnessWithExpiredList harness;
  harness.handle(answered(2));
  harness.handle(answered(3));
  const auto first = harness.sendRequest(kEventualRead);
  ASSERT_EQ(harness.sentTo(first).size(), 1U);
  const EndpointId broken = harness.sentTo(first)[0];
  harness.endAttempt(first, 0, AttemptOutcome::ConnectionReset);
  for (int i = 0; i < 5; ++i) {
    harness.advance(kS / 2);
    for (const EndpointId endpoint : harness.sentTo(harness.sendRequest(kEventualRead)))
      EXPECT_NE(endpoint, broken);
  }
}

TEST(EndpointEvidence, QueuedRequestsAreRejectedAtOnceWhereNoEvidenceCanCome) {
  PolicyHarnessWithKnownGroup harness;
  std::vector<RequestId> writes;
  for (int i = 0; i < 200; ++i) writes.push_back(harness.sendRequest(kUnsafeWrite));
  const std::size_t before = harness.actionsOf<RejectRequest>().size();
  const auto waiting =
      std::count_if(writes.begin(), writes.end(), [&](RequestId id) { return harness.sentTo(id).empty(); });
  ASSERT_GT(waiting, 0) << "the primary's concurrency limit is reached";
  expireList(harness);
  harness.handle(answered(1, 0));
  EXPECT_EQ(harness.actionsOf<RejectRequest>().size(), before + static_cast<std::size_t>(waiting));
}

// Without health checks nothing shows a drain or a removal that an expired list misses.
TEST(EndpointEvidence, NothingIsSentWhereHealthChecksAreForbidden) {
  PolicySettings settings = makeSettings();
  settings.healthChecksAllowed = false;
  PolicyHarness harness(settings);
  harness.listUsualGroup();
  expireList(harness);
  const auto write = harness.sendRequest(kUnsafeWrite);
  EXPECT_TRUE(harness.sentTo(write).empty());
  EXPECT_TRUE(rejectedForExpiredList(harness));
  const auto read = harness.sendRequest(kEventualRead);
  EXPECT_TRUE(harness.sentTo(read).empty());
  harness.updateEndpoints({}, EndpointsChanged::Scope::Delta);
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kUnsafeWrite)), Endpoints{1});
}

TEST(EndpointEvidence, AnAttemptIsCancelledWhereTheListExpiredBeforeItConnected) {
  PolicyHarnessWithKnownGroup harness;
  const auto read = harness.sendRequest(kEventualRead);
  ASSERT_EQ(harness.sentTo(read).size(), 1U);
  harness.advance(kHealthCheckMaxAge);
  expireList(harness);
  harness.handle(AttemptConnected{read, 0});
  EXPECT_EQ(harness.actionsOf<CancelAttempt>().size(), 1U);
}

}  // namespace
}  // namespace heathflow::test
