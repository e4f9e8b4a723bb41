// Lists of endpoints that come late, in halves, from a new place or not at all.
// docs/crossings.md lists the pairs.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "crossing.h"

namespace heathflow::test {
namespace {

// Moves a gateway's discovery to another place.
void moveTo(GatewayRig& rig, const transport::SocketAddress& place) {
  program::Config fresh = rig.config;
  fresh.discovery = place;
  rig.gateway->reload(fresh);
}

std::string withoutLength(const std::string& body) { return "HTTP/1.1 200 OK\r\n\r\n" + body; }

// A list whose response has no length: whole where the connection closes, nothing where it is reset, though
// what has come of it could be read as a list.
TEST(CrossingLists, WithoutALengthAreWholeAtACloseAndNothingAtAReset) {
  GatewayRig rig;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  PlainListener place(rig.loop);
  moveTo(rig, place.socketAddress());
  auto call = place.next();
  ASSERT_TRUE(call && call->reads("\r\n\r\n"));
  // As if the second and third endpoint were gone. Body and reset are there before the loop turns again.
  const std::uint64_t before = rig.counters().listsTaken;
  ASSERT_TRUE(call->send(withoutLength(rig.discovery.document(true, "[" + rig.entryOf(0) + "]"))));
  call->resetNow();
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 1; }));
  EXPECT_EQ(rig.counters().listsTaken, before);
  call = place.next();
  ASSERT_TRUE(call && call->reads("\r\n\r\n"));
  ASSERT_TRUE(call->send(withoutLength(rig.discovery.document(true, "[" + rig.entryOf(0) + "]"))));
  call->hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken == before + 1; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 1U);
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 1U);
}

// A list longer than what one read takes, with its close right behind it, both there in one turn.
TEST(CrossingLists, LongerThanOneReadAreTakenWholeWhenTheirConnectionCloses) {
  GatewayRig rig;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  std::string entries = rig.entryOf(0);
  for (int i = 0; i < 2000; ++i)
    entries += ",\n        " + entry("s" + std::to_string(i), "127.0.0.9:1", false);
  for (const bool withLength : {false, true}) {
    PlainListener place(rig.loop);
    moveTo(rig, place.socketAddress());
    auto call = place.next();
    ASSERT_TRUE(call && call->reads("\r\n\r\n"));
    const std::string body = rig.discovery.document(true, "[" + entries + "]");
    ASSERT_GT(body.size(), 200'000U);
    const std::uint64_t before = rig.counters().listsTaken;
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    ASSERT_TRUE(
        call->send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + (withLength ? length : "") + "\r\n" + body));
    call->hangUp();
    ASSERT_TRUE(rig.until(
        [&] { return rig.counters().listsTaken > before || rig.counters().discoveryFailures > 0; }));
    EXPECT_EQ(rig.counters().discoveryFailures, 0U);
  }
}

// Where the settings say that lists are pushed, a push comes over a watch all the same.
TEST(CrossingLists, ThatArePushedAreWatchedForFromTheStart) {
  GatewayOptions options;
  options.discovery = "push";
  GatewayRig rig(options);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "," + rig.entryOf(2, "Terminating") + "]");
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken >= 3; }));
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
  EXPECT_TRUE(rig.endpoints[2]->statements.empty());
}

// A watch falls silent right after its call. What it misses counts as told 2 s after its wait of 5 s, and the
// next call, on a new connection, has to bring it before.
TEST(CrossingLists, WhoseWatchFallsSilentAreAskedForAnewWithinTheTimeThatCounts) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const transport::Micros silentFrom = rig.discovery.calledAt.back();
  Line* silent = std::exchange(rig.discovery.waiting, nullptr);
  rig.discovery.news = "[" + rig.entryOf(1, "Terminating") + "]";
  const std::size_t calls = rig.discovery.calls.size();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() > calls; }));
  EXPECT_NE(rig.discovery.calls.back().find("timeout_ms=1 "), std::string::npos);
  EXPECT_GE(rig.discovery.calledAt.back(), silentFrom + 5 * kSecond);
  EXPECT_LE(rig.discovery.calledAt.back(), silentFrom + 7 * kSecond - kSecond / 4);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EXPECT_TRUE(silent->ended);
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
}

// The next call is silent as well: the one after it still comes within 6 s of the first silence.
TEST(CrossingLists, WhoseNextCallIsSilentTooAreAskedForWithinSixSeconds) {
  GatewayRig rig(byHand(4'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const transport::Micros silentFrom = rig.discovery.calledAt.back();
  rig.discovery.waiting = nullptr;
  rig.discovery.silent = true;
  const std::size_t calls = rig.discovery.calls.size();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() >= calls + 2; }));
  EXPECT_LE(rig.discovery.calledAt.back(), silentFrom + 6 * kSecond - kSecond / 4);
}

// Half a list and then nothing: it is no list, and the rest of it is no part of the next.
TEST(CrossingLists, ThatStopHalfwayAreNothing) {
  GatewayRig rig(byHand(4'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  Line* line = std::exchange(rig.discovery.waiting, nullptr);
  ++rig.discovery.revision;
  const std::string whole =
      DiscoveryStandIn::response(rig.discovery.document(false, "[" + rig.entryOf(1, "Terminating") + "]"));
  const std::uint64_t before = rig.counters().listsTaken;
  line->say(whole.substr(0, whole.size() - 1));
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 1; }));
  EXPECT_EQ(rig.counters().listsTaken, before);
  line->say(whole.substr(whole.size() - 1));
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken > before; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 1U);
  EXPECT_NE(rig.discovery.calls[rig.discovery.calls.size() - 2].find("since=1&"), std::string::npos)
      << "what the half list named as its revision is not held";
}

// The answer and its limit are both there in one turn.
TEST(CrossingLists, ThatComeInTheTurnOfTheirLimitAreTaken) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const std::uint64_t before = rig.counters().listsTaken;
  rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "]");
  rig.loop.clock().moveTo(rig.loop.now() + 10 * kSecond);
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken > before; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 0U);
}

// A push comes from an agent of the gateway's own, whose word counts at once when it is back: it is not left
// alone for longer the longer it was away.
TEST(CrossingLists, ThatArePushedAreAskedForSoonHoweverLongTheAgentWasAway) {
  GatewayOptions options = byHand(60'000);
  options.discovery = "push";
  GatewayRig rig(options, 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.discovery.waiting = nullptr;
  rig.discovery.shut();
  const transport::Micros gone = rig.loop.now();
  ASSERT_TRUE(rig.until([&] { return rig.loop.now() > gone + 8 * kSecond; }));
  const std::size_t calls = rig.discovery.calls.size();
  rig.discovery.reopen();
  const transport::Micros back = rig.loop.now();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() > calls; }));
  EXPECT_LE(rig.discovery.calledAt.back(), back + kSecond / 4 + kSecond / 50);
}

// A new configuration moves discovery, and the first call there gets no answer: what the new place has to say
// counts as told 4 s later.
TEST(CrossingLists, FromANewPlaceWhoseFirstCallIsSilentComeWithinFourSeconds) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  DiscoveryStandIn place(rig.loop);
  place.endpoints = rig.discovery.endpoints;
  place.revision = 0;  // its revisions are its own
  place.silent = true;
  const transport::Micros moved = rig.loop.now();
  moveTo(rig, place.socketAddress());
  ASSERT_TRUE(rig.until([&] { return place.calls.size() == 1; }));
  place.silent = false;
  ASSERT_TRUE(rig.until([&] { return place.waiting != nullptr; }));
  EXPECT_LE(place.calledAt[1], moved + 4 * kSecond - kSecond / 4);
  EXPECT_EQ(place.calls[1], "GET /v1/endpoints HTTP/1.1") << "the whole list";
  EXPECT_TRUE(rig.until([&] { return rig.discovery.openLines() == 0; }));
}

// Two new configurations in one turn, and one that names the place it has: the last one counts, what the one
// between would have said is nothing, and a watch that stands is left alone.
TEST(CrossingLists, FollowTheLastOfTwoNewConfigurations) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  DiscoveryStandIn between(rig.loop);
  between.endpoints = "[" + rig.entryOf(0) + "]";
  DiscoveryStandIn last(rig.loop);
  last.endpoints = rig.discovery.endpoints;
  moveTo(rig, between.socketAddress());
  moveTo(rig, last.socketAddress());
  ASSERT_TRUE(rig.until([&] { return last.waiting != nullptr; }));
  EXPECT_TRUE(between.calls.empty());
  const std::size_t calls = last.calls.size();
  moveTo(rig, last.socketAddress());
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(rig.endpoints[1]->statements.size(), 1U) << "the replica is still known";
  EXPECT_EQ(last.calls.size(), calls);
  // And back to where it came from: its old revision is not asked from.
  const std::size_t first = rig.discovery.calls.size();
  moveTo(rig, rig.discovery.socketAddress());
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() > first; }));
  EXPECT_EQ(rig.discovery.calls.back(), "GET /v1/endpoints HTTP/1.1");
}

}  // namespace
}  // namespace heathflow::test
