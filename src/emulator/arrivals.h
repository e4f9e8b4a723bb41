// The arrivals of requests at one gateway: an open loop, whose next request does not wait for the last
// answer. Decisions only; equal seeds give equal loads.
#pragma once

#include <cstdint>
#include <random>

#include "common/uniform.h"
#include "transport/clock.h"

namespace heathflow::emulator {

using transport::Micros;

enum class RequestKind { View, Any, Status, Save };  // a read with a bound, any read, a fresh read, a write
const char* nameOf(RequestKind kind);

struct Mix {
  double view = 0.5;
  double any = 0.3;
  double status = 0.15;
  double save = 0.05;
};

class Arrivals {
 public:
  // @param perSecond  in the mean, from 'from' on; 0: none.
  Arrivals(double perSecond, const Mix& mix, unsigned groups, std::uint64_t seed, Micros from);

  // When the next request is due. None is skipped, however late take() is called.
  Micros next() const { return next_; }
  struct Arrival {
    Micros at = 0;  // the intended time, from which latency counts
    RequestKind kind = RequestKind::View;
    unsigned group = 0;
  };
  Arrival take();

 private:
  double random() { return uniformUnit(random_()); }
  void draw();

  double perSecond_;
  Mix mix_;
  unsigned groups_;
  std::mt19937_64 random_;
  Micros next_ = 0;
};

}  // namespace heathflow::emulator
