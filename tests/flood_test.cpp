// Clients that send far more than they read, or that connect again and again. docs/crossings.md lists the
// races.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "race_test.h"

namespace heathflow::test {
namespace {

// A client sends as much as it can, complete and incomplete messages, and disconnects without reading: all
// its memory and descriptors are freed, and other clients are not affected.
TEST_P(ConnectionRace, AClientThatFloodsAndDisconnectsLeaksNothing) {
  GatewayRig rig(speaking(), 1);
  ClientStandIn good(rig.loop, rig.socketAddress);
  good.ask(request("save", "good"));
  ASSERT_TRUE(good.answered());
  const std::size_t before = rig.loop.memory().used();
  for (int i = 0; i < 10; ++i) {
    PlainSocket flooding(rig.loop, rig.socketAddress);
    std::string much = openingOf(GetParam());
    for (int k = 0; k < 200; ++k)
      much += askingOf(GetParam(), request("save", std::to_string(i) + "-" + std::to_string(k)));
    much += askingOf(GetParam(), request("save", "half")).substr(0, 40);
    ASSERT_TRUE(flooding.send(much));
    flooding.resetNow();
  }
  ASSERT_TRUE(rig.until([&] { return rig.counters().clientsAccepted == 11; }));
  ASSERT_TRUE(rig.until([&] { return rig.counters().descriptors <= 1 + rig.endpoints[0]->openLines(); }));
  EXPECT_EQ(rig.loop.memory().used(), before);
  EXPECT_FALSE(good.ended());
  good.ask(request("save", "still good"));
  ASSERT_TRUE(good.answered(2));
  EXPECT_EQ(good.types(), "TDCZTDCZ");
}

// Rejected clients reconnect at once, again and again, while the clients' share of descriptors is used up:
// each gets its error, the others keep their connections, and no descriptor is leaked.
TEST(RejectedClients, GetAnErrorEachTimeTheyReconnect) {
  GatewayOptions options;
  options.sockets = 100;  // 60 after the reserve, half of them for clients
  GatewayRig rig(options, 1);
  std::vector<Line*> pending;
  rig.answerAll([&](Line& line, const std::string&) { pending.push_back(&line); });
  std::vector<std::unique_ptr<ClientStandIn>> busy;
  for (std::size_t i = 0; i < 30; ++i) {
    busy.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    busy.back()->ask(request("save", "busy" + std::to_string(i)));
    ASSERT_TRUE(rig.until([&] { return rig.counters().requestsAccepted == i + 1; }));
  }
  const std::size_t inFlight = pending.size();
  for (int i = 0; i < 100; ++i) {
    PlainSocket again(rig.loop, rig.socketAddress);
    ASSERT_TRUE(again.send(pg::startup() + pg::query(request("save", "again" + std::to_string(i)))));
    ASSERT_TRUE(again.gone());
    EXPECT_FALSE(again.reset);
    EXPECT_EQ(again.lastCode(), "53300");
  }
  for (const auto& client : busy) EXPECT_FALSE(client->ended());
  EXPECT_EQ(rig.counters().requestsAccepted, 30U);
  EXPECT_EQ(pending.size(), inFlight);
  EXPECT_LE(rig.counters().descriptorsPeak, 100U);
}

}  // namespace
}  // namespace heathflow::test
