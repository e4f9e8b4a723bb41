#include "routing/attempt_manager.h"

#include <algorithm>
#include <string>
#include <utility>

#include "routing/attempt.h"
#include "routing/attempt_result.h"
#include "routing/request_trace.h"
#include "routing/scoped_flag.h"
#include "stats/enum_names.h"

namespace heathflow::routing {

using transport::kMicrosPerMilli;

void AttemptManager::start(const SendAttempt& action) {
  PendingRequest* request = env_.requests.find(action.request);
  if (request == nullptr) return;
  const auto index = static_cast<std::uint32_t>(request->attempts.size());
  request->attempts.push_back(std::make_unique<Attempt>(*this, env_.loop, *request, index, action.endpoint));
  Attempt& attempt = *request->attempts.back();
  ++request->attemptsInFlight;
  countAttempt(*request);
  if (env_.observer.tracing) {
    trace(env_.observer, *request,
          "attempt " + std::to_string(attempt.index) + " at " + env_.pool.addressText(action.endpoint) +
              ", using " + env_.listStatus.describe(env_.loop.now()));
  }
  env_.observer.upstreamStats.attemptStarted(action.endpoint);
  attempt.asPrimary = action.asPrimary;
  attempt.deadline =
      action.abandonAt == 0 ? request->deadline : std::min(action.abandonAt, request->deadline);
  if (request->owner == nullptr || attempt.deadline <= env_.loop.now()) {
    return end(attempt, AttemptOutcome::NotSent, nullptr);
  }
  attempt.timeout.arm(attempt.deadline);
  connect(attempt);
}

// Counts the newest attempt of the request.
void AttemptManager::countAttempt(const PendingRequest& request) {
  stats::Counters& counters = env_.observer.counters;
  ++counters.attemptsStarted;
  if (request.attempts.size() > 1) {
    const AttemptOutcome previousOutcome = request.attempts[request.attempts.size() - 2]->outcome;
    ++counters.retriedAfter[static_cast<std::size_t>(previousOutcome)];
  }
  if (env_.listStatus.expired) ++counters.attemptsOnExpiredList;
}

void AttemptManager::connect(Attempt& attempt) {
  using StartResult = upstream::ConnectionPool::StartResult;
  switch (env_.pool.start(attempt.endpoint, attempt.request.protocol, attempt, attempt.connection)) {
    case StartResult::Started:
      return;
    case StartResult::LocalShortage:
      env_.observer.log(stats::Topic::Limits, "attempt " + std::to_string(attempt.index) + " at " +
                                                  env_.pool.addressText(attempt.endpoint) +
                                                  " was not sent: no socket can be opened for it");
      return end(attempt, AttemptOutcome::NotSent, nullptr);
    case StartResult::Unreachable:
      return end(attempt, AttemptOutcome::ConnectFailed, nullptr);
  }
}

// Writes the request as received, but with its timeout replaced by the time that is left. If the attempt had
// to wait for its connection, the policy confirms it first.
// @return false if the request must not be written any more or could not be written.
bool AttemptManager::write(Attempt& attempt, protocol::EndpointSide& side, transport::Buffer& out) {
  const PendingRequest& request = attempt.request;
  const Micros now = env_.loop.now();
  // The client may have disconnected, or the deadline passed, in the same turn of the event loop.
  if (request.owner == nullptr || attempt.deadline <= now) return false;
  if (now > attempt.startedAt) {
    const ScopedFlag confirming(attempt.confirmingWrite);
    env_.policy.post(AttemptConnected{request.id, attempt.index});
    if (attempt.writeRevoked || request.owner == nullptr) return false;
  }
  const Micros leftMs = std::max<Micros>(1, (attempt.deadline - now) / kMicrosPerMilli);
  if (!env_.checker.maySend(now, {request.id, attempt.index, attempt.endpoint, leftMs * kMicrosPerMilli}))
    return false;
  ++env_.observer.counters.attemptsWritten;
  const std::string_view bytes = request.owner->requestBytes();
  out.reserveOrReclaim(out.size() + bytes.size() + protocol::EndpointSide::kRewriteHeadroom);
  return side.writeRequest(bytes, request.timeout, leftMs, out);
}

bool AttemptManager::canWriteMore(RequestId id, std::size_t size) {
  const PendingRequest* request = env_.requests.find(id);
  if (request == nullptr) return false;
  bool writable = true;
  for (const auto& attempt : request->attempts) {
    if (attempt->connection != nullptr && !attempt->connection->canWriteMore(size)) writable = false;
  }
  return writable;
}

void AttemptManager::writeMore(RequestId id, std::string_view message) {
  const PendingRequest* request = env_.requests.find(id);
  if (request == nullptr) return;
  for (const auto& attempt : request->attempts) {
    if (attempt->connection == nullptr) continue;
    if (attempt->clientWaitSince != 0)
      attempt->clientWaitTotal += env_.loop.now() - std::exchange(attempt->clientWaitSince, 0);
    attempt->connection->writeMore(message);
  }
}

void AttemptManager::resumeResponse(RequestId id) {
  const PendingRequest* request = env_.requests.find(id);
  if (request == nullptr || request->respondingAttempt == nullptr) return;
  upstream::EndpointConnection* connection = request->respondingAttempt->connection;
  if (connection != nullptr) connection->resumeResponse();
}

// Forwards a part of the response. The first part binds the request to this attempt, because its client has
// then seen some of the response.
// @return false while the owner can't take the part.
bool AttemptManager::onResponsePart(Attempt& attempt, const protocol::Answer& answer,
                                    std::string_view bytes) {
  PendingRequest& request = attempt.request;
  // The part is dropped if the request has ended or another attempt is responding.
  if (request.owner == nullptr) return true;
  if (request.respondingAttempt != nullptr && request.respondingAttempt != &attempt) return true;
  if (!request.owner->canTakeResponse(answer.size())) return false;
  if (request.respondingAttempt == nullptr) {
    request.respondingAttempt = &attempt;
    env_.policy.post(ResponsePartForwarded{request.id, attempt.index});
    if (request.owner == nullptr) return true;
  }
  if (!attempt.connection->awaitsEndpoint()) attempt.clientWaitSince = env_.loop.now();
  if (!request.owner->onResponsePart(answer, bytes) && !attempt.ended)
    abort(attempt, AttemptOutcome::Cancelled);
  return true;
}

void AttemptManager::onExchangeEnd(Attempt& attempt, const upstream::ExchangeEnd& exchangeEnd) {
  end(attempt, outcomeOf(exchangeEnd), &exchangeEnd);
}

void AttemptManager::onTimeout(Attempt& attempt) {
  const bool waitsForClient = attempt.clientWaitSince != 0 || attempt.connection->paused();
  abort(attempt, waitsForClient ? AttemptOutcome::Abandoned : AttemptOutcome::TimedOut);
}

void AttemptManager::cancel(const CancelAttempt& action) {
  const PendingRequest* request = env_.requests.find(action.request);
  if (request == nullptr || action.attempt >= request->attempts.size()) return;
  Attempt& attempt = *request->attempts[action.attempt];
  if (attempt.ended) return;
  if (attempt.confirmingWrite) {
    // The connection is ready and nothing of the request was written to it, so it is kept for other requests.
    attempt.writeRevoked = true;
    return;
  }
  abort(attempt, AttemptOutcome::Cancelled);
}

// The connection is closed before the policy can start another attempt.
void AttemptManager::abort(Attempt& attempt, AttemptOutcome outcome) {
  const bool written = attempt.connection->requestWritten();
  const bool rolledBack = attempt.connection->rolledBackByClose();
  attempt.connection->abort();
  // If too little of the request was written for it to run, the attempt counts as not sent.
  end(attempt, written ? outcome : AttemptOutcome::NotSent, nullptr, rolledBack);
}

void AttemptManager::end(Attempt& attempt, AttemptOutcome outcome, const upstream::ExchangeEnd* exchangeEnd,
                         bool rolledBack) {
  if (attempt.ended) return;
  attempt.ended = true;
  attempt.timeout.disarm();
  attempt.connection = nullptr;
  PendingRequest& request = attempt.request;
  const RequestId id = request.id;
  AttemptEnded event = describeEnd(attempt, outcome, exchangeEnd);
  event.rolledBack = event.rolledBack || rolledBack;
  attempt.outcome = event.outcome;
  recordEnd(attempt, event);
  --request.attemptsInFlight;
  // Once another attempt is responding, the response of this one is dropped.
  const bool dropped = request.respondingAttempt != nullptr && request.respondingAttempt != &attempt;
  RequestOwner* owner = dropped ? nullptr : request.owner;
  const bool served = event.outcome == AttemptOutcome::Ok && owner != nullptr;
  if (served) {
    ++env_.observer.counters.requestsServed;
    env_.checker.requestAnswered(id, invariants::InvariantChecker::FinalAnswer::Served);
    env_.requests.finish(request);
  }
  event.requestFinished = !dropped && (owner == nullptr || event.outcome == AttemptOutcome::Ok);
  // The policy is notified before the client, so that it knows this result when it decides on the client's
  // next request.
  env_.policy.post(event);
  if (served) owner->onResponse(*exchangeEnd->answer, exchangeEnd->bytes);
  env_.requests.removeIfDone(id);
}

AttemptEnded AttemptManager::describeEnd(Attempt& attempt, AttemptOutcome outcome,
                                         const upstream::ExchangeEnd* exchangeEnd) {
  const Micros now = env_.loop.now();
  AttemptEnded event;
  event.request = attempt.request.id;
  event.attempt = attempt.index;
  event.endpoint = attempt.endpoint;
  event.mayLackConnections = false;
  if (exchangeEnd != nullptr) {
    readResponseMetadata(env_.settings, *exchangeEnd, now, env_.endpointTime, event);
    event.rolledBack = exchangeEnd->rolledBack;
    event.mayLackConnections = exchangeEnd->cause == upstream::ExchangeEnd::Cause::ConnectionRejected;
  }
  // A response that has been forwarded in part can't be discarded any more.
  const bool lostLeadership =
      attempt.asPrimary && event.role == Role::Replica && attempt.request.respondingAttempt != &attempt;
  event.outcome = outcome == AttemptOutcome::Ok && lostLeadership ? AttemptOutcome::LostLeadership : outcome;
  if (attempt.clientWaitSince != 0) attempt.clientWaitTotal += now - attempt.clientWaitSince;
  event.elapsed = now - attempt.startedAt - attempt.clientWaitTotal;
  return event;
}

void AttemptManager::recordEnd(const Attempt& attempt, const AttemptEnded& event) {
  stats::Counters& counters = env_.observer.counters;
  ++counters.attemptsEnded[static_cast<std::size_t>(event.outcome)];
  if (event.outcome == AttemptOutcome::Ok)
    counters.successfulAttemptTime += static_cast<std::uint64_t>(std::max<Micros>(0, event.elapsed));
  if (env_.observer.tracing) {
    trace(env_.observer, attempt.request,
          "attempt " + std::to_string(attempt.index) + " ended: " + stats::nameOf(event.outcome) + " after " +
              std::to_string((env_.loop.now() - attempt.startedAt) / kMicrosPerMilli) + " ms");
  }
  env_.checker.attemptEnded(event.request, event.attempt, mayHaveRun(event.outcome) && !event.rolledBack);
}

}  // namespace heathflow::routing
