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
  unsigned real = 10;  // processes among them, at the most half; the others are hollow
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
  unsigned asking = 16;
  unsigned statements = 10'000;
};

// Gateways that watch each other, in virtual time.
struct GossipPart {
  Sizes sizes;
  transport::Micros duration = 30'000'000;
};

// Gateways of which each group has so many.
struct SubsetsPart {
  Sizes sizes;
  unsigned each = 20;
};

// What befalls gateways of one list service.
struct FaultsPart {
  unsigned gateways = 0;
  unsigned endpoints = 100;
  unsigned real = 10;
  transport::Micros duration = 10'000'000;
  unsigned burst = 100;  // changes in one second
};

// A part that is not named is not run.
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

// What one machine can play.
inline constexpr unsigned kGatewaysMost = 3'300;
inline constexpr unsigned kEndpointsMost = 33'000;
inline constexpr unsigned kChangesMost = 1'000;  // a second
inline constexpr unsigned kClientsMost = 1'000;

std::string_view scaleSchema();

// Nothing where it can't be used; then 'problems' holds all that is wrong with it.
std::optional<ScalePlan> loadScalePlan(const std::string& path, std::vector<xml::Problem>& problems);
std::optional<ScalePlan> parseScalePlan(const std::string& path, std::string_view text,
                                        std::vector<xml::Problem>& problems);

// The most descriptors that this process needs for it at once.
std::size_t descriptorsFor(const ScalePlan& plan);

}  // namespace heathflow::emulator
