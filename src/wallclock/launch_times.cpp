#include "wallclock/launch_times.h"

namespace heathflow::wallclock {

void LaunchTimes::beginList(Micros now, bool confirmed) {
  now_ = now;
  confirmed_ = confirmed;
  confirmedBefore_ = confirmedAt_;
  if (confirmed) confirmedAt_ = now;
}

Micros LaunchTimes::launchedAt(const std::string& member, Micros told) {
  Record& record = records_.try_emplace(member).first->second;
  record.told = record.launched = told;
  if (confirmed_) record.seenAt = now_;
  return record.launched;
}

}  // namespace heathflow::wallclock
