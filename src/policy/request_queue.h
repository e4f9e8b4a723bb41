// Requests of a group that wait for an endpoint: one LIFO queue per class. The newest request has the best
// chance to meet its latency objective; in FIFO order each would be served just too late.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "policy/policy_context.h"

namespace heathflow::policy {

class RequestQueue {
 public:
  void setClassCount(std::size_t count) { queues_.resize(count); }
  std::size_t classCount() const { return queues_.size(); }

  bool empty() const { return size_ == 0; }
  bool empty(std::size_t classIndex) const { return queues_[classIndex].empty(); }
  RequestId newest(std::size_t classIndex) const { return queues_[classIndex].back(); }
  void push(std::size_t classIndex, RequestId request) {
    queues_[classIndex].push_back(request);
    ++size_;
  }
  void popNewest(std::size_t classIndex) {
    queues_[classIndex].pop_back();
    --size_;
  }

 private:
  std::vector<std::deque<RequestId>> queues_;
  std::size_t size_ = 0;
};

}  // namespace heathflow::policy
