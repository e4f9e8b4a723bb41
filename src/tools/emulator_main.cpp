// heathflow-emulator: runs scenarios with real gateways on loopback and judges the gateways by their
// externally visible behaviour.
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
  command.add_option("--program", options.programs.gateway, "Path of the gateway program")
      ->capture_default_str();
}

void addFaultLibrary(CLI::App& command, Options& options) {
  command.add_option("--faults", options.programs.faults, "Path of the library that makes system calls fail")
      ->capture_default_str();
}

CLI::App* addRun(CLI::App& app, Options& options) {
  CLI::App* command =
      app.add_subcommand("run", "Run a scenario. Exit status 0: all rules were kept, 1: a rule was broken");
  command->add_option("SCENARIO", options.run.scenario, "Scenario file (XML), see scenarios/")->required();
  addGatewayProgram(*command, options);
  command->add_option("--out", options.run.resultsFolder, "Folder for the results (JSON, columns, SVG)");
  command->add_flag("--quiet", options.run.quiet, "Don't print a row per second");
  command->add_flag("--numbers", options.run.numbers,
                    "Print one line of numbers for scripts, and nothing else");
  addFaultLibrary(*command, options);
  command->add_option("--traces", options.programs.traces,
                      "Folder for the gateways' logs, with each step of each request");
  return command;
}

CLI::App* addSoak(CLI::App& app, Options& options) {
  CLI::App* command = app.add_subcommand(
      "soak", "Run random scenarios. Exit status 1: a rule was broken, or most were not judged");
  command->add_option("--from", options.soak.firstSeed, "First seed")->capture_default_str();
  command->add_option("--count", options.soak.count, "Number of seeds")->capture_default_str();
  command->add_option("--seconds", options.soak.scenario.seconds, "Length of each scenario")
      ->check(CLI::Range(10, 120))
      ->capture_default_str();
  command->add_option("--drivers", options.soak.scenario.gatewaysMost, "Largest number of gateways")
      ->check(CLI::Range(10, 60))
      ->capture_default_str();
  command->add_flag("!--calls-go-well", options.soak.scenario.failingCalls,
                    "Don't make system calls fail or step clocks");
  addGatewayProgram(*command, options);
  addFaultLibrary(*command, options);
  command
      ->add_option("--out", options.soak.failuresFolder,
                   "Folder for scenarios and logs of runs that did not keep all rules")
      ->capture_default_str();
  return command;
}

CLI::App* addScale(CLI::App& app, Options& options) {
  CLI::App* command =
      app.add_subcommand("scale", "Measure costs at growing sizes. Exit status 1: a step was not reached");
  command->add_option("PLAN", options.scale.plan, "Plan file (XML), see scenarios/scale/scale.xml")
      ->required();
  addGatewayProgram(*command, options);
  command->add_option("--out", options.scale.resultsFolder, "Folder for the results (JSON, columns, SVG)");
  return command;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "heathflow-emulator: runs real gateways with emulated endpoints, clients "
      "and faults on loopback");
  app.require_subcommand(1);
  Options options;
  const std::filesystem::path folder = std::filesystem::path(argv[0]).parent_path();
  options.programs.gateway = (folder / "heathflow").string();
  options.programs.faults = (folder / "libheathflow_faults.so").string();
  const CLI::App* run = addRun(app, options);
  const CLI::App* soakRun = addSoak(app, options);
  const CLI::App* scaleRun = addScale(app, options);
  app.add_subcommand("check", "Print all errors of a scenario file")
      ->add_option("SCENARIO", options.checkedScenario)
      ->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kSuccess : kUsage;
  }
  try {
    if (scaleRun->parsed()) return scale(options.scale, options.programs.gateway);
    if (soakRun->parsed()) return soak(options.soak, options.programs);
    if (run->parsed()) return runScenario(options.run, options.programs);
    return checkScenario(options.checkedScenario);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kInvalidInput;
  }
}
