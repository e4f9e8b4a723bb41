#include "program/startup_retry.h"

#include <cstring>
#include <ctime>
#include <system_error>

#include "discovery/start_retry.h"
#include "program/log.h"

namespace heathflow::program {
namespace {

constexpr discovery::Micros kMicrosPerSecond = 1'000'000;
constexpr long kNanosPerMicro = 1000;

void sleepFor(discovery::Micros span) {
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

int retryAtStartup(const std::string& name, const std::function<int()>& step) {
  discovery::StartRetry retry;
  bool logged = false;
  for (;;) {
    const int error = runStep(step);
    if (error == 0) return 0;
    const discovery::Micros wait = retry.next(error);
    if (wait < 0) return error;
    if (!logged) logLine(name + " is tried again: " + std::strerror(error));
    logged = true;
    sleepFor(wait);
  }
}

}  // namespace heathflow::program
