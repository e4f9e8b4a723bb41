// The gateway closes a client's connection while the client sends.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "race_test.h"

namespace heathflow::test {
namespace {

// Both orders of a request and the close: a request that is unread when the gateway is about to close is
// served. One that arrives after the close is neither forwarded nor answered by a reset, and the answer
// before it is complete.
TEST_P(ConnectionRace, ARequestDuringTheCloseIsServedOrDroppedAndNeverReset) {
  GatewayRig rig(speaking());
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value("the answer")); });
  PlainSocket early(rig.loop, rig.socketAddress);
  PlainSocket late(rig.loop, rig.socketAddress);
  ASSERT_TRUE(early.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "1"))));
  ASSERT_TRUE(late.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "2"))));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsServed == 2; }));
  // Neither client has read a byte. The loop does not turn between these lines.
  ASSERT_TRUE(early.send(askingOf(GetParam(), request("any", "3"))));
  rig.gateway->beginShutdown([] {});
  ASSERT_TRUE(late.send(askingOf(GetParam(), request("any", "4"))));
  EXPECT_TRUE(early.gone());
  EXPECT_TRUE(late.gone());
  // This send would fail after a reset.
  EXPECT_TRUE(late.send(askingOf(GetParam(), request("any", "5"))));
  for (PlainSocket* client : {&early, &late}) EXPECT_FALSE(client->reset);
  const auto answers = [](const std::string& bytes) {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = bytes.find("the answer", at)) != std::string::npos; ++at) ++count;
    return count;
  };
  EXPECT_EQ(answers(early.read()), 2U);
  EXPECT_EQ(answers(late.read()), 1U);
  std::size_t forwarded = 0;
  for (const std::string& statement : rig.statements()) {
    EXPECT_EQ(statement.find("id=4"), std::string::npos) << statement;
    EXPECT_EQ(statement.find("id=5"), std::string::npos) << statement;
    ++forwarded;
  }
  EXPECT_EQ(forwarded, 3U);
}

// Serves the client's first request, whose answer the client does not read, and starts the shutdown.
void shutDownWithAnUnreadAnswer(GatewayRig& rig, PlainSocket& client, bool& done) {
  ASSERT_TRUE(client.send(openingOf(rig.speaks) + askingOf(rig.speaks, request("any", "1"))));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsServed == 1; }));
  rig.gateway->beginShutdown([&] { done = true; });
}

// Many more requests arrive while the connection lingers: it is still closed without a reset, and the
// shutdown waits for it.
TEST_P(ConnectionRace, ShutdownWaitsForAClientThatKeepsWriting) {
  GatewayRig rig(speaking());
  PlainSocket client(rig.loop, rig.socketAddress);
  bool done = false;
  ASSERT_NO_FATAL_FAILURE(shutDownWithAnUnreadAnswer(rig, client, done));
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(client.send(askingOf(GetParam(), request("any", "x" + std::to_string(i)))));
    rig.loop.turn(0);
  }
  EXPECT_FALSE(done);
  EXPECT_TRUE(client.gone());
  EXPECT_FALSE(client.reset);
  EXPECT_EQ(rig.statements().size(), 1U);
  client.hangUp();
  EXPECT_TRUE(rig.until([&] { return done; }));
  EXPECT_EQ(rig.counters().descriptors, 1U) << "only the idle connection to the endpoint is left";
}

// Guards against a shutdown that never completes because a client neither reads nor closes.
TEST_P(ConnectionRace, ShutdownDoesNotWaitForeverForAClientThatNeverCloses) {
  GatewayRig rig(speaking());
  PlainSocket client(rig.loop, rig.socketAddress);
  bool done = false;
  ASSERT_NO_FATAL_FAILURE(shutDownWithAnUnreadAnswer(rig, client, done));
  EXPECT_TRUE(rig.until([&] { return done; }));
  EXPECT_TRUE(client.gone());
  EXPECT_FALSE(client.reset);
}

// Idle clients are evicted in the loop turn in which they send again.
TEST_P(ConnectionRace, AnEvictedClientIsNotResetAsItSends) {
  GatewayOptions options = speaking();
  options.sockets = 100;  // 60 after the reserve, half of them for clients
  GatewayRig rig(options);
  std::vector<std::unique_ptr<PlainSocket>> idle;
  for (int i = 0; i < 30; ++i) {
    idle.push_back(std::make_unique<PlainSocket>(rig.loop, rig.socketAddress));
    ASSERT_TRUE(
        idle.back()->send(openingOf(GetParam()) + askingOf(GetParam(), request("any", std::to_string(i)))));
    ASSERT_TRUE(
        rig.until([&] { return rig.counters().requestsServed == static_cast<std::uint64_t>(i) + 1; }));
  }
  ASSERT_TRUE(rig.until([&] { return rig.counters().idleClientsEvicted > 0; }));
  // All clients send at once, whether or not their connection lingers by now.
  for (std::size_t i = 0; i < idle.size(); ++i)
    (void)idle[i]->send(askingOf(GetParam(), request("any", "again" + std::to_string(i))));
  for (int i = 0; i < 5; ++i) rig.loop.turn(0);
  for (auto& client : idle) {
    (void)client->read();
    EXPECT_FALSE(client->reset);
    EXPECT_TRUE(client->send(askingOf(GetParam(), request("any", "more"))));
  }
  // A new client is still served, because lingering connections are closed first.
  ClientStandIn fresh(rig.loop, rig.socketAddress);
  fresh.ask(request("any", "fresh"));
  EXPECT_TRUE(fresh.answered());
  EXPECT_EQ(fresh.types(), "TDCZ");
}

INSTANTIATE_TEST_SUITE_P(Protocols, ConnectionRace, kBothProtocols, protocolName);

}  // namespace
}  // namespace heathflow::test
