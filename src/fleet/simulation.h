// The simulation behind play(): models of gateways, endpoints and the network under a virtual clock.
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
inline constexpr Micros kStart = 1000 * kSecond;  // a time of 0 is long ago
inline constexpr Micros kNetworkDelay = 300;      // in one direction
inline constexpr Micros kHandshake = 4 * kMilli;
inline constexpr Micros kElection = 4500 * kMilli;
inline constexpr Micros kListLag = 3 * kSecond;  // of roles; of endpoints a third
inline constexpr Micros kReplicaLag = 50 * kMilli;
inline constexpr Micros kReportAge = 100 * kMilli;
inline constexpr Micros kWindow = 5 * kSecond;
inline constexpr std::size_t kMaxQueue = 40;
inline constexpr Micros kPauseDuration = 400 * kMilli, kPauseEvery = 2 * kSecond;
inline constexpr Micros kFlapDowntime = 2 * kSecond, kFlapEvery = 5 * kSecond;
inline constexpr Micros kDrainDuration = 1500 * kMilli;
inline constexpr Micros kExtraNetworkDelay = 100 * kMilli;
inline constexpr double kLostResponseShare = 0.25, kLostMessageShare = 0.1;
inline constexpr Micros kListDelayFactor = 4;
// By class.
inline constexpr std::array<Micros, kClasses> kObjectives = {200 * kMilli, 500 * kMilli, 300 * kMilli,
                                                             750 * kMilli};
inline constexpr std::array<Micros, kClasses> kRequestTimeouts = {600 * kMilli, 2 * kSecond, kSecond,
                                                                  5 * kSecond};
inline constexpr std::array<Consistency, kClasses> kConsistencies = {
    Consistency::BoundedStaleness, Consistency::Eventual, Consistency::Strong, Consistency::Write};

// An attempt on its way to an endpoint, waiting there, or being served.
struct Transit {
  std::size_t gateway = 0;
  EndpointId endpoint = 0;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  std::uint64_t incarnation = 0;  // of the gateway
  Micros sentAt = 0;
  bool dropped = false;
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
  Micros stalledUntil = 0;      // until then it accepts everything and answers nothing
  Micros frozenPosition = 0;    // its position while it does not advance; 0: it does
  Micros reportedPosition = 0;  // the newest that a gateway has seen
  Micros startedAt = 0;         // 0: long ago
  unsigned incarnation = 0;
  std::deque<std::shared_ptr<Transit>> queue;
  unsigned running = 0;
  std::deque<Micros> slowStartArrivals;  // of the last overload window, while in slow start
};

struct OpenRequest {
  Micros arrived = 0;
  std::uint32_t classIndex = 0;
  GroupId group = 0;
  unsigned attempts = 0;
  unsigned answers = 0;
  std::unordered_map<std::uint32_t, std::shared_ptr<Transit>> inTransit;
};

struct GatewayModel {
  std::unique_ptr<RoutingPolicy> policy;
  std::uint64_t incarnation = 0;
  double rate = 1;
  RequestId lastId = 0;
  std::unordered_map<RequestId, OpenRequest> pending;
  std::unordered_map<EndpointId, unsigned> idle;  // connections
  std::unordered_map<EndpointId, unsigned> connections;
  std::set<EndpointId> failingEndpoints;
};

class Simulation {
 public:
  explicit Simulation(const Plan& plan) : plan_(plan), random_(plan.seed), settings_(settingsOf(plan)) {}

  Result play();

 private:
  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void at(Micros when, std::function<void()> run) { events_.push({when, ++order_, std::move(run)}); }
  double uniform() { return uniformUnit(random_()); }
  Micros exponential(double mean) { return static_cast<Micros>(-mean * std::log(1 - uniform())); }
  EndpointModel& endpoint(EndpointId id) { return endpoints_[id - 1]; }
  Window& window(Micros arrived);

  // ---- Gateways ----

  void restart(std::size_t index);

  Endpoint listEntryOf(const EndpointModel& model) const;
  std::vector<Endpoint> listing() const;
  // All gateways get the change, each after a delay of its own.
  void announceChange(const EndpointModel& model, Micros lag);
  void sendList(std::size_t index, std::vector<Endpoint> entries, EndpointsChanged::Scope scope);
  void post(std::size_t index, const heathflow::Event& event);

  void perform(std::size_t index, const std::vector<Action>& actions);

  void scheduleArrival(std::size_t index);

  void sendRequest(std::size_t index);

  void answer(std::size_t index, RequestId id);

  void endUnserved(std::size_t index, RequestId id, RejectReason reason);

  bool someEndpointHasCapacity(const OpenRequest& pending);

  // ---- Connections ----

  // Takes an idle connection or opens one; returns how long that takes.
  Micros connect(GatewayModel& gateway, EndpointId id);
  void release(GatewayModel& gateway, EndpointId id, bool kept);

  // ---- Endpoints ----

  LogPosition positionOf(const EndpointModel& model) const;
  // A position that a gateway sees. A log goes only forwards, so none before it is shown later.
  LogPosition reportPosition(EndpointModel& model);
  double capacityShareOf(const EndpointModel& model) const;

  void attempt(std::size_t index, const SendAttempt& action);

  void receive(const std::shared_ptr<Transit>& transit, EndpointId id);

  void endWithoutResponse(const std::shared_ptr<Transit>& transit, EndpointId id, AttemptOutcome outcome);

  void serve(EndpointId id);

  void complete(const std::shared_ptr<Transit>& transit, EndpointId id, LogPosition position,
                unsigned incarnation);

  bool isDegraded(std::size_t gateway, EndpointId id) const {
    return networkDegraded_ && (gateway + id) % 2 == 0;
  }
  Micros extraDelay(std::size_t gateway, EndpointId id) const {
    return isDegraded(gateway, id) ? kExtraNetworkDelay : 0;
  }

  // Nobody waits for the attempt any more. False where it had ended.
  bool abandon(const std::shared_ptr<Transit>& transit, EndpointId id);

  void cancel(std::size_t index, const CancelAttempt& action);

  void endAttempt(const std::shared_ptr<Transit>& transit, EndpointId id, AttemptOutcome outcome,
                  LogPosition position = 0);

  // The first write of a gateway at a group's new primary.
  void observeWrite(std::size_t index, GroupId group, Micros arrived, Micros sentAt);

  void healthCheck(std::size_t index, const StartHealthCheck& action);

  // ---- Faults ----

  void beginFault(const FaultEvent& fault);

  // Begins a fault at each endpoint with the probability of its share, and ends it after its duration.
  void applyToShare(const FaultEvent& fault, const std::function<void(EndpointModel&)>& begin,
                    const std::function<void(EndpointModel&)>& end);

  void stall(EndpointModel& model, Micros duration);

  // Applies a fault every so often until a time.
  void repeat(EndpointId id, Micros every, Micros until, const std::function<void(EndpointModel&)>& apply);

  void beginEndpointFault(const FaultEvent& fault);

  void drain(EndpointModel& model, Micros duration);

  void crash(EndpointModel& model, Micros duration);

  EndpointModel* primaryOf(GroupId group);

  // The log of a group without a primary stands still until the most advanced endpoint takes over.
  void electPrimary(GroupId group);

  const Plan& plan_;
  std::mt19937_64 random_;
  PolicySettings settings_;
  Micros now_ = kStart;
  bool arriving_ = true;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<EndpointModel> endpoints_;
  std::vector<GatewayModel> gateways_;
  std::vector<Micros> primarySince_;
  std::set<std::tuple<GroupId, std::size_t, Micros>> noticedBy_;
  std::uint64_t failoversNoticed_ = 0;
  Micros failoverDelaySum_ = 0;
  std::uint64_t openConnections_ = 0;
  Micros listDelayFactor_ = 1;
  bool networkDegraded_ = false;
  Result result_;
};

}  // namespace heathflow::fleet
