#include "program/counters.h"

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

#include "stats/enum_names.h"

namespace heathflow::program {
namespace {

using invariants::nameOf;
using stats::nameOf;

using Entry = std::pair<const char*, std::uint64_t>;

// Returns one entry for each value of an enumeration, with its name.
template <typename Enum, std::size_t kCount>
std::vector<Entry> byName(const std::array<std::uint64_t, kCount>& counts) {
  std::vector<Entry> out;
  for (std::size_t i = 0; i < kCount; ++i) out.emplace_back(nameOf(static_cast<Enum>(i)), counts[i]);
  return out;
}

void addGroup(std::string& out, const char* group, const std::vector<Entry>& entries) {
  out += group;
  out += ':';
  for (const auto& [name, value] : entries) {
    out += ' ';
    out += name;
    out += '=';
    out += std::to_string(value);
  }
  out += '\n';
}

void addRequests(std::string& out, const stats::Counters& counters) {
  addGroup(out, "requests",
           {{"accepted", counters.requestsAccepted},
            {"served", counters.requestsServed},
            {"rejected", counters.requestsRejected},
            {"failed", counters.requestsFailed},
            {"cancelled", counters.requestsCancelled},
            {"malformed", counters.requestsMalformed}});
  std::vector<Entry> attempts = {{"started", counters.attemptsStarted},
                                 {"written", counters.attemptsWritten}};
  const std::vector<Entry> ended = byName<AttemptOutcome>(counters.attemptsEnded);
  attempts.insert(attempts.end(), ended.begin(), ended.end());
  addGroup(out, "attempts", attempts);
  addGroup(out, "retried_after", byName<AttemptOutcome>(counters.retriedAfter));
}

void addHealthChecks(std::string& out, const stats::Counters& counters) {
  addGroup(out, "health_checks",
           {{"started", counters.healthChecksStarted},
            {"answered", counters.healthChecksAnswered},
            {"rejected", counters.healthChecksRejected},
            {"failed", counters.healthChecksFailed}});
}

void addDownstream(std::string& out, const stats::Counters& counters) {
  addGroup(out, "downstream",
           {{"accepted", counters.clientsAccepted},
            {"rejected", counters.clientsRejected},
            {"idle_evicted", counters.idleClientsEvicted},
            {"slow_readers", counters.slowReadersClosed},
            {"protocol_errors", counters.clientProtocolErrors}});
  addGroup(out, "downstream_closed", byName<stats::CloseReason>(counters.clientsClosed));
}

void addUpstream(std::string& out, const stats::Counters& counters) {
  addGroup(out, "upstream",
           {{"opened", counters.connectionsOpened},
            {"reused", counters.connectionsReused},
            {"failed", counters.connectionsFailed},
            {"idle_closed", counters.idleConnectionsClosed},
            {"stale", counters.connectionsStale},
            {"evicted", counters.connectionsEvicted},
            {"protocol_errors", counters.endpointProtocolErrors},
            {"surplus_answers", counters.endpointSurplusAnswers}});
}

void addDiscovery(std::string& out, const stats::Counters& counters) {
  addGroup(out, "discovery",
           {{"calls", counters.discoveryCalls},
            {"failures", counters.discoveryFailures},
            {"lists", counters.listUpdatesApplied},
            {"expired", counters.listsExpired},
            {"expired_for_us", counters.listExpiredTime},
            {"attempts_on_expired", counters.attemptsOnExpiredList}});
  addGroup(out, "discovery_failures", byName<stats::CallFailure>(counters.discoveryFailuresByCause));
}

}  // namespace

std::string describe(const stats::Counters& counters) {
  std::string out;
  addRequests(out, counters);
  addHealthChecks(out, counters);
  addDownstream(out, counters);
  addUpstream(out, counters);
  addDiscovery(out, counters);
  addGroup(out, "descriptors", {{"now", counters.descriptors}, {"peak", counters.descriptorsPeak}});
  addGroup(out, "memory", {{"rejections", counters.memoryRejections}});
  addGroup(out, "invariants", byName<invariants::Invariant>(counters.invariantViolations));
  return out;
}

}  // namespace heathflow::program
