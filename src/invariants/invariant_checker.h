// Checks the deployment's rules on sending, retrying, answering, closing and starting as invariants of this
// process. The checker keeps its own record of requests, independent of the policy that it checks. It counts
// every violation, and prevents those that sending an attempt would cause. It does no I/O and reads no clock.
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
  TimeoutTooLong,       // an attempt with a timeout beyond the time that the client has left
  SentToDraining,       // an attempt to an endpoint draining or removed for longer than the grace period
  ForbiddenHedge,       // a second attempt in flight although the settings forbid hedging
  RepeatedEffect,       // a retry after an attempt that may have run, which the class forbids
  SecondAnswer,         // a second final answer to a request
  RejectedAfterEffect,  // a rejection, which promises that there was no effect, although an attempt may have
                        // run; detected only while another attempt of the request is in flight
  ClosedUnanswered,     // the gateway closed a connection with an unanswered request
  AcceptedAfterClose,   // a request was accepted on a closing connection
  StartedUnready        // clients were accepted before there was an endpoint list
};
inline constexpr std::size_t kInvariants = 12;
const char* nameOf(Invariant invariant);
// The first word of the log line of a violation.
inline constexpr const char* kViolated = "violated";

// The timeout sent to an endpoint may exceed the client's remaining time by at most this.
inline constexpr Micros kTimeoutSlack = 150'000;

class InvariantChecker {
 public:
  // Called for each violation, with the id of the request or 0.
  using OnViolation = std::function<void(Invariant invariant, RequestId request)>;
  // @param settings must outlive the checker.
  // @param drainGrace how long an endpoint may still get requests after the list reported it as draining.
  InvariantChecker(const PolicySettings& settings, Micros drainGrace, OnViolation onViolation);

  // ---- Start ----
  void endpointsChanged(Micros now, const EndpointsChanged& list);
  // To be called when the gateway begins to accept clients.
  void servingStarted();

  // ---- A request ----
  void requestAccepted(const Request& request);
  // @param closing whether the request's connection is closing.
  void requestAcceptedOn(RequestId request, bool closing);

  struct AttemptToSend {
    RequestId request = 0;
    std::uint32_t attempt = 0;
    EndpointId endpoint = 0;
    Micros timeout = 0;  // sent to the endpoint
  };
  // Returns whether the attempt may be sent. If so, records it as sent; if not, counts the violation, and the
  // attempt must not be sent.
  bool maySend(Micros now, const AttemptToSend& sending);
  // @param mayHaveRun whether the attempt was sent and may have had an effect.
  void attemptEnded(RequestId request, std::uint32_t attempt, bool mayHaveRun);
  enum class FinalAnswer { Served, Rejected, Failed };
  void requestAnswered(RequestId request, FinalAnswer answer);
  void requestCancelled(RequestId request);
  // Drops the record of a request that has ended and has no attempt in flight.
  void forget(RequestId request) { records_.erase(request); }

  // ---- Closing ----
  // To be called when this process closes a client connection.
  // @param unanswered whether a request that was read from it has no answer.
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
    std::vector<AttemptRecord> attempts;  // those sent
  };
  void reportViolation(Invariant invariant, RequestId request);
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
