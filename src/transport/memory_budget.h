// The memory, bytes, that all buffers of a process may use beyond their small initial allocations.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace heathflow::transport {

// Waits until the memory budget has room for an allocation.
class MemoryWaiter {
 public:
  virtual ~MemoryWaiter() = default;
  // The budget may have room now. The waiter no longer waits. It must not allocate within the call.
  virtual void onMemoryReleased() = 0;
};

// Holds memory of less important use that can be freed.
class MemoryReclaimer {
 public:
  virtual ~MemoryReclaimer() = default;
  // Frees some memory. Returns false if there is none to free.
  virtual bool reclaimMemory() = 0;
};

class MemoryBudget {
 public:
  // Identifies a waiter; 0 identifies none.
  using Ticket = std::uint64_t;

  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  void setLimit(std::size_t limit) {
    limit_ = limit;
    released_ = true;
  }
  // Returns false and charges nothing if the limit would be exceeded.
  bool tryAcquire(std::size_t size) {
    if (!hasRoomFor(size)) return false;
    used_ += size;
    return true;
  }
  void release(std::size_t size) {
    used_ -= size;
    released_ = true;
  }
  std::size_t used() const { return used_; }
  bool hasRoomFor(std::size_t size) const { return used_ + size <= limit_; }

  // The reclaimer must be removed before it is destroyed.
  void addReclaimer(MemoryReclaimer& reclaimer) { reclaimers_.push_back(&reclaimer); }
  void removeReclaimer(MemoryReclaimer& reclaimer) { std::erase(reclaimers_, &reclaimer); }
  // Reclaims memory until there is room for 'size' bytes. Returns whether there is. Must not be called while
  // a buffer is being changed.
  bool reclaim(std::size_t size);

  // Adds a waiter for 'size' bytes. The waiter must be removed before it is destroyed.
  Ticket addWaiter(MemoryWaiter& waiter, std::size_t size);
  void removeWaiter(Ticket ticket) { waiters_.erase(ticket); }
  // Notifies the waiters for which released memory suffices, in the order in which they were added. Called
  // once per turn of the event loop.
  void notifyWaiters();

 private:
  struct Waiting {
    MemoryWaiter* waiter;
    std::size_t size;
  };

  std::size_t limit_;
  std::size_t used_ = 0;
  bool released_ = false;  // since the waiters were last notified
  Ticket lastTicket_ = 0;
  std::map<Ticket, Waiting> waiters_;
  std::vector<MemoryReclaimer*> reclaimers_;
};

}  // namespace heathflow::transport
