#include "policy/request_dispatcher.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

// Interval at which a queue that is not empty is dispatched, in addition to the dispatches after events.
constexpr Micros kQueueDispatchInterval = 20 * kMillisecond;

}  // namespace

RequestDispatcher::RequestDispatcher(PolicyContext& context, EndpointRegistry& registry,
                                     PrimaryTracker& primaries, HealthCheckScheduler& healthChecks,
                                     SlowStart& slowStart, LatencyEstimator& latency,
                                     AttemptObserver& observer)
    : context_(context),
      registry_(registry),
      primaries_(primaries),
      healthChecks_(healthChecks),
      slowStart_(slowStart),
      latency_(latency),
      observer_(observer),
      selection_(context, registry, primaries, healthChecks, slowStart, latency),
      retries_(context, latency) {}

// ---- Arrival ----

void RequestDispatcher::observeArrival(const RequestArrived& event) {
  const Request& request = event.request;
  if (!isServable(request)) return context_.emit(RejectRequest{request.id, 0});
  PendingRequest& pending = addRequest(request);
  latency_.observeArrival(request.classIndex);
  selection_.observeArrival();
  healthChecks_.observeArrival();
  retries_.observeArrival();

  EndpointGroup& group = registry_.groupOf(request.group);
  if (!requiredFreshness(pending, context_).isNone())
    group.positionedReads.add(1, context_.now(), context_.smallestStaleness());
  healthChecks_.refreshPositions(group);
  ServedShare& served = pending.needsPrimary() ? group.primaryServed : group.replicasServed;
  pending.admissionDraw = context_.random();
  if (served.shedsLoad(pending, context_.classAt(request.classIndex))) {
    served.observe(0);
    pending.reason = RejectReason::LoadShed;
    rejectOrFail(pending);
  } else {
    dispatch(pending, group);
  }
  eraseIfDone(request.id);
}

// Returns whether a request is valid and neither its deadline nor that of the shutdown has passed. A group
// that no endpoint list has named is not stored, so clients can't use up memory with invented groups.
bool RequestDispatcher::isServable(const Request& request) const {
  return request.classIndex < context_.settings().classes.size() && registry_.hasGroup(request.group) &&
         request.deadline > context_.now() && context_.now() < shutdownAt_;
}

PendingRequest& RequestDispatcher::addRequest(const Request& request) {
  PendingRequest& pending = requests_.insert_or_assign(request.id, PendingRequest{}).first->second;
  const RequestClassSettings& requestClass = context_.classAt(request.classIndex);
  pending.request = request;
  pending.arrivedAt = context_.now();
  const Micros extension = shareOf(requestClass.objectivePerEstimatedWork, request.estimatedWork.value_or(0));
  pending.objectiveEnd =
      std::min(context_.now() + requestClass.latencyObjective + extension, request.deadline);
  pending.consistency = requestClass.consistency;
  setRequiredToken(pending);
  return pending;
}

// Sets what a read has to see of earlier writes, and the consistency that follows from it.
void RequestDispatcher::setRequiredToken(PendingRequest& pending) {
  const Request& request = pending.request;
  const SessionTokenSource source = context_.settings().sessionTokens;
  if (pending.consistency == Consistency::Session) {
    if (source == SessionTokenSource::None) pending.consistency = Consistency::Strong;
    if (source == SessionTokenSource::Gateway) {
      pending.token = tokens_.tokenOf(request.session);
      // A write of the session may have run while its answer is still in transit.
      if (request.session != 0 && hasWriteInFlight(request.session))
        pending.consistency = Consistency::Strong;
    }
  }
  if (request.sessionToken) pending.token.include({.position = *request.sessionToken});
  if (pending.consistency == Consistency::Session && pending.token.isNone())
    pending.consistency = Consistency::Eventual;
  else if (pending.consistency == Consistency::Eventual && !pending.token.isNone())
    pending.consistency = Consistency::Session;
}

bool RequestDispatcher::hasWriteInFlight(std::uint64_t session) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    const PendingRequest& other = entry.second;
    return other.attemptsInFlight > 0 && other.request.session == session && other.isWrite();
  });
}

// ---- Sending and queueing ----

void RequestDispatcher::dispatch(PendingRequest& request, EndpointGroup& group) {
  if (context_.now() >= retries_.expiresAt(request)) request.reason = RejectReason::DeadlineTooClose;
  if (!retries_.mayAttempt(request, nullptr)) request.reason = RejectReason::NotRetryable;
  if (request.reason >= RejectReason::DeadlineTooClose) return rejectOrFail(request);
  if (trySend(request, group)) return;
  if (request.reason == RejectReason::EndpointListExpired) return rejectOrFail(request);
  // A client's retry has most likely used up its latency objective: if late answers have no value, it waits
  // for nothing but a health check.
  const RequestClassSettings& requestClass = context_.classAt(request.request.classIndex);
  const bool shortWait = request.reason == RejectReason::AwaitingHealthCheck;
  if (request.request.isClientRetry && requestClass.lateValueShare <= 0 && !shortWait)
    return rejectOrFail(request);
  enqueue(request, group);
}

bool RequestDispatcher::trySend(PendingRequest& request, EndpointGroup& group) {
  EndpointState* endpoint = selection_.select(request, group);
  if (endpoint == nullptr || !retries_.mayAttempt(request, endpoint)) return false;
  request.reason = RejectReason::None;
  send(request, *endpoint);
  return true;
}

void RequestDispatcher::send(PendingRequest& request, EndpointState& endpoint) {
  const std::size_t classIndex = request.request.classIndex;
  const double work = latency_.workOf(classIndex);
  const bool wasUnresponsive = endpoint.isUnresponsive(context_);
  // An endpoint may have lost its role since it last reported; with `asPrimary` its answer to this request
  // counts only if it is still the primary.
  const bool isPrimary = &endpoint == primaries_.primaryOf(registry_.groupOf(endpoint.info.group), false);
  const bool asPrimary = request.consistency == Consistency::Strong ||
                         (isPrimary && !requiredFreshness(request, context_).isNone());
  context_.emit(SendAttempt{request.request.id, endpoint.info.id, 0, asPrimary});
  const bool isLongRead = latency_.isLongRead(classIndex);
  request.attempts.push_back(
      {.endpoint = endpoint.info.id, .sentAt = context_.now(), .work = work, .isLongRead = isLongRead});
  ++request.attemptsInFlight;

  InFlightState& inFlight = endpoint.inFlight;
  if (isLongRead && inFlight.longReads++ == 0)
    inFlight.nextLongReadEndDue = selection_.nextLongReadEndDue(classIndex);
  if (inFlight.requests++ == 0) endpoint.outlier.observeFirstInFlight(context_.now());
  inFlight.work += work;
  selection_.observeSent(work, isPrimary);
  slowStart_.observeSent(endpoint, work);
  // The selection sends a write to an unresponsive endpoint too, and starts no health check for it. Without
  // this check, writes alone would never detect that the endpoint has become unresponsive.
  const Micros sinceCheck = context_.now() - endpoint.healthCheck.startedAt;
  if (wasUnresponsive && sinceCheck > EndpointState::responseTimeout(context_.settings()))
    healthChecks_.start(endpoint, HealthCheckReason::Unresponsive);
}

void RequestDispatcher::enqueue(PendingRequest& request, EndpointGroup& group) {
  group.queue.push(request.request.classIndex, request.request.id);
  request.queued = true;
  context_.setTimer(TimerKind::RequestExpiry, request.request.id,
                    retries_.expiresAt(request) - context_.now());
  setQueueTimer(request.request.group, group);
}

void RequestDispatcher::setQueueTimer(GroupId id, EndpointGroup& group) {
  if (group.queueTimerSet || group.queue.empty()) return;
  group.queueTimerSet = true;
  context_.setTimer(TimerKind::QueueDispatch, id,
                    std::max(kQueueDispatchInterval, context_.settings().timerResolution));
}

void RequestDispatcher::observeQueueTimer(GroupId id) {
  if (!registry_.hasGroup(id)) return;
  EndpointGroup& group = registry_.groupOf(id);
  group.queueTimerSet = false;
  dispatchQueued(group);
  setQueueTimer(id, group);
}

void RequestDispatcher::dispatchQueued(EndpointGroup& group) {
  if (group.queue.empty()) return;
  std::vector<bool> blocked(group.queue.classCount(), false);  // by class: its newest request can't be sent
  while (PendingRequest* request = nextQueued(group, blocked)) {
    const std::size_t classIndex = request->request.classIndex;
    if (trySend(*request, group)) {
      request->queued = false;
      group.queue.popNewest(classIndex);
    } else if (request->reason == RejectReason::EndpointListExpired) {
      rejectOrFail(*request);
    } else {
      blocked[classIndex] = true;
    }
  }
}

// Returns the queued request with the highest priority among the newest of each class that is not blocked, or
// nullptr if there is none.
PendingRequest* RequestDispatcher::nextQueued(EndpointGroup& group, const std::vector<bool>& blocked) {
  PendingRequest* best = nullptr;
  double bestPriority = 0;
  for (std::size_t classIndex = 0; classIndex < group.queue.classCount(); ++classIndex) {
    if (blocked[classIndex]) continue;
    expireQueued(group, classIndex);
    if (group.queue.empty(classIndex)) continue;
    PendingRequest& request = requests_.at(group.queue.newest(classIndex));
    const double priority = priorityOf(request);
    if (best != nullptr && priority <= bestPriority) continue;
    best = &request;
    bestPriority = priority;
  }
  return best;
}

void RequestDispatcher::expireQueued(EndpointGroup& group, std::size_t classIndex) {
  while (!group.queue.empty(classIndex)) {
    const RequestId id = group.queue.newest(classIndex);
    PendingRequest* request = find(id);
    const bool waits = request != nullptr && request->queued;
    if (waits && context_.now() < retries_.expiresAt(*request)) return;
    if (waits) rejectOrFail(*request);
    group.queue.popNewest(classIndex);
    eraseIfDone(id);
  }
}

double RequestDispatcher::priorityOf(const PendingRequest& request) const {
  const std::size_t classIndex = request.request.classIndex;
  const RequestClassSettings& requestClass = context_.classAt(classIndex);
  const double valueShare = context_.now() > request.objectiveEnd ? requestClass.lateValueShare : 1.0;
  return requestClass.priorityWeight * valueShare / latency_.workOf(classIndex);
}

// ---- Attempts ----

void RequestDispatcher::observeAttemptEnd(const AttemptEnded& event) {
  PendingRequest* request = find(event.request);
  if (request == nullptr || event.attempt >= request->attempts.size()) return;
  AttemptRecord& attempt = request->attempts[event.attempt];
  if (!attempt.inFlight) return;
  attempt.inFlight = false;
  --request->attemptsInFlight;
  attempt.mayHaveRun = !neverRan(event.outcome) && !event.rolledBack;
  if (EndpointState* endpoint = registry_.find(attempt.endpoint)) releaseEndpoint(*endpoint, *request, event);
  observeSessionWrite(*request, event);
  if (event.requestFinished) request->finished = true;
  EndpointGroup& group = registry_.groupOf(request->request.group);
  if (!request->finished && request->attemptsInFlight == 0) {
    if (retries_.takeRetry(*request, attempt, event.outcome))
      dispatch(*request, group);
    else
      rejectOrFail(*request);
  }
  eraseIfDone(event.request);
  dispatchQueued(group);
}

void RequestDispatcher::releaseEndpoint(EndpointState& endpoint, const PendingRequest& request,
                                        const AttemptEnded& event) {
  const AttemptRecord& attempt = request.attempts[event.attempt];
  const bool ok = event.outcome == AttemptOutcome::Ok;
  InFlightState& inFlight = endpoint.inFlight;
  inFlight.requests = std::max(0, inFlight.requests - 1);
  inFlight.work = inFlight.requests == 0 ? 0 : std::max(0.0, inFlight.work - attempt.work);
  if (attempt.isLongRead) --inFlight.longReads;
  if (attempt.isLongRead && ok)
    inFlight.nextLongReadEndDue = selection_.nextLongReadEndDue(request.request.classIndex);
  observer_.observeEnd(endpoint, request, event);
  // While connections are scarce, other gateways need those that would stay idle here.
  if (ok && observer_.connectionsAreScarce()) context_.emit(CloseIdleConnections{attempt.endpoint});
}

void RequestDispatcher::observeSessionWrite(const PendingRequest& request, const AttemptEnded& event) {
  const RequestClassSettings& requestClass = context_.classAt(request.request.classIndex);
  const bool mayHaveRun = request.attempts[event.attempt].mayHaveRun;
  if (!mayHaveRun || requestClass.consistency != Consistency::Write || request.request.session == 0) return;
  RequiredFreshness latest;
  if (event.outcome != AttemptOutcome::Ok) {
    // It may still start until the client's deadline, and then needs time to commit.
    latest.time = request.request.deadline + requestClass.latencyObjective;
  } else if (event.position) {
    latest.position = *event.position;
  } else {
    latest.time = context_.now();
  }
  tokens_.observeWrite(request.request.session, latest, context_);
}

// Cancels the other attempts: a client that has received a part of one response can't be served by another.
void RequestDispatcher::observePartForwarded(const ResponsePartForwarded& event) {
  PendingRequest* request = find(event.request);
  if (request == nullptr) return;
  request->partForwarded = true;
  cancelInFlight(*request, event.attempt);
}

// Repeats the checks for an attempt that had to wait for its connection, before it is written: its endpoint
// may by now be draining, have lost its role or be too stale. If so, the attempt is cancelled; when it ends,
// the request is dispatched again.
void RequestDispatcher::observeAttemptConnected(const AttemptConnected& event) {
  PendingRequest* request = find(event.request);
  if (request == nullptr || event.attempt >= request->attempts.size()) return;
  AttemptRecord& attempt = request->attempts[event.attempt];
  if (!attempt.inFlight) return;
  const EndpointState* endpoint = registry_.find(attempt.endpoint);
  const bool allowed = endpoint != nullptr && !request->finished && !request->partForwarded &&
                       selection_.stillQualifies(*endpoint, *request) &&
                       retries_.mayRun(*request, endpoint, event.attempt);
  if (allowed) return;
  attempt.cancelledUnsent = true;  // not written yet, so cancelling is allowed by all settings
  context_.emit(CancelAttempt{event.request, event.attempt});
}

// ---- Ends ----

// Cancels the attempts of a client that has disconnected, if the settings allow cancelling.
void RequestDispatcher::observeClientDisconnect(RequestId id) {
  if (const PendingRequest* request = find(id)) cancelInFlight(*request);
  finish(id);
}

void RequestDispatcher::finish(RequestId id) {
  PendingRequest* request = find(id);
  if (request == nullptr) return;
  request->finished = true;
  request->queued = false;
  eraseIfDone(id);
}

void RequestDispatcher::observeExpiryTimer(RequestId id) {
  PendingRequest* request = find(id);
  if (request == nullptr || !request->queued) return;
  const Micros left = retries_.expiresAt(*request) - context_.now();
  if (left > 0) return context_.setTimer(TimerKind::RequestExpiry, id, left);
  rejectOrFail(*request);
  eraseIfDone(id);
}

void RequestDispatcher::startShutdown(Micros deadline) {
  shutdownAt_ = deadline;
  context_.setTimer(TimerKind::Shutdown, 0, deadline - context_.now());
}

void RequestDispatcher::rejectOrFailAll() {
  for (auto next = requests_.begin(); next != requests_.end();) {
    PendingRequest& request = next++->second;
    rejectOrFail(request);
    cancelInFlight(request);
    eraseIfDone(request.request.id);
  }
}

void RequestDispatcher::rejectOrFail(PendingRequest& request) {
  if (request.finished) return;
  request.finished = true;
  request.queued = false;
  if (!retries_.mayReject(request)) return context_.emit(FailRequest{request.request.id, request.reason});
  const PolicySettings& settings = context_.settings();
  const Micros retryAfter = settings.retryAfterAllowed ? settings.maxRetryAfter : 0;
  context_.emit(RejectRequest{request.request.id, retryAfter, request.reason});
}

void RequestDispatcher::cancelInFlight(const PendingRequest& request, std::size_t except) {
  if (!context_.settings().cancellationAllowed) return;
  for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
    if (i != except && request.attempts[i].inFlight) context_.emit(CancelAttempt{request.request.id, i});
  }
}

void RequestDispatcher::eraseIfDone(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  if (found->second.finished && found->second.attemptsInFlight == 0) requests_.erase(found);
}

PendingRequest* RequestDispatcher::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

}  // namespace heathflow::policy
