// How gateways that start at once, or learn of a move at once, spread their calls of the list service over
// the time that it needs for all of them. Decisions only.
#pragma once

#include <cstdint>
#include <string>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// The gateways that share a list service.
struct GatewayFleet {
  unsigned gatewayCount = 1;
  Micros maxPollInterval = 0;  // the longest time between two polls; 0: not known, watches are the shortest

  // The time, in microseconds, that the service needs for one call of each gateway.
  double serviceTime(double callCost) const;
  // Within which a failed call has to be repeated with success: the notification timeout, or the poll
  // interval where that is shorter.
  Micros recoveryTime() const;
};

// A gateway's fixed position among all, from 0 to 1: the hash (xxHash) of its name.
double spreadPosition(const std::string& gatewayName);

// How long the gateway of that name waits so that the calls of all are spread evenly.
Micros spreadDelay(const std::string& gatewayName, const GatewayFleet& fleet, double callCost);

}  // namespace heathflow::discovery
