// What a scale run measures, and at which sizes. Read from XML (scenarios/scale/scale.xsd).
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

// Gateways of one list service.
struct GatewaysPart {
  Sizes sizes;
  unsigned endpoints = 100;
  unsigned real = 10;  // processes among them, at most half; the others are protocol-only
  transport::Micros quiet = 10'000'000;
  unsigned changes = 5;  // one after the other
};

// Endpoints in the list of real gateways.
struct EndpointsPart {
  Sizes sizes;
  unsigned real = 2;
  unsigned changes = 20;
};

// Changes a second.
struct ChangesPart {
  Sizes sizes;
  unsigned endpoints = 1000;
  unsigned real = 2;
  transport::Micros duration = 5'000'000;
};

// Connections of clients to one real gateway.
struct ClientsPart {
  Sizes sizes;
  unsigned senders = 16;
  unsigned statements = 10'000;
};

// Gateways that exchange gossip, in virtual time.
struct GossipPart {
  Sizes sizes;
  transport::Micros duration = 30'000'000;
};

// Subsets of gateways for each group.
struct SubsetsPart {
  Sizes sizes;
  unsigned each = 20;
};

// Faults of gateways of one list service.
struct FaultsPart {
  unsigned gateways = 0;
  unsigned endpoints = 100;
  unsigned real = 10;
  transport::Micros duration = 10'000'000;
  unsigned burst = 100;  // changes in one second
};

// A part that the plan does not have is not run.
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

// Limits of one machine.
inline constexpr unsigned kMaxGateways = 3'300;
inline constexpr unsigned kMaxEndpoints = 33'000;
inline constexpr unsigned kMaxChanges = 1'000;  // a second
inline constexpr unsigned kMaxClients = 1'000;

std::string_view scaleSchema();

// @return  nothing where the plan can't be used; then 'problems' has all that is wrong with it.
std::optional<ScalePlan> loadScalePlan(const std::string& path, std::vector<xml::Problem>& problems);
std::optional<ScalePlan> parseScalePlan(const std::string& path, std::string_view text,
                                        std::vector<xml::Problem>& problems);

// How many descriptors this process needs for it at once.
std::size_t descriptorsFor(const ScalePlan& plan);

}  // namespace heathflow::emulator
