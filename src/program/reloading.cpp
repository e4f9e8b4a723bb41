#include "program/reloading.h"

#include <utility>

#include "program/config.h"
#include "program/log.h"

namespace heathflow::program {

Reloading::Reloading(transport::EventLoop& loop, Gateway& gateway, std::string otherwise)
    : loop_(loop), gateway_(gateway), otherwise_(std::move(otherwise)), again_(loop, [this] { attempt(); }) {}

void Reloading::begin() {
  retry_ = StartupBackoff(kReloadRetryTime);
  attempt();
}

void Reloading::attempt() {
  Config fresh;
  std::string problem;
  int error = 0;
  if (loadConfig(fresh, problem, otherwise_, error)) {
    again_.disarm();
    gateway_.reload(fresh);
    return logLine("the configuration was read again: discovery at " + toText(fresh.discovery));
  }
  const std::int64_t wait = error == 0 ? -1 : retry_.nextDelay(error);
  if (wait < 0) return logLine("the configuration stays as it was: " + problem);
  again_.arm(loop_.now() + wait);
}

}  // namespace heathflow::program
