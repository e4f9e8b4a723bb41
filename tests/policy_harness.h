// A RoutingPolicy with a fake clock, and a record of its actions.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"

namespace heathflow::test {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;
constexpr Micros kStart = 1000 * kS;

// The request classes of makeSettings().
enum ClassIndex : std::uint32_t {
  kBoundedRead,
  kEventualRead,
  kStrongRead,
  kSessionRead,
  kUnsafeWrite,
  kKeyedWrite
};

inline RequestClassSettings makeClass(Consistency consistency, Idempotency idempotency,
                                      Micros latencyObjective, Micros requestTimeout, double lateValueShare) {
  RequestClassSettings out;
  out.consistency = consistency;
  out.idempotency = idempotency;
  out.latencyObjective = latencyObjective;
  out.requestTimeout = requestTimeout;
  out.lateValueShare = lateValueShare;
  out.keyScope = idempotency == Idempotency::Idempotent ? KeyScope::Global : KeyScope::Group;
  out.keyWindow = 5 * kS;
  if (consistency == Consistency::BoundedStaleness) out.maxStaleness = 3 * kS;
  return out;
}

inline PolicySettings makeSettings() {
  PolicySettings out;
  out.classes = {makeClass(Consistency::BoundedStaleness, Idempotency::Idempotent, 300 * kMs, 750 * kMs, 0),
                 makeClass(Consistency::Eventual, Idempotency::Idempotent, 300 * kMs, kS, 0.2),
                 makeClass(Consistency::Strong, Idempotency::Idempotent, 300 * kMs, kS, 0),
                 makeClass(Consistency::Session, Idempotency::Idempotent, 400 * kMs, kS, 0),
                 makeClass(Consistency::Write, Idempotency::None, 400 * kMs, 5 * kS, 0.5),
                 makeClass(Consistency::Write, Idempotency::WithKey, 400 * kMs, 8 * kS, 0.5)};
  out.gatewayCount = 2;
  out.timerResolution = 5 * kMs;
  out.sessionTokens = SessionTokenSource::Client;
  out.discoveryIsPolled = false;
  out.maxPollInterval = 10 * kS;
  out.healthChecksAllowed = true;
  out.cancellationAllowed = true;
  out.retryAfterAllowed = true;
  out.maxRetryAfter = 500 * kMs;
  out.maxAttempts = 6;
  out.connectTimeout = 250 * kMs;
  out.responseSlack = 20 * kMs;
  out.slowStartInitialShare = 0.2;
  out.slowStartDuration = 10 * kS;
  out.overloadWindow = 2 * kS;
  out.overloadMultiple = 3;
  return out;
}

// Settings with replicas that check the staleness of reads themselves and wait for a short time before they
// reject one. Each answer reports a position.
inline PolicySettings settingsWhereReplicasWait() {
  PolicySettings out = makeSettings();
  out.staleReads = StaleReadBehavior::Waits;
  out.catchUpTimeout = 20 * kMs;
  out.responsesReportPosition = true;
  return out;
}

// The same, with health checks that report neither position nor role.
inline PolicySettings settingsWithoutReports() {
  PolicySettings out = settingsWhereReplicasWait();
  out.healthChecksReportPosition = false;
  out.healthChecksReportRole = false;
  return out;
}

inline Endpoint makeEndpoint(EndpointId id, bool listedPrimary = false,
                             EndpointStatus status = EndpointStatus::Ready, Micros startedAt = 0) {
  Endpoint out;
  out.id = id;
  out.group = 1;
  out.listedPrimary = listedPrimary;
  out.status = status;
  out.startedAt = startedAt;
  return out;
}

class PolicyHarness {
 public:
  explicit PolicyHarness(PolicySettings settings = makeSettings(), std::uint64_t seed = 7)
      : policy(std::move(settings), seed, now, actions) {}

  void handle(const Event& event) { policy.handle(now, event, actions); }
  void updateEndpoints(std::vector<Endpoint> endpoints,
                       EndpointsChanged::Scope scope = EndpointsChanged::Scope::Full) {
    handle(EndpointsChanged{scope, std::move(endpoints)});
  }
  // Lists endpoint 1 as the primary and endpoints 2 and 3 as replicas.
  void listUsualGroup() { updateEndpoints({makeEndpoint(1, true), makeEndpoint(2), makeEndpoint(3)}); }

  // @param timeUntilDeadline  the time until the deadline; 0: 5 s.
  // @param timeSinceLastWrite  the age of the write that the session token names.
  RequestId sendRequest(std::uint32_t classIndex, Micros timeUntilDeadline = 0,
                        std::optional<Micros> timeSinceLastWrite = {}, std::uint64_t session = 0,
                        GroupId group = 1) {
    Request request;
    request.id = ++lastId;
    request.group = group;
    request.classIndex = classIndex;
    request.session = session;
    if (timeSinceLastWrite) request.sessionToken = LogPosition{now - *timeSinceLastWrite};
    request.deadline = now + (timeUntilDeadline != 0 ? timeUntilDeadline : 5 * kS);
    handle(RequestArrived{request});
    return request.id;
  }
  // Positions are readings of the harness's clock, unless a test changes the lead of the endpoints' clocks.
  void healthCheckOk(EndpointId endpoint, Role role, Micros position) {
    LoadReport report;
    report.role = role;
    report.position = LogPosition{position};
    handle(HealthCheckEnded{endpoint, true, kMs, report});
  }
  void healthCheckFailed(EndpointId endpoint) { handle(HealthCheckEnded{endpoint, false, 250 * kMs, {}}); }
  // Answers every health check since clearActions(), including those that result from the answers.
  void answerHealthChecks(Role role, Micros position) {
    for (std::size_t i = 0; i < actions.size(); ++i) {
      if (const auto* healthCheck = std::get_if<StartHealthCheck>(&actions[i]))
        healthCheckOk(healthCheck->endpoint, role, position);
    }
  }
  // Reports roles and recent positions of the group of listUsualGroup(), then clears the actions.
  void reportUsualState() {
    healthCheckOk(1, Role::Primary, now);
    healthCheckOk(2, Role::Replica, now - 100 * kMs);
    healthCheckOk(3, Role::Replica, now - 100 * kMs);
    clearActions();
  }
  void endAttempt(RequestId id, std::uint32_t attempt, AttemptOutcome outcome, std::optional<Role> role = {},
                  std::optional<Micros> position = {}, Micros elapsed = 50 * kMs) {
    AttemptEnded event;
    event.request = id;
    event.attempt = attempt;
    event.outcome = outcome;
    event.elapsed = elapsed;
    event.requestFinished = outcome == AttemptOutcome::Ok;
    event.role = role;
    if (position) event.position = LogPosition{*position};
    handle(event);
  }
  // Advances the clock and fires every timer when it is due.
  void advance(Micros span) {
    const Micros until = now + span;
    for (;;) {
      collectTimers();
      auto next = std::min_element(timers.begin(), timers.end());
      if (next == timers.end() || next->first > until) break;
      const auto [at, token] = *next;
      timers.erase(next);
      now = std::max(now, at);
      handle(TimerFired{token});
    }
    now = until;
  }

  // Returns the actions of one type since clearActions().
  template <typename A>
  std::vector<A> actionsOf() const {
    std::vector<A> found;
    for (const Action& action : actions) {
      if (const auto* a = std::get_if<A>(&action)) found.push_back(*a);
    }
    return found;
  }
  // Returns the endpoints of a request's attempts since clearActions().
  std::vector<EndpointId> sentTo(RequestId id) const {
    std::vector<EndpointId> found;
    for (const SendAttempt& attempt : actionsOf<SendAttempt>()) {
      if (attempt.request == id) found.push_back(attempt.endpoint);
    }
    return found;
  }
  int rejections(RequestId id) const { return countFor<RejectRequest>(id); }
  int failures(RequestId id) const { return countFor<FailRequest>(id); }
  std::size_t healthChecks() const { return actionsOf<StartHealthCheck>().size(); }

  // Drops the actions so far, but keeps their timers.
  void clearActions() {
    collectTimers();
    actions.clear();
    timersCollected = 0;
  }

  Micros now = kStart;
  std::vector<Action> actions;
  std::vector<std::pair<Micros, std::uint64_t>> timers;  // when each is due, and its token
  RequestId lastId = 0;
  RoutingPolicy policy;

 private:
  template <typename A>
  int countFor(RequestId id) const {
    const auto found = actionsOf<A>();
    return static_cast<int>(
        std::count_if(found.begin(), found.end(), [id](const A& action) { return action.request == id; }));
  }
  void collectTimers() {
    for (; timersCollected < actions.size(); ++timersCollected) {
      if (const auto* timer = std::get_if<SetTimer>(&actions[timersCollected]))
        timers.emplace_back(now + timer->after, timer->token);
    }
  }

  std::size_t timersCollected = 0;  // number of actions whose timers are in `timers`
};

// A harness with the group of listUsualGroup(), whose roles and positions are known.
class PolicyHarnessWithKnownGroup : public PolicyHarness {
 public:
  explicit PolicyHarnessWithKnownGroup(PolicySettings settings = makeSettings(), std::uint64_t seed = 7)
      : PolicyHarness(std::move(settings), seed) {
    listUsualGroup();
    reportUsualState();
  }
};

// Returns the endpoints of the health checks since the last call.
// @param seen  number of health checks that earlier calls returned; updated by the call.
inline std::vector<EndpointId> newHealthChecks(const PolicyHarness& harness, std::size_t& seen) {
  std::vector<EndpointId> out;
  const auto healthChecks = harness.actionsOf<StartHealthCheck>();
  for (; seen < healthChecks.size(); ++seen) out.push_back(healthChecks[seen].endpoint);
  return out;
}

// Returns the rejection of a health check by an endpoint that is starting or draining.
inline HealthCheckEnded refusing(EndpointId endpoint) {
  HealthCheckEnded out;
  out.endpoint = endpoint;
  out.rejected = true;
  out.refusesNewWork = true;
  return out;
}

}  // namespace heathflow::test
