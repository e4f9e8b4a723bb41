// Relates log positions to this process's time. Positions are Unix times by the clocks of the endpoints'
// machines, which may differ from this machine's clock. Positions are compared with each other as they are;
// only a comparison with a time of this process needs the lead. Pure logic without I/O; all times of this
// process are readings of one clock.
#pragma once

#include <cstdint>
#include <limits>

namespace heathflow::wallclock {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// The protocol assumes that the clocks of all machines are synchronized. Positions further in the future than
// this are rejected, because they would make a replica look current, or an endpoint look like the primary,
// for ever.
inline constexpr Micros kMaxClockLead = 1'000'000;

// Estimates how far the endpoints' clocks lead this machine's clock. A position is never in the future of the
// machine that wrote it, so a position ahead of this clock shows a lead. Without the correction, reads would
// look fresher than they are at a gateway whose clock is behind. If this machine's clock leads instead,
// positions only look too old, which keeps reads away from replicas but violates no guarantee.
class EndpointTime {
 public:
  // Updates the estimate with an endpoint's position.
  // @param byPrimary whether the primary reported it: its position is close to its current time, while a
  //        replica's lags.
  // @return false if the position is too far in the future to be valid.
  bool observe(Micros position, Micros now, bool byPrimary);
  // Returns the latest time that the endpoints' clocks may have shown at a time of this process.
  Micros toEndpoints(Micros time) const { return time + lead(); }
  // Returns the estimated lead. It is kMaxClockLead until a primary has reported a position.
  Micros lead() const;

 private:
  static constexpr Micros kNever = std::numeric_limits<Micros>::min();

  void startWindow(Micros now);

  bool primaryObserved_ = false;
  bool primaryInWindow_ = false;  // a primary has reported a position in the current window
  Micros highest_ = 0;            // the highest lead of a position in the current window
  Micros previousHighest_ = 0;    // and in the previous window, or the last in which a primary has reported
  Micros windowStart_ = kNever;
};

}  // namespace heathflow::wallclock
