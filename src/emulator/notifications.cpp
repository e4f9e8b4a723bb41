#include "emulator/notifications.h"

#include <algorithm>
#include <limits>

namespace heathflow::emulator {

void Notifications::endpointChanged(const std::string& endpoint, ListedState state, Micros at) {
  std::vector<Change>& known = changes_[endpoint];
  const ListedState before = known.empty() ? ListedState::Ready : known.back().state;
  if (state != before) known.push_back({at, state});
}

void Notifications::serviceDown(Micros at) {
  if (outages_.empty() || outages_.back().until) outages_.push_back({at, {}});
}

void Notifications::serviceUp(Micros at) {
  if (!outages_.empty() && !outages_.back().until) outages_.back().until = at;
}

void Notifications::gatewayStarted(const std::string& gateway, Micros at) {
  incarnations_[gateway] = Incarnation{};
  incarnations_[gateway].startedAt = at;
}

void Notifications::answerWritten(const std::string& gateway, Micros at) {
  incarnations_[gateway].notices.push_back({at, at, at});
}

void Notifications::answerWrittenIntoCutPath(const std::string& gateway, Micros at, const CutPath& cutPath) {
  Micros counts = std::max(at, cutPath.since + terms_.latestAfterChange);
  if (cutPath.waitEnds) counts = std::max(counts, *cutPath.waitEnds + terms_.afterLongPoll);
  incarnations_[gateway].notices.push_back({at, counts, std::min(counts, std::max(at, cutPath.until)), true});
}

void Notifications::callFailed(const std::string& gateway, Micros at) {
  Incarnation& incarnation = incarnations_[gateway];
  if (!incarnation.firstFailure) incarnation.firstFailure = at;
}

void Notifications::serviceMoved(const std::string& gateway, Micros at) {
  incarnations_[gateway].notices.push_back({at, at + terms_.afterMove, at + terms_.afterMove});
}

// Returns the first time from 'at' on at which the service was up; a time far in the future if it is still
// down.
Micros Notifications::reachableFrom(Micros at) const {
  constexpr Micros kNotYet = std::numeric_limits<Micros>::max() / 2;
  for (const Span& outage : outages_) {
    if (at >= outage.from && (!outage.until || at < *outage.until)) return outage.until.value_or(kNotYet);
  }
  return at;
}

// Returns when a change counts as known to an incarnation: the earliest time by the terms.
Micros Notifications::countsFrom(const Incarnation& incarnation, const Change& change) const {
  const Micros changedAt = change.at;
  const Micros reachable = reachableFrom(changedAt);
  if (terms_.pushed) return std::max(reachable, incarnation.startedAt);
  Micros counts = reachable + terms_.latestAfterChange;
  // A process may start with an old list. It may use that list until one of its calls fails, but no longer
  // than any other list.
  if (changedAt < incarnation.startedAt) {
    const Micros grace = incarnation.startedAt + terms_.latestAfterChange;
    counts = std::max(counts, std::min(grace, incarnation.firstFailure.value_or(grace)));
  }
  // The time of an answer written into a cut path holds even if it is later.
  for (const Notice& notice : incarnation.notices) {
    if (notice.intoCutPath && notice.upTo >= changedAt) counts = std::max(counts, notice.at);
  }
  for (const Notice& notice : incarnation.notices) {
    if (notice.upTo < changedAt) continue;
    counts = std::min(counts, change.state == ListedState::Ready ? notice.returnsFrom : notice.at);
  }
  return counts;
}

std::optional<Micros> Notifications::notifiedNotReadySince(const std::string& gateway,
                                                           const std::string& endpoint, Micros at) const {
  const auto known = changes_.find(endpoint);
  const auto incarnation = incarnations_.find(gateway);
  if (known == changes_.end() || incarnation == incarnations_.end()) return std::nullopt;
  const std::vector<Change>& changes = known->second;
  // Goes back from the newest change. The newest one that the gateway knows decides whether the endpoint is
  // ready. If it is not, the result is the earliest time of the known changes since its last return.
  std::optional<Micros> since;
  for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
    const Micros counts = countsFrom(incarnation->second, *change);
    if (counts > at) continue;
    if (change->state == ListedState::Ready) return since;
    since = since ? std::min(*since, counts) : counts;
  }
  return since;
}

}  // namespace heathflow::emulator
