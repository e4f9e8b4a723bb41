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

constexpr const char* kSpace = "urn:heathflow:scale:1";
// Of a protocol-only gateway: its listener, its watch, and the list service's side of the watch.
constexpr std::size_t kDescriptorsOfHollow = 3;
// Of a real one: its log, and the list service's end of its watch.
constexpr std::size_t kDescriptorsOfReal = 2;
// Of each one that can be cut off: both ends of its path.
constexpr std::size_t kDescriptorsOfCut = 2;
// Connections at emulated endpoints, and what the process itself has.
constexpr std::size_t kDescriptorsBeside = 600;

void number(const Node* node, const char* name, unsigned& out) {
  out = xml::numberOf(attribute(node, name), out);
}
void seconds(const Node* node, const char* name, Micros& out) {
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
  number(node, "members", out.endpoints);
  number(node, "real", out.real);
  seconds(node, "seconds", out.quiet);
  number(node, "changes", out.changes);
  return out;
}

EndpointsPart readEndpoints(const Node* node) {
  EndpointsPart out;
  out.sizes = sizesOf(node);
  number(node, "real", out.real);
  number(node, "changes", out.changes);
  return out;
}

ChangesPart readChanges(const Node* node) {
  ChangesPart out;
  out.sizes = sizesOf(node);
  number(node, "members", out.endpoints);
  number(node, "real", out.real);
  seconds(node, "seconds", out.duration);
  return out;
}

ClientsPart readClients(const Node* node) {
  ClientsPart out;
  out.sizes = sizesOf(node);
  number(node, "asking", out.senders);
  number(node, "statements", out.statements);
  return out;
}

GossipPart readGossip(const Node* node) {
  GossipPart out;
  out.sizes = sizesOf(node);
  seconds(node, "seconds", out.duration);
  return out;
}

SubsetsPart readSubsets(const Node* node) {
  SubsetsPart out;
  out.sizes = sizesOf(node);
  number(node, "each", out.each);
  return out;
}

FaultsPart readFaults(const Node* node) {
  FaultsPart out;
  number(node, "drivers", out.gateways);
  number(node, "members", out.endpoints);
  number(node, "real", out.real);
  seconds(node, "seconds", out.duration);
  number(node, "burst", out.burst);
  return out;
}

// What the schema can't say.
class Checker {
 public:
  Checker(const Node* root, xml::Collector& collector) : root_(root), collector_(collector) {}

  void sizes(const char* part, const Sizes& sizes, unsigned most) {
    if (sizes.empty()) complain(part, "no size is named: at least one is expected");
    if (!std::is_sorted(sizes.begin(), sizes.end())) complain(part, "the sizes do not rise");
    if (!sizes.empty()) atMost(part, "a size", *std::max_element(sizes.begin(), sizes.end()), most);
  }
  void atMost(const char* part, const std::string& what, unsigned value, unsigned most) {
    if (value > most)
      complain(part, what + " of " + std::to_string(value) + " is more than one machine can play: up to " +
                         std::to_string(most) + " is expected");
  }
  void notAlone(const char* part, const Sizes& sizes) {
    if (!sizes.empty() && sizes.front() < 2) complain(part, "one alone has nobody: at least 2 are expected");
  }
  void someReal(const char* part, unsigned real) {
    if (real == 0) complain(part, "a real driver is measured: at least one is expected");
  }

 private:
  void complain(const char* part, const std::string& text) { collector_.add(xml::lineOf(root_), part, text); }
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
    checker.someReal("members", plan.endpoints->real);
  }
  if (plan.changes) {
    checker.sizes("changes", plan.changes->sizes, kMaxChanges);
    checker.atMost("changes", "a list", plan.changes->endpoints, kMaxEndpoints);
    checker.someReal("changes", plan.changes->real);
  }
  if (plan.clients) checker.sizes("clients", plan.clients->sizes, kMaxClients);
  if (plan.gossip) {
    checker.sizes("gossip", plan.gossip->sizes, kMaxGateways);
    checker.notAlone("gossip", plan.gossip->sizes);
  }
  if (plan.subsets) {
    checker.sizes("subsets", plan.subsets->sizes, kMaxGateways);
    checker.notAlone("subsets", plan.subsets->sizes);
  }
  if (plan.faults) {
    checker.atMost("faults", "a number of drivers", plan.faults->gateways, kMaxGateways);
    checker.atMost("faults", "a list", plan.faults->endpoints, kMaxEndpoints);
    checker.atMost("faults", "a burst", plan.faults->burst, kMaxChanges);
  }
}

std::size_t ofGateways(unsigned gateways, unsigned real) {
  const std::size_t processes = std::min(real, gateways);
  return processes * kDescriptorsOfReal + (gateways - processes) * kDescriptorsOfHollow;
}

}  // namespace

std::optional<ScalePlan> parseScalePlan(const std::string& path, std::string_view text,
                                        std::vector<xml::Problem>& problems) {
  const auto document = xml::Document::read(path, text, scaleSchema(), kSpace, problems);
  if (!document || document->root() == nullptr || !document->valid()) return std::nullopt;
  ScalePlan out;
  out.name = attribute(document->root(), "name");
  seconds(document->root(), "ask-within-s", out.maxPollInterval);
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
    atOnce(ofGateways(plan.gateways->sizes.back(), plan.gateways->real));
  if (plan.endpoints) atOnce(ofGateways(plan.endpoints->real, plan.endpoints->real));
  if (plan.changes) atOnce(ofGateways(plan.changes->real, plan.changes->real));
  if (plan.clients && !plan.clients->sizes.empty()) atOnce(plan.clients->sizes.back() + kDescriptorsOfReal);
  if (plan.faults)
    atOnce(ofGateways(plan.faults->gateways, plan.faults->real) + plan.faults->gateways * kDescriptorsOfCut);
  return most + kDescriptorsBeside;
}

}  // namespace heathflow::emulator
