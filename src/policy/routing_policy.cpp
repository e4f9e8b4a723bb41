// Passes each event to the parts of the policy that handle it.
#include "policy/routing_policy.h"

#include <utility>

#include "policy/attempt_observer.h"
#include "policy/discovery_poll.h"
#include "policy/endpoint_registry.h"
#include "policy/health_check_scheduler.h"
#include "policy/latency_estimator.h"
#include "policy/policy_context.h"
#include "policy/primary_tracker.h"
#include "policy/request_dispatcher.h"
#include "policy/slow_start.h"

namespace heathflow {

using policy::PolicyContext;
using policy::TimerKind;

class RoutingPolicy::Impl {
 public:
  Impl(PolicySettings settings, std::uint64_t seed, Micros now, std::vector<Action>& out)
      : context_(std::move(settings), seed, now, out),
        registry_(context_),
        latency_(context_),
        primaries_(context_, registry_),
        healthChecks_(context_, registry_, primaries_),
        slowStart_(context_, registry_, latency_),
        observer_(context_, registry_, primaries_, healthChecks_, slowStart_, latency_),
        dispatcher_(context_, registry_, primaries_, healthChecks_, slowStart_, latency_, observer_),
        discovery_(context_) {
    discovery_.start();
  }

  void handle(Micros now, const Event& event, std::vector<Action>& out) {
    context_.begin(now, out);
    std::visit([this](const auto& e) { on(e); }, event);
  }

 private:
  void on(const EndpointsChanged& event) {
    if (event.scope == EndpointsChanged::Scope::Failed) return discovery_.observeFailure();
    discovery_.observeList();
    registry_.apply(event);
    dispatchAllQueued();
  }
  void on(const EndpointListExpired& event) {
    registry_.expire(event);
    dispatchAllQueued();
  }
  void on(const RequestArrived& event) { dispatcher_.observeArrival(event); }
  void on(const AttemptEnded& event) { dispatcher_.observeAttemptEnd(event); }
  void on(const ResponseStreaming& event) { dispatcher_.finish(event.request); }
  void on(const ResponsePartForwarded& event) { dispatcher_.observePartForwarded(event); }
  void on(const AttemptConnected& event) { dispatcher_.observeAttemptConnected(event); }
  void on(const HealthCheckEnded& event) {
    policy::EndpointState* endpoint = registry_.find(event.endpoint);
    if (endpoint == nullptr) return;
    observer_.observeHealthCheck(*endpoint, event);
    dispatcher_.dispatchQueued(registry_.groupOf(endpoint->info.group));
  }
  void on(const ClockLeadChanged& event) { context_.setClockLead(event.lead); }
  void on(const TimerFired& event);
  void on(const ClientDisconnected& event) { dispatcher_.observeClientDisconnect(event.request); }
  void on(const ShutdownStarted& event) { dispatcher_.startShutdown(event.deadline); }

  void dispatchAllQueued() {
    for (auto& [id, group] : registry_.groups()) dispatcher_.dispatchQueued(group);
  }

  PolicyContext context_;
  policy::EndpointRegistry registry_;
  policy::LatencyEstimator latency_;
  policy::PrimaryTracker primaries_;
  policy::HealthCheckScheduler healthChecks_;
  policy::SlowStart slowStart_;
  policy::AttemptObserver observer_;
  policy::RequestDispatcher dispatcher_;
  policy::DiscoveryPoll discovery_;
};

void RoutingPolicy::Impl::on(const TimerFired& event) {
  const std::uint64_t subject = PolicyContext::timerSubjectOf(event.token);
  switch (PolicyContext::timerKindOf(event.token)) {
    case TimerKind::RequestExpiry:
      return dispatcher_.observeExpiryTimer(static_cast<RequestId>(subject));
    case TimerKind::QueueDispatch:
      return dispatcher_.observeQueueTimer(static_cast<GroupId>(subject));
    case TimerKind::DiscoveryPoll:
      return discovery_.observeTimer(subject);
    case TimerKind::Shutdown:
      return dispatcher_.rejectOrFailAll();
  }
}

RoutingPolicy::RoutingPolicy(PolicySettings settings, std::uint64_t seed, Micros now,
                             std::vector<Action>& out)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now, out)) {}
RoutingPolicy::~RoutingPolicy() = default;
RoutingPolicy::RoutingPolicy(RoutingPolicy&&) noexcept = default;
RoutingPolicy& RoutingPolicy::operator=(RoutingPolicy&&) noexcept = default;

void RoutingPolicy::handle(Micros now, const Event& event, std::vector<Action>& out) {
  impl_->handle(now, event, out);
}

}  // namespace heathflow
