#include "program/keeper.h"

#include <algorithm>

#include "discovery/crash_loop_delay.h"
#include "program/log.h"

namespace heathflow::program {
namespace {

constexpr transport::Micros kMicrosPerSecond = 1'000'000;
// A life that ended in order must not count as one that died young for one failed write.
constexpr int kLastTries = 3;

}  // namespace

std::optional<snapshot::Snapshot> earlierLife(const installation::SnapshotSettings& settings,
                                              const std::string& name) {
  if (settings.file.empty()) return {};
  std::string problem;
  auto out = snapshot::load(settings.file, name, problem);
  if (!problem.empty()) logLine(problem);
  return out;
}

Keeper::Keeper(transport::EventLoop& loop, const installation::SnapshotSettings& settings,
               const std::optional<snapshot::Snapshot>& earlier, const Gateway& gateway)
    : loop_(loop),
      settings_(settings),
      gateway_(gateway),
      youngDeaths_(earlier ? earlier->earlyCrashes : 0),
      next_(loop, [this] { turn(); }) {}

void Keeper::begin() {
  if (settings_.file.empty()) return;
  begunAt_ = loop_.now();
  files::removeLeftovers(settings_.file);
  ++youngDeaths_;
  // Nothing is asked yet: there is time to wait for the disk.
  owed_ = !write(files::Durable::Yes);
  next_.arm(begunAt_ +
            std::min<transport::Micros>(discovery::kEarlyCrashTime, settings_.every * kMicrosPerSecond));
}

void Keeper::end() {
  if (settings_.file.empty()) return;
  youngDeaths_ = 0;
  for (int tries = 0; tries < kLastTries && !write(files::Durable::Yes); ++tries) {
  }
}

void Keeper::turn() {
  const bool grown = youngDeaths_ > 0 && loop_.now() - begunAt_ >= discovery::kEarlyCrashTime;
  if (grown) youngDeaths_ = 0;
  owed_ = owed_ || grown;
  // Requests are out: what would have to wait for the disk would hold them up.
  if (owed_ || gateway_.listsTaken() != written_) owed_ = !write(files::Durable::No);
  next_.arm(loop_.now() + settings_.every * kMicrosPerSecond);
}

bool Keeper::write(files::Durable durable) {
  snapshot::Snapshot now = gateway_.remember();
  now.earlyCrashes = youngDeaths_;
  std::string problem;
  const bool good = snapshot::save(settings_.file, now, durable, problem);
  if (!good && !failing_) logLine(problem);  // once, until it goes well again
  failing_ = !good;
  if (good) written_ = gateway_.listsTaken();
  return good;
}

}  // namespace heathflow::program
