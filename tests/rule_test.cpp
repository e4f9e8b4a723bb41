// The rules, each on every protocol: whole gateways between stand-ins for clients, endpoints and discovery.
// The tests are the same for all; what they say of requests and answers is put into a protocol by the
// stand-ins.
#include <gtest/gtest.h>

#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

class RuleTest : public testing::TestWithParam<Speaks> {
 protected:
  // A gateway whose clients and endpoints speak the protocol of the test.
  class GatewayRig : public test::GatewayRig {
   public:
    explicit GatewayRig(GatewayOptions options = {}, std::size_t size = 3)
        : test::GatewayRig(speaking(std::move(options)), size) {}

   private:
    static GatewayOptions speaking(GatewayOptions options) {
      options.speaks = GetParam();
      return options;
    }
  };
  static GatewayOptions crowded() {
    GatewayOptions out;
    out.sockets = 100;
    return out;
  }
};

class ServesRule : public RuleTest {};
class ClientsRule : public RuleTest {};
class AnswersRule : public RuleTest {};
class EndpointsRule : public RuleTest {};
class DiscoveryRule : public RuleTest {};
class LimitsRule : public RuleTest {};
class EndRule : public RuleTest {};

TEST_P(ServesRule, WritesAtThePrimaryAndReadsAtReplicas) {
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

// Guards the owner of an id: endpoints know a request by it, so nobody else may use it while it is open.
TEST_P(ClientsRule, ThatUseTheIdOfAnOpenRequestAreToldAnError) {
  GatewayRig rig;
  Line* held = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { held = &line; });
  ClientStandIn owner(rig.loop, rig.socketAddress);
  owner.ask(request("any", "7"));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  ClientStandIn other(rig.loop, rig.socketAddress);
  other.ask(request("any", "7"));
  ASSERT_TRUE(other.answered());
  EXPECT_EQ(other.types(), "EZ");
  EXPECT_EQ(other.code(), "22023");
  EXPECT_EQ(rig.statements().size(), 1U);
  held->say(rig.endpoints[0]->value("mine"));
  ASSERT_TRUE(owner.answered());
  EXPECT_EQ(owner.value(), "mine");
  // It is free again, also where its client leaves instead.
  held = nullptr;
  other.forget();
  other.ask(request("any", "7"));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  other.hangUp();
  ASSERT_TRUE(rig.until([&] { return rig.counters().requestsCancelled == 1; }));
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value("again")); });
  owner.ask(request("any", "7"));
  ASSERT_TRUE(owner.answered(2));
  EXPECT_EQ(owner.value(1), "again");
}

// What a client has left behind is cancelled: its connection closes, and nobody else gets the answer.
TEST_P(ClientsRule, ThatLeaveTakeTheirAttemptWithThem) {
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

TEST_P(AnswersRule, RejectedAndFailedAreNeverMixedUp) {
  GatewayOptions options;
  options.aimMs = options.deadlineMs = 300;
  GatewayRig rig(options);
  // Full never ran: a rejection. An error may have run, and an unsafe request is then failed.
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->error("53300")); });
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "EZ");
  EXPECT_EQ(client.code(), "53300");
  EXPECT_EQ(client.advice(), "500");
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

// Guards the rule on effects: an unsafe request whose connection broke behind its last byte is not sent
// again.
TEST_P(AnswersRule, AnUnsafeRequestIsSentOnceThoughItsConnectionBreaks) {
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

TEST_P(AnswersRule, ASafeReadGoesElsewhereWhenItsAnswerBreaksOffHalfway) {
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

// Guards the rule on second copies: an attempt that is given up is closed before the next goes out.
TEST_P(AnswersRule, NoAttemptGoesOutWhileAnEarlierOneIsOpen) {
  GatewayRig rig;
  std::size_t open = 0;
  std::size_t most = 0;
  rig.answerAll([&](Line& line, const std::string&) {
    ++open;
    most = std::max(most, open);
    line.say(rig.endpoints[0]->error("XX000"));
    --open;
  });
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(most, 1U);
  EXPECT_GE(rig.statements().size(), 2U);
}

// Guards requests against a machine that vanished: its connections never come up, and others serve.
TEST_P(EndpointsRule, ThatVanishedAreNoticedByTheConnectLimit) {
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

// Guards drains, bounds and roles where a connection takes its time: what allowed a send may no longer hold.
// Guards an endpoint that lives against paths that drop connections: a health check is tried once more on a
// new connection, and one that was taken and dropped again still says that somebody is there.
TEST_P(EndpointsRule, WhoseConnectionsBreakAreAskedOn) {
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
  EXPECT_GE(dropped, 15U) << "a request and two probes each";
}

TEST_P(EndpointsRule, ThatDrainWhileAConnectionComesUpGetNothing) {
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

// Guards the record of an endpoint that never came up: out of time before that, a request has never run.
TEST_P(EndpointsRule, ARequestOutOfTimeBeforeItsConnectionIsUpIsRejected) {
  GatewayRig rig({}, 1);
  rig.endpoints[0]->welcomes = false;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1", "", 300));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.code(), "53300") << "nothing of it was written";
  EXPECT_EQ(rig.outcomes(AttemptOutcome::NotSent), 1U);
  EXPECT_TRUE(rig.endpoints[0]->statements.empty());
}

TEST_P(EndpointsRule, ATimeOutClosesTheConnectionAndMayHaveRun) {
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

// Guards against an idle connection that its endpoint has closed, or spoken on, unnoticed.
TEST_P(EndpointsRule, ThatCloseAnIdleConnectionCostNoRequest) {
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

// Guards against a machine that vanished: connections to it stay open and say nothing, for ever.
TEST_P(EndpointsRule, ThatVanishedKeepNoIdleConnections) {
  GatewayOptions options;
  options.connectTimeoutMs = 250;
  GatewayRig rig(options, 1);
  std::vector<Line*> held;
  rig.endpoints[0]->answer = [&](Line& line, const std::string&) { held.push_back(&line); };
  std::vector<std::unique_ptr<ClientStandIn>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    clients.back()->ask(request("save", std::to_string(i)));
  }
  ASSERT_TRUE(rig.until([&] { return held.size() == 5; }));
  for (Line* line : held) line->say(rig.endpoints[0]->value("v"));
  for (auto& client : clients) ASSERT_TRUE(client->answered());
  ASSERT_GE(rig.endpoints[0]->openLines(), 5U);
  // From here on nothing comes back, not even to health checks.
  rig.endpoints[0]->answer = rig.endpoints[0]->healthCheck = [](Line&, const std::string&) {};
  rig.endpoints[0]->welcomes = false;
  clients[0]->forget();
  clients[0]->ask(request("save", "x", "", 400));
  ASSERT_TRUE(clients[0]->answered());
  EXPECT_TRUE(rig.until(
      [&] { return rig.endpoints[0]->openLines() == 0 || rig.counters().healthChecksFailed >= 2; }));
  EXPECT_EQ(rig.counters().healthChecksFailed, 1U) << "the first silent probe tells of them all";
  EXPECT_EQ(rig.endpoints[0]->openLines(), 0U);
}

TEST_P(EndpointsRule, ConnectionsAreUsedAgainAndRetiredInTime) {
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

TEST_P(EndpointsRule, AnAnswerThatMakesNoSenseIsNoAnswer) {
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

// Guards the primary, and all that only it can serve, against one answer that can't be read: it is asked on.
TEST_P(EndpointsRule, WhoseAnswersAreMalformedAreAskedOn) {
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
    EXPECT_EQ(writer.types(), "EZ") << "it may have run, and is neither served nor sent again";
    EXPECT_EQ(writer.code(), "58000");
    EXPECT_TRUE(rig.until([&] { return used->ended; })) << "of no further use";
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

TEST_P(DiscoveryRule, IsWatchedFromTheKnownListOn) {
  GatewayRig rig({}, 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EXPECT_EQ(rig.discovery.calls[0], "GET /v1/endpoints?since=1&timeout_ms=1 HTTP/1.1");
  EXPECT_EQ(rig.discovery.calls[1].substr(0, 37), "GET /v1/endpoints?since=1&timeout_ms=");
  // The replica drains: reads go to the primary from then on.
  rig.discovery.tell("[" + entry("m1", rig.endpoints[1]->address(), false, "Terminating") + "]");
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EXPECT_EQ(rig.discovery.calls.back().substr(0, 27), "GET /v1/endpoints?since=2&t");
  ClientStandIn client(rig.loop, rig.socketAddress);
  for (std::size_t i = 0; i < 5; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(i + 1));
  }
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 5U);
}

TEST_P(DiscoveryRule, AnEndpointThatMovesKeepsWhoItIs) {
  GatewayRig rig({}, 1);
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("save", "1"));
  ASSERT_TRUE(client.answered());
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EndpointStandIn moved(rig.loop, kLoopback + 9, GetParam());
  moved.primary = true;
  rig.discovery.tell("[" + entry("m0", moved.address(), true) + "]");
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  client.ask(request("save", "2"));
  ASSERT_TRUE(client.answered(2));
  EXPECT_EQ(moved.statements.size(), 1U);
  EXPECT_TRUE(rig.until([&] { return rig.endpoints[0]->openLines() == 0; }));
}

TEST_P(DiscoveryRule, FailuresLeaveTheListAndAreAskedAgain) {
  GatewayRig rig;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.discovery.shut();
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures >= 1; }));
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.types(), "TDCZ");
  rig.discovery.waiting = nullptr;
  rig.discovery.fails = true;
  rig.discovery.reopen();
  const std::size_t before = rig.discovery.calls.size();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() > before; }));
  rig.discovery.fails = false;
  EXPECT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
}

TEST_P(LimitsRule, AnIdleClientGivesWayToANewOne) {
  GatewayOptions options;
  options.sockets = 100;
  GatewayRig rig(options);
  std::vector<std::unique_ptr<ClientStandIn>> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    clients.back()->ask(request("any", std::to_string(i)));
    ASSERT_TRUE(clients.back()->answered());
  }
  ClientStandIn extra(rig.loop, rig.socketAddress);
  extra.ask(request("any", "extra"));
  EXPECT_TRUE(extra.answered());
  EXPECT_EQ(extra.types(), "TDCZ");
  EXPECT_TRUE(clients[0]->gone());
  EXPECT_EQ(rig.counters().clientsRejected, 0U);
}

// Guards the places of clients against those that ask once and stay.
TEST_P(LimitsRule, ClientsThatRestGiveTheirPlacesBackOnceManyAreTaken) {
  // A quarter of the sixty that are not kept back may rest for as long as they like.
  constexpr std::size_t kMayStay = 15;
  constexpr std::size_t kStayed = 19;
  GatewayRig rig(crowded());
  std::vector<std::unique_ptr<ClientStandIn>> clients;
  for (std::size_t i = 0; i < kStayed; ++i) {
    clients.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    clients.back()->ask(request("any", std::to_string(i)));
    ASSERT_TRUE(clients.back()->answered());
  }
  ASSERT_TRUE(rig.until([&] { return rig.counters().idleClientsEvicted == kStayed - kMayStay; }));
  for (std::size_t i = 0; i < kStayed - kMayStay; ++i) EXPECT_TRUE(clients[i]->gone()) << "the longest first";
  for (std::size_t i = kStayed - kMayStay; i < kStayed; ++i) EXPECT_FALSE(clients[i]->ended());
}

// Guards a process that runs for long: endpoints always new, clients, ids and keys too, each of which asks
// once and stays.
TEST_P(LimitsRule, LevelOffHoweverMuchHasBeenSeen) {
  constexpr std::size_t kRounds = 300;
  GatewayRig rig(crowded(), 1);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const std::string replica = rig.endpoints[0]->address();
  std::vector<std::unique_ptr<ClientStandIn>> stay;
  std::size_t most = 0;
  for (std::size_t i = 0; i < kRounds; ++i) {
    const std::string gone = i == 0 ? "" : "," + entry("r" + std::to_string(i - 1), replica, false, "Gone");
    rig.discovery.tell("[" + entry("r" + std::to_string(i), replica, false) + gone + "]");
    ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
    stay.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    stay.back()->ask(
        request(i % 3 == 0 ? "save" : "any", "id" + std::to_string(i), ",k=" + std::to_string(i)));
    ASSERT_TRUE(stay.back()->answered()) << i;
    ASSERT_NE(stay.back()->types().find("TDCZ"), std::string::npos) << i << " " << stay.back()->code();
    if (i >= kRounds / 2) most = std::max<std::size_t>(most, rig.counters().descriptors);
  }
  EXPECT_LE(most, 76U) << "a hundred less two dozen that are kept back";
  EXPECT_EQ(rig.counters().requestsServed, kRounds);
  EXPECT_LT(rig.loop.memory().taken(), 1'000'000U);
  // Once they are left alone, those that stay are thinned out too.
  EXPECT_TRUE(rig.until([&] {
    std::size_t open = 0;
    for (const auto& client : stay) open += client->ended() ? 0 : 1;
    return open <= 15;
  }));
}

TEST_P(EndRule, LetsGoBetweenRequestsAndServesWhatIsOut) {
  GatewayRig rig;
  ClientStandIn idle(rig.loop, rig.socketAddress);
  idle.ask(request("any", "1"));
  ASSERT_TRUE(idle.answered());
  Line* held = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { held = &line; });
  ClientStandIn busy(rig.loop, rig.socketAddress);
  busy.ask(request("any", "2"));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  bool done = false;
  rig.gateway->drain([&] { done = true; });
  EXPECT_TRUE(idle.gone());
  // New clients still come for a while and are served.
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value("late")); });
  ClientStandIn late(rig.loop, rig.socketAddress);
  late.ask(request("any", "3"));
  EXPECT_TRUE(late.answered());
  EXPECT_EQ(late.value(), "late");
  EXPECT_TRUE(late.gone());
  EXPECT_FALSE(done);
  held->say(rig.endpoints[0]->value("at last"));
  ASSERT_TRUE(busy.answered());
  EXPECT_EQ(busy.value(), "at last");
  EXPECT_TRUE(rig.until([&] { return done; }));
}

// The primary dies with a write on it: that one is failed, and the next goes to the new primary.
TEST_P(EndpointsRule, ThatDieWithARequestAreFollowedByTheNewPrimary) {
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

std::string nameOf(const testing::TestParamInfo<Speaks>& info) {
  return info.param == Speaks::Bolt ? "Bolt" : "Postgres";
}

#define HEATHFLOW_BOTH(Suite) \
  INSTANTIATE_TEST_SUITE_P(Rules, Suite, testing::Values(Speaks::Postgres, Speaks::Bolt), nameOf)
HEATHFLOW_BOTH(ServesRule);
HEATHFLOW_BOTH(ClientsRule);
HEATHFLOW_BOTH(AnswersRule);
HEATHFLOW_BOTH(EndpointsRule);
HEATHFLOW_BOTH(DiscoveryRule);
HEATHFLOW_BOTH(LimitsRule);
HEATHFLOW_BOTH(EndRule);

}  // namespace
}  // namespace heathflow::test
