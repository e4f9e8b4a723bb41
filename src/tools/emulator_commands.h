// The commands of heathflow-emulator. Each returns the exit code of the program.
#pragma once

#include <cstdint>
#include <string>

#include "emulator/gateway_process.h"
#include "emulator/random_scenario.h"

namespace heathflow::emulator {

enum ExitCode {
  kSuccess = 0,
  kFailed = 1,  // a rule was broken, or a step of a scale run was not reached
  kInvalidInput = 2,
  kEndedEarly = 3,  // by SIGINT or SIGTERM
  kUsage = 64
};

struct RunOptions {
  std::string scenario;
  std::string resultsFolder;  // empty: results are only printed
  bool quiet = false;         // does not print a row per second
  bool numbers = false;       // prints one line of numbers for scripts, and nothing else
};

struct SoakOptions {
  std::uint64_t firstSeed = 1;
  std::uint64_t count = 10;
  std::string failuresFolder = "found/soak";  // for scenarios and logs of runs that did not keep all rules
  RandomScenarioOptions scenario;
};

struct ScaleOptions {
  std::string plan;
  std::string resultsFolder;  // empty: results are only printed
};

// Runs one scenario.
int runScenario(const RunOptions& options, const ProgramPaths& programs);
// Runs random scenarios, one per seed.
int soak(const SoakOptions& options, const ProgramPaths& programs);
// Measures the costs that grow with the size of a deployment.
int scale(const ScaleOptions& options, const std::string& gatewayProgram);
// Prints all errors of a scenario file.
int checkScenario(const std::string& file);

}  // namespace heathflow::emulator
