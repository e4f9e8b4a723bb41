// The interface of the routing policy: settings, events in, actions out. Adapters translate a protocol to and
// from these types; the policy itself does no input or output and reads no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace heathflow {

using Micros = std::int64_t;       // a clock reading or a duration, in microseconds
using RequestId = std::uint32_t;   // opaque
using EndpointId = std::uint64_t;  // opaque
using GroupId = std::uint32_t;     // a primary with its replicas
using LogPosition =
    std::int64_t;  // the time, in microseconds, up to which an endpoint has applied all commits

// What a request requires of the endpoint that serves it.
enum class Consistency {
  Write,             // the primary
  Strong,            // a read that sees every commit
  Session,           // a read that sees the writes of its session
  BoundedStaleness,  // a read that sees all commits older than RequestClassSettings::maxStaleness
  Eventual           // a read that any endpoint may serve
};
enum class Idempotency { Idempotent, WithKey, None };
// Among which endpoints a repeat with the same idempotency key is discarded.
enum class KeyScope { Global, Group, Zone, Endpoint };
// What a replica does with a read that it lags too far behind for.
enum class StaleReadBehavior { ServesStale, Rejects, Waits };
// Who remembers the position of a session's last write.
enum class SessionTokenSource { Client, Gateway, None };
enum class Role { Primary, Replica };

// Settings of one class of requests.
struct RequestClassSettings {
  Consistency consistency = Consistency::Write;
  Micros maxStaleness = 0;               // of Consistency::BoundedStaleness
  Micros latencyObjective = 0;           // an answer within this time has its full value
  double objectivePerEstimatedWork = 0;  // by so much of Request::estimatedWork the objective is longer
  Micros requestTimeout = 0;             // the longest time that a client waits; for the adapters
  double priorityWeight = 1;
  double lateValueShare = 0;  // the share of its value that an answer has after the objective
  Idempotency idempotency = Idempotency::None;
  KeyScope keyScope = KeyScope::Endpoint;
  Micros keyWindow = 0;  // for how long an idempotency key is remembered
};

// Settings of the policy, the same for all gateways of a deployment but for the zone.
struct PolicySettings {
  std::vector<RequestClassSettings> classes;
  std::uint32_t zone = 0;  // this gateway's own
  bool crossZoneTrafficHasCost = false;
  unsigned gatewayCount = 1;   // how many gateways share the endpoints
  Micros timerResolution = 0;  // a timer fires up to so much late
  StaleReadBehavior staleReads = StaleReadBehavior::ServesStale;
  Micros catchUpTimeout = 0;  // how long an endpoint with StaleReadBehavior::Waits waits
  SessionTokenSource sessionTokens = SessionTokenSource::None;
  bool discoveryIsPolled = true;   // else the endpoint list is pushed
  Micros maxPollInterval = 0;      // the longest time between two polls of the endpoint list
  bool removalIsAdvisory = false;  // an endpoint that the list leaves out may still be used
  bool healthChecksAllowed = false;
  bool responsesReportPosition = false;
  bool healthChecksReportPosition = true;
  bool healthChecksReportRole = true;
  bool cancellationAllowed = false;
  bool hedgingAllowed = false;     // several attempts of a request may be in flight
  bool retryAfterAllowed = false;  // a rejection may carry RejectRequest::retryAfter
  Micros maxRetryAfter = 0;
  unsigned maxAttempts = 1;  // of a request
  Micros connectTimeout = 0;
  Micros responseSlack = 0;          // of a final answer past its deadline; for tests and checks
  double slowStartInitialShare = 1;  // the share of its capacity with which an endpoint starts
  Micros slowStartDuration = 0;      // from its start until it has its full capacity
  // An endpoint in slow start fails when it gets, within the window, more than this multiple of its capacity.
  Micros overloadWindow = 0;
  double overloadMultiple = 1;
  Micros initialLatency = 0;  // of a usual request, measured before the start; 0: not known
};

enum class EndpointStatus { Removed, Ready, Draining };

// An entry of the endpoint list: one database server.
struct Endpoint {
  EndpointId id = 0;
  GroupId group = 0;
  EndpointStatus status = EndpointStatus::Ready;
  std::uint32_t zone = 0;
  Micros startedAt = 0;        // 0: long ago
  double size = 1;             // relative capacity; not used by the policy
  bool listedPrimary = false;  // the list takes it for the primary
};

// What an endpoint reports of itself. It may be old.
struct LoadReport {
  std::optional<LogPosition> position;
  std::optional<Role> role;
  std::optional<double> inFlight;  // requests
};

struct Request {
  RequestId id = 0;
  GroupId group = 0;
  std::uint32_t classIndex = 0;
  std::uint64_t session = 0;  // hash of its name, not a ClientConnection; 0: none
  // A session token: the read has to see what was written so long ago. It binds reads of any class, and is
  // below 0 where it is ahead of this process's clock.
  std::optional<Micros> timeSinceLastWrite;
  std::optional<Micros> estimatedWork;  // the service time that the client expects
  bool isClientRetry = false;           // marked so by the client
  Micros deadline = 0;                  // when the client gives up
};

// How an attempt ended.
enum class AttemptOutcome {
  Ok,
  Error,       // the endpoint answered with an error; the request may have run
  Overloaded,  // the endpoint rejected the request for want of capacity
  TimedOut,
  ConnectFailed,       // no usable connection, or it ended before the request could run
  ConnectionReset,     // the connection broke under the request, which may have run
  Cancelled,           // by this gateway; it may have run
  NotSent,             // cancelled before it was written, or it could not be written
  PreconditionFailed,  // the endpoint is not the primary, or lags too far behind, and did not run the request
  Malformed,           // the answer can't be read; the request may have run
  Abandoned,      // time ran out while the next step was the client's: to send more, or to take the answer
  LostLeadership  // it ran, but the endpoint that answered as the primary says that it no longer is
};

// ---- Events ----

// A new endpoint list, a change to it, or (Failed) a call that brought none and changes nothing.
struct EndpointsChanged {
  enum class Scope { Delta, Full, Failed } scope = Scope::Full;
  std::vector<Endpoint> endpoints;
};
// The endpoint list was not confirmed in time and may lack a change. Until the next list an endpoint is used
// only on evidence of its own (see EndpointEvidence).
struct EndpointListExpired {
  Micros healthCheckMaxAge = 0;           // it answered a health check within this time
  std::optional<Micros> connectedBefore;  // over a connection that stood by then; nothing: no evidence counts
};
struct RequestArrived {
  Request request;
};
struct AttemptEnded {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  EndpointId endpoint = 0;
  AttemptOutcome outcome = AttemptOutcome::Error;
  Micros elapsed = 0;              // without the time for which it waited for its client
  bool requestFinished = false;    // this is its answer, or it ended before
  bool rolledBack = false;         // whatever it did has had no effect
  bool mayLackConnections = true;  // of a failed connect: the endpoint may have no connection to spare
  std::optional<Role> role;
  std::optional<LogPosition> position;  // of the endpoint, or of the commit when a write succeeded
  LoadReport report;
};
// The response has been handed over to the client's stream: the policy owes the request nothing more.
struct ResponseStreaming {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};
// A first part of the response is about to be forwarded to the client: no other attempt may serve the request
// any more, and an end that is not Ok still needs the final answer.
struct ResponsePartForwarded {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};
// An attempt had to wait for its connection and is about to be written; it may still be cancelled.
struct AttemptConnected {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};
struct HealthCheckEnded {
  EndpointId endpoint = 0;
  bool ok = false;
  Micros elapsed = 0;
  LoadReport report;
  bool rejected = false;        // no result, but no sign that the endpoint is down either
  bool refusesNewWork = false;  // as the endpoint says: it starts, or drains
  Micros connectionAge = 0;     // of the connection over which it answered
};
struct TimerFired {
  std::uint64_t token = 0;
};
struct ClientDisconnected {
  RequestId request = 0;
};
// This process ends: what has no answer by the deadline is rejected or failed then.
struct ShutdownStarted {
  Micros deadline = 0;
};
using Event = std::variant<EndpointsChanged, EndpointListExpired, RequestArrived, AttemptEnded,
                           ResponseStreaming, ResponsePartForwarded, AttemptConnected, HealthCheckEnded,
                           TimerFired, ClientDisconnected, ShutdownStarted>;

// ---- Actions ----

// Attempts of a request count from 0 in the order in which they are issued.
struct SendAttempt {
  RequestId request = 0;
  EndpointId endpoint = 0;
  Micros abandonAt = 0;    // always 0: when the client gives up
  bool asPrimary = false;  // an answer of an endpoint that reports that it is not the primary does not count
};
struct CancelAttempt {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};
// What last kept a request from being sent, at the endpoint that was considered last. From DeadlineTooClose
// on the request is ended at once; for the others it is queued, but for LoadShed on arrival and for a
// client's retry whose late answer has no value.
enum class RejectReason {
  None,      // none recorded: its last attempt failed, it was not valid, or came too late
  LoadShed,  // on arrival: rejected; of a read that would go to the primary: queued
  NoPrimary,
  AwaitingHealthCheck,
  ConcurrencyLimit,  // of this gateway at an endpoint
  Paced,             // a limit below one request in flight spaces requests out
  SlowStart,         // the share of an endpoint that warms up is spent
  DeadlineTooClose,
  NotRetryable,        // its attempts are used up, it may have run, or its key is no longer remembered
  EndpointListExpired  // and no health check can show that the endpoint may be used
};
// Ends a request that the client may safely send again: it had no effect, or a repeat of it is harmless.
struct RejectRequest {
  RequestId request = 0;
  Micros retryAfter = 0;  // 0: none
  RejectReason reason = RejectReason::None;
};
// Ends a request that may have had an effect.
struct FailRequest {
  RequestId request = 0;
  RejectReason reason = RejectReason::None;
};
enum class HealthCheckReason {
  Initial,           // no endpoint of the group has reported to be the primary yet
  PositionStale,     // the log position gets too old to be of use, or nothing but the list names the endpoint
  ReadWaiting,       // a read waits for the log position
  PrimaryUnknown,    // the group has no primary, or its role has to be confirmed
  ConnectionBroken,  // something broke, and the check tells whether the endpoint is alive
  Unresponsive       // nothing has come from it for long, or it lacks evidence while the list has expired
};
struct StartHealthCheck {
  EndpointId endpoint = 0;
  HealthCheckReason reason = HealthCheckReason::Initial;
  bool onOldestConnection = false;  // over the idle connection that has stood longest
};
// Closes this gateway's idle connections to an endpoint.
struct CloseIdleConnections {
  EndpointId endpoint = 0;
};
// Begins to poll and watch the endpoint list.
struct SubscribeToEndpoints {};
struct SetTimer {
  std::uint64_t token = 0;  // comes back in TimerFired
  Micros after = 0;
};
using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, StartHealthCheck,
                            CloseIdleConnections, SubscribeToEndpoints, SetTimer>;

// The decisions of one gateway. It shares nothing with others; equal seeds and events give equal actions.
class RoutingPolicy {
 public:
  // @param seed  of this gateway's random draws.
  // @param out   receives the first actions.
  RoutingPolicy(PolicySettings settings, std::uint64_t seed, Micros now, std::vector<Action>& out);
  ~RoutingPolicy();
  RoutingPolicy(RoutingPolicy&&) noexcept;
  RoutingPolicy& operator=(RoutingPolicy&&) noexcept;

  // Takes in one event.
  // @param now  a reading of a clock that never goes back.
  // @param out  receives the actions, in the order in which they are to be carried out.
  void handle(Micros now, const Event& event, std::vector<Action>& out);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heathflow
