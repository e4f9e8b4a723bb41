// The memory, bytes, that all buffers of a process may use beyond their small initial allocations.
#pragma once

#include <cstddef>

namespace heathflow::transport {

class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  void setLimit(std::size_t limit) { limit_ = limit; }
  // Returns false and charges nothing if the limit would be exceeded.
  bool tryAcquire(std::size_t size) {
    if (used_ + size > limit_) return false;
    used_ += size;
    return true;
  }
  void release(std::size_t size) { used_ -= size; }
  std::size_t used() const { return used_; }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace heathflow::transport
