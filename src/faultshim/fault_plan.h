// Which system calls of a process fail, and how its wall clock is stepped: a plan as text, and the draw of
// each call's fate by a seed. Decisions only; shim.cpp carries them out.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace heathflow::faultshim {

using Micros = std::int64_t;

// What can go wrong with a call. The names in a plan's text are those of nameOf().
enum class Fault {
  ShortRead,    // recv and read return a part of what is there
  ShortWrite,   // send and write take a part
  Interrupt,    // EINTR from waits for events
  InterruptIo,  // EINTR from reads, writes and accepts
  Socket,       // socket: ENFILE, ENOBUFS, ENOMEM in turn
  Accept,       // accept: ECONNABORTED, ENFILE, ENOBUFS, EPROTO, ENOMEM in turn
  Connect,      // connect: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN in turn
  Create,       // epoll_create1, signalfd: EMFILE, ENFILE, ENOMEM in turn
  Watch,        // epoll_ctl, adding: ENOMEM, ENOSPC in turn
  Break,        // an outgoing connection ends with ETIMEDOUT, EHOSTUNREACH, ECONNRESET in turn
  Listen,       // bind and listen: EADDRINUSE
  FileOpen,     // opening a file: ENFILE, EIO, ENOMEM in turn
  FileRead,     // EIO
  FileWrite,    // ENOSPC, EIO in turn, half of the time behind a half written piece
  FileSync,     // fsync, fdatasync: EIO, ENOSPC in turn
  FileRename,   // ENOSPC, EIO in turn
  HoldUp        // the process stands still for up to kLongestHoldUp ahead of a send
};
inline constexpr std::size_t kFaults = 17;
const char* nameOf(Fault fault);

// STANDING: a gateway may be held up so long between reading its clock and writing.
inline constexpr Micros kLongestHoldUp = 150'000;

// So many of the calls fail, from a time of the process to another.
struct FaultShare {
  Fault fault = Fault::ShortRead;
  double share = 0;
  Micros from = 0;
  Micros until = 0;        // 0: to the end
  std::uint64_t most = 0;  // calls that fail; 0: any number
};

// The wall clock is ahead by so much more (behind, where it is negative) from that time of the process on.
struct ClockStep {
  Micros at = 0;
  Micros by = 0;
};

// As text: items with ';' between them. 'seed=7', 'short-read=0.05', 'socket=1@0-2000#3' (from the start to
// 2,000 ms, three calls at the most), 'step=+3600000@5000' (ms, at ms).
struct FaultPlan {
  std::uint64_t seed = 1;
  std::vector<FaultShare> shares;
  std::vector<ClockStep> steps;

  std::string text() const;
};

// Nothing where the text can't be read; then 'problem' names the item.
std::optional<FaultPlan> parsePlan(std::string_view text, std::string& problem);

// The fate of each call. Equal plans and questions give equal answers.
class FaultDraw {
 public:
  FaultDraw() = default;
  explicit FaultDraw(FaultPlan plan);

  // Whether a call fails at a time of the process.
  bool strikes(Fault fault, Micros now);
  // The next of so many errors that a fault shows in turn.
  std::size_t turn(Fault fault, std::size_t count);
  // From 1 to 'most'.
  std::size_t upTo(std::size_t most);
  // How far the wall clock is ahead of the true one at a time of the process.
  Micros wallAhead(Micros now) const;
  // How many calls have failed so.
  std::uint64_t struck(Fault fault) const { return struck_[static_cast<std::size_t>(fault)]; }

 private:
  FaultPlan plan_;
  std::mt19937_64 random_;
  std::vector<std::uint64_t> used_;  // by the plan's shares
  std::array<std::uint64_t, kFaults> struck_{};
  std::array<std::size_t, kFaults> turns_{};
};

}  // namespace heathflow::faultshim
