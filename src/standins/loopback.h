// Runs a loop until something has come about, for a bounded time.
#pragma once

#include <chrono>
#include <utility>

#include "transport/event_loop.h"

namespace heathflow::test {

// The longest that a test waits for an event. Nothing is concluded from how long it took.
constexpr std::chrono::seconds kLongestWait{30};

template <typename Condition>
bool until(transport::EventLoop& loop, Condition&& condition) {
  const auto end = std::chrono::steady_clock::now() + kLongestWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    loop.turn(20'000);
  }
  return true;
}

}  // namespace heathflow::test
