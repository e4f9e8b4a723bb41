// Counts the largest number of events within any time span of a given length, among the newest events.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "transport/clock.h"

namespace heathflow::emulator {

class BurstCounter {
 public:
  // @param capacity  how many of the newest events are kept.
  explicit BurstCounter(std::size_t capacity) : capacity_(capacity) {}

  void add(transport::Micros at) {
    times_.push_back(at);
    if (times_.size() > capacity_) times_.pop_front();
  }
  std::size_t mostWithin(transport::Micros span) const {
    std::size_t most = 0;
    for (std::size_t i = 0, first = 0; i < times_.size(); ++i) {
      while (times_[i] - times_[first] >= span) ++first;
      most = std::max(most, i - first + 1);
    }
    return most;
  }

 private:
  std::size_t capacity_;
  std::deque<transport::Micros> times_;
};

}  // namespace heathflow::emulator
