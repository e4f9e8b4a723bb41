// The one source of time: Unix microseconds that never run backwards.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace heathflow::transport {

using Micros = std::int64_t;

inline constexpr Micros kMicrosPerMilli = 1000;

// Runs with the steady clock, or where it is set by hand. It follows the wall clock forwards, for a clock
// that stays behind would make old data look young; a wall clock that is set back is not followed, so that
// timers never stall.
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
    return follow(sinceEpoch<std::chrono::steady_clock>(), sinceEpoch<std::chrono::system_clock>());
  }

  // The reading for a pair of steady and wall times.
  Micros follow(Micros steady, Micros wall) {
    if (!started_ || wall - steady > offset_) offset_ = wall - steady;
    started_ = true;
    return steady + offset_;
  }

 private:
  template <typename Source>
  static Micros sinceEpoch() {
    return std::chrono::duration_cast<std::chrono::microseconds>(Source::now().time_since_epoch()).count();
  }

  Micros offset_ = 0;  // of the wall clock from the steady one; by hand: the reading
  bool started_ = false;
  bool byHand_ = false;
};

}  // namespace heathflow::transport
