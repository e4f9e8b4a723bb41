#pragma once

namespace heathflow::routing {

// Sets a flag for as long as it lives, also where an exception ends its scope.
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
