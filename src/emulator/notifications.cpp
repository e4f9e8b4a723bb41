#include "emulator/notifications.h"

#include <algorithm>
#include <limits>

namespace heathflow::emulator {

void Notifications::changed(const std::string& endpoint, ListedState state, Micros at) {
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

void Notifications::started(const std::string& gateway, Micros at) {
  lives_[gateway] = Life{};
  lives_[gateway].startedAt = at;
}

void Notifications::written(const std::string& gateway, Micros at) {
  lives_[gateway].words.push_back({at, at, at});
}

void Notifications::answerWrittenIntoCutPath(const std::string& gateway, Micros at, const Silence& silence) {
  Micros counts = std::max(at, silence.since + terms_.atTheLatest);
  if (silence.waitEnds) counts = std::max(counts, *silence.waitEnds + terms_.afterWait);
  lives_[gateway].words.push_back({at, counts, std::min(counts, std::max(at, silence.until)), true});
}

void Notifications::callFailed(const std::string& gateway, Micros at) {
  Life& life = lives_[gateway];
  if (!life.firstFailure) life.firstFailure = at;
}

void Notifications::moved(const std::string& gateway, Micros at) {
  lives_[gateway].words.push_back({at, at + terms_.afterMove, at + terms_.afterMove});
}

// The first time from then on at which the service was up; far ahead while it is down.
Micros Notifications::reachableFrom(Micros at) const {
  constexpr Micros kNotYet = std::numeric_limits<Micros>::max() / 2;
  for (const Span& outage : outages_) {
    if (at >= outage.from && (!outage.until || at < *outage.until)) return outage.until.value_or(kNotYet);
  }
  return at;
}

// When a change counts as told in a life: the earliest of what the terms give.
Micros Notifications::countsAt(const Life& life, const Change& change) const {
  const Micros changedAt = change.at;
  const Micros reachable = reachableFrom(changedAt);
  if (terms_.pushed) return std::max(reachable, life.startedAt);
  Micros counts = reachable + terms_.atTheLatest;
  // The list that a process is given at its start may be old: it is held to it until a call of its own fails,
  // and as long at the most as to any other.
  if (changedAt < life.startedAt) {
    const Micros grace = life.startedAt + terms_.atTheLatest;
    counts = std::max(counts, std::min(grace, life.firstFailure.value_or(grace)));
  }
  // A watch that stands silent has a time of its own, also where that is later.
  for (const Word& word : life.words) {
    if (word.silent && word.upTo >= changedAt) counts = std::max(counts, word.at);
  }
  for (const Word& word : life.words) {
    if (word.upTo < changedAt) continue;
    counts = std::min(counts, change.state == ListedState::Ready ? word.ofReturnsAt : word.at);
  }
  return counts;
}

std::optional<Micros> Notifications::notifiedNotReadySince(const std::string& gateway,
                                                           const std::string& endpoint, Micros at) const {
  const auto known = changes_.find(endpoint);
  const auto life = lives_.find(gateway);
  if (known == changes_.end() || life == lives_.end()) return std::nullopt;
  const std::vector<Change>& changes = known->second;
  // From the newest back: the first that is told binds, and since the oldest of those before it that bind
  // too.
  std::optional<Micros> since;
  for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
    const Micros counts = countsAt(life->second, *change);
    if (counts > at) continue;
    if (change->state == ListedState::Ready) return since;
    since = since ? std::min(*since, counts) : counts;
  }
  return since;
}

}  // namespace heathflow::emulator
