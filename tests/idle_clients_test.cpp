// Many clients connect and stay idle, also while discovery is down. Calls to discovery, connections to
// endpoints and active clients keep their descriptors. The built program, under limits that the kernel
// enforces.
#include <gtest/gtest.h>

#include <list>

#include "program_process.h"
#include "standins/gateway_rig.h"
#include "standins/process_status.h"

namespace heathflow::test {
namespace {

constexpr std::size_t kSockets = 96;
constexpr std::size_t kIdleClients = 150;  // more than there are descriptors
constexpr std::size_t kActiveClients = 8;
constexpr std::size_t kMemoryMb = 32;

// What an idle client sends before it is idle.
enum class Idle { Silent, Introduced, SentOneRequest, IncompleteMessage };

// A group with its primary and a second endpoint that comes later.
class Site {
 public:
  Site() : first(loop, kLoopback + 1), second(loop, kLoopback + 2), discovery(loop) {
    first.primary = true;
    discovery.endpoints = listOf({&first});
    process = std::make_unique<Process>(configText(options(), discovery.address(), discovery.endpoints));
  }
  static GatewayOptions options() {
    GatewayOptions out;
    out.sockets = kSockets;
    out.memoryMb = kMemoryMb;
    out.maxPollIntervalMs = 2'000;
    out.connectTimeoutMs = 500;
    return out;
  }
  static std::string listOf(const std::vector<EndpointStandIn*>& endpoints) {
    std::string out;
    for (const EndpointStandIn* endpoint : endpoints) {
      out += (out.empty() ? "" : ",") + entry("m" + std::to_string(endpoint->socketAddress().address),
                                              endpoint->address(), endpoint->primary);
    }
    return "[" + out + "]";
  }
  template <typename Condition>
  bool until(Condition&& condition) {
    return test::until(loop, std::forward<Condition>(condition));
  }
  bool ready() {
    if (!until([&] { return process->says("serves at") && discovery.waiting != nullptr; })) return false;
    limitDescriptors(process->pid(), kSockets);
    return true;
  }
  void connectIdle(Idle how) {
    for (std::size_t i = 0; i < kIdleClients; ++i) {
      idleClients.emplace_back(loop, process->socketAddress());
      std::string says = how == Idle::Silent ? "" : pg::startup();
      if (how == Idle::SentOneRequest) says += pg::query(request("any", "idle" + std::to_string(i)));
      if (how == Idle::IncompleteMessage) says += "Q" + pg::u32(130'000) + std::string(100'000, 'x');
      EXPECT_TRUE(idleClients.back().send(says));
    }
  }
  // Sends one request of each active client. @return how many were served.
  std::size_t served(std::list<ClientStandIn>& active) {
    std::size_t count = 0;
    for (auto& client : active) {
      client.forget();
      client.ask(request("save", "active" + std::to_string(++sent)));
      until([&] { return client.ended() || client.types().find('Z') != std::string::npos; });
      if (client.types() == "TDCZ") ++count;
    }
    return count;
  }

  transport::EventLoop loop;
  EndpointStandIn first;
  EndpointStandIn second;
  DiscoveryStandIn discovery;
  std::unique_ptr<Process> process;
  std::list<PlainSocket> idleClients;  // never closes by itself
  std::size_t sent = 0;
};

class IdleClients : public testing::TestWithParam<Idle> {};

TEST_P(IdleClients, LeaveDescriptorsToDiscoveryEndpointsAndActiveClients) {
  Site site;
  ASSERT_TRUE(site.ready());
  std::list<ClientStandIn> active;
  for (std::size_t i = 0; i < kActiveClients; ++i)
    active.emplace_back(site.loop, site.process->socketAddress());
  for (int round = 0; round < 2; ++round) ASSERT_EQ(site.served(active), kActiveClients);
  const std::size_t calls = site.discovery.calls.size();
  site.discovery.shut();
  site.connectIdle(GetParam());
  for (int round = 0; round < 5; ++round) {
    EXPECT_EQ(site.served(active), kActiveClients) << "round " << round;
    EXPECT_LE(descriptorsOf(site.process->pid()), kSockets);
    if (kResidentMemoryIsReliable) {
      EXPECT_LT(residentOf(site.process->pid()), kMemoryMb * 1'000'000);
    }
  }
  for (auto& client : active) EXPECT_FALSE(client.ended()) << "active clients stay connected";
  // Discovery is back, with another primary: the list is received, and the new endpoint connected to.
  site.first.primary = false;
  site.second.primary = true;
  site.discovery.endpoints = site.discovery.changes = Site::listOf({&site.first, &site.second});
  ++site.discovery.revision;
  site.first.answer = [&](Line& line, const std::string&) { line.say(site.first.error("25006")); };
  site.discovery.reopen();
  ASSERT_TRUE(site.until([&] { return site.discovery.calls.size() > calls; })) << site.process->log();
  EXPECT_EQ(site.served(active), kActiveClients);
  EXPECT_FALSE(site.second.statements.empty());
  EXPECT_FALSE(site.process->says("can't be accepted")) << site.process->log();
  EXPECT_FALSE(site.process->over());
}

std::string nameOf(Idle how) {
  switch (how) {
    case Idle::Silent:
      return "Silent";
    case Idle::Introduced:
      return "Introduced";
    case Idle::SentOneRequest:
      return "SentOneRequest";
    case Idle::IncompleteMessage:
      return "IncompleteMessage";
  }
  return "";
}

INSTANTIATE_TEST_SUITE_P(Kinds, IdleClients,
                         testing::Values(Idle::Silent, Idle::Introduced, Idle::SentOneRequest,
                                         Idle::IncompleteMessage),
                         [](const testing::TestParamInfo<Idle>& idle) { return nameOf(idle.param); });

}  // namespace
}  // namespace heathflow::test
