// Determines when endpoints started, by this process's own clock. The endpoint list gives the start as a
// reading of another wall clock, which may have been adjusted or may differ from this one; so the listed
// start is limited by what this process has observed. Pure logic without I/O; all times except the listed
// starts are readings of one clock, in Unix microseconds.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>

namespace heathflow::wallclock {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// A list may be this late although all clocks are right: a gateway counts as notified of a change only 6 s
// after the list service recorded it.
inline constexpr Micros kMaxListDelay = 6'000'000;

class StartTimes {
 public:
  // Starts a new list; a call of startedAt() for each of its endpoints follows.
  // @param confirmed whether the list service has just sent it; a cached list says nothing about the present.
  void beginList(Micros now, bool confirmed);
  // Returns when an endpoint of the current list started; 0: long ago.
  // @param listed the start according to the list, in Unix microseconds; 0: long ago.
  Micros startedAt(const std::string& endpoint, Micros listed);
  void forget(const std::string& endpoint) { records_.erase(endpoint); }
  std::size_t size() const { return records_.size(); }

 private:
  static constexpr Micros kNever = std::numeric_limits<Micros>::min();
  struct Record {
    Micros listed = 0;
    Micros startedAt = 0;
    Micros confirmedAt = kNever;  // the last confirmed list that contained the endpoint with this start
  };
  Micros bounded(Micros listed, Micros notRunningAt) const;

  std::unordered_map<std::string, Record> records_;
  Micros now_ = 0;
  bool confirmed_ = false;
  Micros previousConfirmedAt_ = kNever;  // when the last confirmed list before the current one came
  Micros confirmedAt_ = kNever;
};

}  // namespace heathflow::wallclock
