#include "emulator/results_recorder.h"

#include <algorithm>
#include <utility>

#include "emulator/units.h"

namespace heathflow::emulator {

void ResultsRecorder::start(const std::string& scenario, std::size_t gateways, Micros now) {
  results_.scenario = scenario;
  results_.timeline.emplace_back();
  gatewaysWithoutList_ = gateways;
  startedAt_ = rowStartedAt_ = now;
}

void ResultsRecorder::recordAnswer(const Answer& answer, bool endpointHadCapacity) {
  switch (answer.result) {
    case RequestResult::Served:
      ++currentRow().served;
      ++results_.served;
      rowLatencies_.add(answer.at - answer.intended);
      allLatencies_.add(answer.at - answer.intended);
      if (results_.firstServed == 0) results_.firstServed = answer.at - startedAt_;
      return;
    case RequestResult::Rejected:
      ++currentRow().rejected;
      ++results_.rejected;
      if (!endpointHadCapacity) return;
      ++currentRow().rejectedWithCapacity;
      ++results_.rejectedWithCapacity;
      return;
    default:
      ++currentRow().failed;
      ++results_.failed;
  }
}

void ResultsRecorder::recordListCall(bool served, bool gatewayHasList) {
  if (!served) ++results_.callsFailed;
  if (gatewayHasList) return;
  ++results_.callsUntilListed;
  if (!served) ++results_.callsFailedUntilListed;
}

void ResultsRecorder::recordFirstList(Micros now) {
  if (--gatewaysWithoutList_ == 0) results_.lastList = now - startedAt_;
}

void ResultsRecorder::recordStart(Micros elapsed) {
  results_.slowestStart = std::max(results_.slowestStart, elapsed);
}

void ResultsRecorder::recordLateness(Micros lateness) {
  results_.emulatorLateness = std::max(results_.emulatorLateness, lateness);
}

bool ResultsRecorder::rowIsOver(Micros now) const { return now - rowStartedAt_ >= kMicrosPerSecond; }

void ResultsRecorder::closeRow(std::uint64_t connections, std::uint64_t calls, unsigned gatewaysUp) {
  TimelineRow& row = currentRow();
  row.connectionsAtEndpoints = connections - std::exchange(connectionsBefore_, connections);
  row.listCalls = calls - std::exchange(callsBefore_, calls);
  row.gatewaysUp = gatewaysUp;
  row.p50 = rowLatencies_.quantile(0.5);
  row.p99 = rowLatencies_.quantile(0.99);
  rowLatencies_ = {};
  rowStartedAt_ += kMicrosPerSecond;
  results_.timeline.emplace_back();
}

void ResultsRecorder::finish() {
  if (results_.timeline.size() > 1) results_.timeline.pop_back();
  results_.p50 = allLatencies_.quantile(0.5);
  results_.p99 = allLatencies_.quantile(0.99);
}

}  // namespace heathflow::emulator
