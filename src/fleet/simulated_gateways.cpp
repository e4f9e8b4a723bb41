// Gateways with the real decisions: requests, health checks, and the ends of attempts.
#include "common/overloaded.h"
#include "fleet/simulation.h"

namespace heathflow::fleet {

void Simulation::restart(std::size_t index) {
  GatewayModel& gateway = gateways_[index];
  ++gateway.incarnation;
  gateway.pending.clear();
  gateway.idle.clear();
  for (const auto& [id, count] : gateway.connections) openConnections_ -= count;
  gateway.connections.clear();
  std::vector<Action> actions;
  gateway.policy = std::make_unique<RoutingPolicy>(settings_, random_(), now_, actions);
  perform(index, actions);
  sendList(index, listing(), EndpointsChanged::Scope::Full);
}

Endpoint Simulation::listEntryOf(const EndpointModel& model) const {
  Endpoint entry;
  entry.id = model.id;
  entry.group = model.group;
  entry.status = !model.up        ? EndpointStatus::Removed
                 : model.draining ? EndpointStatus::Draining
                                  : EndpointStatus::Ready;
  entry.startedAt = model.startedAt;
  entry.listedPrimary = model.isPrimary;
  return entry;
}

std::vector<Endpoint> Simulation::listing() const {
  std::vector<Endpoint> out;
  for (const EndpointModel& model : endpoints_) out.push_back(listEntryOf(model));
  return out;
}

void Simulation::announceChange(const EndpointModel& model, Micros lag) {
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    at(now_ + static_cast<Micros>(static_cast<double>(lag * listDelayFactor_) * (0.5 + uniform())),
       [this, i, id = model.id] {
         sendList(i, {listEntryOf(endpoint(id))}, EndpointsChanged::Scope::Delta);
       });
  }
}

void Simulation::sendList(std::size_t index, std::vector<Endpoint> entries, EndpointsChanged::Scope scope) {
  post(index, EndpointsChanged{scope, std::move(entries)});
}

void Simulation::post(std::size_t index, const heathflow::Event& event) {
  std::vector<Action> actions;
  gateways_[index].policy->handle(now_, event, actions);
  perform(index, actions);
}

void Simulation::perform(std::size_t index, const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    std::visit(Overloaded{
                   [&](const SendAttempt& a) { attempt(index, a); },
                   [&](const CancelAttempt& a) { cancel(index, a); },
                   [&](const RejectRequest& a) { endUnserved(index, a.request, a.reason); },
                   [&](const FailRequest& a) { endUnserved(index, a.request, a.reason); },
                   [&](const StartHealthCheck& a) { healthCheck(index, a); },
                   [&](const CloseIdleConnections& a) {
                     GatewayModel& gateway = gateways_[index];
                     openConnections_ -= gateway.idle[a.endpoint];
                     gateway.connections[a.endpoint] -= gateway.idle[a.endpoint];
                     gateway.idle[a.endpoint] = 0;
                   },
                   [&](const SubscribeToEndpoints&) {},
                   [&](const SetTimer& a) {
                     at(now_ + a.after,
                        [this, index, token = a.token, incarnation = gateways_[index].incarnation] {
                          if (gateways_[index].incarnation == incarnation) post(index, TimerFired{token});
                        });
                   },
               },
               action);
  }
}

void Simulation::scheduleArrival(std::size_t index) {
  at(now_ + exponential(static_cast<double>(kSecond) / gateways_[index].rate), [this, index] {
    if (!arriving_) return;
    sendRequest(index);
    scheduleArrival(index);
  });
}

void Simulation::sendRequest(std::size_t index) {
  GatewayModel& gateway = gateways_[index];
  double draw = uniform();
  std::uint32_t classIndex = 0;
  while (classIndex + 1 < kClasses && draw >= plan_.mix[classIndex]) draw -= plan_.mix[classIndex++];
  Request request;
  request.id = ++gateway.lastId;
  request.group = static_cast<GroupId>(uniform() * plan_.groups);
  request.classIndex = classIndex;
  request.deadline = now_ + kRequestTimeouts[classIndex];
  OpenRequest& pending = gateway.pending[request.id];
  pending.arrived = now_;
  pending.classIndex = classIndex;
  pending.group = request.group;
  ++result_.requests;
  ++result_.gatewayRequests[index];
  ++window(now_).requests;
  post(index, RequestArrived{request});
}

void Simulation::answer(std::size_t index, RequestId id) {
  OpenRequest& pending = gateways_[index].pending.at(id);
  ++result_.answers;
  if (++pending.answers == 2) ++result_.duplicateAnswers;
}

void Simulation::endUnserved(std::size_t index, RequestId id, RejectReason reason) {
  const auto found = gateways_[index].pending.find(id);
  if (found == gateways_[index].pending.end()) return;
  answer(index, id);
  Window& in = window(found->second.arrived);
  ++in.unserved;
  ++result_.unservedBy[static_cast<std::size_t>(reason)];
  if (someEndpointHasCapacity(found->second)) ++in.unservedWithCapacity;
}

bool Simulation::someEndpointHasCapacity(const OpenRequest& pending) {
  const bool toPrimary = kConsistencies[pending.classIndex] == Consistency::Strong ||
                         kConsistencies[pending.classIndex] == Consistency::Write;
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const EndpointModel& model) {
    if (model.group != pending.group || !model.up || (toPrimary && !model.isPrimary)) return false;
    const LogPosition need = now_ - settings_.classes[pending.classIndex].maxStaleness;
    if (pending.classIndex == kView && positionOf(model) < need) return false;
    return model.running + model.queue.size() < plan_.cores * capacityShareOf(model);
  });
}

void Simulation::cancel(std::size_t index, const CancelAttempt& action) {
  const auto found = gateways_[index].pending.find(action.request);
  if (found == gateways_[index].pending.end()) return;
  const auto inTransit = found->second.inTransit.find(action.attempt);
  if (inTransit == found->second.inTransit.end()) return;
  const auto transit = inTransit->second;
  if (abandon(transit, transit->endpoint))
    at(now_, [this, transit] { endAttempt(transit, transit->endpoint, AttemptOutcome::Cancelled); });
}

void Simulation::endAttempt(const std::shared_ptr<Transit>& transit, EndpointId id, AttemptOutcome outcome,
                            LogPosition position) {
  GatewayModel& gateway = gateways_[transit->gateway];
  const auto found = gateway.pending.find(transit->request);
  if (gateway.incarnation != transit->incarnation || found == gateway.pending.end()) return;
  OpenRequest& pending = found->second;
  pending.inTransit.erase(transit->attempt);
  AttemptEnded event;
  event.request = transit->request;
  event.attempt = transit->attempt;
  event.endpoint = id;
  event.outcome = outcome;
  event.elapsed = now_ - transit->sentAt;
  event.mayLackConnections = false;
  if (outcome == AttemptOutcome::Ok) {
    event.requestFinished = true;
    answer(transit->gateway, transit->request);
    if (now_ - pending.arrived <= kObjectives[pending.classIndex]) ++window(pending.arrived).inTime;
    const Micros oldest = transit->sentAt - settings_.classes[pending.classIndex].maxStaleness;
    if (pending.classIndex == kView && position < oldest) ++result_.stale;
    if (pending.classIndex == kSave)
      observeWrite(transit->gateway, pending.group, pending.arrived, transit->sentAt);
  }
  post(transit->gateway, event);
}

void Simulation::observeWrite(std::size_t index, GroupId group, Micros arrived, Micros sentAt) {
  const Micros since = primarySince_[group];
  if (since == 0 || !noticedBy_.insert({group, index, since}).second) return;
  ++failoversNoticed_;
  failoverDelaySum_ += std::max<Micros>(0, sentAt - std::max(since, arrived));
}

void Simulation::healthCheck(std::size_t index, const StartHealthCheck& action) {
  GatewayModel& gateway = gateways_[index];
  ++result_.healthChecks;
  ++result_.gatewayHealthChecks[index];
  ++result_.healthChecksBy[static_cast<std::size_t>(action.reason)];
  EndpointModel& model = endpoint(action.endpoint);
  const bool up = model.up;
  const Micros wait = up ? connect(gateway, action.endpoint) : 0;
  const bool stalled = now_ < model.stalledUntil;
  const Micros duration =
      stalled ? settings_.connectTimeout : 2 * (kNetworkDelay + extraDelay(index, action.endpoint)) + wait;
  at(now_ + duration, [this, index, id = action.endpoint, up, incarnation = gateway.incarnation] {
    if (gateways_[index].incarnation != incarnation) return;
    EndpointModel& host = endpoint(id);
    HealthCheckEnded event;
    event.endpoint = id;
    event.ok = up && host.up && !host.failsHealthChecks && now_ >= host.stalledUntil;
    event.elapsed = 2 * kNetworkDelay;
    if (event.ok) {
      event.report.position =
          std::min(reportPosition(host), now_ - static_cast<Micros>(uniform() * kReportAge));
      event.report.role = host.isPrimary ? Role::Primary : Role::Replica;
    }
    if (up) release(gateways_[index], id, event.ok);
    post(index, event);
  });
}

}  // namespace heathflow::fleet
