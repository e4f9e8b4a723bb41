// Every decision of the router. What goes in and out is declared in logic.h.
#include "policy/routing_policy.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <unordered_map>

#include "common/uniform.h"
#include "policy/endpoint_state.h"

namespace heathflow {
namespace {

constexpr Micros kMillisecond = 1000, kSecond = 1000 * kMillisecond;

// Positions. A health check is due when one is older than this share of the smallest bound (the design's
// half). Guards against asking an endpoint again before it can have anything new to say: share of the age
// that is due.
constexpr double kHealthCheckAtShare = 0.5, kHealthCheckGapShare = 0.5;
// Guards against health checks ahead of reads that never come: one replica is kept known for so many in the
// bound. Guards against health checks that cost more than they bring: health checks earned by each request,
// and the most saved.
constexpr double kReadsPerKnown = 8, kHealthChecksPerRequest = 0.1, kHealthChecksSaved = 20;
// Guards against reads that slide onto the primary while a health check is on its way: share of the aim.
constexpr double kHealthCheckWaitShare = 0.125;
// Guards against a carried age that was rounded on its way to us.
constexpr Micros kTokenSlack = kMillisecond;
// What makes a replica lag outlasts the lag: for so many times as long it counts as behind.
constexpr Micros kLagKept = 16;

// Failover. How often the endpoints of a group without a primary are asked who leads.
constexpr Micros kSeekEvery = 400 * kMillisecond, kSeekAllEvery = 4 * kSeekEvery;
// How long the next one to be asked waits for the answer of the one before.
constexpr Micros kSeekWait = 30 * kMillisecond;
// How often held requests are looked at again when nothing else happens.
constexpr Micros kHoldTick = 20 * kMillisecond;

// Load. An endpoint's limit starts here, keeps to these ends, and is cut by this factor by a late answer.
constexpr double kLimitStart = 24;  // of all routers together, at least one each
constexpr double kLimitLeast = 0.25, kLimitMost = 64, kLimitCut = 0.9;
// It grows by one request for each limit's worth of answers, but by no more than this share an answer.
constexpr double kLimitGrowth = 0.15;
// An answer that took more than this share of its aim tells that the endpoint is crowded.
constexpr double kCrowdedShare = 0.6;
// Guards writes on the primary: up to this share of its limit it takes reads that replicas have no room for.
constexpr double kSpareShare = 0.3;
// What doubt of a class's cost weighs, in answers; how fast its and an endpoint's latency move; when that
// fades.
constexpr double kCostDoubt = 2, kClassGain = 0.02, kSlownessGain = 0.1, kSlownessMost = 20;
constexpr Micros kSlownessFades = 5 * kSecond;
// Among replicas with equal work each router has an order of its own, worth up to this much usual work.
constexpr double kOwnOrder = 0.8;
// Guards against all routers choosing alike: scores differ by up to this share at random.
constexpr double kJitter = 0.05;
// How fast the record of what classes arrive moves.
constexpr double kMixKept = 0.999;
// How long a long read waits, as a share of its aim, before it takes a replica that is current.
// Guards long reads against an endpoint on which none has ended for so many usual latencies: no more are
// packed.
constexpr double kPackWait = 0.25, kPackTimeout = 2;
// Makes a second try prefer an endpoint that the request has not seen, and any try one known to live.
constexpr double kTriedPenalty = 4;

// Health. An endpoint that fails is left alone for this long, doubled with each further failure up to the
// most.
constexpr Micros kBlockLeast = 250 * kMillisecond, kBlockMost = 4 * kSecond;
// For how long connections count as scarce after one was turned away.
constexpr Micros kScarceFor = 4 * kSecond;
// Time-outs, broken connections and malformed answers in a row that count as a failure.
constexpr int kFailuresToBlock = 3;

// Guards jammed groups: requests beyond this multiple of what was lately served in time are turned away.
constexpr double kServedMultiple = 1.5, kRecordGain = 0.2;

// Tries. Guards against repeats that multiply an overload: what each request earns, and the most saved.
constexpr double kRepeatsPerRequest = 0.1, kRepeatsSaved = 10;
// Guards against refusing all that is held since latencies were learned in a jam: the most, of the aim.
constexpr double kUsualMost = 0.5;

// Cold endpoints. The share of what the contract allows that this router uses, and the most that is of use.
constexpr double kColdShare = 0.7, kColdMost = 1.5;
// One that answers within this multiple of its time gets more: growth in a window, the most, cut if slower.
constexpr double kEaseSlow = 2, kEaseGain = 0.5, kEaseMost = 4, kEaseCut = 0.7;
// How fast the record of what warm endpoints take moves. So many usual requests are too heavy for a try.
constexpr double kTakenGain = 0.01, kHeavy = 2;
// What a request takes at first: share of the smallest aim. What an earlier life's word is worth, in answers.
constexpr double kMeanGuess = 0.04, kMemoryWorth = 50;

// Memory. When tokens and endpoints (gone ones early) are let go, and how many tokens are always kept.
constexpr Micros kForgetTokens = 60 * kSecond, kForgetEndpoints = 3600 * kSecond, kForgetGone = 10 * kSecond;
constexpr std::size_t kTokensLeast = 4096, kNoTry = std::numeric_limits<std::size_t>::max();

// Discovery. Shares of the time within which a router must ask: to spread first calls, wait, and back off.
constexpr double kAskSpread = 0.02, kAskWait = 0.5, kAskBackoff = 0.05;

constexpr double real(Micros value) { return static_cast<double>(value); }
constexpr Micros part(double share, Micros of) { return static_cast<Micros>(share * real(of)); }

enum TimerKind : std::uint64_t { kGiveUpTimer, kGroupTimer, kAskTimer, kStopTimer };
constexpr unsigned kTimerShift = 56;

}  // namespace

class RoutingPolicy::Impl {
 public:
  Impl(PolicySettings settings, std::uint64_t seed, Micros now, std::vector<Action>& out);
  void handle(Micros now, const Event& event, std::vector<Action>& out);

 private:
  // Events.
  void on(const EndpointsChanged& event);
  void on(const EndpointListExpired& event);
  void on(const RequestArrived& event);
  void on(const AttemptEnded& event);
  void on(const ResponseStreaming& event) { finish(event.request); }
  void on(const ResponsePartForwarded& event);
  void on(const AttemptConnected& event);
  void on(const HealthCheckEnded& event);
  void on(const TimerFired& event);
  void on(const ClientDisconnected& event);
  void on(const ShutdownStarted& event);

  // The record of endpoints.
  void update(const Endpoint& endpoint);
  void left(EndpointState& peer);
  bool forgotten(const EndpointState& peer) const;
  void learnRole(EndpointState& peer, Role role, Micros at);
  void learnPosition(EndpointState& peer, LogPosition position);
  void learnReport(EndpointState& peer, const LoadReport& report);
  void learnEnd(EndpointState& peer, const PendingRequest& job, const AttemptEnded& event);
  void strike(EndpointState& peer);
  void heard(EndpointState& peer);
  EndpointState* primaryOf(const EndpointGroup& group, bool forWrite);
  bool healthCheck(EndpointState& peer, HealthCheckReason reason);  // whether one was sent
  void seek(EndpointGroup& group);
  void healthCheckStale(EndpointGroup& group);

  // The path of a request.
  void place(PendingRequest& job, EndpointGroup& group);
  bool tryPlace(PendingRequest& job, EndpointGroup& group);
  EndpointState* choose(PendingRequest& job, EndpointGroup& group);
  double packsOf(const EndpointGroup& group, const EndpointState* primary) const;
  EndpointState* askByWrite(PendingRequest& job, const EndpointGroup& group);
  EndpointState* chooseReplica(PendingRequest& job, EndpointGroup& group, const EndpointState* primary,
                               std::optional<double>& crowd);
  void send(PendingRequest& job, EndpointState& peer);
  void hold(PendingRequest& job, EndpointGroup& group);
  void pump(EndpointGroup& group);
  void lookAgain(GroupId id, EndpointGroup& group);
  void conclude(PendingRequest& job);  // the request's one final answer
  void cancelPending(const PendingRequest& job, std::size_t but = kNoTry);
  void finish(RequestId id);
  void sweepTokens();
  void eraseIfDone(RequestId id);

  // Judgements.
  bool mayRepeat(const PendingRequest& job, const EndpointState* target) const;
  bool mayRun(const PendingRequest& job, const EndpointState* target, std::size_t own) const;
  bool mayReject(const PendingRequest& job) const;
  bool stillAllows(const EndpointState& peer, const PendingRequest& job, std::size_t own);
  Micros giveUpAt(const PendingRequest& job) const;
  LogPosition needOf(const PendingRequest& job) const;
  bool needsPrimary(const PendingRequest& job) const {
    return job.consistency == Consistency::Write || job.consistency == Consistency::Strong;
  }
  double costOf(const PendingRequest& job) const { return costOf(job.request.classIndex); }
  double costOf(std::size_t index) const;
  bool longRead(std::size_t index) const;
  double longShare() const;  // of the replicas' work, how much long reads are
  double slownessOf(const EndpointState& peer) const;
  // Where crossing zones has a price the endpoints of the own zone make up the first half of the order.
  double orderOf(const EndpointState& peer) const {
    return settings_.crossZoneTrafficHasCost ? (peer.order + double(peer.info.zone != settings_.zone)) / 2
                                             : peer.order;
  }
  Micros coldSince(const EndpointState& peer) const {
    return peer.lost ? now_ : std::max(peer.info.startedAt, peer.returnedAt);
  }
  double warmthOf(const EndpointState& peer) const;
  bool coldAllows(const EndpointState& peer, double cost) const;
  bool blocked(const EndpointState& peer) const {
    return now_ < std::max(peer.blockedUntil, peer.suspectUntil);
  }
  static bool ledLast(const EndpointState& peer, const EndpointGroup& group) {
    return peer.primaryAt != kNever && peer.primaryAt == group.primaryAt;
  }
  bool vouched(const EndpointState& peer, const PendingRequest& job) const;
  // Guards reads while a primary hands over: it rejects writes, and its reads go on saying that it leads.
  bool denied(const EndpointState& peer) const { return now_ - peer.deniedAt < smallestBound_; }
  // Whether a read may go by a told lag. A wrong guess must do no harm, and each answer must put it right.
  bool lagIsEnough() const {
    return settings_.staleReads == StaleReadBehavior::Waits && settings_.responsesReportPosition;
  }
  bool covers(const EndpointState& peer, LogPosition need) const;
  Micros silence() const { return std::max(settings_.connectTimeout, kBlockLeast); }
  // Guards drains and removals that an expired list may have missed.
  bool unsure(const EndpointState& peer) const {
    return expired_ && !(settings_.healthChecksAllowed && peer.evidence.suffices(now_, *expired_));
  }
  // Whether a health check of one that is unsure may help.
  bool mayShowItself(const EndpointState& peer) const {
    return settings_.healthChecksAllowed && peer.evidence.mayYetSuffice(*expired_);
  }
  // Guards one that turned a health check away for good reason against health checks at the pace of their
  // answers.
  bool unwilling(const EndpointState& peer) const { return now_ - peer.unwillingAt < kBlockLeast; }
  bool quiet(const EndpointState& peer) const { return peer.inFlight > 0 && now_ - peer.heardAt > silence(); }
  // Nothing newer tells that it is a replica.
  static bool claims(const EndpointState& p) { return p.replicaAt == kNever || p.primaryAt > p.replicaAt; }
  bool takesPacks(const EndpointState& peer) const {
    return peer.ready && !peer.doubted && !blocked(peer) && (peer.longReads == 0 || now_ < peer.progressDue);
  }
  Micros progressDue(std::size_t i) const {
    const double usual = kPackTimeout * latencies_[i].value;
    return now_ + (usual > 0 ? static_cast<Micros>(usual) : settings_.classes[i].latencyObjective);
  }
  // Guards against ghosts: one that nothing but the list vouches for and that failed gets health checks only.
  bool ghost(const EndpointState& peer) const { return peer.strikes > 0 && peer.doubted; }
  double limitOf(const EndpointState& peer) const {
    return peer.strikes > 0 ? std::min(1.0, peer.limit) : peer.limit;
  }
  bool roomAt(const EndpointState& peer, double load, PendingRequest& job) const;
  bool jammed(const Record& record, const PendingRequest& job) const;
  double usualOf(const PendingRequest& job) const;
  // A share of one request, or of the router's part where all share fewer than one each.
  double limitLeast() const { return kLimitLeast * std::min(1.0, kLimitStart / settings_.gatewayCount); }
  double firstLimit() const { return std::max(1.0, kLimitStart / settings_.gatewayCount); }
  Micros fallWindow() const { return std::max(settings_.overloadWindow, kMillisecond); }
  Micros askWithin() const { return std::max(settings_.maxPollInterval, kSecond); }  // never a tight loop

  const RequestClassSettings& classOf(const PendingRequest& job) const {
    return settings_.classes[job.request.classIndex];
  }
  EndpointGroup& groupOf(GroupId id);
  EndpointState* find(EndpointId id);
  double random() { return uniformUnit(random_()); }
  template <typename A>
  void act(A action) {
    out_->push_back(action);
  }
  void setTimer(TimerKind kind, std::uint64_t what, Micros after) {
    act(SetTimer{(static_cast<std::uint64_t>(kind) << kTimerShift) | what, std::max<Micros>(after, 0)});
  }

  PolicySettings settings_;
  std::mt19937_64 random_;
  Micros now_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::unordered_map<EndpointId, EndpointState> peers_;
  std::map<GroupId, EndpointGroup> groups_;
  std::map<RequestId, PendingRequest> jobs_;
  std::unordered_map<std::uint64_t, LogPosition> sessions_;  // each session's last write position
  LogPosition oldToken_ = kNever;                            // the newest that was let go
  std::size_t sweepAt_ = kTokensLeast;
  std::vector<Mean> latencies_;  // of each class's answers
  std::vector<double> arrivals_;
  double allWork_ = 0, ledWork_ = 0;  // sent lately, and of that to primaries
  Micros slowConnectAt_ = kNever;     // when one last failed slowly
  Micros scarceAt_ = kNever;          // when connections were last known to be scarce
  Mean aims_;                         // of what arrives
  Mean mean_;                         // latency of all answers
  Mean warmMean_;                     // what it would have been of warm endpoints
  Mean warmTaken_;  // the work that a warm endpoint answers for this router in the contract's window
  std::uint64_t orderSeed_ = random_();
  double healthCheckCredit_ = kHealthChecksSaved, repeatCredit_ = kRepeatsSaved;
  Micros smallestBound_ = 0;
  Micros stopsAt_ = std::numeric_limits<Micros>::max();
  std::optional<EndpointListExpired> expired_;  // the list has; nothing: it counts
  bool asked_ = false, subscribed_ = false;
  int askFailures_ = 0;
  std::uint64_t lists_ = 0;  // taken in so far
  std::uint64_t askRound_ = 0;
};

RoutingPolicy::Impl::Impl(PolicySettings settings, std::uint64_t seed, Micros now, std::vector<Action>& out)
    : settings_(std::move(settings)), random_(seed), now_(now), out_(&out) {
  latencies_.resize(settings_.classes.size());
  arrivals_.resize(settings_.classes.size());
  for (const RequestClassSettings& entry : settings_.classes) {
    const double guess = kMeanGuess * real(entry.latencyObjective);
    warmMean_.value = warmMean_.value > 0 ? std::min(warmMean_.value, guess) : guess;
    if (entry.consistency != Consistency::BoundedStaleness || entry.maxStaleness <= 0) continue;
    smallestBound_ = smallestBound_ == 0 ? entry.maxStaleness : std::min(smallestBound_, entry.maxStaleness);
  }
  if (smallestBound_ == 0) smallestBound_ = kSecond;
  if (settings_.initialLatency > 0) warmMean_ = {real(settings_.initialLatency), kMemoryWorth};
  if (settings_.discoveryIsPolled)
    setTimer(kAskTimer, ++askRound_, part(random(), part(kAskSpread, askWithin())));
}

void RoutingPolicy::Impl::handle(Micros now, const Event& event, std::vector<Action>& out) {
  now_ = now;
  out_ = &out;
  std::visit([this](const auto& e) { on(e); }, event);
}

EndpointGroup& RoutingPolicy::Impl::groupOf(GroupId id) {
  EndpointGroup& group = groups_[id];
  if (group.held.empty()) group.held.resize(std::max<std::size_t>(1, latencies_.size()));
  return group;
}

EndpointState* RoutingPolicy::Impl::find(EndpointId id) {
  const auto found = peers_.find(id);
  return found == peers_.end() ? nullptr : &found->second;
}

// ---- The record of endpoints: list, roles, positions, health ----

void RoutingPolicy::Impl::on(const EndpointsChanged& event) {
  if (event.scope == EndpointsChanged::Scope::Failed) {
    // The subscription may have broken: ask again, ever less eagerly, but within the contract's time.
    if (!settings_.discoveryIsPolled) return;
    subscribed_ = false;
    const double wait = std::min(kAskWait, kAskBackoff * std::exp2(std::min(askFailures_++, 8)));
    setTimer(kAskTimer, ++askRound_, part(wait * (0.5 + 0.5 * random()), askWithin()));
    return;
  }
  if (asked_) subscribed_ = true;
  askFailures_ = 0;
  expired_.reset();
  ++lists_;
  for (const Endpoint& endpoint : event.endpoints) update(endpoint);
  // Who is missing from a complete list is gone.
  for (auto& [id, peer] : peers_) {
    if (event.scope == EndpointsChanged::Scope::Full && peer.namedIn != lists_) left(peer);
  }
  std::erase_if(peers_, [this](const auto& entry) { return forgotten(entry.second); });
  for (auto& [id, group] : groups_) {
    std::erase_if(group.endpoints, [this](EndpointId endpoint) { return !peers_.contains(endpoint); });
    pump(group);
  }
}

// What is held for endpoints that can't be sent to any more is given up at once.
void RoutingPolicy::Impl::on(const EndpointListExpired& event) {
  expired_ = event;
  for (auto& [id, peer] : peers_) peer.evidence.listExpired(event);
  for (auto& [id, group] : groups_) pump(group);
}

void RoutingPolicy::Impl::update(const Endpoint& endpoint) {
  const auto [entry, isNew] = peers_.try_emplace(endpoint.id);
  EndpointState& peer = entry->second;
  if (isNew || peer.info.group != endpoint.group) {
    if (!isNew) std::erase(groupOf(peer.info.group).endpoints, endpoint.id);
    std::vector<EndpointId>& endpoints = groupOf(endpoint.group).endpoints;
    endpoints.insert(std::lower_bound(endpoints.begin(), endpoints.end(), endpoint.id), endpoint.id);
    peer.info = endpoint;
    if (isNew) {
      peer.limit = firstLimit();
      peer.order = uniformUnit(std::mt19937_64(orderSeed_ ^ endpoint.id)());
      peer.doubted = settings_.removalIsAdvisory;
    }
  }
  peer.namedAt = now_;
  peer.namedIn = lists_;
  if (endpoint.status == EndpointStatus::Removed) return left(peer);
  const bool launched = endpoint.startedAt > peer.info.startedAt;
  if (launched) {
    // A new launch is new evidence: an older claim to lead is void, and the record of its health starts anew.
    if (peer.primaryAt < endpoint.startedAt) peer.primaryAt = kNever;
    peer.strikes = peer.failures = 0;
    peer.blockedUntil = peer.deniedAt = kNever;
    peer.slowness = 1;
    peer.limit = std::min(peer.limit, firstLimit());
  }
  peer.listedAt = !endpoint.listedPrimary ? kNever : peer.listedAt == kNever ? now_ : peer.listedAt;
  const Micros since = std::max(peer.info.startedAt, endpoint.startedAt);
  peer.info = endpoint;
  peer.info.startedAt = since;
  // Guards a drain against a list that is wrong or old: where it is only advice, a new launch ends a drain.
  const bool still = peer.draining && settings_.removalIsAdvisory && !launched;
  peer.draining = endpoint.status == EndpointStatus::Draining || still;
  peer.ready = !peer.draining;
  peer.doubted = peer.doubted && peer.heardAt == kNever;
}

// Whether an endpoint may be let go: not in use, and neither list nor answer has spoken of it for long.
bool RoutingPolicy::Impl::forgotten(const EndpointState& peer) const {
  const bool idle = (!peer.ready || peer.doubted) && peer.inFlight == 0 && !peer.healthChecking;
  const Micros after = settings_.removalIsAdvisory ? kForgetEndpoints : kForgetGone;
  return idle && now_ - std::max(peer.namedAt, peer.heardAt) > after;
}

// Gone, or left out by the list. Where that binds nothing it goes on as it was, but must show that it lives.
void RoutingPolicy::Impl::left(EndpointState& peer) {
  peer.ready = peer.ready && settings_.removalIsAdvisory;
  peer.doubted = settings_.removalIsAdvisory;
}

// Newer evidence wins. A claim counts from the time at which it was true, so that a late report is not news.
void RoutingPolicy::Impl::learnRole(EndpointState& peer, Role role, Micros at) {
  peer.toldAt = now_;
  Micros& newest = role == Role::Primary ? peer.primaryAt : peer.replicaAt;
  newest = std::max(newest, at);
  if (role == Role::Replica) return;
  EndpointGroup& group = groupOf(peer.info.group);
  group.primaryAt = std::max(group.primaryAt, peer.primaryAt);
  group.toldAt = now_;
}

void RoutingPolicy::Impl::learnPosition(EndpointState& peer, LogPosition position) {
  peer.position = std::max(peer.position, position);
  peer.lag = now_ - position;
  peer.lagAt = now_;
}

void RoutingPolicy::Impl::learnReport(EndpointState& peer, const LoadReport& report) {
  if (report.position) learnPosition(peer, *report.position);
  // A primary's position is the time of its report, and a replica's report is no older than its position.
  // Without a position the report may be as old as any: it then counts only while no answer has spoken.
  const bool unknown = peer.replicaAt == kNever && peer.primaryAt == kNever;
  if (report.role && (report.position || unknown))
    learnRole(peer, *report.role, report.position.value_or(now_));
}

// The one who led last leads, until it is known to be a replica or to be down: an older claim never revives.
EndpointState* RoutingPolicy::Impl::primaryOf(const EndpointGroup& group, bool forWrite) {
  EndpointState* listed = nullptr;
  for (const EndpointId id : group.endpoints) {
    EndpointState& peer = peers_.at(id);
    if (!peer.ready || blocked(peer) || ghost(peer)) continue;
    if (ledLast(peer, group) && peer.primaryAt > peer.replicaAt) return &peer;
    // The list is late: it counts while nothing newer is known, or for writes where no health check can tell.
    // Guards reads, which an old primary answers as ever: its own word that it is none outweighs the list's.
    const bool silent = peer.listedAt > std::max(peer.toldAt, group.toldAt) && (forWrite || claims(peer));
    if (peer.listedAt == kNever || !(silent || (forWrite && !settings_.healthChecksAllowed))) continue;
    if (listed == nullptr || peer.listedAt > listed->listedAt) listed = &peer;
  }
  return listed;
}

bool RoutingPolicy::Impl::healthCheck(EndpointState& peer, HealthCheckReason reason) {
  if (!settings_.healthChecksAllowed || peer.healthChecking || !peer.ready || unwilling(peer)) return false;
  peer.healthChecking = true;
  peer.healthCheckedAt = now_;
  act(StartHealthCheck{peer.info.id, reason, expired_.has_value()});
  return true;
}

// Asks who leads, one after the other until one does, the one with most of the log first: it takes over where
// the primary is lost. While nobody leads only that one is asked again, and all from time to time.
void RoutingPolicy::Impl::seek(EndpointGroup& group) {
  if (!settings_.healthChecksReportRole) return;
  const bool due = now_ - group.soughtAt >= kSeekEvery;
  EndpointState* next = nullptr;
  for (const EndpointId id : group.endpoints) {
    EndpointState& peer = peers_.at(id);
    const bool open = peer.healthChecking && now_ - peer.healthCheckedAt < kSeekWait;
    // It is about to tell whether it leads, or, of the one that did, whether it lives.
    if ((open && peer.healthCheckedAt >= group.soughtAt) || (peer.healthChecking && ledLast(peer, group)))
      return;
    const bool asked = !due && peer.healthCheckedAt >= group.soughtAt;
    if (!peer.ready || blocked(peer) || unwilling(peer) || asked) continue;
    if (next == nullptr || std::pair(peer.position, -peer.order) > std::pair(next->position, -next->order))
      next = &peer;
  }
  if (next == nullptr || (!due && !group.seeksAll)) return;
  if (due) {
    group.soughtAt = now_;
    group.seeksAll = now_ - group.askedAllAt >= kSeekAllEvery;
    if (group.seeksAll) group.askedAllAt = now_;
  }
  healthCheck(*next, group.toldAt == kNever ? HealthCheckReason::Initial : HealthCheckReason::PrimaryUnknown);
}

// Keeps as many replicas known as the reads of late can use, in this router's own order.
void RoutingPolicy::Impl::healthCheckStale(EndpointGroup& group) {
  if (!settings_.healthChecksReportPosition || lagIsEnough()) return;
  const auto due = part(kHealthCheckAtShare, smallestBound_);
  const auto gap = part(kHealthCheckGapShare, due);
  double missing = group.reads.now(now_, smallestBound_) / kReadsPerKnown;
  std::vector<EndpointState*> late;
  for (const EndpointId id : group.endpoints) {
    EndpointState& peer = peers_.at(id);
    if (ledLast(peer, group) && !peer.doubted) continue;
    if (!peer.doubted && (peer.healthChecking || now_ - peer.position <= due)) {
      missing -= 1;
      continue;
    }
    // One that lags shows little that is new: the further behind, the less often it is asked.
    const Micros rest = std::max(gap, part(kHealthCheckGapShare, peer.lag));
    if (now_ - peer.healthCheckedAt >= rest && !blocked(peer)) late.push_back(&peer);
  }
  std::sort(late.begin(), late.end(),
            [](const EndpointState* a, const EndpointState* b) { return a->order < b->order; });
  for (EndpointState* peer : late) {
    if (healthCheckCredit_ < 1 || (missing < 1 && !peer->doubted)) continue;
    if (!healthCheck(*peer, HealthCheckReason::PositionStale)) continue;
    healthCheckCredit_ -= 1;
    missing -= 1;
  }
}

void RoutingPolicy::Impl::on(const HealthCheckEnded& event) {
  EndpointState* peer = find(event.endpoint);
  if (peer == nullptr) return;
  peer->healthChecking = false;
  peer->suspectUntil = kNever;
  if (event.refusesNewWork) peer->unwillingAt = now_;
  if (event.ok) {
    peer->evidence.answered(now_, event);
    heard(*peer);
    peer->blockedUntil = kNever;
    learnReport(*peer, event.report);
  } else if (!event.rejected) {
    peer->evidence.broke(now_);
    strike(*peer);
  }
  if (peer->rejected && event.ok && peer->ready && now_ - slowConnectAt_ > kScarceFor) scarceAt_ = now_;
  peer->rejected = false;
  pump(groupOf(peer->info.group));
}

// A failure of the endpoint: leave it alone for a while. Many attempts that break together are one failure.
void RoutingPolicy::Impl::strike(EndpointState& peer) {
  peer.lost = peer.lost || peer.broken;
  if (now_ < peer.blockedUntil) return;
  peer.strikes = std::min(peer.strikes + 1, 8);
  peer.failures = 0;
  peer.blockedUntil = now_ + std::min(kBlockMost, kBlockLeast << (peer.strikes - 1));
}

// An endpoint whose connections broke and that answers again has most likely started anew, and is cold long
// before the list tells. One that could only not be reached (no connection, silence) is not taken for that.
void RoutingPolicy::Impl::heard(EndpointState& peer) {
  peer.heardAt = now_;
  peer.doubted = false;
  if (peer.lost) peer.returnedAt = now_;
  peer.lost = peer.broken = false;
  peer.strikes = peer.failures = 0;
}

void RoutingPolicy::Impl::learnEnd(EndpointState& peer, const PendingRequest& job,
                                   const AttemptEnded& event) {
  const Micros sentAt = job.tries[event.attempt].sentAt;
  const bool ok = event.outcome == AttemptOutcome::Ok;
  const bool answered =
      ok || event.outcome == AttemptOutcome::Error || event.outcome == AttemptOutcome::Overloaded ||
      event.outcome == AttemptOutcome::PreconditionFailed || event.outcome == AttemptOutcome::LostLeadership;
  if (answered) {
    heard(peer);
    // Nothing but a primary takes writes.
    const bool rejectedWrite =
        event.outcome == AttemptOutcome::PreconditionFailed && job.consistency == Consistency::Write;
    const Role role = event.role.value_or(Role::Replica);
    // Guards against a claim that was on its way while its endpoint fell.
    const Micros at = role == Role::Primary ? event.position.value_or(sentAt) : now_;
    if (event.role || rejectedWrite) learnRole(peer, role, at);
    if (rejectedWrite || (ok && job.isWrite())) peer.deniedAt = rejectedWrite ? now_ : kNever;
    // For a write that went through the position is its commit, which the primary holds.
    if (event.position) learnPosition(peer, *event.position);
    // A read that was turned away for its age, where that is all that is told.
    if (event.outcome == AttemptOutcome::PreconditionFailed && !event.position && needOf(job) != kNever) {
      peer.lag = 2 * (now_ - needOf(job));
      peer.lagAt = now_;
    }
  }
  learnReport(peer, event.report);
  const bool reset = event.outcome == AttemptOutcome::ConnectionReset;
  const bool silent = event.outcome == AttemptOutcome::TimedOut && peer.heardAt <= sentAt;
  peer.broken = peer.broken || reset;
  if (reset || silent || event.outcome == AttemptOutcome::ConnectFailed) {
    peer.brokeAt = now_;
    peer.evidence.broke(now_);
  }
  if (reset || event.outcome == AttemptOutcome::ConnectFailed) {
    // Turned away at once and not for want of an answer: it is dead, or its connections are all taken.
    const bool slow = !reset && event.elapsed >= settings_.connectTimeout / 2;
    if (slow) slowConnectAt_ = now_;
    peer.rejected = peer.rejected || (!reset && !slow && event.mayLackConnections);
    // Guards a living endpoint against being taken for dead, and then for cold, for one broken connection.
    if (slow || !(healthCheck(peer, HealthCheckReason::ConnectionBroken) || peer.healthChecking))
      strike(peer);
    if (!slow) peer.suspectUntil = now_ + settings_.connectTimeout;
  }
  // The same against one answer that can't be read.
  const bool useless =
      reset || event.outcome == AttemptOutcome::TimedOut || event.outcome == AttemptOutcome::Malformed;
  if (useless && ++peer.failures >= kFailuresToBlock) strike(peer);
  // Guards against an endpoint that is down without a word: our few requests there would not tell for long.
  if (silent && now_ - peer.healthCheckedAt > kBlockLeast) healthCheck(peer, HealthCheckReason::Unresponsive);
  // What its client takes back with the answer under way was being served.
  const bool unserved = event.outcome == AttemptOutcome::Overloaded ||
                        event.outcome == AttemptOutcome::TimedOut ||
                        (event.outcome == AttemptOutcome::Cancelled && !job.bound);
  if (ok || unserved) {
    EndpointGroup& group = groupOf(job.request.group);
    Record& record = &peer == primaryOf(group, false) ? group.primary : group.replicas;
    record.add(!ok ? 0 : now_ <= job.aimEnd ? 1 : classOf(job).lateValueShare, kRecordGain);
  }

  Mean& usual = latencies_[job.request.classIndex];
  const auto elapsed = real(event.elapsed);
  if (ok) {
    usual.add(elapsed, kClassGain);
    mean_.add(elapsed, kClassGain);
    warmMean_.add(elapsed * warmthOf(peer), kClassGain);
    if (warmthOf(peer) >= 1) {
      EndpointGroup& group = groupOf(peer.info.group);
      const auto warm = std::count_if(group.endpoints.begin(), group.endpoints.end(), [this](EndpointId id) {
        const EndpointState& other = peers_.at(id);
        return other.ready && warmthOf(other) >= 1;
      });
      warmTaken_.add(group.taken.now(now_, fallWindow()) / static_cast<double>(std::max<long>(1, warm)),
                     kTakenGain);
      group.taken.add(costOf(job), now_, fallWindow());
    }
  }
  const bool unanswered = event.outcome == AttemptOutcome::TimedOut || event.outcome == AttemptOutcome::Error;
  if (usual.value > 0 && (ok || unanswered)) {
    peer.slowness = slownessOf(peer);
    // An error counts as the slowest answer: one that fails fast must not draw traffic by looking fast.
    const double slow = event.outcome == AttemptOutcome::Error ? kSlownessMost : elapsed / usual.value;
    peer.slowness += kSlownessGain * (std::min(slow, kSlownessMost) - peer.slowness);
    peer.slownessAt = now_;
  }
  // Load limiting (section 3.2 of the paper): the limit grows while answers come well inside their aim.
  const bool late = elapsed > kCrowdedShare * real(classOf(job).latencyObjective);
  const double strain = elapsed * warmthOf(peer) / (warmMean_.value * costOf(job.request.classIndex));
  const double step = kEaseGain * std::min(1.0, real(now_ - peer.easedAt) / real(fallWindow()));
  peer.ease = unserved || late || warmthOf(peer) >= 1 ? 1
              : !ok || strain > kEaseSlow             ? std::max(1.0, kEaseCut * peer.ease)
                                                      : std::min(kEaseMost, (1 + step) * peer.ease);
  peer.easedAt = now_;
  if (unserved || event.outcome == AttemptOutcome::Error)
    peer.order = 0.5 * (1 + random());  // others come first
  if (unserved || (ok && late)) {
    peer.limit = std::max(limitLeast(), peer.limit * kLimitCut);
  } else if (ok && peer.load * 2 >= peer.limit) {
    peer.limit = std::min(kLimitMost, peer.limit + std::min(1 / peer.limit, kLimitGrowth * peer.limit));
  }
}

// ---- Judgements ----

double RoutingPolicy::Impl::costOf(std::size_t index) const {
  const Mean& own = latencies_[index];
  // Until answers tell, aims stand for the work: a router with a trickle learns a rare class late.
  const double guess = aims_.value > 0 ? real(settings_.classes[index].latencyObjective) / aims_.value : 1;
  if (own.value <= 0 || mean_.value <= 0) return guess;
  return (own.samples * own.value / mean_.value + kCostDoubt * guess) / (own.samples + kCostDoubt);
}

// Long reads may stop the log on the replica that holds them, and nothing says which do.
bool RoutingPolicy::Impl::longRead(std::size_t index) const {
  return settings_.classes[index].consistency == Consistency::Eventual && costOf(index) > kHeavy;
}

double RoutingPolicy::Impl::longShare() const {
  double total = 0, heavy = 0;
  for (std::size_t i = 0; i < arrivals_.size(); ++i) {
    const Consistency kind = settings_.classes[i].consistency;
    if (kind == Consistency::Write || kind == Consistency::Strong) continue;
    total += arrivals_[i] * costOf(i);
    if (longRead(i)) heavy += arrivals_[i] * costOf(i);
  }
  return total > 0 ? heavy / total : 0;
}

double RoutingPolicy::Impl::slownessOf(const EndpointState& peer) const {
  return 1 + (peer.slowness - 1) * std::max(0.0, 1 - real(now_ - peer.slownessAt) / real(kSlownessFades));
}

// The share of its capacity that an endpoint has at the least, by the contract: it climbs evenly from its
// start.
double RoutingPolicy::Impl::warmthOf(const EndpointState& peer) const {
  const Micros since = coldSince(peer);
  if (since <= 0 || settings_.slowStartDuration <= 0) return 1;
  const auto age = real(std::max<Micros>(0, now_ - since));
  const double share = std::min(1.0, age / real(settings_.slowStartDuration));
  return settings_.slowStartInitialShare + (1 - settings_.slowStartInitialShare) * share;
}

// Guards a cold endpoint against being pushed over by all routers together. What warm endpoints answer for
// this router is its part of what they can do; the cold one's work, rejected work included, keeps that
// proportion to its warmth, however unequal routers are. Where that is under a request in the window, or an
// even part of what a core can do stands in for it, single light ones go so far apart, the first at a time of
// each router's own.
bool RoutingPolicy::Impl::coldAllows(const EndpointState& peer, double cost) const {
  const double warmth = warmthOf(peer);
  if (warmth >= 1) return true;
  const auto window = real(fallWindow());
  const double own = std::min(kColdMost, kColdShare * settings_.overloadMultiple) * warmth * warmTaken_.value;
  if (peer.sent.now(now_, fallWindow()) + cost <= own) return true;
  if (peer.inFlight > 0 || cost > kHeavy) return false;
  const double core = settings_.overloadMultiple * warmth * window / warmMean_.value;
  const double share = peer.ease * std::max(own, kColdShare * core / settings_.gatewayCount);
  const Micros since = coldSince(peer);
  const bool first = peer.sent.at < since;
  return real(now_ - std::max(since, peer.sent.at)) >= (first ? peer.order : 1) * window * cost / share;
}

// Whether a request with its luck is one too many. What is worth something late may wait.
bool RoutingPolicy::Impl::jammed(const Record& record, const PendingRequest& job) const {
  const double excess = record.asked - kServedMultiple * record.served;
  return job.luck * (record.asked + 1) < (1 - classOf(job).lateValueShare) * excess;
}

// Whether this router may put a request on an endpoint beside the load that it has there.
bool RoutingPolicy::Impl::roomAt(const EndpointState& peer, double load, PendingRequest& job) const {
  // Many routers with one request each are a crowd too: a limit below one spaces its requests out.
  const bool paced = peer.limit >= 1 || real(now_ - peer.sent.at) >= usualOf(job) * (1 / peer.limit - 1);
  const RejectReason found = load >= limitOf(peer)            ? RejectReason::ConcurrencyLimit
                             : !paced                         ? RejectReason::Paced
                             : !coldAllows(peer, costOf(job)) ? RejectReason::SlowStart
                                                              : RejectReason::None;
  if (found != RejectReason::None) job.rejectReason = found;
  return found == RejectReason::None;
}

// The one place that says whether an attempt may be made, given those before it.
bool RoutingPolicy::Impl::mayRepeat(const PendingRequest& job, const EndpointState* target) const {
  if (job.tries.size() >= settings_.maxAttempts || job.over) return false;
  return (job.pending == 0 || settings_.hedgingAllowed) && mayRun(job, target, kNoTry);
}

// Whether one may run beside the effects that the others may have had.
bool RoutingPolicy::Impl::mayRun(const PendingRequest& job, const EndpointState* target,
                                 std::size_t own) const {
  const RequestClassSettings& entry = classOf(job);
  if (entry.idempotency == Idempotency::Idempotent) return true;
  for (const AttemptRecord& attempt : job.tries) {
    if (!attempt.ran || (own != kNoTry && &attempt == &job.tries[own])) continue;
    if (entry.idempotency == Idempotency::None) return false;
    // Repeats are discarded within the window from the first attempt that may have run, and within its scope.
    if (now_ + 2 * settings_.timerResolution >= attempt.sentAt + entry.keyWindow) return false;
    if (target == nullptr || target->info.id == attempt.endpoint) continue;
    if (entry.keyScope == KeyScope::Endpoint || entry.keyScope == KeyScope::Zone) return false;
  }
  return true;
}

// Whether an endpoint may be sent a request that was placed on it a while ago.
bool RoutingPolicy::Impl::stillAllows(const EndpointState& peer, const PendingRequest& job, std::size_t own) {
  if (job.over || job.bound || !peer.ready || unsure(peer) || !mayRun(job, &peer, own)) return false;
  const bool leads = claims(peer) && vouched(peer, job);
  if (needsPrimary(job) || settings_.staleReads != StaleReadBehavior::ServesStale)
    return leads || !needsPrimary(job);
  const bool first = peer.listedAt != kNever || ledLast(peer, groupOf(job.request.group));
  return (leads && first) || needOf(job) == kNever || peer.position >= needOf(job);
}

// Guards reads against a primary that fell while its answers were lost: it must have spoken of its role, or
// have been listed, within their bound and since anything broke there. Else it is asked first.
bool RoutingPolicy::Impl::vouched(const EndpointState& peer, const PendingRequest& job) const {
  if (job.consistency == Consistency::Write || job.consistency == Consistency::Eventual) return true;
  if (job.consistency != Consistency::BoundedStaleness && (denied(peer) || quiet(peer))) return false;
  if (!settings_.healthChecksAllowed || !settings_.healthChecksReportRole ||
      settings_.staleReads != StaleReadBehavior::ServesStale)
    return true;
  const Micros within =
      job.consistency == Consistency::BoundedStaleness ? classOf(job).maxStaleness : smallestBound_;
  return std::max(peer.toldAt, peer.listedAt) > std::max(peer.brokeAt, now_ - within);
}

bool RoutingPolicy::Impl::mayReject(const PendingRequest& job) const {
  const RequestClassSettings& entry = classOf(job);
  if (entry.idempotency == Idempotency::Idempotent) return true;
  if (entry.idempotency == Idempotency::WithKey && entry.keyScope == KeyScope::Global) return true;
  return std::none_of(job.tries.begin(), job.tries.end(),
                      [](const AttemptRecord& attempt) { return attempt.ran; });
}

double RoutingPolicy::Impl::usualOf(const PendingRequest& job) const {
  return std::min(latencies_[job.request.classIndex].value, kUsualMost * real(classOf(job).latencyObjective));
}

// When a request that waits here is worth nothing any more. Refused then, at once, not at its deadline.
Micros RoutingPolicy::Impl::giveUpAt(const PendingRequest& job) const {
  const Micros last = job.request.deadline - 2 * settings_.timerResolution;
  if (classOf(job).lateValueShare > 0) return last;
  return std::min(last, job.aimEnd - static_cast<Micros>(usualOf(job)));
}

LogPosition RoutingPolicy::Impl::needOf(const PendingRequest& job) const {
  if (job.consistency == Consistency::BoundedStaleness)
    return std::max(now_ - classOf(job).maxStaleness, job.token);
  return job.consistency == Consistency::Session ? job.token : kNever;
}

// Whether a read may go to a replica. Its known position tells, or what it is known to lag.
bool RoutingPolicy::Impl::covers(const EndpointState& peer, LogPosition need) const {
  if (need == kNever || peer.position >= need) return true;
  // It is as far behind as it was last told to be, until it may have caught up.
  const Micros lag = now_ - peer.lagAt < kLagKept * peer.lag ? peer.lag : 0;
  return lagIsEnough() && lag <= now_ - need + settings_.catchUpTimeout;
}

// ---- The path of a request ----

void RoutingPolicy::Impl::on(const RequestArrived& event) {
  const Request& request = event.request;
  // Guards memory against groups that only a client names.
  if (request.classIndex >= arrivals_.size() || !groups_.contains(request.group) ||
      request.deadline <= now_ || now_ >= stopsAt_) {
    act(RejectRequest{request.id, 0});
    return;
  }
  PendingRequest& job = jobs_.insert_or_assign(request.id, PendingRequest{}).first->second;
  job.request = request;
  job.arrived = now_;
  const RequestClassSettings& entry = classOf(job);
  const Micros stretch = part(entry.objectivePerEstimatedWork, request.estimatedWork.value_or(0));
  job.aimEnd = std::min(now_ + entry.latencyObjective + stretch, request.deadline);
  job.consistency = entry.consistency;
  const bool session = entry.consistency == Consistency::Session;
  // Where nothing tells what the session has written it must see all.
  if (session && settings_.sessionTokens == SessionTokenSource::None) job.consistency = Consistency::Strong;
  if (session && settings_.sessionTokens == SessionTokenSource::Gateway) {
    const auto found = sessions_.find(request.session);
    job.token = found != sessions_.end() ? found->second : oldToken_;
    // Guards against a write of its own that has run while its answer is still on its way.
    const bool open = std::any_of(jobs_.begin(), jobs_.end(), [&](const auto& at) {
      return at.second.pending > 0 && at.second.request.session == request.session && at.second.isWrite();
    });
    if (open && request.session != 0) job.consistency = Consistency::Strong;
  }
  if (const auto since = request.timeSinceLastWrite)
    job.token = std::max(job.token, now_ - std::min(*since, std::max<Micros>(0, *since - kTokenSlack)));
  if (job.consistency == Consistency::Session && job.token == kNever) job.consistency = Consistency::Eventual;
  if (job.consistency == Consistency::Eventual && job.token != kNever) job.consistency = Consistency::Session;
  for (double& count : arrivals_) count *= kMixKept;
  allWork_ *= kMixKept;
  ledWork_ *= kMixKept;
  arrivals_[request.classIndex] += 1;
  aims_.add(real(entry.latencyObjective), kClassGain);
  healthCheckCredit_ = std::min(kHealthChecksSaved, healthCheckCredit_ + kHealthChecksPerRequest);
  repeatCredit_ = std::min(kRepeatsSaved, repeatCredit_ + kRepeatsPerRequest);
  EndpointGroup& group = groupOf(request.group);
  if (needOf(job) != kNever) group.reads.add(1, now_, smallestBound_);
  healthCheckStale(group);
  Record& record = needsPrimary(job) ? group.primary : group.replicas;
  job.luck = random();
  if (jammed(record, job)) {
    record.add(0, kRecordGain);
    job.rejectReason = RejectReason::LoadShed;
    conclude(job);
  } else {
    place(job, group);
  }
  eraseIfDone(request.id);
}

// Sends the request, or holds it, or ends it. After an attempt that ended nothing it serves again.
void RoutingPolicy::Impl::place(PendingRequest& job, EndpointGroup& group) {
  if (now_ >= giveUpAt(job)) job.rejectReason = RejectReason::DeadlineTooClose;
  if (!mayRepeat(job, nullptr)) job.rejectReason = RejectReason::AttemptsExhausted;
  if (job.rejectReason >= RejectReason::DeadlineTooClose) return conclude(job);
  if (tryPlace(job, group)) return;
  if (job.rejectReason == RejectReason::EndpointListExpired) return conclude(job);
  // A marked repeat has most likely spent its aim already: where late is worth nothing it never waits.
  const bool brief = job.rejectReason == RejectReason::AwaitingHealthCheck;
  if (job.request.isClientRetry && classOf(job).lateValueShare <= 0 && !brief) return conclude(job);
  hold(job, group);
}

bool RoutingPolicy::Impl::tryPlace(PendingRequest& job, EndpointGroup& group) {
  EndpointState* peer = choose(job, group);
  if (peer == nullptr || !mayRepeat(job, peer)) return false;
  job.rejectReason = RejectReason::None;
  send(job, *peer);
  return true;
}

// The design's rule: writes and fresh reads to the primary, others to a current replica, else there too.
EndpointState* RoutingPolicy::Impl::choose(PendingRequest& job, EndpointGroup& group) {
  if (job.rejectReason == RejectReason::EndpointListExpired) job.rejectReason = RejectReason::None;
  const bool toPrimary = needsPrimary(job);
  EndpointState* primary = primaryOf(group, job.consistency == Consistency::Write);
  if (!toPrimary) {
    std::optional<double> crowd;  // the highest limit of the replicas that qualify but have no room
    if (EndpointState* replica = chooseReplica(job, group, primary, crowd)) return replica;
    // Load limiting: wait for one of those that qualify, unless the primary has room to spare.
    if (crowd && (primary == nullptr || primary->load >= kSpareShare * limitOf(*primary) ||
                  limitOf(*primary) < *crowd))
      return nullptr;
  }
  if (primary == nullptr) {
    job.rejectReason = RejectReason::NoPrimary;
    seek(group);  // no guess: a server that may be stale gets no read
    return settings_.healthChecksReportRole || !job.isWrite() ? nullptr : askByWrite(job, group);
  }
  if (unsure(*primary) && !mayShowItself(*primary)) {
    job.rejectReason = RejectReason::EndpointListExpired;
    return nullptr;
  }
  if (unsure(*primary) || !vouched(*primary, job)) {
    job.rejectReason = RejectReason::AwaitingHealthCheck;
    denied(*primary) ? seek(group)
                     : static_cast<void>(healthCheck(*primary, HealthCheckReason::PrimaryUnknown));
    return nullptr;
  }
  if (!toPrimary && jammed(group.primary, job)) {
    job.rejectReason = RejectReason::LoadShed;
    return nullptr;
  }
  if (!roomAt(*primary, primary->load, job)) {
    // Guards against waiting for one that died: what is held may be for another to take.
    if (primary->lost) seek(group);
    return nullptr;
  }
  return primary;
}

// On how many replicas long reads go. Spread over all, they would leave none current: while they can wait
// they are packed on the first by id, on so many that these carry no more than their even part.
double RoutingPolicy::Impl::packsOf(const EndpointGroup& group, const EndpointState* primary) const {
  double even = 0;
  for (const EndpointId id : group.endpoints) {
    const EndpointState& peer = peers_.at(id);
    if (&peer != primary && takesPacks(peer)) even += 1;
  }
  return std::max(1.0, std::ceil(longShare() * even));
}

// Where health checks tell no role a write finds out who leads: any other endpoint turns it away untouched.
// The one that said so longest ago comes first; the write's last try is for one known to lead.
EndpointState* RoutingPolicy::Impl::askByWrite(PendingRequest& job, const EndpointGroup& group) {
  if (job.tries.size() + 1 >= settings_.maxAttempts) return nullptr;
  EndpointState* next = nullptr;
  for (const EndpointId id : group.endpoints) {
    EndpointState& peer = peers_.at(id);
    if (!peer.ready || blocked(peer) || ghost(peer) || now_ - peer.replicaAt < kSeekEvery) continue;
    if (unsure(peer) && mayShowItself(peer)) healthCheck(peer, HealthCheckReason::Unresponsive);
    if (unsure(peer) || !roomAt(peer, peer.load, job)) continue;
    if (next == nullptr || peer.replicaAt < next->replicaAt) next = &peer;
  }
  return next;
}

EndpointState* RoutingPolicy::Impl::chooseReplica(PendingRequest& job, EndpointGroup& group,
                                                  const EndpointState* primary,
                                                  std::optional<double>& crowd) {
  const LogPosition need = needOf(job);
  const double cost = costOf(job);
  const bool packed = longRead(job.request.classIndex);
  const double waited = real(now_ - job.arrived) / real(std::max<Micros>(1, classOf(job).latencyObjective));
  const auto freshen = part(kHealthCheckGapShare, now_ - need);
  const bool asks = settings_.healthChecksReportPosition && settings_.healthChecksAllowed;
  const bool waits = settings_.catchUpTimeout > 0;  // endpoints do, before they turn a read away
  const double packs = packed ? packsOf(group, primary) : 0;
  double place = 0;
  EndpointState* best = nullptr;
  EndpointState* advanced = nullptr;
  EndpointState* hopeful = nullptr;  // a health check may show it current enough, or that it stays
  bool healthChecking = false;
  double bestScore = 0;
  for (const EndpointId id : group.endpoints) {
    EndpointState& peer = peers_.at(id);
    if (!peer.ready || &peer == primary || ghost(peer) || blocked(peer)) continue;
    if (unsure(peer)) {
      healthChecking = healthChecking || peer.healthChecking;
      if (mayShowItself(peer) && !unwilling(peer) && (hopeful == nullptr || peer.order < hopeful->order))
        hopeful = &peer;
      continue;
    }
    if (packed && !(takesPacks(peer) && ++place <= packs) && waited < kPackWait) {
      crowd = crowd.value_or(0);
      continue;
    }
    const bool room = roomAt(peer, packed ? peer.inFlight : peer.load, job);
    if (!covers(peer, need)) {
      healthChecking = healthChecking || peer.healthChecking;
      // In an order of its own, so that not all routers ask, and then crowd, the same one.
      // One that lagged too far may have caught up since, at half the speed of time.
      const bool near = peer.lag - (now_ - peer.lagAt) / 2 <= now_ - need;
      const bool first = hopeful == nullptr || peer.order < hopeful->order;
      if (room && near && first && now_ - peer.healthCheckedAt >= freshen && !unwilling(peer))
        hopeful = &peer;
      const bool tried = std::any_of(job.tries.begin(), job.tries.end(),
                                     [&](const AttemptRecord& t) { return t.endpoint == id; });
      const bool hopeless = waits ? !near : peer.lag > now_ - need && now_ - peer.lagAt < now_ - need;
      if (room && !tried && !hopeless && (advanced == nullptr || peer.position > advanced->position))
        advanced = &peer;
      continue;
    }
    if (!room) {
      crowd = std::max(crowd.value_or(0), limitOf(peer));
      continue;
    }
    const double work = peer.load / warmthOf(peer) + cost + kOwnOrder * orderOf(peer);
    double score = work * slownessOf(peer) * (1 + kJitter * random());
    if (peer.doubted) score *= kTriedPenalty;
    for (const AttemptRecord& attempt : job.tries) score *= attempt.endpoint == id ? kTriedPenalty : 1;
    if (best == nullptr || score < bestScore) {
      best = &peer;
      bestScore = score;
    }
  }
  if (best != nullptr || crowd) return best;
  // Endpoints that check reads themselves turn away what they are too far behind for, so the guess is safe.
  // Where they wait before they do, a health check is asked first.
  const bool askFirst = asks && waits && waited < kHealthCheckWaitShare;
  const bool guess = settings_.staleReads != StaleReadBehavior::ServesStale &&
                     !(askFirst && (healthChecking || hopeful != nullptr));
  if (guess && advanced != nullptr && advanced->position != kNever) return advanced;
  // An idle primary takes it, while primaries have less than their even part of this router's work.
  const bool spare = ledWork_ * static_cast<double>(group.endpoints.size()) < allWork_;
  if (spare && primary != nullptr && primary->load < kSpareShare * limitOf(*primary)) return nullptr;
  // A short wait for a health check spares the primary a read. Without a primary positions stand still.
  if (hopeful != nullptr && !healthChecking && (unsure(*hopeful) || (asks && primary != nullptr)))
    healthChecking = healthCheck(
        *hopeful, unsure(*hopeful) ? HealthCheckReason::Unresponsive : HealthCheckReason::ReadWaiting);
  if (healthChecking && waited < kHealthCheckWaitShare) {
    crowd = spare ? 0 : kLimitMost;
    job.rejectReason = RejectReason::AwaitingHealthCheck;
  }
  return nullptr;
}

void RoutingPolicy::Impl::send(PendingRequest& job, EndpointState& peer) {
  const double cost = costOf(job);
  const bool wasQuiet = quiet(peer);
  // Guards against one that fell after it last spoke: its own answer tells.
  const bool leads = &peer == primaryOf(groupOf(peer.info.group), false);
  const bool asPrimary = job.consistency == Consistency::Strong || (leads && needOf(job) != kNever);
  act(SendAttempt{job.request.id, peer.info.id, 0, asPrimary});
  const bool isLong = longRead(job.request.classIndex);
  job.tries.push_back({.endpoint = peer.info.id, .sentAt = now_, .cost = cost, .isLong = isLong});
  if (isLong && peer.longReads++ == 0) peer.progressDue = progressDue(job.request.classIndex);
  ++job.pending;
  if (peer.inFlight++ == 0) peer.heardAt = std::max(peer.heardAt, now_);
  peer.load += cost;
  allWork_ += cost;
  if (leads) ledWork_ += cost;
  peer.sent.add(cost, now_, fallWindow());
  // Guards against an endpoint that has gone quiet with requests of ours on it, which writes would never
  // show.
  if (wasQuiet && now_ - peer.healthCheckedAt > silence()) healthCheck(peer, HealthCheckReason::Unresponsive);
}

void RoutingPolicy::Impl::hold(PendingRequest& job, EndpointGroup& group) {
  group.held[job.request.classIndex].push_back(job.request.id);
  ++group.heldCount;
  job.held = true;
  setTimer(kGiveUpTimer, job.request.id, giveUpAt(job) - now_);
  lookAgain(job.request.group, group);
}

void RoutingPolicy::Impl::lookAgain(GroupId id, EndpointGroup& group) {
  if (group.ticking || group.heldCount == 0) return;
  group.ticking = true;
  setTimer(kGroupTimer, id, std::max(kHoldTick, settings_.timerResolution));
}

// Sends what is held and can go, the most worthy first. Each turn looks only at the newest of every line: it
// has the best chance of its aim, while by age each one would be served just too late in a jam.
void RoutingPolicy::Impl::pump(EndpointGroup& group) {
  if (group.heldCount == 0) return;
  std::vector<bool> stuck(group.held.size(), false);
  for (;;) {
    PendingRequest* best = nullptr;
    std::size_t bestSlot = 0;
    double bestPriority = 0;
    for (std::size_t slot = 0; slot < group.held.size(); ++slot) {
      auto& line = group.held[slot];
      if (stuck[slot]) continue;
      while (!line.empty()) {
        const RequestId id = line.back();
        const auto found = jobs_.find(id);
        const bool waits = found != jobs_.end() && found->second.held;
        if (waits && now_ < giveUpAt(found->second)) break;
        if (waits) conclude(found->second);
        line.pop_back();
        --group.heldCount;
        eraseIfDone(id);
      }
      if (line.empty()) continue;
      PendingRequest& job = jobs_.at(line.back());
      const RequestClassSettings& entry = classOf(job);
      const double priority =
          entry.priorityWeight * (now_ > job.aimEnd ? entry.lateValueShare : 1.0) / costOf(job);
      if (best != nullptr && priority <= bestPriority) continue;
      best = &job;
      bestSlot = slot;
      bestPriority = priority;
    }
    if (best == nullptr) return;
    stuck[bestSlot] = !tryPlace(*best, group);
    if (stuck[bestSlot] && best->rejectReason == RejectReason::EndpointListExpired) {
      stuck[bestSlot] = false;
      conclude(*best);
      continue;
    }
    if (stuck[bestSlot]) continue;
    best->held = false;
    group.held[bestSlot].pop_back();
    --group.heldCount;
  }
}

void RoutingPolicy::Impl::on(const AttemptEnded& event) {
  const auto found = jobs_.find(event.request);
  if (found == jobs_.end()) return;
  PendingRequest& job = found->second;
  if (event.attempt >= job.tries.size() || !job.tries[event.attempt].pending) return;
  AttemptRecord& attempt = job.tries[event.attempt];
  attempt.pending = false;
  --job.pending;
  const bool neverRan =
      event.outcome == AttemptOutcome::Overloaded || event.outcome == AttemptOutcome::ConnectFailed ||
      event.outcome == AttemptOutcome::NotSent || event.outcome == AttemptOutcome::PreconditionFailed;
  attempt.ran = !neverRan && !event.rolledBack;
  if (EndpointState* peer = find(attempt.endpoint)) {
    peer->inFlight = std::max(0, peer->inFlight - 1);
    peer->load = peer->inFlight == 0 ? 0 : std::max(0.0, peer->load - attempt.cost);
    if (attempt.isLong) --peer->longReads;
    if (attempt.isLong && event.outcome == AttemptOutcome::Ok)
      peer->progressDue = progressDue(job.request.classIndex);
    learnEnd(*peer, job, event);
    // Guards against routers that sit on idle connections which others need while connections are scarce.
    if (event.outcome == AttemptOutcome::Ok && now_ - scarceAt_ < kScarceFor)
      act(CloseIdleConnections{attempt.endpoint});
  }
  if (attempt.ran && classOf(job).consistency == Consistency::Write && job.request.session != 0) {
    // The latest that it can be committed: where that is not told no later than now, or, where no answer
    // came, than it may still be begun and carried out.
    const LogPosition latest = event.outcome == AttemptOutcome::Ok
                                   ? event.position.value_or(now_)
                                   : job.request.deadline + classOf(job).latencyObjective;
    LogPosition& token = sessions_.try_emplace(job.request.session, kNever).first->second;
    token = std::max(token, latest);
    if (sessions_.size() >= sweepAt_) sweepTokens();
  }
  if (event.requestFinished) job.over = true;
  EndpointGroup& group = groupOf(job.request.group);
  if (!job.over && job.pending == 0) {
    const bool repeatCosts = !neverRan || event.outcome == AttemptOutcome::Overloaded;
    const bool tooMany =
        repeatCosts && classOf(job).idempotency == Idempotency::Idempotent && repeatCredit_ < 1;
    const bool unsendable = event.outcome == AttemptOutcome::NotSent && !attempt.recalled;
    const bool last =
        job.bound || unsendable || now_ + settings_.timerResolution >= job.request.deadline || tooMany;
    if (!last && repeatCosts) repeatCredit_ -= 1;
    last ? conclude(job) : place(job, group);
  }
  eraseIfDone(event.request);
  pump(group);
}

// Guards a client that has seen a part of one answer against parts of another: the request stays there.
void RoutingPolicy::Impl::on(const ResponsePartForwarded& event) {
  const auto found = jobs_.find(event.request);
  if (found == jobs_.end()) return;
  found->second.bound = true;
  cancelPending(found->second, event.attempt);
}

// Guards sends that waited for their connection: what allowed them may no longer hold when they can be
// written (a bound that was nearly reached, a drain, a lost role). Such a one is called back and placed anew.
void RoutingPolicy::Impl::on(const AttemptConnected& event) {
  const auto found = jobs_.find(event.request);
  if (found == jobs_.end() || event.attempt >= found->second.tries.size()) return;
  PendingRequest& job = found->second;
  AttemptRecord& attempt = job.tries[event.attempt];
  const EndpointState* peer = find(attempt.endpoint);
  if (!attempt.pending || (peer != nullptr && stillAllows(*peer, job, event.attempt))) return;
  attempt.recalled = true;
  act(CancelAttempt{event.request, event.attempt});
}

// Lets old tokens go, so that memory does not grow with the sessions ever seen. A session without one then
// needs at least the newest that was dropped, which all but hopeless replicas cover.
void RoutingPolicy::Impl::sweepTokens() {
  std::erase_if(sessions_, [this](const auto& entry) {
    const bool old = now_ - entry.second > kForgetTokens;
    if (old) oldToken_ = std::max(oldToken_, entry.second);
    return old;
  });
  sweepAt_ = std::max(kTokensLeast, 2 * sessions_.size());
}

void RoutingPolicy::Impl::conclude(PendingRequest& job) {
  if (job.over) return;
  job.over = true;
  job.held = false;
  if (!mayReject(job)) return act(FailRequest{job.request.id, job.rejectReason});
  act(RejectRequest{job.request.id, settings_.retryAfterAllowed ? settings_.maxRetryAfter : 0,
                    job.rejectReason});
}

void RoutingPolicy::Impl::eraseIfDone(RequestId id) {
  const auto found = jobs_.find(id);
  if (found != jobs_.end() && found->second.over && found->second.pending == 0) jobs_.erase(found);
}

void RoutingPolicy::Impl::on(const TimerFired& event) {
  const std::uint64_t what = event.token & ((std::uint64_t{1} << kTimerShift) - 1);
  switch (event.token >> kTimerShift) {
    case kGiveUpTimer: {
      const auto found = jobs_.find(static_cast<RequestId>(what));
      if (found == jobs_.end() || !found->second.held) return;
      const Micros left = giveUpAt(found->second) - now_;
      if (left > 0) return setTimer(kGiveUpTimer, what, left);
      conclude(found->second);
      return eraseIfDone(found->first);
    }
    case kGroupTimer: {
      const auto found = groups_.find(static_cast<GroupId>(what));
      if (found == groups_.end()) return;
      found->second.ticking = false;
      pump(found->second);
      return lookAgain(found->first, found->second);
    }
    case kAskTimer:
      if (what != askRound_ || subscribed_) return;
      asked_ = true;
      act(SubscribeToEndpoints{});
      return setTimer(kAskTimer, ++askRound_, part(kAskWait, askWithin()));
    case kStopTimer: {
      // Guards what is out or held when this router ends: the answer comes while there is one to give it.
      for (auto next = jobs_.begin(); next != jobs_.end();) {
        PendingRequest& job = next++->second;
        conclude(job);
        cancelPending(job);
        eraseIfDone(job.request.id);
      }
    }
  }
}

void RoutingPolicy::Impl::on(const ShutdownStarted& event) {
  stopsAt_ = event.deadline;
  setTimer(kStopTimer, 0, event.deadline - now_);
}

// Guards against work for clients that have gone: what they left behind is cancelled where that is allowed.
void RoutingPolicy::Impl::on(const ClientDisconnected& event) {
  const auto found = jobs_.find(event.request);
  if (found != jobs_.end()) cancelPending(found->second);
  finish(event.request);
}

void RoutingPolicy::Impl::cancelPending(const PendingRequest& job, std::size_t but) {
  for (std::uint32_t i = 0; i < job.tries.size() && settings_.cancellationAllowed; ++i) {
    if (i != but && job.tries[i].pending) act(CancelAttempt{job.request.id, i});
  }
}

// Nothing more is owed. A started stream belongs to its client, and its end comes as an outcome.
void RoutingPolicy::Impl::finish(RequestId id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  found->second.over = true;
  found->second.held = false;
  eraseIfDone(id);
}

RoutingPolicy::RoutingPolicy(PolicySettings settings, std::uint64_t seed, Micros now,
                             std::vector<Action>& out)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now, out)) {}
RoutingPolicy::~RoutingPolicy() = default;
RoutingPolicy::RoutingPolicy(RoutingPolicy&&) noexcept = default;
RoutingPolicy& RoutingPolicy::operator=(RoutingPolicy&&) noexcept = default;

void RoutingPolicy::handle(Micros now, const Event& event, std::vector<Action>& out) {
  impl_->handle(now, event, out);
}

}  // namespace heathflow
