// The commands of heathflow-emulator. Each returns the program's exit code.
#pragma once

#include <cstdint>
#include <string>

#include "emulator/gateway_process.h"
#include "emulator/random_scenario.h"

namespace heathflow::emulator {

enum ExitCode { kGood = 0, kBroken = 1, kUnusable = 2, kEnded = 3, kUsage = 64 };

struct RunOptions {
  std::string scenario;
  std::string resultsFolder;  // empty: none
  bool quiet = false;         // no row for each second
  bool numbers = false;       // one line of numbers for scripts, and nothing else
};

struct SoakOptions {
  std::uint64_t firstSeed = 1;
  std::uint64_t count = 10;
  std::string foundFolder = "found/soak";  // for scenarios and logs of plays that broke a rule
  RandomScenarioOptions scenario;
};

struct ScaleOptions {
  std::string plan;
  std::string resultsFolder;  // empty: none
};

// Plays one scenario.
int runScenario(const RunOptions& options, const ProgramPaths& programs);
// Plays random scenarios, one for each seed.
int soak(const SoakOptions& options, const ProgramPaths& programs);
// Measures what grows with the size of a deployment.
int scale(const ScaleOptions& options, const std::string& gatewayProgram);
// Reports all that is wrong with a scenario.
int checkScenario(const std::string& file);

}  // namespace heathflow::emulator
