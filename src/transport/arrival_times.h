// Arrival times of the bytes in an input buffer. Pipelined messages are read together and handled one after
// the other; each message arrived when its own last byte did.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "transport/clock.h"

namespace heathflow::transport {

// Stores at most kMaxMarks distinct times. Beyond that, neighbours are merged under the earlier of their
// times: a byte may then be reported as older than it is, never as younger.
class ArrivalTimes {
 public:
  // Records that the next 'size' bytes arrived at 'at', which is not before the time of the bytes ahead of
  // them.
  void add(std::size_t size, Micros at);
  // Records that the first 'size' bytes were removed from the buffer.
  void consume(std::size_t size);
  // Returns when the last of the first 'size' buffered bytes arrived; 'size' is 1 to bufferedBytes().
  Micros arrivalTimeOf(std::size_t size) const;
  std::size_t bufferedBytes() const { return static_cast<std::size_t>(added_ - consumed_); }

  static constexpr std::size_t kMaxMarks = 128;

 private:
  // All bytes from the end of the previous mark up to 'end' arrived at the same time.
  struct Mark {
    std::uint64_t end;  // counted from the connection's first byte
    Micros at;
  };
  void mergeNeighbours();

  std::vector<Mark> marks_;  // of the buffered bytes, in order
  std::uint64_t added_ = 0;
  std::uint64_t consumed_ = 0;
};

}  // namespace heathflow::transport
