// Behavior towards endpoints: timeouts, broken connections, draining, failover.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "rule_test.h"

namespace heathflow::test {
namespace {

class EndpointsRule : public RuleTest {};

// Guards against requests that wait for connections to a host that vanished, although other endpoints could
// serve them.
TEST_P(EndpointsRule, AVanishedEndpointIsDetectedByTheConnectTimeout) {
  GatewayOptions options;
  options.connectTimeoutMs = 250;
  GatewayRig rig(options);
  rig.endpoints[1]->welcomes = rig.endpoints[2]->welcomes = false;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "TDCZ");
  EXPECT_GE(rig.outcomes(AttemptOutcome::ConnectFailed), 1U);
}

// Guards against taking an endpoint for dead because a network path drops its connections.
TEST_P(EndpointsRule, AnEndpointWhoseConnectionsBreakIsStillUsed) {
  GatewayRig rig({}, 1);
  std::size_t dropped = 0;
  const auto drop = [&](Line& line, const std::string&) {
    ++dropped;
    line.hangUp();
  };
  for (std::size_t round = 0; round < 5; ++round) {
    rig.endpoints[0]->answer = rig.endpoints[0]->healthCheck = drop;
    ClientStandIn writer(rig.loop, rig.socketAddress);
    writer.ask(request("save", "1"));
    ASSERT_TRUE(writer.answered());
    EXPECT_EQ(writer.types(), "EZ");
    ASSERT_TRUE(rig.until([&] { return rig.counters().healthChecksRejected > round; }));
    rig.endpoints[0]->answer = [&](Line& line, const std::string&) {
      line.say(rig.endpoints[0]->value("good"));
    };
    ClientStandIn next(rig.loop, rig.socketAddress);
    next.ask(request("save", "2"));
    ASSERT_TRUE(next.answered());
    EXPECT_EQ(next.value(), "good");
  }
  EXPECT_EQ(rig.counters().healthChecksFailed, 0U);
  EXPECT_GE(dropped, 15U) << "a request and two health checks each";
}

TEST_P(EndpointsRule, AnEndpointThatDrainsDuringAConnectGetsNoRequest) {
  GatewayRig rig({}, 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.endpoints[1]->welcomes = false;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(
      rig.until([&] { return rig.counters().attemptsStarted == 1 && !rig.endpoints[1]->lines.empty(); }));
  rig.discovery.tell("[" + entry("m1", rig.endpoints[1]->address(), false, "Terminating") + "]");
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EXPECT_EQ(rig.counters().attemptsWritten, 0U);
  rig.endpoints[1]->welcomeNow();
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "from " + rig.endpoints[0]->address());
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
  EXPECT_EQ(rig.outcomes(AttemptOutcome::NotSent), 1U);
}

// Guards against failing a request as if it had run, although it timed out before its connection was ready.
TEST_P(EndpointsRule, ARequestThatTimesOutDuringTheConnectIsRejected) {
  GatewayRig rig({}, 1);
  rig.endpoints[0]->welcomes = false;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1", "", 300));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.code(), "53300") << "nothing of it was written";
  EXPECT_EQ(rig.outcomes(AttemptOutcome::NotSent), 1U);
  EXPECT_TRUE(rig.endpoints[0]->statements.empty());
}

TEST_P(EndpointsRule, ARequestThatTimesOutFailsAndItsConnectionIsClosed) {
  GatewayRig rig({}, 1);
  rig.answerAll([](Line&, const std::string&) {});
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1", "", 300));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "EZ");
  EXPECT_NE(client.code(), "53300");
  EXPECT_EQ(rig.outcomes(AttemptOutcome::TimedOut), 1U);
  EXPECT_TRUE(rig.until([&] {
    const auto& lines = rig.endpoints[0]->lines;
    return std::any_of(lines.begin(), lines.end(), [](auto& line) { return line->ended; });
  }));
}

// Guards against sending a request on an idle connection that the endpoint has closed or sent unexpected
// bytes on.
TEST_P(EndpointsRule, ClosedIdleConnectionsAndUnsolicitedBytesCostNoRequest) {
  GatewayRig rig;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  for (auto& endpoint : rig.endpoints) {
    for (auto& line : endpoint->lines) line->hangUp();
  }
  client.ask(request("save", "2"));
  ASSERT_TRUE(client.answered(2));
  EXPECT_EQ(client.types(), "TDCZTDCZ");
  for (auto& line : rig.endpoints[0]->lines) {
    if (!line->stream.closed()) line->say(rig.endpoints[0]->half("stray"));
  }
  client.ask(request("save", "3"));
  ASSERT_TRUE(client.answered(3));
  EXPECT_EQ(client.value(2), "from " + rig.endpoints[0]->address());
  EXPECT_EQ(rig.outcomes(AttemptOutcome::ConnectionReset), 0U);
  EXPECT_GE(rig.counters().connectionsStale, 2U);
}

// Guards against idle connections to a host that vanished staying open forever.
TEST_P(EndpointsRule, IdleConnectionsToAVanishedEndpointAreClosed) {
  GatewayOptions options;
  options.connectTimeoutMs = 250;
  GatewayRig rig(options, 1);
  std::vector<Line*> pending;
  rig.endpoints[0]->answer = [&](Line& line, const std::string&) { pending.push_back(&line); };
  std::vector<std::unique_ptr<ClientStandIn>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    clients.back()->ask(request("save", std::to_string(i)));
  }
  ASSERT_TRUE(rig.until([&] { return pending.size() == 5; }));
  for (Line* line : pending) line->say(rig.endpoints[0]->value("v"));
  for (auto& client : clients) ASSERT_TRUE(client->answered());
  ASSERT_GE(rig.endpoints[0]->openLines(), 5U);
  // From here on the endpoint answers neither requests nor health checks.
  rig.endpoints[0]->answer = rig.endpoints[0]->healthCheck = [](Line&, const std::string&) {};
  rig.endpoints[0]->welcomes = false;
  clients[0]->forget();
  clients[0]->ask(request("save", "x", "", 400));
  ASSERT_TRUE(clients[0]->answered());
  EXPECT_TRUE(rig.until(
      [&] { return rig.endpoints[0]->openLines() == 0 || rig.counters().healthChecksFailed >= 2; }));
  EXPECT_EQ(rig.counters().healthChecksFailed, 1U) << "one health check without an answer suffices";
  EXPECT_EQ(rig.endpoints[0]->openLines(), 0U);
}

TEST_P(EndpointsRule, ConnectionsAreReusedAndClosedWhenIdle) {
  GatewayOptions options;
  options.connectTimeoutMs = 100;
  options.idleMs = 800;
  GatewayRig rig(options, 1);
  ClientStandIn client(rig.loop, rig.socketAddress);
  for (std::size_t i = 0; i < 10; ++i) {
    client.ask(request("save", std::to_string(i)));
    ASSERT_TRUE(client.answered(i + 1));
  }
  EXPECT_GE(rig.counters().connectionsReused, 9U);
  EXPECT_TRUE(rig.until([&] { return rig.endpoints[0]->openLines() == 0; }));
  EXPECT_GE(rig.counters().idleConnectionsClosed, 1U);
}

TEST_P(EndpointsRule, AResponseThatViolatesTheProtocolIsRetried) {
  GatewayRig rig;
  rig.endpoints[1]->answer = rig.endpoints[2]->answer = [&](Line& line, const std::string&) {
    line.say(rig.endpoints[1]->nonsense());
  };
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "TDCZ");
  EXPECT_GE(rig.counters().endpointProtocolErrors, 1U);
}

// Guards against one malformed response taking the primary out of use, which would stop all writes.
TEST_P(EndpointsRule, AnEndpointWithMalformedResponsesIsStillUsed) {
  GatewayRig rig({}, 1);
  for (const std::string& malformed : rig.endpoints[0]->malformed()) {
    Line* used = nullptr;
    rig.answerAll([&](Line& line, const std::string&) {
      used = &line;
      line.say(malformed);
    });
    ClientStandIn writer(rig.loop, rig.socketAddress);
    writer.ask(request("save", "1"));
    ASSERT_TRUE(writer.answered());
    EXPECT_EQ(writer.types(), "EZ") << "it may have run, and is neither served nor retried";
    EXPECT_EQ(writer.code(), "58000");
    EXPECT_TRUE(rig.until([&] { return used->ended; })) << "the connection is closed";
    rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value("good")); });
    ClientStandIn next(rig.loop, rig.socketAddress);
    next.ask(request("save", "2"));
    ASSERT_TRUE(next.answered());
    EXPECT_EQ(next.value(), "good");
  }
  EXPECT_EQ(rig.outcomes(AttemptOutcome::Malformed), 5U);
  EXPECT_EQ(rig.outcomes(AttemptOutcome::ConnectionReset), 0U);
  EXPECT_EQ(rig.counters().requestsRejected, 0U);
}

// The primary dies with a write in flight. The write fails, and the next one goes to the new primary.
TEST_P(EndpointsRule, WritesGoToTheNewPrimaryAfterTheOldOneDies) {
  GatewayRig rig;
  rig.endpoints[0]->answer = [&](Line&, const std::string&) {
    rig.endpoints[0]->shut();
    rig.endpoints[1]->primary = true;
  };
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.code(), "58000");
  client.forget();
  client.ask(request("save", "2"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "TDCZ");
  EXPECT_EQ(client.value(), "from " + rig.endpoints[1]->address());
}

HEATHFLOW_BOTH_PROTOCOLS(EndpointsRule);

}  // namespace
}  // namespace heathflow::test
