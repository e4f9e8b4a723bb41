// How long a gateway that crashes soon after each start waits before it calls other systems. Decisions only.
#pragma once

#include <cstdint>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// A process that ends before it has run for so long has crashed early.
inline constexpr Micros kEarlyCrashTime = 10'000'000;

// The wait before the first call, after so many early crashes in a row. There is none after a single crash.
Micros crashLoopDelay(unsigned earlyCrashes, Micros maxPollInterval);

}  // namespace heathflow::discovery
