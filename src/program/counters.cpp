#include "program/counters.h"

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

#include "routing/outcome.h"

namespace heathflow::program {
namespace {

using invariants::nameOf;
using routing::nameOf;
using stats::nameOf;

using Entry = std::pair<const char*, std::uint64_t>;

// One entry of each value of an enumeration, by its name.
template <typename Kind, std::size_t kCount>
std::vector<Entry> byName(const std::array<std::uint64_t, kCount>& counts) {
  std::vector<Entry> out;
  for (std::size_t i = 0; i < kCount; ++i) out.emplace_back(nameOf(static_cast<Kind>(i)), counts[i]);
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

}  // namespace

std::string describe(const routing::Counters& c) {
  std::string out;
  addGroup(out, "requests",
           {{"taken", c.requestsTaken},
            {"served", c.requestsServed},
            {"refused", c.requestsRejected},
            {"failed", c.requestsFailed},
            {"left", c.requestsLeft},
            {"malformed", c.requestsMalformed}});
  std::vector<Entry> outcomes = {{"made", c.attemptsMade}, {"written", c.attemptsWritten}};
  const std::vector<Entry> ended = byName<AttemptOutcome>(c.attemptsEnded);
  outcomes.insert(outcomes.end(), ended.begin(), ended.end());
  addGroup(out, "attempts", outcomes);
  addGroup(out, "retried_after", byName<AttemptOutcome>(c.retriedAfter));
  addGroup(out, "probes",
           {{"made", c.healthChecksMade},
            {"answered", c.healthChecksAnswered},
            {"turned_away", c.healthChecksTurnedAway},
            {"failed", c.healthChecksFailed}});
  addGroup(out, "clients",
           {{"accepted", c.clientsAccepted},
            {"turned_away", c.clientsTurnedAway},
            {"rested", c.clientsRested},
            {"not_reading", c.clientsNotReading},
            {"protocol_errors", c.clientProtocolErrors}});
  addGroup(out, "closed", byName<routing::CloseReason>(c.closed));
  addGroup(out, "members",
           {{"opened", c.connectionsOpened},
            {"reused", c.connectionsReused},
            {"failed", c.connectionsFailed},
            {"retired", c.connectionsRetired},
            {"stale", c.connectionsStale},
            {"spared", c.connectionsSpared},
            {"protocol_errors", c.endpointProtocolErrors}});
  addGroup(out, "discovery",
           {{"calls", c.discoveryCalls},
            {"failures", c.discoveryFailures},
            {"lists", c.listsTaken},
            {"expired", c.listsExpired},
            {"expired_for_us", c.listsExpiredFor},
            {"attempts_on_expired", c.attemptsOnExpiredList}});
  addGroup(out, "discovery_failed", byName<stats::CallFailure>(c.discoveryFailedBy));
  addGroup(out, "descriptors", {{"now", c.descriptors}, {"peak", c.descriptorsPeak}});
  addGroup(out, "memory", {{"refusals", c.memoryRejections}});
  addGroup(out, "invariants", byName<invariants::Invariant>(c.broken));
  return out;
}

}  // namespace heathflow::program
