// Injected faults, and the failover after the loss of a primary.
#include "fleet/simulation.h"

namespace heathflow::fleet {

void Simulation::beginFault(const FaultEvent& fault) {
  switch (fault.kind) {
    case FaultEvent::Kind::PrimariesCrash:
      for (EndpointModel& model : endpoints_) {
        if (model.isPrimary && uniform() < fault.share) crash(model, fault.duration);
      }
      return;
    case FaultEvent::Kind::EndpointsRestart:
      for (EndpointModel& model : endpoints_) {
        if (model.up && uniform() < fault.share) crash(model, fault.duration);
      }
      return;
    case FaultEvent::Kind::GatewaysRestart:
      for (std::size_t i = 0; i < gateways_.size(); ++i) {
        if (uniform() < fault.share) restart(i);
      }
      return;
    case FaultEvent::Kind::ReplicasLag:
      for (EndpointModel& model : endpoints_) {
        if (model.isPrimary || uniform() >= fault.share) continue;
        model.lagging = true;
        model.frozenPosition = now_;
        schedule(now_ + fault.duration, [this, id = model.id] {
          endpoint(id).lagging = false;
          endpoint(id).frozenPosition = 0;
        });
      }
      return;
    case FaultEvent::Kind::EndpointFailsForSome:
      for (GatewayModel& gateway : gateways_) {
        if (uniform() < fault.share) gateway.failingEndpoints.insert(1);
      }
      schedule(now_ + fault.duration, [this] {
        for (GatewayModel& gateway : gateways_) gateway.failingEndpoints.clear();
      });
      return;
    default:
      return beginEndpointFault(fault);
  }
}

void Simulation::applyToShare(const FaultEvent& fault, const std::function<void(EndpointModel&)>& begin,
                              const std::function<void(EndpointModel&)>& end) {
  for (EndpointModel& model : endpoints_) {
    if (!model.up || uniform() >= fault.share) continue;
    begin(model);
    schedule(now_ + fault.duration, [this, end, id = model.id] { end(endpoint(id)); });
  }
}

void Simulation::stall(EndpointModel& model, Micros duration) {
  model.stalledUntil = now_ + duration;
  schedule(model.stalledUntil, [this, id = model.id] { serveQueue(id); });
}

void Simulation::repeat(EndpointId id, Micros period, Micros until,
                        const std::function<void(EndpointModel&)>& apply) {
  if (now_ >= until) return;
  if (endpoint(id).up) apply(endpoint(id));
  schedule(now_ + period, [this, id, period, until, apply] { repeat(id, period, until, apply); });
}

void Simulation::beginEndpointFault(const FaultEvent& fault) {
  const auto doNothing = [](EndpointModel&) {};
  const Micros until = now_ + fault.duration;
  switch (fault.kind) {
    case FaultEvent::Kind::EndpointsHang:
      return applyToShare(
          fault, [this, &fault](EndpointModel& m) { stall(m, fault.duration); }, doNothing);
    case FaultEvent::Kind::EndpointsPause: {
      const auto pause = [this](EndpointModel& m) { stall(m, kPauseDuration); };
      return applyToShare(
          fault, [&](EndpointModel& m) { repeat(m.id, kPausePeriod, until, pause); }, doNothing);
    }
    case FaultEvent::Kind::EndpointsFail:
      return applyToShare(
          fault, [](EndpointModel& m) { m.failing = true; }, [](EndpointModel& m) { m.failing = false; });
    case FaultEvent::Kind::ResponsesLost:
      return applyToShare(
          fault, [](EndpointModel& m) { m.losesResponses = true; },
          [](EndpointModel& m) { m.losesResponses = false; });
    case FaultEvent::Kind::HealthChecksFail:
      return applyToShare(
          fault, [](EndpointModel& m) { m.failsHealthChecks = true; },
          [](EndpointModel& m) { m.failsHealthChecks = false; });
    case FaultEvent::Kind::EndpointsFlap: {
      const auto crashBriefly = [this](EndpointModel& m) { crash(m, kFlapDowntime); };
      return applyToShare(
          fault, [&](EndpointModel& m) { repeat(m.id, kFlapPeriod, until, crashBriefly); }, doNothing);
    }
    case FaultEvent::Kind::EndpointsDrain:
      return applyToShare(
          fault, [this, &fault](EndpointModel& m) { drain(m, fault.duration); }, doNothing);
    case FaultEvent::Kind::EndpointListDelayed:
      listDelayFactor_ = kListDelayFactor;
      return schedule(until, [this] { listDelayFactor_ = 1; });
    case FaultEvent::Kind::NetworkDegraded:
      networkDegraded_ = true;
      return schedule(until, [this] { networkDegraded_ = false; });
    default:
      return;
  }
}

void Simulation::drain(EndpointModel& model, Micros duration) {
  model.draining = true;
  announceChange(model, kListDelay / 3);
  schedule(now_ + kDrainDuration, [this, duration, id = model.id] {
    endpoint(id).draining = false;
    if (endpoint(id).up) crash(endpoint(id), duration);
  });
}

void Simulation::crash(EndpointModel& model, Micros duration) {
  model.up = false;
  ++model.incarnation;
  model.running = 0;
  for (const auto& inFlight : std::exchange(model.queue, {})) {
    if (!inFlight->ended) failAttempt(inFlight, model.id, AttemptOutcome::ConnectionReset);
  }
  for (GatewayModel& gateway : gateways_) {
    openConnections_ -= gateway.connections[model.id];
    gateway.connections[model.id] = gateway.idleConnections[model.id] = 0;
  }
  announceChange(model, kListDelay / 3);
  if (std::exchange(model.isPrimary, false)) electPrimary(model.group);
  model.frozenPosition = now_;
  schedule(now_ + duration, [this, id = model.id] {
    EndpointModel& restarted = endpoint(id);
    restarted.up = true;
    restarted.startedAt = now_;
    if (primaryOf(restarted.group) != nullptr) restarted.frozenPosition = 0;
    announceChange(restarted, kListDelay / 3);
  });
}

EndpointModel* Simulation::primaryOf(GroupId group) {
  for (EndpointModel& model : endpoints_) {
    if (model.group == group && model.isPrimary) return &model;
  }
  return nullptr;
}

void Simulation::electPrimary(GroupId group) {
  for (EndpointModel& model : endpoints_) {
    if (model.group == group && model.frozenPosition == 0)
      model.frozenPosition =
          std::max(model.reportedPosition, now_ - kReplicaLag - static_cast<Micros>(uniform() * kReplicaLag));
  }
  schedule(now_ + kElectionTime, [this, group] {
    EndpointModel* candidate = nullptr;
    for (EndpointModel& model : endpoints_) {
      if (model.group != group || !model.up) continue;
      if (candidate == nullptr || model.frozenPosition > candidate->frozenPosition) candidate = &model;
    }
    if (candidate == nullptr) return electPrimary(group);
    candidate->isPrimary = true;
    primarySince_[group] = now_;
    for (EndpointModel& model : endpoints_) {
      if (model.group == group && !model.lagging && model.up) model.frozenPosition = 0;
    }
    announceChange(*candidate, kListDelay);
  });
}

}  // namespace heathflow::fleet
