// Spreads the calls of gateways that start together, or learn together that the list service has moved, over
// the time that the service needs for all of them. Pure logic without I/O.
#pragma once

#include <cstdint>
#include <string>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

// The gateways that share a list service.
struct GatewayPopulation {
  unsigned gatewayCount = 1;
  // The longest time between two polls; 0: unknown, and watches are as short as possible.
  Micros maxPollInterval = 0;

  // Returns the time, in microseconds, that the service needs to answer one call of each gateway.
  double serviceTime(double callCost) const;
  // Returns the time within which a repeated call has to succeed after a failed one: the notification
  // timeout, or the poll interval if that is shorter.
  Micros recoveryTime() const;
};

// Returns the fixed position of a gateway among all gateways, from 0 to 1: the hash (xxHash) of its name.
double spreadPosition(const std::string& gatewayName);

// Returns how long this gateway delays its call so that the calls of all gateways are spread evenly.
Micros spreadDelay(const std::string& gatewayName, const GatewayPopulation& population, double callCost);

}  // namespace heathflow::discovery
