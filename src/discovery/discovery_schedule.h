// Decides when a gateway calls the list service and how long its watches last. Pure logic without I/O; all
// times are readings of one clock, which may be any.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "discovery/call_spreading.h"
#include "discovery/discovery_backoff.h"
#include "discovery/service_call_cost.h"

namespace heathflow::discovery {

struct DiscoveryScheduleSettings {
  std::string gatewayName;         // unique among the gateways
  unsigned gatewayCount = 1;       // how many gateways share the service
  bool dedicatedService = false;   // no other gateway calls the service
  Micros maxPollInterval = 0;      // the longest time between two polls
  std::optional<Micros> callCost;  // the cost of one call for the service, as observed by an earlier process
  Micros startDelay = 0;           // the minimum delay of the first call
  std::uint64_t seed = 0;
};

class DiscoverySchedule {
 public:
  DiscoverySchedule(const DiscoveryScheduleSettings& settings, Micros now);

  bool dedicatedService() const { return settings_.dedicatedService; }
  Micros firstCallAt() const { return firstCallAt_; }
  // Returns when to call again after a failed call.
  // @param retryAfter the delay that the service requested.
  Micros nextCallAfterFailure(Micros now, CallFailure failure, std::optional<Micros> retryAfter = {});
  // Returns when to call the service at its new address. All gateways learn of the address at the same time.
  Micros nextCallAfterMove(Micros now);

  // Records that a call without a wait returned a list.
  // @param elapsed the duration of the call.
  void callSucceeded(Micros elapsed);
  // Records that a watch returned a list. Its duration does not show what a call costs.
  void watchSucceeded();

  // Returns how long the service waits for a change during the next watch.
  Micros watchDuration() const;
  // Returns the cost of one call for the service, to be stored in the snapshot; std::nullopt if unknown.
  std::optional<Micros> callCost() const { return cost_.toCache(); }

 private:
  Micros spreadDelay() const;

  DiscoveryScheduleSettings settings_;
  GatewayPopulation population_;
  ServiceCallCost cost_;
  DiscoveryBackoff backoff_;
  Micros firstCallAt_;
};

}  // namespace heathflow::discovery
