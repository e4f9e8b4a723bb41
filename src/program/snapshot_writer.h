// Writes the snapshot of a running gateway to the file that the settings name, if they name one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "installation/installation.h"
#include "program/gateway.h"
#include "snapshot/snapshot.h"
#include "transport/event_loop.h"

namespace heathflow::program {

// Reads the snapshot of an earlier incarnation. Returns nothing, and logs why, if it can't be used; a file
// with invalid content is renamed to end in ".unusable".
std::optional<snapshot::Snapshot> loadSnapshot(const installation::SnapshotSettings& settings,
                                               const std::string& name);

class SnapshotWriter {
 public:
  SnapshotWriter(transport::EventLoop& loop, const installation::SnapshotSettings& settings,
                 const std::optional<snapshot::Snapshot>& earlier, const Gateway& gateway);

  // Writes a snapshot that counts this incarnation as an early crash, and removes that count once it has run
  // for long enough.
  void start();
  // Writes the final snapshot of a graceful shutdown.
  void stop();

 private:
  void onTimer();
  bool write(files::Durable durable);

  transport::EventLoop& loop_;
  const installation::SnapshotSettings& settings_;
  const Gateway& gateway_;
  transport::Micros startedAt_ = 0;
  unsigned earlyCrashes_ = 0;
  std::uint64_t listsWritten_ = 0;  // Gateway::listsApplied() at the newest write
  bool writePending_ = false;       // a write failed, or something besides the list has changed
  bool lastWriteFailed_ = false;
  transport::Timer nextWrite_;
};

}  // namespace heathflow::program
