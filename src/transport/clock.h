// The one source of time: microseconds that pass as real time does, counted from a Unix time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace heathflow::transport {

using Micros = std::int64_t;

inline constexpr Micros kMicrosPerMilli = 1000;

// Runs with the steady clock, or where it is set by hand. The wall clock gives the first reading and no more:
// a machine's wall clock may be stepped at any time, and a span of ours is one of real time.
class Clock {
 public:
  Clock() = default;
  // One that stands still but where it is moved: for what plays time faster than it passes.
  static Clock byHand(Micros start) {
    Clock out;
    out.byHand_ = true;
    out.offset_ = start;
    return out;
  }
  bool isByHand() const { return byHand_; }
  void moveTo(Micros at) { offset_ = std::max(offset_, at); }

  Micros now() {
    if (byHand_) return offset_;
    return reading(sinceEpoch<std::chrono::steady_clock>(), sinceEpoch<std::chrono::system_clock>());
  }

  // The reading for a pair of steady and wall times.
  Micros reading(Micros steady, Micros wall) {
    if (!started_) offset_ = wall - steady;
    started_ = true;
    return steady + offset_;
  }

 private:
  template <typename Source>
  static Micros sinceEpoch() {
    return std::chrono::duration_cast<std::chrono::microseconds>(Source::now().time_since_epoch()).count();
  }

  Micros offset_ = 0;  // of the first wall time from the steady one; by hand: the reading
  bool started_ = false;
  bool byHand_ = false;
};

}  // namespace heathflow::transport
