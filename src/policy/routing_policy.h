// The interface of the routing policy: settings, events in, actions out. Adapters translate between a
// protocol and these types; the policy itself does no I/O and reads no clock.
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
// The time, in microseconds, up to which an endpoint has applied all commits. It is a reading of the
// endpoints' clocks, which may lead this process's clock (see ClockLeadChanged). So a position is compared
// with positions as it is, and with a time of this process only after PolicyContext::processTimeOf(); as a
// type of its own it can't be mixed up with Micros.
enum class LogPosition : std::int64_t {};

// The requirements of a request on the endpoint that serves it.
enum class Consistency {
  Write,             // the primary
  Strong,            // a read that sees every commit
  Session,           // a read that sees the writes of its session
  BoundedStaleness,  // a read that sees all commits older than RequestClassSettings::maxStaleness
  Eventual           // a read that any endpoint may serve
};
enum class Idempotency { Idempotent, WithKey, None };
// The set of endpoints among which a repeat with the same idempotency key is discarded.
enum class KeyScope { Global, Group, Zone, Endpoint };
// The behavior of a replica that lags too far behind for a read.
enum class StaleReadBehavior { ServesStale, Rejects, Waits };
// The party that remembers the position of a session's last write.
enum class SessionTokenSource { Client, Gateway, None };
enum class Role { Primary, Replica };

// Settings of one class of requests.
struct RequestClassSettings {
  Consistency consistency = Consistency::Write;
  Micros maxStaleness = 0;               // of Consistency::BoundedStaleness
  Micros latencyObjective = 0;           // an answer within this time has its full value
  double objectivePerEstimatedWork = 0;  // share of Request::estimatedWork that extends the objective
  Micros requestTimeout = 0;             // the maximum time that a client waits; used by the adapters
  double priorityWeight = 1;
  double lateValueShare = 0;  // the share of its value that an answer has after the objective
  Idempotency idempotency = Idempotency::None;
  KeyScope keyScope = KeyScope::Endpoint;
  Micros keyWindow = 0;  // for how long an idempotency key is remembered
};

// Settings of the policy, the same for all gateways of a deployment except for the zone.
struct PolicySettings {
  std::vector<RequestClassSettings> classes;
  std::uint32_t zone = 0;  // this gateway's own
  bool crossZoneTrafficHasCost = false;
  unsigned gatewayCount = 1;   // how many gateways share the endpoints
  Micros timerResolution = 0;  // maximum delay of a timer
  StaleReadBehavior staleReads = StaleReadBehavior::ServesStale;
  Micros catchUpTimeout = 0;  // how long an endpoint with StaleReadBehavior::Waits waits
  SessionTokenSource sessionTokens = SessionTokenSource::None;
  bool discoveryIsPolled = true;   // otherwise the endpoint list is pushed
  Micros maxPollInterval = 0;      // maximum time between two polls of the endpoint list
  bool removalIsAdvisory = false;  // an endpoint that the list omits may still be used
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
  Micros responseSlack = 0;          // allowed delay of a final answer past its deadline; used by tests
  double slowStartInitialShare = 1;  // the share of its capacity with which an endpoint starts
  Micros slowStartDuration = 0;      // from its start until it has its full capacity
  // An endpoint in slow start fails if it gets more than overloadMultiple times its capacity within
  // overloadWindow.
  Micros overloadWindow = 0;
  double overloadMultiple = 1;
  Micros initialLatency = 0;  // of an average request, measured by an earlier process; 0: not known
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
  bool listedPrimary = false;  // the list names it as the primary
};

// An endpoint's report of its own state. It may be old.
struct LoadReport {
  std::optional<LogPosition> position;
  std::optional<Role> role;
  std::optional<double> inFlight;  // requests
};

struct Request {
  RequestId id = 0;
  GroupId group = 0;
  std::uint32_t classIndex = 0;
  std::uint64_t session = 0;                // hash of the name of the client's causal session; 0: none
  std::optional<LogPosition> sessionToken;  // of the write that a read has to see; applies to any class
  std::optional<Micros> estimatedWork;      // the service time that the client expects
  bool isClientRetry = false;               // marked as a retry by the client
  Micros deadline = 0;                      // when the client gives up
};

// The outcome of an attempt.
enum class AttemptOutcome {
  Ok,
  Error,       // the endpoint answered with an error; the request may have run
  Overloaded,  // the endpoint rejected the request for lack of capacity
  TimedOut,
  ConnectFailed,       // no usable connection, or it ended before the request could run
  ConnectionReset,     // the connection broke during the request, which may have run
  Cancelled,           // by this gateway; the request may have run
  NotSent,             // cancelled before it was written, or it could not be written
  PreconditionFailed,  // the endpoint is not the primary, or lags too far behind, and did not run the request
  Malformed,           // the answer can't be read; the request may have run
  Abandoned,           // timed out while waiting for the client to send more or to read the answer
  LostLeadership       // it ran, but the endpoint reports that it is no longer the primary
};

// ---- Events ----

// A new endpoint list, a change to it, or (Failed) a failed call, which changes no endpoint.
struct EndpointsChanged {
  enum class Scope { Delta, Full, Failed } scope = Scope::Full;
  std::vector<Endpoint> endpoints;
};
// The endpoint list was not confirmed in time and may miss a change. Until the next list an endpoint is used
// only with evidence from its health checks (see EndpointEvidence).
struct EndpointListExpired {
  Micros healthCheckMaxAge = 0;  // maximum age of an answered health check that counts as evidence
  // The check's connection must have been open since this time or longer. Not set: no evidence counts.
  std::optional<Micros> latestConnectedSince;
};
struct RequestArrived {
  Request request;
};
struct AttemptEnded {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  EndpointId endpoint = 0;
  AttemptOutcome outcome = AttemptOutcome::Error;
  Micros elapsed = 0;              // without the time spent waiting for the client
  bool requestFinished = false;    // this is the request's answer, or the request ended before
  bool rolledBack = false;         // the attempt had no effect
  bool mayLackConnections = true;  // after a failed connect: the endpoint may be out of connections
  std::optional<Role> role;
  std::optional<LogPosition> position;  // of the endpoint, or of the commit when a write succeeded
  LoadReport report;
};
// The response has been handed over to the client's stream: the request needs no further action.
struct ResponseStreaming {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};
// The first part of the response is about to be forwarded to the client: no other attempt may serve the
// request any more. If this attempt ends with an outcome other than Ok, the request still needs a final
// answer.
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
  bool rejected = false;        // no result, but no sign either that the endpoint is down
  bool refusesNewWork = false;  // the endpoint reports that it is starting or draining
  Micros connectionAge = 0;     // of the connection over which it answered
  bool provesReadiness = true;  // an endpoint that drains would have rejected it
};
// The endpoints' clocks are now known to lead this process's clock by no more than this. Until the first such
// event they do not lead it.
struct ClockLeadChanged {
  Micros lead = 0;
};
struct TimerFired {
  std::uint64_t token = 0;
};
struct ClientDisconnected {
  RequestId request = 0;
};
// This process shuts down: requests without an answer at the deadline are rejected or failed.
struct ShutdownStarted {
  Micros deadline = 0;
};
using Event = std::variant<EndpointsChanged, EndpointListExpired, RequestArrived, AttemptEnded,
                           ResponseStreaming, ResponsePartForwarded, AttemptConnected, HealthCheckEnded,
                           ClockLeadChanged, TimerFired, ClientDisconnected, ShutdownStarted>;

// ---- Actions ----

// Starts an attempt. The attempts of a request are numbered from 0 in the order of these actions.
struct SendAttempt {
  RequestId request = 0;
  EndpointId endpoint = 0;
  Micros abandonAt = 0;    // when to give up; 0 (the policy sets no other value): the request's deadline
  bool asPrimary = false;  // an answer does not count if the endpoint reports that it is not the primary
};
struct CancelAttempt {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};
// Why a request was not sent to the endpoint that was considered last. For DeadlineTooClose and the values
// after it the request is rejected or failed at once. For the others it is queued, except for LoadShed on
// arrival and for a client's retry whose late answer has no value, unless it awaits a health check.
enum class RejectReason {
  None,      // not recorded: the last attempt failed, or the request was not valid or came too late
  LoadShed,  // on arrival: rejected; for a read that would go to the primary: queued
  NoPrimary,
  AwaitingHealthCheck,
  ConcurrencyLimit,  // of this gateway at an endpoint
  Paced,             // a limit below one request in flight spaces requests out
  SlowStart,         // this gateway's share of an endpoint in slow start is used up
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
  PositionStale,     // the log position is getting too old, or only the list shows that the endpoint exists
  ReadWaiting,       // a read waits for the log position
  PrimaryUnknown,    // the group has no primary, or its role has to be confirmed
  ConnectionBroken,  // a connection broke or could not be opened; the check tells if the endpoint is alive
  Unresponsive       // no response for too long, or it lacks evidence after the list has expired
};
struct StartHealthCheck {
  EndpointId endpoint = 0;
  HealthCheckReason reason = HealthCheckReason::Initial;
  // It has to prove that the endpoint does not drain, over the idle connection that has been open longest.
  bool onOldestConnection = false;
};
// Closes this gateway's idle connections to an endpoint.
struct CloseIdleConnections {
  EndpointId endpoint = 0;
};
// Starts to poll and watch the endpoint list.
struct SubscribeToEndpoints {};
struct SetTimer {
  std::uint64_t token = 0;  // returned in TimerFired
  Micros after = 0;
};
using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, StartHealthCheck,
                            CloseIdleConnections, SubscribeToEndpoints, SetTimer>;

// Makes the routing decisions of one gateway. Instances share no state; equal seeds and events give equal
// actions.
class RoutingPolicy {
 public:
  // @param seed  of this gateway's random numbers.
  // @param out   receives the first actions.
  RoutingPolicy(PolicySettings settings, std::uint64_t seed, Micros now, std::vector<Action>& out);
  ~RoutingPolicy();
  RoutingPolicy(RoutingPolicy&&) noexcept;
  RoutingPolicy& operator=(RoutingPolicy&&) noexcept;

  // Processes one event.
  // @param now  a reading of a monotonic clock.
  // @param out  receives the actions, in the order of execution.
  void handle(Micros now, const Event& event, std::vector<Action>& out);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heathflow
