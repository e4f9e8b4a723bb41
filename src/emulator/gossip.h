// The cost of membership among a number of gateways: the real failure detector under a virtual clock.
#pragma once

#include <functional>
#include <optional>

#include "fleet/gossip_simulation.h"

namespace heathflow::emulator {

struct GossipCost {
  double messagesPerSecond = 0;    // of each gateway
  double wordsPerSecond = 0;       // in these messages, those of complete exchanges included
  double failureKnownSeconds = 0;  // from the failure of a gateway until all others know of it
};

// Gateways start together, settle for 'span', are measured for as long, and one of them fails.
// @param continues  called each virtual second; false ends the measurement.
// @return           nothing where it was ended, or not all gateways know of the failure in time.
std::optional<GossipCost> gossipAt(unsigned gateways, membership::Micros span,
                                   const std::function<bool()>& continues);

}  // namespace heathflow::emulator
