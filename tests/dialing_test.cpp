// Attempts that wait for their connection while something ends them. docs/crossings.md lists the pairs.
#include <gtest/gtest.h>

#include <memory>

#include "crossing.h"

namespace heathflow::test {
namespace {

class DialRule : public ClosingRule {};

// A request has been taken, and its connection to the first endpoint stands and waits for the welcome.
bool waitsForAWelcome(GatewayRig& rig) {
  return rig.until([&] {
    return rig.counters().requestsAccepted == 1 && rig.endpoints[0]->openLines() > 0 &&
           !rig.endpoints[0]->lines.back()->got.empty();
  });
}

// The one replica lets its connection wait, and the list that says that it drains is there in the turn of its
// welcome. Read first, it keeps the request away; read second, it comes too late for one that is out.
TEST_P(DialRule, ADrainToldInTheTurnInWhichAConnectionComesUp) {
  for (const bool listFirst : {true, false}) {
    GatewayRig rig(speaking(), 2);
    ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
    rig.endpoints[1]->welcomes = false;
    ClientStandIn client(rig.loop, rig.socketAddress);
    client.ask(request("any", "1"));
    ASSERT_TRUE(
        rig.until([&] { return rig.counters().attemptsStarted == 1 && rig.endpoints[1]->openLines() > 0; }));
    if (!listFirst) rig.endpoints[1]->welcomeNow();
    rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "]");
    if (listFirst) rig.endpoints[1]->welcomeNow();
    ASSERT_TRUE(client.answered());
    EXPECT_EQ(client.types(), "TDCZ");
    EXPECT_EQ(rig.statements().size(), 1U) << "once, wherever it was";
    if (listFirst) {
      EXPECT_TRUE(rig.endpoints[1]->statements.empty());
    }
    client.ask(request("any", "2"));
    ASSERT_TRUE(client.answered(2));
    EXPECT_EQ(client.value(1), "from " + rig.endpoints[0]->address()) << "what comes later goes elsewhere";
  }
}

// A client that leaves while its attempt dials, before the welcome and in the turn of the welcome: nothing is
// sent on, and the connection that came up serves the next.
TEST_P(DialRule, NothingIsSentForAClientThatLeftWhileAConnectionCameUp) {
  for (const bool sameTurn : {false, true}) {
    GatewayRig rig(speaking(), 1);
    rig.endpoints[0]->welcomes = false;
    auto client = std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress);
    client->ask(request("save", "1"));
    ASSERT_TRUE(waitsForAWelcome(rig));
    client->hangUp();
    if (!sameTurn) {
      ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
    }
    rig.endpoints[0]->welcomeNow();
    ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
    ClientStandIn next(rig.loop, rig.socketAddress);
    next.ask(request("save", "2"));
    ASSERT_TRUE(next.answered());
    EXPECT_EQ(next.value(), "from " + rig.endpoints[0]->address());
    EXPECT_EQ(rig.counters().requestsServed, 1U);
    // In the turn of the welcome it may have gone out before the leave was seen, and is then taken back.
    const std::size_t sent = rig.endpoints[0]->statements.size() - 1;
    EXPECT_LE(sent, sameTurn ? 1U : 0U);
    EXPECT_EQ(rig.outcomes(AttemptOutcome::Cancelled), sent);
    EXPECT_EQ(rig.outcomes(AttemptOutcome::NotSent), 1U - sent);
  }
}

// The time of the request is over in the turn in which its connection comes up: it is not written any more.
TEST_P(DialRule, NothingIsSentInTheTurnInWhichItsTimeIsOver) {
  GatewayOptions options = speaking();
  options.byHand = true;
  options.connectTimeoutMs = 60'000;
  GatewayRig rig(options, 1);
  rig.endpoints[0]->welcomes = false;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1", "", 1'000));
  ASSERT_TRUE(waitsForAWelcome(rig));
  rig.endpoints[0]->welcomeNow();
  rig.loop.clock().moveTo(rig.loop.now() + 2 * kSecond);
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "EZ");
  EXPECT_TRUE(rig.endpoints[0]->statements.empty());
}

// The limit of the connection is due in the turn in which its welcome is there: it is used. (Bolt's welcome
// takes several.)
TEST(CrossingDial, AConnectionThatComesUpInTheTurnOfItsLimitIsUsed) {
  GatewayOptions options = byHand(10'000);
  options.connectTimeoutMs = 1'000;
  GatewayRig rig(options, 1);
  rig.endpoints[0]->welcomes = false;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(waitsForAWelcome(rig));
  rig.endpoints[0]->welcomeNow();
  rig.loop.clock().moveTo(rig.loop.now() + 2 * kSecond);
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "from " + rig.endpoints[0]->address());
  EXPECT_EQ(rig.counters().connectionsFailed, 0U);
}

// The dial fails in the turn in which its request is given up: one answer, and the place is free again.
TEST_P(DialRule, AConnectionThatFailsInTheTurnInWhichItsClientLeavesEndsOnce) {
  GatewayRig rig(speaking(), 1);
  rig.endpoints[0]->welcomes = false;
  auto client = std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress);
  client->ask(request("save", "1"));
  ASSERT_TRUE(
      rig.until([&] { return rig.counters().requestsAccepted == 1 && rig.endpoints[0]->openLines() > 0; }));
  client->hangUp();
  rig.endpoints[0]->shut();
  ASSERT_TRUE(rig.until([&] {
    return rig.counters().requestsCancelled + rig.counters().requestsFailed +
               rig.counters().requestsRejected ==
           1;
  }));
  EXPECT_TRUE(rig.until([&] { return rig.counters().descriptors == 0; }));
  EXPECT_TRUE(rig.endpoints[0]->statements.empty());
}

INSTANTIATE_TEST_SUITE_P(Dialling, DialRule, kBoth, nameOf);

}  // namespace
}  // namespace heathflow::test
