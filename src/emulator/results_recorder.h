// Collects the results of a play while it runs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "emulator/client_load.h"
#include "emulator/deployment_results.h"
#include "emulator/latency_histogram.h"

namespace heathflow::emulator {

class ResultsRecorder {
 public:
  // The play starts.
  void start(const std::string& scenario, std::size_t gateways, Micros now);
  Micros startedAt() const { return startedAt_; }

  // @param endpointHadCapacity  whether an endpoint would have served a rejected request at once.
  void recordAnswer(const Answer& answer, bool endpointHadCapacity);
  // A call to the list service has ended.
  void recordListCall(bool served, bool gatewayHasList);
  // A gateway got its first list.
  void recordFirstList(Micros now);
  void recordCrash(const std::string& text) { results_.crashes.push_back(text); }
  void recordStart(Micros elapsed);
  void recordLateness(Micros lateness);
  // Adds a note to the current second.
  void note(const std::string& text) { currentRow().notes.push_back(text); }

  bool rowIsOver(Micros now) const;
  // Ends the current second. 'connections' and 'calls' are totals since the start.
  void closeRow(std::uint64_t connections, std::uint64_t calls, unsigned gatewaysUp);
  // Sets the latency quantiles of the whole run and drops the second that has not ended.
  void finish();

  DeploymentResults& results() { return results_; }

 private:
  TimelineRow& currentRow() { return results_.timeline.back(); }

  DeploymentResults results_;
  Micros startedAt_ = 0;
  Micros rowStartedAt_ = 0;
  std::uint64_t connectionsBefore_ = 0;
  std::uint64_t callsBefore_ = 0;
  LatencyHistogram rowLatencies_;  // of the current second
  LatencyHistogram allLatencies_;
  std::size_t gatewaysWithoutList_ = 0;
};

}  // namespace heathflow::emulator
