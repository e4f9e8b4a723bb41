#include "discovery/crash_loop_delay.h"

#include <algorithm>

namespace heathflow::discovery {
namespace {

constexpr Micros kInitialDelay = 500'000;
constexpr unsigned kMaxDoublings = 6;
// The delay is at most this share of the poll interval.
constexpr double kPollIntervalShare = 0.5;

}  // namespace

Micros crashLoopDelay(unsigned earlyCrashes, Micros maxPollInterval) {
  if (earlyCrashes < 2) return 0;
  const Micros delay = kInitialDelay << std::min(earlyCrashes - 2, kMaxDoublings);
  return std::min(delay, static_cast<Micros>(kPollIntervalShare * static_cast<double>(maxPollInterval)));
}

}  // namespace heathflow::discovery
