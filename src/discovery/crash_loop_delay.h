// Decides how long a gateway that crashes soon after each start waits before it calls other systems. Pure
// logic without I/O.
#pragma once

#include <cstdint>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// A process that ends within this time of its start has crashed early.
inline constexpr Micros kEarlyCrashTime = 10'000'000;

// Returns the delay of the first call after this many early crashes in a row; 0 after a single one.
Micros crashLoopDelay(unsigned earlyCrashes, Micros maxPollInterval);

}  // namespace heathflow::discovery
