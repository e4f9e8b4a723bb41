// Clients that leave while their requests are held or wait behind others. docs/crossings.md lists the pairs.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "crossing.h"

namespace heathflow::test {
namespace {

class LeavingRule : public ClosingRule {};

// A burst of clients whose requests are held leaves in the turn in which the primary is there again: nothing
// of theirs is sent on, and what a client that stays has asked is.
TEST_P(LeavingRule, NothingIsSentForABurstOfClientsThatLeftWhileHeld) {
  GatewayRig rig(speaking(), 1);
  rig.endpoints[0]->shut();
  std::vector<std::unique_ptr<ClientStandIn>> burst;
  for (int i = 0; i < 20; ++i) {
    burst.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    burst.back()->ask(request("save", "left" + std::to_string(i)));
  }
  ClientStandIn stays(rig.loop, rig.socketAddress);
  stays.ask(request("save", "stays"));
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsAccepted == 21; }));
  for (auto& client : burst) client->hangUp();
  rig.endpoints[0]->reopen();
  ASSERT_TRUE(stays.answered());
  EXPECT_EQ(rig.counters().requestsCancelled, 20U);
  for (const std::string& statement : rig.endpoints[0]->statements)
    EXPECT_EQ(statement.find("id=left"), std::string::npos) << statement;
}

// A client sends several requests at once and leaves while the first is out: the others are never begun.
TEST_P(LeavingRule, NothingPipelinedIsSentForAClientThatLeft) {
  GatewayRig rig(speaking(), 1);
  Line* held = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { held = &line; });
  PlainSocket client(rig.loop, rig.socketAddress);
  std::string all = openingOf(GetParam());
  for (int i = 0; i < 5; ++i) all += askingOf(GetParam(), request("save", std::to_string(i)));
  ASSERT_TRUE(client.send(all));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  // The answer to the first and the client's end are there in one turn, in both orders of the loop's choice.
  held->say(rig.endpoints[0]->value("the first"));
  client.resetNow();
  ASSERT_TRUE(rig.until([&] {
    return rig.counters().requestsServed + rig.counters().requestsCancelled >= 1 &&
           rig.counters().descriptors <= 1;
  }));
  rig.loop.turn(0);
  // Where the answer was seen before the end, the next one had begun by then.
  EXPECT_LE(rig.endpoints[0]->statements.size(), 2U);
  EXPECT_LE(rig.counters().requestsAccepted, 2U);
}

INSTANTIATE_TEST_SUITE_P(Leaving, LeavingRule, kBoth, nameOf);

}  // namespace
}  // namespace heathflow::test
