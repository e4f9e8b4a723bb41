// When endpoints started, by this process's own clock. The endpoint list gives it as a reading of another
// wall clock, which may have been stepped or differ from this one; what this process has observed bounds it.
// Decisions only, under any one clock.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>

namespace heathflow::wallclock {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// A list may be so late without any clock being wrong (STANDING: a gateway counts as notified of a change
// within 6 s).
inline constexpr Micros kMaxListDelay = 6'000'000;

class LaunchTimes {
 public:
  // A list has arrived, whose endpoints follow.
  // @param confirmed the list service has just given it; a cached list says nothing about the present.
  void beginList(Micros now, bool confirmed);
  // When an endpoint that the list names started; 0: long ago.
  // @param listed the start that the list gives, in Unix microseconds; 0: long ago.
  Micros launchedAt(const std::string& endpoint, Micros listed);
  void forget(const std::string& endpoint) { records_.erase(endpoint); }
  std::size_t size() const { return records_.size(); }

 private:
  static constexpr Micros kNever = std::numeric_limits<Micros>::min();
  struct Record {
    Micros listed = 0;
    Micros startedAt = 0;
    Micros confirmedAt = kNever;  // when the list service last named the endpoint with this start
  };
  Micros bounded(Micros listed, Micros notRunningAt) const;

  std::unordered_map<std::string, Record> records_;
  Micros now_ = 0;
  bool confirmed_ = false;
  Micros previousConfirmedAt_ = kNever;  // of the list before this one
  Micros confirmedAt_ = kNever;
};

}  // namespace heathflow::wallclock
