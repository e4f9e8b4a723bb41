// Decides how long one watch of the endpoint list waits for a change. Pure logic without I/O.
#pragma once

#include "discovery/call_spreading.h"

namespace heathflow::discovery {

// Returns a duration that is long enough for the service to handle the watch renewals of all gateways, and at
// most the poll interval.
Micros watchDuration(const GatewayPopulation& population, double callCost);

}  // namespace heathflow::discovery
