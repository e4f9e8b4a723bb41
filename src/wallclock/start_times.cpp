#include "wallclock/start_times.h"

#include <algorithm>

namespace heathflow::wallclock {

void StartTimes::beginList(Micros now, bool confirmed) {
  now_ = now;
  confirmed_ = confirmed;
  previousConfirmedAt_ = confirmedAt_;
  if (confirmed) confirmedAt_ = now;
}

// Limits a listed start: it can't be in the future, nor long before a time at which this incarnation was not
// yet running.
// @param notRunningAt when a list contained an earlier incarnation of the endpoint, or none; kNever: unknown.
Micros StartTimes::bounded(Micros listed, Micros notRunningAt) const {
  const Micros startedAt = std::min(listed, now_);
  const bool possible = notRunningAt == kNever || startedAt >= notRunningAt - kMaxListDelay;
  return possible ? startedAt : notRunningAt;
}

Micros StartTimes::startedAt(const std::string& endpoint, Micros listed) {
  const auto [entry, isNew] = records_.try_emplace(endpoint);
  Record& record = entry->second;
  if (isNew) {
    // It started after the last confirmed list, which did not contain it, or that list was late.
    record.startedAt = listed == 0 ? 0 : bounded(listed, confirmed_ ? previousConfirmedAt_ : kNever);
  } else if (listed != record.listed && listed != 0) {
    // A new incarnation: it started after the previous one, even if the endpoint's clock was set back.
    record.startedAt = std::max(bounded(listed, record.confirmedAt), record.startedAt + 1);
  }
  record.listed = listed;
  if (confirmed_) record.confirmedAt = now_;
  return record.startedAt;
}

}  // namespace heathflow::wallclock
