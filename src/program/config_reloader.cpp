#include "program/config_reloader.h"

#include <utility>

#include "program/config.h"
#include "program/log.h"

namespace heathflow::program {

ConfigReloader::ConfigReloader(transport::EventLoop& loop, Gateway& gateway, std::string fallbackFile)
    : loop_(loop),
      gateway_(gateway),
      fallbackFile_(std::move(fallbackFile)),
      nextAttempt_(loop, [this] { attempt(); }) {}

void ConfigReloader::reload() {
  retry_ = StartupBackoff(kReloadRetryTime);
  attempt();
}

void ConfigReloader::attempt() {
  try {
    const Config updated = loadConfig(fallbackFile_);
    nextAttempt_.disarm();
    gateway_.reload(updated);
    logLine("configuration reloaded: discovery at " + toText(updated.discovery));
  } catch (const ConfigError& error) {
    const std::int64_t wait = error.systemError() == 0 ? -1 : retry_.nextDelay(error.systemError());
    if (wait < 0)
      return logLine(std::string("configuration reload rejected, keeping the previous one: ") + error.what());
    nextAttempt_.arm(loop_.now() + wait);
  }
}

}  // namespace heathflow::program
