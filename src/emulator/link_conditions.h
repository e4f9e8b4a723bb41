// What a path between two processes does to what crosses it, by a schedule and a seed. Decisions only: the
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

enum class Way { Forth, Back };  // from who opened the path, and to it

// What holds from a time on, until the next one of the schedule.
struct Fault {
  Micros from = 0;        // since the path's start
  Micros delay = 0;       // of everything, each way
  Micros jitter = 0;      // up to so much more, at random: datagrams overtake one another by it
  double loss = 0;        // share of datagrams
  double twice = 0;       // share of datagrams that come a second time
  bool cutForth = false;  // nothing gets through that way, and nobody is told
  bool cutBack = false;
  bool rejects = false;  // new connections are reset at once
  bool resets = false;   // those that stand are reset once, when this begins
};

// One path's conditions. Equal seeds, schedules and questions give equal answers.
class LinkConditions {
 public:
  // The schedule is sorted by its times; before its first nothing is wrong.
  LinkConditions(std::vector<Fault> schedule, std::uint64_t seed);

  const Fault& at(Micros now) const;
  // When the next fault of the schedule begins; nothing after the last.
  std::optional<Micros> nextChangeAfter(Micros now) const;

  // When the copies of a datagram that is sent now arrive: none, one or two.
  std::vector<Micros> arrivals(Micros now, Way way);
  // When bytes of a stream that are sent now arrive, none before 'notBefore'; nothing while that way is cut.
  std::optional<Micros> streamArrival(Micros now, Way way, Micros notBefore);

 private:
  double random() { return uniformUnit(random_()); }
  Micros lateness(const Fault& fault);

  std::vector<Fault> schedule_;
  std::mt19937_64 random_;
};

}  // namespace heathflow::emulator
