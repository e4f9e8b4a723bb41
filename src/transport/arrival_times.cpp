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
  if (marks_.size() == kMostMarks) joinNeighbours();
  marks_.push_back({added_, at});
}

void ArrivalTimes::drop(std::size_t size) {
  dropped_ += std::min(size, waiting());
  const auto waits = [this](const Mark& mark) { return mark.end > dropped_; };
  marks_.erase(marks_.begin(), std::find_if(marks_.begin(), marks_.end(), waits));
}

Micros ArrivalTimes::lastOf(std::size_t size) const {
  const std::uint64_t end = dropped_ + std::clamp<std::size_t>(size, 1, waiting());
  const auto holds = [end](const Mark& mark) { return mark.end >= end; };
  return std::find_if(marks_.begin(), marks_.end(), holds)->at;
}

// Of each two marks one stays, with the later end and the earlier time.
void ArrivalTimes::joinNeighbours() {
  std::size_t kept = 0;
  for (std::size_t i = 0; i < marks_.size(); i += 2) {
    const Mark& last = marks_[std::min(i + 1, marks_.size() - 1)];
    marks_[kept++] = {last.end, marks_[i].at};
  }
  marks_.resize(kept);
}

}  // namespace heathflow::transport
