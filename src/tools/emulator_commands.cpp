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
// Beyond this the emulator is too late to judge by times.
constexpr Micros kMaxLateness = 50 * kMicrosPerMilli;

unsigned long long printable(std::uint64_t count) { return count; }

// Without its program a scenario would play with nothing running.
bool isProgram(const std::string& path) {
  if (access(path.c_str(), X_OK) == 0 && std::filesystem::is_regular_file(path)) return true;
  std::fprintf(stderr, "%s: no program that can be started\n", path.c_str());
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

// Hundreds of gateways with their clients need more descriptors than a shell gives.
void raiseDescriptors() {
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

// Set by SIGINT and SIGTERM.
class EndRequest {
 public:
  explicit EndRequest(transport::EventLoop& loop)
      : signals_(loop,
                 [this](int signal) { requested_ = requested_ || signal == SIGINT || signal == SIGTERM; }) {}
  bool requested() const { return requested_; }

 private:
  bool requested_ = false;
  program::Signals signals_;
};

int endedEarly() {
  std::printf("ended early; all drivers have ended with it\n");
  return kEnded;
}

void writeResults(const DeploymentResults& results, const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  const std::string base = folder + "/" + results.scenario;
  std::ofstream(base + ".json") << results.json() << "\n";
  std::ofstream(base + ".dat") << results.columns();
  const bool drawn = drawTimeline(base + ".dat", base + ".svg", results.scenario);
  std::printf("results: %s.json, %s.dat%s\n", base.c_str(), base.c_str(),
              drawn ? (", chart: " + base + ".svg").c_str() : "; no chart, for there is no gnuplot");
}

enum class Verdict { Kept, Broken, NotJudged };

// Where the emulator was late what it judges by times alone does not count; crashes, second effects and the
// gateways' own invariants do.
Verdict verdictOf(const DeploymentResults& results) {
  if (results.rulesKept()) return Verdict::Kept;
  const bool brokenWhateverTheTimes = !results.crashes.empty() ||
                                      results.broken[static_cast<std::size_t>(Rule::NoSecondEffect)] > 0 ||
                                      results.broken[static_cast<std::size_t>(Rule::InvariantsKept)] > 0;
  return results.emulatorLateness <= kMaxLateness || brokenWhateverTheTimes ? Verdict::Broken
                                                                            : Verdict::NotJudged;
}

const char* textOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::Kept:
      return "all rules kept";
    case Verdict::Broken:
      return "BROKEN";
    case Verdict::NotJudged:
      return "NOT JUDGED, the rig was late";
  }
  return "";
}

void printSoakLine(std::uint64_t seed, const Scenario& scenario, const DeploymentResults& results,
                   Verdict verdict) {
  std::printf(
      "%llu: %u drivers, %zu troubles; %llu asked, %llu served, %llu refused, %llu failed; %s; late %lld "
      "ms\n",
      printable(seed), scenario.gateways, scenario.faultEvents.size(), printable(results.requests),
      printable(results.served), printable(results.rejected), printable(results.failed), textOf(verdict),
      static_cast<long long>(results.emulatorLateness / kMicrosPerMilli));
}

// Plays one random scenario. Where it broke a rule its scenario, logs and results stay in the folder.
Verdict playSeed(std::uint64_t seed, const SoakOptions& options, ProgramPaths programs) {
  const Scenario scenario = randomScenario(seed, options.scenario);
  programs.traces = options.foundFolder + "/" + scenario.name;
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
  std::fprintf(stderr,
               "%zu descriptors are needed and %zu are left: a higher limit (ulimit -n) is expected\n",
               needed, descriptorsLeft());
  return false;
}

void writeScaleResults(const ScaleResults& results, const RunNote& note, const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  const std::string base = folder + "/" + note.name;
  std::ofstream(base + ".json") << results.json(note) << "\n";
  std::ofstream(base + ".dat") << results.columns();
  if (!drawScaleSeries(results, base)) std::printf("no chart, for there is no gnuplot\n");
}

}  // namespace

int runScenario(const RunOptions& options, const ProgramPaths& programs) {
  const auto scenario = loadOrReport(options.scenario);
  if (!scenario || !isProgram(programs.gateway)) return kUnusable;
  if (!programs.traces.empty()) std::filesystem::create_directories(programs.traces);
  raiseDescriptors();
  transport::EventLoop loop;
  EndRequest end(loop);
  DeploymentResults results;
  {
    Deployment deployment(loop, *scenario, programs);
    results = deployment.play([&](std::size_t number, const TimelineRow& row) {
      if (!options.quiet && !options.numbers) printRow(number, row);
      return !end.requested();
    });
  }
  const int judged = results.rulesKept() ? kGood : kBroken;
  if (options.numbers) {
    std::printf("%s\n", results.numbersLine(scenario->gateways).c_str());
    return end.requested() ? kEnded : judged;
  }
  std::printf("%s\n%s", results.scenario.c_str(), results.table().c_str());
  if (!options.resultsFolder.empty()) writeResults(results, options.resultsFolder);
  return end.requested() ? endedEarly() : judged;
}

int soak(const SoakOptions& options, const ProgramPaths& programs) {
  if (!isProgram(programs.gateway)) return kUnusable;
  raiseDescriptors();
  std::uint64_t broken = 0;
  std::uint64_t notJudged = 0;
  for (std::uint64_t seed = options.firstSeed; seed < options.firstSeed + options.count; ++seed) {
    const Verdict verdict = playSeed(seed, options, programs);
    if (verdict == Verdict::Broken) ++broken;
    if (verdict == Verdict::NotJudged) ++notJudged;
  }
  std::printf("%llu of %llu seeds broke a rule, %llu were not judged by times\n", printable(broken),
              printable(options.count), printable(notJudged));
  // A run that judged too little has shown nothing.
  return broken == 0 && 2 * notJudged <= options.count ? kGood : kBroken;
}

int scale(const ScaleOptions& options, const std::string& gatewayProgram) {
  std::vector<xml::Problem> problems;
  const auto plan = loadScalePlan(options.plan, problems);
  printProblems(problems);
  if (!plan) return kUnusable;
  raiseDescriptors();
  if (!hasDescriptorsFor(*plan)) return kUnusable;
  transport::EventLoop loop;
  EndRequest end(loop);
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
  return outcome.problems.empty() ? kGood : kBroken;
}

int checkScenario(const std::string& file) {
  const auto scenario = loadOrReport(file);
  if (!scenario) return kUnusable;
  std::printf("%s: good, %u drivers, %u members, %zu faults\n", scenario->name.c_str(), scenario->gateways,
              scenario->groups * (scenario->replicas + 1), scenario->faultEvents.size());
  return kGood;
}

}  // namespace heathflow::emulator
