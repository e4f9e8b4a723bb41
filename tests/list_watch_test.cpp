// Endpoint lists that arrive late, incomplete, from a new address or not at all.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "race_test.h"

namespace heathflow::test {
namespace {

// Reloads the configuration with another address of the list service.
void moveTo(GatewayRig& rig, const transport::SocketAddress& address) {
  program::Config fresh = rig.config;
  fresh.discovery = address;
  rig.gateway->reload(fresh);
}

std::string withoutLength(const std::string& body) { return "HTTP/1.1 200 OK\r\n\r\n" + body; }

// Guards against the use of an incomplete list: a response without a length is complete when its connection
// is closed, but not when it is reset.
TEST(EndpointListResponses, WithoutALengthAreCompleteAtACloseButNotAtAReset) {
  GatewayRig rig;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  PlainListener service(rig.loop);
  moveTo(rig, service.socketAddress());
  auto call = service.next();
  ASSERT_TRUE(call && call->reads("\r\n\r\n"));
  // The list lacks two endpoints. Body and reset arrive before the next turn of the event loop.
  const std::uint64_t before = rig.counters().listUpdatesApplied;
  ASSERT_TRUE(call->send(withoutLength(rig.discovery.document(true, "[" + rig.entryOf(0) + "]"))));
  call->resetNow();
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 1; }));
  EXPECT_EQ(rig.counters().listUpdatesApplied, before);
  call = service.next();
  ASSERT_TRUE(call && call->reads("\r\n\r\n"));
  ASSERT_TRUE(call->send(withoutLength(rig.discovery.document(true, "[" + rig.entryOf(0) + "]"))));
  call->hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().listUpdatesApplied == before + 1; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 1U);
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 1U);
}

// The list does not fit into one read, and its connection is closed right after it.
TEST(EndpointListResponses, LongerThanOneReadAreTakenCompletelyWhenTheirConnectionCloses) {
  GatewayRig rig;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  std::string entries = rig.entryOf(0);
  for (int i = 0; i < 2000; ++i)
    entries += ",\n        " + entry("s" + std::to_string(i), "127.0.0.9:1", false);
  for (const bool withLength : {false, true}) {
    PlainListener service(rig.loop);
    moveTo(rig, service.socketAddress());
    auto call = service.next();
    ASSERT_TRUE(call && call->reads("\r\n\r\n"));
    const std::string body = rig.discovery.document(true, "[" + entries + "]");
    ASSERT_GT(body.size(), 200'000U);
    const std::uint64_t before = rig.counters().listUpdatesApplied;
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    ASSERT_TRUE(
        call->send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + (withLength ? length : "") + "\r\n" + body));
    call->hangUp();
    ASSERT_TRUE(rig.until(
        [&] { return rig.counters().listUpdatesApplied > before || rig.counters().discoveryFailures > 0; }));
    EXPECT_EQ(rig.counters().discoveryFailures, 0U);
  }
}

// Pushed lists also arrive through a watch.
TEST(EndpointListResponses, ThatArePushedAreWatchedFromTheStart) {
  GatewayOptions options;
  options.discovery = "push";
  GatewayRig rig(options);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "," + rig.entryOf(2, "Terminating") + "]");
  ASSERT_TRUE(rig.until([&] { return rig.counters().listUpdatesApplied >= 3; }));
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
  EXPECT_TRUE(rig.endpoints[2]->statements.empty());
}

// A watch with a wait of 5 s gets no response. The gateway counts as notified of the changes it misses 2 s
// after the wait, so that the next call has to be made before that.
TEST(EndpointListResponses, OfAWatchThatTimesOutAreRequestedAgainBeforeTheDeadline) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const transport::Micros silentFrom = rig.discovery.calledAt.back();
  Line* silent = std::exchange(rig.discovery.waiting, nullptr);
  rig.discovery.changes = "[" + rig.entryOf(1, "Terminating") + "]";
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

// The call after the watch gets no response either.
TEST(EndpointListResponses, OfTwoCallsThatTimeOutAreRequestedAgainWithinSixSeconds) {
  GatewayRig rig(byHand(4'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const transport::Micros silentFrom = rig.discovery.calledAt.back();
  rig.discovery.waiting = nullptr;
  rig.discovery.silent = true;
  const std::size_t calls = rig.discovery.calls.size();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() >= calls + 2; }));
  EXPECT_LE(rig.discovery.calledAt.back(), silentFrom + 6 * kSecond - kSecond / 4);
}

// The rest of an incomplete list, which arrives later, is not taken for part of the next one.
TEST(EndpointListResponses, ThatStopHalfwayAreNotUsed) {
  GatewayRig rig(byHand(4'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  Line* line = std::exchange(rig.discovery.waiting, nullptr);
  ++rig.discovery.revision;
  const std::string complete =
      DiscoveryStandIn::response(rig.discovery.document(false, "[" + rig.entryOf(1, "Terminating") + "]"));
  const std::uint64_t before = rig.counters().listUpdatesApplied;
  line->say(complete.substr(0, complete.size() - 1));
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 1; }));
  EXPECT_EQ(rig.counters().listUpdatesApplied, before);
  line->say(complete.substr(complete.size() - 1));
  ASSERT_TRUE(rig.until([&] { return rig.counters().listUpdatesApplied > before; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 1U);
  EXPECT_NE(rig.discovery.calls[rig.discovery.calls.size() - 2].find("since=1&"), std::string::npos)
      << "the revision of the incomplete list is not used";
}

// The response arrives in the same turn of the event loop as its timeout.
TEST(EndpointListResponses, ThatArriveTogetherWithTheirTimeoutAreTaken) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const std::uint64_t before = rig.counters().listUpdatesApplied;
  rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "]");
  rig.loop.clock().advanceTo(rig.loop.now() + 10 * kSecond);
  ASSERT_TRUE(rig.until([&] { return rig.counters().listUpdatesApplied > before; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 0U);
}

// The list of a dedicated agent counts as soon as the agent is back, so that the backoff must not grow.
TEST(EndpointListResponses, ThatArePushedAreRequestedSoonHoweverLongTheAgentWasAway) {
  GatewayOptions options = byHand(60'000);
  options.discovery = "push";
  GatewayRig rig(options, 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.discovery.waiting = nullptr;
  rig.discovery.shut();
  const transport::Micros wentAway = rig.loop.now();
  ASSERT_TRUE(rig.until([&] { return rig.loop.now() > wentAway + 8 * kSecond; }));
  const std::size_t calls = rig.discovery.calls.size();
  rig.discovery.reopen();
  const transport::Micros back = rig.loop.now();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() > calls; }));
  EXPECT_LE(rig.discovery.calledAt.back(), back + kSecond / 4 + kSecond / 50);
}

// The list service moves, and the first call to its new address gets no response. The gateway counts as
// notified of the new list 4 s after the move.
TEST(EndpointListResponses, FromANewAddressWhoseFirstCallTimesOutArriveWithinFourSeconds) {
  GatewayRig rig(byHand(20'000), 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  DiscoveryStandIn service(rig.loop);
  service.endpoints = rig.discovery.endpoints;
  service.revision = 0;  // revisions of two services are independent
  service.silent = true;
  const transport::Micros moved = rig.loop.now();
  moveTo(rig, service.socketAddress());
  ASSERT_TRUE(rig.until([&] { return service.calls.size() == 1; }));
  service.silent = false;
  ASSERT_TRUE(rig.until([&] { return service.waiting != nullptr; }));
  EXPECT_LE(service.calledAt[1], moved + 4 * kSecond - kSecond / 4);
  EXPECT_EQ(service.calls[1], "GET /v1/endpoints HTTP/1.1") << "the complete list";
  EXPECT_TRUE(rig.until([&] { return rig.discovery.openLines() == 0; }));
}

// After two moves in one turn of the event loop the last one counts. A move to the current address changes
// nothing.
TEST(EndpointListResponses, FollowTheLastOfTwoMoves) {
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
  // After a move back the old revision is not used.
  const std::size_t first = rig.discovery.calls.size();
  moveTo(rig, rig.discovery.socketAddress());
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() > first; }));
  EXPECT_EQ(rig.discovery.calls.back(), "GET /v1/endpoints HTTP/1.1");
}

}  // namespace
}  // namespace heathflow::test
