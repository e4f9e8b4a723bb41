#include "wallclock/launch_times.h"

#include <algorithm>

namespace heathflow::wallclock {

void LaunchTimes::beginList(Micros now, bool confirmed) {
  now_ = now;
  confirmed_ = confirmed;
  confirmedBefore_ = confirmedAt_;
  if (confirmed) confirmedAt_ = now;
}

// A start that was told, no later than now and no earlier than what was seen allows: one that began long
// before a time at which the endpoint was seen in an earlier life, or not there, can't be meant.
Micros LaunchTimes::bounded(Micros told, Micros seenAt) const {
  const Micros startedAt = std::min(told, now_);
  const bool possible = seenAt == kNotYet || startedAt >= seenAt - kLateAtMost;
  return possible ? startedAt : seenAt;
}

Micros LaunchTimes::launchedAt(const std::string& endpoint, Micros told) {
  const auto [entry, isNew] = records_.try_emplace(endpoint);
  Record& record = entry->second;
  if (isNew) {
    // Where an earlier list of the service did not name it, it started since, or that list was late.
    record.startedAt = told == 0 ? 0 : bounded(told, confirmed_ ? confirmedBefore_ : kNotYet);
  } else if (told != record.told && told != 0) {
    // Another life: it began after the one before it was seen, whichever way its clock was stepped.
    record.startedAt = std::max(bounded(told, record.seenAt), record.startedAt + 1);
  }
  record.told = told;
  if (confirmed_) record.seenAt = now_;
  return record.startedAt;
}

}  // namespace heathflow::wallclock
