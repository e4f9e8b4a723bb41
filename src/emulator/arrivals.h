// Arrival times of requests at one gateway, as an open loop: the next request does not wait for the answer to
// the last one. No I/O; equal seeds give equal loads.
#pragma once

#include <cstdint>
#include <random>

#include "common/uniform.h"
#include "transport/clock.h"

namespace heathflow::emulator {

using transport::Micros;

// A read with bounded staleness, a read without a bound, a fresh read, and a write.
enum class RequestKind { View, Any, Status, Save };
const char* nameOf(RequestKind kind);

// The share of each kind of request, relative to the sum of all four.
struct Mix {
  double view = 0.5;
  double any = 0.3;
  double status = 0.15;
  double save = 0.05;
};

class Arrivals {
 public:
  // @param perSecond  the mean rate from 'from' on; 0: no arrivals.
  Arrivals(double perSecond, const Mix& mix, unsigned groups, std::uint64_t seed, Micros from);

  // Returns when the next request is due. No request is skipped, however late take() is called.
  Micros next() const { return next_; }
  struct Arrival {
    Micros at = 0;  // the intended time; latency is measured from it
    RequestKind kind = RequestKind::View;
    unsigned group = 0;
  };
  // Returns the due request and draws the time of the next one.
  Arrival take();

 private:
  double random() { return uniformUnit(random_()); }
  void drawNext();

  double perSecond_;
  Mix mix_;
  unsigned groups_;
  std::mt19937_64 random_;
  Micros next_ = 0;
};

}  // namespace heathflow::emulator
