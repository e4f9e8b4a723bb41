// Tests of the emulator's link conditions, list service and links, and of several real gateways behind them.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>

#include <algorithm>

#include "emulator/gateway_output.h"
#include "emulator/link.h"
#include "emulator/link_conditions.h"
#include "emulator/list_model.h"
#include "emulator/list_service.h"
#include "invariants/invariant_checker.h"
#include "program_process.h"
#include "standins/gateway_rig.h"
#include "stats/upstream_stats.h"

namespace heathflow::test {
namespace {

using emulator::Direction;
using emulator::Fault;
using emulator::LinkConditions;
using emulator::ListModel;

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

// ---- LinkConditions ----

TEST(LinkConditions, FollowsItsScheduleAndCutsOneDirectionOnly) {
  Fault cut;
  cut.from = kS;
  cut.cutToClient = true;
  Fault restored;
  restored.from = 2 * kS;
  restored.delay = 30 * kMs;
  LinkConditions conditions({restored, cut}, 1);  // in any order
  EXPECT_EQ(conditions.arrivals(0, Direction::ToClient), std::vector<Micros>{0});
  EXPECT_EQ(conditions.arrivals(kS, Direction::ToServer), std::vector<Micros>{kS});
  EXPECT_TRUE(conditions.arrivals(kS, Direction::ToClient).empty());
  EXPECT_FALSE(conditions.streamArrival(kS, Direction::ToClient, 0));
  EXPECT_EQ(conditions.streamArrival(2 * kS, Direction::ToClient, 0), 2 * kS + 30 * kMs);
  EXPECT_EQ(conditions.streamArrival(2 * kS, Direction::ToClient, 3 * kS), 3 * kS)
      << "bytes of a stream keep their order";
  EXPECT_EQ(conditions.nextChangeAfter(0), kS);
  EXPECT_EQ(conditions.nextChangeAfter(kS), 2 * kS);
  EXPECT_FALSE(conditions.nextChangeAfter(2 * kS));
}

TEST(LinkConditions, LosesDuplicatesAndReordersByItsSeed) {
  Fault bad;
  bad.loss = 0.3;
  bad.duplicates = 0.2;
  bad.jitter = 50 * kMs;
  const auto play = [&](std::uint64_t seed) {
    LinkConditions conditions({bad}, seed);
    std::vector<Micros> out;
    for (int i = 0; i < 1000; ++i) {
      for (const Micros when : conditions.arrivals(i * kMs, Direction::ToServer)) out.push_back(when);
    }
    return out;
  };
  const auto first = play(7);
  EXPECT_EQ(first, play(7));
  EXPECT_NE(first, play(8));
  EXPECT_GT(first.size(), 700U);  // 1000 * 0.7 * 1.2 is 840
  EXPECT_LT(first.size(), 980U);
  EXPECT_FALSE(std::is_sorted(first.begin(), first.end()));
}

// ---- The list service's model ----

std::vector<emulator::ListedEntry> threeEntries() {
  std::vector<emulator::ListedEntry> out(3);
  for (std::size_t i = 0; i < out.size(); ++i) {
    out[i].id = "m" + std::to_string(i);
    out[i].hostPort = "127.0.0.1:" + std::to_string(7000 + i);
    out[i].primary = i == 0;
  }
  return out;
}

TEST(ListService, ServesOneCallAtATimeAndRejectsThoseThatWouldWaitTooLong) {
  ListModel model({2 * kMs, kMs, 10 * kMs, 3});  // 5 ms a complete list
  model.set(threeEntries());
  std::vector<ListModel::Answer> answers;
  for (int i = 0; i < 5; ++i) answers.push_back(*model.call(kS, -1, false));
  EXPECT_EQ(answers[0].at, kS + 5 * kMs);
  EXPECT_EQ(answers[1].at, kS + 10 * kMs);
  EXPECT_EQ(answers[2].at, kS + 15 * kMs);
  EXPECT_EQ(answers[3].kind, ListModel::Answer::Kind::Rejected);
  EXPECT_EQ(answers[4].kind, ListModel::Answer::Kind::Rejected);
  EXPECT_EQ(model.rejected(), 2U);
  EXPECT_EQ(model.completeLists(), 3U);
  EXPECT_EQ(model.arrivals().mostWithin(100 * kMs), 5U);
  EXPECT_EQ(model.call(kS + 10 * kMs, -1, false)->kind, ListModel::Answer::Kind::Served);
}

TEST(ListService, SendsChangesSinceARevisionAndTheCompleteListToACallerWithANewerOne) {
  ListModel model({});
  auto entries = threeEntries();
  model.set(entries);
  entries.pop_back();
  entries[1].phase = "Terminating";
  model.set(entries);
  const std::string changes = model.call(0, 1, false)->body;
  EXPECT_NE(changes.find("\"complete\":false"), std::string::npos);
  EXPECT_NE(changes.find("\"id\":\"m2\""), std::string::npos) << "the removed one";
  EXPECT_NE(changes.find("\"Gone\""), std::string::npos);
  EXPECT_NE(changes.find("\"Terminating\""), std::string::npos);
  EXPECT_EQ(changes.find("\"id\":\"m0\""), std::string::npos);
  EXPECT_FALSE(model.call(0, 2, true)) << "nothing new: it waits";
  model.goBackTo(1);
  EXPECT_NE(model.call(0, 2, true)->body.find("\"complete\":true"), std::string::npos);
}

TEST(ListService, ResetsCallsAndLimitsEntriesWhereWanted) {
  ListModel model({});
  model.set(threeEntries());
  model.setResetShare(0.5, 1);
  for (int i = 0; i < 100; ++i) model.call(0, -1, false);
  EXPECT_GT(model.resets(), 30U);
  EXPECT_LT(model.resets(), 70U);
  model.setResetShare(0, 1);
  model.limitEntries(1);
  EXPECT_EQ(model.call(0, -1, false)->body.find("\"id\":\"m1\""), std::string::npos);
  model.setDown(true);
  EXPECT_EQ(model.call(0, -1, false)->kind, ListModel::Answer::Kind::Reset);
}

// ---- Links ----

struct EchoSetup {
  EchoSetup() {
    endpoint.answer = [this](Line& line, const std::string&) { line.say(endpoint.value("echo")); };
  }
  transport::EventLoop loop;
  EndpointStandIn endpoint{loop};
  transport::SocketAddress any{kLoopback, 0};
};

TEST(StreamLinks, ForwardAndDelay) {
  EchoSetup site;
  Fault slow;
  slow.delay = 20 * kMs;
  emulator::StreamLink link(site.loop, site.any, site.endpoint.socketAddress(), LinkConditions({slow}, 1));
  const Micros before = site.loop.now();
  ClientStandIn client(site.loop, link.socketAddress());
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered(1));
  EXPECT_GE(site.loop.now() - before, 40 * kMs);
  EXPECT_EQ(site.endpoint.statements.size(), 1U);
}

TEST(StreamLinks, HoldBackOneDirectionOfACutAndLoseNothing) {
  EchoSetup site;
  emulator::StreamLink link(site.loop, site.any, site.endpoint.socketAddress(), LinkConditions({}, 1));
  ClientStandIn client(site.loop, link.socketAddress());
  client.ask(request("any", "0"));
  ASSERT_TRUE(client.answered(1));
  client.forget();
  Fault cut;
  cut.cutToClient = true;
  link.change(LinkConditions({cut}, 1));
  client.ask(request("any", "1"));
  client.ask(request("any", "2"));
  ASSERT_TRUE(until(site.loop, [&] { return site.endpoint.statements.size() == 3; }));
  const Micros mark = site.loop.now();
  ASSERT_TRUE(until(site.loop, [&] { return site.loop.now() > mark + 50 * kMs; }));
  EXPECT_EQ(client.types().find('D'), std::string::npos);
  link.change(LinkConditions({}, 1));
  ASSERT_TRUE(client.answered(2));
}

TEST(StreamLinks, ResetOpenConnectionsAndRejectNewOnes) {
  EchoSetup site;
  emulator::StreamLink link(site.loop, site.any, site.endpoint.socketAddress(), LinkConditions({}, 1));
  ClientStandIn client(site.loop, link.socketAddress());
  client.ask(request("any", "0"));
  ASSERT_TRUE(client.answered(1));
  Fault broken;
  broken.resets = broken.rejects = true;
  link.change(LinkConditions({broken}, 1));
  ASSERT_TRUE(client.gone());
  try {
    ClientStandIn other(site.loop, link.socketAddress());
    EXPECT_TRUE(other.gone());
  } catch (const std::runtime_error&) {
    // The connection was reset before the client saw it open.
  }
  EXPECT_GE(link.rejected(), 1U);
  EXPECT_EQ(link.connections(), 0U);
}

transport::UniqueFd datagrams(transport::SocketAddress& at) {
  transport::UniqueFd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(kLoopback);
  EXPECT_EQ(::bind(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  at = *transport::localAddress(fd.get());
  return fd;
}

TEST(DatagramLinks, LoseDuplicateAndForwardAnswers) {
  transport::EventLoop loop;
  transport::SocketAddress a, b;
  const auto from = datagrams(a);
  const auto to = datagrams(b);
  Fault bad;
  bad.loss = 0.5;
  bad.duplicates = 0.5;
  emulator::DatagramLink link(loop, {kLoopback, 0}, b, LinkConditions({bad}, 3));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(link.socketAddress().address);
  address.sin_port = htons(link.socketAddress().port);
  constexpr int kSent = 100;
  for (int i = 0; i < kSent; ++i) {
    ASSERT_EQ(::sendto(from.get(), "x", 1, 0, reinterpret_cast<sockaddr*>(&address), sizeof address), 1);
  }
  std::uint64_t got = 0;
  char byte = 0;
  ASSERT_TRUE(until(loop, [&] {
    while (::recv(to.get(), &byte, 1, 0) == 1) ++got;
    return link.dropped() + got >= kSent && got == link.delivered();
  }));
  EXPECT_GT(link.dropped(), 30U);
  EXPECT_GT(got, kSent - link.dropped()) << "some arrived twice";
  // Answers go back to the sender.
  link.change(LinkConditions({}, 1));
  sockaddr_in source{};
  socklen_t size = sizeof source;
  ASSERT_EQ(::sendto(from.get(), "q", 1, 0, reinterpret_cast<sockaddr*>(&address), sizeof address), 1);
  ASSERT_TRUE(until(loop, [&] {
    return ::recvfrom(to.get(), &byte, 1, 0, reinterpret_cast<sockaddr*>(&source), &size) == 1 && byte == 'q';
  }));
  ASSERT_EQ(::sendto(to.get(), "a", 1, 0, reinterpret_cast<sockaddr*>(&source), sizeof source), 1);
  ASSERT_TRUE(until(loop, [&] { return ::recv(from.get(), &byte, 1, 0) == 1 && byte == 'a'; }));
}

// ---- Several gateways ----

// One list service, a link to it for each gateway, one endpoint, and gateways that start from an empty list.
struct GatewaysSetup {
  explicit GatewaysSetup(emulator::ListCosts costs, std::size_t gateways) : service(loop, costs) {
    endpoint.primary = true;
    service.model().goBackTo(100);  // the gateways know revision 1
    service.set({entryOfEndpoint()});
    for (std::size_t i = 0; i < gateways; ++i)
      links.push_back(std::make_unique<emulator::StreamLink>(loop, transport::SocketAddress{kLoopback, 0},
                                                             service.socketAddress(), LinkConditions({}, i)));
  }
  emulator::ListedEntry entryOfEndpoint() const {
    emulator::ListedEntry out;
    out.id = "m0";
    out.hostPort = endpoint.address();
    out.primary = true;
    return out;
  }
  void start() {
    for (const auto& link : links) {
      GatewayOptions options;
      options.connectTimeoutMs = 250;
      children.push_back(std::make_unique<Process>(configText(options, toText(link->socketAddress()), "[]")));
    }
  }
  template <typename Condition>
  bool until(Condition&& condition) {
    return test::until(loop, std::forward<Condition>(condition));
  }
  // Returns whether a gateway uses the list: it answers a request with the endpoint's row.
  bool serves(Process& child) {
    if (!until([&] { return child.socketAddress().port != 0; })) return false;
    return until([&] {
      ClientStandIn client(loop, child.socketAddress());
      client.ask(request("status", std::to_string(++ids)));
      return client.answered() && client.types().find('D') != std::string::npos;
    });
  }
  bool allServe() {
    return std::all_of(children.begin(), children.end(), [&](auto& child) { return serves(*child); });
  }

  transport::EventLoop loop;
  EndpointStandIn endpoint{loop};
  emulator::ListService service;
  std::vector<std::unique_ptr<emulator::StreamLink>> links;
  std::vector<std::unique_ptr<Process>> children;
  std::uint64_t ids = 0;
};

TEST(Gateways, AllStartAtOnceWithASlowListService) {
  GatewaysSetup site({20 * kMs, 0, kS, {}}, 6);
  site.start();
  EXPECT_TRUE(site.allServe());
  EXPECT_GE(site.service.model().calls(), 6U);
}

TEST(Gateways, StartWhileEverySecondCallIsReset) {
  GatewaysSetup site({kMs, 0, kS, {}}, 5);
  site.service.model().setResetShare(0.5, 3);
  site.start();
  EXPECT_TRUE(site.allServe());
  EXPECT_GE(site.service.model().resets(), 1U);
}

TEST(Gateways, StartWithTheServiceDownAndServeOnceItIsBack) {
  GatewaysSetup site({kMs, 0, kS, {}}, 5);
  site.service.goDown();
  site.start();
  for (auto& child : site.children) {
    ASSERT_TRUE(site.until([&] { return child->says("a call to the list service failed"); })) << child->log();
    EXPECT_FALSE(child->over());
  }
  site.service.comeUp();
  EXPECT_TRUE(site.allServe());
}

TEST(Gateways, ServeAgainAfterAKillOfMostOfThem) {
  GatewaysSetup site({kMs, 0, kS, {}}, 6);
  site.start();
  ASSERT_TRUE(site.allServe());
  for (std::size_t i = 0; i < 4; ++i) site.children[i]->restart();
  EXPECT_EQ(site.children[0]->incarnations(), 2U);
  EXPECT_TRUE(site.allServe());
}

TEST(Gateways, ServeAfterAPauseBetweenACallAndItsAnswer) {
  GatewaysSetup site({kMs, 0, kS, {}}, 2);
  Fault held;
  held.cutToClient = true;
  site.links[0]->change(LinkConditions({held}, 1));
  site.start();
  ASSERT_TRUE(site.serves(*site.children[1]));
  ASSERT_TRUE(site.until([&] { return site.service.model().calls() >= 2; }));
  site.children[0]->pause();
  site.links[0]->change(LinkConditions({}, 1));
  const Micros mark = site.loop.now();
  ASSERT_TRUE(site.until([&] { return site.loop.now() > mark + 300 * kMs; }));
  site.children[0]->resume();
  EXPECT_TRUE(site.serves(*site.children[0]));
  EXPECT_FALSE(site.children[0]->over());
}

TEST(Gateways, TakeTheCompleteListOfAServiceWithAnOlderRevision) {
  GatewaysSetup site({kMs, 0, kS, {}}, 1);
  site.service.set({site.entryOfEndpoint()});
  site.service.set({site.entryOfEndpoint()});
  site.start();
  ASSERT_TRUE(site.serves(*site.children[0]));
  site.service.goDown();
  site.service.model().goBackTo(1);
  site.service.comeUp();
  ASSERT_TRUE(site.until([&] { return site.service.model().completeLists() >= 1; }));
  EXPECT_TRUE(site.serves(*site.children[0]));
}

// Guards against a renamed counter or log line, which would hide violations from the emulator.
TEST(GatewayOutput, HasTheNamesThatTheProgramWrites) {
  const std::string text = describe(stats::UpstreamStats());
  const std::string lastLine = text.substr(text.find("upstream_connections:"));
  const std::string lastCounter = emulator::kLastCounter;
  EXPECT_EQ(lastCounter.substr(0, lastCounter.find('.') + 1), "upstream_connections.");
  EXPECT_NE(lastLine.find(" " + lastCounter.substr(lastCounter.find('.') + 1) + "="), std::string::npos);
  const std::string group(
      emulator::kUnservedByReasonPrefix.substr(0, emulator::kUnservedByReasonPrefix.size() - 1));
  EXPECT_NE(text.find(group + ":"), std::string::npos);
  EXPECT_EQ(std::string("invariants: ") + invariants::kViolated, emulator::kInvariantViolated);
}

TEST(Gateways, LogTheirCountersAndEndWithTheEmulator) {
  pid_t pid = 0;
  {
    GatewaysSetup site({kMs, 0, kS, {}}, 1);
    site.start();
    ASSERT_TRUE(site.serves(*site.children[0]));
    Process& child = *site.children[0];
    pid = child.pid();
    child.signal(SIGUSR1);
    ASSERT_TRUE(site.until([&] { return child.counters().contains("memory.rejections"); }));
    EXPECT_GE(child.counters().at("requests.served"), 1U);
    EXPECT_GE(child.counters().at("discovery.lists"), 1U);
    EXPECT_FALSE(child.events().empty());
  }
  EXPECT_NE(::kill(pid, 0), 0);
}

}  // namespace
}  // namespace heathflow::test
