#include "program/snapshot_writer.h"

#include <algorithm>

#include "discovery/crash_loop_delay.h"
#include "program/log.h"

namespace heathflow::program {
namespace {

using transport::Micros;

constexpr Micros kMicrosPerSecond = 1'000'000;
// If no final write succeeds, the next start may count a graceful shutdown as an early crash.
constexpr int kMaxFinalWrites = 3;

}  // namespace

std::optional<snapshot::Snapshot> loadSnapshot(const installation::SnapshotSettings& settings,
                                               const std::string& name) {
  if (settings.file.empty()) return {};
  std::string problem;
  auto out = snapshot::load(settings.file, name, problem);
  if (!problem.empty()) logLine(problem);
  return out;
}

SnapshotWriter::SnapshotWriter(transport::EventLoop& loop, const installation::SnapshotSettings& settings,
                               const std::optional<snapshot::Snapshot>& earlier, const Gateway& gateway)
    : loop_(loop),
      settings_(settings),
      gateway_(gateway),
      earlyCrashes_(earlier ? earlier->earlyCrashes : 0),
      nextWrite_(loop, [this] { onTimer(); }) {}

void SnapshotWriter::start() {
  if (settings_.file.empty()) return;
  startedAt_ = loop_.now();
  files::removeLeftovers(settings_.file);
  ++earlyCrashes_;
  // No request is in flight yet, so waiting for the disk delays none.
  writePending_ = !write(files::Durable::Yes);
  nextWrite_.arm(startedAt_ + std::min<Micros>(discovery::kEarlyCrashTime,
                                               settings_.writeIntervalSeconds * kMicrosPerSecond));
}

void SnapshotWriter::stop() {
  if (settings_.file.empty()) return;
  earlyCrashes_ = 0;
  for (int writes = 0; writes < kMaxFinalWrites && !write(files::Durable::Yes); ++writes) {
  }
}

void SnapshotWriter::onTimer() {
  const bool ranLongEnough = earlyCrashes_ > 0 && loop_.now() - startedAt_ >= discovery::kEarlyCrashTime;
  if (ranLongEnough) earlyCrashes_ = 0;
  writePending_ = writePending_ || ranLongEnough;
  // Requests are in flight, and waiting for the disk would delay them.
  if (writePending_ || gateway_.listsApplied() != listsWritten_) writePending_ = !write(files::Durable::No);
  nextWrite_.arm(loop_.now() + settings_.writeIntervalSeconds * kMicrosPerSecond);
}

bool SnapshotWriter::write(files::Durable durable) {
  snapshot::Snapshot current = gateway_.currentSnapshot();
  current.earlyCrashes = earlyCrashes_;
  std::string problem;
  const bool written = snapshot::save(settings_.file, current, durable, problem);
  // Only the first of several failures in a row is logged.
  if (!written && !lastWriteFailed_) logLine(problem);
  lastWriteFailed_ = !written;
  if (written) listsWritten_ = gateway_.listsApplied();
  return written;
}

}  // namespace heathflow::program
