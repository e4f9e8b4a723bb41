// A connection to a client is closed as something comes on it. docs/crossings.md lists the pairs.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "crossing.h"

namespace heathflow::test {
namespace {

// Both orders: what stands unread when the gateway would close is served; what comes behind its close is
// neither sent on nor answered by a reset, and the answer before it is read whole.
TEST_P(ClosingRule, ARequestThatCrossesTheCloseIsServedOrDroppedAndNeverReset) {
  GatewayRig rig(speaking());
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value("the answer")); });
  PlainSocket early(rig.loop, rig.socketAddress);
  PlainSocket late(rig.loop, rig.socketAddress);
  ASSERT_TRUE(early.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "1"))));
  ASSERT_TRUE(late.send(openingOf(GetParam()) + askingOf(GetParam(), request("any", "2"))));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsServed == 2; }));
  // Neither has read a byte. No turn of the loop lies between these lines.
  ASSERT_TRUE(early.send(askingOf(GetParam(), request("any", "3"))));
  rig.gateway->drain([] {});
  ASSERT_TRUE(late.send(askingOf(GetParam(), request("any", "4"))));
  EXPECT_TRUE(early.gone());
  EXPECT_TRUE(late.gone());
  // A reset would show here, if not in what is read.
  EXPECT_TRUE(late.send(askingOf(GetParam(), request("any", "5"))));
  for (PlainSocket* client : {&early, &late}) EXPECT_FALSE(client->reset);
  const auto answers = [](const std::string& bytes) {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = bytes.find("the answer", at)) != std::string::npos; ++at) ++count;
    return count;
  };
  EXPECT_EQ(answers(early.read()), 2U);
  EXPECT_EQ(answers(late.read()), 1U);
  std::size_t sentOn = 0;
  for (const std::string& statement : rig.statements()) {
    EXPECT_EQ(statement.find("id=4"), std::string::npos) << statement;
    EXPECT_EQ(statement.find("id=5"), std::string::npos) << statement;
    ++sentOn;
  }
  EXPECT_EQ(sentOn, 3U);
}

// The client's first request is served, its answer is not read, and the gateway is told to end.
void endBehindAnUnreadAnswer(GatewayRig& rig, PlainSocket& client, bool& done) {
  ASSERT_TRUE(client.send(openingOf(rig.speaks) + askingOf(rig.speaks, request("any", "1"))));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsServed == 1; }));
  rig.gateway->drain([&] { done = true; });
}

// Many more requests than one, in several pieces, come while the gateway lingers: the end is still one in
// order, and the process waits for it.
TEST_P(ClosingRule, TheEndWaitsForAClientThatWritesOnAndHasNotReadYet) {
  GatewayRig rig(speaking());
  PlainSocket client(rig.loop, rig.socketAddress);
  bool done = false;
  ASSERT_NO_FATAL_FAILURE(endBehindAnUnreadAnswer(rig, client, done));
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
  EXPECT_EQ(rig.counters().descriptors, 1U) << "but for the idle connection to a member";
}

// The bound in time: one that neither reads nor closes does not hold the end up for good.
TEST_P(ClosingRule, TheEndComesThoughAClientNeverCloses) {
  GatewayRig rig(speaking());
  PlainSocket client(rig.loop, rig.socketAddress);
  bool done = false;
  ASSERT_NO_FATAL_FAILURE(endBehindAnUnreadAnswer(rig, client, done));
  EXPECT_TRUE(rig.until([&] { return done; }));
  EXPECT_TRUE(client.gone());
  EXPECT_FALSE(client.reset);
}

// A crowd is thinned out just as one of it asks again.
TEST_P(ClosingRule, AnIdleClientWhosePlaceIsWantedIsNotResetAsItAsks) {
  GatewayOptions options = speaking();
  options.sockets = 100;  // less what is kept back sixty, half of which are for clients
  GatewayRig rig(options);
  std::vector<std::unique_ptr<PlainSocket>> crowd;
  for (int i = 0; i < 30; ++i) {
    crowd.push_back(std::make_unique<PlainSocket>(rig.loop, rig.socketAddress));
    ASSERT_TRUE(
        crowd.back()->send(openingOf(GetParam()) + askingOf(GetParam(), request("any", std::to_string(i)))));
    ASSERT_TRUE(
        rig.until([&] { return rig.counters().requestsServed == static_cast<std::uint64_t>(i) + 1; }));
  }
  ASSERT_TRUE(rig.until([&] { return rig.counters().idleClientsEvicted > 0; }));
  // All ask at once, whether their connection lingers by now or not.
  for (std::size_t i = 0; i < crowd.size(); ++i)
    (void)crowd[i]->send(askingOf(GetParam(), request("any", "again" + std::to_string(i))));
  for (int i = 0; i < 5; ++i) rig.loop.turn(0);
  for (auto& client : crowd) {
    (void)client->read();
    EXPECT_FALSE(client->reset);
    EXPECT_TRUE(client->send(askingOf(GetParam(), request("any", "more"))));
  }
  // New ones find a place all the same: those that linger go first.
  ClientStandIn fresh(rig.loop, rig.socketAddress);
  fresh.ask(request("any", "fresh"));
  EXPECT_TRUE(fresh.answered());
  EXPECT_EQ(fresh.types(), "TDCZ");
}

INSTANTIATE_TEST_SUITE_P(Closing, ClosingRule, kBoth, nameOf);

}  // namespace
}  // namespace heathflow::test
