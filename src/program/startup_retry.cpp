#include "program/startup_retry.h"

#include <cstring>
#include <ctime>
#include <system_error>

#include "common/startup_backoff.h"
#include "program/log.h"

namespace heathflow::program {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr long kNanosPerMicro = 1000;

void sleepFor(std::int64_t span) {
  const timespec time{span / kMicrosPerSecond, span % kMicrosPerSecond * kNanosPerMicro};
  ::nanosleep(&time, nullptr);
}

int runStep(const std::function<int()>& step) {
  try {
    return step();
  } catch (const std::system_error& error) {
    return error.code().value();
  }
}

}  // namespace

int retryStartupStep(const std::string& name, const std::function<int()>& step) {
  StartupBackoff retry;
  bool logged = false;
  for (;;) {
    const int error = runStep(step);
    if (error == 0) return 0;
    const std::int64_t wait = retry.nextDelay(error);
    if (wait < 0) return error;
    if (!logged) logLine(name + " failed at startup, retrying: " + std::strerror(error));
    logged = true;
    sleepFor(wait);
  }
}

}  // namespace heathflow::program
