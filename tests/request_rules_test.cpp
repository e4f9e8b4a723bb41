// Behavior towards requests: routing, side effects and answers.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "rule_test.h"

namespace heathflow::test {
namespace {

class RoutingRule : public RuleTest {};
class ClientsRule : public RuleTest {};
class AnswersRule : public RuleTest {};

TEST_P(RoutingRule, WritesAtThePrimaryAndReadsAtReplicas) {
  GatewayRig rig;
  ClientStandIn client(rig.loop, rig.socketAddress);
  for (int i = 0; i < 20; ++i) {
    client.ask(request(i % 2 == 0 ? "save" : "any", std::to_string(i)));
    ASSERT_TRUE(client.answered(static_cast<std::size_t>(i) + 1));
  }
  for (const std::string& statement : rig.endpoints[0]->statements) {
    EXPECT_NE(statement.find("c=save"), std::string::npos) << statement;
  }
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 10U);
  EXPECT_EQ(rig.counters().requestsServed, 20U);
}

// Guards against two open requests with the same id, which endpoints can't tell apart.
TEST_P(ClientsRule, ARequestWithTheIdOfAnOpenRequestGetsAnError) {
  GatewayRig rig;
  Line* pending = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { pending = &line; });
  ClientStandIn owner(rig.loop, rig.socketAddress);
  owner.ask(request("any", "7"));
  ASSERT_TRUE(rig.until([&] { return pending != nullptr; }));
  ClientStandIn other(rig.loop, rig.socketAddress);
  other.ask(request("any", "7"));
  ASSERT_TRUE(other.answered());
  EXPECT_EQ(other.types(), "EZ");
  EXPECT_EQ(other.code(), "22023");
  EXPECT_EQ(rig.statements().size(), 1U);
  pending->say(rig.endpoints[0]->value("mine"));
  ASSERT_TRUE(owner.answered());
  EXPECT_EQ(owner.value(), "mine");
  // The id can be used again, also after its client has disconnected.
  pending = nullptr;
  other.forget();
  other.ask(request("any", "7"));
  ASSERT_TRUE(rig.until([&] { return pending != nullptr; }));
  other.hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value("again")); });
  owner.ask(request("any", "7"));
  ASSERT_TRUE(owner.answered(2));
  EXPECT_EQ(owner.value(1), "again");
}

// When a client disconnects, the attempt is cancelled and its connection is closed.
TEST_P(ClientsRule, ADisconnectCancelsTheAttempt) {
  GatewayRig rig;
  rig.answerAll([](Line&, const std::string&) {});
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(rig.until([&] { return rig.statements().size() == 1; }));
  client.hangUp();
  EXPECT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  EXPECT_EQ(rig.outcomes(AttemptOutcome::Cancelled), 1U);
  EXPECT_TRUE(rig.until([&] {
    return std::any_of(rig.endpoints[0]->lines.begin(), rig.endpoints[0]->lines.end(),
                       [](auto& l) { return l->ended; });
  }));
}

TEST_P(AnswersRule, DistinguishRejectedFromFailed) {
  GatewayOptions options;
  options.aimMs = options.requestTimeoutMs = 300;
  GatewayRig rig(options);
  // An overloaded endpoint has not run the request, so the request is rejected. After an error a request that
  // is not idempotent may have run, so it fails.
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->error("53300")); });
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "EZ");
  EXPECT_EQ(client.code(), "53300");
  EXPECT_EQ(client.retryAfterMs(), "500");
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->error("XX000")); });
  ClientStandIn other(rig.loop, rig.socketAddress);
  ASSERT_TRUE(rig.until([&] {
    other.forget();
    other.ask(request("save", "2"));
    return other.answered() && rig.outcomes(AttemptOutcome::Error) == 1;
  }));
  EXPECT_NE(other.code(), "53300");
  EXPECT_NE(other.code(), "57P03");
  EXPECT_EQ(rig.counters().requestsFailed, 1U);
}

// Guards against the retry of a request that is not idempotent and may have run, after its connection broke.
TEST_P(AnswersRule, ANonIdempotentRequestIsSentOnceWhenItsConnectionBreaks) {
  GatewayRig rig;
  rig.answerAll([](Line& line, const std::string&) { line.hangUp(); });
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "EZ");
  EXPECT_NE(client.code(), "53300");
  EXPECT_EQ(rig.statements().size(), 1U);
  EXPECT_EQ(rig.outcomes(AttemptOutcome::ConnectionReset), 1U);
}

TEST_P(AnswersRule, AnIdempotentReadIsRetriedWhenItsResponseIsIncomplete) {
  GatewayRig rig;
  rig.endpoints[1]->answer = rig.endpoints[2]->answer = [&](Line& line, const std::string&) {
    line.say(rig.endpoints[1]->half("half"));
    line.hangUp();
  };
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "TDCZ");
  EXPECT_EQ(client.value(), "from " + rig.endpoints[0]->address());
  EXPECT_EQ(rig.counters().requestsServed, 1U);
}

// Guards against a retry that starts while the previous attempt is still in flight.
TEST_P(AnswersRule, NoAttemptsOverlap) {
  GatewayRig rig;
  std::size_t open = 0;
  std::size_t maxOpen = 0;
  rig.answerAll([&](Line& line, const std::string&) {
    ++open;
    maxOpen = std::max(maxOpen, open);
    line.say(rig.endpoints[0]->error("XX000"));
    --open;
  });
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(maxOpen, 1U);
  EXPECT_GE(rig.statements().size(), 2U);
}

HEATHFLOW_BOTH_PROTOCOLS(RoutingRule);
HEATHFLOW_BOTH_PROTOCOLS(ClientsRule);
HEATHFLOW_BOTH_PROTOCOLS(AnswersRule);

}  // namespace
}  // namespace heathflow::test
