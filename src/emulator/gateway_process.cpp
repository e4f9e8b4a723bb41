#include "emulator/gateway_process.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "emulator/units.h"
#include "faultshim/fault_plan.h"
#include "snapshot/snapshot.h"
#include "standins/gateway_rig.h"

namespace heathflow::emulator {
namespace {

// A process has installed its signal handlers within this time after its start, also on a busy machine.
constexpr Micros kHandlesSignalsWithin = 200 * kMicrosPerMilli;
constexpr std::int64_t kLatencyObjectiveMs = 500;
constexpr std::int64_t kConnectTimeoutMs = 250;
constexpr std::int64_t kIdleTimeoutMs = 60'000;
constexpr const char* kUnusedAddress = "127.0.0.1:1";

std::string snapshotFileOf(const GatewayProcess& gateway, const std::string& folder) {
  return folder + "/" + gateway.name + ".snapshot";
}

// Returns the text of the gateway's settings file; empty if it needs none.
std::string settingsOf(const GatewayProcess& gateway, const Scenario& scenario, const std::string& folder,
                       const std::string& traces) {
  const bool keepsSnapshot = scenario.snapshot || scenario.learnedCallCost > 0 || scenario.initialLatency > 0;
  if (!keepsSnapshot && traces.empty()) return "";
  std::string out = "<heathflow xmlns=\"urn:heathflow:settings:1\" version=\"1\">";
  if (!traces.empty()) out += "<log form=\"text\" level=\"trace\"/>";
  if (keepsSnapshot) out += "<snapshot file=\"" + snapshotFileOf(gateway, folder) + "\" every=\"1\"/>";
  return out + "</heathflow>\n";
}

// Returns the endpoint list in a gateway's configuration.
std::vector<ListedEntry> knownEntries(KnownList known, std::vector<ListedEntry> listed) {
  if (known == KnownList::None) return {};
  if (known == KnownList::Gone) {
    for (ListedEntry& entry : listed) {
      entry.id = "old-" + entry.id;
      entry.hostPort = kUnusedAddress;
    }
  }
  return listed;
}

}  // namespace

Micros signalsAllowedFrom(const GatewayProcess& gateway) { return gateway.startedAt + kHandlesSignalsWithin; }

void writeStartFiles(GatewayProcess& gateway, const Scenario& scenario, const std::string& folder,
                     const std::string& traces) {
  const std::string settings = settingsOf(gateway, scenario, folder, traces);
  if (!settings.empty()) {
    gateway.settingsFile = folder + "/" + gateway.name + ".xml";
    std::ofstream(gateway.settingsFile) << settings;
  }
  if (scenario.learnedCallCost <= 0 && scenario.initialLatency <= 0) return;
  snapshot::Snapshot earlier;
  earlier.name = gateway.name;
  if (scenario.learnedCallCost > 0) earlier.callCost = scenario.learnedCallCost;
  earlier.initialLatency = scenario.initialLatency;
  std::string problem;
  if (!snapshot::save(snapshotFileOf(gateway, folder), earlier, files::Durable::No, problem))
    throw std::runtime_error(problem);
}

Environment environmentOf(const GatewayProcess& gateway, const Scenario& scenario,
                          const std::string& faultLibrary) {
  const std::size_t faulty = countOfShare(scenario.faultsShare, scenario.gateways);
  if (scenario.faults.empty() || gateway.number >= faulty) return {};
  std::string problem;
  auto plan = faultshim::parsePlan(scenario.faults, problem).value_or(faultshim::FaultPlan{});
  const unsigned incarnations = gateway.child ? gateway.child->incarnations() : 0;
  plan.seed += scenario.seed * 1009 + gateway.number * 31 + incarnations;
  return withFaults(faultLibrary, plan.text());
}

std::string configurationOf(const GatewayProcess& gateway, const Scenario& scenario,
                            const transport::SocketAddress& discovery, std::vector<ListedEntry> listed,
                            std::int64_t revision) {
  test::GatewayOptions options;
  options.name = gateway.name;
  options.gateways = scenario.gateways;
  options.requestTimeoutMs = scenario.requestTimeout / kMicrosPerMilli;
  options.aimMs = std::min<std::int64_t>(kLatencyObjectiveMs, options.requestTimeoutMs);
  options.connectTimeoutMs = kConnectTimeoutMs;
  options.idleMs = kIdleTimeoutMs;
  options.maxAgeMs = scenario.bound / kMicrosPerMilli;
  options.warmUpMs = scenario.endpoint.slowStartDuration / kMicrosPerMilli;
  std::ostringstream seed;
  seed << std::hex << (scenario.seed * 0x9E3779B97F4A7C15U + gateway.number * 0xD1B54A32D192ED03U);
  options.seed = seed.str();
  if (scenario.knownList == KnownList::Current) options.knownRevision = revision;
  return test::configText(options, toText(discovery),
                          textOf(knownEntries(scenario.knownList, std::move(listed))));
}

}  // namespace heathflow::emulator
