#include "membership/gossip_queue.h"

#include <algorithm>

namespace heathflow::membership {
namespace {

// Bounds memory.
constexpr std::size_t kMaxEntries = 20'000;

// Returns whether an update replaces an older one. Suspicions of one incarnation by different gateways are
// all kept, because they confirm each other.
bool replaces(const StateUpdate& update, const StateUpdate& older) {
  return older.name == update.name &&
         (update.state != State::Suspected || older.suspectedBy == update.suspectedBy ||
          older.incarnation < update.incarnation);
}

}  // namespace

void GossipQueue::add(const StateUpdate& update) {
  std::erase_if(entries_, [&](const Entry& entry) { return replaces(update, entry.update); });
  if (entries_.size() >= kMaxEntries) entries_.pop_back();
  entries_.push_front({update, 0});
}

void GossipQueue::appendTo(std::vector<StateUpdate>& updates, std::size_t maxUpdates,
                           unsigned maxTransmissions) {
  std::stable_sort(entries_.begin(), entries_.end(),
                   [](const Entry& a, const Entry& b) { return a.transmissions < b.transmissions; });
  for (Entry& entry : entries_) {
    if (updates.size() >= maxUpdates) break;
    updates.push_back(entry.update);
    ++entry.transmissions;
  }
  std::erase_if(entries_, [&](const Entry& entry) { return entry.transmissions >= maxTransmissions; });
}

}  // namespace heathflow::membership
