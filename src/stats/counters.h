// The counters of one gateway. All but 'descriptors' count from its start. Durations are in microseconds.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "invariants/invariant_checker.h"
#include "stats/call_failure.h"

namespace heathflow::stats {

inline constexpr std::size_t kAttemptOutcomes = 12;  // the number of values of AttemptOutcome

// Why a client's connection was closed.
enum class CloseReason {
  ByClient,           // the client closed it, or it broke
  IdleClosed,         // idle, or it sent no request: its descriptor was needed, or the gateway shuts down
  ClientFinished,     // the client ended it with a message of its protocol
  SlowReader,         // the client did not read its responses
  IncompleteRequest,  // the client sent nothing, or only a part of a message, in time
  TooManyClients,
  NoMemory,
  ProtocolError,
  LingerEnded  // never counted: a connection is counted, by its reason, when it begins to linger
};
inline constexpr std::size_t kCloseReasons = 9;

struct Counters {
  // Downstream.
  std::uint64_t clientsAccepted = 0;  // including those that were rejected
  std::uint64_t clientsRejected = 0;  // no descriptor was available
  // Idle ones that were closed early, while clients used more than half of their descriptors.
  std::uint64_t idleClientsEvicted = 0;
  std::uint64_t clientProtocolErrors = 0;
  std::uint64_t slowReadersClosed = 0;  // closed by either side with output that the client had not read
  std::uint64_t requestsAccepted = 0;
  std::uint64_t requestsServed = 0;
  std::uint64_t requestsRejected = 0;
  std::uint64_t requestsFailed = 0;
  // Rejected before routing, because they could not be parsed or were not acceptable; in no other counter.
  std::uint64_t requestsMalformed = 0;
  std::uint64_t requestsCancelled = 0;  // the client disconnected, cancelled or violated the protocol
  std::array<std::uint64_t, kCloseReasons> clientsClosed{};
  // By the outcome of the previous attempt; Cancelled also if that was still in flight.
  std::array<std::uint64_t, kAttemptOutcomes> retriedAfter{};
  std::array<std::uint64_t, invariants::kInvariants> invariantViolations{};
  // Upstream.
  std::uint64_t attemptsStarted = 0;
  std::array<std::uint64_t, kAttemptOutcomes> attemptsEnded{};
  std::uint64_t attemptsWritten = 0;
  std::uint64_t successfulAttemptTime = 0;  // the total of all attempts that ended with AttemptOutcome::Ok
  std::uint64_t healthChecksStarted = 0;
  std::uint64_t healthChecksAnswered = 0;
  std::uint64_t healthChecksRejected = 0;  // no result, and no sign that the endpoint is down
  std::uint64_t healthChecksFailed = 0;
  std::uint64_t connectionsOpened = 0;  // connects that were started
  std::uint64_t connectionsFailed = 0;
  std::uint64_t connectionsReused = 0;
  // Idle for too long, closed by the policy, or to an endpoint that was removed or has a new address.
  std::uint64_t idleConnectionsClosed = 0;
  // Found closed or with unexpected bytes, or not usable again after a failed request.
  std::uint64_t connectionsStale = 0;
  std::uint64_t connectionsEvicted = 0;  // idle ones closed to free a descriptor
  std::uint64_t endpointProtocolErrors = 0;
  std::uint64_t endpointSurplusAnswers = 0;  // belonged to no request, and were discarded
  // Discovery.
  std::uint64_t discoveryCalls = 0;
  std::uint64_t listsExpired = 0;     // not confirmed in time
  std::uint64_t listExpiredTime = 0;  // from expiry until a list was confirmed again, in total
  std::uint64_t discoveryFailures = 0;
  std::array<std::uint64_t, kCallFailures> discoveryFailuresByCause{};
  std::uint64_t attemptsOnExpiredList = 0;
  std::uint64_t listUpdatesApplied = 0;  // lists and changes that were applied, including unchanged ones
  // Requests and responses for which there was no memory.
  std::uint64_t memoryRejections = 0;
  // Descriptors in use for clients and endpoints.
  std::uint64_t descriptors = 0;
  std::uint64_t descriptorsPeak = 0;
};

}  // namespace heathflow::stats
