// One gateway, as the platform starts it.
#include <csignal>
#include <cstdio>
#include <exception>
#include <sstream>

#include "program/config.h"
#include "program/counters.h"
#include "program/gateway.h"
#include "program/log.h"
#include "program/signals.h"

namespace {

using namespace heathflow;

void logCounters(const routing::Counters& counters) {
  std::istringstream lines(program::describe(counters));
  for (std::string line; std::getline(lines, line);) program::logLine(line);
}

// Reads the configuration again. Guards a running gateway against a file that can't be used: the old one
// stays.
void reload(program::Gateway& gateway) {
  program::Config fresh;
  std::string problem;
  if (!program::loadConfig(fresh, problem))
    return program::logLine("the configuration stays as it was: " + problem);
  gateway.reload(fresh);
  program::logLine("the configuration was read again: discovery at " + toText(fresh.discovery));
}

int serve() {
  program::Config config;
  std::string problem;
  if (!program::loadConfig(config, problem)) {
    program::logLine(problem);
    return 2;
  }
  transport::EventLoop loop;
  program::Log log;
  program::Gateway gateway(loop, config, log);
  program::Signals signals(loop, [&](int signal) {
    if (signal == SIGUSR1) return logCounters(log.counters);
    if (signal == SIGHUP) return reload(gateway);
    program::logLine("told to end: clients are let go");
    gateway.drain([&] { loop.stop(); });
  });
  if (!gateway.start(problem)) {
    program::logLine(problem);
    return 1;
  }
  program::logLine(config.name + " serves at " + toText(gateway.boundTo().value_or(config.listen)));
  loop.run();
  logCounters(log.counters);
  return 0;
}

}  // namespace

int main() {
  try {
    return serve();
  } catch (const std::exception& error) {
    program::logLine(error.what());
    return 1;
  }
}
