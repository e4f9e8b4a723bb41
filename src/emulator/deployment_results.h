// What a play of a scenario gave: totals, a timeline, broken rules, and their forms for people and programs.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emulator/judge.h"

namespace heathflow::emulator {

// One second of a play.
struct TimelineRow {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejectedWithCapacity = 0;
  std::uint64_t listCalls = 0;
  std::uint64_t connectionsAtEndpoints = 0;  // new ones
  unsigned gatewaysUp = 0;
  Micros p50 = 0;  // latency of served requests, from the intended time
  Micros p99 = 0;
  std::vector<std::string> notes;  // faults that began or ended
};

struct DeploymentResults {
  std::string scenario;
  std::vector<TimelineRow> timeline;
  std::uint64_t requests = 0;
  std::uint64_t unreached = 0;  // requests for which no gateway was up
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejectedWithCapacity = 0;  // although an endpoint of the group had a free slot
  Micros p50 = 0;
  Micros p99 = 0;
  Micros firstServed = 0;                    // since the start; 0: none
  std::optional<Micros> lastList;            // until every gateway had its first list, since the start
  std::uint64_t callsUntilListed = 0;        // of gateways that had no list yet
  std::uint64_t callsFailedUntilListed = 0;  // failed ones among them
  std::uint64_t calls = 0;
  std::uint64_t callsFailed = 0;
  std::size_t mostCalls = 0;        // within 100 ms, at the list service
  std::uint64_t connections = 0;    // at all endpoints
  std::size_t mostConnections = 0;  // within 100 ms, at one endpoint
  std::uint64_t connectionsTurnedAway = 0;
  std::uint64_t healthChecks = 0;
  std::array<std::size_t, kRules> broken{};
  std::vector<Breach> breaches;
  std::map<std::string, std::uint64_t> counters;  // of the newest incarnation of each gateway, summed
  std::vector<std::string> crashes;  // gateways that exited by themselves, with their last log line
  Micros emulatorLateness =
      0;                    // how late the emulator's own timers fired; its measured times are off by this
  Micros slowestStart = 0;  // from the start of a gateway until it serves

  bool rulesKept() const;
  double percentOfAnswers(std::uint64_t count) const;
  std::string json() const;
  // One line of numbers for scripts: last list in ms (0: not all have one), calls until then for each
  // gateway, their failed share in percent, most calls in 100 ms, most connections at one endpoint in 100 ms,
  // rejected in percent, rejected with capacity in percent, first served in ms, connections, rules kept (1)
  // or not (0).
  std::string numbersLine(unsigned gateways) const;
  // A summary of a few lines.
  std::string table() const;
  // Rows for a chart: second, served, rejected, failed, p99 in ms, connections, calls, gateways.
  std::string columns() const;
};

}  // namespace heathflow::emulator
