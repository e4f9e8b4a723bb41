// When endpoints started, in this process's own time. Lists tell it as a reading of a wall clock, which may
// have been stepped, or differ from ours; what this process has seen itself bounds it. Decisions only, under
// any one clock.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>

namespace heathflow::wallclock {

using Micros = std::int64_t;

// Lists may be so late without a clock being wrong (STANDING: a change counts as told within 6 s).
inline constexpr Micros kLateAtMost = 6'000'000;

class LaunchTimes {
 public:
  // A list comes in. 'confirmed': by the list service, now; one of an earlier life is no word on the present.
  void beginList(Micros now, bool confirmed);
  // When an endpoint that the list names as present started; 0: long ago. 'told': Unix microseconds, 0: long
  // ago.
  Micros launchedAt(const std::string& endpoint, Micros told);
  // An endpoint is known no more.
  void forget(const std::string& endpoint) { records_.erase(endpoint); }
  std::size_t known() const { return records_.size(); }

 private:
  static constexpr Micros kNotYet = std::numeric_limits<Micros>::min();
  struct Record {
    Micros told = 0;
    Micros startedAt = 0;
    Micros seenAt = kNotYet;  // when the list service last named it so
  };
  Micros bounded(Micros told, Micros seenAt) const;

  std::unordered_map<std::string, Record> records_;
  Micros now_ = 0;
  bool confirmed_ = false;
  Micros confirmedBefore_ = kNotYet;  // when the list before this one was confirmed
  Micros confirmedAt_ = kNotYet;
};

}  // namespace heathflow::wallclock
