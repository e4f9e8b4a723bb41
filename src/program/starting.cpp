#include "program/starting.h"

#include <cstring>
#include <ctime>
#include <system_error>

#include "discovery/start_retry.h"
#include "program/log.h"

namespace heathflow::program {
namespace {

constexpr discovery::Micros kMicrosPerSecond = 1'000'000;
constexpr long kNanosPerMicro = 1000;

void rest(discovery::Micros span) {
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
  discovery::StartRetry retry;
  bool told = false;
  for (;;) {
    const int error = errorOf(attempt);
    if (error == 0) return 0;
    const discovery::Micros wait = retry.next(error);
    if (wait < 0) return error;
    if (!told) logLine(what + " is tried again: " + std::strerror(error));
    told = true;
    rest(wait);
  }
}

}  // namespace heathflow::program
