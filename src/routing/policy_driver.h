// Passes events to the routing policy, one at a time, and has the router perform the resulting actions. An
// event that is posted while an action is being performed is queued until all earlier actions have been
// performed. Before an event the policy is notified if the lead of the endpoints' clocks has changed.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "policy/routing_policy.h"
#include "transport/event_loop.h"
#include "wallclock/endpoint_time.h"

namespace heathflow::routing {

class Router;

class PolicyDriver {
 public:
  PolicyDriver(transport::EventLoop& loop, Router& router, const PolicySettings& settings, std::uint64_t seed,
               const wallclock::EndpointTime& endpointTime);

  void post(Event event);
  // Performs the pending actions and handles queued events until there are none. Returns at once if it is
  // already running.
  void run();

 private:
  void handle(const Event& event);

  transport::EventLoop& loop_;
  Router& router_;
  const wallclock::EndpointTime& endpointTime_;
  Micros knownLead_ = 0;  // the lead of the endpoints' clocks that the policy knows
  std::deque<Event> events_;
  std::vector<Action> actions_;
  bool running_ = false;
  RoutingPolicy policy_;
};

}  // namespace heathflow::routing
