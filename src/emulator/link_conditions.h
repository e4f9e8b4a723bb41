// The conditions of a link between two processes over time, by a schedule and a seed. Decisions only: the
// links in link.h carry them out.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "common/uniform.h"
#include "transport/clock.h"

namespace heathflow::emulator {

using transport::Micros;

enum class Direction { ToServer, ToClient };  // the client opened the connection

// Holds from a time on, until the next one of the schedule.
struct Fault {
  Micros from = 0;           // since the link's start
  Micros delay = 0;          // of everything, each direction
  Micros jitter = 0;         // up to so much more, at random: datagrams overtake one another by it
  double loss = 0;           // share of datagrams
  double duplicates = 0;     // share of datagrams that arrive twice
  bool cutToServer = false;  // nothing gets through, and connections stay open
  bool cutToClient = false;
  bool rejects = false;  // new connections are reset at once
  bool resets = false;   // open connections are reset once, when this begins
};

// Equal seeds, schedules and calls give equal results.
class LinkConditions {
 public:
  // The schedule is sorted by its times; before its first nothing is wrong.
  LinkConditions(std::vector<Fault> schedule, std::uint64_t seed);

  const Fault& at(Micros now) const;
  // When the next fault of the schedule begins; nothing after the last.
  std::optional<Micros> nextChangeAfter(Micros now) const;

  // When the copies of a datagram that is sent now arrive: none, one or two.
  std::vector<Micros> arrivals(Micros now, Direction direction);
  // When bytes of a stream that are sent now arrive, none before 'notBefore'; nothing while that direction is
  // cut.
  std::optional<Micros> streamArrival(Micros now, Direction direction, Micros notBefore);

 private:
  double random() { return uniformUnit(random_()); }
  Micros drawDelay(const Fault& fault);

  std::vector<Fault> schedule_;
  std::mt19937_64 random_;
};

}  // namespace heathflow::emulator
