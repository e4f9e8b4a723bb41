#include "routing/policy_driver.h"

#include <utility>

#include "routing/router.h"
#include "routing/scoped_flag.h"

namespace heathflow::routing {

PolicyDriver::PolicyDriver(transport::EventLoop& loop, Router& router, const PolicySettings& settings,
                           std::uint64_t seed, const wallclock::EndpointTime& endpointTime)
    : loop_(loop),
      router_(router),
      endpointTime_(endpointTime),
      policy_(settings, seed, loop.now(), actions_) {}

void PolicyDriver::post(Event event) {
  events_.push_back(std::move(event));
  run();
}

void PolicyDriver::run() {
  if (running_) return;
  const ScopedFlag running(running_);
  std::vector<Action> batch;
  for (;;) {
    batch.swap(actions_);
    for (const Action& action : batch) router_.perform(action);
    batch.clear();
    if (events_.empty()) break;
    const Event event = std::move(events_.front());
    events_.pop_front();
    handle(event);
  }
}

void PolicyDriver::handle(const Event& event) {
  if (const Micros lead = endpointTime_.lead(); lead != knownLead_) {
    knownLead_ = lead;
    policy_.handle(loop_.now(), ClockLeadChanged{lead}, actions_);
  }
  policy_.handle(loop_.now(), event, actions_);
}

}  // namespace heathflow::routing
