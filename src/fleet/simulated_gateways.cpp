// Gateways that run the real RoutingPolicy: they generate requests and perform the actions of the policy.
#include "common/overloaded.h"
#include "fleet/simulation.h"

namespace heathflow::fleet {

void Simulation::restart(std::size_t index) {
  GatewayModel& gateway = gateways_[index];
  ++gateway.incarnation;
  gateway.pending.clear();
  gateway.idleConnections.clear();
  for (const auto& [id, count] : gateway.connections) openConnections_ -= count;
  gateway.connections.clear();
  std::vector<Action> actions;
  gateway.policy = std::make_unique<RoutingPolicy>(settings_, random_(), now_, actions);
  perform(index, actions);
  sendList(index, endpointList(), EndpointsChanged::Scope::Full);
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

std::vector<Endpoint> Simulation::endpointList() const {
  std::vector<Endpoint> out;
  for (const EndpointModel& model : endpoints_) out.push_back(listEntryOf(model));
  return out;
}

void Simulation::announceChange(const EndpointModel& model, Micros meanDelay) {
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    schedule(
        now_ + static_cast<Micros>(static_cast<double>(meanDelay * listDelayFactor_) * (0.5 + uniform())),
        [this, i, id = model.id] {
          sendList(i, {listEntryOf(endpoint(id))}, EndpointsChanged::Scope::Delta);
        });
  }
}

void Simulation::sendList(std::size_t index, std::vector<Endpoint> entries, EndpointsChanged::Scope scope) {
  deliver(index, EndpointsChanged{scope, std::move(entries)});
}

void Simulation::deliver(std::size_t index, const heathflow::Event& event) {
  std::vector<Action> actions;
  gateways_[index].policy->handle(now_, event, actions);
  perform(index, actions);
}

void Simulation::perform(std::size_t index, const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    std::visit(Overloaded{
                   [&](const SendAttempt& a) { startAttempt(index, a); },
                   [&](const CancelAttempt& a) { cancel(index, a); },
                   [&](const RejectRequest& a) { recordUnserved(index, a.request, a.reason); },
                   [&](const FailRequest& a) { recordUnserved(index, a.request, a.reason); },
                   [&](const StartHealthCheck& a) { startHealthCheck(index, a); },
                   [&](const CloseIdleConnections& a) {
                     GatewayModel& gateway = gateways_[index];
                     openConnections_ -= gateway.idleConnections[a.endpoint];
                     gateway.connections[a.endpoint] -= gateway.idleConnections[a.endpoint];
                     gateway.idleConnections[a.endpoint] = 0;
                   },
                   [&](const SubscribeToEndpoints&) {},
                   [&](const SetTimer& a) {
                     schedule(now_ + a.after,
                              [this, index, token = a.token, incarnation = gateways_[index].incarnation] {
                                if (gateways_[index].incarnation == incarnation)
                                  deliver(index, TimerFired{token});
                              });
                   },
               },
               action);
  }
}

void Simulation::scheduleArrival(std::size_t index) {
  schedule(now_ + exponential(static_cast<double>(kSecond) / gateways_[index].rate), [this, index] {
    if (!arrivalsEnabled_) return;
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
  request.id = ++gateway.lastRequestId;
  request.group = static_cast<GroupId>(uniform() * plan_.groups);
  request.classIndex = classIndex;
  request.deadline = now_ + kRequestTimeouts[classIndex];
  OpenRequest& pending = gateway.pending[request.id];
  pending.arrived = now_;
  pending.classIndex = classIndex;
  pending.group = request.group;
  ++result_.requests;
  ++result_.gatewayRequests[index];
  ++windowOf(now_).requests;
  deliver(index, RequestArrived{request});
}

void Simulation::recordAnswer(std::size_t index, RequestId id) {
  OpenRequest& pending = gateways_[index].pending.at(id);
  ++result_.answers;
  if (++pending.answers == 2) ++result_.duplicateAnswers;
}

void Simulation::recordUnserved(std::size_t index, RequestId id, RejectReason reason) {
  const auto found = gateways_[index].pending.find(id);
  if (found == gateways_[index].pending.end()) return;
  recordAnswer(index, id);
  Window& counts = windowOf(found->second.arrived);
  ++counts.unserved;
  ++result_.unservedBy[static_cast<std::size_t>(reason)];
  if (someEndpointHasCapacity(found->second)) ++counts.unservedWithCapacity;
}

bool Simulation::someEndpointHasCapacity(const OpenRequest& pending) {
  const bool toPrimary = kConsistencies[pending.classIndex] == Consistency::Strong ||
                         kConsistencies[pending.classIndex] == Consistency::Write;
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const EndpointModel& model) {
    if (model.group != pending.group || !model.up || (toPrimary && !model.isPrimary)) return false;
    const Micros need = now_ - settings_.classes[pending.classIndex].maxStaleness;
    if (pending.classIndex == kBoundedRead && positionOf(model) < need) return false;
    return model.running + model.queue.size() < plan_.cores * capacityShareOf(model);
  });
}

void Simulation::cancel(std::size_t index, const CancelAttempt& action) {
  const auto found = gateways_[index].pending.find(action.request);
  if (found == gateways_[index].pending.end()) return;
  const auto attempt = found->second.attemptsInFlight.find(action.attempt);
  if (attempt == found->second.attemptsInFlight.end()) return;
  const auto inFlight = attempt->second;
  if (abandon(inFlight, inFlight->endpoint))
    schedule(now_, [this, inFlight] { endAttempt(inFlight, inFlight->endpoint, AttemptOutcome::Cancelled); });
}

void Simulation::endAttempt(const std::shared_ptr<AttemptInFlight>& inFlight, EndpointId id,
                            AttemptOutcome outcome, Micros position) {
  GatewayModel& gateway = gateways_[inFlight->gateway];
  const auto found = gateway.pending.find(inFlight->request);
  if (gateway.incarnation != inFlight->incarnation || found == gateway.pending.end()) return;
  OpenRequest& pending = found->second;
  pending.attemptsInFlight.erase(inFlight->attempt);
  AttemptEnded event;
  event.request = inFlight->request;
  event.attempt = inFlight->attempt;
  event.endpoint = id;
  event.outcome = outcome;
  event.elapsed = now_ - inFlight->sentAt;
  event.mayLackConnections = false;
  if (outcome == AttemptOutcome::Ok) {
    event.requestFinished = true;
    recordAnswer(inFlight->gateway, inFlight->request);
    if (now_ - pending.arrived <= kObjectives[pending.classIndex]) ++windowOf(pending.arrived).inTime;
    const Micros oldest = inFlight->sentAt - settings_.classes[pending.classIndex].maxStaleness;
    if (pending.classIndex == kBoundedRead && position < oldest) ++result_.stale;
    if (pending.classIndex == kWrite)
      recordFailoverDelay(inFlight->gateway, pending.group, pending.arrived, inFlight->sentAt);
  }
  deliver(inFlight->gateway, event);
}

void Simulation::recordFailoverDelay(std::size_t index, GroupId group, Micros arrived, Micros sentAt) {
  const Micros since = primarySince_[group];
  if (since == 0 || !noticedBy_.insert({group, index, since}).second) return;
  ++failoversNoticed_;
  failoverDelaySum_ += std::max<Micros>(0, sentAt - std::max(since, arrived));
}

void Simulation::startHealthCheck(std::size_t index, const StartHealthCheck& action) {
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
  schedule(now_ + duration, [this, index, id = action.endpoint, up, incarnation = gateway.incarnation] {
    if (gateways_[index].incarnation != incarnation) return;
    EndpointModel& target = endpoint(id);
    HealthCheckEnded event;
    event.endpoint = id;
    event.ok = up && target.up && !target.failsHealthChecks && now_ >= target.stalledUntil;
    event.elapsed = 2 * kNetworkDelay;
    if (event.ok) {
      event.report.position = LogPosition{
          std::min(reportPosition(target), now_ - static_cast<Micros>(uniform() * kMaxReportAge))};
      event.report.role = target.isPrimary ? Role::Primary : Role::Replica;
    }
    if (up) release(gateways_[index], id, event.ok);
    deliver(index, event);
  });
}

}  // namespace heathflow::fleet
