// Positions of the log that come from outside are Unix times of the endpoints' machines, whose clocks may
// differ from ours. Here they become times of this process. Decisions only, under any one clock.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>

namespace heathflow::wallclock {

using Micros = std::int64_t;

// PROTOCOL, Discovery: all machines read one clock. A position further ahead of it than this can't be meant.
// Guards against one that would make a replica look current, or an endpoint the primary, for ever.
inline constexpr Micros kAheadAtMost = 1'000'000;

// How far the endpoints' clocks are known to be ahead of ours: no position is from the future of the machine
// that wrote it, so that one that is ahead of our clock shows by how much ours is behind. Guards against
// reads that look younger than they are, at a gateway that started while its machine's clock was behind. A
// clock of ours that is ahead makes all positions look old, which costs replicas their reads and breaks
// nothing.
class EndpointTime {
 public:
  // An endpoint has told a position; what it shows, in our time. Nothing where it can't be meant.
  // 'byPrimary': its position is about its clock's now, while a replica lags.
  std::optional<Micros> heard(Micros position, Micros now, bool byPrimary);
  // A position that a client carries, in our time. It may be ahead of now; at the most by a day.
  Micros ofClient(Micros position, Micros now) const;
  // A time of ours as the endpoints would have written it, at the latest.
  Micros toEndpoints(Micros time) const { return time + ahead(); }
  // From 0 to kAheadAtMost, and that much until a primary has told its position. One position is enough, for
  // a primary is seldom asked; one that was spoilt makes replicas look that much older for a while, and no
  // more.
  Micros ahead() const;

 private:
  static constexpr Micros kNever = std::numeric_limits<Micros>::min();

  bool known_ = false;        // a primary has told
  Micros highest_ = 0;        // of this while
  Micros highestBefore_ = 0;  // and of the one before
  Micros since_ = kNever;
};

}  // namespace heathflow::wallclock
