// Runs the gateway program with lists of 1,500 endpoints and settings for 1,500 gateways: it uses the lists,
// even when indented, with one thread and within 32 MB of memory.
#include <gtest/gtest.h>

#include <list>

#include "program_process.h"
#include "standins/gateway_rig.h"
#include "standins/process_status.h"

namespace heathflow::test {
namespace {

constexpr std::size_t kEndpoints = 1'500;
constexpr unsigned kGateways = 1'500;
constexpr std::size_t kGroups = 300;
constexpr std::size_t kMemoryMb = 32;
constexpr std::size_t kRequestsAtTheEnd = 50;
constexpr std::size_t kGroupClients = 20;
constexpr long kShortTimeoutMs = 100;
// Long names, because the protocol does not limit their length.
const std::string kName(48, 'n');
const std::string kLocality(32, 'z');

// Returns the JSON document with a line for each value and deep indentation.
std::string indented(const std::string& json) {
  std::string out;
  std::size_t depth = 0;
  bool quoted = false;
  const auto newLine = [&] { out += "\n" + std::string(depth * 8, ' '); };
  for (const char c : json) {
    if (c == '"') quoted = !quoted;
    if (!quoted && (c == '}' || c == ']')) {
      --depth;
      newLine();
    }
    out += c;
    if (quoted) continue;
    if (c == '{' || c == '[') ++depth;
    if (c == '{' || c == '[' || c == ',') newLine();
    if (c == ':') out += "  ";
  }
  return out;
}

class Site {
 public:
  Site() : first(loop, kLoopback + 1), second(loop, kLoopback + 2), discovery(loop) {
    first.primary = second.primary = true;
  }
  // Returns the list entries of all groups. The primary of the first group is a stand-in; the other endpoints
  // can't be reached.
  std::string entries(const std::string& primaryAddress, std::int64_t upSinceMs) const {
    std::string out;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      const std::size_t group = i % kGroups;
      const bool primary = i < kGroups;
      const std::string number = std::to_string(i);
      const std::string address =
          i == 0 ? primaryAddress
                 : "127." + std::to_string(100 + i / 250) + ".200." + std::to_string(1 + i % 250) + ":65432";
      out += (i == 0 ? "" : ",");
      out += "{\"id\":\"s-" + kName + number + "\",\"host_port\":\"" + address + "\",\"locality\":\"" +
             kLocality + std::to_string(i % 7) + "\",\"flavor\":\"" + kName +
             "\",\"cell\":" + std::to_string(group) +
             ",\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":" + std::to_string(upSinceMs) +
             ",\"mode\":\"" + (primary ? "read-write" : "read-only") + "\"}";
    }
    return "[" + out + "]";
  }
  template <typename Condition>
  bool until(Condition&& condition) {
    return test::until(loop, std::forward<Condition>(condition));
  }

  transport::EventLoop loop;
  EndpointStandIn first;
  EndpointStandIn second;
  DiscoveryStandIn discovery;
};

GatewayOptions options() {
  GatewayOptions out;
  out.gateways = kGateways;
  out.memoryMb = kMemoryMb;
  out.maxPollIntervalMs = 4'000;
  out.connectTimeoutMs = 500;
  return out;
}

// Sends a write to the first group, which has to reach its primary.
void expectServedBy(ClientStandIn& client, const EndpointStandIn& primary, const std::string& id) {
  client.forget();
  client.ask(request("save", id));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "from " + primary.address());
}

// Sends lists that each change every entry, with another primary of the first group.
void changeAllEntries(Site& site, Process& process, ClientStandIn& client, int times) {
  for (int i = 0; i < times; ++i) {
    EndpointStandIn& primary = i % 2 == 0 ? site.first : site.second;
    site.discovery.tell(indented(site.entries(primary.address(), 0)));
    ASSERT_TRUE(site.until([&] { return site.discovery.waiting != nullptr; })) << process.log();
    ASSERT_NO_FATAL_FAILURE(expectServedBy(client, primary, "by-changes" + std::to_string(i)));
    if (kResidentMemoryIsReliable) {
      EXPECT_LT(residentOf(process.pid()), kMemoryMb * 1'000'000);
    }
  }
}

// Sends a request to each group that can't be reached; all have to be answered nevertheless.
void requestFromOtherGroups(Site& site, Process& process) {
  std::list<ClientStandIn> clients;
  for (std::size_t i = 0; i < kGroupClients; ++i) clients.emplace_back(site.loop, process.socketAddress());
  auto next = clients.begin();
  for (std::size_t group = 1; group < kGroups; ++group) {
    std::string text = request("any", "group" + std::to_string(group), "", kShortTimeoutMs);
    text.replace(text.find("cluster=0"), 9, "cluster=" + std::to_string(group));
    next->ask(text);
    if (++next == clients.end()) next = clients.begin();
  }
  std::size_t answers = 0;
  ASSERT_TRUE(site.until([&] {
    for (auto& client : clients) {
      for (const auto& message : client.messages()) answers += message.type == 'Z' ? 1 : 0;
      client.forget();
    }
    return answers == kGroups - 1;
  }));
}

// The lists are the one in the configuration, a complete list with another primary, and changes of all
// entries.
TEST(LargeLists, AreUsedWithinTheMemoryOfASmallProcess) {
  Site site;
  site.discovery.silent = true;
  const std::string known = indented(site.entries(site.first.address(), 0));
  Process process(configText(options(), site.discovery.address(), known));
  ASSERT_TRUE(site.until([&] { return process.says("serves at"); })) << process.log();
  ClientStandIn client(site.loop, process.socketAddress());
  ASSERT_NO_FATAL_FAILURE(expectServedBy(client, site.first, "by-the-configuration"));

  site.discovery.silent = false;
  site.discovery.revision = 2;
  site.discovery.endpoints = site.discovery.changes = indented(site.entries(site.second.address(), 0));
  ASSERT_TRUE(site.until([&] { return site.discovery.waiting != nullptr; })) << process.log();
  ASSERT_NO_FATAL_FAILURE(expectServedBy(client, site.second, "by-a-list"));

  ASSERT_NO_FATAL_FAILURE(changeAllEntries(site, process, client, 5));
  ASSERT_NO_FATAL_FAILURE(requestFromOtherGroups(site, process));
  for (std::size_t i = 0; i < kRequestsAtTheEnd; ++i) {
    client.forget();
    client.ask(request("any", "last" + std::to_string(i)));
    ASSERT_TRUE(client.answered());
    EXPECT_EQ(client.types(), "TDCZ");
  }
  EXPECT_GT(statusOf(process.pid(), "VmHWM"), 0U);
  if (kResidentMemoryIsReliable) {
    EXPECT_LT(statusOf(process.pid(), "VmHWM") * 1024, kMemoryMb * 1'000'000) << "peak memory";
  }
  EXPECT_EQ(statusOf(process.pid(), "Threads"), 1U);
  EXPECT_FALSE(process.says("can't be read")) << process.log();
}

}  // namespace
}  // namespace heathflow::test
