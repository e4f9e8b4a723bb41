// Writes the snapshot of a running gateway to the file that the settings name, if any.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "installation/installation.h"
#include "program/gateway.h"
#include "snapshot/snapshot.h"
#include "transport/event_loop.h"

namespace heathflow::program {

// Reads the snapshot of an earlier incarnation; a file that can't be used is set aside with one log line.
std::optional<snapshot::Snapshot> loadSnapshot(const installation::SnapshotSettings& settings,
                                               const std::string& name);

class SnapshotWriter {
 public:
  SnapshotWriter(transport::EventLoop& loop, const installation::SnapshotSettings& settings,
                 const std::optional<snapshot::Snapshot>& earlier, const Gateway& gateway);

  // Counts this incarnation as one that crashed early, until it has run for long enough, and writes that.
  void start();
  // The process ends in order.
  void stop();

 private:
  void onTimer();
  bool write(files::Durable durable);

  transport::EventLoop& loop_;
  const installation::SnapshotSettings& settings_;
  const Gateway& gateway_;
  transport::Micros startedAt_ = 0;
  unsigned earlyCrashes_ = 0;
  std::uint64_t listsWritten_ = 0;  // Gateway::listUpdatesApplied() of the newest file
  bool writePending_ = false;       // something besides a list has changed since then
  bool lastWriteFailed_ = false;
  transport::Timer nextWrite_;
};

}  // namespace heathflow::program
