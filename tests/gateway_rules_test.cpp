// Behavior of the gateway itself: discovery, limits, shutdown.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "rule_test.h"

namespace heathflow::test {
namespace {

class DiscoveryRule : public RuleTest {};
class LimitsRule : public RuleTest {};
class ShutdownRule : public RuleTest {};

TEST_P(DiscoveryRule, TheListIsWatchedFromTheKnownRevision) {
  GatewayRig rig({}, 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EXPECT_EQ(rig.discovery.calls[0], "GET /v1/endpoints?since=1&timeout_ms=1 HTTP/1.1");
  EXPECT_EQ(rig.discovery.calls[1].substr(0, 37), "GET /v1/endpoints?since=1&timeout_ms=");
  // Once the replica drains, reads go to the primary.
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

TEST_P(DiscoveryRule, AnEndpointKeepsItsIdentityAtANewAddress) {
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

TEST_P(DiscoveryRule, FailedCallsKeepTheListAndAreRetried) {
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

TEST_P(LimitsRule, AnIdleClientIsEvictedForANewOne) {
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

// Guards against clients that send one request and stay connected using up the descriptors for clients.
TEST_P(LimitsRule, IdleClientsAreEvictedOnceManyAreConnected) {
  // Idle clients may use a quarter of the sixty descriptors that are not reserved.
  constexpr std::size_t kMaxIdle = 15;
  constexpr std::size_t kConnected = 19;
  GatewayRig rig(fewDescriptors());
  std::vector<std::unique_ptr<ClientStandIn>> clients;
  for (std::size_t i = 0; i < kConnected; ++i) {
    clients.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    clients.back()->ask(request("any", std::to_string(i)));
    ASSERT_TRUE(clients.back()->answered());
  }
  ASSERT_TRUE(rig.until([&] { return rig.counters().idleClientsEvicted == kConnected - kMaxIdle; }));
  for (std::size_t i = 0; i < kConnected - kMaxIdle; ++i)
    EXPECT_TRUE(clients[i]->gone()) << "the longest idle first";
  for (std::size_t i = kConnected - kMaxIdle; i < kConnected; ++i) EXPECT_FALSE(clients[i]->ended());
}

// Guards against memory or descriptors growing with the number of endpoints, clients, ids and keys that the
// process has ever seen.
TEST_P(LimitsRule, ResourcesAreBoundedOverTime) {
  constexpr std::size_t kRounds = 300;
  GatewayRig rig(fewDescriptors(), 1);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const std::string replica = rig.endpoints[0]->address();
  std::vector<std::unique_ptr<ClientStandIn>> clients;
  std::size_t maxDescriptors = 0;
  for (std::size_t i = 0; i < kRounds; ++i) {
    const std::string removed =
        i == 0 ? "" : "," + entry("r" + std::to_string(i - 1), replica, false, "Gone");
    rig.discovery.tell("[" + entry("r" + std::to_string(i), replica, false) + removed + "]");
    ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
    clients.push_back(std::make_unique<ClientStandIn>(rig.loop, rig.socketAddress));
    clients.back()->ask(
        request(i % 3 == 0 ? "save" : "any", "id" + std::to_string(i), ",k=" + std::to_string(i)));
    ASSERT_TRUE(clients.back()->answered()) << i;
    ASSERT_NE(clients.back()->types().find("TDCZ"), std::string::npos) << i << " " << clients.back()->code();
    if (i >= kRounds / 2) maxDescriptors = std::max<std::size_t>(maxDescriptors, rig.counters().descriptors);
  }
  EXPECT_LE(maxDescriptors, 76U) << "a hundred less the reserve";
  EXPECT_EQ(rig.counters().requestsServed, kRounds);
  EXPECT_LT(rig.loop.memory().used(), 1'000'000U);
  // Idle clients are evicted even when no more clients connect.
  EXPECT_TRUE(rig.until([&] {
    std::size_t open = 0;
    for (const auto& client : clients) open += client->ended() ? 0 : 1;
    return open <= 15;
  }));
}

TEST_P(ShutdownRule, ClosesIdleClientsAndServesRequestsInFlight) {
  GatewayRig rig;
  ClientStandIn idle(rig.loop, rig.socketAddress);
  idle.ask(request("any", "1"));
  ASSERT_TRUE(idle.answered());
  Line* pending = nullptr;
  rig.answerAll([&](Line& line, const std::string&) { pending = &line; });
  ClientStandIn busy(rig.loop, rig.socketAddress);
  busy.ask(request("any", "2"));
  ASSERT_TRUE(rig.until([&] { return pending != nullptr; }));
  bool done = false;
  rig.gateway->beginShutdown([&] { done = true; });
  EXPECT_TRUE(idle.gone());
  // New clients can still connect for a while and are served.
  rig.answerAll([&](Line& line, const std::string&) { line.say(rig.endpoints[0]->value("late")); });
  ClientStandIn late(rig.loop, rig.socketAddress);
  late.ask(request("any", "3"));
  EXPECT_TRUE(late.answered());
  EXPECT_EQ(late.value(), "late");
  EXPECT_TRUE(late.gone());
  EXPECT_FALSE(done);
  pending->say(rig.endpoints[0]->value("at last"));
  ASSERT_TRUE(busy.answered());
  EXPECT_EQ(busy.value(), "at last");
  EXPECT_TRUE(rig.until([&] { return done; }));
}

HEATHFLOW_BOTH_PROTOCOLS(DiscoveryRule);
HEATHFLOW_BOTH_PROTOCOLS(LimitsRule);
HEATHFLOW_BOTH_PROTOCOLS(ShutdownRule);

}  // namespace
}  // namespace heathflow::test
