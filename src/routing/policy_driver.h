// Passes events to the routing policy, one at a time, and has the router perform the resulting actions. An
// event that is posted while an action is being performed is queued until all earlier actions have been
// performed.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "policy/routing_policy.h"
#include "transport/event_loop.h"

namespace heathflow::routing {

class Router;

class PolicyDriver {
 public:
  PolicyDriver(transport::EventLoop& loop, Router& router, const PolicySettings& settings,
               std::uint64_t seed);

  void post(Event event);
  // Performs the pending actions and handles queued events until there are none. Returns at once if it is
  // already running.
  void run();

 private:
  transport::EventLoop& loop_;
  Router& router_;
  std::deque<Event> events_;
  std::vector<Action> actions_;
  bool running_ = false;
  RoutingPolicy policy_;
};

}  // namespace heathflow::routing
