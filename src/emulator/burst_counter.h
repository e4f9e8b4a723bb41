// How many of something came within a span at the most, of the newest that are kept.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "transport/clock.h"

namespace heathflow::emulator {

class BurstCounter {
 public:
  explicit BurstCounter(std::size_t kept) : kept_(kept) {}

  void add(transport::Micros at) {
    times_.push_back(at);
    if (times_.size() > kept_) times_.pop_front();
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
  std::size_t kept_;
  std::deque<transport::Micros> times_;
};

}  // namespace heathflow::emulator
