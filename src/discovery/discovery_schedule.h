// When a gateway calls the list service and for how long it watches. Decisions only, under any one clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "discovery/call_spreading.h"
#include "discovery/discovery_backoff.h"
#include "discovery/service_call_cost.h"

namespace heathflow::discovery {

struct DiscoveryScheduleSettings {
  std::string gatewayName;         // no other gateway has it
  unsigned gatewayCount = 1;       // how many gateways share the service
  bool dedicatedService = false;   // no other gateway calls the service
  Micros maxPollInterval = 0;      // the longest time between two polls
  std::optional<Micros> callCost;  // what one call costs the service, as an earlier process learned it
  Micros startDelay = 0;           // there is no call before so much time has passed
  std::uint64_t seed = 0;
};

class DiscoverySchedule {
 public:
  DiscoverySchedule(const DiscoveryScheduleSettings& settings, Micros now);

  bool dedicatedService() const { return settings_.dedicatedService; }
  Micros firstCallAt() const { return firstCallAt_; }
  // When to call after a call brought no list.
  // @param retryAfter the wait that the service requested.
  Micros nextCallAfterFailure(Micros now, CallFailure failure, std::optional<Micros> retryAfter = {});
  // When to call the service at its new address, of which all gateways learn at once.
  Micros nextCallAfterMove(Micros now);

  // A call that did not have to wait brought a list after so long.
  void callSucceeded(Micros elapsed);
  // A watch brought a list, which says nothing about the cost of a call.
  void watchSucceeded();

  // How long the next watch waits for an event.
  Micros watchDuration() const;
  // What one call costs the service, for the snapshot.
  std::optional<Micros> callCost() const { return cost_.toCache(); }

 private:
  Micros spreadDelay() const;

  DiscoveryScheduleSettings settings_;
  GatewayFleet fleet_;
  ServiceCallCost cost_;
  DiscoveryBackoff backoff_;
  Micros firstCallAt_;
};

}  // namespace heathflow::discovery
