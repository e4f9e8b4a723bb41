#include "program/starting.h"

#include <cstring>
#include <ctime>
#include <system_error>

#include "common/startup_backoff.h"
#include "program/log.h"

namespace heathflow::program {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr long kNanosPerMicro = 1000;

void rest(std::int64_t span) {
  const timespec time{span / kMicrosPerSecond, span % kMicrosPerSecond * kNanosPerMicro};
  ::nanosleep(&time, nullptr);
}

int errorOf(const std::function<int()>& attempt) {
  try {
    return attempt();
  } catch (const std::system_error& error) {
    return error.code().value();
  }
}

}  // namespace

int untilStarted(const std::string& what, const std::function<int()>& attempt) {
  StartupBackoff retry;
  bool told = false;
  for (;;) {
    const int error = errorOf(attempt);
    if (error == 0) return 0;
    const std::int64_t wait = retry.nextDelay(error);
    if (wait < 0) return error;
    if (!told) logLine(what + " is tried again: " + std::strerror(error));
    told = true;
    rest(wait);
  }
}

}  // namespace heathflow::program
