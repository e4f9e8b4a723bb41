// The five rules, judged from outside: by what clients asked and got, and by what endpoints and the list
// service saw. No I/O; times are of one clock, that of the emulator.
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

// The five rules, and what the operators' terms add: nothing is begun for a client that has gone, an endpoint
// is told no more time than its client has, and no invariant of a gateway's own guard is broken.
enum class Rule {
  OneAnswer,
  NoSecondEffect,
  DrainsRespected,
  SlowStartRespected,
  NoStaleRead,
  NoAttemptAfterDisconnect,
  DeadlineForwarded,
  InvariantsKept
};
inline constexpr std::size_t kRules = 8;
const char* nameOf(Rule rule);

enum class RequestResult { Served, Rejected, Failed, Broken };  // Broken: the connection ended without one

struct JudgeLimits {
  Micros slack = 70'000;        // an answer may come so long after the client's time (with the bench's 50 ms)
  Micros drainGrace = 300'000;  // sends to an endpoint that was told to drain (with the same)
  Micros overloadWindow = 2'000'000;  // a cold endpoint's work is summed over this
  double overloadMultiple = 2.5;      // and may be so many times what it can do, and chance beyond it
  Micros afterDisconnect = 150'000;  // an attempt may begin so long after its client has gone (with the same)
  Micros deadlineSlack = 200'000;    // beyond what its client has left (with the same)
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

  // ---- What clients saw ----
  struct ClientRequest {
    std::string id;
    std::string gateway;
    Micros at = 0;                // when its last byte was written
    Micros patience = 0;          // how long the client waits from then on
    bool repeatable = true;       // any number of effects does no harm
    bool rejectable = true;       // a rejection is allowed although it may have run
    std::optional<Micros> bound;  // a read: how old its data may be when it is sent
  };
  void requestSent(const ClientRequest& request);
  void requestAnswered(const std::string& id, Micros at, RequestResult how);
  // Its client went away by itself: nothing is owed any more.
  void clientDisconnected(const std::string& id, Micros at);
  // A gateway was ended by the emulator: what it held is not its fault.
  void gatewayKilled(const std::string& gateway, Micros at);

  // ---- What endpoints saw ----
  // A gateway has written an attempt, where the path to the endpoint is looked at; without that it counts as
  // sent when it reached the endpoint.
  void attemptSent(const std::string& id, const std::string& endpoint, Micros at);
  // 'at': when its last byte came. 'position': up to when the endpoint had applied all commits. 'told': for
  // how long its gateway will wait, where it says.
  void attemptReceived(const std::string& id, const std::string& endpoint, Micros at, Micros position,
                       std::optional<Micros> told = {});
  // It ended there with its effect, or without.
  void requestExecuted(const std::string& id, const std::string& endpoint, Micros at);
  // An endpoint is cold from a time on: how many requests it can do in a second at its age.
  void endpointWarmingUp(const std::string& endpoint, Micros at, double requestsPerSecond);
  void endpointWarm(const std::string& endpoint);

  // ---- What the list service told ----
  // What counts as told to whom; whoever plays the service and the gateways feeds it.
  Notifications& notifications() { return notifications_; }

  // A gateway's own guard, or the emulator, has seen something broken.
  void reportBreach(Rule rule, Micros at, const std::string& gateway, const std::string& what) {
    breach(rule, at, gateway, what);
  }
  // A gateway's end came while it owed answers, as late as a platform allows: what it held is lost by its
  // fault.
  void gatewayEndedWithOpenRequests(const std::string& gateway, Micros at);

  // What is still open when all is over, and all breaches in the order in which they were seen.
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
    bool over = false;  // left, or lost with its gateway
    bool mayHaveRun = false;
    bool exempt = false;  // its gateway was killed or stood still by the emulator's doing
    bool rejected = false;
    std::optional<Micros> disconnectedAt;
    std::map<std::string, Micros> sent;  // by endpoint, the newest
    unsigned effects = 0;
    Micros lastPosition = 0;
  };
  struct Cold {
    double perSecond = 0;
    std::vector<Micros> sent;
  };
  void breach(Rule rule, Micros at, const std::string& who, const std::string& what);

  void checkSending(const Known& known, const std::string& id, Micros sentAt, std::optional<Micros> told);

  JudgeLimits limits_;
  std::map<std::string, Known> known_;
  std::map<std::string, Cold> cold_;
  Notifications notifications_;
  std::vector<Breach> breaches_;
  std::array<std::size_t, kRules> counts_{};
  std::array<std::uint64_t, 4> answers_{};
  std::uint64_t requests_ = 0;
};

}  // namespace heathflow::emulator
