#include "transport/buffer.h"

#include <algorithm>
#include <cstring>

namespace heathflow::transport {
namespace {

// What a buffer takes first, and the most that it keeps while it is empty.
constexpr std::size_t kFirst = 4096;
constexpr std::size_t kKept = 16384;
// Less room than this is not worth a read.
constexpr std::size_t kLeastRoom = 1024;

}  // namespace

bool Buffer::reserve(std::size_t wanted) {
  if (wanted > limit_) return false;
  if (wanted <= capacity_ - begin_) return true;
  const std::size_t held = size();
  if (wanted <= capacity_) {
    std::memmove(data_.get(), data_.get() + begin_, held);
  } else {
    const std::size_t next = std::min(limit_, std::max({kFirst, wanted, 2 * capacity_}));
    // Guards the process: what is not to be had now is rejected here, where its user can say so.
    if (budget_ != nullptr && next > kFirst && !budget_->take(next)) return false;
    if (budget_ != nullptr && capacity_ > kFirst) budget_->giveBack(capacity_);
    auto grown = std::make_unique_for_overwrite<char[]>(next);
    if (held != 0) std::memcpy(grown.get(), data_.get() + begin_, held);
    data_ = std::move(grown);
    capacity_ = next;
  }
  begin_ = 0;
  end_ = held;
  return true;
}

Buffer::Room Buffer::room() {
  if (!reserve(std::min(limit_, size() + kLeastRoom))) return {nullptr, 0};
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
  // A large value is rare: what it needed is not kept for the next.
  if (capacity_ > kKept) release();
}

void Buffer::release() {
  if (budget_ != nullptr && capacity_ > kFirst) budget_->giveBack(capacity_);
  data_.reset();
  capacity_ = begin_ = end_ = 0;
}

}  // namespace heathflow::transport
