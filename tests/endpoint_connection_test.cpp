// Races between a request in flight and a connection that closes, or a primary that loses leadership.
#include <gtest/gtest.h>

#include <string>

#include "race_test.h"

namespace heathflow::test {
namespace {

class EndpointRace : public ConnectionRace {};

// The endpoint closes an idle connection, or sends unexpected bytes on it, in the turn of the event loop in
// which a request arrives. The request runs once, on a new connection.
TEST_P(EndpointRace, ARequestDuringTheCloseOfAnIdleConnectionUsesANewOne) {
  enum class How { Close, Reset, Stray };
  for (const How how : {How::Close, How::Reset, How::Stray}) {
    GatewayRig rig(speaking(), 1);
    rig.endpoints[0]->resets = how == How::Reset;
    ClientStandIn client(rig.loop, rig.socketAddress);
    client.ask(request("save", "1"));
    ASSERT_TRUE(client.answered());
    client.forget();
    // Both arrive in one turn.
    client.ask(request("save", "2"));
    Line& idle = *rig.endpoints[0]->lines.back();
    if (how == How::Stray) {
      idle.say(rig.endpoints[0]->half("a stray value"));
    } else {
      idle.hangUp();
    }
    ASSERT_TRUE(client.answered());
    EXPECT_EQ(client.value(), "from " + rig.endpoints[0]->address());
    EXPECT_EQ(rig.endpoints[0]->statements.size(), 2U);
    EXPECT_GE(rig.counters().connectionsStale, 1U);
    EXPECT_EQ(rig.counters().requestsServed, 2U);
  }
}

// Guards against counting the reset of an idle connection as a fault of its endpoint.
TEST_P(EndpointRace, AResetOfAnIdleConnectionIsNoFault) {
  GatewayRig rig(speaking(), 1);
  rig.endpoints[0]->resets = true;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  const std::uint64_t healthChecks = rig.counters().healthChecksStarted;
  Line& idle = *rig.endpoints[0]->lines.back();
  idle.hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().connectionsStale == 1; }));
  client.ask(request("save", "2"));
  ASSERT_TRUE(client.answered(2));
  EXPECT_EQ(rig.counters().requestsServed, 2U);
  EXPECT_EQ(rig.counters().healthChecksStarted, healthChecks);
  EXPECT_EQ(rig.outcomes(AttemptOutcome::ConnectionReset), 0U);
}

// A response that arrives in the turn of the request's deadline is forwarded.
TEST_P(EndpointRace, AnAnswerInTheTurnOfItsDeadlineIsServed) {
  GatewayOptions options = speaking();
  options.manualClock = true;
  GatewayRig rig(options, 1);
  Line* pending = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { pending = &line; });
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1", "", 1'000));
  ASSERT_TRUE(rig.until([&] { return pending != nullptr; }));
  pending->say(rig.endpoints[0]->value("in time"));
  rig.loop.clock().advanceTo(rig.loop.now() + 2 * kSecond);
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "in time");
}

// A response and the end of its connection, by a close or a reset, arrive in one turn. A complete response is
// used. If it is incomplete, the write may have run, and it fails without a retry.
TEST_P(EndpointRace, AResponseRightBeforeTheCloseCountsIfComplete) {
  for (const bool complete : {true, false}) {
    for (const bool reset : {false, true}) {
      GatewayRig rig(speaking(), 1);
      rig.endpoints[0]->resets = reset;
      rig.answerAll([&](Line& line, const std::string&) {
        line.say(complete ? rig.endpoints[0]->value("complete") : rig.endpoints[0]->half("incomplete"));
        line.hangUp();
      });
      ClientStandIn client(rig.loop, rig.socketAddress);
      client.ask(request("save", "1"));
      ASSERT_TRUE(client.answered());
      EXPECT_EQ(client.types(), complete ? "TDCZ" : "EZ");
      EXPECT_EQ(client.value(), complete ? "complete" : "");
      EXPECT_EQ(rig.endpoints[0]->statements.size(), 1U);
    }
  }
}

// The primary loses leadership while it serves a read that only a primary may serve, and reports that in its
// response. The response is dropped and the read is retried at the new primary, or fails if it may not run
// twice.
TEST_P(EndpointRace, AReadForThePrimaryIsNotServedByOneThatLostLeadership) {
  for (const std::string className : {"status", "view"}) {
    for (const bool unsafe : {false, true}) {
      if (unsafe && className == "view") continue;
      GatewayOptions options = speaking();
      options.maxAgeMs = 3'000;
      if (unsafe) options.statusEffect = "fragile";
      GatewayRig rig(options, 2);
      rig.endpoints[1]->lagMs = 100'000;  // too far behind for any bound
      ClientStandIn client(rig.loop, rig.socketAddress);
      client.ask(request("status", "before"));
      ASSERT_TRUE(client.answered());
      rig.endpoints[0]->answer = [&](Line& line, const std::string&) {
        rig.endpoints[0]->primary = false;
        rig.endpoints[0]->lagMs = 100'000;  // it no longer replicates
        rig.endpoints[1]->primary = true;
        rig.endpoints[1]->lagMs = 0;
        line.say(rig.endpoints[0]->value("stale"));
      };
      client.forget();
      client.ask(request(className, "1"));
      ASSERT_TRUE(client.answered());
      EXPECT_EQ(rig.outcomes(AttemptOutcome::LostLeadership), 1U) << className;
      if (unsafe) {
        EXPECT_EQ(client.types(), "EZ");
        EXPECT_NE(client.code(), "53300") << "it has run";
        EXPECT_TRUE(rig.endpoints[1]->statements.empty());
      } else {
        EXPECT_EQ(client.value(), "from " + rig.endpoints[1]->address()) << className;
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Protocols, EndpointRace, kBothProtocols, protocolName);

}  // namespace
}  // namespace heathflow::test
