// Clients that send far more than they read, or come in crowds. docs/crossings.md lists the pairs.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "crossing.h"

namespace heathflow::test {
namespace {

// One sends as much as it can, whole and half messages, and goes without reading: nothing of it stays, what
// good clients hold meanwhile is theirs, and no more of it is begun than can have been read before it went.
TEST_P(ClosingRule, OneThatSendsMuchAndGoesLeavesNothingBehind) {
  GatewayRig rig(speaking(), 1);
  ClientStandIn good(rig.loop, rig.socketAddress);
  good.ask(request("save", "good"));
  ASSERT_TRUE(good.answered());
  const std::size_t before = rig.loop.memory().taken();
  for (int i = 0; i < 10; ++i) {
    PlainSocket flood(rig.loop, rig.socketAddress);
    std::string much = openingOf(GetParam());
    for (int k = 0; k < 200; ++k)
      much += askingOf(GetParam(), request("save", std::to_string(i) + "-" + std::to_string(k)));
    much += askingOf(GetParam(), request("save", "half")).substr(0, 40);
    ASSERT_TRUE(flood.send(much));
    flood.resetNow();
  }
  ASSERT_TRUE(rig.until([&] { return rig.counters().clientsAccepted == 11; }));
  ASSERT_TRUE(rig.until([&] { return rig.counters().descriptors <= 1 + rig.endpoints[0]->openLines(); }));
  EXPECT_EQ(rig.loop.memory().taken(), before);
  EXPECT_FALSE(good.ended());
  good.ask(request("save", "still good"));
  ASSERT_TRUE(good.answered(2));
  EXPECT_EQ(good.types(), "TDCZTDCZ");
}

// Those that are turned away come again at once, again and again, while all places are taken: each is told
// within its connection, those that hold a place keep it, and no descriptor is lost.
TEST(CrossingFloods, WhoIsTurnedAwayAndComesAgainAtOnceIsToldEachTime) {
  GatewayOptions options;
  options.sockets = 100;  // less what is kept back sixty, half of which are for clients
  GatewayRig rig(options, 1);
  std::vector<Line*> held;
  rig.answerAll([&](Line& line, const std::string&) { held.push_back(&line); });
  std::vector<std::unique_ptr<ClientStandIn>> busy;
  for (std::size_t i = 0; i < 30; ++i) {
    busy.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    busy.back()->ask(request("save", "busy" + std::to_string(i)));
    ASSERT_TRUE(rig.until([&] { return rig.counters().requestsAccepted == i + 1; }));
  }
  const std::size_t out = held.size();
  for (int i = 0; i < 100; ++i) {
    PlainSocket again(rig.loop, rig.socketAddress);
    ASSERT_TRUE(again.send(pg::startup() + pg::query(request("save", "again" + std::to_string(i)))));
    ASSERT_TRUE(again.gone());
    EXPECT_FALSE(again.reset);
    EXPECT_EQ(again.lastCode(), "53300");
  }
  for (const auto& client : busy) EXPECT_FALSE(client->ended());
  EXPECT_EQ(rig.counters().requestsAccepted, 30U);
  EXPECT_EQ(held.size(), out);
  EXPECT_LE(rig.counters().descriptorsPeak, 100U);
}

}  // namespace
}  // namespace heathflow::test
