// Many clients connect and stay idle, also while discovery is down. Discovery, connections to endpoints and
// active clients must still get descriptors. Runs the built program under limits that the kernel enforces.
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

// The bytes that a client sends before it becomes idle.
enum class Idle { Silent, Introduced, SentOneRequest, IncompleteMessage };

// The program with a group of one primary, and a second endpoint that is listed later.
class IdleClientsRig {
 public:
  IdleClientsRig() : first(loop, kLoopback + 1), second(loop, kLoopback + 2), discovery(loop) {
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
      std::string bytes = how == Idle::Silent ? "" : pg::startup();
      if (how == Idle::SentOneRequest) bytes += pg::query(request("any", "idle" + std::to_string(i)));
      if (how == Idle::IncompleteMessage) bytes += "Q" + pg::u32(130'000) + std::string(100'000, 'x');
      EXPECT_TRUE(idleClients.back().send(bytes));
    }
  }
  // Sends one request from each active client. @return how many were served.
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
  std::list<PlainSocket> idleClients;  // never close by themselves
  std::size_t sent = 0;
};

class IdleClients : public testing::TestWithParam<Idle> {};

TEST_P(IdleClients, LeaveDescriptorsToDiscoveryEndpointsAndActiveClients) {
  IdleClientsRig rig;
  ASSERT_TRUE(rig.ready());
  std::list<ClientStandIn> active;
  for (std::size_t i = 0; i < kActiveClients; ++i)
    active.emplace_back(rig.loop, rig.process->socketAddress());
  for (int round = 0; round < 2; ++round) ASSERT_EQ(rig.served(active), kActiveClients);
  const std::size_t calls = rig.discovery.calls.size();
  rig.discovery.shut();
  rig.connectIdle(GetParam());
  for (int round = 0; round < 5; ++round) {
    EXPECT_EQ(rig.served(active), kActiveClients) << "round " << round;
    EXPECT_LE(descriptorsOf(rig.process->pid()), kSockets);
    if (kResidentMemoryIsReliable) {
      EXPECT_LT(residentOf(rig.process->pid()), kMemoryMb * 1'000'000);
    }
  }
  for (auto& client : active) EXPECT_FALSE(client.ended()) << "active clients stay connected";
  // Discovery is back, with another primary: the gateway receives the list and connects to the new primary.
  rig.first.primary = false;
  rig.second.primary = true;
  rig.discovery.endpoints = rig.discovery.changes = IdleClientsRig::listOf({&rig.first, &rig.second});
  ++rig.discovery.revision;
  rig.first.answer = [&](Line& line, const std::string&) { line.say(rig.first.error("25006")); };
  rig.discovery.reopen();
  ASSERT_TRUE(rig.until([&] { return rig.discovery.calls.size() > calls; })) << rig.process->log();
  EXPECT_EQ(rig.served(active), kActiveClients);
  EXPECT_FALSE(rig.second.statements.empty());
  EXPECT_FALSE(rig.process->says("accepting a client failed")) << rig.process->log();
  EXPECT_FALSE(rig.process->over());
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
