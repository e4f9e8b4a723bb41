// Glue around the routing policy: tells it what happens and does what it says. It decides nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "invariants/invariant_checker.h"
#include "policy/routing_policy.h"
#include "protocol/wire.h"
#include "settings/settings.h"
#include "stats/observer.h"
#include "upstream/connection_pool.h"
#include "wallclock/positions.h"

namespace heathflow::routing {

// Who asks. Gets one final answer, unless it has left.
class Requester {
 public:
  virtual ~Requester() = default;
  // What has come of the request and was not yet let go, for as long as there is no final answer.
  virtual std::string_view wire() const = 0;
  // The request's id, for the log.
  virtual std::string_view name() const = 0;
  // Whether so many bytes of its answer can be taken at present. Where not, Router::resume() says when.
  virtual bool hasRoom(std::size_t size) const = 0;
  // A part of the answer: from here on no other endpoint's answer will do. False: there is no memory for it.
  virtual bool passOn(const protocol::Answer& answer, std::string_view bytes) = 0;
  // More of the request can be taken again.
  virtual void onRoom() = 0;
  virtual void served(const protocol::Answer& answer, std::string_view bytes) = 0;
  virtual void rejected(Micros retryAfter) = 0;
  virtual void failed() = 0;
};

class Router {
 public:
  Router(transport::EventLoop& loop, settings::InstanceSettings settings, std::uint64_t seed,
         upstream::ConnectionPool& pool, stats::Observer& observer);
  ~Router();

  // Where the routing policy's wish for news of endpoints goes.
  void onSubscribe(std::function<void()> subscribe) { subscribe_ = std::move(subscribe); }
  // Runs what the routing policy wanted at its start.
  void start() { run(); }

  void endpointsChanged(EndpointsChanged event);
  void listExpired(EndpointListExpired event);
  // 'protocol': of the endpoints' side, by the pool's index. 'timeout': where the request tells for how long
  // the client waits; it is rewritten for each attempt. The id is set before anything else happens, for the
  // answer may come within the call.
  void submit(Requester& requester, Request request, std::size_t protocol, protocol::Slice timeout,
              RequestId& id);
  // Whether so many bytes more of the request can be taken; where not, the requester is told when.
  bool takesMore(RequestId request, std::size_t size);
  // A further part of the request has come, and is the last of what wire() gives.
  void more(RequestId request, std::string_view message);
  // The requester can take more of its answer.
  void resume(RequestId request);
  void left(RequestId request);
  // The process ends: what has no answer by then gets one.
  void stopping(Micros by) { post(ShutdownStarted{by}); }

  const settings::InstanceSettings& settings() const { return settings_; }
  // What endpoints' clocks are known to be.
  const wallclock::EndpointTime& endpointTime() const { return endpointTime_; }
  // What checks this process against the rules.
  invariants::InvariantChecker& checker() { return checker_; }

 private:
  struct AttemptState;
  struct RequestState;
  struct HealthCheckState;
  struct ScheduledTimer {
    Micros at;
    std::uint64_t order;
    std::uint64_t token;
    bool operator>(const ScheduledTimer& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void post(Event event);
  void run();
  void perform(const Action& action);
  void attempt(const SendAttempt& action);
  void cancel(const CancelAttempt& action);
  void healthCheck(const StartHealthCheck& action);
  void startHealthCheck(HealthCheckState& healthCheck, upstream::ConnectionPool::Over over);
  void finish(RequestState& state);
  bool passOn(AttemptState& attempt, const protocol::Answer& answer, std::string_view bytes);
  void attemptEnded(AttemptState& attempt, AttemptOutcome outcome, const upstream::ExchangeEnd* end,
                    bool rolledBack = false);
  void attemptOverdue(AttemptState& attempt);
  void giveUp(AttemptState& attempt, AttemptOutcome outcome);
  void healthCheckOverdue(HealthCheckState& healthCheck);
  void healthCheckEnded(HealthCheckState& healthCheck, HealthCheckEnded event);
  Requester* settle(RequestId id, std::uint64_t& counter);
  void eraseIfDone(RequestId id);
  void fireDueTimers();
  std::string listState() const;
  void invariantBroken(invariants::Invariant invariant, RequestId request);
  void trace(const RequestState& state, const std::string& text) const;
  void traceEnd(RequestId id, const char* how, RejectReason why) const;

  transport::EventLoop& loop_;
  settings::InstanceSettings settings_;
  upstream::ConnectionPool& pool_;
  stats::Observer& observer_;
  std::function<void()> subscribe_;
  std::unordered_map<RequestId, std::unique_ptr<RequestState>> requests_;
  std::unordered_map<EndpointId, std::unique_ptr<HealthCheckState>> healthChecks_;
  std::priority_queue<ScheduledTimer, std::vector<ScheduledTimer>, std::greater<>> timers_;
  transport::Timer nextTimer_;
  std::deque<Event> events_;
  std::vector<Action> actions_;
  RequestId lastId_ = 0;
  std::uint64_t timerOrder_ = 0;
  bool running_ = false;
  bool listExpired_ = false;
  Micros listTakenAt_ = 0;
  invariants::InvariantChecker checker_;
  wallclock::EndpointTime endpointTime_;
  RoutingPolicy policy_;
};

}  // namespace heathflow::routing
