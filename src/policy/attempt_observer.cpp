#include "policy/attempt_observer.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

// An answer that took more than this share of the latency objective means that the endpoint is near its
// capacity.
constexpr double kNearObjectiveShare = 0.6;
// The minimum time between two health checks of an endpoint whose attempts time out without any response.
constexpr Micros kMinCheckInterval = 250 * kMillisecond;
// A concurrency limit grows only while at least this share of it is in use.
constexpr double kUsedShareToGrow = 0.5;

bool isAnswer(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::Ok || outcome == AttemptOutcome::Error ||
         outcome == AttemptOutcome::Overloaded || outcome == AttemptOutcome::PreconditionFailed ||
         outcome == AttemptOutcome::LostLeadership;
}

// Returns whether the endpoint did not serve the request in time. A request that the client cancelled after
// the first part of its response does not count: it was being served.
bool isUnserved(const PendingRequest& request, AttemptOutcome outcome) {
  return outcome == AttemptOutcome::Overloaded || outcome == AttemptOutcome::TimedOut ||
         (outcome == AttemptOutcome::Cancelled && !request.partForwarded);
}

// Returns whether the attempt timed out and nothing has come from the endpoint since it was sent.
bool isSilentTimeout(const EndpointState& endpoint, const PendingRequest& request,
                     const AttemptEnded& event) {
  return event.outcome == AttemptOutcome::TimedOut &&
         endpoint.outlier.silentSince() <= request.attempts[event.attempt].sentAt;
}

}  // namespace

void AttemptObserver::observeEnd(EndpointState& endpoint, const PendingRequest& request,
                                 const AttemptEnded& event) {
  const bool rejected = event.outcome == AttemptOutcome::Overloaded;
  if (rejected || event.outcome == AttemptOutcome::Ok)
    endpoint.evidence.observeAnswer(request.attempts[event.attempt].sentAt, rejected);
  if (isAnswer(event.outcome)) {
    endpoint.observeResponse(context_.now());
    observeRole(endpoint, request, event);
  }
  primaries_.observeReport(endpoint, event.report);
  observeConnection(endpoint, request, event);
  observeServed(endpoint, request, event);
  observeLatency(endpoint, request, event);
  observeSlowStart(endpoint, request, event);
  observePreference(endpoint, request, event);
  observeLimit(endpoint, request, event);
}

void AttemptObserver::observeHealthCheck(EndpointState& endpoint, const HealthCheckEnded& event) {
  healthChecks_.observeEnd(endpoint, event);
  endpoint.outlier.clearSuspicion();
  if (event.ok) {
    endpoint.evidence.observeHealthCheck(context_.now(), event);
    endpoint.observeResponse(context_.now());
    endpoint.outlier.endEjection();
    primaries_.observeReport(endpoint, event.report);
  } else if (!event.rejected) {
    endpoint.evidence.observeConnectionFailure(context_.now());
    endpoint.outlier.observeFailure(context_.now());
  }
  if (endpoint.healthCheck.connectRejected && event.ok && endpoint.listing.usable)
    scarcity_.observeConnectRejectedByLiveEndpoint(context_.now());
  endpoint.healthCheck.connectRejected = false;
}

void AttemptObserver::observeRole(EndpointState& endpoint, const PendingRequest& request,
                                  const AttemptEnded& event) {
  const bool notServable = event.outcome == AttemptOutcome::PreconditionFailed;
  const bool writeRejected = notServable && request.isWrite();
  const Role role = event.role.value_or(Role::Replica);
  // The endpoint may have lost the role while its answer was in transit, so a claim to be the primary counts
  // from the reported position or the time of sending.
  const Micros sentAt = request.attempts[event.attempt].sentAt;
  const Micros claimedAt = event.position ? context_.processTimeOf(*event.position) : sentAt;
  const Micros at = role == Role::Primary ? claimedAt : context_.now();
  if (event.role || writeRejected) primaries_.observeRole(endpoint, role, at);
  if (writeRejected)
    primaries_.observeWriteRejected(endpoint);
  else if (event.outcome == AttemptOutcome::Ok && request.isWrite())
    primaries_.observeWriteServed(endpoint);
  if (event.position) endpoint.freshness.observePosition(*event.position, context_);
  const RequiredFreshness required = requiredFreshness(request, context_);
  if (notServable && !event.position && !required.isNone())
    endpoint.freshness.observeTooOldFor(required, context_);
}

void AttemptObserver::observeConnection(EndpointState& endpoint, const PendingRequest& request,
                                        const AttemptEnded& event) {
  const bool reset = event.outcome == AttemptOutcome::ConnectionReset;
  const bool connectFailed = event.outcome == AttemptOutcome::ConnectFailed;
  const bool silent = isSilentTimeout(endpoint, request, event);
  if (reset) endpoint.outlier.observeConnectionReset();
  if (reset || silent || connectFailed) {
    endpoint.outlier.observeConnectionFailure(context_.now());
    endpoint.evidence.observeConnectionFailure(context_.now());
  }
  if (reset || connectFailed) observeLostConnection(endpoint, event);
  const bool unusable =
      reset || event.outcome == AttemptOutcome::TimedOut || event.outcome == AttemptOutcome::Malformed;
  if (unusable) endpoint.outlier.observeUnusableResult(context_.now());
  // With little traffic it takes too long until several unusable results in a row show that an endpoint is
  // down, so one silent timeout starts a health check.
  if (silent && context_.now() - endpoint.healthCheck.startedAt > kMinCheckInterval)
    healthChecks_.start(endpoint, HealthCheckReason::Unresponsive);
}

// One broken connection does not prove that an endpoint is down, so a health check is started. A slow connect
// counts as a failure at once, and so does a check that can't be started.
void AttemptObserver::observeLostConnection(EndpointState& endpoint, const AttemptEnded& event) {
  const bool connectFailed = event.outcome == AttemptOutcome::ConnectFailed;
  const Micros connectTimeout = context_.settings().connectTimeout;
  // A connect that fails quickly means that the endpoint is down or out of connections; a slow one got no
  // answer.
  const bool slow = connectFailed && event.elapsed >= connectTimeout / 2;
  if (slow) scarcity_.observeSlowConnect(context_.now());
  HealthCheckState& check = endpoint.healthCheck;
  check.connectRejected = check.connectRejected || (connectFailed && !slow && event.mayLackConnections);
  const bool checked =
      !slow && (healthChecks_.start(endpoint, HealthCheckReason::ConnectionBroken) || check.inProgress);
  if (!checked) endpoint.outlier.observeFailure(context_.now());
  if (!slow) endpoint.outlier.suspectUntil(context_.now() + connectTimeout);
}

void AttemptObserver::observeServed(const EndpointState& endpoint, const PendingRequest& request,
                                    const AttemptEnded& event) {
  const bool ok = event.outcome == AttemptOutcome::Ok;
  if (!ok && !isUnserved(request, event.outcome)) return;
  EndpointGroup& group = registry_.groupOf(request.request.group);
  ServedShare& served =
      &endpoint == primaries_.primaryOf(group, false) ? group.primaryServed : group.replicasServed;
  const bool inTime = context_.now() <= request.objectiveEnd;
  const double lateValue = context_.classAt(request.request.classIndex).lateValueShare;
  served.observe(!ok ? 0 : inTime ? 1 : lateValue);
}

void AttemptObserver::observeLatency(EndpointState& endpoint, const PendingRequest& request,
                                     const AttemptEnded& event) {
  const std::size_t classIndex = request.request.classIndex;
  const bool ok = event.outcome == AttemptOutcome::Ok;
  if (ok) {
    latency_.observeAnswer(classIndex, event.elapsed, slowStart_.capacityShare(endpoint));
    slowStart_.observeAnswer(endpoint, latency_.workOf(classIndex));
  }
  const double usual = latency_.latencyOf(classIndex);
  if (usual <= 0) return;
  if (event.outcome == AttemptOutcome::Error)
    endpoint.relativeLatency.observeError(context_.now());
  else if (ok || event.outcome == AttemptOutcome::TimedOut)
    endpoint.relativeLatency.observe(context_.now(), toDouble(event.elapsed) / usual);
}

void AttemptObserver::observeSlowStart(EndpointState& endpoint, const PendingRequest& request,
                                       const AttemptEnded& event) {
  const auto response = isUnserved(request, event.outcome)    ? SlowStart::Response::NotServed
                        : isSlow(request, event)              ? SlowStart::Response::Slow
                        : event.outcome != AttemptOutcome::Ok ? SlowStart::Response::Failed
                                                              : SlowStart::Response::Served;
  slowStart_.adjust(endpoint, response, event.elapsed, latency_.workOf(request.request.classIndex));
}

// Moves an endpoint that returned an error or did not serve in time to the back half of this gateway's order,
// permanently.
void AttemptObserver::observePreference(EndpointState& endpoint, const PendingRequest& request,
                                        const AttemptEnded& event) {
  if (isUnserved(request, event.outcome) || event.outcome == AttemptOutcome::Error)
    endpoint.preference = 0.5 * (1 + context_.random());
}

void AttemptObserver::observeLimit(EndpointState& endpoint, const PendingRequest& request,
                                   const AttemptEnded& event) const {
  const bool ok = event.outcome == AttemptOutcome::Ok;
  if (isUnserved(request, event.outcome) || (ok && isSlow(request, event)))
    endpoint.limit.decrease(context_.settings());
  else if (ok && endpoint.inFlight.work >= kUsedShareToGrow * endpoint.limit.value())
    endpoint.limit.increase();
}

bool AttemptObserver::isSlow(const PendingRequest& request, const AttemptEnded& event) const {
  const Micros objective = context_.classAt(request.request.classIndex).latencyObjective;
  return toDouble(event.elapsed) > kNearObjectiveShare * toDouble(objective);
}

}  // namespace heathflow::policy
