#include "transport/buffer.h"

#include <algorithm>
#include <cstring>

namespace heathflow::transport {
namespace {

// Bytes that an empty buffer keeps at most.
constexpr std::size_t kMaxIdleCapacity = 16384;
// Bytes; less free space is not worth a read.
constexpr std::size_t kMinReadSize = 1024;

}  // namespace

bool Buffer::reserve(std::size_t wanted) {
  if (wanted > limit_) return false;
  if (wanted <= capacity_ - begin_) return true;
  const std::size_t held = size();
  if (wanted <= capacity_) {
    std::memmove(data_.get(), data_.get() + begin_, held);
  } else {
    const std::size_t next = allocationFor(wanted);
    // Refuses the allocation here, where the caller can report it, instead of exhausting the process's
    // memory.
    if (budget_ != nullptr && next > kInitialCapacity && !budget_->tryAcquire(next)) return false;
    if (charged() != 0) budget_->release(charged());
    auto grown = std::make_unique_for_overwrite<char[]>(next);
    if (held != 0) std::memcpy(grown.get(), data_.get() + begin_, held);
    data_ = std::move(grown);
    capacity_ = next;
  }
  begin_ = 0;
  end_ = held;
  return true;
}

std::size_t Buffer::allocationFor(std::size_t size) const {
  return std::min(limit_, std::max({kInitialCapacity, size, 2 * capacity_}));
}

bool Buffer::reserveOrReclaim(std::size_t size) {
  if (reserve(size)) return true;
  return size <= limit_ && budget_ != nullptr && budget_->reclaim(allocationFor(size)) && reserve(size);
}

std::size_t Buffer::nextAllocation() const { return allocationFor(std::min(limit_, size() + kMinReadSize)); }

Buffer::FreeSpace Buffer::prepare() {
  if (!reserve(std::min(limit_, size() + kMinReadSize))) return {nullptr, 0};
  const std::size_t free = std::min(capacity_ - end_, limit_ - size());
  return {data_.get() + end_, free};
}

bool Buffer::append(std::string_view bytes) {
  if (bytes.empty()) return true;
  if (!reserve(size() + bytes.size())) return false;
  std::memcpy(data_.get() + end_, bytes.data(), bytes.size());
  end_ += bytes.size();
  return true;
}

void Buffer::consume(std::size_t size) {
  begin_ += std::min(size, end_ - begin_);
  if (begin_ != end_) return;
  begin_ = end_ = 0;
  // Large values are rare, so their memory is not kept for the next one.
  if (capacity_ > kMaxIdleCapacity) release();
}

void Buffer::release() {
  if (charged() != 0) budget_->release(charged());
  data_.reset();
  capacity_ = begin_ = end_ = 0;
}

}  // namespace heathflow::transport
