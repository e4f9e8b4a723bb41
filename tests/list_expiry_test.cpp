// What the decisions do once the list has not been confirmed for so long that a drain may have been missed.
#include <gtest/gtest.h>

#include "rig.h"

namespace heathflow::test {
namespace {

using Endpoints = std::vector<EndpointId>;

constexpr Micros kAnsweredWithin = 6 * kS;
constexpr Micros kStoodFor = 8 * kS;

// The list was true that long ago.
void expire(Rig& rig) { rig.feed(EndpointListExpired{kAnsweredWithin, rig.now - kStoodFor}); }

// All is known of the endpoints, but too long ago to say that they stay.
struct ExpiredRig : KnownRig {
  ExpiredRig() {
    pass(kAnsweredWithin);
    expire(*this);
  }
};

// An endpoint's answer to a health check that it was sent just now, over a connection that has stood for so
// long.
HealthCheckEnded staying(EndpointId endpoint, Micros stood = 100 * kS) {
  HealthCheckEnded out;
  out.endpoint = endpoint;
  out.ok = true;
  out.elapsed = kMs;
  out.connectionAge = stood;
  return out;
}

HealthCheckEnded unwilling(EndpointId endpoint) {
  HealthCheckEnded out;
  out.endpoint = endpoint;
  out.rejected = out.refusesNewWork = true;
  return out;
}

HealthCheckEnded failed(EndpointId endpoint) {
  HealthCheckEnded out;
  out.endpoint = endpoint;
  return out;
}

// Whether all that was asked for has been given up for the want of a list.
bool rejectedForTheList(Rig& rig) {
  const auto rejected = rig.all<RejectRequest>();
  return !rejected.empty() && rejected.back().reason == RejectReason::EndpointListExpired;
}

// The health checks sent since the last look, by endpoint.
Endpoints healthCheckedSince(Rig& rig, std::size_t& seen) {
  Endpoints out;
  const auto healthChecks = rig.all<StartHealthCheck>();
  for (; seen < healthChecks.size(); ++seen) out.push_back(healthChecks[seen].endpoint);
  return out;
}

TEST(ExpiredLists, WritesWaitForThePrimarysOwnWord) {
  ExpiredRig rig;
  std::size_t seen = rig.healthChecks();
  const auto write = rig.ask(kUnsafeWrite);
  EXPECT_TRUE(rig.sentTo(write).empty());
  EXPECT_EQ(healthCheckedSince(rig, seen), Endpoints{1});
  rig.feed(staying(1));
  EXPECT_EQ(rig.sentTo(write), Endpoints{1});
}

TEST(ExpiredLists, ReadsWaitForAReplicasOwnWordAndGoToNoneThatDrains) {
  ExpiredRig rig;
  std::size_t seen = rig.healthChecks();
  const auto read = rig.ask(kAny);
  EXPECT_TRUE(rig.sentTo(read).empty());
  const Endpoints first = healthCheckedSince(rig, seen);
  ASSERT_EQ(first.size(), 1U);
  ASSERT_NE(first[0], 1U);
  const EndpointId other = first[0] == 2 ? 3 : 2;
  rig.feed(unwilling(first[0]));
  EXPECT_TRUE(rig.sentTo(read).empty());
  EXPECT_EQ(healthCheckedSince(rig, seen), Endpoints{other});
  rig.feed(staying(other));
  EXPECT_EQ(rig.sentTo(read), Endpoints{other});
}

TEST(ExpiredLists, AnEndpointsWordLastsAsLongAsTheListsDoes) {
  ExpiredRig rig;
  rig.feed(staying(1));
  rig.pass(kAnsweredWithin - 2 * kMs);
  EXPECT_EQ(rig.sentTo(rig.ask(kUnsafeWrite)), Endpoints{1});
  rig.pass(2 * kMs);
  const auto late = rig.ask(kUnsafeWrite);
  EXPECT_TRUE(rig.sentTo(late).empty());
}

TEST(ExpiredLists, TheNextListCountsAgain) {
  ExpiredRig rig;
  rig.list({}, EndpointsChanged::Scope::Delta);
  EXPECT_EQ(rig.sentTo(rig.ask(kUnsafeWrite)), Endpoints{1});
}

TEST(ExpiredLists, AFailedCallIsNoNextList) {
  ExpiredRig rig;
  rig.list({}, EndpointsChanged::Scope::Failed);
  EXPECT_TRUE(rig.sentTo(rig.ask(kUnsafeWrite)).empty());
}

// The incident's own case (issue 47): an endpoint answers, but what stands there may have been removed and be
// back.
TEST(ExpiredLists, AnEndpointThatHasNotStoodForLongIsSentNothing) {
  ExpiredRig rig;
  rig.feed(staying(1, kStoodFor - kMs));
  const auto write = rig.ask(kUnsafeWrite);
  EXPECT_TRUE(rig.sentTo(write).empty());
  EXPECT_TRUE(rejectedForTheList(rig)) << "at once, for no probe can help";
}

// However long it stands: its return may not be told while the list service is away (soak 40001).
TEST(ExpiredLists, AnEndpointThatCameWhileTheListWasNotKnownToBeTrueIsSentNothingUntilTheNextList) {
  ExpiredRig rig;
  rig.feed(staying(1, kStoodFor - kMs));
  for (int i = 1; i <= 20; ++i) {
    rig.pass(kS);
    rig.feed(staying(1, kStoodFor - kMs + i * kS));
    const auto write = rig.ask(kUnsafeWrite);
    EXPECT_TRUE(rig.sentTo(write).empty());
    EXPECT_TRUE(rejectedForTheList(rig));
  }
  rig.list({}, EndpointsChanged::Scope::Delta);
  EXPECT_EQ(rig.sentTo(rig.ask(kUnsafeWrite)), Endpoints{1});
}

TEST(ExpiredLists, OfALifeThatHadNoListLeaveNobodyToSendTo) {
  KnownRig rig;
  rig.feed(EndpointListExpired{kAnsweredWithin, std::nullopt});
  rig.feed(staying(1, 100 * kS));
  const auto write = rig.ask(kUnsafeWrite);
  EXPECT_TRUE(rig.sentTo(write).empty());
  EXPECT_TRUE(rejectedForTheList(rig));
}

TEST(ExpiredLists, HealthChecksGoOverTheConnectionThatHasStoodLongest) {
  ExpiredRig rig;
  rig.ask(kUnsafeWrite);
  ASSERT_FALSE(rig.all<StartHealthCheck>().empty());
  EXPECT_TRUE(rig.all<StartHealthCheck>().back().onOldestConnection);
}

// Whatever broke: what answers afterwards has to stand for as long again.
TEST(ExpiredLists, AHealthCheckThatFailsEndsWhatAnEndpointHasShown) {
  ExpiredRig rig;
  rig.feed(staying(1));
  ASSERT_EQ(rig.sentTo(rig.ask(kUnsafeWrite)), Endpoints{1});
  rig.feed(failed(1));
  rig.pass(5 * kS);
  const auto late = rig.ask(kUnsafeWrite);
  EXPECT_TRUE(rig.sentTo(late).empty());
}

TEST(ExpiredLists, ABrokenConnectionEndsWhatAnEndpointHasShown) {
  ExpiredRig rig;
  rig.feed(staying(2));
  rig.feed(staying(3));
  const auto first = rig.ask(kAny);
  ASSERT_EQ(rig.sentTo(first).size(), 1U);
  const EndpointId broken = rig.sentTo(first)[0];
  rig.end(first, 0, AttemptOutcome::ConnectionReset);
  for (int i = 0; i < 5; ++i) {
    rig.pass(kS / 2);
    for (const EndpointId endpoint : rig.sentTo(rig.ask(kAny))) EXPECT_NE(endpoint, broken);
  }
}

// What is held as the list expires is not held back any longer.
TEST(ExpiredLists, WhatIsHeldForEndpointsThatCanShowNothingIsGivenUpAtOnce) {
  KnownRig rig;
  std::vector<RequestId> writes;
  for (int i = 0; i < 200; ++i) writes.push_back(rig.ask(kUnsafeWrite));
  const std::size_t before = rig.all<RejectRequest>().size();
  const auto waiting =
      std::count_if(writes.begin(), writes.end(), [&](RequestId id) { return rig.sentTo(id).empty(); });
  ASSERT_GT(waiting, 0) << "the primary has its limit";
  expire(rig);
  rig.feed(staying(1, 0));
  EXPECT_EQ(rig.all<RejectRequest>().size(), before + static_cast<std::size_t>(waiting));
}

// Where endpoints can't be checked nothing tells a drain or a removal that an expired list has missed.
TEST(ExpiredLists, WhereNoEndpointCanBeAskedNothingIsSent) {
  PolicySettings settings = makeSettings();
  settings.healthChecksAllowed = false;
  Rig rig(settings);
  rig.usualGroup();
  expire(rig);
  const auto write = rig.ask(kUnsafeWrite);
  EXPECT_TRUE(rig.sentTo(write).empty());
  EXPECT_TRUE(rejectedForTheList(rig));
  const auto read = rig.ask(kAny);
  EXPECT_TRUE(rig.sentTo(read).empty());
  rig.list({}, EndpointsChanged::Scope::Delta);
  EXPECT_EQ(rig.sentTo(rig.ask(kUnsafeWrite)), Endpoints{1});
}

// Placed while the list counted, and its connection comes up when it does not.
TEST(ExpiredLists, WhatWaitedForItsConnectionIsCalledBack) {
  KnownRig rig;
  const auto read = rig.ask(kAny);
  ASSERT_EQ(rig.sentTo(read).size(), 1U);
  rig.pass(kAnsweredWithin);
  expire(rig);
  rig.feed(AttemptConnected{read, 0});
  EXPECT_EQ(rig.all<CancelAttempt>().size(), 1U);
}

// Health checks that are turned away by an endpoint that wants nothing new are not repeated at their own
// pace.
TEST(HealthChecksTurnedAway, LeaveTheEndpointAloneForAWhile) {
  KnownRig rig;
  rig.pass(4 * kS);
  std::size_t seen = rig.healthChecks();
  const auto read = rig.ask(kFresh, 3 * kS);
  ASSERT_EQ(healthCheckedSince(rig, seen), Endpoints{1});
  std::size_t asked = 0;
  for (int i = 0; i < 100; ++i) {
    rig.feed(unwilling(1));
    rig.pass(10 * kMs);
    for (const EndpointId endpoint : healthCheckedSince(rig, seen)) asked += endpoint == 1 ? 1 : 0;
  }
  EXPECT_LE(asked, 5U);
  EXPECT_TRUE(rig.sentTo(read).empty());
}

}  // namespace
}  // namespace heathflow::test
