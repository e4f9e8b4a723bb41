// Runs an event loop until a condition holds, for a bounded time.
#pragma once

#include <chrono>
#include <utility>

#include "transport/event_loop.h"

namespace heathflow::test {

// Only bounds a test that would hang; no test checks how long an event took by it.
constexpr std::chrono::seconds kWaitTimeout{30};

// Returns whether the condition held within kWaitTimeout.
template <typename Condition>
bool until(transport::EventLoop& loop, Condition&& condition) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    loop.turn(20'000);
  }
  return true;
}

}  // namespace heathflow::test
