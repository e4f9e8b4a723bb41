// Units and helpers that the parts of the emulator share.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "transport/clock.h"

namespace heathflow::emulator {

inline constexpr transport::Micros kMicrosPerMilli = 1000;
inline constexpr transport::Micros kMicrosPerSecond = 1'000'000;
// The time window in which bursts of calls and connections are counted.
inline constexpr transport::Micros kBurstWindow = 100 * kMicrosPerMilli;

inline double toMilliseconds(transport::Micros time) { return static_cast<double>(time) / kMicrosPerMilli; }

// Returns how many of 'all' things a share of them is, rounded up.
inline std::size_t countOfShare(double share, std::size_t all) {
  return std::min(all, static_cast<std::size_t>(std::ceil(share * static_cast<double>(all))));
}

}  // namespace heathflow::emulator
