#include "fleet/simulation.h"

namespace heathflow::fleet {

Result Simulation::run() {
  for (GroupId group = 0; group < plan_.groups; ++group) {
    primarySince_.push_back(0);
    for (unsigned i = 0; i < plan_.endpoints; ++i) {
      EndpointModel endpoint;
      endpoint.id = endpoints_.size() + 1;
      endpoint.group = group;
      endpoint.isPrimary = i == group % plan_.endpoints;
      endpoints_.push_back(endpoint);
    }
  }
  result_.endpointAttempts.resize(endpoints_.size());
  result_.gatewayHealthChecks.resize(plan_.gateways);
  result_.gatewayRequests.resize(plan_.gateways);
  gateways_.resize(plan_.gateways);
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    // Rates rise linearly from the least loaded gateway to the most loaded one; their mean is the planned
    // rate.
    const double rank =
        gateways_.size() < 2 ? 0.5 : static_cast<double>(i) / static_cast<double>(gateways_.size() - 1);
    const double lowestRate = 2 / (1 + plan_.trafficRatio);
    gateways_[i].rate = plan_.requestsPerSecond * lowestRate * (1 + rank * (plan_.trafficRatio - 1));
    restart(i);
    scheduleArrival(i);
  }
  for (const FaultEvent& fault : plan_.faults) {
    schedule(kStart + fault.at, [this, fault] { beginFault(fault); });
  }
  const Micros end = kStart + plan_.length;
  while (!events_.empty() && events_.top().at <= end + 10 * kSecond) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    arrivalsEnabled_ = now_ < end;
    event.run();
  }
  if (failoversNoticed_ > 0)
    result_.failoverDelay = failoverDelaySum_ / static_cast<Micros>(failoversNoticed_);
  result_.failoversNoticed = failoversNoticed_;
  return result_;
}

Window& Simulation::windowOf(Micros arrived) {
  const auto index = static_cast<std::size_t>((arrived - kStart) / kWindowLength);
  if (result_.windows.size() <= index) result_.windows.resize(index + 1);
  return result_.windows[index];
}

double overloadThreshold(double allowed) { return allowed + 2 * std::sqrt(allowed) + 2; }

PolicySettings settingsOf(const Plan& plan) {
  PolicySettings out;
  for (std::uint32_t i = 0; i < kClasses; ++i) {
    RequestClassSettings entry;
    entry.consistency = kConsistencies[i];
    entry.maxStaleness = i == kBoundedRead ? 3 * kSecond : 0;
    entry.latencyObjective = kObjectives[i];
    entry.requestTimeout = kRequestTimeouts[i];
    entry.priorityWeight = 2;
    entry.lateValueShare = i == kWrite ? 0.3 : 0;
    entry.idempotency = i == kWrite ? Idempotency::WithKey : Idempotency::Idempotent;
    entry.keyScope = i == kWrite ? KeyScope::Group : KeyScope::Global;
    entry.keyWindow = 5 * kSecond;
    out.classes.push_back(entry);
  }
  out.gatewayCount = plan.gateways;
  out.timerResolution = 5 * kMilli;
  out.sessionTokens = SessionTokenSource::Gateway;
  out.discoveryIsPolled = false;
  out.maxPollInterval = 10 * kSecond;
  out.healthChecksAllowed = true;
  out.cancellationAllowed = true;
  out.retryAfterAllowed = true;
  out.maxRetryAfter = 500 * kMilli;
  out.maxAttempts = 10;
  out.connectTimeout = 250 * kMilli;
  out.responseSlack = 20 * kMilli;
  out.slowStartInitialShare = 0.15;
  out.slowStartDuration = 16 * kSecond;
  out.overloadWindow = 2 * kSecond;
  out.overloadMultiple = 2.5;
  return out;
}

Result simulate(const Plan& plan) { return Simulation(plan).run(); }

}  // namespace heathflow::fleet
