// Races in which an attempt ends while it waits for its connection.
#include <gtest/gtest.h>

#include <memory>

#include "race_test.h"

namespace heathflow::test {
namespace {

class ConnectRace : public ConnectionRace {};

// Waits until a request was accepted, and its connection to the first endpoint is open and awaits the
// handshake.
bool waitsForHandshake(GatewayRig& rig) {
  return rig.until([&] {
    return rig.counters().requestsAccepted == 1 && rig.endpoints[0]->openLines() > 0 &&
           !rig.endpoints[0]->lines.back()->got.empty();
  });
}

// The list that reports the replica as draining arrives in the same turn of the event loop in which the
// connection to the replica becomes ready. If the list is read first, the request is not sent to the replica;
// if it is read second, it is too late for the attempt in flight.
TEST_P(ConnectRace, AnEndpointThatStartsToDrainAsItsConnectionIsReady) {
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
    EXPECT_EQ(rig.statements().size(), 1U) << "sent once, to either endpoint";
    if (listFirst) {
      EXPECT_TRUE(rig.endpoints[1]->statements.empty());
    }
    client.ask(request("any", "2"));
    ASSERT_TRUE(client.answered(2));
    EXPECT_EQ(client.value(1), "from " + rig.endpoints[0]->address())
        << "later requests go to the other endpoint";
  }
}

// A client disconnects while its attempt connects, either before the handshake ends or in the same turn.
// Nothing is forwarded to it, and the connection serves the next request.
TEST_P(ConnectRace, NothingIsForwardedForAClientThatDisconnectedMeanwhile) {
  for (const bool sameTurn : {false, true}) {
    GatewayRig rig(speaking(), 1);
    rig.endpoints[0]->welcomes = false;
    auto client = std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress);
    client->ask(request("save", "1"));
    ASSERT_TRUE(waitsForHandshake(rig));
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
    // In the same turn the request may have been sent before the disconnect was read; it is then cancelled.
    const std::size_t sent = rig.endpoints[0]->statements.size() - 1;
    EXPECT_LE(sent, sameTurn ? 1U : 0U);
    EXPECT_EQ(rig.outcomes(AttemptOutcome::Cancelled), sent);
    EXPECT_EQ(rig.outcomes(AttemptOutcome::NotSent), 1U - sent);
  }
}

// A request whose deadline passes in the turn in which its connection becomes ready is not written any more.
TEST_P(ConnectRace, NothingIsSentInTheTurnOfItsDeadline) {
  GatewayOptions options = speaking();
  options.manualClock = true;
  options.connectTimeoutMs = 60'000;
  GatewayRig rig(options, 1);
  rig.endpoints[0]->welcomes = false;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1", "", 1'000));
  ASSERT_TRUE(waitsForHandshake(rig));
  rig.endpoints[0]->welcomeNow();
  rig.loop.clock().advanceTo(rig.loop.now() + 2 * kSecond);
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "EZ");
  EXPECT_TRUE(rig.endpoints[0]->statements.empty());
}

// A connection whose handshake ends in the turn in which the connect timeout expires is used. This runs on
// one protocol only, because Bolt's handshake takes several turns.
TEST(ConnectRaceOverTime, AConnectionThatIsReadyInTheTurnOfItsTimeoutIsUsed) {
  GatewayOptions options = byHand(10'000);
  options.connectTimeoutMs = 1'000;
  GatewayRig rig(options, 1);
  rig.endpoints[0]->welcomes = false;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(waitsForHandshake(rig));
  rig.endpoints[0]->welcomeNow();
  rig.loop.clock().advanceTo(rig.loop.now() + 2 * kSecond);
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "from " + rig.endpoints[0]->address());
  EXPECT_EQ(rig.counters().connectionsFailed, 0U);
}

// If the connect fails in the turn in which the client disconnects, the request ends once and the descriptor
// is freed.
TEST_P(ConnectRace, AConnectThatFailsInTheTurnOfTheDisconnectEndsOnce) {
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

INSTANTIATE_TEST_SUITE_P(Protocols, ConnectRace, kBothProtocols, protocolName);

}  // namespace
}  // namespace heathflow::test
