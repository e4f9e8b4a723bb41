#include "emulator/scenario.h"

#include <algorithm>
#include <array>
#include <sstream>

#include "emulator/file_text.h"
#include "emulator/units.h"
#include "faultshim/fault_plan.h"
namespace heathflow::emulator {
namespace {

using xml::attribute;
using xml::children;
using xml::nameOf;
using xml::Node;
using xml::numberOf;

constexpr const char* kNamespace = "urn:heathflow:scenario:1";
constexpr std::array<const char*, 17> kFaultKindNames = {
    "kill-drivers", "roll-drivers", "pause-drivers", "kill-primary",  "restart-members", "drain-members",
    "list-down",    "list-older",   "list-moves",    "list-crowded",  "logs-unread",     "reload-drivers",
    "cut-members",  "hang-members", "slow-members",  "reset-members", "cut-list"};
constexpr std::array<const char*, 4> kKnownListNames = {"current", "old", "gone", "none"};

bool isTrue(const std::string& text) { return text == "true" || text == "1"; }

template <typename T>
void readNumber(const Node* node, const char* name, T& out) {
  out = numberOf(attribute(node, name), out);
}
void readDuration(const Node* node, const char* name, Micros unit, Micros& out) {
  const std::string text = attribute(node, name);
  if (!text.empty()) out = numberOf<Micros>(text, 0) * unit;
}

void readEndpoints(const Node* node, Scenario& out) {
  readNumber(node, "groups", out.groups);
  readNumber(node, "replicas", out.replicas);
  out.cold = isTrue(attribute(node, "cold"));
  readNumber(node, "bad", out.slowReplicas);
  readNumber(node, "bad-by", out.slowReplicaFactor);
  readDuration(node, "warm-up-ms", kMicrosPerMilli, out.endpoint.slowStartDuration);
  readNumber(node, "connections", out.endpoint.connections);
  readDuration(node, "accept-us", 1, out.endpoint.accept);
  readDuration(node, "service-us", 1, out.endpoint.service);
  readNumber(node, "slots", out.endpoint.slots);
  readDuration(node, "lag-ms", kMicrosPerMilli, out.endpoint.lag);
}

void readGateways(const Node* node, Scenario& out) {
  readNumber(node, "count", out.gateways);
  out.snapshot = isTrue(attribute(node, "snapshot"));
  readDuration(node, "learned-us", 1, out.learnedCallCost);
  readDuration(node, "usual-us", 1, out.initialLatency);
  out.faults = attribute(node, "faults");
  readNumber(node, "faults-share", out.faultsShare);
  out.hardStops = isTrue(attribute(node, "hard-stops"));
  out.signalSeries = isTrue(attribute(node, "signal-series"));
  readDuration(node, "deadline-ms", kMicrosPerMilli, out.requestTimeout);
  const std::string known = attribute(node, "known");
  const auto found = std::find(kKnownListNames.begin(), kKnownListNames.end(), known);
  if (found != kKnownListNames.end()) out.knownList = static_cast<KnownList>(found - kKnownListNames.begin());
}

void readList(const Node* node, Scenario& out) {
  readDuration(node, "call-us", 1, out.list.call);
  readDuration(node, "line-us", 1, out.list.line);
  readDuration(node, "patience-ms", kMicrosPerMilli, out.list.patience);
  const std::string after = attribute(node, "retry-after-s");
  if (!after.empty()) out.list.retryAfterSeconds = numberOf(after, 0U);
  readNumber(node, "reset-share", out.resetShare);
  readDuration(node, "up-at-ms", kMicrosPerMilli, out.listUpAt);
}

void readLoad(const Node* node, Scenario& out) {
  readNumber(node, "per-driver", out.requestsPerGateway);
  readNumber(node, "busy-share", out.busyShare);
  readNumber(node, "busy-times", out.busyFactor);
  readDuration(node, "patience-ms", kMicrosPerMilli, out.patience);
  readDuration(node, "bound-ms", kMicrosPerMilli, out.bound);
  readNumber(node, "leaving", out.disconnectShare);
  readNumber(node, "rough", out.misbehavingClientsPerSecond);
  readNumber(node, "idle-clients", out.idleClients);
  readNumber(node, "view", out.mix.view);
  readNumber(node, "any", out.mix.any);
  readNumber(node, "status", out.mix.status);
  readNumber(node, "save", out.mix.save);
}

FaultEvent readFaultEvent(const Node* node) {
  FaultEvent out;
  readDuration(node, "at-ms", kMicrosPerMilli, out.at);
  const auto found = std::find(kFaultKindNames.begin(), kFaultKindNames.end(), attribute(node, "kind"));
  if (found != kFaultKindNames.end())
    out.kind = static_cast<FaultEvent::Kind>(found - kFaultKindNames.begin());
  readNumber(node, "share", out.share);
  readDuration(node, "for-ms", kMicrosPerMilli, out.duration);
  return out;
}

// Checks conditions that the schema can't express.
void check(const Node* root, const Scenario& scenario, xml::Collector& collector) {
  const auto addProblem = [&](const char* element, const std::string& text) {
    collector.add(xml::lineOf(root), element, text);
  };
  if (scenario.groups == 0 || scenario.groups * (scenario.replicas + 1) > 1000)
    addProblem("members",
               "there are no endpoints or more than 1,000: a number that one machine can run is expected");
  if (scenario.endpoint.slots == 0 || scenario.endpoint.service == 0)
    addProblem("members", "no request can be served: 'slots' and 'service-us' above 0 are expected");
  if (scenario.slowReplicas > scenario.groups * scenario.replicas)
    addProblem("members", "'bad' exceeds the number of replicas: no more than " +
                              std::to_string(scenario.groups * scenario.replicas) + " are expected");
  if (scenario.mix.view + scenario.mix.any + scenario.mix.status + scenario.mix.save <= 0)
    addProblem("load", "no kind of request has a share: at least one above 0 is expected");
  if (scenario.patience > scenario.requestTimeout)
    addProblem(
        "load",
        "clients wait longer than the gateways' longest request timeout: 'patience-ms' of no more than " +
            std::to_string(scenario.requestTimeout / kMicrosPerMilli) + " is expected");
  std::string problem;
  if (!faultshim::parsePlan(scenario.faults, problem)) addProblem("drivers", problem);
  for (const FaultEvent& faultEvent : scenario.faultEvents) {
    if (faultEvent.at >= scenario.duration)
      addProblem("fault", std::string("'") + nameOf(faultEvent.kind) +
                              "' begins after the end of the scenario: a time before " +
                              std::to_string(scenario.duration / kMicrosPerMilli) + " ms is expected");
  }
}

}  // namespace

const char* nameOf(FaultEvent::Kind kind) { return kFaultKindNames.at(static_cast<std::size_t>(kind)); }

bool needsLinks(const Scenario& scenario) {
  return std::any_of(
      scenario.faultEvents.begin(), scenario.faultEvents.end(),
      [](const FaultEvent& faultEvent) { return faultEvent.kind >= FaultEvent::Kind::CutEndpoints; });
}

std::string textOf(const Scenario& scenario) {
  const auto millis = [](Micros span) { return std::to_string(span / kMicrosPerMilli); };
  std::ostringstream out;
  out << "<scenario xmlns=\"" << kNamespace << "\" name=\"" << scenario.name << "\" seconds=\""
      << scenario.duration / kMicrosPerSecond << "\" seed=\"" << scenario.seed << "\">\n  <drivers count=\""
      << scenario.gateways << "\" known=\""
      << kKnownListNames.at(static_cast<std::size_t>(scenario.knownList)) << "\" snapshot=\""
      << (scenario.snapshot ? "true" : "false") << "\" hard-stops=\""
      << (scenario.hardStops ? "true" : "false") << "\" signal-series=\""
      << (scenario.signalSeries ? "true" : "false") << "\" deadline-ms=\"" << millis(scenario.requestTimeout)
      << "\" faults=\"" << scenario.faults << "\" faults-share=\"" << scenario.faultsShare
      << "\"/>\n  <members groups=\"" << scenario.groups << "\" replicas=\"" << scenario.replicas
      << "\" cold=\"" << (scenario.cold ? "true" : "false") << "\" bad=\"" << scenario.slowReplicas
      << "\" warm-up-ms=\"" << millis(scenario.endpoint.slowStartDuration) << "\" lag-ms=\""
      << millis(scenario.endpoint.lag) << "\"/>\n  <list call-us=\"" << scenario.list.call << "\" line-us=\""
      << scenario.list.line << "\" reset-share=\"" << scenario.resetShare << "\"/>\n  <load per-driver=\""
      << scenario.requestsPerGateway << "\" busy-share=\"" << scenario.busyShare << "\" busy-times=\""
      << scenario.busyFactor << "\" patience-ms=\"" << millis(scenario.patience) << "\" bound-ms=\""
      << millis(scenario.bound) << "\" leaving=\"" << scenario.disconnectShare << "\" rough=\""
      << scenario.misbehavingClientsPerSecond << "\" idle-clients=\"" << scenario.idleClients << "\" view=\""
      << scenario.mix.view << "\" any=\"" << scenario.mix.any << "\" status=\"" << scenario.mix.status
      << "\" save=\"" << scenario.mix.save << "\"/>\n";
  for (const FaultEvent& faultEvent : scenario.faultEvents) {
    out << "  <fault at-ms=\"" << millis(faultEvent.at) << "\" kind=\"" << nameOf(faultEvent.kind)
        << "\" share=\"" << faultEvent.share << "\" for-ms=\"" << millis(faultEvent.duration) << "\"/>\n";
  }
  out << "</scenario>\n";
  return out.str();
}

std::optional<Scenario> parseScenario(const std::string& path, std::string_view text,
                                      std::vector<xml::Problem>& problems) {
  const auto document = xml::Document::read(path, text, scenarioSchema(), kNamespace, problems);
  if (!document || document->root() == nullptr || !document->valid()) return std::nullopt;
  const Node* root = document->root();
  Scenario out;
  out.name = attribute(root, "name");
  readNumber(root, "seed", out.seed);
  readDuration(root, "seconds", kMicrosPerSecond, out.duration);
  for (const Node* part : children(root)) {
    const std::string_view name = nameOf(part);
    if (name == "drivers") readGateways(part, out);
    if (name == "members") readEndpoints(part, out);
    if (name == "list") readList(part, out);
    if (name == "load") readLoad(part, out);
    if (name == "fault") out.faultEvents.push_back(readFaultEvent(part));
  }
  std::stable_sort(out.faultEvents.begin(), out.faultEvents.end(),
                   [](const FaultEvent& a, const FaultEvent& b) { return a.at < b.at; });
  xml::Collector collector(path, problems);
  check(root, out, collector);
  if (!problems.empty()) return std::nullopt;
  return out;
}

std::optional<Scenario> loadScenario(const std::string& path, std::vector<xml::Problem>& problems) {
  const auto text = textOfFile(path, problems);
  if (!text) return std::nullopt;
  return parseScenario(path, *text, problems);
}

}  // namespace heathflow::emulator
