// The results of a play: totals, a timeline and breaches of rules, as JSON, tables and chart columns.
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
  std::uint64_t connectionsAtEndpoints = 0;  // opened within this second
  unsigned gatewaysUp = 0;
  Micros p50 = 0;  // latency of served requests, from their intended times
  Micros p99 = 0;
  std::vector<std::string> notes;  // faults that began or ended
};

struct DeploymentResults {
  std::string scenario;
  std::vector<TimelineRow> timeline;
  std::uint64_t requests = 0;
  std::uint64_t unreached = 0;  // requests that were not sent: no gateway or connection was available
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejectedWithCapacity = 0;  // although an endpoint of the group had a free slot
  Micros p50 = 0;
  Micros p99 = 0;
  Micros firstServed = 0;                    // time from the start to the first served request; 0: none
  std::optional<Micros> lastList;            // time from the start until every gateway had its first list
  std::uint64_t callsUntilListed = 0;        // list calls of gateways that had no list yet
  std::uint64_t callsFailedUntilListed = 0;  // the failed ones among them
  std::uint64_t calls = 0;
  std::uint64_t callsFailed = 0;
  std::size_t mostCalls = 0;        // within 100 ms, at the list service
  std::uint64_t connections = 0;    // at all endpoints
  std::size_t mostConnections = 0;  // within 100 ms, at one endpoint
  std::uint64_t connectionsRejected = 0;
  std::uint64_t healthChecks = 0;
  std::array<std::size_t, kRules> broken{};  // breaches of each rule
  std::vector<Breach> breaches;
  std::map<std::string, std::uint64_t> counters;  // of the newest incarnation of each gateway, summed
  std::vector<std::string> crashes;  // gateways that exited unexpectedly, failed, or were not ready in time
  Micros emulatorLateness =
      0;                    // the most by which the emulator's timers fired late: the error of measured times
  Micros slowestStart = 0;  // the longest time from the start of a gateway until it served

  bool rulesKept() const;
  double percentOfAnswers(std::uint64_t count) const;
  std::string json() const;
  // Returns one line of numbers for scripts: last list in ms (0: not all have one), calls until then per
  // gateway, their failed share in percent, most calls in 100 ms, most connections at one endpoint in 100 ms,
  // rejected in percent, rejected with capacity in percent, first served in ms, connections, rules kept (1)
  // or not (0).
  std::string numbersLine(unsigned gateways) const;
  // Returns a summary of a few lines.
  std::string table() const;
  // Returns rows for a chart: second, served, rejected, failed, p99 in ms, connections, calls, gateways.
  std::string columns() const;
};

}  // namespace heathflow::emulator
