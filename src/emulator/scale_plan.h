// The plan of a scale run: the parts that are measured, and at which sizes. Read from XML
// (scenarios/scale/scale.xsd).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "transport/clock.h"
#include "xml/document.h"

namespace heathflow::emulator {

using Sizes = std::vector<unsigned>;

// Growing numbers of gateways of one list service.
struct GatewaysPart {
  Sizes sizes;
  unsigned endpoints = 100;
  unsigned real = 10;  // how many are processes, at most half; the others are protocol-only
  transport::Micros idleDuration = 10'000'000;
  unsigned changes = 5;  // made one after the other
};

// Growing lists of real gateways.
struct EndpointsPart {
  Sizes sizes;
  unsigned real = 2;
  unsigned changes = 20;
};

// Growing rates of changes per second.
struct ChangesPart {
  Sizes sizes;
  unsigned endpoints = 1000;
  unsigned real = 2;
  transport::Micros duration = 5'000'000;
};

// Growing numbers of client connections to one real gateway.
struct ClientsPart {
  Sizes sizes;
  unsigned senders = 16;
  unsigned statements = 10'000;
};

// Growing numbers of gateways that exchange gossip, in virtual time.
struct GossipPart {
  Sizes sizes;
  transport::Micros duration = 30'000'000;
};

// Subsets of growing numbers of gateways, one for each group.
struct SubsetsPart {
  Sizes sizes;
  unsigned each = 20;  // gateways in each subset
};

// Faults of one number of gateways and their list service.
struct FaultsPart {
  unsigned gateways = 0;
  unsigned endpoints = 100;
  unsigned real = 10;
  transport::Micros duration = 10'000'000;
  unsigned burst = 100;  // changes in one second
};

// Parts that are not in the plan are not run.
struct ScalePlan {
  std::string name;
  transport::Micros maxPollInterval = 10'000'000;
  std::optional<GatewaysPart> gateways;
  std::optional<EndpointsPart> endpoints;
  std::optional<ChangesPart> changes;
  std::optional<ClientsPart> clients;
  std::optional<GossipPart> gossip;
  std::optional<SubsetsPart> subsets;
  std::optional<FaultsPart> faults;
};

// The largest sizes that one machine can run.
inline constexpr unsigned kMaxGateways = 3'300;
inline constexpr unsigned kMaxEndpoints = 33'000;
inline constexpr unsigned kMaxChanges = 1'000;  // a second
inline constexpr unsigned kMaxClients = 1'000;

std::string_view scaleSchema();

// @return  nothing if the plan can't be used; 'problems' then lists everything that is wrong with it.
std::optional<ScalePlan> loadScalePlan(const std::string& path, std::vector<xml::Problem>& problems);
std::optional<ScalePlan> parseScalePlan(const std::string& path, std::string_view text,
                                        std::vector<xml::Problem>& problems);

// Returns how many descriptors this process needs at once to run the plan.
std::size_t descriptorsFor(const ScalePlan& plan);

}  // namespace heathflow::emulator
