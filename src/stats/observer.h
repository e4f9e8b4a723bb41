// What the gateway counts and reports on its way. The program decides what becomes of it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "invariants/invariant_checker.h"
#include "stats/call_failure.h"
#include "stats/upstream_stats.h"

namespace heathflow::routing {

inline constexpr std::size_t kOutcomes = 12;  // of an attempt, in the order of Outcome

// Why a client's connection ended.
enum class CloseReason {
  ByClient,           // it closed or broke
  IdleEvicted,        // idle, and its place or the end of this process wanted it
  ShutdownNotified,   // it was notified that this process ends
  SlowReader,         // it left its answers unread
  IncompleteRequest,  // it sent nothing, or half a message, in time
  TooManyClients,
  NoMemory,
  ProtocolError,
  LingerEnded  // a close in order came to its end, or its descriptor was wanted
};
inline constexpr std::size_t kCloseReasons = 9;

struct Counters {
  // Towards clients.
  std::uint64_t clientsAccepted = 0;
  std::uint64_t clientsTurnedAway = 0;
  std::uint64_t clientsRested = 0;  // let go between requests, for many places were taken
  std::uint64_t clientProtocolErrors = 0;
  std::uint64_t clientsNotReading = 0;  // let go with output that they never took
  std::uint64_t requestsTaken = 0;
  std::uint64_t requestsServed = 0;
  std::uint64_t requestsRejected = 0;
  std::uint64_t requestsFailed = 0;
  std::uint64_t requestsMalformed = 0;  // failed here, for their comment can't be read
  std::uint64_t requestsLeft = 0;       // by their clients
  std::array<std::uint64_t, kCloseReasons> closed{};
  std::array<std::uint64_t, kOutcomes> retriedAfter{};  // by the outcome of the attempt before
  std::array<std::uint64_t, invariants::kInvariants> broken{};
  // Towards endpoints.
  std::uint64_t attemptsMade = 0;
  std::array<std::uint64_t, kOutcomes> attemptsEnded{};
  std::uint64_t attemptsWritten = 0;
  std::uint64_t answersTook = 0;  // microseconds, all attempts that ended well
  std::uint64_t healthChecksMade = 0;
  std::uint64_t healthChecksAnswered = 0;
  std::uint64_t healthChecksTurnedAway = 0;
  std::uint64_t healthChecksFailed = 0;
  std::uint64_t connectionsOpened = 0;
  std::uint64_t connectionsFailed = 0;
  std::uint64_t connectionsReused = 0;
  std::uint64_t connectionsRetired = 0;  // idle for too long, or closed on request
  std::uint64_t connectionsStale = 0;    // found closed, or with bytes that nobody asked for
  std::uint64_t connectionsSpared = 0;   // idle ones closed to make room for others
  std::uint64_t endpointProtocolErrors = 0;
  // Towards discovery.
  std::uint64_t discoveryCalls = 0;
  std::uint64_t listsExpired = 0;     // could not be confirmed in time
  std::uint64_t listsExpiredFor = 0;  // microseconds, of those that were confirmed again
  std::uint64_t discoveryFailures = 0;
  std::array<std::uint64_t, stats::kCallFailures> discoveryFailedBy{};
  std::uint64_t attemptsOnExpiredList = 0;
  std::uint64_t listsTaken = 0;
  // Messages and answers for which there was no memory.
  std::uint64_t memoryRejections = 0;
  // Descriptors in use for clients and endpoints, now and at the most.
  std::uint64_t descriptors = 0;
  std::uint64_t descriptorsPeak = 0;
};

enum class Topic { Clients, Endpoints, Discovery, Limits, Invariants, Requests };
inline constexpr std::size_t kTopics = 6;

// Whom a note is about, as far as that is known.
struct About {
  std::uint64_t connection = 0;  // of a client, counted from 1; 0: none
  std::string_view request;      // its id
  std::string_view protocol;
  std::optional<std::uint32_t> family;
};

class Observer {
 public:
  virtual ~Observer() = default;
  virtual void note(Topic topic, const std::string& text, const About& about) = 0;
  void note(Topic topic, const std::string& text) { note(topic, text, {}); }
  // Each step of each request and each change of an endpoint's state, where it is asked for; else it costs
  // nothing.
  virtual void trace(Topic, const std::string&, const About&) {}
  bool tracing = false;

  Counters counters;
  stats::UpstreamStats upstreamStats;
};

}  // namespace heathflow::routing
