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

constexpr const char* kSpace = "urn:heathflow:scenario:1";
constexpr std::array<const char*, 17> kKinds = {
    "kill-drivers", "roll-drivers", "pause-drivers", "kill-primary",  "restart-members", "drain-members",
    "list-down",    "list-older",   "list-moves",    "list-crowded",  "logs-unread",     "reload-drivers",
    "cut-members",  "hang-members", "slow-members",  "reset-members", "cut-list"};
constexpr std::array<const char*, 4> kKnown = {"current", "old", "gone", "none"};

bool isTrue(const std::string& text) { return text == "true" || text == "1"; }

template <typename T>
void number(const Node* node, const char* name, T& out) {
  out = numberOf(attribute(node, name), out);
}
void duration(const Node* node, const char* name, Micros unit, Micros& out) {
  const std::string text = attribute(node, name);
  if (!text.empty()) out = numberOf<Micros>(text, 0) * unit;
}

void readEndpoints(const Node* node, Scenario& out) {
  number(node, "groups", out.groups);
  number(node, "replicas", out.replicas);
  out.cold = isTrue(attribute(node, "cold"));
  number(node, "bad", out.slowReplicas);
  number(node, "bad-by", out.slowReplicaFactor);
  duration(node, "warm-up-ms", kMicrosPerMilli, out.endpoint.slowStartDuration);
  number(node, "connections", out.endpoint.connections);
  duration(node, "accept-us", 1, out.endpoint.accept);
  duration(node, "service-us", 1, out.endpoint.service);
  number(node, "slots", out.endpoint.slots);
  duration(node, "lag-ms", kMicrosPerMilli, out.endpoint.lag);
}

void readGateways(const Node* node, Scenario& out) {
  number(node, "count", out.gateways);
  out.snapshot = isTrue(attribute(node, "snapshot"));
  duration(node, "learned-us", 1, out.learnedCallCost);
  duration(node, "usual-us", 1, out.initialLatency);
  out.faults = attribute(node, "faults");
  number(node, "faults-share", out.faultsShare);
  out.hardStops = isTrue(attribute(node, "hard-stops"));
  out.signalSeries = isTrue(attribute(node, "signal-series"));
  duration(node, "deadline-ms", kMicrosPerMilli, out.requestTimeout);
  const std::string known = attribute(node, "known");
  const auto found = std::find(kKnown.begin(), kKnown.end(), known);
  if (found != kKnown.end()) out.knownList = static_cast<KnownList>(found - kKnown.begin());
}

void readList(const Node* node, Scenario& out) {
  duration(node, "call-us", 1, out.list.call);
  duration(node, "line-us", 1, out.list.line);
  duration(node, "patience-ms", kMicrosPerMilli, out.list.patience);
  const std::string after = attribute(node, "retry-after-s");
  if (!after.empty()) out.list.retryAfterSeconds = numberOf(after, 0U);
  number(node, "reset-share", out.resetShare);
  duration(node, "up-at-ms", kMicrosPerMilli, out.listUpAt);
}

void readLoad(const Node* node, Scenario& out) {
  number(node, "per-driver", out.requestsPerGateway);
  number(node, "busy-share", out.busyShare);
  number(node, "busy-times", out.busyFactor);
  duration(node, "patience-ms", kMicrosPerMilli, out.patience);
  duration(node, "bound-ms", kMicrosPerMilli, out.bound);
  number(node, "leaving", out.disconnectShare);
  number(node, "rough", out.misbehavingClientsPerSecond);
  number(node, "idle-clients", out.idleClients);
  number(node, "view", out.mix.view);
  number(node, "any", out.mix.any);
  number(node, "status", out.mix.status);
  number(node, "save", out.mix.save);
}

FaultEvent readFaultEvent(const Node* node) {
  FaultEvent out;
  duration(node, "at-ms", kMicrosPerMilli, out.at);
  const auto found = std::find(kKinds.begin(), kKinds.end(), attribute(node, "kind"));
  if (found != kKinds.end()) out.kind = static_cast<FaultEvent::Kind>(found - kKinds.begin());
  number(node, "share", out.share);
  duration(node, "for-ms", kMicrosPerMilli, out.duration);
  return out;
}

// What the schema can't say.
void check(const Node* root, const Scenario& all, xml::Collector& collector) {
  const auto complain = [&](const char* element, const std::string& text) {
    collector.add(xml::lineOf(root), element, text);
  };
  if (all.groups == 0 || all.groups * (all.replicas + 1) > 1000)
    complain("members",
             "there are no members, or more than 1,000: a size that one machine can play is expected");
  if (all.endpoint.slots == 0 || all.endpoint.service == 0)
    complain("members", "nothing is ever served: 'slots' and 'service-us' above 0 are expected");
  if (all.slowReplicas > all.groups * all.replicas)
    complain("members", "more are bad than there are replicas: no more than " +
                            std::to_string(all.groups * all.replicas) + " are expected");
  if (all.mix.view + all.mix.any + all.mix.status + all.mix.save <= 0)
    complain("load", "no kind of request has a share: at least one above 0 is expected");
  if (all.patience > all.requestTimeout)
    complain("load", "clients wait longer than the longest deadline: 'patience-ms' of no more than " +
                         std::to_string(all.requestTimeout / kMicrosPerMilli) + " is expected");
  std::string problem;
  if (!faultshim::parsePlan(all.faults, problem)) complain("drivers", problem);
  for (const FaultEvent& faultEvent : all.faultEvents) {
    if (faultEvent.at >= all.duration)
      complain("fault", std::string("'") + nameOf(faultEvent.kind) +
                            "' begins when all is over: a time before " +
                            std::to_string(all.duration / kMicrosPerMilli) + " ms is expected");
  }
}

}  // namespace

const char* nameOf(FaultEvent::Kind kind) { return kKinds.at(static_cast<std::size_t>(kind)); }

bool needsLinks(const Scenario& scenario) {
  return std::any_of(
      scenario.faultEvents.begin(), scenario.faultEvents.end(),
      [](const FaultEvent& faultEvent) { return faultEvent.kind >= FaultEvent::Kind::CutEndpoints; });
}

std::string textOf(const Scenario& all) {
  const auto millis = [](Micros span) { return std::to_string(span / kMicrosPerMilli); };
  std::ostringstream out;
  out << "<scenario xmlns=\"" << kSpace << "\" name=\"" << all.name << "\" seconds=\""
      << all.duration / kMicrosPerSecond << "\" seed=\"" << all.seed << "\">\n  <drivers count=\""
      << all.gateways << "\" known=\"" << kKnown.at(static_cast<std::size_t>(all.knownList))
      << "\" snapshot=\"" << (all.snapshot ? "true" : "false") << "\" hard-stops=\""
      << (all.hardStops ? "true" : "false") << "\" signal-series=\"" << (all.signalSeries ? "true" : "false")
      << "\" deadline-ms=\"" << millis(all.requestTimeout) << "\" faults=\"" << all.faults
      << "\" faults-share=\"" << all.faultsShare << "\"/>\n  <members groups=\"" << all.groups
      << "\" replicas=\"" << all.replicas << "\" cold=\"" << (all.cold ? "true" : "false") << "\" bad=\""
      << all.slowReplicas << "\" warm-up-ms=\"" << millis(all.endpoint.slowStartDuration) << "\" lag-ms=\""
      << millis(all.endpoint.lag) << "\"/>\n  <list call-us=\"" << all.list.call << "\" line-us=\""
      << all.list.line << "\" reset-share=\"" << all.resetShare << "\"/>\n  <load per-driver=\""
      << all.requestsPerGateway << "\" busy-share=\"" << all.busyShare << "\" busy-times=\"" << all.busyFactor
      << "\" patience-ms=\"" << millis(all.patience) << "\" bound-ms=\"" << millis(all.bound)
      << "\" leaving=\"" << all.disconnectShare << "\" rough=\"" << all.misbehavingClientsPerSecond
      << "\" idle-clients=\"" << all.idleClients << "\" view=\"" << all.mix.view << "\" any=\"" << all.mix.any
      << "\" status=\"" << all.mix.status << "\" save=\"" << all.mix.save << "\"/>\n";
  for (const FaultEvent& faultEvent : all.faultEvents) {
    out << "  <fault at-ms=\"" << millis(faultEvent.at) << "\" kind=\"" << nameOf(faultEvent.kind)
        << "\" share=\"" << faultEvent.share << "\" for-ms=\"" << millis(faultEvent.duration) << "\"/>\n";
  }
  out << "</scenario>\n";
  return out.str();
}

std::optional<Scenario> parseScenario(const std::string& path, std::string_view text,
                                      std::vector<xml::Problem>& problems) {
  const auto document = xml::Document::read(path, text, scenarioSchema(), kSpace, problems);
  if (!document || document->root() == nullptr || !document->valid()) return std::nullopt;
  const Node* root = document->root();
  Scenario out;
  out.name = attribute(root, "name");
  number(root, "seed", out.seed);
  duration(root, "seconds", kMicrosPerSecond, out.duration);
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
