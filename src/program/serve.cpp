#include "program/serve.h"

#include <csignal>
#include <cstring>
#include <memory>
#include <optional>
#include <sstream>
#include <vector>

#include "files/files.h"
#include "installation/installation.h"
#include "program/config.h"
#include "program/config_reloader.h"
#include "program/counters.h"
#include "program/gateway.h"
#include "program/log.h"
#include "program/signals.h"
#include "program/snapshot_writer.h"
#include "program/startup_retry.h"

namespace heathflow::program {
namespace {

constexpr Micros kMicrosPerSecond = 1'000'000;

void logCounters(const stats::Observer& observer) {
  std::istringstream lines(describe(observer.counters) + describe(observer.upstreamStats));
  for (std::string line; std::getline(lines, line);) logLine(line);
}

void logProblems(const std::vector<installation::Problem>& problems) {
  for (const auto& problem : problems) logLine(toText(problem));
}

// Reads the installation's settings. Returns nothing, and logs why, if they can't be used.
std::optional<installation::Installation> readSettings(const std::string& file) {
  if (file.empty()) return installation::Installation{};
  files::Content text;
  const int error = retryStartupStep("reading the settings", [&] {
    text = files::read(file);
    return text.error;
  });
  if (error != 0) {
    logLine(file + ": the file can't be opened: " + std::strerror(error));
    return {};
  }
  std::vector<installation::Problem> problems;
  auto settings = installation::parse(file, *text.bytes, problems);
  if (settings) installation::readSecrets(*settings, file, problems);
  logProblems(problems);
  if (!problems.empty()) return {};
  return settings ? *settings : installation::Installation{};
}

// Reads the node's configuration. Returns nothing, and logs why, if it can't be used.
std::optional<Config> readConfig(const installation::Installation& installation,
                                 const std::string& settingsFile) {
  std::optional<Config> config;
  std::string problem;
  (void)retryStartupStep("reading the configuration", [&] {
    try {
      config = loadConfig(installation.nodeFile);
      return 0;
    } catch (const ConfigError& error) {
      problem = error.what();
      return error.systemError();
    }
  });
  if (!config) {
    logLine(problem);
    return {};
  }
  std::vector<installation::Problem> problems;
  installation::checkClasses(installation, settingsFile, config->settings.classNames, problems);
  logProblems(problems);
  if (!problems.empty()) return {};
  return config;
}

// Creates an object, and retries while descriptors or memory are short. Logs the failure if it can't be
// created.
// @return the object; null if it can't be created.
template <typename Make>
auto createAtStartup(const std::string& step, const std::string& failure, Make make) -> decltype(make()) {
  decltype(make()) created;
  const int error = retryStartupStep(step, [&] {
    created = make();
    return 0;
  });
  if (error != 0) logLine(failure + ": " + std::strerror(error));
  return created;
}

void logListeners(const Gateway& gateway, const Config& config,
                  const installation::Installation& installation) {
  logLine(config.name + " serves at " + toText(gateway.boundTo().value_or(config.listen)));
  for (std::size_t i = 0; i < installation.listeners.size(); ++i) {
    const installation::Listener& listener = installation.listeners[i];
    logLine("the listener '" + listener.name + "' speaks " + listener.protocol + " at " +
            toText(gateway.boundTo(i + 1).value_or(listener.address)));
  }
}

// Opens all listeners. Returns false, and logs why, if one can't be opened.
bool openListeners(Gateway& gateway) {
  std::optional<ListenError> error;
  const int failed = retryStartupStep("opening the listeners", [&] {
    error = gateway.listen();
    return error ? error->systemError : 0;
  });
  if (failed != 0) logLine(error ? error->text : std::strerror(failed));
  return failed == 0;
}

ExitCode runGateway(transport::EventLoop& loop, const Config& config,
                    const installation::Installation& installation) {
  Log log;
  log.setLinesPerSecond(installation.log.linesPerSecond);
  log.tracing = installation.log.level == installation::LogLevel::Trace;
  const auto earlier = loadSnapshot(installation.snapshot, config.name);
  Gateway gateway(loop, config, log, installation, earlier);
  SnapshotWriter snapshotWriter(loop, installation.snapshot, earlier, gateway);
  ConfigReloader reloader(loop, gateway, installation.nodeFile);
  const auto onSignal = [&](int signal) {
    if (signal == SIGUSR1) return logCounters(log);
    if (signal == SIGHUP) return reloader.reload();
    logLine("shutting down: closing client connections between requests");
    gateway.beginShutdown([&] { loop.stop(); });
  };
  const auto signals = createAtStartup("setting up signal handling", "signal handling can't be set up",
                                       [&] { return std::make_unique<Signals>(loop, onSignal); });
  if (signals == nullptr) return kFailure;
  const Micros countersInterval = installation.log.countersIntervalSeconds * kMicrosPerSecond;
  transport::Timer countersTimer(loop, [&] {
    logCounters(log);
    countersTimer.arm(loop.now() + countersInterval);
  });
  if (countersInterval > 0) countersTimer.arm(loop.now() + countersInterval);
  if (!openListeners(gateway)) return kFailure;
  gateway.start();
  snapshotWriter.start();
  logListeners(gateway, config, installation);
  loop.run();
  snapshotWriter.stop();
  logCounters(log);
  return kSuccess;
}

}  // namespace

ExitCode serve(const std::string& settingsFile) {
  const auto installation = readSettings(settingsFile);
  if (!installation) return kInvalidInput;
  const auto config = readConfig(*installation, settingsFile);
  if (!config) return kInvalidInput;
  configureLog(installation->log);
  for (const std::string& note : config->settings.notes) logLine(note);
  const auto loop = createAtStartup("creating the event loop", "the event loop can't be created",
                                    [] { return std::make_unique<transport::EventLoop>(); });
  if (loop == nullptr) return kFailure;
  return runGateway(*loop, *config, *installation);
}

}  // namespace heathflow::program
