// The rules as invariants of one process, checked where it sends, repeats, answers, closes and starts. The
// guard keeps a record of its own, apart from the decisions that it checks: what it rejects has been decided
// wrongly, and is counted. Decisions only, under any one clock.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/routing_policy.h"

namespace heathflow::invariants {

enum class Invariant {
  SentAfterAnswer,      // an attempt for a request that has its final answer
  SentAfterDisconnect,  // or whose client has left
  SentAfterDeadline,    // or whose client's time is over
  TimeoutTooLong,       // an endpoint was told a longer time than the client has left
  SentToDraining,       // to an endpoint that was told to drain, or to be gone, beyond the grace
  ForbiddenHedge,       // beside an attempt that is still out, where the settings allow none
  RepeatedEffect,       // after one that may have run, where its class allows none
  SecondAnswer,         // a request got two final answers
  RejectedAfterEffect,  // a rejection promises that there was no effect
  ClosedUnanswered,     // this process closed a connection whose request has no answer
  AcceptedAfterClose,   // a request was taken on a connection that is being closed
  StartedUnready        // clients were taken in before there was a list
};
inline constexpr std::size_t kInvariants = 12;
const char* nameOf(Invariant invariant);

// STANDING: the slack of the time that an endpoint is told.
inline constexpr Micros kToldSlack = 150'000;

class InvariantChecker {
 public:
  // Hears of each violation, with the request's id or 0.
  using OnBroken = std::function<void(Invariant invariant, RequestId request)>;
  // 'drainGrace': for how long an endpoint may still be sent to after it was told to drain.
  InvariantChecker(const PolicySettings& settings, Micros drainGrace, OnBroken onBroken);

  // ---- Starting ----
  void listTaken(Micros now, const EndpointsChanged& list);
  void startsTaking();

  // ---- A request's path ----
  void taken(const Request& request);
  // 'onClosing': its connection is being closed and takes no more.
  void takenOn(RequestId request, bool onClosing);

  struct Sending {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    EndpointId endpoint = 0;
    Micros told = 0;  // the time that the endpoint is told, from now on
  };
  // Whether it may be written; where not it must not be.
  bool maySend(Micros now, const Sending& sending);
  // 'mayHaveRun': it was written, and nothing says that it had no effect.
  void ended(RequestId request, std::uint32_t attempt, bool mayHaveRun);
  enum class Final { Served, Rejected, Failed };
  void answered(RequestId request, Final answer);
  void left(RequestId request);
  // Nothing of the request is out or owed any more.
  void forget(RequestId request) { records_.erase(request); }

  // ---- Closing ----
  // This process closes a client's connection; 'unanswered': a request that was read there has no answer.
  void closing(RequestId request, bool unanswered);

  std::uint64_t count(Invariant invariant) const { return counts_[static_cast<std::size_t>(invariant)]; }
  std::uint64_t total() const;
  std::size_t open() const { return records_.size(); }

 private:
  struct AttemptRecord {
    std::uint32_t attempt = 0;
    Micros sentAt = 0;
    bool out = true;
    bool mayHaveRun = true;
  };
  struct RequestRecord {
    std::uint32_t classIndex = 0;
    Micros deadline = 0;
    bool answered = false;
    bool left = false;
    std::vector<AttemptRecord> tries;  // that were written
  };
  bool broken(Invariant invariant, RequestId request);
  bool mayRepeat(const RequestRecord& record, Micros now) const;

  const PolicySettings& settings_;
  Micros drainGrace_;
  OnBroken onBroken_;
  std::unordered_map<RequestId, RequestRecord> records_;
  std::unordered_map<EndpointId, Micros> drainingSince_;
  bool listed_ = false;
  std::array<std::uint64_t, kInvariants> counts_{};
};

}  // namespace heathflow::invariants
