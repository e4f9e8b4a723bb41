// An emulated endpoint, without I/O: what connections and requests cost it, how it warms up, what it has of
// the log, and who leads. Times are of any one clock.
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "emulator/burst_counter.h"
#include "transport/clock.h"

namespace heathflow::emulator {

using transport::Micros;

struct EndpointCosts {
  Micros accept = 500;                    // of every connection, one after the other
  Micros service = 4'000;                 // of a request, in the mean, once it is warm
  unsigned slots = 4;                     // requests that it serves at once
  unsigned queue = 64;                    // and lets wait
  unsigned connections = 1024;            // that it gives
  double slowStartInitialShare = 0.2;     // of its speed right after a start
  Micros slowStartDuration = 10'000'000;  // until it has all of it
  Micros lag = 100'000;                   // of a replica behind its primary
};

class EndpointModel {
 public:
  EndpointModel(const EndpointCosts& costs, bool primary, std::uint64_t seed)
      : costs_(costs), primary_(primary), random_(seed), free_(costs.slots) {}

  // It starts (anew), cold; nothing of an earlier life is left.
  void start(Micros now);
  void die(Micros now);
  bool alive() const { return alive_; }
  // The share of its speed that it has. One that never started here is warm.
  double warmth(Micros now) const;
  // Requests a second that it can do at its age.
  double capacity(Micros now) const;

  struct Welcome {
    bool taken = false;  // else it is turned away
    Micros at = 0;       // when it is answered
  };
  Welcome connect(Micros now);
  void disconnected();
  unsigned connections() const { return connections_; }
  std::uint64_t connectionsTaken() const { return taken_; }
  std::uint64_t connectionsTurnedAway() const { return turnedAway_; }
  // When they came in, those that were turned away too.
  const BurstCounter& connects() const { return connects_; }

  struct Verdict {
    enum class Kind { Served, Full, NotPrimary } kind = Kind::Served;
    Micros at = 0;        // when it is answered
    Micros position = 0;  // up to when it holds the log now
  };
  Verdict ask(Micros now, bool write);
  // Whether one more request would be served at once.
  bool hasCapacity(Micros now) const;

  bool primary() const { return primary_; }
  void lead();
  // A replica's log stands still from a time on (its primary is gone), or goes on.
  void stall(Micros now);
  void goOn();
  Micros position(Micros now) const;

 private:
  EndpointCosts costs_;
  bool primary_;
  std::mt19937_64 random_;
  std::vector<Micros> free_;    // when each slot is
  std::deque<Micros> waiting_;  // when those that wait will begin
  BurstCounter connects_{50'000};
  Micros startedAt_ = 0;
  Micros stalledAt_ = 0;
  Micros acceptsAt_ = 0;
  unsigned connections_ = 0;
  std::uint64_t taken_ = 0;
  std::uint64_t turnedAway_ = 0;
  bool alive_ = true;
};

}  // namespace heathflow::emulator
