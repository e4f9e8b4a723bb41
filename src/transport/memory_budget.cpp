#include "transport/memory_budget.h"

#include <algorithm>
#include <utility>

namespace heathflow::transport {

bool MemoryBudget::reclaim(std::size_t size) {
  while (!hasRoomFor(size)) {
    const auto reclaims = [](MemoryReclaimer* reclaimer) { return reclaimer->reclaimMemory(); };
    if (std::none_of(reclaimers_.begin(), reclaimers_.end(), reclaims)) return false;
  }
  return true;
}

MemoryBudget::Ticket MemoryBudget::addWaiter(MemoryWaiter& waiter, std::size_t size) {
  waiters_.emplace(++lastTicket_, Waiting{&waiter, size});
  return lastTicket_;
}

void MemoryBudget::notifyWaiters() {
  if (!std::exchange(released_, false)) return;
  std::size_t free = limit_ - std::min(used_, limit_);
  for (auto next = waiters_.begin(); next != waiters_.end() && free > 0;) {
    const Waiting waiting = next->second;
    if (waiting.size > free) {
      ++next;
      continue;
    }
    free -= waiting.size;
    next = waiters_.erase(next);
    waiting.waiter->onMemoryReleased();
  }
}

}  // namespace heathflow::transport
