#include "routing/router.h"

#include <algorithm>
#include <string>
#include <utility>

#include "common/overloaded.h"
#include "routing/outcome.h"

namespace heathflow::routing {
namespace {

// Sets a flag for as long as it lives, also where an exception cuts that short.
class Raised {
 public:
  explicit Raised(bool& flag) : flag_(flag) { flag_ = true; }
  ~Raised() { flag_ = false; }
  Raised(const Raised&) = delete;
  Raised& operator=(const Raised&) = delete;

 private:
  bool& flag_;
};

using transport::kMicrosPerMilli;

// What is read in one turn of the loop may still be written in it.
constexpr Micros kDrainGraceLeast = 50'000;

}  // namespace

struct Router::RequestState {
  RequestId id = 0;
  Requester* requester = nullptr;  // null once it has its answer or has left
  std::string name;                // where each step is logged
  std::size_t protocol = 0;
  protocol::Slice timeout;
  Micros deadline = 0;
  AttemptState* bound = nullptr;  // a part of its answer has been passed on
  std::vector<std::unique_ptr<AttemptState>> attempts;
  std::size_t pending = 0;
};

struct Router::AttemptState final : Exchange {
  AttemptState(Router& owner, RequestState& of, std::uint32_t number, EndpointId to)
      : router(owner),
        request(of),
        index(number),
        endpoint(to),
        startedAt(owner.loop_.now()),
        limit(owner.loop_, [this] { router.attemptOverdue(*this); }) {}

  // The request goes out as it came, but for the time that is left. Where it had to wait for its connection
  // the routing policy is asked once more.
  bool write(protocol::EndpointSide& side, transport::Buffer& out) override {
    // What came first in this turn goes first: the client's leaving, or the end of the attempt's time.
    if (request.requester == nullptr || until <= router.loop_.now()) return false;
    if (router.loop_.now() > startedAt) {
      const Raised vetting(asking);
      router.post(AttemptConnected{request.id, index});
      if (recalled || request.requester == nullptr) return false;
    }
    const Micros left = std::max<Micros>(1, (until - router.loop_.now()) / kMicrosPerMilli);
    if (!router.checker_.maySend(router.loop_.now(), {request.id, index, endpoint, left * kMicrosPerMilli}))
      return false;
    ++router.observer_.counters.attemptsWritten;
    return side.ask(request.requester->wire(), request.timeout, left, out);
  }
  bool onPart(const protocol::Answer& answer, std::string_view bytes) override {
    return router.passOn(*this, answer, bytes);
  }
  bool hasRoom(std::size_t size) const override {
    return request.bound != this || request.requester == nullptr || request.requester->hasRoom(size);
  }
  void onRoom() override {
    if (request.requester != nullptr) request.requester->onRoom();
  }
  void onExchangeEnd(const ExchangeEnd& end) override { router.attemptEnded(*this, outcomeOf(end), &end); }

  Router& router;
  RequestState& request;
  std::uint32_t index;
  EndpointId endpoint;
  Micros startedAt;
  Micros until = 0;
  bool asPrimary = false;
  Micros waitedSince = 0;  // for its client, with nothing owed by the endpoint; 0: it does not
  Micros waited = 0;       // and before that
  EndpointConnection* connection = nullptr;
  bool ended = false;
  AttemptOutcome outcome = AttemptOutcome::Cancelled;  // once it has ended
  bool asking = false;                                 // whether it may still be written
  bool recalled = false;                               // it may not
  transport::Timer limit;
};

struct Router::HealthCheckState final : Exchange {
  HealthCheckState(Router& owner, EndpointId to)
      : router(owner),
        endpoint(to),
        startedAt(owner.loop_.now()),
        limit(owner.loop_, [this] { router.healthCheckOverdue(*this); }) {}

  stats::Purpose purpose() const override { return stats::Purpose::HealthCheck; }
  bool write(protocol::EndpointSide& side, transport::Buffer& out) override {
    return side.askHealthCheck(out);
  }
  void onExchangeEnd(const ExchangeEnd& end) override {
    // A connection that breaks says nothing of its endpoint: once more, on a new one.
    if (end.dropped && !std::exchange(repeated, true))
      return router.startHealthCheck(*this, ConnectionPool::Over::NewOne);
    HealthCheckEnded event =
        healthCheckEndOf(router.settings_, end, router.loop_.now(), router.endpointTime_);
    if (event.ok) event.connectionAge = connection->connectionAge();
    router.healthCheckEnded(*this, event);
  }

  Router& router;
  EndpointId endpoint;
  Micros startedAt;
  EndpointConnection* connection = nullptr;
  bool repeated = false;
  transport::Timer limit;
};

Router::Router(transport::EventLoop& loop, settings::InstanceSettings settings, std::uint64_t seed,
               ConnectionPool& pool, Observer& observer)
    : loop_(loop),
      settings_(std::move(settings)),
      pool_(pool),
      observer_(observer),
      nextTimer_(loop, [this] { fireDueTimers(); }),
      checker_(settings_.policy, std::max(settings_.drainGrace, kDrainGraceLeast),
               [this](invariants::Invariant invariant, RequestId request) {
                 invariantBroken(invariant, request);
               }),
      policy_(settings_.policy, seed, loop.now(), actions_) {}

Router::~Router() = default;

void Router::endpointsChanged(EndpointsChanged event) {
  checker_.listTaken(loop_.now(), event);
  if (event.scope != EndpointsChanged::Scope::Failed) {
    listExpired_ = false;
    listTakenAt_ = loop_.now();
  }
  post(std::move(event));
}

void Router::listExpired(EndpointListExpired event) {
  listExpired_ = true;
  post(event);
}

// The ground on which an attempt goes out.
std::string Router::listState() const {
  return std::string(listExpired_ ? "an expired list" : "a list") + " of " +
         std::to_string((loop_.now() - listTakenAt_) / kMicrosPerMilli) + " ms ago";
}

void Router::invariantBroken(invariants::Invariant invariant, RequestId request) {
  ++observer_.counters.broken[static_cast<std::size_t>(invariant)];
  const auto found = requests_.find(request);
  const Requester* requester = found == requests_.end() ? nullptr : found->second->requester;
  About about;
  if (requester != nullptr) about.request = requester->name();
  observer_.note(Topic::Invariants,
                 std::string("broken: ") + invariants::nameOf(invariant) + " request " +
                     std::string(about.request.empty() ? "unknown" : about.request),
                 about);
}

void Router::trace(const RequestState& state, const std::string& text) const {
  About about;
  about.request = state.name;
  observer_.trace(Topic::Requests, state.name + ": " + text, about);
}

void Router::traceEnd(RequestId id, const char* how, RejectReason why) const {
  const auto found = requests_.find(id);
  if (!observer_.tracing || found == requests_.end() || found->second->requester == nullptr) return;
  trace(*found->second, std::string(how) + " for " + std::string(stats::nameOf(why)));
}

void Router::post(Event event) {
  events_.push_back(std::move(event));
  run();
}

// Events are handled one after the other: what an action brings about at once waits for its turn.
void Router::run() {
  if (running_) return;
  const Raised running(running_);
  std::vector<Action> batch;
  for (;;) {
    batch.swap(actions_);
    for (const Action& action : batch) perform(action);
    batch.clear();
    if (events_.empty()) break;
    const Event event = std::move(events_.front());
    events_.pop_front();
    policy_.handle(loop_.now(), event, actions_);
  }
}

void Router::perform(const Action& action) {
  std::visit(Overloaded{
                 [&](const SendAttempt& a) { attempt(a); },
                 [&](const CancelAttempt& a) { cancel(a); },
                 [&](const RejectRequest& a) {
                   traceEnd(a.request, "refused", a.reason);
                   Requester* requester = settle(a.request, observer_.counters.requestsRejected);
                   if (requester == nullptr) return;
                   observer_.upstreamStats.givenUp(a.reason);
                   checker_.answered(a.request, invariants::InvariantChecker::Final::Rejected);
                   requester->rejected(a.retryAfter);
                 },
                 [&](const FailRequest& a) {
                   traceEnd(a.request, "failed", a.reason);
                   Requester* requester = settle(a.request, observer_.counters.requestsFailed);
                   if (requester == nullptr) return;
                   observer_.upstreamStats.givenUp(a.reason);
                   checker_.answered(a.request, invariants::InvariantChecker::Final::Failed);
                   requester->failed();
                 },
                 [&](const StartHealthCheck& a) { healthCheck(a); },
                 [&](const CloseIdleConnections& a) { pool_.closeIdle(a.endpoint); },
                 [&](const SubscribeToEndpoints&) {
                   if (subscribe_) subscribe_();
                 },
                 [&](const SetTimer& a) {
                   timers_.push({loop_.now() + a.after, ++timerOrder_, a.token});
                   if (timers_.top().order == timerOrder_) nextTimer_.arm(timers_.top().at);
                 },
             },
             action);
}

// The request gets its answer now, or is left: who waits for it, or null where nobody does any more.
Requester* Router::settle(RequestId id, std::uint64_t& counter) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second->requester == nullptr) return nullptr;
  Requester* requester = found->second->requester;
  ++counter;
  finish(*found->second);
  return requester;
}

void Router::fireDueTimers() {
  while (!timers_.empty() && timers_.top().at <= loop_.now()) {
    const std::uint64_t token = timers_.top().token;
    timers_.pop();
    post(TimerFired{token});
  }
  if (!timers_.empty()) nextTimer_.arm(timers_.top().at);
}

void Router::submit(Requester& requester, Request request, std::size_t protocol, protocol::Slice timeout,
                    RequestId& id) {
  id = request.id = ++lastId_;
  auto state = std::make_unique<RequestState>();
  state->id = request.id;
  state->requester = &requester;
  state->protocol = protocol;
  state->timeout = timeout;
  state->deadline = request.deadline;
  if (observer_.tracing) {
    state->name = requester.name();
    trace(*state, "taken, class " + settings_.classNames[request.classIndex] + ", " +
                      std::to_string((request.deadline - loop_.now()) / kMicrosPerMilli) + " ms left");
  }
  checker_.taken(request);
  requests_.emplace(request.id, std::move(state));
  ++observer_.counters.requestsTaken;
  post(RequestArrived{request});
}

bool Router::takesMore(RequestId request, std::size_t size) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return false;
  bool room = true;
  for (const auto& attempt : found->second->attempts) {
    if (attempt->connection != nullptr && !attempt->connection->takesMore(size)) room = false;
  }
  return room;
}

void Router::more(RequestId request, std::string_view message) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  for (const auto& attempt : found->second->attempts) {
    if (attempt->connection == nullptr) continue;
    if (attempt->waitedSince != 0) attempt->waited += loop_.now() - std::exchange(attempt->waitedSince, 0);
    attempt->connection->more(message);
  }
}

void Router::resume(RequestId request) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second->bound == nullptr) return;
  EndpointConnection* connection = found->second->bound->connection;
  if (connection != nullptr) connection->resume();
}

// A part of an answer. With the first the request is bound to this attempt: its client has seen of it.
bool Router::passOn(AttemptState& attempt, const protocol::Answer& answer, std::string_view bytes) {
  RequestState& state = attempt.request;
  // Nobody waits for it, or another attempt's answer is under way.
  if (state.requester == nullptr || (state.bound != nullptr && state.bound != &attempt)) return true;
  if (!state.requester->hasRoom(answer.size())) return false;
  if (state.bound == nullptr) {
    state.bound = &attempt;
    post(ResponsePartForwarded{state.id, attempt.index});
    if (state.requester == nullptr) return true;
  }
  if (!attempt.connection->owes()) attempt.waitedSince = loop_.now();
  if (!state.requester->passOn(answer, bytes) && !attempt.ended) giveUp(attempt, AttemptOutcome::Cancelled);
  return true;
}

void Router::left(RequestId request) {
  const auto found = requests_.find(request);
  if (observer_.tracing && found != requests_.end()) trace(*found->second, "its client left");
  checker_.left(request);
  if (settle(request, observer_.counters.requestsLeft) != nullptr) post(ClientDisconnected{request});
}

// The request has its one answer, or nobody waits for it.
void Router::finish(RequestState& state) {
  state.requester = nullptr;
  eraseIfDone(state.id);
}

void Router::eraseIfDone(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second->requester != nullptr || found->second->pending != 0) return;
  checker_.forget(id);
  loop_.retire(std::move(found->second));
  requests_.erase(found);
}

void Router::attempt(const SendAttempt& action) {
  const auto found = requests_.find(action.request);
  if (found == requests_.end()) return;
  RequestState& state = *found->second;
  state.attempts.push_back(std::make_unique<AttemptState>(
      *this, state, static_cast<std::uint32_t>(state.attempts.size()), action.endpoint));
  AttemptState& attempt = *state.attempts.back();
  ++state.pending;
  ++observer_.counters.attemptsMade;
  if (state.attempts.size() > 1) {
    const AttemptOutcome before = state.attempts[state.attempts.size() - 2]->outcome;
    ++observer_.counters.retriedAfter[static_cast<std::size_t>(before)];
  }
  if (listExpired_) ++observer_.counters.attemptsOnExpiredList;
  if (observer_.tracing)
    trace(state, "attempt " + std::to_string(attempt.index) + " at " + pool_.whereOf(action.endpoint) +
                     ", by " + listState());
  observer_.upstreamStats.sent(action.endpoint);
  attempt.asPrimary = action.asPrimary;
  attempt.until = action.abandonAt == 0 ? state.deadline : std::min(action.abandonAt, state.deadline);
  if (state.requester == nullptr || attempt.until <= loop_.now()) {
    return attemptEnded(attempt, AttemptOutcome::NotSent, nullptr);
  }
  attempt.limit.arm(attempt.until);
  switch (pool_.start(action.endpoint, state.protocol, attempt, attempt.connection)) {
    case ConnectionPool::Started::Yes:
      return;
    case ConnectionPool::Started::NoRoom:
      observer_.note(Topic::Limits, "an attempt was not sent: no descriptor is left for it");
      return attemptEnded(attempt, AttemptOutcome::NotSent, nullptr);
    case ConnectionPool::Started::Unreachable:
      return attemptEnded(attempt, AttemptOutcome::ConnectFailed, nullptr);
  }
}

// The routing policy, or the client's time, has given it up. The connection closes before anything else goes
// out.
void Router::attemptOverdue(AttemptState& attempt) {
  const bool withClient = attempt.waitedSince != 0 || attempt.connection->paused();
  giveUp(attempt, withClient ? AttemptOutcome::Abandoned : AttemptOutcome::TimedOut);
}

void Router::giveUp(AttemptState& attempt, AttemptOutcome outcome) {
  const bool written = attempt.connection->writtenWhole();
  const bool rolledBack = attempt.connection->undoneIfBroken();
  attempt.connection->abandon();
  // What was never written whole has never run.
  attemptEnded(attempt, written ? outcome : AttemptOutcome::NotSent, nullptr, rolledBack);
}

void Router::cancel(const CancelAttempt& action) {
  const auto found = requests_.find(action.request);
  if (found == requests_.end() || action.attempt >= found->second->attempts.size()) return;
  AttemptState& attempt = *found->second->attempts[action.attempt];
  if (attempt.ended) return;
  if (attempt.asking) {
    // Its connection is up and unused: it is kept for others.
    attempt.recalled = true;
    return;
  }
  giveUp(attempt, AttemptOutcome::Cancelled);
}

void Router::attemptEnded(AttemptState& attempt, AttemptOutcome outcome, const ExchangeEnd* end,
                          bool rolledBack) {
  if (attempt.ended) return;
  attempt.ended = true;
  attempt.limit.disarm();
  attempt.connection = nullptr;
  RequestState& state = attempt.request;
  const RequestId id = state.id;
  AttemptEnded event;
  if (end != nullptr) readNews(settings_, *end, loop_.now(), endpointTime_, event);
  // What a client has seen a part of can't be taken back.
  const bool fell = attempt.asPrimary && event.role == Role::Replica && state.bound != &attempt;
  if (outcome == AttemptOutcome::Ok && fell) outcome = AttemptOutcome::LostLeadership;
  ++observer_.counters.attemptsEnded[static_cast<std::size_t>(outcome)];
  attempt.outcome = outcome;
  if (observer_.tracing)
    trace(state, "attempt " + std::to_string(attempt.index) + " ended: " + nameOf(outcome) + " after " +
                     std::to_string((loop_.now() - attempt.startedAt) / kMicrosPerMilli) + " ms");
  event.request = id;
  event.attempt = attempt.index;
  event.endpoint = attempt.endpoint;
  event.outcome = outcome;
  if (attempt.waitedSince != 0) attempt.waited += loop_.now() - attempt.waitedSince;
  event.elapsed = loop_.now() - attempt.startedAt - attempt.waited;
  if (outcome == AttemptOutcome::Ok)
    observer_.counters.answersTook += static_cast<std::uint64_t>(std::max<Micros>(0, event.elapsed));
  event.rolledBack = rolledBack || (end != nullptr && end->rolledBack);
  checker_.ended(id, attempt.index, mayHaveRun(outcome) && !event.rolledBack);
  // An endpoint that has no room for a connection says so.
  event.mayLackConnections = end != nullptr && end->cause == ExchangeEnd::Cause::TurnedDown;
  --state.pending;
  // Once another attempt's answer is under way this one's is nobody's.
  const bool stray = state.bound != nullptr && state.bound != &attempt;
  Requester* requester = stray ? nullptr : state.requester;
  if (outcome == AttemptOutcome::Ok && requester != nullptr) {
    ++observer_.counters.requestsServed;
    checker_.answered(id, invariants::InvariantChecker::Final::Served);
    finish(state);
  }
  event.requestFinished = !stray && (requester == nullptr || outcome == AttemptOutcome::Ok);
  // The routing policy hears of it first: what the client asks next is decided with this known.
  post(event);
  if (outcome == AttemptOutcome::Ok && requester != nullptr) requester->served(*end->answer, end->bytes);
  eraseIfDone(id);
}

void Router::healthCheck(const StartHealthCheck& action) {
  const EndpointId endpoint = action.endpoint;
  if (healthChecks_.contains(endpoint)) return;
  ++observer_.counters.healthChecksMade;
  observer_.upstreamStats.healthChecked(endpoint, action.reason);
  HealthCheckState& state =
      *healthChecks_.emplace(endpoint, std::make_unique<HealthCheckState>(*this, endpoint)).first->second;
  // A health check has no limit of its own in the settings: it gets that of a connection.
  state.limit.arm(loop_.now() + settings_.policy.connectTimeout);
  startHealthCheck(
      state, action.onOldestConnection ? ConnectionPool::Over::OldestIdle : ConnectionPool::Over::NewestIdle);
}

void Router::startHealthCheck(HealthCheckState& healthCheck, ConnectionPool::Over over) {
  switch (pool_.start(healthCheck.endpoint, pool_.protocolFor(healthCheck.endpoint), healthCheck,
                      healthCheck.connection, over)) {
    case ConnectionPool::Started::Yes:
      return;
    case ConnectionPool::Started::NoRoom: {
      // Our own want of descriptors says nothing against the endpoint.
      HealthCheckEnded notNow;
      notNow.rejected = true;
      return healthCheckEnded(healthCheck, notNow);
    }
    case ConnectionPool::Started::Unreachable:
      return healthCheckEnded(healthCheck, {});
  }
}

void Router::healthCheckOverdue(HealthCheckState& healthCheck) {
  // Guards against a machine that vanished: its connections stay open and silent, or are reset once it is
  // back. Where even a health check gets no byte, those that were idle before it are no more alive.
  const bool silent = healthCheck.connection->silent();
  healthCheck.connection->abandon();
  if (silent) pool_.closeIdle(healthCheck.endpoint, healthCheck.startedAt);
  healthCheckEnded(healthCheck, {});
}

void Router::healthCheckEnded(HealthCheckState& healthCheck, HealthCheckEnded event) {
  const auto found = healthChecks_.find(healthCheck.endpoint);
  if (found == healthChecks_.end() || found->second.get() != &healthCheck) return;
  healthCheck.limit.disarm();
  event.endpoint = healthCheck.endpoint;
  event.elapsed = loop_.now() - healthCheck.startedAt;
  ++(event.ok         ? observer_.counters.healthChecksAnswered
     : event.rejected ? observer_.counters.healthChecksTurnedAway
                      : observer_.counters.healthChecksFailed);
  observer_.upstreamStats.healthCheckEnded(event.endpoint, event.ok);
  loop_.retire(std::move(found->second));
  healthChecks_.erase(found);
  post(event);
}

}  // namespace heathflow::routing
