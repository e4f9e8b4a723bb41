// A bounded byte queue in one piece: filled at its end, consumed from its front.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "transport/memory_budget.h"

namespace heathflow::transport {

class Buffer {
 public:
  // Holds up to 'limit' bytes. What is large of it is taken from the budget, where there is one.
  explicit Buffer(std::size_t limit, MemoryBudget* budget = nullptr) : limit_(limit), budget_(budget) {}
  ~Buffer() { release(); }
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;

  // What stands in it. Valid until the next change; offsets into it stay valid until something is consumed.
  std::string_view view() const { return {data_.get() + begin_, end_ - begin_}; }
  std::size_t size() const { return end_ - begin_; }
  bool empty() const { return begin_ == end_; }
  bool full() const { return size() >= limit_; }
  std::size_t capacity() const { return capacity_; }

  // Room for more bytes at the end; none when the limit is reached. 'filled' takes in what was put there.
  struct Room {
    char* at;
    std::size_t size;
  };
  Room room();
  void filled(std::size_t size) { end_ += size; }

  // False, and nothing taken, where the limit would be passed or the budget has no more.
  bool append(std::string_view bytes);

  void consume(std::size_t size);
  // Lets go of all that is held, and of its memory.
  void release();
  // Makes room for so many bytes in all.
  bool reserve(std::size_t size);

 private:
  std::size_t limit_;
  MemoryBudget* budget_;
  std::unique_ptr<char[]> data_;
  std::size_t capacity_ = 0;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace heathflow::transport
