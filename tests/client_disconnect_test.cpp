// Clients that disconnect while their requests are queued, or pipelined behind others.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "race_test.h"

namespace heathflow::test {
namespace {

class ClientDisconnect : public ConnectionRace {};

// Many clients with queued requests disconnect in the loop turn in which the primary becomes reachable again:
// only the request of the client that stays is forwarded.
TEST_P(ClientDisconnect, QueuedRequestsAreNotForwarded) {
  GatewayRig rig(speaking(), 1);
  rig.endpoints[0]->shut();
  std::vector<std::unique_ptr<ClientStandIn>> leaving;
  for (int i = 0; i < 20; ++i) {
    leaving.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    leaving.back()->ask(request("save", "cancelled" + std::to_string(i)));
  }
  ClientStandIn stays(rig.loop, rig.socketAddress);
  stays.ask(request("save", "stays"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsAccepted == 21; }));
  for (auto& client : leaving) client->hangUp();
  rig.endpoints[0]->reopen();
  ASSERT_TRUE(stays.answered());
  EXPECT_EQ(rig.counters().requestsCancelled, 20U);
  for (const std::string& statement : rig.endpoints[0]->statements)
    EXPECT_EQ(statement.find("id=cancelled"), std::string::npos) << statement;
}

// A client pipelines several requests and disconnects while the first is in flight: the others are not
// forwarded.
TEST_P(ClientDisconnect, PipelinedRequestsAreNotForwarded) {
  GatewayRig rig(speaking(), 1);
  Line* pending = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { pending = &line; });
  PlainSocket client(rig.loop, rig.socketAddress);
  std::string all = openingOf(GetParam());
  for (int i = 0; i < 5; ++i) all += askingOf(GetParam(), request("save", std::to_string(i)));
  ASSERT_TRUE(client.send(all));
  ASSERT_TRUE(rig.until([&] { return pending != nullptr; }));
  // The first answer and the reset arrive in one loop turn. The kernel decides which is handled first.
  pending->say(rig.endpoints[0]->value("the first"));
  client.resetNow();
  ASSERT_TRUE(rig.until([&] {
    return rig.counters().requestsServed + rig.counters().requestsCancelled >= 1 &&
           rig.counters().descriptors <= 1;
  }));
  rig.loop.turn(0);
  // If the answer is handled first, the second request starts before the reset is seen.
  EXPECT_LE(rig.endpoints[0]->statements.size(), 2U);
  EXPECT_LE(rig.counters().requestsAccepted, 2U);
}

INSTANTIATE_TEST_SUITE_P(Protocols, ClientDisconnect, kBothProtocols, protocolName);

}  // namespace
}  // namespace heathflow::test
