// Scenarios at random: several troubles of drivers, members, list service, paths, clients and system calls
// that overlap in time. Equal seeds give equal scenarios; what breaks can be written down and played again.
#pragma once

#include <cstdint>

#include "rig/scenario.h"

namespace heathflow::rig {

struct SoakOptions {
  unsigned seconds = 20;
  unsigned driversLeast = 10;
  unsigned driversMost = 30;
  bool failingCalls = true;  // system calls fail and clocks are stepped
};

Scenario soakScenario(std::uint64_t seed, const SoakOptions& options);

}  // namespace heathflow::rig
