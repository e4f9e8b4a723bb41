// Log positions come from outside as Unix times by the clocks of the endpoints' machines, which may differ
// from this machine's clock. Here they are converted to this process's time. Decisions only, under any one
// clock.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>

namespace heathflow::wallclock {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// PROTOCOL, Discovery: all machines read one clock. A position far in the future would
// make a replica look current, or an endpoint the primary, for ever.
inline constexpr Micros kMaxClockLead = 1'000'000;

// Estimates how far the endpoints' clocks lead this machine's clock: a position is never from the future of
// the machine that wrote it, so that one ahead of this clock shows a lead. Otherwise reads would look
// fresher than they are, at a gateway whose clock is behind. A clock of this machine that leads makes
// positions look old, which keeps reads from replicas and breaks nothing.
class EndpointTime {
 public:
  // Takes in an endpoint's position and converts it; nothing where it can't be right.
  // @param byPrimary the position is close to the endpoint's own time, while a replica's lags.
  std::optional<Micros> observe(Micros position, Micros now, bool byPrimary);
  // Converts a position of a client's session token, which may be ahead of now by a day at most.
  Micros fromSessionToken(Micros position, Micros now) const;
  // A time of this process as the endpoints would have written it at the latest.
  Micros toEndpoints(Micros time) const { return time + lead(); }
  // The lead, from 0 to kMaxClockLead. It is the maximum until a primary has reported a position.
  Micros lead() const;

 private:
  static constexpr Micros kNever = std::numeric_limits<Micros>::min();

  bool primaryObserved_ = false;
  Micros highest_ = 0;          // lead of a position in the current window
  Micros previousHighest_ = 0;  // and in the one before
  Micros windowStart_ = kNever;
};

}  // namespace heathflow::wallclock
