// Endpoints that begin to drain while the list service rejects, is silent, or answers late: no request goes
// to one once its drain counts as told.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "crossing.h"

namespace heathflow::test {
namespace {

constexpr long kAskWithinMs = 10'000;

// One that drains: it turns health checks away, and serves what it is sent.
void drain(EndpointStandIn& endpoint) {
  endpoint.healthCheck = [&endpoint](Line& line, const std::string&) { line.say(endpoint.error("57P03")); };
}

bool pass(GatewayRig& rig, transport::Micros time) {
  const transport::Micros by = rig.loop.now() + time;
  return rig.until([&] { return rig.loop.now() >= by; });
}

std::size_t healthChecksAt(const GatewayRig& rig) {
  std::size_t out = 0;
  for (const auto& endpoint : rig.endpoints) out += endpoint->healthChecks;
  return out;
}

// The watch ends with the service's rejection, and from then on it rejects all.
void rejectAll(GatewayRig& rig) {
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.discovery.fails = true;
  std::exchange(rig.discovery.waiting, nullptr)->say(DiscoveryStandIn::response("", 503));
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures > 0; }));
}

// Every endpoint has a connection that stood while the list was true, 2 s before and later.
void meetAll(GatewayRig& rig) {
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  ClientStandIn one(rig.loop, rig.socketAddress), two(rig.loop, rig.socketAddress),
      three(rig.loop, rig.socketAddress);
  one.ask(request("any", "one"));
  two.ask(request("any", "two"));
  three.ask(request("save", "three"));
  for (ClientStandIn* client : {&one, &two, &three}) ASSERT_TRUE(client->answered());
  ASSERT_TRUE(pass(rig, 2 * kSecond));
  for (int lists = 0; lists < 2; ++lists) {
    const std::uint64_t before = rig.counters().listsTaken;
    std::exchange(rig.discovery.waiting, nullptr)
        ->say(DiscoveryStandIn::response(rig.discovery.document(false, "[]")));
    ASSERT_TRUE(
        rig.until([&] { return rig.counters().listsTaken > before && rig.discovery.waiting != nullptr; }));
  }
  for (auto& endpoint : rig.endpoints) {
    EXPECT_GE(endpoint->openLines(), 1U);
    endpoint->statements.clear();
  }
}

// The list has expired, and every endpoint has a connection from before.
void expireAll(GatewayRig& rig) {
  meetAll(rig);
  rejectAll(rig);
  ASSERT_TRUE(pass(rig, 6 * kSecond));
}

class DrainRule : public testing::TestWithParam<Speaks> {
 protected:
  static GatewayOptions speaking() {
    GatewayOptions out = byHand(kAskWithinMs);
    out.speaks = GetParam();
    return out;
  }
};
INSTANTIATE_TEST_SUITE_P(Protocols, DrainRule, kBoth, nameOf);

// Both replicas drain while every call is rejected: what comes 6 s later asks endpoints first, and goes to
// the one that says that it stays.
TEST_P(DrainRule, WhatCanNotBeHeardOfBindsSixSecondsLaterByTheEndpointsOwnWord) {
  GatewayRig rig(speaking());
  expireAll(rig);
  drain(*rig.endpoints[1]);
  drain(*rig.endpoints[2]);
  ASSERT_TRUE(pass(rig, 6 * kSecond));
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t answers = 0;
  for (int i = 0; i < 5; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(++answers));
  }
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
  EXPECT_TRUE(rig.endpoints[2]->statements.empty());
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 5U);
}

// Endpoints that stay are asked once in 6 s each at the most, however many requests come.
TEST_P(DrainRule, EndpointsThatStayServeOnAndAreAskedNoMoreThanOnceInSixSeconds) {
  GatewayRig rig(speaking());
  expireAll(rig);
  const std::size_t before = healthChecksAt(rig);
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t answers = 0;
  for (int i = 0; i < 20; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(++answers));
  }
  const std::size_t healthChecks = healthChecksAt(rig);
  EXPECT_EQ(rig.statements().size(), 20U);
  EXPECT_EQ(rig.counters().listsExpired, 1U) << "told once, however many calls fail";
  EXPECT_GE(healthChecks, before + 1);
  EXPECT_LE(healthChecks, before + rig.endpoints.size());
}

// One that answered a health check and begins to drain then: 6 s later its word is too old.
TEST_P(DrainRule, AnEndpointsOwnWordBindsNoLongerThanTheListsWould) {
  GatewayRig rig(speaking(), 2);
  expireAll(rig);
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t answers = 0;
  const auto ask = [&] {
    client.ask(request("any", "a" + std::to_string(answers)));
    return client.answered(++answers);
  };
  for (int i = 0; i < 8; ++i) ASSERT_TRUE(ask());
  const std::size_t before = rig.endpoints[1]->statements.size();
  EXPECT_GE(before, 1U);
  drain(*rig.endpoints[1]);
  ASSERT_TRUE(pass(rig, 6 * kSecond));
  for (int i = 0; i < 8; ++i) ASSERT_TRUE(ask());
  EXPECT_EQ(rig.endpoints[1]->statements.size(), before);
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 16U - before);
}

// Issue 47: an endpoint is removed and comes back while every call is rejected. It answers health checks at
// once, but its return is not told before the next list.
TEST_P(DrainRule, OneThatIsBackIsSentNothingBeforeTheNextList) {
  GatewayRig rig(speaking(), 2);
  expireAll(rig);
  rig.endpoints[1]->shut();
  ASSERT_TRUE(pass(rig, 3 * kSecond));
  rig.endpoints[1]->reopen();
  const transport::Micros backAt = rig.loop.now();
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t answers = 0;
  for (int i = 0; rig.loop.now() < backAt + 30 * kSecond; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(++answers));
    ASSERT_TRUE(pass(rig, kSecond / 2));
  }
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
  EXPECT_FALSE(rig.endpoints[0]->statements.empty());
  rig.discovery.fails = false;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  for (int i = 0; i < 20; ++i) {
    client.ask(request("any", "late" + std::to_string(i)));
    ASSERT_TRUE(client.answered(++answers));
  }
  EXPECT_FALSE(rig.endpoints[1]->statements.empty()) << "the list says that it is there";
}

// Chosen while the list counted, and written when it no longer does: the connection comes up too late.
TEST_P(DrainRule, WhatWaitedForItsConnectionIsAskedForOnceMore) {
  GatewayRig rig(speaking(), 2);
  rejectAll(rig);
  const transport::Micros rejectedAt = rig.loop.now();
  rig.endpoints[1]->welcomes = false;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(rig.until([&] { return rig.endpoints[1]->openLines() == 1; }));
  drain(*rig.endpoints[1]);
  ASSERT_TRUE(rig.until([&] { return rig.loop.now() >= rejectedAt + 7 * kSecond; }));
  rig.endpoints[1]->welcomeNow();
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.statements().empty()) << "neither has stood for long, so that nobody is sent it";
}

// With the next list the endpoints' own word is not asked for any more.
TEST_P(DrainRule, TheNextListCountsAgain) {
  GatewayRig rig(speaking());
  rejectAll(rig);
  ASSERT_TRUE(pass(rig, 6 * kSecond));
  rig.discovery.fails = false;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const std::size_t before = healthChecksAt(rig);
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  const std::size_t healthChecks = healthChecksAt(rig);
  EXPECT_EQ(healthChecks, before);
  EXPECT_TRUE(rig.endpoints[0]->statements.empty());
}

// Replicas began to drain before this process did, and its first call fails: the list that it was given is no
// reason any more to send to anybody, and nobody can show that he was there before.
TEST(FirstCalls, ThatFailLeaveNothingOfTheListGivenAtTheStart) {
  GatewayRig rig(byHand(kAskWithinMs));
  rig.discovery.fails = true;
  drain(*rig.endpoints[1]);
  drain(*rig.endpoints[2]);
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 1; }));
  ClientStandIn client(rig.loop, rig.socketAddress);
  for (std::size_t i = 1; i <= 10; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(i)) << "at once, and not held back";
    ASSERT_TRUE(pass(rig, kSecond));
  }
  EXPECT_TRUE(rig.statements().empty());
  rig.discovery.fails = false;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  client.ask(request("any", "listed"));
  ASSERT_TRUE(client.answered(11));
  EXPECT_EQ(rig.statements().size(), 1U);
}

// Where lists are pushed what the agent has counts from the first moment.
TEST(FirstCalls, OfAnAgentThatIsSilentLeaveNothingOfTheListGivenAtTheStart) {
  GatewayOptions options = byHand(kAskWithinMs);
  options.discovery = "push";
  GatewayRig rig(options, 2);
  rig.discovery.silent = true;
  ClientStandIn client(rig.loop, rig.socketAddress);
  for (std::size_t i = 1; i <= 10; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(i));
    ASSERT_TRUE(pass(rig, kSecond));
  }
  EXPECT_TRUE(rig.statements().empty());
}

// A rejected watch is over: its wait of 10 s is none.
TEST(RejectedWatches, EndTheirWait) {
  GatewayOptions options = byHand(kAskWithinMs);
  options.gateways = 300;
  GatewayRig rig(options, 2);
  // The service is slow, so that watches are long.
  rig.discovery.silent = true;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() == 1; }));
  ASSERT_TRUE(pass(rig, kSecond));
  rig.discovery.silent = false;
  rig.discovery.lines.front()->say(DiscoveryStandIn::response(rig.discovery.document(false, "[]")));
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  ASSERT_NE(rig.discovery.calls.back().find("timeout_ms=10000 "), std::string::npos);
  rejectAll(rig);
  drain(*rig.endpoints[1]);
  ASSERT_TRUE(pass(rig, 6 * kSecond));
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
}

// ---- Calls beside one another ----

// The service's line is long: the first call's answer comes after the second has gone out, and counts.
TEST(OverdueCalls, AreAnsweredAfterAll) {
  GatewayRig rig(byHand(kAskWithinMs), 2);
  rig.discovery.silent = true;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() == 2; }));
  ASSERT_EQ(rig.discovery.lines.size(), 2U);
  EXPECT_LE(rig.discovery.calledAt[1], rig.discovery.calledAt[0] + 2 * kSecond);
  EXPECT_FALSE(rig.discovery.lines.front()->ended);
  const std::uint64_t before = rig.counters().listsTaken;
  rig.discovery.silent = false;
  rig.discovery.lines.front()->say(
      DiscoveryStandIn::response(rig.discovery.document(false, "[" + rig.entryOf(1, "Terminating") + "]")));
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken > before; }));
  ASSERT_TRUE(rig.until([&] { return rig.discovery.lines.back()->ended; })) << "the later call is not wanted";
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EXPECT_EQ(rig.discovery.waiting, rig.discovery.lines.front().get()) << "the connection is kept";
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
}

// A service that never answers holds three connections of a gateway at the most, and one call after the other
// goes out within the time that leaves room for an answer.
TEST(OverdueCalls, AreThreeAtTheMostWithTheNewest) {
  GatewayRig rig(byHand(kAskWithinMs), 2);
  rig.discovery.silent = true;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() >= 8; }));
  EXPECT_LE(rig.discovery.openLines(), 3U);
  for (std::size_t i = 1; i < rig.discovery.calledAt.size(); ++i)
    EXPECT_LE(rig.discovery.calledAt[i] - rig.discovery.calledAt[i - 1], 1750'000);
  const std::uint64_t before = rig.counters().listsTaken;
  rig.discovery.silent = false;
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken > before; }));
}

// The newest fails, and one before it is answered while the next has yet to go out.
TEST(OverdueCalls, AreAnsweredWhileTheNextWaitsForItsTime) {
  GatewayRig rig(byHand(kAskWithinMs), 2);
  rig.discovery.silent = true;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() == 2; }));
  rig.discovery.lines.back()->say(DiscoveryStandIn::response("", 503));
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 2; }));
  rig.discovery.silent = false;
  const std::uint64_t before = rig.counters().listsTaken;
  rig.discovery.lines.front()->say(DiscoveryStandIn::response(rig.discovery.document(false, "[]")));
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken > before; }));
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EXPECT_EQ(rig.discovery.calls.size(), 3U) << "the call that was due is the watch";
}

// An overdue call is turned away: that was counted as it became overdue, and moves nothing.
TEST(OverdueCalls, ThatFailLaterAreForgotten) {
  GatewayRig rig(byHand(kAskWithinMs), 2);
  rig.discovery.silent = true;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() == 2; }));
  Line* first = rig.discovery.lines.front().get();
  first->say(DiscoveryStandIn::response("", 503));
  ASSERT_TRUE(rig.until([&] { return first->ended; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 1U);
  EXPECT_EQ(rig.discovery.calls.size(), 2U);
  rig.discovery.silent = false;
  const std::uint64_t before = rig.counters().listsTaken;
  rig.discovery.lines.back()->say(DiscoveryStandIn::response(rig.discovery.document(false, "[]")));
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken > before; }));
}

// ---- Health checks of one that drains ----

// A primary that drains turns health checks away; reads that need its word do not ask it again and again.
TEST(HealthChecksTurnedAway, AreNotRepeatedAtThePaceOfTheirAnswers) {
  GatewayOptions options = byHand(kAskWithinMs);
  options.viewConsistency = "fresh";
  GatewayRig rig(options, 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  drain(*rig.endpoints[0]);
  ASSERT_TRUE(pass(rig, 10 * kSecond));
  const std::size_t before = rig.endpoints[0]->healthChecks;
  const transport::Micros from = rig.loop.now();
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("view", "1", "", 4'000));
  ASSERT_TRUE(client.answered());
  const auto seconds = static_cast<std::size_t>((rig.loop.now() - from) / kSecond);
  EXPECT_LE(rig.endpoints[0]->healthChecks, before + 4 * (seconds + 1));
}

}  // namespace
}  // namespace heathflow::test
