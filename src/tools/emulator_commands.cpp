#include "tools/emulator_commands.h"

#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <optional>
#include <system_error>
#include <vector>

#include "emulator/deployment.h"
#include "emulator/scale.h"
#include "emulator/scale_plan.h"
#include "emulator/units.h"
#include "program/signals.h"
#include "tools/emulator_charts.h"

namespace heathflow::emulator {
namespace {

constexpr std::size_t kRowsPerHeading = 20;
// If the emulator's own timers fire later than this, its measured times can't be used to judge a run.
constexpr Micros kMaxLateness = 50 * kMicrosPerMilli;

unsigned long long printable(std::uint64_t count) { return count; }

// Returns whether a path is an executable file, and prints an error if not. Without this check a scenario
// would run without any gateway.
bool isProgram(const std::string& path) {
  if (access(path.c_str(), X_OK) == 0 && std::filesystem::is_regular_file(path)) return true;
  std::fprintf(stderr, "%s: not an executable file\n", path.c_str());
  return false;
}

void printRow(std::size_t number, const TimelineRow& row) {
  if (number % kRowsPerHeading == 0)
    std::printf("%4s %8s %8s %8s %8s %9s %9s %7s %6s\n", "s", "drivers", "served", "refused", "failed",
                "p50 ms", "p99 ms", "connect", "calls");
  std::printf("%4zu %8u %8llu %8llu %8llu %9.1f %9.1f %7llu %6llu", number + 1, row.gatewaysUp,
              printable(row.served), printable(row.rejected), printable(row.failed), toMilliseconds(row.p50),
              toMilliseconds(row.p99), printable(row.connectionsAtEndpoints), printable(row.listCalls));
  for (const std::string& note : row.notes) std::printf("  %s;", note.c_str());
  std::printf("\n");
  std::fflush(stdout);
}

// Raises the soft limit of file descriptors to the hard one: hundreds of gateways with their clients need
// more than the default.
void raiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

void printProblems(const std::vector<xml::Problem>& problems) {
  for (const auto& problem : problems) std::fprintf(stderr, "%s\n", toText(problem).c_str());
}

std::optional<Scenario> loadOrReport(const std::string& file) {
  std::vector<xml::Problem> problems;
  auto scenario = loadScenario(file, problems);
  printProblems(problems);
  return scenario;
}

// Remembers whether SIGINT or SIGTERM was received.
class StopRequest {
 public:
  explicit StopRequest(transport::EventLoop& loop)
      : signals_(loop,
                 [this](int signal) { requested_ = requested_ || signal == SIGINT || signal == SIGTERM; }) {}
  bool requested() const { return requested_; }

 private:
  bool requested_ = false;
  program::Signals signals_;
};

int endedEarly() {
  std::printf("ended early; all gateways were stopped\n");
  return kEndedEarly;
}

void writeResults(const DeploymentResults& results, const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  const std::string base = folder + "/" + results.scenario;
  std::ofstream(base + ".json") << results.json() << "\n";
  std::ofstream(base + ".dat") << results.columns();
  const bool drawn = drawTimeline(base + ".dat", base + ".svg", results.scenario);
  std::printf("results: %s.json, %s.dat%s\n", base.c_str(), base.c_str(),
              drawn ? (", chart: " + base + ".svg").c_str() : "; no chart: gnuplot is missing or failed");
}

enum class Verdict { Kept, Broken, NotJudged };

// Judges a run. If the emulator was late, rules that it judges by times alone don't count as broken; crashes,
// repeated effects and violated invariants of the gateways do.
Verdict verdictOf(const DeploymentResults& results) {
  if (results.rulesKept()) return Verdict::Kept;
  const bool brokenRegardlessOfTimes = !results.crashes.empty() ||
                                       results.broken[static_cast<std::size_t>(Rule::NoSecondEffect)] > 0 ||
                                       results.broken[static_cast<std::size_t>(Rule::InvariantsKept)] > 0;
  return results.emulatorLateness <= kMaxLateness || brokenRegardlessOfTimes ? Verdict::Broken
                                                                             : Verdict::NotJudged;
}

const char* textOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::Kept:
      return "all rules kept";
    case Verdict::Broken:
      return "BROKEN";
    case Verdict::NotJudged:
      return "NOT JUDGED, the emulator was late";
  }
  return "";
}

void printSoakLine(std::uint64_t seed, const Scenario& scenario, const DeploymentResults& results,
                   Verdict verdict) {
  std::printf(
      "seed %llu: %u gateways, %zu faults; %llu requests, %llu served, %llu rejected, %llu failed; %s; "
      "emulator late by %lld ms\n",
      printable(seed), scenario.gateways, scenario.faultEvents.size(), printable(results.requests),
      printable(results.served), printable(results.rejected), printable(results.failed), textOf(verdict),
      static_cast<long long>(results.emulatorLateness / kMicrosPerMilli));
}

// Runs one random scenario. Unless all rules were kept, its scenario, logs and results stay in the folder.
Verdict runSeed(std::uint64_t seed, const SoakOptions& options, ProgramPaths programs) {
  const Scenario scenario = randomScenario(seed, options.scenario);
  programs.traces = options.failuresFolder + "/" + scenario.name;
  std::filesystem::create_directories(programs.traces);
  std::ofstream(programs.traces + "/scenario.xml") << textOf(scenario);
  DeploymentResults results;
  {
    transport::EventLoop loop;
    Deployment deployment(loop, scenario, programs);
    results = deployment.play();
  }
  const Verdict verdict = verdictOf(results);
  printSoakLine(seed, scenario, results, verdict);
  std::ofstream(programs.traces + "/result.txt") << results.table();
  if (verdict == Verdict::Kept) {
    std::filesystem::remove_all(programs.traces);
  } else {
    std::printf("%s", results.table().c_str());
  }
  std::fflush(stdout);
  return verdict;
}

std::string currentTime() {
  const std::time_t now = std::time(nullptr);
  char out[32];
  std::strftime(out, sizeof out, "%Y-%m-%dT%H:%M:%SZ", std::gmtime(&now));
  return out;
}

bool hasDescriptorsFor(const ScalePlan& plan) {
  const std::size_t needed = descriptorsFor(plan);
  if (needed <= descriptorsLeft()) return true;
  std::fprintf(stderr, "%zu file descriptors are needed and %zu are left; raise the limit (ulimit -n)\n",
               needed, descriptorsLeft());
  return false;
}

void writeScaleResults(const ScaleResults& results, const RunNote& note, const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  const std::string base = folder + "/" + note.name;
  std::ofstream(base + ".json") << results.json(note) << "\n";
  std::ofstream(base + ".dat") << results.columns();
  if (!drawScaleSeries(results, base)) std::printf("no chart: gnuplot is missing or failed\n");
}

}  // namespace

int runScenario(const RunOptions& options, const ProgramPaths& programs) {
  const auto scenario = loadOrReport(options.scenario);
  if (!scenario || !isProgram(programs.gateway)) return kInvalidInput;
  if (!programs.traces.empty()) std::filesystem::create_directories(programs.traces);
  raiseDescriptorLimit();
  transport::EventLoop loop;
  StopRequest end(loop);
  DeploymentResults results;
  {
    Deployment deployment(loop, *scenario, programs);
    results = deployment.play([&](std::size_t number, const TimelineRow& row) {
      if (!options.quiet && !options.numbers) printRow(number, row);
      return !end.requested();
    });
  }
  const int exitCode = results.rulesKept() ? kSuccess : kFailed;
  if (options.numbers) {
    std::printf("%s\n", results.numbersLine(scenario->gateways).c_str());
    return end.requested() ? kEndedEarly : exitCode;
  }
  std::printf("%s\n%s", results.scenario.c_str(), results.table().c_str());
  if (!options.resultsFolder.empty()) writeResults(results, options.resultsFolder);
  return end.requested() ? endedEarly() : exitCode;
}

int soak(const SoakOptions& options, const ProgramPaths& programs) {
  if (!isProgram(programs.gateway)) return kInvalidInput;
  raiseDescriptorLimit();
  std::uint64_t broken = 0;
  std::uint64_t notJudged = 0;
  for (std::uint64_t seed = options.firstSeed; seed < options.firstSeed + options.count; ++seed) {
    const Verdict verdict = runSeed(seed, options, programs);
    if (verdict == Verdict::Broken) ++broken;
    if (verdict == Verdict::NotJudged) ++notJudged;
  }
  std::printf("%llu of %llu seeds broke a rule; %llu were not judged because the emulator was late\n",
              printable(broken), printable(options.count), printable(notJudged));
  // If more than half of the seeds were not judged, the run proves nothing and counts as failed.
  return broken == 0 && 2 * notJudged <= options.count ? kSuccess : kFailed;
}

int scale(const ScaleOptions& options, const std::string& gatewayProgram) {
  std::vector<xml::Problem> problems;
  const auto plan = loadScalePlan(options.plan, problems);
  printProblems(problems);
  if (!plan) return kInvalidInput;
  raiseDescriptorLimit();
  if (!hasDescriptorsFor(*plan)) return kInvalidInput;
  transport::EventLoop loop;
  StopRequest end(loop);
  const RunNote note{plan->name, currentTime(), machineName()};
  const auto printStep = [](const std::string& step) {
    std::printf("%s\n", step.c_str());
    std::fflush(stdout);
  };
  ScaleRun run(loop, *plan, gatewayProgram, {[&] { return !end.requested(); }, printStep});
  const ScaleOutcome outcome = run.play();
  std::printf("\n%s, %s, on %s\n\n%s", note.name.c_str(), note.date.c_str(), note.machine.c_str(),
              outcome.results.table().c_str());
  for (const std::string& problem : outcome.problems) std::printf("NOT REACHED: %s\n", problem.c_str());
  if (!options.resultsFolder.empty()) writeScaleResults(outcome.results, note, options.resultsFolder);
  if (outcome.ended) return endedEarly();
  return outcome.problems.empty() ? kSuccess : kFailed;
}

int checkScenario(const std::string& file) {
  const auto scenario = loadOrReport(file);
  if (!scenario) return kInvalidInput;
  std::printf("%s: valid, %u gateways, %u endpoints, %zu faults\n", scenario->name.c_str(),
              scenario->gateways, scenario->groups * (scenario->replicas + 1), scenario->faultEvents.size());
  return kSuccess;
}

}  // namespace heathflow::emulator
