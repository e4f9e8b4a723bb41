// Models of endpoints and of the connections to them.
#include "fleet/simulation.h"

namespace heathflow::fleet {

Micros Simulation::connect(GatewayModel& gateway, EndpointId id) {
  unsigned& idle = gateway.idleConnections[id];
  if (idle > 0) {
    --idle;
    return 0;
  }
  ++gateway.connections[id];
  ++result_.connections;
  result_.connectionsPeak = std::max(result_.connectionsPeak, ++openConnections_);
  return kHandshakeTime;
}

void Simulation::release(GatewayModel& gateway, EndpointId id, bool kept) {
  if (kept) {
    ++gateway.idleConnections[id];
  } else if (gateway.connections[id] > 0) {
    --gateway.connections[id];
    --openConnections_;
  }
}

Micros Simulation::positionOf(const EndpointModel& model) const {
  if (model.isPrimary) return now_;
  return model.frozenPosition != 0 ? model.frozenPosition : now_ - kReplicaLag;
}

Micros Simulation::reportPosition(EndpointModel& model) {
  const Micros position = positionOf(model);
  model.reportedPosition = std::max(model.reportedPosition, position);
  return position;
}

double Simulation::capacityShareOf(const EndpointModel& model) const {
  if (model.startedAt == 0) return 1;
  const double share = std::min(
      1.0, static_cast<double>(now_ - model.startedAt) / static_cast<double>(settings_.slowStartDuration));
  return settings_.slowStartInitialShare + (1 - settings_.slowStartInitialShare) * share;
}

void Simulation::startAttempt(std::size_t index, const SendAttempt& action) {
  GatewayModel& gateway = gateways_[index];
  const auto found = gateway.pending.find(action.request);
  if (found == gateway.pending.end()) return;
  OpenRequest& pending = found->second;
  EndpointModel& model = endpoint(action.endpoint);
  ++result_.endpointAttempts[action.endpoint - 1];
  auto inFlight = std::make_shared<AttemptInFlight>();
  *inFlight = {index, action.endpoint, action.request, pending.attempts++, gateway.incarnation, now_, false};
  pending.attemptsInFlight[inFlight->attempt] = inFlight;
  if (!model.up) {
    schedule(now_ + 2 * kNetworkDelay, [this, inFlight, id = action.endpoint] {
      endAttempt(inFlight, id, AttemptOutcome::ConnectFailed);
    });
    return;
  }
  const Micros wait = connect(gateway, action.endpoint);
  schedule(pending.arrived + kRequestTimeouts[pending.classIndex], [this, inFlight, id = action.endpoint] {
    if (abandon(inFlight, id)) endAttempt(inFlight, id, AttemptOutcome::TimedOut);
  });
  if (isDegraded(index, action.endpoint) && uniform() < kLostMessageShare) return;
  schedule(now_ + kNetworkDelay + extraDelay(index, action.endpoint) + wait,
           [this, inFlight, id = action.endpoint] { receive(inFlight, id); });
}

void Simulation::receive(const std::shared_ptr<AttemptInFlight>& inFlight, EndpointId id) {
  if (inFlight->ended) return;
  EndpointModel& model = endpoint(id);
  if (!model.up) return failAttempt(inFlight, id, AttemptOutcome::ConnectionReset);
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
  GatewayModel& gateway = gateways_[inFlight->gateway];
  if (model.failing || gateway.failingEndpoints.contains(id))
    return failAttempt(inFlight, id, AttemptOutcome::Error);
  const auto pending = gateway.pending.find(inFlight->request);
  const bool write =
      pending != gateway.pending.end() && kConsistencies[pending->second.classIndex] == Consistency::Write;
  if (write && !model.isPrimary) return failAttempt(inFlight, id, AttemptOutcome::PreconditionFailed);
  if (model.queue.size() >= kMaxQueueLength) return failAttempt(inFlight, id, AttemptOutcome::Overloaded);
  model.queue.push_back(inFlight);
  serveQueue(id);
}

void Simulation::failAttempt(const std::shared_ptr<AttemptInFlight>& inFlight, EndpointId id,
                             AttemptOutcome outcome) {
  inFlight->ended = true;
  release(gateways_[inFlight->gateway], id, outcome != AttemptOutcome::ConnectionReset);
  schedule(now_ + kNetworkDelay, [this, inFlight, id, outcome] { endAttempt(inFlight, id, outcome); });
}

void Simulation::serveQueue(EndpointId id) {
  EndpointModel& model = endpoint(id);
  while (model.up && now_ >= model.stalledUntil && model.running < plan_.cores && !model.queue.empty()) {
    const auto inFlight = model.queue.front();
    model.queue.pop_front();
    if (inFlight->ended) continue;
    ++model.running;
    const Micros position = reportPosition(model);
    const Micros duration = exponential(static_cast<double>(plan_.serviceTime) / capacityShareOf(model));
    schedule(now_ + duration, [this, inFlight, id, position, incarnation = model.incarnation] {
      complete(inFlight, id, position, incarnation);
    });
  }
}

void Simulation::complete(const std::shared_ptr<AttemptInFlight>& inFlight, EndpointId id, Micros position,
                          unsigned incarnation) {
  EndpointModel& model = endpoint(id);
  if (model.incarnation != incarnation) return;
  if (now_ < model.stalledUntil) {
    schedule(model.stalledUntil,
             [this, inFlight, id, position, incarnation] { complete(inFlight, id, position, incarnation); });
    return;
  }
  --model.running;
  const bool lost = (model.losesResponses && uniform() < kLostResponseShare) ||
                    (isDegraded(inFlight->gateway, id) && uniform() < kLostMessageShare);
  if (!inFlight->ended && !lost) {
    inFlight->ended = true;
    release(gateways_[inFlight->gateway], id, true);
    schedule(now_ + kNetworkDelay + extraDelay(inFlight->gateway, id),
             [this, inFlight, id, position] { endAttempt(inFlight, id, AttemptOutcome::Ok, position); });
  }
  serveQueue(id);
}

bool Simulation::abandon(const std::shared_ptr<AttemptInFlight>& inFlight, EndpointId id) {
  if (inFlight->ended) return false;
  inFlight->ended = true;
  if (gateways_[inFlight->gateway].incarnation == inFlight->incarnation)
    release(gateways_[inFlight->gateway], id, false);
  return true;
}

}  // namespace heathflow::fleet
