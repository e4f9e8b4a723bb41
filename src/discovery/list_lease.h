// For how long a list of endpoints may be acted on without further word from the list service. Decisions
// only, under any one clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, microseconds

// STANDING: whatever else is allowed after a failed, rejected or given-up call, and after a silent watch, a
// change counts as told so long after the service had it and could be reached.
inline constexpr Micros kToldWithin = 6'000'000;
// STANDING: for a call that may wait it is so long after that wait is over, if that is later.
inline constexpr Micros kToldAfterWait = 2'000'000;

// STANDING: after the service has moved (SIGHUP) what the new place has counts so much later.
inline constexpr Micros kToldAfterMove = 4'000'000;

// A watch that the service turns away may have had news that waited in the service's line, for so long at the
// most.
inline constexpr Micros kInLineAtMost = kToldWithin / 2;

// The list service learns of an endpoint's return so much later at the most (BENCH, site files: 'add_s'). A
// endpoint that has stood for so long when a list is true is there by that list's word.
inline constexpr Micros kReturnRecorded = 2'000'000;

// A lease on the list: until it ends, each change counts as told no earlier than the list service tells it
// over a call that works. Past its end a change may have been missed and count as told.
class ListLease {
 public:
  // Of a process that starts with a list of an earlier life. 'pushed': what the service has counts at once;
  // else the old list counts until a first call has failed.
  ListLease(Micros now, bool pushed) : until_(pushed ? now : now + kToldWithin) {}

  // The service has answered: the list was true at that time. An answer may have been long on its way.
  void confirmed(Micros provenAt) {
    confirmedInThisLife_ = true;
    assured_ = until_ = provenAt + kToldWithin;
  }
  // A watch goes on from an answer, and waits for so long.
  void watching(Micros now, Micros wait) { until_ = std::max(until_, now + wait + kToldAfterWait); }
  // A watch has ended with a word from the service or with its connection: its wait is over. Until now it
  // would have told, but for what waited in the service's line.
  void watchEnded(Micros now) { until_ = std::max(assured_, now + kToldWithin - kInLineAtMost); }
  // A watch was silent beyond its wait and has been given up: what changed since the list was last true may
  // count by now.
  void watchGivenUp(Micros now) { until_ = std::max(assured_, now); }
  // A call has brought nothing.
  void callFailed(Micros now) {
    if (!confirmedInThisLife_) until_ = std::min(until_, now);
  }
  // The service is elsewhere from now on.
  void moved(Micros now) { until_ = std::min(until_, now + kToldAfterMove); }

  Micros until() const { return until_; }
  // An endpoint that has stood since then, without a break, was there by the word of the newest list of this
  // life and has not been removed since. Nothing: there was no list.
  std::optional<Micros> vouchesForThoseSince() const {
    if (!confirmedInThisLife_) return std::nullopt;
    return assured_ - kToldWithin - kReturnRecorded;
  }

 private:
  bool confirmedInThisLife_ = false;
  Micros assured_ = 0;  // by the last answer alone
  Micros until_;
};

}  // namespace heathflow::discovery
