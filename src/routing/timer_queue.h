// The policy's pending timers in the order in which they are due; timers due at the same time are in the
// order in which they were set.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "policy/routing_policy.h"

namespace heathflow::routing {

struct ScheduledTimer {
  Micros at;
  std::uint64_t sequence;
  std::uint64_t token;  // of TimerFired
  bool operator>(const ScheduledTimer& other) const {
    return at != other.at ? at > other.at : sequence > other.sequence;
  }
};

class TimerQueue {
 public:
  // @return whether the new timer is the earliest.
  bool schedule(Micros at, std::uint64_t token) {
    timers_.push({at, ++lastSequence_, token});
    return timers_.top().sequence == lastSequence_;
  }
  bool empty() const { return timers_.empty(); }
  Micros earliest() const { return timers_.top().at; }
  // Removes the earliest timer and returns its token.
  std::uint64_t pop() {
    const std::uint64_t token = timers_.top().token;
    timers_.pop();
    return token;
  }

 private:
  std::priority_queue<ScheduledTimer, std::vector<ScheduledTimer>, std::greater<>> timers_;
  std::uint64_t lastSequence_ = 0;
};

}  // namespace heathflow::routing
