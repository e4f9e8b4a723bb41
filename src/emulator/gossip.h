// Measures the cost of membership among gateways, with the real failure detector under a virtual clock.
#pragma once

#include <functional>
#include <optional>

#include "fleet/gossip_simulation.h"

namespace heathflow::emulator {

struct GossipCost {
  double messagesPerSecond = 0;    // per gateway
  double wordsPerSecond = 0;       // in these messages, including those of complete exchanges
  double failureKnownSeconds = 0;  // time from the failure of a gateway until all others know of it
};

// Starts gateways together, lets them settle for 'span', measures them for as long, and then lets one fail.
// @param continues  called each virtual second; false ends the measurement.
// @return           nothing if the measurement was ended or not all gateways learned of the failure in time.
std::optional<GossipCost> gossipAt(unsigned gateways, membership::Micros span,
                                   const std::function<bool()>& continues);

}  // namespace heathflow::emulator
