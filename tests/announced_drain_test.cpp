// Endpoints that begin to drain while the list service rejects calls, does not answer, or answers late: none
// gets a request once the gateway counts as notified of its drain.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "race_test.h"

namespace heathflow::test {
namespace {

constexpr long kMaxPollIntervalMs = 10'000;

// Makes an endpoint behave as draining: it rejects health checks, but serves requests.
void drain(EndpointStandIn& endpoint) {
  endpoint.healthCheck = [&endpoint](Line& line, const std::string&) { line.say(endpoint.error("57P03")); };
}

bool waitFor(GatewayRig& rig, transport::Micros time) {
  const transport::Micros until = rig.loop.now() + time;
  return rig.until([&] { return rig.loop.now() >= until; });
}

std::size_t healthChecksAt(const GatewayRig& rig) {
  std::size_t out = 0;
  for (const auto& endpoint : rig.endpoints) out += endpoint->healthChecks;
  return out;
}

// Rejects the current watch and all later calls of the list service.
void rejectAllCalls(GatewayRig& rig) {
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.discovery.fails = true;
  std::exchange(rig.discovery.waiting, nullptr)->say(DiscoveryStandIn::response("", 503));
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures > 0; }));
}

// Opens a connection to every endpoint that is more than 2 s older than the newest list.
void connectAll(GatewayRig& rig) {
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  ClientStandIn one(rig.loop, rig.socketAddress), two(rig.loop, rig.socketAddress),
      three(rig.loop, rig.socketAddress);
  one.ask(request("any", "one"));
  two.ask(request("any", "two"));
  three.ask(request("save", "three"));
  for (ClientStandIn* client : {&one, &two, &three}) ASSERT_TRUE(client->answered());
  ASSERT_TRUE(waitFor(rig, 2 * kSecond));
  for (int lists = 0; lists < 2; ++lists) {
    const std::uint64_t before = rig.counters().listUpdatesApplied;
    std::exchange(rig.discovery.waiting, nullptr)
        ->say(DiscoveryStandIn::response(rig.discovery.document(false, "[]")));
    ASSERT_TRUE(rig.until(
        [&] { return rig.counters().listUpdatesApplied > before && rig.discovery.waiting != nullptr; }));
  }
  for (auto& endpoint : rig.endpoints) {
    EXPECT_GE(endpoint->openLines(), 1U);
    endpoint->statements.clear();
  }
}

// Lets the list expire, with a connection to every endpoint that is older than the list.
void expireList(GatewayRig& rig) {
  connectAll(rig);
  rejectAllCalls(rig);
  ASSERT_TRUE(waitFor(rig, 6 * kSecond));
}

class DrainRule : public testing::TestWithParam<Speaks> {
 protected:
  static GatewayOptions speaking() {
    GatewayOptions out = byHand(kMaxPollIntervalMs);
    out.speaks = GetParam();
    return out;
  }
};
INSTANTIATE_TEST_SUITE_P(Protocols, DrainRule, kBothProtocols, protocolName);

// Both replicas drain while every call is rejected. Requests need a recent health check, and go to the
// primary.
TEST_P(DrainRule, DrainingEndpointsGetNoRequestsSixSecondsLater) {
  GatewayRig rig(speaking());
  expireList(rig);
  drain(*rig.endpoints[1]);
  drain(*rig.endpoints[2]);
  ASSERT_TRUE(waitFor(rig, 6 * kSecond));
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t answers = 0;
  for (int i = 0; i < 5; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(++answers));
  }
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
  EXPECT_TRUE(rig.endpoints[2]->statements.empty());
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 5U);
}

// Failure: an endpoint that drains answers SHOW stats with its report as ever, and that is taken for the
// proof that it does not drain. Only SELECT 1 is rejected by one that drains.
TEST(DrainingEndpoints, ThatReportAsEverGetNoRequestsOnAnExpiredList) {
  GatewayRig rig(byHand(kMaxPollIntervalMs));
  expireList(rig);
  for (const std::size_t i : {1U, 2U}) {
    rig.endpoints[i]->readinessCheck = [&rig, i](Line& line, const std::string&) {
      line.say(rig.endpoints[i]->error("57P03"));
    };
  }
  ASSERT_TRUE(waitFor(rig, 6 * kSecond));
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t answers = 0;
  for (int i = 0; i < 5; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(++answers));
  }
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
  EXPECT_TRUE(rig.endpoints[2]->statements.empty());
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 5U);
}

// Failure (review/9): an endpoint that drains answers each health check as ever and rejects requests, and is
// sent them on an expired list all the same.
TEST_P(DrainRule, EndpointsThatRejectedRequestsGetNoneOnAnExpiredList) {
  GatewayRig rig(speaking());
  connectAll(rig);
  rejectAllCalls(rig);
  for (const std::size_t i : {1U, 2U}) {
    rig.endpoints[i]->answer = [&rig, i](Line& line, const std::string&) {
      line.say(rig.endpoints[i]->error("53300"));
    };
  }
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t answers = 0;
  const auto ask = [&] {
    client.ask(request("any", std::to_string(answers)));
    ASSERT_TRUE(client.answered(++answers));
  };
  while (rig.endpoints[1]->statements.empty() || rig.endpoints[2]->statements.empty()) {
    ASSERT_LT(answers, 100U);
    ask();
  }
  ASSERT_TRUE(waitFor(rig, 6 * kSecond));
  const std::size_t before = rig.endpoints[1]->statements.size() + rig.endpoints[2]->statements.size();
  const std::uint64_t served = rig.counters().requestsServed;
  for (int i = 0; i < 10; ++i) {
    ask();
    ASSERT_TRUE(waitFor(rig, kSecond));
  }
  EXPECT_EQ(rig.endpoints[1]->statements.size() + rig.endpoints[2]->statements.size(), before);
  EXPECT_GT(rig.counters().requestsServed, served) << "the primary serves";
}

// Each endpoint gets one health check in 6 s, however many requests arrive.
TEST_P(DrainRule, RemainingEndpointsServeWithOneHealthCheckInSixSeconds) {
  GatewayRig rig(speaking());
  expireList(rig);
  const std::size_t before = healthChecksAt(rig);
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t answers = 0;
  for (int i = 0; i < 20; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(++answers));
  }
  const std::size_t healthChecks = healthChecksAt(rig);
  EXPECT_EQ(rig.statements().size(), 20U);
  EXPECT_EQ(rig.counters().listsExpired, 1U) << "counted once, however many calls fail";
  EXPECT_GE(healthChecks, before + 1);
  EXPECT_LE(healthChecks, before + rig.endpoints.size());
}

// An endpoint begins to drain after it has answered a health check.
TEST_P(DrainRule, AHealthCheckCountsForNoMoreThanSixSeconds) {
  GatewayRig rig(speaking(), 2);
  expireList(rig);
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t answers = 0;
  const auto serveOne = [&] {
    client.ask(request("any", "a" + std::to_string(answers)));
    return client.answered(++answers);
  };
  for (int i = 0; i < 8; ++i) ASSERT_TRUE(serveOne());
  const std::size_t before = rig.endpoints[1]->statements.size();
  EXPECT_GE(before, 1U);
  drain(*rig.endpoints[1]);
  ASSERT_TRUE(waitFor(rig, 6 * kSecond));
  for (int i = 0; i < 8; ++i) ASSERT_TRUE(serveOne());
  EXPECT_EQ(rig.endpoints[1]->statements.size(), before);
  EXPECT_EQ(rig.endpoints[0]->statements.size(), 16U - before);
}

// Guards against requests to an endpoint that was removed and returned while every call was rejected: it
// answers health checks, but only the next list can confirm that it is back.
TEST_P(DrainRule, AReturnedEndpointGetsNoRequestsBeforeTheNextList) {
  GatewayRig rig(speaking(), 2);
  expireList(rig);
  rig.endpoints[1]->shut();
  ASSERT_TRUE(waitFor(rig, 3 * kSecond));
  rig.endpoints[1]->reopen();
  const transport::Micros returnedAt = rig.loop.now();
  ClientStandIn client(rig.loop, rig.socketAddress);
  std::size_t answers = 0;
  for (int i = 0; rig.loop.now() < returnedAt + 30 * kSecond; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(++answers));
    ASSERT_TRUE(waitFor(rig, kSecond / 2));
  }
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
  EXPECT_FALSE(rig.endpoints[0]->statements.empty());
  rig.discovery.fails = false;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  for (int i = 0; i < 20; ++i) {
    client.ask(request("any", "late" + std::to_string(i)));
    ASSERT_TRUE(client.answered(++answers));
  }
  EXPECT_FALSE(rig.endpoints[1]->statements.empty()) << "the list contains it";
}

// The endpoint is chosen before the list expires, but its connection is open only after that.
TEST_P(DrainRule, AnAttemptThatWaitedForItsConnectionIsReassigned) {
  GatewayRig rig(speaking(), 2);
  rejectAllCalls(rig);
  const transport::Micros rejectedAt = rig.loop.now();
  rig.endpoints[1]->welcomes = false;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(rig.until([&] { return rig.endpoints[1]->openLines() == 1; }));
  drain(*rig.endpoints[1]);
  ASSERT_TRUE(rig.until([&] { return rig.loop.now() >= rejectedAt + 7 * kSecond; }));
  rig.endpoints[1]->welcomeNow();
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.statements().empty())
      << "no connection is old enough, so that no endpoint gets the request";
}

// After the next list, requests need no health checks any more.
TEST_P(DrainRule, TheNextListIsUsedAgain) {
  GatewayRig rig(speaking());
  rejectAllCalls(rig);
  ASSERT_TRUE(waitFor(rig, 6 * kSecond));
  rig.discovery.fails = false;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  const std::size_t before = healthChecksAt(rig);
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  const std::size_t healthChecks = healthChecksAt(rig);
  EXPECT_EQ(healthChecks, before);
  EXPECT_TRUE(rig.endpoints[0]->statements.empty());
}

// Replicas began to drain before this process started. After the failed call the configured list is not used,
// and no endpoint has a connection that is old enough.
TEST(FirstCalls, ThatFailEndTheUseOfTheConfiguredList) {
  GatewayRig rig(byHand(kMaxPollIntervalMs));
  rig.discovery.fails = true;
  drain(*rig.endpoints[1]);
  drain(*rig.endpoints[2]);
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 1; }));
  ClientStandIn client(rig.loop, rig.socketAddress);
  for (std::size_t i = 1; i <= 10; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(i)) << "at once, and not queued";
    ASSERT_TRUE(waitFor(rig, kSecond));
  }
  EXPECT_TRUE(rig.statements().empty());
  rig.discovery.fails = false;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  client.ask(request("any", "listed"));
  ASSERT_TRUE(client.answered(11));
  EXPECT_EQ(rig.statements().size(), 1U);
}

// Where lists are pushed, changes count as soon as the agent has them.
TEST(FirstCalls, ThatTimeOutEndTheUseOfTheConfiguredListWhereListsArePushed) {
  GatewayOptions options = byHand(kMaxPollIntervalMs);
  options.discovery = "push";
  GatewayRig rig(options, 2);
  rig.discovery.silent = true;
  ClientStandIn client(rig.loop, rig.socketAddress);
  for (std::size_t i = 1; i <= 10; ++i) {
    client.ask(request("any", std::to_string(i)));
    ASSERT_TRUE(client.answered(i));
    ASSERT_TRUE(waitFor(rig, kSecond));
  }
  EXPECT_TRUE(rig.statements().empty());
}

// The lease does not last for the 10 s wait of a watch that was rejected.
TEST(RejectedWatches, DoNotExtendTheLeaseForTheirWait) {
  GatewayOptions options = byHand(kMaxPollIntervalMs);
  options.gateways = 300;
  GatewayRig rig(options, 2);
  // The service is slow, so that watches are long.
  rig.discovery.silent = true;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() == 1; }));
  ASSERT_TRUE(waitFor(rig, kSecond));
  rig.discovery.silent = false;
  rig.discovery.lines.front()->say(DiscoveryStandIn::response(rig.discovery.document(false, "[]")));
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  ASSERT_NE(rig.discovery.calls.back().find("timeout_ms=10000 "), std::string::npos);
  rejectAllCalls(rig);
  drain(*rig.endpoints[1]);
  ASSERT_TRUE(waitFor(rig, 6 * kSecond));
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
}

// ---- Several calls in flight ----

// The service has a long queue and answers the first call after the second one was sent.
TEST(OverdueCalls, AreUsedWhenTheyAreAnsweredLate) {
  GatewayRig rig(byHand(kMaxPollIntervalMs), 2);
  rig.discovery.silent = true;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() == 2; }));
  ASSERT_EQ(rig.discovery.lines.size(), 2U);
  EXPECT_LE(rig.discovery.calledAt[1], rig.discovery.calledAt[0] + 2 * kSecond);
  EXPECT_FALSE(rig.discovery.lines.front()->ended);
  const std::uint64_t before = rig.counters().listUpdatesApplied;
  rig.discovery.silent = false;
  rig.discovery.lines.front()->say(
      DiscoveryStandIn::response(rig.discovery.document(false, "[" + rig.entryOf(1, "Terminating") + "]")));
  ASSERT_TRUE(rig.until([&] { return rig.counters().listUpdatesApplied > before; }));
  ASSERT_TRUE(rig.until([&] { return rig.discovery.lines.back()->ended; })) << "the later call is closed";
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EXPECT_EQ(rig.discovery.waiting, rig.discovery.lines.front().get()) << "the connection is kept";
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.endpoints[1]->statements.empty());
}

// A gateway has at most three connections to a service that never answers, and makes each next call in time
// for an answer.
TEST(OverdueCalls, AreAtMostThreeIncludingTheNewest) {
  GatewayRig rig(byHand(kMaxPollIntervalMs), 2);
  rig.discovery.silent = true;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() >= 8; }));
  EXPECT_LE(rig.discovery.openLines(), 3U);
  for (std::size_t i = 1; i < rig.discovery.calledAt.size(); ++i)
    EXPECT_LE(rig.discovery.calledAt[i] - rig.discovery.calledAt[i - 1], 1750'000);
  const std::uint64_t before = rig.counters().listUpdatesApplied;
  rig.discovery.silent = false;
  ASSERT_TRUE(rig.until([&] { return rig.counters().listUpdatesApplied > before; }));
}

// The newest call fails, and an earlier one is answered before the next one is sent.
TEST(OverdueCalls, AreUsedWhileTheNextCallIsScheduled) {
  GatewayRig rig(byHand(kMaxPollIntervalMs), 2);
  rig.discovery.silent = true;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() == 2; }));
  rig.discovery.lines.back()->say(DiscoveryStandIn::response("", 503));
  ASSERT_TRUE(rig.until([&] { return rig.counters().discoveryFailures == 2; }));
  rig.discovery.silent = false;
  const std::uint64_t before = rig.counters().listUpdatesApplied;
  rig.discovery.lines.front()->say(DiscoveryStandIn::response(rig.discovery.document(false, "[]")));
  ASSERT_TRUE(rig.until([&] { return rig.counters().listUpdatesApplied > before; }));
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  EXPECT_EQ(rig.discovery.calls.size(), 3U) << "the call that was due is the watch";
}

// An overdue call that is rejected was already counted as failed when it became overdue.
TEST(OverdueCalls, ThatFailLaterChangeNothing) {
  GatewayRig rig(byHand(kMaxPollIntervalMs), 2);
  rig.discovery.silent = true;
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() == 2; }));
  Line* first = rig.discovery.lines.front().get();
  first->say(DiscoveryStandIn::response("", 503));
  ASSERT_TRUE(rig.until([&] { return first->ended; }));
  EXPECT_EQ(rig.counters().discoveryFailures, 1U);
  EXPECT_EQ(rig.discovery.calls.size(), 2U);
  rig.discovery.silent = false;
  const std::uint64_t before = rig.counters().listUpdatesApplied;
  rig.discovery.lines.back()->say(DiscoveryStandIn::response(rig.discovery.document(false, "[]")));
  ASSERT_TRUE(rig.until([&] { return rig.counters().listUpdatesApplied > before; }));
}

// ---- Health checks of a draining endpoint ----

// Guards against health checks in a tight loop, while a read needs the position of a draining primary.
TEST(RejectedHealthChecks, AreNotRepeatedWithoutAPause) {
  GatewayOptions options = byHand(kMaxPollIntervalMs);
  options.viewConsistency = "fresh";
  GatewayRig rig(options, 2);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  drain(*rig.endpoints[0]);
  ASSERT_TRUE(waitFor(rig, 10 * kSecond));
  const std::size_t before = rig.endpoints[0]->healthChecks;
  const transport::Micros from = rig.loop.now();
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("view", "1", "", 4'000));
  ASSERT_TRUE(client.answered());
  const auto seconds = static_cast<std::size_t>((rig.loop.now() - from) / kSecond);
  EXPECT_LE(rig.endpoints[0]->healthChecks, before + 4 * (seconds + 1));
}

}  // namespace
}  // namespace heathflow::test
