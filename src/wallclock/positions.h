// Positions of the log that come from outside: Unix times of the machines that wrote them. Decisions only.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace heathflow::wallclock {

using Micros = std::int64_t;

// PROTOCOL, Discovery: all machines read one clock. A position further ahead of it than this can't be meant.
// Guards against one that would make a replica look current, or a member the primary, for ever.
inline constexpr Micros kAheadAtMost = 1'000'000;
// A session's position ahead of the clock counts as one that is written now, or a millisecond later.
inline constexpr Micros kTokenAheadAtMost = 1'000;

// A member's position, where it can be meant at that time.
inline std::optional<Micros> believable(Micros position, Micros now) {
  if (position > now + kAheadAtMost) return std::nullopt;
  return position;
}

// How old the position is that a session has written, no less than 0.
inline Micros ageOfToken(Micros position, Micros now) {
  return std::max<Micros>(0, now - std::min(position, now + kTokenAheadAtMost));
}

}  // namespace heathflow::wallclock
