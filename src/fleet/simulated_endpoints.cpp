// Modelled endpoints and the connections to them.
#include "fleet/simulation.h"

namespace heathflow::fleet {

Micros Simulation::connect(GatewayModel& gateway, EndpointId id) {
  unsigned& idle = gateway.idle[id];
  if (idle > 0) {
    --idle;
    return 0;
  }
  ++gateway.connections[id];
  ++result_.connections;
  result_.connectionsPeak = std::max(result_.connectionsPeak, ++openConnections_);
  return kHandshake;
}

void Simulation::release(GatewayModel& gateway, EndpointId id, bool kept) {
  if (kept) {
    ++gateway.idle[id];
  } else if (gateway.connections[id] > 0) {
    --gateway.connections[id];
    --openConnections_;
  }
}

LogPosition Simulation::positionOf(const EndpointModel& model) const {
  if (model.isPrimary) return now_;
  return model.frozenPosition != 0 ? model.frozenPosition : now_ - kReplicaLag;
}

LogPosition Simulation::reportPosition(EndpointModel& model) {
  const LogPosition position = positionOf(model);
  model.reportedPosition = std::max(model.reportedPosition, position);
  return position;
}

double Simulation::capacityShareOf(const EndpointModel& model) const {
  if (model.startedAt == 0) return 1;
  const double share = std::min(
      1.0, static_cast<double>(now_ - model.startedAt) / static_cast<double>(settings_.slowStartDuration));
  return settings_.slowStartInitialShare + (1 - settings_.slowStartInitialShare) * share;
}

void Simulation::attempt(std::size_t index, const SendAttempt& action) {
  GatewayModel& gateway = gateways_[index];
  const auto found = gateway.pending.find(action.request);
  if (found == gateway.pending.end()) return;
  OpenRequest& pending = found->second;
  EndpointModel& model = endpoint(action.endpoint);
  ++result_.endpointAttempts[action.endpoint - 1];
  auto transit = std::make_shared<Transit>();
  *transit = {index, action.endpoint, action.request, pending.attempts++, gateway.incarnation, now_, false};
  pending.inTransit[transit->attempt] = transit;
  if (!model.up) {
    at(now_ + 2 * kNetworkDelay,
       [this, transit, id = action.endpoint] { endAttempt(transit, id, AttemptOutcome::ConnectFailed); });
    return;
  }
  const Micros wait = connect(gateway, action.endpoint);
  at(pending.arrived + kRequestTimeouts[pending.classIndex], [this, transit, id = action.endpoint] {
    if (abandon(transit, id)) endAttempt(transit, id, AttemptOutcome::TimedOut);
  });
  if (isDegraded(index, action.endpoint) && uniform() < kLostMessageShare) return;
  at(now_ + kNetworkDelay + extraDelay(index, action.endpoint) + wait,
     [this, transit, id = action.endpoint] { receive(transit, id); });
}

void Simulation::receive(const std::shared_ptr<Transit>& transit, EndpointId id) {
  if (transit->dropped) return;
  EndpointModel& model = endpoint(id);
  if (!model.up) return endWithoutResponse(transit, id, AttemptOutcome::ConnectionReset);
  if (capacityShareOf(model) < 1) {
    model.slowStartArrivals.push_back(now_);
    while (now_ - model.slowStartArrivals.front() > settings_.overloadWindow)
      model.slowStartArrivals.pop_front();
    const double capacity = plan_.cores * capacityShareOf(model) *
                            static_cast<double>(settings_.overloadWindow) /
                            static_cast<double>(plan_.serviceTime);
    const auto received = static_cast<double>(model.slowStartArrivals.size());
    result_.slowStartPeakLoad = std::max(result_.slowStartPeakLoad, received / capacity);
    result_.slowStartPeakOfThreshold =
        std::max(result_.slowStartPeakOfThreshold,
                 received / overloadThreshold(settings_.overloadMultiple * capacity));
  }
  GatewayModel& gateway = gateways_[transit->gateway];
  if (model.failing || gateway.failingEndpoints.contains(id))
    return endWithoutResponse(transit, id, AttemptOutcome::Error);
  const auto pending = gateway.pending.find(transit->request);
  const bool write =
      pending != gateway.pending.end() && kConsistencies[pending->second.classIndex] == Consistency::Write;
  if (write && !model.isPrimary) return endWithoutResponse(transit, id, AttemptOutcome::PreconditionFailed);
  if (model.queue.size() >= kMaxQueue) return endWithoutResponse(transit, id, AttemptOutcome::Overloaded);
  model.queue.push_back(transit);
  serve(id);
}

void Simulation::endWithoutResponse(const std::shared_ptr<Transit>& transit, EndpointId id,
                                    AttemptOutcome outcome) {
  transit->dropped = true;
  release(gateways_[transit->gateway], id, outcome != AttemptOutcome::ConnectionReset);
  at(now_ + kNetworkDelay, [this, transit, id, outcome] { endAttempt(transit, id, outcome); });
}

void Simulation::serve(EndpointId id) {
  EndpointModel& model = endpoint(id);
  while (model.up && now_ >= model.stalledUntil && model.running < plan_.cores && !model.queue.empty()) {
    const auto transit = model.queue.front();
    model.queue.pop_front();
    if (transit->dropped) continue;
    ++model.running;
    const LogPosition position = reportPosition(model);
    const Micros duration = exponential(static_cast<double>(plan_.serviceTime) / capacityShareOf(model));
    at(now_ + duration, [this, transit, id, position, incarnation = model.incarnation] {
      complete(transit, id, position, incarnation);
    });
  }
}

void Simulation::complete(const std::shared_ptr<Transit>& transit, EndpointId id, LogPosition position,
                          unsigned incarnation) {
  EndpointModel& host = endpoint(id);
  if (host.incarnation != incarnation) return;
  if (now_ < host.stalledUntil) {
    at(host.stalledUntil,
       [this, transit, id, position, incarnation] { complete(transit, id, position, incarnation); });
    return;
  }
  --host.running;
  const bool lost = (host.losesResponses && uniform() < kLostResponseShare) ||
                    (isDegraded(transit->gateway, id) && uniform() < kLostMessageShare);
  if (!transit->dropped && !lost) {
    transit->dropped = true;
    release(gateways_[transit->gateway], id, true);
    at(now_ + kNetworkDelay + extraDelay(transit->gateway, id),
       [this, transit, id, position] { endAttempt(transit, id, AttemptOutcome::Ok, position); });
  }
  serve(id);
}

bool Simulation::abandon(const std::shared_ptr<Transit>& transit, EndpointId id) {
  if (transit->dropped) return false;
  transit->dropped = true;
  if (gateways_[transit->gateway].incarnation == transit->incarnation)
    release(gateways_[transit->gateway], id, false);
  return true;
}

}  // namespace heathflow::fleet
