// Connections to endpoints that end, and endpoints that hand over, as a request is on its way.
// docs/crossings.md lists the pairs.
#include <gtest/gtest.h>

#include <string>

#include "crossing.h"

namespace heathflow::test {
namespace {

class EndpointRule : public ClosingRule {};

// The endpoint closes, or sends what nobody asked for, on an idle connection just as a request comes for it:
// a new one is taken, and the request runs once.
TEST_P(EndpointRule, ARequestThatCrossesTheEndOfAnIdleConnectionGoesOutOnANewOne) {
  enum class How { Close, Reset, Stray };
  for (const How how : {How::Close, How::Reset, How::Stray}) {
    GatewayRig rig(speaking(), 1);
    rig.endpoints[0]->resets = how == How::Reset;
    ClientStandIn client(rig.loop, rig.socketAddress);
    client.ask(request("save", "1"));
    ASSERT_TRUE(client.answered());
    client.forget();
    // Both are there before the loop turns.
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

// An idle connection is reset long after its request was answered: that says nothing of its endpoint.
TEST_P(EndpointRule, AResetOfAnIdleConnectionCostsNothing) {
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

// The answer and the end of the request's time are there in one turn: it is served.
TEST_P(EndpointRule, AnAnswerInTheTurnOfItsDeadlineIsServed) {
  GatewayOptions options = speaking();
  options.byHand = true;
  GatewayRig rig(options, 1);
  Line* held = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { held = &line; });
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1", "", 1'000));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  held->say(rig.endpoints[0]->value("just in time"));
  rig.loop.clock().moveTo(rig.loop.now() + 2 * kSecond);
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "just in time");
}

// What an endpoint says and the end of its connection, in order or by a reset, are there in one turn. Whole,
// the answer counts; half, a write may have run: it is failed, never repeated, and never served by half.
TEST_P(EndpointRule, AnAnswerWithTheEndRightBehindItCountsIfItIsWhole) {
  for (const bool whole : {true, false}) {
    for (const bool reset : {false, true}) {
      GatewayRig rig(speaking(), 1);
      rig.endpoints[0]->resets = reset;
      rig.answerAll([&](Line& line, const std::string&) {
        line.say(whole ? rig.endpoints[0]->value("whole") : rig.endpoints[0]->half("half"));
        line.hangUp();
      });
      ClientStandIn client(rig.loop, rig.socketAddress);
      client.ask(request("save", "1"));
      ASSERT_TRUE(client.answered());
      EXPECT_EQ(client.types(), whole ? "TDCZ" : "EZ");
      EXPECT_EQ(client.value(), whole ? "whole" : "");
      EXPECT_EQ(rig.endpoints[0]->statements.size(), 1U);
    }
  }
}

// The primary falls between the write of a read that only a primary may answer and its answer, which says so:
// it is not served, and asked for again where the new primary is. Where it may not run twice it is failed.
TEST_P(EndpointRule, AReadOnlyAPrimaryMayAnswerIsNotServedByOneThatFellMeanwhile) {
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
        rig.endpoints[0]->lagMs = 100'000;  // and it takes no part in the log any more
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

INSTANTIATE_TEST_SUITE_P(Endpoints, EndpointRule, kBoth, nameOf);

}  // namespace
}  // namespace heathflow::test
