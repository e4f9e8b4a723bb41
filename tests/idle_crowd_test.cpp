// Clients that connect and stay idle may take every place that there is for clients, also while discovery is
// down. Calls to discovery, connections to endpoints and clients that ask keep theirs. The built program,
// under limits that the kernel enforces.
#include <gtest/gtest.h>

#include <list>

#include "program_process.h"
#include "standins/gateway_rig.h"
#include "standins/process_status.h"

namespace heathflow::test {
namespace {

constexpr std::size_t kSockets = 96;
constexpr std::size_t kCrowd = 150;  // more than there are places of any kind
constexpr std::size_t kGood = 8;
constexpr std::size_t kMemoryMb = 32;

// What an idle client says before it rests.
enum class Idle { Silent, Introduced, AskedOnce, BeginsAMessage };

// A group of one that leads it and a second that comes later; discovery can go away and come back.
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
  void crowdIn(Idle how) {
    for (std::size_t i = 0; i < kCrowd; ++i) {
      crowd.emplace_back(loop, process->socketAddress());
      std::string says = how == Idle::Silent ? "" : pg::startup();
      if (how == Idle::AskedOnce) says += pg::query(request("any", "crowd" + std::to_string(i)));
      if (how == Idle::BeginsAMessage) says += "Q" + pg::u32(130'000) + std::string(100'000, 'x');
      EXPECT_TRUE(crowd.back().send(says));
    }
  }
  // Asks once for each good client; how many were served.
  std::size_t served(std::list<ClientStandIn>& good) {
    std::size_t count = 0;
    for (auto& client : good) {
      client.forget();
      client.ask(request("save", "good" + std::to_string(++asked)));
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
  std::list<PlainSocket> crowd;  // never closes by itself
  std::size_t asked = 0;
};

class IdleCrowd : public testing::TestWithParam<Idle> {};

TEST_P(IdleCrowd, LeavesListsEndpointsAndGoodClientsTheirPlaces) {
  Site site;
  ASSERT_TRUE(site.ready());
  std::list<ClientStandIn> good;
  for (std::size_t i = 0; i < kGood; ++i) good.emplace_back(site.loop, site.process->socketAddress());
  for (int round = 0; round < 2; ++round) ASSERT_EQ(site.served(good), kGood);
  const std::size_t calls = site.discovery.calls.size();
  site.discovery.shut();
  site.crowdIn(GetParam());
  for (int round = 0; round < 5; ++round) {
    EXPECT_EQ(site.served(good), kGood) << "round " << round;
    EXPECT_LE(descriptorsOf(site.process->pid()), kSockets);
    if (kResidentIsOwn) {
      EXPECT_LT(residentOf(site.process->pid()), kMemoryMb * 1'000'000);
    }
  }
  for (auto& client : good) EXPECT_FALSE(client.ended()) << "it keeps its place";
  // Discovery is back, with another leader: the list comes through, and so does a connection to a new
  // endpoint.
  site.first.primary = false;
  site.second.primary = true;
  site.discovery.endpoints = site.discovery.news = Site::listOf({&site.first, &site.second});
  ++site.discovery.revision;
  site.first.answer = [&](Line& line, const std::string&) { line.say(site.first.error("25006")); };
  site.discovery.reopen();
  ASSERT_TRUE(site.until([&] { return site.discovery.calls.size() > calls; })) << site.process->log();
  EXPECT_EQ(site.served(good), kGood);
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
    case Idle::AskedOnce:
      return "AskedOnce";
    case Idle::BeginsAMessage:
      return "BeginsAMessage";
  }
  return "";
}

INSTANTIATE_TEST_SUITE_P(Resting, IdleCrowd,
                         testing::Values(Idle::Silent, Idle::Introduced, Idle::AskedOnce,
                                         Idle::BeginsAMessage),
                         [](const testing::TestParamInfo<Idle>& crowd) { return nameOf(crowd.param); });

}  // namespace
}  // namespace heathflow::test
