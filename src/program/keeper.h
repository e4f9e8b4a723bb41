// Keeps the snapshot of a running gateway on disk, where the settings name a file.
#pragma once

#include <optional>
#include <string>

#include "installation/installation.h"
#include "program/gateway.h"
#include "snapshot/snapshot.h"
#include "transport/event_loop.h"

namespace heathflow::program {

// What an earlier life left; a file that can't be used is set aside with one log line.
std::optional<snapshot::Snapshot> earlierLife(const installation::SnapshotSettings& settings,
                                              const std::string& name);

class Keeper {
 public:
  Keeper(transport::EventLoop& loop, const installation::SnapshotSettings& settings,
         const std::optional<snapshot::Snapshot>& earlier, const Gateway& gateway);

  // This life begins: until it has lasted it counts as one that died young.
  void begin();
  // It ends in order.
  void end();

 private:
  void turn();
  bool write(files::Durable durable);

  transport::EventLoop& loop_;
  const installation::SnapshotSettings& settings_;
  const Gateway& gateway_;
  transport::Micros begunAt_ = 0;
  unsigned youngDeaths_ = 0;
  std::uint64_t written_ = 0;  // the lists that the newest file holds
  bool owed_ = false;          // something else than a list is not in the file yet
  bool failing_ = false;
  transport::Timer next_;
};

}  // namespace heathflow::program
