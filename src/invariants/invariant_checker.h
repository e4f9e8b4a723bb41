// Checks the rules of the deployment as invariants of one process: when it sends, retries, answers, closes
// and starts. The checker keeps its own record of requests, independent of the policy that it checks, and
// counts every violation; it prevents those by an attempt. It does no input or output and reads no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/routing_policy.h"

namespace heathflow::invariants {

enum class Invariant {
  SentAfterAnswer,      // an attempt of a request that has its final answer
  SentAfterDisconnect,  // an attempt of a request that its client has cancelled
  SentAfterDeadline,    // an attempt of a request whose deadline has passed
  TimeoutTooLong,       // an endpoint was given more time than the client has left
  SentToDraining,       // to an endpoint that has been draining or removed for longer than the grace
  ForbiddenHedge,       // a second attempt in flight, where the settings allow none
  RepeatedEffect,       // a retry after an attempt that may have run, where the class allows none
  SecondAnswer,         // a request got two final answers
  RejectedAfterEffect,  // a rejection promises that there was no effect; seen while another attempt is in
                        // flight
  ClosedUnanswered,     // this process closed a connection whose request has no answer
  AcceptedAfterClose,   // a request was accepted on a connection that is closing
  StartedUnready        // clients were accepted before there was an endpoint list
};
inline constexpr std::size_t kInvariants = 12;
const char* nameOf(Invariant invariant);
// Begins the log line of a violation.
inline constexpr const char* kViolated = "violated";

// STANDING: by how much the timeout that an endpoint is given may exceed the client's.
inline constexpr Micros kTimeoutSlack = 150'000;

class InvariantChecker {
 public:
  // Called for each violation, with the request's id or 0.
  using OnViolation = std::function<void(Invariant invariant, RequestId request)>;
  // @param settings    outlive the checker.
  // @param drainGrace  for how long an endpoint may still be sent to after the list reported it as draining.
  InvariantChecker(const PolicySettings& settings, Micros drainGrace, OnViolation onViolation);

  // ---- Start ----
  void endpointsChanged(Micros now, const EndpointsChanged& list);
  // Clients are accepted from here on.
  void servingStarted();

  // ---- A request ----
  void requestAccepted(const Request& request);
  // @param closing  whether the request's connection is closing.
  void requestAcceptedOn(RequestId request, bool closing);

  struct AttemptToSend {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    EndpointId endpoint = 0;
    Micros timeout = 0;  // that the endpoint is given
  };
  // @return whether the attempt may be written; where not it must not be.
  bool maySend(Micros now, const AttemptToSend& sending);
  // @param mayHaveRun  it was written, and nothing says that it had no effect.
  void attemptEnded(RequestId request, std::uint32_t attempt, bool mayHaveRun);
  enum class FinalAnswer { Served, Rejected, Failed };
  void requestAnswered(RequestId request, FinalAnswer answer);
  void requestCancelled(RequestId request);
  // The request has ended and no attempt of it is in flight.
  void forget(RequestId request) { records_.erase(request); }

  // ---- Closing ----
  // This process closes a client's connection.
  // @param unanswered  whether a request that was read there has no answer.
  void connectionClosing(RequestId request, bool unanswered);

  std::uint64_t count(Invariant invariant) const { return counts_[static_cast<std::size_t>(invariant)]; }
  std::uint64_t total() const;
  std::size_t openRequests() const { return records_.size(); }

 private:
  struct AttemptRecord {
    std::uint32_t attempt = 0;
    Micros sentAt = 0;
    bool inFlight = true;
    bool mayHaveRun = true;
  };
  struct RequestRecord {
    std::uint32_t classIndex = 0;
    Micros deadline = 0;
    bool answered = false;
    bool cancelled = false;
    std::vector<AttemptRecord> attempts;  // that were written
  };
  void violated(Invariant invariant, RequestId request);
  std::optional<Invariant> violationOf(Micros now, const AttemptToSend& sending) const;
  bool mayRetry(const RequestRecord& record, Micros now) const;

  const PolicySettings& settings_;
  Micros drainGrace_;
  OnViolation onViolation_;
  std::unordered_map<RequestId, RequestRecord> records_;
  std::unordered_map<EndpointId, Micros> drainingSince_;
  bool listReceived_ = false;
  std::array<std::uint64_t, kInvariants> counts_{};
};

}  // namespace heathflow::invariants
