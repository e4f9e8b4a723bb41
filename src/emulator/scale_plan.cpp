#include "emulator/scale_plan.h"

#include <algorithm>
#include <sstream>

#include "emulator/file_text.h"
#include "emulator/units.h"
namespace heathflow::emulator {
namespace {

using transport::Micros;
using xml::attribute;
using xml::Node;

constexpr const char* kNamespace = "urn:heathflow:scale:1";
// Per protocol-only gateway: its listener, its watch, and the list service's end of the watch.
constexpr std::size_t kDescriptorsOfProtocolOnly = 3;
// Per real gateway: its log, and the list service's end of its watch.
constexpr std::size_t kDescriptorsOfReal = 2;
// Per gateway that can be cut off: both ends of its link.
constexpr std::size_t kDescriptorsOfCut = 2;
// Connections at emulated endpoints, and the process's own descriptors.
constexpr std::size_t kOtherDescriptors = 600;

void readNumber(const Node* node, const char* name, unsigned& out) {
  out = xml::numberOf(attribute(node, name), out);
}
void readSeconds(const Node* node, const char* name, Micros& out) {
  out = xml::numberOf<Micros>(attribute(node, name), out / kMicrosPerSecond) * kMicrosPerSecond;
}
Sizes sizesOf(const Node* node) {
  std::istringstream words(attribute(node, "sizes"));
  Sizes out;
  for (std::string word; words >> word;) out.push_back(xml::numberOf(word, ~0U));
  return out;
}

GatewaysPart readGateways(const Node* node) {
  GatewaysPart out;
  out.sizes = sizesOf(node);
  readNumber(node, "members", out.endpoints);
  readNumber(node, "real", out.real);
  readSeconds(node, "seconds", out.idleDuration);
  readNumber(node, "changes", out.changes);
  return out;
}

EndpointsPart readEndpoints(const Node* node) {
  EndpointsPart out;
  out.sizes = sizesOf(node);
  readNumber(node, "real", out.real);
  readNumber(node, "changes", out.changes);
  return out;
}

ChangesPart readChanges(const Node* node) {
  ChangesPart out;
  out.sizes = sizesOf(node);
  readNumber(node, "members", out.endpoints);
  readNumber(node, "real", out.real);
  readSeconds(node, "seconds", out.duration);
  return out;
}

ClientsPart readClients(const Node* node) {
  ClientsPart out;
  out.sizes = sizesOf(node);
  readNumber(node, "asking", out.senders);
  readNumber(node, "statements", out.statements);
  return out;
}

GossipPart readGossip(const Node* node) {
  GossipPart out;
  out.sizes = sizesOf(node);
  readSeconds(node, "seconds", out.duration);
  return out;
}

SubsetsPart readSubsets(const Node* node) {
  SubsetsPart out;
  out.sizes = sizesOf(node);
  readNumber(node, "each", out.each);
  return out;
}

FaultsPart readFaults(const Node* node) {
  FaultsPart out;
  readNumber(node, "drivers", out.gateways);
  readNumber(node, "members", out.endpoints);
  readNumber(node, "real", out.real);
  readSeconds(node, "seconds", out.duration);
  readNumber(node, "burst", out.burst);
  return out;
}

// Checks conditions that the schema can't express.
class Checker {
 public:
  Checker(const Node* root, xml::Collector& collector) : root_(root), collector_(collector) {}

  void sizes(const char* part, const Sizes& sizes, unsigned most) {
    if (sizes.empty()) addProblem(part, "no size is named: at least one is expected");
    if (!std::is_sorted(sizes.begin(), sizes.end())) addProblem(part, "the sizes do not rise");
    if (!sizes.empty()) atMost(part, "a size", *std::max_element(sizes.begin(), sizes.end()), most);
  }
  void atMost(const char* part, const std::string& what, unsigned value, unsigned most) {
    if (value > most)
      addProblem(part, what + " of " + std::to_string(value) + " is more than one machine can run: up to " +
                           std::to_string(most) + " is expected");
  }
  void atLeastTwo(const char* part, const Sizes& sizes) {
    if (!sizes.empty() && sizes.front() < 2)
      addProblem(part, "a single gateway has no others: at least 2 are expected");
  }
  void atLeastOneReal(const char* part, unsigned real) {
    if (real == 0) addProblem(part, "real gateways are measured: at least one is expected");
  }

 private:
  void addProblem(const char* part, const std::string& text) {
    collector_.add(xml::lineOf(root_), part, text);
  }
  const Node* root_;
  xml::Collector& collector_;
};

void check(const ScalePlan& plan, Checker& checker) {
  if (plan.gateways) {
    checker.sizes("drivers", plan.gateways->sizes, kMaxGateways);
    checker.atMost("drivers", "a list", plan.gateways->endpoints, kMaxEndpoints);
  }
  if (plan.endpoints) {
    checker.sizes("members", plan.endpoints->sizes, kMaxEndpoints);
    checker.atLeastOneReal("members", plan.endpoints->real);
  }
  if (plan.changes) {
    checker.sizes("changes", plan.changes->sizes, kMaxChanges);
    checker.atMost("changes", "a list", plan.changes->endpoints, kMaxEndpoints);
    checker.atLeastOneReal("changes", plan.changes->real);
  }
  if (plan.clients) checker.sizes("clients", plan.clients->sizes, kMaxClients);
  if (plan.gossip) {
    checker.sizes("gossip", plan.gossip->sizes, kMaxGateways);
    checker.atLeastTwo("gossip", plan.gossip->sizes);
  }
  if (plan.subsets) {
    checker.sizes("subsets", plan.subsets->sizes, kMaxGateways);
    checker.atLeastTwo("subsets", plan.subsets->sizes);
  }
  if (plan.faults) {
    checker.atMost("faults", "a number of gateways", plan.faults->gateways, kMaxGateways);
    checker.atMost("faults", "a list", plan.faults->endpoints, kMaxEndpoints);
    checker.atMost("faults", "a burst", plan.faults->burst, kMaxChanges);
  }
}

std::size_t descriptorsOfGateways(unsigned gateways, unsigned real) {
  const std::size_t processes = std::min(real, gateways);
  return processes * kDescriptorsOfReal + (gateways - processes) * kDescriptorsOfProtocolOnly;
}

}  // namespace

std::optional<ScalePlan> parseScalePlan(const std::string& path, std::string_view text,
                                        std::vector<xml::Problem>& problems) {
  const auto document = xml::Document::read(path, text, scaleSchema(), kNamespace, problems);
  if (!document || document->root() == nullptr || !document->valid()) return std::nullopt;
  ScalePlan out;
  out.name = attribute(document->root(), "name");
  readSeconds(document->root(), "ask-within-s", out.maxPollInterval);
  for (const Node* part : xml::children(document->root())) {
    const std::string_view name = xml::nameOf(part);
    if (name == "drivers") out.gateways = readGateways(part);
    if (name == "members") out.endpoints = readEndpoints(part);
    if (name == "changes") out.changes = readChanges(part);
    if (name == "clients") out.clients = readClients(part);
    if (name == "gossip") out.gossip = readGossip(part);
    if (name == "subsets") out.subsets = readSubsets(part);
    if (name == "faults") out.faults = readFaults(part);
  }
  xml::Collector collector(path, problems);
  Checker checker(document->root(), collector);
  check(out, checker);
  if (!problems.empty()) return std::nullopt;
  return out;
}

std::optional<ScalePlan> loadScalePlan(const std::string& path, std::vector<xml::Problem>& problems) {
  const auto text = textOfFile(path, problems);
  if (!text) return std::nullopt;
  return parseScalePlan(path, *text, problems);
}

std::size_t descriptorsFor(const ScalePlan& plan) {
  std::size_t most = 0;
  const auto atOnce = [&](std::size_t count) { most = std::max(most, count); };
  if (plan.gateways && !plan.gateways->sizes.empty())
    atOnce(descriptorsOfGateways(plan.gateways->sizes.back(), plan.gateways->real));
  if (plan.endpoints) atOnce(descriptorsOfGateways(plan.endpoints->real, plan.endpoints->real));
  if (plan.changes) atOnce(descriptorsOfGateways(plan.changes->real, plan.changes->real));
  if (plan.clients && !plan.clients->sizes.empty()) atOnce(plan.clients->sizes.back() + kDescriptorsOfReal);
  if (plan.faults)
    atOnce(descriptorsOfGateways(plan.faults->gateways, plan.faults->real) +
           plan.faults->gateways * kDescriptorsOfCut);
  return most + kOtherDescriptors;
}

}  // namespace heathflow::emulator
