// A bounded, contiguous byte queue: appended to at the end, consumed from the front.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "transport/memory_budget.h"

namespace heathflow::transport {

class Buffer {
 public:
  // Holds up to 'limit' bytes. Large allocations are charged to the budget, if there is one.
  explicit Buffer(std::size_t limit, MemoryBudget* budget = nullptr) : limit_(limit), budget_(budget) {}
  ~Buffer() { release(); }
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;

  // Returns the unread bytes. The view is valid until the next change; offsets into it stay valid until bytes
  // are consumed.
  std::string_view view() const { return {data_.get() + begin_, end_ - begin_}; }
  std::size_t size() const { return end_ - begin_; }
  bool empty() const { return begin_ == end_; }
  bool full() const { return size() >= limit_; }
  std::size_t capacity() const { return capacity_; }

  // prepare() returns free space at the end, empty when the limit is reached or the budget is exhausted;
  // commit() adds the bytes that were written there to the queue.
  struct FreeSpace {
    char* data;
    std::size_t size;
  };
  FreeSpace prepare();
  // Returns how many bytes are allocated if the buffer grows to hold 'size' bytes, or for the next prepare().
  std::size_t allocationFor(std::size_t size) const;
  std::size_t nextAllocation() const;
  // Returns the bytes that are charged to the budget.
  std::size_t charged() const { return budget_ != nullptr && capacity_ > kInitialCapacity ? capacity_ : 0; }
  void commit(std::size_t size) { end_ += size; }

  // Returns false and appends nothing if the limit would be exceeded or the budget is exhausted.
  bool append(std::string_view bytes);

  void consume(std::size_t size);
  // Discards the content and frees its memory.
  void release();
  // Makes room for 'size' bytes in total, the unread ones included. Returns false under the same conditions
  // as append().
  bool reserve(std::size_t size);
  // Like reserve(), but has the budget reclaim memory of less important use if it is exhausted.
  bool reserveOrReclaim(std::size_t size);

  // Bytes. The first allocation is not charged to the budget, so a small buffer can always be had.
  static constexpr std::size_t kInitialCapacity = 4096;

 private:
  std::size_t limit_;
  MemoryBudget* budget_;
  std::unique_ptr<char[]> data_;
  std::size_t capacity_ = 0;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace heathflow::transport
