// heathflow-emulator: plays a scenario with real gateways on loopback and judges it from outside.
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <exception>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

#include "emulator/deployment.h"
#include "emulator/random_scenario.h"
#include "emulator/scale.h"
#include "emulator/scale_plan.h"
#include "emulator/scenario.h"
#include "program/signals.h"

namespace {

using namespace heathflow;

enum ExitCode { kGood = 0, kBroken = 1, kUnusable = 2, kEnded = 3, kUsage = 64 };

// Without its program a scenario would play with nothing running.
bool isProgram(const std::string& path) {
  if (access(path.c_str(), X_OK) == 0 && std::filesystem::is_regular_file(path)) return true;
  std::fprintf(stderr, "%s: no program that can be started\n", path.c_str());
  return false;
}

constexpr std::size_t kChartsInRow = 3;
constexpr std::size_t kChartHeight = 220;

// Runs a script, which ends with it; false without gnuplot.
bool runGnuplot(const std::string& script) {
  std::string program = "gnuplot";
  std::string argument = script;
  char* words[] = {program.data(), argument.data(), nullptr};
  pid_t child = -1;
  int status = 0;
  if (::posix_spawnp(&child, "gnuplot", nullptr, nullptr, words, environ) != 0) return false;
  const bool good = ::waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  std::error_code ignored;
  std::filesystem::remove(script, ignored);
  return good;
}

// A chart by gnuplot; without gnuplot the columns stay for another tool.
bool draw(const std::string& columns, const std::string& chart, const std::string& title) {
  const std::string script = columns + ".plot";
  std::ofstream(script)
      << "set terminal svg size 900,640 dynamic background rgb 'white'\nset output '" << chart
      << "'\nset multiplot layout 2,1 title '" << title
      << "'\nset grid\nset key left top\nset xlabel 'seconds'\nset ylabel 'requests a second'\n"
         "plot '"
      << columns
      << "' using 1:2 with lines lw 2 title 'served', '' using 1:3 with "
         "lines lw 2 title 'refused', '' using 1:4 with lines lw 2 title 'failed', '' using "
         "1:8 with steps title 'drivers up'\nset ylabel 'a second'\nset y2label '99%, ms'\nset "
         "ytics nomirror\nset y2tics\nplot '"
      << columns
      << "' using 1:6 with lines lw 2 title 'connections at members', '' using 1:7 with lines "
         "lw 2 title 'calls of the list', '' using 1:5 axes x1y2 with lines title '99% (right)'\n";
  return runGnuplot(script);
}

void row(std::size_t number, const emulator::TimelineRow& second) {
  if (number % 20 == 0)
    std::printf("%4s %8s %8s %8s %8s %9s %9s %7s %6s\n", "s", "drivers", "served", "refused", "failed",
                "p50 ms", "p99 ms", "connect", "calls");
  std::printf(
      "%4zu %8u %8llu %8llu %8llu %9.1f %9.1f %7llu %6llu", number + 1, second.gatewaysUp,
      static_cast<unsigned long long>(second.served), static_cast<unsigned long long>(second.rejected),
      static_cast<unsigned long long>(second.failed), static_cast<double>(second.p50) / 1000,
      static_cast<double>(second.p99) / 1000, static_cast<unsigned long long>(second.connectionsAtEndpoints),
      static_cast<unsigned long long>(second.listCalls));
  for (const std::string& note : second.notes) std::printf("  %s;", note.c_str());
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

// A scenario, or all that is wrong with it on standard error.
std::optional<emulator::Scenario> load(const std::string& file) {
  std::vector<xml::Problem> problems;
  auto scenario = emulator::loadScenario(file, problems);
  for (const auto& problem : problems) std::fprintf(stderr, "%s\n", toText(problem).c_str());
  return scenario;
}

int run(const std::string& file, const emulator::ProgramPaths& programs, const std::string& out, bool quiet,
        bool numbers) {
  const auto scenario = load(file);
  if (!scenario || !isProgram(programs.gateway)) return kUnusable;
  if (!programs.traces.empty()) std::filesystem::create_directories(programs.traces);
  raiseDescriptors();
  transport::EventLoop loop;
  bool ended = false;
  program::Signals signals(loop, [&](int signal) { ended = ended || signal == SIGINT || signal == SIGTERM; });
  emulator::DeploymentResults results;
  {
    emulator::Deployment deployment(loop, *scenario, programs);
    results = deployment.play([&](std::size_t number, const emulator::TimelineRow& second) {
      if (!quiet && !numbers) row(number, second);
      return !ended;
    });
  }
  if (numbers) {
    std::printf("%s\n", results.numbersLine(scenario->gateways).c_str());
    return ended ? kEnded : results.rulesKept() ? kGood : kBroken;
  }
  std::printf("%s\n%s", results.scenario.c_str(), results.table().c_str());
  if (!out.empty()) {
    std::error_code error;
    std::filesystem::create_directories(out, error);
    const std::string base = out + "/" + results.scenario;
    std::ofstream(base + ".json") << results.json() << "\n";
    std::ofstream(base + ".dat") << results.columns();
    const bool drawn = draw(base + ".dat", base + ".svg", results.scenario);
    std::printf("results: %s.json, %s.dat%s\n", base.c_str(), base.c_str(),
                drawn ? (", chart: " + base + ".svg").c_str() : "; no chart, for there is no gnuplot");
  }
  if (ended) {
    std::printf("ended early; all drivers have ended with it\n");
    return kEnded;
  }
  return results.rulesKept() ? kGood : kBroken;
}

// Beyond this the emulator is too late to judge by times.
constexpr emulator::Micros kMaxLateness = 50'000;

enum class Verdict { Kept, Broken, NotJudged };

// Where the emulator was late what it judges by times alone is not counted; crashes, second effects and the
// gateways' own invariants are.
Verdict verdictOf(const emulator::DeploymentResults& results) {
  if (results.rulesKept()) return Verdict::Kept;
  const bool whateverTheTimes =
      !results.crashes.empty() ||
      results.broken[static_cast<std::size_t>(emulator::Rule::NoSecondEffect)] > 0 ||
      results.broken[static_cast<std::size_t>(emulator::Rule::InvariantsKept)] > 0;
  return results.emulatorLateness <= kMaxLateness || whateverTheTimes ? Verdict::Broken : Verdict::NotJudged;
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

struct SoakRange {
  std::uint64_t from = 1;
  std::uint64_t count = 10;
};

// One scenario of the soak: a line of its own, and where a rule broke all that is needed to follow it.
Verdict soakOnce(std::uint64_t seed, const emulator::RandomScenarioOptions& options,
                 emulator::ProgramPaths programs, const std::string& out) {
  const emulator::Scenario scenario = emulator::randomScenario(seed, options);
  programs.traces = out + "/" + scenario.name;
  std::filesystem::create_directories(programs.traces);
  std::ofstream(programs.traces + "/scenario.xml") << emulator::textOf(scenario);
  emulator::DeploymentResults results;
  {
    transport::EventLoop loop;
    emulator::Deployment deployment(loop, scenario, programs);
    results = deployment.play();
  }
  const Verdict verdict = verdictOf(results);
  std::printf(
      "%llu: %u drivers, %zu troubles; %llu asked, %llu served, %llu refused, %llu failed; %s; late %lld "
      "ms\n",
      static_cast<unsigned long long>(seed), scenario.gateways, scenario.faultEvents.size(),
      static_cast<unsigned long long>(results.requests), static_cast<unsigned long long>(results.served),
      static_cast<unsigned long long>(results.rejected), static_cast<unsigned long long>(results.failed),
      textOf(verdict), static_cast<long long>(results.emulatorLateness / 1000));
  std::ofstream(programs.traces + "/result.txt") << results.table();
  if (verdict == Verdict::Kept) {
    std::filesystem::remove_all(programs.traces);
  } else {
    std::printf("%s", results.table().c_str());
  }
  std::fflush(stdout);
  return verdict;
}

int soak(const SoakRange& range, const emulator::RandomScenarioOptions& options,
         const emulator::ProgramPaths& programs, const std::string& out) {
  if (!isProgram(programs.gateway)) return kUnusable;
  raiseDescriptors();
  std::uint64_t broken = 0;
  std::uint64_t notJudged = 0;
  for (std::uint64_t seed = range.from; seed < range.from + range.count; ++seed) {
    const Verdict verdict = soakOnce(seed, options, programs, out);
    if (verdict == Verdict::Broken) ++broken;
    if (verdict == Verdict::NotJudged) ++notJudged;
  }
  std::printf("%llu of %llu seeds broke a rule, %llu were not judged by times\n",
              static_cast<unsigned long long>(broken), static_cast<unsigned long long>(range.count),
              static_cast<unsigned long long>(notJudged));
  // A run that judged too little has shown nothing.
  return broken == 0 && 2 * notJudged <= range.count ? kGood : kBroken;
}

int check(const std::string& file) {
  const auto scenario = load(file);
  if (!scenario) return kUnusable;
  std::printf("%s: good, %u drivers, %u members, %zu faults\n", scenario->name.c_str(), scenario->gateways,
              scenario->groups * (scenario->replicas + 1), scenario->faultEvents.size());
  return kGood;
}

// A chart of each series on scales by powers of ten; false without gnuplot.
bool drawScale(const emulator::ScaleResults& results, const std::string& base) {
  const std::string script = base + ".plot";
  std::ofstream plot(script);
  const std::size_t rows = (results.series().size() + kChartsInRow - 1) / kChartsInRow;
  plot << "set terminal svg size 1200," << rows * kChartHeight
       << " dynamic background rgb 'white'\nset output '" << base << ".svg'\nset multiplot layout " << rows
       << "," << kChartsInRow << "\nset grid\nset logscale xy\nunset key\n";
  std::size_t index = 0;
  for (const emulator::Series& series : results.series()) {
    const std::size_t number = index++;
    const bool drawable = std::any_of(series.points.begin(), series.points.end(),
                                      [](const emulator::Point& point) { return point.value > 0; });
    if (!drawable) continue;
    plot << "set title '" << series.key() << "' noenhanced\nplot '" << base << ".dat' index " << number
         << " using 1:2 with linespoints lw 2\n";
  }
  plot.close();
  return runGnuplot(script);
}

std::string today() {
  const std::time_t now = std::time(nullptr);
  char out[32];
  std::strftime(out, sizeof out, "%Y-%m-%dT%H:%M:%SZ", std::gmtime(&now));
  return out;
}

int scale(const std::string& file, const std::string& program, const std::string& out) {
  std::vector<xml::Problem> problems;
  const auto plan = emulator::loadScalePlan(file, problems);
  for (const auto& problem : problems) std::fprintf(stderr, "%s\n", toText(problem).c_str());
  if (!plan) return kUnusable;
  raiseDescriptors();
  const std::size_t needed = emulator::descriptorsFor(*plan);
  if (needed > emulator::descriptorsLeft()) {
    std::fprintf(stderr,
                 "%zu descriptors are needed and %zu are left: a higher limit (ulimit -n) is expected\n",
                 needed, emulator::descriptorsLeft());
    return kUnusable;
  }
  transport::EventLoop loop;
  bool ended = false;
  program::Signals signals(loop, [&](int signal) { ended = ended || signal == SIGINT || signal == SIGTERM; });
  const emulator::RunNote note{plan->name, today(), emulator::machineName()};
  emulator::ScaleRun run(loop, *plan, program,
                         {[&] { return !ended; },
                          [](const std::string& step) {
                            std::printf("%s\n", step.c_str());
                            std::fflush(stdout);
                          }});
  const emulator::ScaleOutcome outcome = run.play();
  std::printf("\n%s, %s, on %s\n\n%s", note.name.c_str(), note.date.c_str(), note.machine.c_str(),
              outcome.results.table().c_str());
  for (const std::string& problem : outcome.problems) std::printf("NOT REACHED: %s\n", problem.c_str());
  if (!out.empty()) {
    std::error_code error;
    std::filesystem::create_directories(out, error);
    const std::string base = out + "/" + note.name;
    std::ofstream(base + ".json") << outcome.results.json(note) << "\n";
    std::ofstream(base + ".dat") << outcome.results.columns();
    if (!drawScale(outcome.results, base)) std::printf("no chart, for there is no gnuplot\n");
  }
  if (outcome.ended) {
    std::printf("ended early; all drivers have ended with it\n");
    return kEnded;
  }
  return outcome.problems.empty() ? kGood : kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "heathflow-emulator: real drivers, emulated members, clients and faults between them, on loopback");
  app.require_subcommand(1);
  std::string file, out;
  std::string program = (std::filesystem::path(argv[0]).parent_path() / "heathflow").string();
  bool quiet = false;
  bool numbers = false;
  CLI::App* runs = app.add_subcommand("run", "Play a scenario; 0: all rules were kept, 1: one was broken");
  runs->add_option("SCENARIO", file, "XML, see scenarios/")->required();
  runs->add_option("--program", program, "The driver")->capture_default_str();
  runs->add_option("--out", out, "A folder for results (JSON, columns, SVG)");
  runs->add_flag("--quiet", quiet, "No row for each second");
  runs->add_flag("--numbers", numbers, "One line of numbers for scripts, and nothing else");
  emulator::ProgramPaths programs;
  programs.faults = (std::filesystem::path(argv[0]).parent_path() / "libheathflow_faults.so").string();
  runs->add_option("--faults", programs.faults, "The library of failing calls")->capture_default_str();
  runs->add_option("--traces", programs.traces,
                   "A folder for each driver's log, with each step of each request");
  SoakRange range;
  emulator::RandomScenarioOptions soakOptions;
  std::string soakOut = "found/soak";
  CLI::App* soaks =
      app.add_subcommand("soak", "Play scenarios at random; 1: a rule was broken in one of them");
  soaks->add_option("--from", range.from, "The first seed")->capture_default_str();
  soaks->add_option("--count", range.count, "So many seeds")->capture_default_str();
  soaks->add_option("--seconds", soakOptions.seconds, "Of each")
      ->check(CLI::Range(10, 120))
      ->capture_default_str();
  soaks->add_option("--drivers", soakOptions.gatewaysMost, "At the most")
      ->check(CLI::Range(10, 60))
      ->capture_default_str();
  soaks->add_flag("!--calls-go-well", soakOptions.failingCalls,
                  "No system call fails, and no clock is stepped");
  soaks->add_option("--program", program, "The driver")->capture_default_str();
  soaks->add_option("--faults", programs.faults, "The library of failing calls")->capture_default_str();
  soaks->add_option("--out", soakOut, "A folder for scenarios and logs of what broke")->capture_default_str();
  CLI::App* scales =
      app.add_subcommand("scale", "Measure what grows with the size; 1: a step was not reached");
  scales->add_option("PLAN", file, "XML, see scenarios/scale/scale.xml")->required();
  scales->add_option("--program", program, "The driver")->capture_default_str();
  scales->add_option("--out", out, "A folder for results (JSON, columns, SVG)");
  CLI::App* checks = app.add_subcommand("check", "Tell all that is wrong with a scenario");
  checks->add_option("SCENARIO", file)->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kGood : kUsage;
  }
  try {
    if (scales->parsed()) return scale(file, program, out);
    programs.gateway = program;
    if (soaks->parsed()) return soak(range, soakOptions, programs, soakOut);
    return runs->parsed() ? run(file, programs, out, quiet, numbers) : check(file);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kUnusable;
  }
}
