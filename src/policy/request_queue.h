// Requests of a group that wait for an endpoint: a LIFO queue for each class. The newest has the best chance
// to meet its objective, while by age each would be served just too late.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "policy/policy_context.h"

namespace heathflow::policy {

class RequestQueue {
 public:
  void setClassCount(std::size_t count) { lines_.resize(count); }
  std::size_t classCount() const { return lines_.size(); }

  bool empty() const { return size_ == 0; }
  bool empty(std::size_t classIndex) const { return lines_[classIndex].empty(); }
  RequestId newest(std::size_t classIndex) const { return lines_[classIndex].back(); }
  void push(std::size_t classIndex, RequestId request) {
    lines_[classIndex].push_back(request);
    ++size_;
  }
  void popNewest(std::size_t classIndex) {
    lines_[classIndex].pop_back();
    --size_;
  }

 private:
  std::vector<std::deque<RequestId>> lines_;
  std::size_t size_ = 0;
};

}  // namespace heathflow::policy
