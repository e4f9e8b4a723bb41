// When the bytes that wait in an input buffer arrived. Messages that were written one behind another are read
// together and handled one after the other; each is still as old as its own last byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "transport/clock.h"

namespace heathflow::transport {

// Holds at most kMostMarks times. Beyond that neighbours are joined under the earlier of their times: a byte
// may then count as older than it is, never as younger.
class ArrivalTimes {
 public:
  // The next 'size' bytes arrived at that time, which is none before that of the bytes ahead of them.
  void add(std::size_t size, Micros at);
  // The first 'size' bytes have left the buffer.
  void drop(std::size_t size);
  // When the last of the first 'size' waiting bytes arrived; 'size' is from 1 to waiting().
  Micros lastOf(std::size_t size) const;
  // How many bytes wait.
  std::size_t waiting() const { return static_cast<std::size_t>(added_ - dropped_); }

  static constexpr std::size_t kMostMarks = 128;

 private:
  // All bytes up to 'end', from the end of the mark before, arrived at one time.
  struct Mark {
    std::uint64_t end;  // counted from the connection's first byte
    Micros at;
  };
  void joinNeighbours();

  std::vector<Mark> marks_;  // of the bytes that wait, in order
  std::uint64_t added_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace heathflow::transport
