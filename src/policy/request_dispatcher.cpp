#include "policy/request_dispatcher.h"

#include <algorithm>

namespace heathflow::policy {
namespace {

// A queue is looked at again so often when nothing else happens.
constexpr Micros kQueueRetryInterval = 20 * kMillisecond;
// A session token may have been rounded by so much on its way.
constexpr Micros kTokenRounding = kMillisecond;

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
  PendingRequest& pending = enter(request);
  latency_.observeArrival(request.classIndex);
  selection_.observeArrival();
  healthChecks_.observeArrival();
  retries_.observeArrival();

  EndpointGroup& group = registry_.groupOf(request.group);
  if (requiredPosition(pending, context_) != kNever)
    group.positionedReads.add(1, context_.now(), context_.smallestStaleness());
  healthChecks_.refreshPositions(group);
  ServedShare& served = pending.needsPrimary() ? group.primaryServed : group.replicasServed;
  pending.admissionDraw = context_.random();
  if (served.shedsLoad(pending, context_.classAt(request.classIndex))) {
    served.observe(0);
    pending.reason = RejectReason::LoadShed;
    conclude(pending);
  } else {
    place(pending, group);
  }
  eraseIfDone(request.id);
}

// Groups that only a client names take no memory.
bool RequestDispatcher::isServable(const Request& request) const {
  return request.classIndex < context_.settings().classes.size() && registry_.hasGroup(request.group) &&
         request.deadline > context_.now() && context_.now() < shutdownAt_;
}

PendingRequest& RequestDispatcher::enter(const Request& request) {
  PendingRequest& pending = requests_.insert_or_assign(request.id, PendingRequest{}).first->second;
  const RequestClassSettings& entry = context_.classAt(request.classIndex);
  pending.request = request;
  pending.arrivedAt = context_.now();
  const Micros extension = shareOf(entry.objectivePerEstimatedWork, request.estimatedWork.value_or(0));
  pending.objectiveEnd = std::min(context_.now() + entry.latencyObjective + extension, request.deadline);
  pending.consistency = entry.consistency;
  setRequiredToken(pending);
  return pending;
}

// The write that a read has to see, and the consistency that follows from it.
void RequestDispatcher::setRequiredToken(PendingRequest& pending) {
  const Request& request = pending.request;
  const SessionTokenSource source = context_.settings().sessionTokens;
  if (pending.consistency == Consistency::Session) {
    if (source == SessionTokenSource::None) pending.consistency = Consistency::Strong;
    if (source == SessionTokenSource::Gateway) {
      pending.token = tokens_.positionOf(request.session);
      // A write of the session may have run while its answer is still on its way.
      if (request.session != 0 && hasWriteInFlight(request.session))
        pending.consistency = Consistency::Strong;
    }
  }
  if (const auto age = request.timeSinceLastWrite) {
    const Micros rounded = std::min(*age, std::max<Micros>(0, *age - kTokenRounding));
    pending.token = std::max(pending.token, context_.now() - rounded);
  }
  if (pending.consistency == Consistency::Session && pending.token == kNever)
    pending.consistency = Consistency::Eventual;
  else if (pending.consistency == Consistency::Eventual && pending.token != kNever)
    pending.consistency = Consistency::Session;
}

bool RequestDispatcher::hasWriteInFlight(std::uint64_t session) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](const auto& entry) {
    const PendingRequest& other = entry.second;
    return other.attemptsInFlight > 0 && other.request.session == session && other.isWrite();
  });
}

// ---- Sending and queueing ----

void RequestDispatcher::place(PendingRequest& request, EndpointGroup& group) {
  if (context_.now() >= retries_.expiresAt(request)) request.reason = RejectReason::DeadlineTooClose;
  if (!retries_.mayAttempt(request, nullptr)) request.reason = RejectReason::NotRetryable;
  if (request.reason >= RejectReason::DeadlineTooClose) return conclude(request);
  if (trySend(request, group)) return;
  if (request.reason == RejectReason::EndpointListExpired) return conclude(request);
  // A client's retry has most likely spent its objective: where late answers have no value it never waits,
  // but for a health check.
  const RequestClassSettings& entry = context_.classAt(request.request.classIndex);
  const bool shortWait = request.reason == RejectReason::AwaitingHealthCheck;
  if (request.request.isClientRetry && entry.lateValueShare <= 0 && !shortWait) return conclude(request);
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
  // An endpoint may have lost its role since it last reported; its answer to this request shows it.
  const bool isPrimary = &endpoint == primaries_.primaryOf(registry_.groupOf(endpoint.info.group), false);
  const bool asPrimary = request.consistency == Consistency::Strong ||
                         (isPrimary && requiredPosition(request, context_) != kNever);
  context_.emit(SendAttempt{request.request.id, endpoint.info.id, 0, asPrimary});
  const bool isLongRead = latency_.isLongRead(classIndex);
  request.attempts.push_back(
      {.endpoint = endpoint.info.id, .sentAt = context_.now(), .work = work, .isLongRead = isLongRead});
  ++request.attemptsInFlight;

  InFlightState& inFlight = endpoint.inFlight;
  if (isLongRead && inFlight.longReads++ == 0) inFlight.longReadDue = selection_.longReadDue(classIndex);
  if (inFlight.requests++ == 0) endpoint.outlier.observeFirstInFlight(context_.now());
  inFlight.work += work;
  selection_.observeSent(work, isPrimary);
  slowStart_.observeSent(endpoint, work);
  // Writes would never show that an endpoint has become unresponsive with requests in flight.
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
  context_.setTimer(TimerKind::QueueRetry, id,
                    std::max(kQueueRetryInterval, context_.settings().timerResolution));
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
  std::vector<bool> blocked(group.queue.classCount(), false);  // by class: the newest can't be sent
  while (PendingRequest* request = nextQueued(group, blocked)) {
    const std::size_t classIndex = request->request.classIndex;
    if (trySend(*request, group)) {
      request->queued = false;
      group.queue.popNewest(classIndex);
    } else if (request->reason == RejectReason::EndpointListExpired) {
      conclude(*request);
    } else {
      blocked[classIndex] = true;
    }
  }
}

// The newest request of each class is considered; the one with the highest value for its work comes first.
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
    if (waits) conclude(*request);
    group.queue.popNewest(classIndex);
    eraseIfDone(id);
  }
}

double RequestDispatcher::priorityOf(const PendingRequest& request) const {
  const std::size_t classIndex = request.request.classIndex;
  const RequestClassSettings& entry = context_.classAt(classIndex);
  const double valueShare = context_.now() > request.objectiveEnd ? entry.lateValueShare : 1.0;
  return entry.priorityWeight * valueShare / latency_.workOf(classIndex);
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
  if (event.requestFinished) request->concluded = true;
  EndpointGroup& group = registry_.groupOf(request->request.group);
  if (!request->concluded && request->attemptsInFlight == 0) {
    if (retries_.takeRetry(*request, attempt, event.outcome))
      place(*request, group);
    else
      conclude(*request);
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
  if (attempt.isLongRead && ok) inFlight.longReadDue = selection_.longReadDue(request.request.classIndex);
  observer_.observeEnd(endpoint, request, event);
  // While connections are scarce other gateways need those that would stay idle here.
  if (ok && observer_.connectionsAreScarce()) context_.emit(CloseIdleConnections{attempt.endpoint});
}

void RequestDispatcher::observeSessionWrite(const PendingRequest& request, const AttemptEnded& event) {
  const RequestClassSettings& entry = context_.classAt(request.request.classIndex);
  const bool mayHaveRun = request.attempts[event.attempt].mayHaveRun;
  if (!mayHaveRun || entry.consistency != Consistency::Write || request.request.session == 0) return;
  // Without an answer the write may still be begun until the client gives up, and then takes its time to
  // commit.
  const LogPosition latest = event.outcome == AttemptOutcome::Ok
                                 ? event.position.value_or(context_.now())
                                 : request.request.deadline + entry.latencyObjective;
  tokens_.observeWrite(request.request.session, latest, context_.now());
}

// A client that has seen a part of one response can take no part of another: the request stays there.
void RequestDispatcher::observePartForwarded(const ResponsePartForwarded& event) {
  PendingRequest* request = find(event.request);
  if (request == nullptr) return;
  request->partForwarded = true;
  cancelInFlight(*request, event.attempt);
}

// What allowed an attempt that waited for its connection may no longer hold (a staleness bound, a drain, a
// lost role). Such an attempt is recalled, and the request placed anew.
void RequestDispatcher::observeAttemptConnected(const AttemptConnected& event) {
  PendingRequest* request = find(event.request);
  if (request == nullptr || event.attempt >= request->attempts.size()) return;
  AttemptRecord& attempt = request->attempts[event.attempt];
  if (!attempt.inFlight) return;
  const EndpointState* endpoint = registry_.find(attempt.endpoint);
  const bool allowed = endpoint != nullptr && !request->concluded && !request->partForwarded &&
                       selection_.stillQualifies(*endpoint, *request) &&
                       retries_.mayRun(*request, endpoint, event.attempt);
  if (allowed) return;
  attempt.recalled = true;  // it is not written yet, so that cancelling is always allowed
  context_.emit(CancelAttempt{event.request, event.attempt});
}

// ---- Ends ----

// Work for clients that have disconnected is cancelled where that is allowed.
void RequestDispatcher::observeClientDisconnect(RequestId id) {
  if (const PendingRequest* request = find(id)) cancelInFlight(*request);
  finish(id);
}

void RequestDispatcher::finish(RequestId id) {
  PendingRequest* request = find(id);
  if (request == nullptr) return;
  request->concluded = true;
  request->queued = false;
  eraseIfDone(id);
}

void RequestDispatcher::observeExpiryTimer(RequestId id) {
  PendingRequest* request = find(id);
  if (request == nullptr || !request->queued) return;
  const Micros left = retries_.expiresAt(*request) - context_.now();
  if (left > 0) return context_.setTimer(TimerKind::RequestExpiry, id, left);
  conclude(*request);
  eraseIfDone(id);
}

void RequestDispatcher::startShutdown(Micros deadline) {
  shutdownAt_ = deadline;
  context_.setTimer(TimerKind::Shutdown, 0, deadline - context_.now());
}

void RequestDispatcher::concludeAll() {
  for (auto next = requests_.begin(); next != requests_.end();) {
    PendingRequest& request = next++->second;
    conclude(request);
    cancelInFlight(request);
    eraseIfDone(request.request.id);
  }
}

void RequestDispatcher::conclude(PendingRequest& request) {
  if (request.concluded) return;
  request.concluded = true;
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
  if (found->second.concluded && found->second.attemptsInFlight == 0) requests_.erase(found);
}

PendingRequest* RequestDispatcher::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

}  // namespace heathflow::policy
