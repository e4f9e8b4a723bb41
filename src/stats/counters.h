// The counters of one gateway. All but the descriptors count from its start; durations are in microseconds.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "invariants/invariant_checker.h"
#include "stats/call_failure.h"

namespace heathflow::stats {

inline constexpr std::size_t kAttemptOutcomes = 12;  // values of AttemptOutcome

// Why a client's connection was closed.
enum class CloseReason {
  ByClient,           // the client closed it, or it broke
  IdleClosed,         // idle or without a request: its descriptor was needed, or the gateway shuts down
  ClientFinished,     // the client ended it as its protocol provides
  SlowReader,         // the client did not read its answers
  IncompleteRequest,  // the client sent nothing, or only a part of a message, in time
  TooManyClients,
  NoMemory,
  ProtocolError,
  LingerEnded  // not counted: a lingering connection keeps the reason for which its linger began
};
inline constexpr std::size_t kCloseReasons = 9;

struct Counters {
  // Downstream.
  std::uint64_t clientsAccepted = 0;  // with those that are rejected
  std::uint64_t clientsRejected = 0;  // no descriptor was available
  std::uint64_t idleClientsEvicted =
      0;  // idle ones closed early, while clients use over half of their descriptors
  std::uint64_t clientProtocolErrors = 0;
  std::uint64_t slowReadersClosed = 0;  // with unread output, whoever closed the connection
  std::uint64_t requestsAccepted = 0;
  std::uint64_t requestsServed = 0;
  std::uint64_t requestsRejected = 0;
  std::uint64_t requestsFailed = 0;
  std::uint64_t requestsMalformed =
      0;  // rejected before routing: unreadable or not acceptable; in no other counter
  std::uint64_t requestsCancelled = 0;  // their client disconnected, cancelled, or broke the protocol
  std::array<std::uint64_t, kCloseReasons> clientsClosed{};
  std::array<std::uint64_t, kAttemptOutcomes>
      retriedAfter{};  // by the outcome of the attempt before; Cancelled: also while that is in flight
  std::array<std::uint64_t, invariants::kInvariants> invariantViolations{};
  // Upstream.
  std::uint64_t attemptsStarted = 0;
  std::array<std::uint64_t, kAttemptOutcomes> attemptsEnded{};
  std::uint64_t attemptsWritten = 0;
  std::uint64_t successfulAttemptTime = 0;  // the sum over all attempts that ended with AttemptOutcome::Ok
  std::uint64_t healthChecksStarted = 0;
  std::uint64_t healthChecksAnswered = 0;
  std::uint64_t healthChecksRejected = 0;  // no result, and no sign that the endpoint is down
  std::uint64_t healthChecksFailed = 0;
  std::uint64_t connectionsOpened = 0;  // connects begun
  std::uint64_t connectionsFailed = 0;
  std::uint64_t connectionsReused = 0;
  std::uint64_t idleConnectionsClosed =
      0;                               // idle for too long, closed by the policy, or of a removed endpoint
  std::uint64_t connectionsStale = 0;  // found closed, with unexpected bytes, or reset after a request failed
  std::uint64_t connectionsEvicted = 0;  // idle ones closed to free a descriptor
  std::uint64_t endpointProtocolErrors = 0;
  // Discovery.
  std::uint64_t discoveryCalls = 0;
  std::uint64_t listsExpired = 0;     // not confirmed in time
  std::uint64_t listsExpiredFor = 0;  // the total time of those that were confirmed again
  std::uint64_t discoveryFailures = 0;
  std::array<std::uint64_t, kCallFailures> discoveryFailedBy{};
  std::uint64_t attemptsOnExpiredList = 0;
  std::uint64_t listsTaken = 0;  // lists and changes applied, unchanged ones too
  // Requests and answers for which there was no memory.
  std::uint64_t memoryRejections = 0;
  // Descriptors in use for clients and endpoints.
  std::uint64_t descriptors = 0;
  std::uint64_t descriptorsPeak = 0;
};

}  // namespace heathflow::stats
