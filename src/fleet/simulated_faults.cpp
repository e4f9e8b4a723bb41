// Faults, and the failover that follows.
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
        at(now_ + fault.duration, [this, id = model.id] {
          endpoint(id).lagging = false;
          endpoint(id).frozenPosition = 0;
        });
      }
      return;
    case FaultEvent::Kind::EndpointFailsForSome:
      for (GatewayModel& gateway : gateways_) {
        if (uniform() < fault.share) gateway.failingEndpoints.insert(1);
      }
      at(now_ + fault.duration, [this] {
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
    at(now_ + fault.duration, [this, end, id = model.id] { end(endpoint(id)); });
  }
}

void Simulation::stall(EndpointModel& model, Micros duration) {
  model.stalledUntil = now_ + duration;
  at(model.stalledUntil, [this, id = model.id] { serve(id); });
}

void Simulation::repeat(EndpointId id, Micros every, Micros until,
                        const std::function<void(EndpointModel&)>& apply) {
  if (now_ >= until) return;
  if (endpoint(id).up) apply(endpoint(id));
  at(now_ + every, [this, id, every, until, apply] { repeat(id, every, until, apply); });
}

void Simulation::beginEndpointFault(const FaultEvent& fault) {
  const auto nothing = [](EndpointModel&) {};
  const Micros until = now_ + fault.duration;
  switch (fault.kind) {
    case FaultEvent::Kind::EndpointsHang:
      return applyToShare(
          fault, [this, &fault](EndpointModel& m) { stall(m, fault.duration); }, nothing);
    case FaultEvent::Kind::EndpointsPause: {
      const auto pause = [this](EndpointModel& m) { stall(m, kPauseDuration); };
      return applyToShare(
          fault, [&](EndpointModel& m) { repeat(m.id, kPauseEvery, until, pause); }, nothing);
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
      const auto die = [this](EndpointModel& m) { crash(m, kFlapDowntime); };
      return applyToShare(
          fault, [&](EndpointModel& m) { repeat(m.id, kFlapEvery, until, die); }, nothing);
    }
    case FaultEvent::Kind::EndpointsDrain:
      return applyToShare(
          fault, [this, &fault](EndpointModel& m) { drain(m, fault.duration); }, nothing);
    case FaultEvent::Kind::EndpointListDelayed:
      listDelayFactor_ = kListDelayFactor;
      return at(until, [this] { listDelayFactor_ = 1; });
    case FaultEvent::Kind::NetworkDegraded:
      networkDegraded_ = true;
      return at(until, [this] { networkDegraded_ = false; });
    default:
      return;
  }
}

void Simulation::drain(EndpointModel& model, Micros duration) {
  model.draining = true;
  announceChange(model, kListLag / 3);
  at(now_ + kDrainDuration, [this, duration, id = model.id] {
    endpoint(id).draining = false;
    if (endpoint(id).up) crash(endpoint(id), duration);
  });
}

void Simulation::crash(EndpointModel& model, Micros duration) {
  model.up = false;
  ++model.incarnation;
  model.running = 0;
  for (const auto& transit : std::exchange(model.queue, {})) {
    if (!transit->dropped) endWithoutResponse(transit, model.id, AttemptOutcome::ConnectionReset);
  }
  for (GatewayModel& gateway : gateways_) {
    openConnections_ -= gateway.connections[model.id];
    gateway.connections[model.id] = gateway.idle[model.id] = 0;
  }
  announceChange(model, kListLag / 3);
  if (std::exchange(model.isPrimary, false)) electPrimary(model.group);
  model.frozenPosition = now_;
  at(now_ + duration, [this, id = model.id] {
    EndpointModel& back = endpoint(id);
    back.up = true;
    back.startedAt = now_;
    if (primaryOf(back.group) != nullptr) back.frozenPosition = 0;
    announceChange(back, kListLag / 3);
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
  at(now_ + kElection, [this, group] {
    EndpointModel* next = nullptr;
    for (EndpointModel& model : endpoints_) {
      if (model.group != group || !model.up) continue;
      if (next == nullptr || model.frozenPosition > next->frozenPosition) next = &model;
    }
    if (next == nullptr) return electPrimary(group);
    next->isPrimary = true;
    primarySince_[group] = now_;
    for (EndpointModel& model : endpoints_) {
      if (model.group == group && !model.lagging && model.up) model.frozenPosition = 0;
    }
    announceChange(*next, kListLag);
  });
}

}  // namespace heathflow::fleet
