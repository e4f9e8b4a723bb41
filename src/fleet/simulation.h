// The simulation behind simulate(): models of gateways, endpoints and the network under a virtual clock.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/uniform.h"
#include "fleet/fleet.h"

namespace heathflow::fleet {

inline constexpr Micros kMilli = 1000;
inline constexpr Micros kSecond = 1000 * kMilli;
inline constexpr Micros kStart = 1000 * kSecond;  // not 0, which stands for "long ago"
inline constexpr Micros kNetworkDelay = 300;      // in one direction
inline constexpr Micros kHandshakeTime = 4 * kMilli;
inline constexpr Micros kElectionTime = 4500 * kMilli;
inline constexpr Micros kListDelay = 3 * kSecond;  // mean, for a new role; a third of it for other changes
inline constexpr Micros kReplicaLag = 50 * kMilli;
inline constexpr Micros kMaxReportAge = 100 * kMilli;
inline constexpr Micros kWindowLength = 5 * kSecond;
inline constexpr std::size_t kMaxQueueLength = 40;
inline constexpr Micros kPauseDuration = 400 * kMilli, kPausePeriod = 2 * kSecond;
inline constexpr Micros kFlapDowntime = 2 * kSecond, kFlapPeriod = 5 * kSecond;
inline constexpr Micros kDrainDuration = 1500 * kMilli;
inline constexpr Micros kExtraNetworkDelay = 100 * kMilli;
inline constexpr double kLostResponseShare = 0.25, kLostMessageShare = 0.1;
inline constexpr Micros kListDelayFactor = 4;
// By RequestClass.
inline constexpr std::array<Micros, kClasses> kObjectives = {200 * kMilli, 500 * kMilli, 300 * kMilli,
                                                             750 * kMilli};
inline constexpr std::array<Micros, kClasses> kRequestTimeouts = {600 * kMilli, 2 * kSecond, kSecond,
                                                                  5 * kSecond};
inline constexpr std::array<Consistency, kClasses> kConsistencies = {
    Consistency::BoundedStaleness, Consistency::Eventual, Consistency::Strong, Consistency::Write};

// An attempt that is being sent to an endpoint, is queued there, or is being served.
struct AttemptInFlight {
  std::size_t gateway = 0;
  EndpointId endpoint = 0;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  std::uint64_t incarnation = 0;  // of the gateway
  Micros sentAt = 0;
  bool ended = false;  // its outcome is decided; the endpoint neither serves nor answers it
};

struct EndpointModel {
  EndpointId id = 0;
  GroupId group = 0;
  bool up = true;
  bool isPrimary = false;
  bool lagging = false;
  bool draining = false;
  bool failing = false;
  bool losesResponses = false;
  bool failsHealthChecks = false;
  Micros stalledUntil = 0;      // until then it accepts requests and answers none
  Micros frozenPosition = 0;    // its log position while that does not advance; 0: it advances
  Micros reportedPosition = 0;  // the newest log position that any gateway has seen
  Micros startedAt = 0;         // 0: before the simulation
  unsigned incarnation = 0;
  std::deque<std::shared_ptr<AttemptInFlight>> queue;
  unsigned running = 0;
  std::deque<Micros> slowStartArrivals;  // within the last overload window, during slow start
};

struct OpenRequest {
  Micros arrived = 0;
  std::uint32_t classIndex = 0;
  GroupId group = 0;
  unsigned attempts = 0;
  unsigned answers = 0;
  std::unordered_map<std::uint32_t, std::shared_ptr<AttemptInFlight>> attemptsInFlight;
};

struct GatewayModel {
  std::unique_ptr<RoutingPolicy> policy;
  std::uint64_t incarnation = 0;
  double rate = 1;  // requests per second
  RequestId lastRequestId = 0;
  std::unordered_map<RequestId, OpenRequest> pending;
  std::unordered_map<EndpointId, unsigned> idleConnections;
  std::unordered_map<EndpointId, unsigned> connections;  // including the idle ones
  std::set<EndpointId> failingEndpoints;
};

class Simulation {
 public:
  explicit Simulation(const Plan& plan) : plan_(plan), random_(plan.seed), settings_(settingsOf(plan)) {}

  Result run();

 private:
  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void schedule(Micros when, std::function<void()> run) { events_.push({when, ++order_, std::move(run)}); }
  double uniform() { return uniformUnit(random_()); }
  Micros exponential(double mean) { return static_cast<Micros>(-mean * std::log(1 - uniform())); }
  EndpointModel& endpoint(EndpointId id) { return endpoints_[id - 1]; }
  Window& windowOf(Micros arrived);

  // ---- Gateways ----

  void restart(std::size_t index);

  Endpoint listEntryOf(const EndpointModel& model) const;
  std::vector<Endpoint> endpointList() const;
  // Sends the change to every gateway, to each after a random delay of 0.5 to 1.5 times the mean.
  void announceChange(const EndpointModel& model, Micros meanDelay);
  void sendList(std::size_t index, std::vector<Endpoint> entries, EndpointsChanged::Scope scope);
  void deliver(std::size_t index, const heathflow::Event& event);

  void perform(std::size_t index, const std::vector<Action>& actions);

  void scheduleArrival(std::size_t index);

  void sendRequest(std::size_t index);

  void recordAnswer(std::size_t index, RequestId id);

  void recordUnserved(std::size_t index, RequestId id, RejectReason reason);

  bool someEndpointHasCapacity(const OpenRequest& pending);

  // ---- Connections ----

  // Takes an idle connection or opens a new one. Returns the time until the connection is usable.
  Micros connect(GatewayModel& gateway, EndpointId id);
  void release(GatewayModel& gateway, EndpointId id, bool kept);

  // ---- Endpoints ----

  // Log positions are readings of the virtual clock, which all endpoints and gateways share.
  Micros positionOf(const EndpointModel& model) const;
  // Returns the log position and records that a gateway has seen it. A later failover doesn't go back
  // behind a reported position.
  Micros reportPosition(EndpointModel& model);
  double capacityShareOf(const EndpointModel& model) const;

  void startAttempt(std::size_t index, const SendAttempt& action);

  void receive(const std::shared_ptr<AttemptInFlight>& inFlight, EndpointId id);

  void failAttempt(const std::shared_ptr<AttemptInFlight>& inFlight, EndpointId id, AttemptOutcome outcome);

  void serveQueue(EndpointId id);

  void complete(const std::shared_ptr<AttemptInFlight>& inFlight, EndpointId id, Micros position,
                unsigned incarnation);

  bool isDegraded(std::size_t gateway, EndpointId id) const {
    return networkDegraded_ && (gateway + id) % 2 == 0;
  }
  Micros extraDelay(std::size_t gateway, EndpointId id) const {
    return isDegraded(gateway, id) ? kExtraNetworkDelay : 0;
  }

  // Ends an attempt whose answer is no longer awaited, and closes its connection. Returns false if it had
  // already ended.
  bool abandon(const std::shared_ptr<AttemptInFlight>& inFlight, EndpointId id);

  void cancel(std::size_t index, const CancelAttempt& action);

  void endAttempt(const std::shared_ptr<AttemptInFlight>& inFlight, EndpointId id, AttemptOutcome outcome,
                  Micros position = 0);

  // Records the failover delay of a gateway's first successful write to a group's new primary: the time until
  // the write was sent, from the primary's election or, if that is later, from the write's arrival.
  void recordFailoverDelay(std::size_t index, GroupId group, Micros arrived, Micros sentAt);

  void startHealthCheck(std::size_t index, const StartHealthCheck& action);

  // ---- Faults ----

  void beginFault(const FaultEvent& fault);

  // Begins the fault at each running endpoint with a probability of its share, and ends it there after its
  // duration.
  void applyToShare(const FaultEvent& fault, const std::function<void(EndpointModel&)>& begin,
                    const std::function<void(EndpointModel&)>& end);

  void stall(EndpointModel& model, Micros duration);

  // Applies a fault to an endpoint once per period until a time, and skips it while the endpoint is down.
  void repeat(EndpointId id, Micros period, Micros until, const std::function<void(EndpointModel&)>& apply);

  void beginEndpointFault(const FaultEvent& fault);

  void drain(EndpointModel& model, Micros duration);

  void crash(EndpointModel& model, Micros duration);

  EndpointModel* primaryOf(GroupId group);

  // Freezes the log positions of a group that lost its primary. After the election time, its most advanced
  // running endpoint becomes the primary; if none is running, the election starts again.
  void electPrimary(GroupId group);

  const Plan& plan_;
  std::mt19937_64 random_;
  PolicySettings settings_;
  Micros now_ = kStart;
  bool arrivalsEnabled_ = true;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<EndpointModel> endpoints_;
  std::vector<GatewayModel> gateways_;
  std::vector<Micros> primarySince_;                              // by group; 0: no failover so far
  std::set<std::tuple<GroupId, std::size_t, Micros>> noticedBy_;  // group, gateway, start of the primary
  std::uint64_t failoversNoticed_ = 0;
  Micros failoverDelaySum_ = 0;
  std::uint64_t openConnections_ = 0;
  Micros listDelayFactor_ = 1;
  bool networkDegraded_ = false;
  Result result_;
};

}  // namespace heathflow::fleet
