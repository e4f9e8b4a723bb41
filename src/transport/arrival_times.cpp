#include "transport/arrival_times.h"

#include <algorithm>

namespace heathflow::transport {

void ArrivalTimes::add(std::size_t size, Micros at) {
  if (size == 0) return;
  added_ += size;
  if (!marks_.empty() && marks_.back().at >= at) {
    marks_.back().end = added_;
    return;
  }
  if (marks_.size() == kMaxMarks) mergeNeighbours();
  marks_.push_back({added_, at});
}

void ArrivalTimes::consume(std::size_t size) {
  consumed_ += std::min(size, bufferedBytes());
  const auto isBuffered = [this](const Mark& mark) { return mark.end > consumed_; };
  marks_.erase(marks_.begin(), std::find_if(marks_.begin(), marks_.end(), isBuffered));
}

Micros ArrivalTimes::arrivalTimeOf(std::size_t size) const {
  const std::uint64_t end = consumed_ + std::clamp<std::size_t>(size, 1, bufferedBytes());
  const auto reachesEnd = [end](const Mark& mark) { return mark.end >= end; };
  return std::find_if(marks_.begin(), marks_.end(), reachesEnd)->at;
}

// Merges each pair of marks into one with the later end and the earlier time.
void ArrivalTimes::mergeNeighbours() {
  std::size_t kept = 0;
  for (std::size_t i = 0; i < marks_.size(); i += 2) {
    const Mark& last = marks_[std::min(i + 1, marks_.size() - 1)];
    marks_[kept++] = {last.end, marks_[i].at};
  }
  marks_.resize(kept);
}

}  // namespace heathflow::transport
