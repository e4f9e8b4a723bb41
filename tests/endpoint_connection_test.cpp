// Races between a request in flight and a connection that closes, or a primary that loses leadership.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "race_test.h"

namespace heathflow::test {
namespace {

class EndpointRace : public ConnectionRace {};

// Returns the id of a request, or of the answer that quotes it.
std::string idOf(const std::string& statement) {
  const std::size_t at = statement.find("id=");
  return at == std::string::npos ? "none" : statement.substr(at, statement.find(',', at) - at);
}

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

// Makes the endpoint of a rig send a second copy of each answer. The copy arrives behind the next request, as
// over a network with a delay. Nothing else waits on the connection when the endpoint sends it, so it
// precedes all that the endpoint answers to what arrives next.
class CopyingEndpoint {
 public:
  explicit CopyingEndpoint(GatewayRig& rig) : rig_(rig) {
    rig.endpoints[0]->answer = [this](Line& line, const std::string& statement) {
      const bool rejects = idOf(statement) == rejectedOnce_;
      if (rejects) rejectedOnce_.clear();
      if (!rejects) ran.push_back(idOf(statement));
      sendBehindCopy(line, rejects ? rig_.endpoints[0]->error("53300") : rig_.endpoints[0]->value(statement));
    };
    rig.endpoints[0]->script = [this](Line& line, const bolt::Message&) {
      line.say(std::exchange(copies_[&line], ""));
      return false;
    };
  }
  // Sends the copy that is due on the connection, then the answer.
  void sendBehindCopy(Line& line, const std::string& answer) {
    std::string& copy = copies_[&line];
    line.say(copy + answer);
    copy = answer;
  }
  void rejectOnce(const std::string& statement) { rejectedOnce_ = idOf(statement); }

  std::vector<std::string> ran;  // the requests that were not rejected

 private:
  GatewayRig& rig_;
  std::map<Line*, std::string> copies_;
  std::string rejectedOnce_;
};

// Sends requests of one class at the same time, so that they use as many connections. Expects that each
// client is served the value for its own request.
void expectOwnValues(GatewayRig& rig, const std::string& className, const std::string& name,
                     std::size_t count) {
  std::vector<std::unique_ptr<ClientStandIn>> clients;
  const auto idFor = [&](std::size_t i) { return name + std::to_string(i); };
  for (std::size_t i = 0; i < count; ++i) {
    clients.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    clients.back()->ask(request(className, idFor(i)));
  }
  for (std::size_t i = 0; i < count; ++i) {
    ASSERT_TRUE(clients[i]->answered());
    EXPECT_EQ(idOf(clients[i]->value()), "id=" + idFor(i));
  }
}

// Failure: the second copy of an answer is served to the next client on that connection.
TEST(CopiedAnswers, AreNotServedToTheNextClient) {
  GatewayRig rig({}, 1);
  const CopyingEndpoint endpoint(rig);
  for (int i = 0; i < 10; ++i) expectOwnValues(rig, i % 2 == 0 ? "save" : "any", std::to_string(i), 1);
  EXPECT_EQ(endpoint.ran.size(), 10U);
  EXPECT_EQ(rig.counters().endpointSurplusAnswers, 9U);
  EXPECT_EQ(rig.counters().connectionsOpened, 1U) << "the connection is kept";
}

// Failure: the same over Bolt, whose replies do not name their requests either.
TEST(CopiedAnswersOverBolt, AreNotServedToTheNextClient) {
  GatewayOptions options;
  options.speaks = Speaks::Bolt;
  GatewayRig rig(options, 1);
  const CopyingEndpoint endpoint(rig);
  for (int i = 0; i < 10; ++i) expectOwnValues(rig, i % 2 == 0 ? "save" : "any", std::to_string(i), 1);
  EXPECT_EQ(endpoint.ran.size(), 10U);
  EXPECT_EQ(rig.counters().endpointSurplusAnswers, 9U);
  EXPECT_EQ(rig.counters().connectionsOpened, 1U) << "the connection is kept";
}

// Failure: the copy of a transient failure counts as the proof that the next write never ran.
TEST(CopiedAnswersOverBolt, ThatAreRejectionsRepeatNoWrite) {
  GatewayOptions options;
  options.speaks = Speaks::Bolt;
  GatewayRig rig(options, 1);
  CopyingEndpoint endpoint(rig);
  endpoint.rejectOnce(request("save", "a0"));
  expectOwnValues(rig, "save", "a", 1);
  expectOwnValues(rig, "save", "b", 2);
  EXPECT_EQ(endpoint.ran.size(), 3U);
  EXPECT_GE(rig.counters().endpointSurplusAnswers, 2U);
}

// Failure: the copy of a load report is served to a client, or a client's value is taken for a load report.
TEST(CopiedAnswersOverBolt, ToHealthChecksAreNotServedToClients) {
  GatewayOptions options;
  options.speaks = Speaks::Bolt;
  options.maxAgeMs = 3'000;
  GatewayRig rig(options, 2);
  std::map<Line*, std::string> copies;
  for (auto& endpoint : rig.endpoints) {
    endpoint->script = [&](Line& line, const bolt::Message&) {
      line.say(std::exchange(copies[&line], ""));
      return false;
    };
    endpoint->answer = [own = endpoint.get()](Line& line, const std::string& statement) {
      line.say(own->value(statement));
    };
    endpoint->healthCheck = [&, own = endpoint.get()](Line& line, const std::string&) {
      const std::string position = std::to_string(rig.loop.now() / kSecond) + ".000";
      const std::string report = "x0=" + position + (own->primary ? ",x1=1" : ",x1=0");
      copies[&line] = bolt::success({{"fields", bolt::list({bolt::text("stats")})}}) +
                      bolt::record({bolt::text(report)}) + bolt::success(own->summary());
      line.say(copies[&line]);
    };
  }
  for (int i = 0; i < 10; ++i) expectOwnValues(rig, "view", std::to_string(i) + "-", 4);
  EXPECT_GE(rig.counters().endpointSurplusAnswers, 1U);
}

// Failure: the copy of a rejection counts as the proof that the next write never ran, and the write runs
// twice.
TEST(CopiedAnswers, ThatAreRejectionsRepeatNoWrite) {
  GatewayRig rig({}, 1);
  CopyingEndpoint endpoint(rig);
  endpoint.rejectOnce(request("save", "a0"));
  expectOwnValues(rig, "save", "a", 1);
  expectOwnValues(rig, "save", "b", 2);
  EXPECT_EQ(endpoint.ran.size(), 3U);
  EXPECT_EQ(rig.counters().endpointSurplusAnswers, 2U);
}

// Failure: the copy of a load report is served to a client.
TEST(CopiedAnswers, ToHealthChecksAreNotServedToClients) {
  GatewayOptions options;
  options.maxAgeMs = 3'000;
  GatewayRig rig(options, 2);
  std::map<Line*, std::string> copies;
  for (auto& endpoint : rig.endpoints) {
    endpoint->answer = [&, own = endpoint.get()](Line& line, const std::string& statement) {
      line.say(std::exchange(copies[&line], "") + own->value(statement));
    };
    endpoint->healthCheck = [&, own = endpoint.get()](Line& line, const std::string&) {
      const std::string position = std::to_string(rig.loop.now() / kSecond) + ".000";
      copies[&line] = pg::row("x0=" + position + (own->primary ? ",x1=1" : ",x1=0")) + pg::ready();
      line.say(copies[&line]);
    };
  }
  for (int i = 0; i < 10; ++i) expectOwnValues(rig, "view", std::to_string(i) + "-", 4);
  EXPECT_GE(rig.counters().endpointSurplusAnswers, 1U);
}

INSTANTIATE_TEST_SUITE_P(Protocols, EndpointRace, kBothProtocols, protocolName);

}  // namespace
}  // namespace heathflow::test
