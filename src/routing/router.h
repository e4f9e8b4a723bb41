// The router of one gateway: turns requests, connections and timers into events for the routing policy, and
// performs the policy's actions. It makes no decisions itself.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

#include "invariants/invariant_checker.h"
#include "policy/routing_policy.h"
#include "protocol/wire.h"
#include "routing/attempt_manager.h"
#include "routing/endpoint_list_status.h"
#include "routing/health_check_manager.h"
#include "routing/policy_driver.h"
#include "routing/request_owner.h"
#include "routing/request_table.h"
#include "routing/timer_queue.h"
#include "settings/settings.h"
#include "stats/observer.h"
#include "upstream/connection_pool.h"
#include "wallclock/endpoint_time.h"

namespace heathflow::routing {

class Router {
 public:
  // @param seed  for the policy's random numbers.
  Router(transport::EventLoop& loop, settings::InstanceSettings settings, std::uint64_t seed,
         upstream::ConnectionPool& pool, stats::Observer& observer);
  ~Router();

  // @param subscribe  called when the policy requests updates of the endpoint list.
  void onSubscribe(std::function<void()> subscribe) { subscribe_ = std::move(subscribe); }
  // Performs the initial actions of the policy.
  void start() { policy_.run(); }

  void endpointsChanged(EndpointsChanged event);
  void listExpired(EndpointListExpired event);

  // Submits a request. The owner may get its answer within the call.
  // @param protocol  the index in ConnectionPool::Protocols of the protocol to send it in.
  // @param timeout   where the request states how long its client waits; rewritten for each attempt.
  // @param id        receives the request's id before the owner is called.
  void submit(RequestOwner& owner, Request request, std::size_t protocol, protocol::Slice timeout,
              RequestId& id);
  // @return whether 'size' more bytes of the request can be written. If not, the router calls
  //         RequestOwner::onRequestWritable() once they can.
  bool canWriteMore(RequestId request, std::size_t size) { return attempts_.canWriteMore(request, size); }
  // @param message  a further part of the request, at the end of what RequestOwner::requestBytes() returns.
  void writeMore(RequestId request, std::string_view message) { attempts_.writeMore(request, message); }
  // Called when the owner can take more of the response.
  void resumeResponse(RequestId request) { attempts_.resumeResponse(request); }
  // Ends a request whose client has disconnected or cancelled it. The owner gets no answer.
  void cancel(RequestId request);
  // @param deadline  when every request must have its final answer.
  void shutDown(Micros deadline) { policy_.post(ShutdownStarted{deadline}); }

  const settings::InstanceSettings& settings() const { return settings_; }
  const wallclock::EndpointTime& endpointTime() const { return endpointTime_; }
  invariants::InvariantChecker& checker() { return checker_; }

 private:
  friend class PolicyDriver;

  void perform(const Action& action);
  void reject(const RejectRequest& action);
  void fail(const FailRequest& action);
  void setTimer(const SetTimer& action);
  void fireDueTimers();
  RequestOwner* finish(RequestId id, std::uint64_t& counter);
  void traceEnd(RequestId id, const char* outcome, RejectReason reason) const;
  void onInvariantViolated(invariants::Invariant invariant, RequestId request);

  transport::EventLoop& loop_;
  settings::InstanceSettings settings_;
  upstream::ConnectionPool& pool_;
  stats::Observer& observer_;
  std::function<void()> subscribe_;
  invariants::InvariantChecker checker_;
  wallclock::EndpointTime endpointTime_;
  EndpointListStatus listStatus_;
  TimerQueue timers_;
  transport::Timer nextTimer_;
  RequestId lastId_ = 0;
  PolicyDriver policy_;
  RequestTable requests_;
  AttemptManager attempts_;
  HealthCheckManager healthChecks_;
};

}  // namespace heathflow::routing
