// Judges whether gateways keep the rules, from outside: by what clients sent and received, and by what
// endpoints and the list service saw. No I/O; all times are of the emulator's clock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emulator/notifications.h"
#include "transport/clock.h"

namespace heathflow::emulator {

using transport::Micros;

// The rules of the operators' pages; and: no attempt begins for a client that has disconnected, an endpoint
// gets no longer timeout than its client has left, and the gateways' own invariant checkers find nothing.
enum class Rule {
  OneAnswer,
  NoSecondEffect,
  DrainsRespected,
  SlowStartRespected,
  NoStaleRead,
  NoAttemptAfterDisconnect,
  TimeoutForwarded,
  InvariantsKept
};
inline constexpr std::size_t kRules = 8;
const char* nameOf(Rule rule);

enum class RequestResult { Served, Rejected, Failed, Broken };  // Broken: the connection ended without one

struct JudgeLimits {
  Micros slack = 70'000;              // an answer may come so long after the client's deadline
  Micros drainGrace = 300'000;        // attempts to an endpoint after the gateway was notified that it drains
  Micros overloadWindow = 2'000'000;  // attempts to an endpoint in slow start are summed over this time
  double overloadMultiple = 2.5;      // and may be this multiple of what it can serve, and chance beyond it
  Micros afterDisconnect = 150'000;   // an attempt may begin so long after its client has disconnected
  Micros timeoutSlack = 200'000;      // of a forwarded timeout, beyond what the client has left
};

struct Breach {
  Rule rule = Rule::OneAnswer;
  Micros at = 0;
  std::string who;   // the gateway, as far as it is known
  std::string what;  // the request or endpoint, and what was seen
};

class Judge {
 public:
  explicit Judge(JudgeLimits limits = {}) : limits_(limits) {}

  // ---- Seen by clients ----
  struct ClientRequest {
    std::string id;
    std::string gateway;
    Micros at = 0;                // when its last byte was written
    Micros patience = 0;          // how long the client waits from then on
    bool repeatable = true;       // any number of effects does no harm
    bool rejectable = true;       // a rejection is allowed although it may have run
    std::optional<Micros> bound;  // of a read: how old its data may be when it is sent
  };
  void requestSent(const ClientRequest& request);
  void requestAnswered(const std::string& id, Micros at, RequestResult how);
  // The client disconnected by itself: nothing is owed any more.
  void clientDisconnected(const std::string& id, Micros at);
  // The emulator killed or paused a gateway: the requests that it had are not its fault.
  void gatewayKilled(const std::string& gateway, Micros at);
  // A gateway was killed no earlier than a platform may: the requests that it had are its fault.
  void gatewayEndedWithOpenRequests(const std::string& gateway, Micros at);

  // ---- Seen by endpoints ----
  // A gateway has written an attempt. Only links report this; without them an attempt counts as sent when it
  // is received.
  void attemptSent(const std::string& id, const std::string& endpoint, Micros at);
  // @param receivedAt         when the last byte of the attempt came.
  // @param position           up to when the endpoint had applied all commits.
  // @param forwardedTimeout  how long the gateway will wait, where it says so.
  void attemptReceived(const std::string& id, const std::string& endpoint, Micros receivedAt, Micros position,
                       std::optional<Micros> forwardedTimeout = {});
  // The request has had its effect.
  void requestExecuted(const std::string& id, const std::string& endpoint, Micros at);
  void endpointWarmingUp(const std::string& endpoint, Micros at, double requestsPerSecond);
  void endpointWarm(const std::string& endpoint);

  // ---- Seen by the list service ----
  // Whoever plays the list service and the gateways feeds it.
  Notifications& notifications() { return notifications_; }

  // A breach that a gateway's invariant checker or the emulator has found.
  void reportBreach(Rule rule, Micros at, const std::string& gateway, const std::string& what) {
    breach(rule, at, gateway, what);
  }

  // Adds the requests that never had an answer. Returns all breaches, in the order in which they were found.
  const std::vector<Breach>& finish(Micros at);
  const std::vector<Breach>& breaches() const { return breaches_; }
  std::size_t count(Rule rule) const;
  std::uint64_t requests() const { return requests_; }
  std::uint64_t byAnswer(RequestResult how) const { return answers_[static_cast<std::size_t>(how)]; }
  // A line for each rule.
  std::string verdict() const;

 private:
  struct Known {
    ClientRequest request;
    unsigned answers = 0;
    bool closed = false;  // no answer is owed any more, or its lack has been reported
    bool mayHaveRun = false;
    bool exempt = false;  // its gateway was killed or paused by the emulator
    bool rejected = false;
    std::optional<Micros> disconnectedAt;
    std::map<std::string, Micros> sent;  // the newest attempt, by endpoint
    unsigned effects = 0;
    Micros lastPosition = 0;
  };
  struct SlowStart {
    double requestsPerSecond = 0;
    std::vector<Micros> sent;
  };
  void breach(Rule rule, Micros at, const std::string& who, const std::string& what);
  void checkAttempt(const Known& known, const std::string& id, Micros sentAt,
                    std::optional<Micros> forwardedTimeout);
  void checkNotified(const std::string& gateway, const std::string& id, const std::string& endpoint,
                     Micros sentAt);
  void checkSlowStart(const std::string& gateway, const std::string& endpoint, Micros sentAt);

  JudgeLimits limits_;
  std::map<std::string, Known> known_;
  std::map<std::string, SlowStart> slowStarts_;
  Notifications notifications_;
  std::vector<Breach> breaches_;
  std::array<std::size_t, kRules> counts_{};
  std::array<std::uint64_t, 4> answers_{};
  std::uint64_t requests_ = 0;
};

}  // namespace heathflow::emulator
