// The conditions of a link between two processes over time, from a schedule and a seed. No I/O; the links in
// link.h apply them.
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

// A condition of a link from a time on until the next one in the schedule.
struct Fault {
  Micros from = 0;           // since the link's start
  Micros delay = 0;          // of all traffic, in each direction
  Micros jitter = 0;         // the most by which a random delay exceeds 'delay'; it reorders datagrams
  double loss = 0;           // share of datagrams
  double duplicates = 0;     // share of datagrams that arrive twice
  bool cutToServer = false;  // nothing gets through, and connections stay open
  bool cutToClient = false;
  bool rejects = false;  // new connections are reset at once
  bool resets = false;   // open connections are reset once, when the condition begins
};

// Equal seeds, schedules and calls give equal results.
class LinkConditions {
 public:
  // The schedule may be in any order. Before its first entry the link works normally.
  LinkConditions(std::vector<Fault> schedule, std::uint64_t seed);

  const Fault& at(Micros now) const;
  // Returns when the next entry of the schedule begins; nothing after the last one.
  std::optional<Micros> nextChangeAfter(Micros now) const;

  // Returns the arrival times of the copies of a datagram that is sent now: none, one or two.
  std::vector<Micros> arrivals(Micros now, Direction direction);
  // Returns the arrival time of stream bytes that are sent now, 'notBefore' or later; nothing while this
  // direction is cut.
  std::optional<Micros> streamArrival(Micros now, Direction direction, Micros notBefore);

 private:
  double random() { return uniformUnit(random_()); }
  Micros drawDelay(const Fault& fault);

  std::vector<Fault> schedule_;
  std::mt19937_64 random_;
};

}  // namespace heathflow::emulator
