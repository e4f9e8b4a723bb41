// Generates random scenarios with faults of gateways, endpoints, the list service, links, clients and system
// calls that overlap in time. Equal seeds and options give equal scenarios.
#pragma once

#include <cstdint>

#include "emulator/scenario.h"

namespace heathflow::emulator {

struct RandomScenarioOptions {
  unsigned seconds = 20;
  unsigned gatewaysLeast = 10;
  unsigned gatewaysMost = 30;
  bool failingCalls = true;  // system calls fail and clocks are stepped
};

Scenario randomScenario(std::uint64_t seed, const RandomScenarioOptions& options);

}  // namespace heathflow::emulator
