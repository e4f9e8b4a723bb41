// What membership among gateways costs at a size, under a virtual clock: the real detector, counted.
#pragma once

#include <functional>
#include <optional>

#include "fleet/talk.h"

namespace heathflow::emulator {

struct GossipCost {
  double messagesPerSecond = 0;  // of each gateway
  double wordsPerSecond = 0;     // in these, those of whole exchanges too
  double deathKnownSeconds = 0;  // until all others know of one
};

// Drivers that start together, settle for 'span', are counted over as long, and lose one. Nothing where
// 'goesOn', which is asked each virtual second, says no, or the death is not known to all within a bound.
std::optional<GossipCost> gossipAt(unsigned gateways, membership::Micros span,
                                   const std::function<bool()>& goesOn);

}  // namespace heathflow::emulator
