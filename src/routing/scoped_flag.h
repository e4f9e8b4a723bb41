#pragma once

namespace heathflow::routing {

// Sets a flag and clears it at the end of the scope, also when an exception leaves it.
class ScopedFlag {
 public:
  explicit ScopedFlag(bool& flag) : flag_(flag) { flag_ = true; }
  ~ScopedFlag() { flag_ = false; }
  ScopedFlag(const ScopedFlag&) = delete;
  ScopedFlag& operator=(const ScopedFlag&) = delete;

 private:
  bool& flag_;
};

}  // namespace heathflow::routing
