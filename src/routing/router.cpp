#include "routing/router.h"

#include <algorithm>
#include <memory>
#include <string>

#include "common/overloaded.h"
#include "routing/request_trace.h"
#include "stats/enum_names.h"

namespace heathflow::routing {
namespace {

using invariants::InvariantChecker;
using transport::kMicrosPerMilli;

// A request that is read in the same turn of the event loop in which its endpoint starts to drain may still
// be written in that turn.
constexpr Micros kMinDrainGrace = 50'000;

}  // namespace

Router::Router(transport::EventLoop& loop, settings::InstanceSettings settings, std::uint64_t seed,
               upstream::ConnectionPool& pool, stats::Observer& observer)
    : loop_(loop),
      settings_(std::move(settings)),
      pool_(pool),
      observer_(observer),
      checker_(settings_.policy, std::max(settings_.drainGrace, kMinDrainGrace),
               [this](invariants::Invariant invariant, RequestId request) {
                 onInvariantViolated(invariant, request);
               }),
      nextTimer_(loop, [this] { fireDueTimers(); }),
      policy_(loop, *this, settings_.policy, seed, endpointTime_),
      requests_(loop, checker_),
      attempts_({loop, settings_, pool, observer, requests_, checker_, endpointTime_, listStatus_, policy_}),
      healthChecks_({loop, settings_, pool, observer, endpointTime_, policy_}) {}

Router::~Router() = default;

void Router::endpointsChanged(EndpointsChanged event) {
  checker_.endpointsChanged(loop_.now(), event);
  if (event.scope != EndpointsChanged::Scope::Failed) {
    listStatus_.expired = false;
    listStatus_.receivedAt = loop_.now();
  }
  policy_.post(std::move(event));
}

void Router::listExpired(EndpointListExpired event) {
  listStatus_.expired = true;
  policy_.post(event);
}

void Router::submit(RequestOwner& owner, Request request, std::size_t protocol, protocol::Slice timeout,
                    RequestId& id) {
  id = request.id = ++lastId_;
  auto pending = std::make_unique<PendingRequest>();
  pending->id = request.id;
  pending->owner = &owner;
  pending->protocol = protocol;
  pending->timeout = timeout;
  pending->deadline = request.deadline;
  if (observer_.tracing) {
    pending->clientRequestId = owner.clientRequestId();
    trace(observer_, *pending,
          "accepted, class " + settings_.classNames[request.classIndex] + ", " +
              std::to_string((request.deadline - loop_.now()) / kMicrosPerMilli) + " ms until its deadline");
  }
  checker_.requestAccepted(request);
  requests_.add(std::move(pending));
  ++observer_.counters.requestsAccepted;
  policy_.post(RequestArrived{request});
}

void Router::cancel(RequestId id) {
  const PendingRequest* request = requests_.find(id);
  if (observer_.tracing && request != nullptr) trace(observer_, *request, "cancelled by the client");
  checker_.requestCancelled(id);
  if (finish(id, observer_.counters.requestsCancelled) != nullptr) policy_.post(ClientDisconnected{id});
}

void Router::perform(const Action& action) {
  std::visit(Overloaded{
                 [&](const SendAttempt& a) { attempts_.start(a); },
                 [&](const CancelAttempt& a) { attempts_.cancel(a); },
                 [&](const RejectRequest& a) { reject(a); },
                 [&](const FailRequest& a) { fail(a); },
                 [&](const StartHealthCheck& a) { healthChecks_.start(a); },
                 [&](const CloseIdleConnections& a) { pool_.closeIdle(a.endpoint); },
                 [&](const SubscribeToEndpoints&) {
                   if (subscribe_) subscribe_();
                 },
                 [&](const SetTimer& a) { setTimer(a); },
             },
             action);
}

void Router::reject(const RejectRequest& action) {
  traceEnd(action.request, "rejected", action.reason);
  RequestOwner* owner = finish(action.request, observer_.counters.requestsRejected);
  if (owner == nullptr) return;
  observer_.upstreamStats.requestUnserved(action.reason);
  checker_.requestAnswered(action.request, InvariantChecker::FinalAnswer::Rejected);
  owner->onRejected(action.retryAfter);
}

void Router::fail(const FailRequest& action) {
  traceEnd(action.request, "failed", action.reason);
  RequestOwner* owner = finish(action.request, observer_.counters.requestsFailed);
  if (owner == nullptr) return;
  observer_.upstreamStats.requestUnserved(action.reason);
  checker_.requestAnswered(action.request, InvariantChecker::FinalAnswer::Failed);
  owner->onFailed();
}

// Ends a request without a response of an endpoint.
// @return its owner, or null if the request has already ended.
RequestOwner* Router::finish(RequestId id, std::uint64_t& counter) {
  PendingRequest* request = requests_.find(id);
  if (request == nullptr || request->owner == nullptr) return nullptr;
  RequestOwner* owner = request->owner;
  ++counter;
  requests_.finish(*request);
  return owner;
}

void Router::setTimer(const SetTimer& action) {
  const Micros at = loop_.now() + action.after;
  if (timers_.schedule(at, action.token)) nextTimer_.arm(at);
}

void Router::fireDueTimers() {
  while (!timers_.empty() && timers_.earliest() <= loop_.now()) policy_.post(TimerFired{timers_.pop()});
  if (!timers_.empty()) nextTimer_.arm(timers_.earliest());
}

void Router::traceEnd(RequestId id, const char* outcome, RejectReason reason) const {
  if (!observer_.tracing) return;
  const PendingRequest* request = requests_.find(id);
  if (request == nullptr || request->owner == nullptr) return;
  trace(observer_, *request, std::string(outcome) + ": " + stats::nameOf(reason));
}

void Router::onInvariantViolated(invariants::Invariant invariant, RequestId id) {
  ++observer_.counters.invariantViolations[static_cast<std::size_t>(invariant)];
  const PendingRequest* request = requests_.find(id);
  stats::LogContext context;
  if (request != nullptr && request->owner != nullptr) context.request = request->owner->clientRequestId();
  observer_.log(stats::Topic::Invariants,
                std::string(invariants::kViolated) + ": " + invariants::nameOf(invariant) + " request " +
                    std::string(context.request.empty() ? "unknown" : context.request),
                context);
}

}  // namespace heathflow::routing
