// How long one watch of the endpoint list waits for an event. Decisions only.
#pragma once

#include "discovery/call_spreading.h"

namespace heathflow::discovery {

// Long enough for the service to bear that all gateways renew their watches so often, and short enough for
// the poll interval.
Micros watchDuration(const GatewayFleet& fleet, double callCost);

}  // namespace heathflow::discovery
