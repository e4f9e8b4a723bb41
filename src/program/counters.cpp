#include "program/counters.h"

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

namespace heathflow::program {
namespace {

using Entry = std::pair<const char*, std::uint64_t>;

constexpr std::array<const char*, routing::kOutcomes> kOutcomeNames = {
    "ok",        "error",      "full", "timed_out", "connect_failed", "reset",
    "cancelled", "never_sent", "miss", "malformed", "withdrawn",      "stale"};

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
            {"refused", c.requestsRefused},
            {"failed", c.requestsFailed},
            {"left", c.requestsLeft},
            {"malformed", c.requestsMalformed}});
  std::vector<Entry> outcomes = {{"made", c.attemptsMade}, {"written", c.attemptsWritten}};
  for (std::size_t i = 0; i < kOutcomeNames.size(); ++i)
    outcomes.emplace_back(kOutcomeNames[i], c.attemptsEnded[i]);
  addGroup(out, "attempts", outcomes);
  addGroup(out, "probes",
           {{"made", c.probesMade},
            {"answered", c.probesAnswered},
            {"turned_away", c.probesTurnedAway},
            {"failed", c.probesFailed}});
  addGroup(out, "clients",
           {{"accepted", c.clientsAccepted},
            {"turned_away", c.clientsTurnedAway},
            {"rested", c.clientsRested},
            {"not_reading", c.clientsNotReading},
            {"protocol_errors", c.clientProtocolErrors}});
  addGroup(out, "members",
           {{"opened", c.connectionsOpened},
            {"reused", c.connectionsReused},
            {"failed", c.connectionsFailed},
            {"retired", c.connectionsRetired},
            {"stale", c.connectionsStale},
            {"spared", c.connectionsSpared},
            {"protocol_errors", c.memberProtocolErrors}});
  addGroup(out, "discovery",
           {{"calls", c.discoveryCalls},
            {"failures", c.discoveryFailures},
            {"lists", c.listsTaken},
            {"expired", c.listsExpired}});
  addGroup(out, "descriptors", {{"now", c.descriptors}, {"peak", c.descriptorsPeak}});
  addGroup(out, "memory", {{"refusals", c.memoryRefusals}});
  return out;
}

}  // namespace heathflow::program
