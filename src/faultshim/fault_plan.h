// A plan of which system calls of a process fail and how its wall clock is stepped, with its text form, and
// the sampler that decides per call with a seeded generator. The calls are replaced in shim.cpp.
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

// The kinds of injected faults. A plan's text uses the names that nameOf() returns. Where several errors are
// listed, successive failures return them in turn.
enum class Fault {
  ShortRead,    // recv, and read from a file, return fewer bytes than asked for
  ShortWrite,   // send, and write to a file, take a part of the bytes
  Interrupt,    // epoll_wait, epoll_pwait2: EINTR
  InterruptIo,  // recv, send, read, accept4: EINTR
  Socket,       // socket: ENFILE, ENOBUFS, ENOMEM
  Accept,       // accept4: ECONNABORTED, ENFILE, ENOBUFS, EPROTO, ENOMEM
  Connect,      // connect: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN
  Create,       // epoll_create1, signalfd: EMFILE, ENFILE, ENOMEM
  Watch,        // epoll_ctl with EPOLL_CTL_ADD: ENOMEM, ENOSPC
  Break,        // recv, send: an outgoing connection ends with ETIMEDOUT, EHOSTUNREACH, ECONNRESET
  Listen,       // bind: EADDRINUSE
  FileOpen,     // fopen, and open without O_DIRECTORY: ENFILE, EIO, ENOMEM
  FileRead,     // read from a file: EIO
  FileWrite,    // write, writev to a file: ENOSPC, EIO; half of these failures first write a part
  FileSync,     // fsync, fdatasync: EIO, ENOSPC
  FileRename,   // rename: ENOSPC, EIO
  HoldUp        // the process is paused for up to kMaxHoldUp before a send
};
inline constexpr std::size_t kFaultCount = 17;
const char* nameOf(Fault fault);

// A gateway that is paused this long between reading its clock and writing must still keep its rules.
inline constexpr Micros kMaxHoldUp = 150'000;

// A fault that each of the process's calls of its kind has with a fixed probability during an interval. Times
// count from the start of the plan.
struct FaultRule {
  Fault fault = Fault::ShortRead;
  double probability = 0;
  Micros from = 0;
  Micros until = 0;            // 0: no end
  std::uint64_t maxCount = 0;  // calls that fail; 0: no limit
};

// Moves the wall clock at a time after the start of the plan: forward, or back if 'by' is negative. Steps add
// up.
struct ClockStep {
  Micros at = 0;
  Micros by = 0;
};

// The text form separates items with ';': 'seed=7', 'short-read=0.05' (a probability),
// 'socket=1@0-2000#3' (from the start to 2000 ms, at most three calls), 'step=+3600000@5000' (by ms, at ms).
struct FaultPlan {
  std::uint64_t seed = 1;
  std::vector<FaultRule> rules;
  std::vector<ClockStep> steps;

  std::string text() const;
};

// Returns nullopt if the text is invalid; then 'problem' names the invalid item.
std::optional<FaultPlan> parsePlan(std::string_view text, std::string& problem);

// Decides for each call whether it fails. The same plan and the same sequence of calls give the same
// decisions.
class FaultSampler {
 public:
  FaultSampler() = default;
  explicit FaultSampler(FaultPlan plan);

  // Decides whether a call has this fault at a time after the start of the plan, and counts it if so.
  bool shouldFail(Fault fault, Micros now);
  // Returns the index of the next error of a fault that has 'count' errors in turn.
  std::size_t nextErrorIndex(Fault fault, std::size_t count);
  // Returns a random number from 1 to 'max'.
  std::size_t randomUpTo(std::size_t max);
  // Returns the sum of the clock steps up to a time after the start of the plan.
  Micros wallClockOffset(Micros now) const;
  // Returns how many calls have had this fault.
  std::uint64_t injectedCount(Fault fault) const { return injected_[static_cast<std::size_t>(fault)]; }

 private:
  FaultPlan plan_;
  std::mt19937_64 random_;
  std::vector<std::uint64_t> countByRule_;  // in the order of the plan's rules
  std::array<std::uint64_t, kFaultCount> injected_{};
  std::array<std::size_t, kFaultCount> errorsReturned_{};
};

}  // namespace heathflow::faultshim
