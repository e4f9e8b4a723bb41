// What all buffers of a process may take beyond their first small pieces.
#pragma once

#include <cstddef>

namespace heathflow::transport {

class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  void setLimit(std::size_t limit) { limit_ = limit; }
  // False, and nothing taken, where the limit would be passed.
  bool take(std::size_t size) {
    if (taken_ + size > limit_) return false;
    taken_ += size;
    return true;
  }
  void giveBack(std::size_t size) { taken_ -= size; }
  std::size_t taken() const { return taken_; }

 private:
  std::size_t limit_;
  std::size_t taken_ = 0;
};

}  // namespace heathflow::transport
