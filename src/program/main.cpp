// The program's command line. Without arguments it is one gateway, as the platform starts it.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <exception>
#include <memory>
#include <sstream>
#include <string_view>

#include "files/files.h"
#include "installation/installation.h"
#include "program/config.h"
#include "program/counters.h"
#include "program/gateway.h"
#include "program/keeper.h"
#include "program/log.h"
#include "program/reloading.h"
#include "program/signals.h"
#include "program/starting.h"

namespace {

using namespace heathflow;

constexpr Micros kMicrosPerSecond = 1'000'000;

// How the program ends; README.md lists them.
enum ExitCode { kGood = 0, kFailed = 1, kUnusable = 2, kUsage = 64 };

constexpr std::string_view kServe = "serve";

void logCounters(const stats::Observer& observer) {
  std::istringstream lines(program::describe(observer.counters) + stats::describe(observer.upstreamStats));
  for (std::string line; std::getline(lines, line);) program::logLine(line);
}

// False, and said why, where there is none that can be used.
bool readConfiguration(const installation::Installation& installation, program::Config& config) {
  std::string problem;
  bool good = false;
  (void)program::untilStarted("the reading of the configuration", [&] {
    int error = 0;
    good = program::loadConfig(config, problem, installation.nodeFile, error);
    return error;
  });
  if (!good) program::logLine(problem);
  return good;
}

int failedFor(const std::string& what, int error) {
  program::logLine(what + ": " + std::strerror(error));
  return kFailed;
}

int serve(const installation::Installation& installation, const std::string& settingsFile = {}) {
  program::Config config;
  if (!readConfiguration(installation, config)) return kUnusable;
  std::vector<installation::Problem> problems;
  installation::checkClasses(installation, settingsFile, config.settings.classNames, problems);
  for (const auto& found : problems) program::logLine(toText(found));
  if (!problems.empty()) return kUnusable;
  program::configureLog(installation.log);
  for (const std::string& note : config.settings.notes) program::logLine(note);
  std::unique_ptr<transport::EventLoop> loopHeld;
  const int noLoop = program::untilStarted("waiting for events", [&] {
    loopHeld = std::make_unique<transport::EventLoop>();
    return 0;
  });
  if (noLoop != 0) return failedFor("events can't be waited for", noLoop);
  transport::EventLoop& loop = *loopHeld;
  program::Log log;
  log.setLinesPerSecond(installation.log.linesPerSecond);
  log.tracing = installation.log.level == installation::LogLevel::Trace;
  const auto earlier = program::earlierLife(installation.snapshot, config.name);
  program::Gateway gateway(loop, config, log, installation, earlier);
  program::Keeper keeper(loop, installation.snapshot, earlier, gateway);
  program::Reloading reloading(loop, gateway, installation.nodeFile);
  const auto onSignal = [&](int signal) {
    if (signal == SIGUSR1) return logCounters(log);
    if (signal == SIGHUP) return reloading.begin();
    program::logLine("told to end: clients are let go");
    gateway.drain([&] { loop.stop(); });
  };
  std::unique_ptr<program::Signals> signals;
  const int noSignals = program::untilStarted("the taking of signals", [&] {
    signals = std::make_unique<program::Signals>(loop, onSignal);
    return 0;
  });
  if (noSignals != 0) return failedFor("signals can't be taken", noSignals);
  const Micros every = installation.log.countersEvery * kMicrosPerSecond;
  transport::Timer counting(loop, [&] {
    logCounters(log);
    counting.arm(loop.now() + every);
  });
  if (every > 0) counting.arm(loop.now() + every);
  std::string problem;
  if (program::untilStarted("the opening of the listeners", [&] { return gateway.listen(problem); }) != 0) {
    program::logLine(problem);
    return kFailed;
  }
  gateway.start();
  keeper.begin();
  program::logLine(config.name + " serves at " + toText(gateway.boundTo().value_or(config.listen)));
  for (std::size_t i = 0; i < installation.listeners.size(); ++i) {
    const installation::Listener& listener = installation.listeners[i];
    program::logLine("the listener '" + listener.name + "' speaks " + listener.protocol + " at " +
                     toText(gateway.boundTo(i + 1).value_or(listener.address)));
  }
  loop.run();
  keeper.end();
  logCounters(log);
  return kGood;
}

int serveWith(const std::string& settingsFile) {
  installation::Installation installation;
  if (!settingsFile.empty()) {
    std::vector<installation::Problem> problems;
    files::Content text;
    const int error = program::untilStarted("the reading of the settings", [&] {
      text = files::read(settingsFile);
      return text.error;
    });
    if (error != 0) {
      program::logLine(settingsFile + ": the file can't be opened: " + std::strerror(error));
      return kUnusable;
    }
    const auto loaded = installation::parse(settingsFile, *text.bytes, problems);
    if (loaded) {
      installation = *loaded;
      installation::readSecrets(installation, settingsFile, problems);
    }
    for (const auto& problem : problems) program::logLine(toText(problem));
    if (!problems.empty()) return kUnusable;
  }
  return serve(installation, settingsFile);
}

// All that is wrong with a file, a line each; nothing but a word of praise where it is good.
int checkConfig(const std::string& settingsFile, const std::string& nodeFile) {
  std::vector<installation::Problem> problems;
  const auto loaded = installation::load(settingsFile, problems);
  if (loaded && !nodeFile.empty()) {
    program::Config config;
    std::string problem;
    const files::Content text = files::read(nodeFile);
    if (!text.bytes) {
      problems.push_back(
          {nodeFile, 0, "", std::string("the file can't be opened: ") + std::strerror(text.error)});
    } else if (!program::parseConfig(*text.bytes, config, problem)) {
      problems.push_back({nodeFile, 0, "", problem});
    } else {
      installation::checkClasses(*loaded, settingsFile, config.settings.classNames, problems);
    }
  }
  for (const auto& problem : problems) std::fprintf(stderr, "%s\n", toText(problem).c_str());
  if (!problems.empty()) return kUnusable;
  std::printf("%s: good, %zu listeners, %zu families\n", settingsFile.c_str(), loaded->listeners.size(),
              loaded->families.size());
  return kGood;
}

int commandLine(int argc, char** argv) {
  CLI::App app("heathflow: spreads reads over replicas, writes go to the primary", "heathflow");
  app.set_version_flag("--version", "heathflow " HEATHFLOW_VERSION);
  app.require_subcommand(1);
  app.footer(
      "Without arguments it serves as NODE_CONFIG says.\n"
      "Exit codes: 0 good, 1 failed, 2 unusable input, 64 wrong usage.");
  std::string settingsFile;
  CLI::App* serveCommand =
      app.add_subcommand(std::string(kServe), "Serve as NODE_CONFIG and, if given, the settings say");
  serveCommand->add_option("--config", settingsFile, "The installation's settings (XML)");
  std::string checkedFile;
  std::string nodeFile;
  CLI::App* check = app.add_subcommand("check-config", "Tell all that is wrong with a settings file");
  check->add_option("FILE", checkedFile, "The installation's settings (XML)")->required();
  check->add_option("--node", nodeFile, "The node's configuration (JSON) to check class names against");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kGood : kUsage;
  }
  return serveCommand->parsed() ? serveWith(settingsFile) : checkConfig(checkedFile, nodeFile);
}

}  // namespace

int main(int argc, char** argv) {
  // Signals are held first of all: whoever starts a gateway may send it one at any time.
  if (argc == 1 || argv[1] == kServe) program::holdSignals();
  try {
    return argc == 1 ? serveWith({}) : commandLine(argc, argv);
  } catch (const std::exception& error) {
    program::logLine(error.what());
    return kFailed;
  }
}
