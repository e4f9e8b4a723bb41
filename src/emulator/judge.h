// Judges from outside whether gateways keep the rules: by the requests and answers of clients, the attempts
// at endpoints, and the answers of the list service. No I/O; all times are of the emulator's clock.
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

// The operators' rules (the first five), and: no attempt begins for a client that has disconnected, the
// timeout forwarded to an endpoint is not longer than the time that its client has left, and the gateways'
// own invariant checkers find no violation.
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

enum class RequestResult {
  Served,
  Rejected,
  Failed,
  Broken
};  // Broken: the connection ended before the answer

struct JudgeLimits {
  Micros slack = 70'000;              // an answer may come this long after the client's deadline
  Micros drainGrace = 300'000;        // attempts may be sent this long after the notice of a drain or removal
  Micros overloadWindow = 2'000'000;  // attempts to an endpoint in slow start are counted over this time
  double overloadMultiple = 2.5;      // allowed multiple of what such an endpoint can serve in that time
  Micros afterDisconnect = 150'000;   // an attempt may begin this long after its client has disconnected
  Micros timeoutSlack = 200'000;      // a forwarded timeout may exceed the client's remaining time by this
};

struct Breach {
  Rule rule = Rule::OneAnswer;
  Micros at = 0;
  std::string who;   // the gateway; empty if it is not known
  std::string what;  // the request or endpoint, and the observation
};

class Judge {
 public:
  explicit Judge(JudgeLimits limits = {}) : limits_(limits) {}

  // ---- Observed by clients ----
  struct ClientRequest {
    std::string id;
    std::string gateway;
    Micros at = 0;                // when its last byte was written
    Micros patience = 0;          // how long the client waits from then on
    bool repeatable = true;       // it may have its effect more than once
    bool rejectable = true;       // it may be rejected even if it may have run
    std::optional<Micros> bound;  // of a read: how old the data may be when an attempt is sent
  };
  void requestSent(const ClientRequest& request);
  void requestAnswered(const std::string& id, Micros at, RequestResult result);
  // The client disconnected by itself, so no answer is owed any more.
  void clientDisconnected(const std::string& id, Micros at);
  // The emulator killed or paused a gateway: its open requests need no answer any more.
  void gatewayKilled(const std::string& gateway, Micros at);
  // A gateway was still running after SIGTERM when the platform may kill it, and was killed: its open
  // requests are breaches.
  void gatewayEndedWithOpenRequests(const std::string& gateway, Micros at);

  // ---- Observed by endpoints ----
  // A gateway has written an attempt. Only links report this; without them an attempt counts as sent when it
  // is received.
  void attemptSent(const std::string& id, const std::string& endpoint, Micros at);
  // @param receivedAt        when the last byte of the attempt arrived.
  // @param position          the time up to which the endpoint had applied all commits.
  // @param forwardedTimeout  how long the gateway will wait, if the attempt says so.
  void attemptReceived(const std::string& id, const std::string& endpoint, Micros receivedAt, Micros position,
                       std::optional<Micros> forwardedTimeout = {});
  // The endpoint has executed the request.
  void requestExecuted(const std::string& id, const std::string& endpoint, Micros at);
  void endpointWarmingUp(const std::string& endpoint, Micros at, double requestsPerSecond);
  void endpointWarm(const std::string& endpoint);

  // ---- Observed by the list service ----
  // The caller reports events of the list service and starts of gateways to it.
  Notifications& notifications() { return notifications_; }

  // Adds a breach that a gateway's invariant checker or the emulator has found.
  void reportBreach(Rule rule, Micros at, const std::string& gateway, const std::string& what) {
    breach(rule, at, gateway, what);
  }

  // Adds a breach for each request that is still owed an answer after its client's deadline plus the slack.
  // Returns the breaches in the order in which they were found; only the first 1000 are kept, but count()
  // counts all.
  const std::vector<Breach>& finish(Micros at);
  const std::vector<Breach>& breaches() const { return breaches_; }
  std::size_t count(Rule rule) const;
  std::uint64_t requests() const { return requests_; }
  std::uint64_t byAnswer(RequestResult result) const { return answers_[static_cast<std::size_t>(result)]; }
  // Returns a line for each rule.
  std::string verdict() const;

 private:
  struct TrackedRequest {
    ClientRequest request;
    unsigned answers = 0;
    bool closed = false;  // no answer is owed any more, or the missing answer has been reported
    bool mayHaveRun = false;
    bool exempt = false;  // its gateway was killed or paused by the emulator
    bool rejected = false;
    std::optional<Micros> disconnectedAt;
    std::map<std::string, Micros> sent;  // time of the newest attempt, by endpoint
    unsigned effects = 0;
    Micros lastPosition = 0;
  };
  struct SlowStart {
    double requestsPerSecond = 0;
    std::vector<Micros> sent;
  };
  void breach(Rule rule, Micros at, const std::string& who, const std::string& what);
  void checkAttempt(const TrackedRequest& tracked, const std::string& id, Micros sentAt,
                    std::optional<Micros> forwardedTimeout);
  void checkNotified(const std::string& gateway, const std::string& id, const std::string& endpoint,
                     Micros sentAt);
  void checkSlowStart(const std::string& gateway, const std::string& endpoint, Micros sentAt);

  JudgeLimits limits_;
  std::map<std::string, TrackedRequest> tracked_;
  std::map<std::string, SlowStart> slowStarts_;
  Notifications notifications_;
  std::vector<Breach> breaches_;
  std::array<std::size_t, kRules> counts_{};
  std::array<std::uint64_t, 4> answers_{};
  std::uint64_t requests_ = 0;
};

}  // namespace heathflow::emulator
