// The only source of time: microseconds since the Unix epoch that advance at the rate of real time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace heathflow::transport {

using Micros = std::int64_t;

inline constexpr Micros kMicrosPerMilli = 1000;

// Follows the steady clock, or is advanced manually. The wall clock gives the first reading only: a machine's
// wall clock may be stepped at any time, and durations have to be real time.
class Clock {
 public:
  Clock() = default;
  // Returns a clock that only advances through advanceTo(), for runs that simulate time faster than it
  // passes.
  static Clock manual(Micros start) {
    Clock out;
    out.manual_ = true;
    out.offset_ = start;
    return out;
  }
  bool isManual() const { return manual_; }
  void advanceTo(Micros at) { offset_ = std::max(offset_, at); }

  Micros now() {
    if (manual_) return offset_;
    return reading(sinceEpoch<std::chrono::steady_clock>(), sinceEpoch<std::chrono::system_clock>());
  }

  // Returns the reading for a pair of steady and wall clock times.
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

  Micros offset_ = 0;  // first wall time minus steady time; of a manual clock: the reading
  bool started_ = false;
  bool manual_ = false;
};

}  // namespace heathflow::transport
