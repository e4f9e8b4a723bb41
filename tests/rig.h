// Drives one router with a fake clock and gathers its actions.
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

enum Class : std::uint32_t { kBounded, kAny, kFresh, kSession, kUnsafeWrite, kKeyedWrite };

inline RequestClassSettings makeClass(Consistency consistency, Idempotency effect, Micros aim,
                                      Micros deadline, double late) {
  RequestClassSettings out;
  out.consistency = consistency;
  out.idempotency = effect;
  out.latencyObjective = aim;
  out.deadline = deadline;
  out.lateValueShare = late;
  out.keyScope = effect == Idempotency::Idempotent ? KeyScope::Global : KeyScope::Group;
  out.keyWindow = 5 * kS;
  if (consistency == Consistency::BoundedStaleness) out.maxStaleness = 3 * kS;
  return out;
}

inline PolicySettings makeSettings() {
  PolicySettings s;
  s.classes = {makeClass(Consistency::BoundedStaleness, Idempotency::Idempotent, 300 * kMs, 750 * kMs, 0),
               makeClass(Consistency::Eventual, Idempotency::Idempotent, 300 * kMs, kS, 0.2),
               makeClass(Consistency::Strong, Idempotency::Idempotent, 300 * kMs, kS, 0),
               makeClass(Consistency::Session, Idempotency::Idempotent, 400 * kMs, kS, 0),
               makeClass(Consistency::Write, Idempotency::None, 400 * kMs, 5 * kS, 0.5),
               makeClass(Consistency::Write, Idempotency::WithKey, 400 * kMs, 8 * kS, 0.5)};
  s.gatewayCount = 2;
  s.timerResolution = 5 * kMs;
  s.sessionTokens = SessionTokenSource::Client;
  s.discoveryIsPolled = false;
  s.maxPollInterval = 10 * kS;
  s.healthChecksAllowed = true;
  s.cancellationAllowed = true;
  s.retryAfterAllowed = true;
  s.maxRetryAfter = 500 * kMs;
  s.maxAttempts = 6;
  s.connectTimeout = 250 * kMs;
  s.responseSlack = 20 * kMs;
  s.slowStartInitialShare = 0.2;
  s.slowStartDuration = 10 * kS;
  s.overloadWindow = 2 * kS;
  s.overloadMultiple = 3;
  return s;
}

inline Endpoint makeEndpoint(EndpointId id, bool leads = false, EndpointStatus state = EndpointStatus::Ready,
                             Micros launched = 0) {
  Endpoint m;
  m.id = id;
  m.group = 1;
  m.listedPrimary = leads;
  m.status = state;
  m.startedAt = launched;
  return m;
}

class Rig {
 public:
  explicit Rig(PolicySettings settings = makeSettings(), std::uint64_t seed = 7)
      : logic(std::move(settings), seed, now, out) {}

  void feed(const Event& event) { logic.handle(now, event, out); }
  void list(std::vector<Endpoint> endpoints, EndpointsChanged::Scope scope = EndpointsChanged::Scope::Full) {
    feed(EndpointsChanged{scope, std::move(endpoints)});
  }
  // Endpoints 1 (the primary), 2 and 3.
  void usualGroup() { list({makeEndpoint(1, true), makeEndpoint(2), makeEndpoint(3)}); }

  RequestId ask(std::uint32_t index, Micros patience = 0, std::optional<Micros> sinceLastWrite = {},
                std::uint64_t session = 0, GroupId group = 1) {
    Request r;
    r.id = ++lastId;
    r.group = group;
    r.classIndex = index;
    r.session = session;
    r.timeSinceLastWrite = sinceLastWrite;
    r.deadline = now + (patience != 0 ? patience : 5 * kS);
    feed(RequestArrived{r});
    return r.id;
  }
  void healthChecked(EndpointId endpoint, Role role, LogPosition position) {
    LoadReport report;
    report.role = role;
    report.position = position;
    feed(HealthCheckEnded{endpoint, true, kMs, report});
  }
  // Answers every health check of late, and those that the answers lead to.
  void answerHealthChecks(Role role, LogPosition position) {
    for (std::size_t i = 0; i < out.size(); ++i) {
      if (const auto* healthCheck = std::get_if<StartHealthCheck>(&out[i]))
        healthChecked(healthCheck->endpoint, role, position);
    }
  }
  void healthCheckFailed(EndpointId endpoint) { feed(HealthCheckEnded{endpoint, false, 250 * kMs, {}}); }
  // All three roles and positions are known and recent.
  void usualRecord() {
    healthChecked(1, Role::Primary, now);
    healthChecked(2, Role::Replica, now - 100 * kMs);
    healthChecked(3, Role::Replica, now - 100 * kMs);
    forget();
  }
  void end(RequestId id, std::uint32_t attempt, AttemptOutcome outcome, std::optional<Role> role = {},
           std::optional<LogPosition> position = {}, Micros elapsed = 50 * kMs) {
    AttemptEnded e;
    e.request = id;
    e.attempt = attempt;
    e.outcome = outcome;
    e.elapsed = elapsed;
    e.requestFinished = outcome == AttemptOutcome::Ok;
    e.role = role;
    e.position = position;
    feed(e);
  }
  // Lets time go by, with every timer rung when it is due.
  void pass(Micros span) {
    const Micros until = now + span;
    for (;;) {
      collect();
      auto next = std::min_element(timers.begin(), timers.end());
      if (next == timers.end() || next->first > until) break;
      const auto [at, token] = *next;
      timers.erase(next);
      now = std::max(now, at);
      feed(TimerFired{token});
    }
    now = until;
  }

  template <typename A>
  std::vector<A> all() const {
    std::vector<A> found;
    for (const Action& action : out) {
      if (const auto* a = std::get_if<A>(&action)) found.push_back(*a);
    }
    return found;
  }
  std::vector<EndpointId> sentTo(RequestId id) const {
    std::vector<EndpointId> found;
    for (const SendAttempt& a : all<SendAttempt>()) {
      if (a.request == id) found.push_back(a.endpoint);
    }
    return found;
  }
  int rejections(RequestId id) const {
    const auto found = all<RejectRequest>();
    return static_cast<int>(
        std::count_if(found.begin(), found.end(), [id](auto& a) { return a.request == id; }));
  }
  int failures(RequestId id) const {
    const auto found = all<FailRequest>();
    return static_cast<int>(
        std::count_if(found.begin(), found.end(), [id](auto& a) { return a.request == id; }));
  }
  std::size_t healthChecks() const { return all<StartHealthCheck>().size(); }

  Micros now = kStart;
  std::vector<Action> out;
  std::vector<std::pair<Micros, std::uint64_t>> timers;
  RequestId lastId = 0;
  RoutingPolicy logic;

  // Drops the actions so far; their timers stay.
  void forget() {
    collect();
    out.clear();
    seen = 0;
  }

 private:
  void collect() {
    for (; seen < out.size(); ++seen) {
      if (const auto* timer = std::get_if<SetTimer>(&out[seen]))
        timers.emplace_back(now + timer->after, timer->token);
    }
  }
  std::size_t seen = 0;
};

// One whose usual group, its roles and its positions are known.
class KnownRig : public Rig {
 public:
  explicit KnownRig(PolicySettings settings = makeSettings(), std::uint64_t seed = 7)
      : Rig(std::move(settings), seed) {
    usualGroup();
    usualRecord();
  }
};

}  // namespace heathflow::test
