// heathflow-emulator: plays scenarios with real gateways on loopback and judges
// them from outside.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <string>

#include "tools/emulator_commands.h"

namespace {

using namespace heathflow::emulator;

struct Options {
  RunOptions run;
  SoakOptions soak;
  ScaleOptions scale;
  std::string checkedScenario;
  ProgramPaths programs;
};

void addGatewayProgram(CLI::App& command, Options& options) {
  command.add_option("--program", options.programs.gateway, "The driver")->capture_default_str();
}

void addFaultLibrary(CLI::App& command, Options& options) {
  command.add_option("--faults", options.programs.faults, "The library of failing calls")
      ->capture_default_str();
}

CLI::App* addRun(CLI::App& app, Options& options) {
  CLI::App* command = app.add_subcommand("run", "Play a scenario; 0: all rules were kept, 1: one was broken");
  command->add_option("SCENARIO", options.run.scenario, "XML, see scenarios/")->required();
  addGatewayProgram(*command, options);
  command->add_option("--out", options.run.resultsFolder, "A folder for results (JSON, columns, SVG)");
  command->add_flag("--quiet", options.run.quiet, "No row for each second");
  command->add_flag("--numbers", options.run.numbers, "One line of numbers for scripts, and nothing else");
  addFaultLibrary(*command, options);
  command->add_option("--traces", options.programs.traces,
                      "A folder for each driver's log, with each step of each request");
  return command;
}

CLI::App* addSoak(CLI::App& app, Options& options) {
  CLI::App* command =
      app.add_subcommand("soak", "Play scenarios at random; 1: a rule was broken in one of them");
  command->add_option("--from", options.soak.firstSeed, "The first seed")->capture_default_str();
  command->add_option("--count", options.soak.count, "So many seeds")->capture_default_str();
  command->add_option("--seconds", options.soak.scenario.seconds, "Of each")
      ->check(CLI::Range(10, 120))
      ->capture_default_str();
  command->add_option("--drivers", options.soak.scenario.gatewaysMost, "At the most")
      ->check(CLI::Range(10, 60))
      ->capture_default_str();
  command->add_flag("!--calls-go-well", options.soak.scenario.failingCalls,
                    "No system call fails, and no clock is stepped");
  addGatewayProgram(*command, options);
  addFaultLibrary(*command, options);
  command->add_option("--out", options.soak.foundFolder, "A folder for scenarios and logs of what broke")
      ->capture_default_str();
  return command;
}

CLI::App* addScale(CLI::App& app, Options& options) {
  CLI::App* command =
      app.add_subcommand("scale", "Measure what grows with the size; 1: a step was not reached");
  command->add_option("PLAN", options.scale.plan, "XML, see scenarios/scale/scale.xml")->required();
  addGatewayProgram(*command, options);
  command->add_option("--out", options.scale.resultsFolder, "A folder for results (JSON, columns, SVG)");
  return command;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "heathflow-emulator: real drivers, emulated members, clients "
      "and faults between them, on loopback");
  app.require_subcommand(1);
  Options options;
  const std::filesystem::path folder = std::filesystem::path(argv[0]).parent_path();
  options.programs.gateway = (folder / "heathflow").string();
  options.programs.faults = (folder / "libheathflow_faults.so").string();
  const CLI::App* run = addRun(app, options);
  const CLI::App* soakRun = addSoak(app, options);
  const CLI::App* scaleRun = addScale(app, options);
  app.add_subcommand("check", "Tell all that is wrong with a scenario")
      ->add_option("SCENARIO", options.checkedScenario)
      ->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kGood : kUsage;
  }
  try {
    if (scaleRun->parsed()) return scale(options.scale, options.programs.gateway);
    if (soakRun->parsed()) return soak(options.soak, options.programs);
    if (run->parsed()) return runScenario(options.run, options.programs);
    return checkScenario(options.checkedScenario);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kUnusable;
  }
}
