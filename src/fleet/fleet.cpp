#include "fleet/fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "common/overloaded.h"
#include "common/uniform.h"

namespace heathflow::fleet {
namespace {

constexpr Micros kMilli = 1000;
constexpr Micros kSecond = 1000 * kMilli;
constexpr Micros kStart = 1000 * kSecond;  // so that 0 is long ago
constexpr Micros kPath = 300;              // one way
constexpr Micros kHandshake = 4 * kMilli;
constexpr Micros kElection = 4500 * kMilli;
constexpr Micros kListLag = 3 * kSecond;  // of roles; of endpoints a third
constexpr Micros kReplicaLag = 50 * kMilli;
constexpr Micros kReportAge = 100 * kMilli;
constexpr Micros kWindow = 5 * kSecond;
constexpr std::size_t kQueue = 40;
constexpr Micros kPause = 400 * kMilli, kPauseEvery = 2 * kSecond;
constexpr Micros kDown = 2 * kSecond, kFlapEvery = 5 * kSecond;
constexpr Micros kDrain = 1500 * kMilli;
constexpr Micros kFarther = 100 * kMilli;
constexpr double kLostAnswers = 0.25, kLostOnPath = 0.1;
constexpr Micros kLaterList = 4;
// Of the four classes: aims and deadlines.
constexpr std::array<Micros, kClasses> kAims = {200 * kMilli, 500 * kMilli, 300 * kMilli, 750 * kMilli};
constexpr std::array<Micros, kClasses> kDeadlines = {600 * kMilli, 2 * kSecond, kSecond, 5 * kSecond};
constexpr std::array<Consistency, kClasses> kNeeds = {Consistency::BoundedStaleness, Consistency::Eventual,
                                                      Consistency::Strong, Consistency::Write};

struct Work {  // one attempt at an endpoint
  std::size_t router = 0;
  EndpointId endpoint = 0;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  std::uint64_t life = 0;  // of the router
  Micros sentAt = 0;
  bool dropped = false;
};

struct EndpointModel {
  EndpointId id = 0;
  GroupId group = 0;
  bool up = true;
  bool leads = false;
  bool lagging = false;
  bool draining = false;
  bool failing = false;
  bool losesAnswers = false;
  bool failsHealthChecks = false;
  Micros standsUntil = 0;  // it takes everything and does nothing
  Micros stoodAt = 0;      // where its position stands; 0: it moves
  Micros shownAt = 0;      // the newest position that it has shown a router
  Micros startedAt = 0;    // 0: long ago
  unsigned life = 0;
  std::deque<std::shared_ptr<Work>> queue;
  unsigned running = 0;
  std::deque<Micros> cold;  // when a cold one was lately sent something
};

struct Asked {
  Micros arrived = 0;
  std::uint32_t classIndex = 0;
  GroupId group = 0;
  unsigned attempts = 0;
  unsigned answers = 0;
  std::unordered_map<std::uint32_t, std::shared_ptr<Work>> open;
};

struct RouterModel {
  std::unique_ptr<RoutingPolicy> logic;
  std::uint64_t life = 0;
  double rate = 1;
  RequestId lastId = 0;
  std::unordered_map<RequestId, Asked> asked;
  std::unordered_map<EndpointId, unsigned> idle;  // connections
  std::unordered_map<EndpointId, unsigned> standing;
  std::set<EndpointId> badFor;
};

class World {
 public:
  explicit World(const Plan& plan) : plan_(plan), random_(plan.seed), settings_(settingsOf(plan)) {}

  Result play() {
    for (GroupId group = 0; group < plan_.groups; ++group) {
      primarySince_.push_back(0);
      for (unsigned i = 0; i < plan_.endpoints; ++i) {
        EndpointModel endpoint;
        endpoint.id = endpoints_.size() + 1;
        endpoint.group = group;
        endpoint.leads = i == group % plan_.endpoints;
        endpoints_.push_back(endpoint);
      }
    }
    result_.endpointAttempts.resize(endpoints_.size());
    result_.routerHealthChecks.resize(plan_.routers);
    result_.routerRequests.resize(plan_.routers);
    routers_.resize(plan_.routers);
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      // From the quietest to the busiest, with the mean as planned.
      const double place =
          routers_.size() < 2 ? 0.5 : static_cast<double>(i) / static_cast<double>(routers_.size() - 1);
      const double least = 2 / (1 + plan_.unequal);
      routers_[i].rate = plan_.requestsPerSecond * least * (1 + place * (plan_.unequal - 1));
      restart(i);
      arrive(i);
    }
    for (const Happening& happening : plan_.happenings) {
      at(kStart + happening.at, [this, happening] { happen(happening); });
    }
    const Micros end = kStart + plan_.length;
    while (!events_.empty() && events_.top().at <= end + 10 * kSecond) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      arriving_ = now_ < end;
      event.run();
    }
    if (found_ > 0) result_.foundAfter = foundSum_ / static_cast<Micros>(found_);
    result_.afterFailover = found_;
    return result_;
  }

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
  Window& window(Micros arrived) {
    const auto index = static_cast<std::size_t>((arrived - kStart) / kWindow);
    if (result_.windows.size() <= index) result_.windows.resize(index + 1);
    return result_.windows[index];
  }

  // ---- Routers ----

  void restart(std::size_t index) {
    RouterModel& router = routers_[index];
    ++router.life;
    router.asked.clear();
    router.idle.clear();
    for (const auto& [id, count] : router.standing) standing_ -= count;
    router.standing.clear();
    std::vector<Action> actions;
    router.logic = std::make_unique<RoutingPolicy>(settings_, random_(), now_, actions);
    perform(index, actions);
    tell(index, listing(), EndpointsChanged::Scope::Full);
  }

  Endpoint entryOf(const EndpointModel& model) const {
    Endpoint entry;
    entry.id = model.id;
    entry.group = model.group;
    entry.status = !model.up        ? EndpointStatus::Removed
                   : model.draining ? EndpointStatus::Draining
                                    : EndpointStatus::Ready;
    entry.startedAt = model.startedAt;
    entry.listedPrimary = model.leads;
    return entry;
  }
  std::vector<Endpoint> listing() const {
    std::vector<Endpoint> out;
    for (const EndpointModel& model : endpoints_) out.push_back(entryOf(model));
    return out;
  }
  // All routers hear of it, each in its own time.
  void announce(const EndpointModel& model, Micros lag) {
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      at(now_ + static_cast<Micros>(static_cast<double>(lag * listSlow_) * (0.5 + uniform())),
         [this, i, id = model.id] { tell(i, {entryOf(endpoint(id))}, EndpointsChanged::Scope::Delta); });
    }
  }
  void tell(std::size_t index, std::vector<Endpoint> entries, EndpointsChanged::Scope scope) {
    post(index, EndpointsChanged{scope, std::move(entries)});
  }
  void post(std::size_t index, const heathflow::Event& event) {
    std::vector<Action> actions;
    routers_[index].logic->handle(now_, event, actions);
    perform(index, actions);
  }

  void perform(std::size_t index, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      std::visit(Overloaded{
                     [&](const SendAttempt& a) { attempt(index, a); },
                     [&](const CancelAttempt& a) { cancel(index, a); },
                     [&](const RejectRequest& a) { giveUp(index, a.request, a.reason); },
                     [&](const FailRequest& a) { giveUp(index, a.request, a.reason); },
                     [&](const StartHealthCheck& a) { healthCheck(index, a); },
                     [&](const CloseIdleConnections& a) {
                       RouterModel& router = routers_[index];
                       standing_ -= router.idle[a.endpoint];
                       router.standing[a.endpoint] -= router.idle[a.endpoint];
                       router.idle[a.endpoint] = 0;
                     },
                     [&](const SubscribeToEndpoints&) {},
                     [&](const SetTimer& a) {
                       at(now_ + a.after, [this, index, token = a.token, life = routers_[index].life] {
                         if (routers_[index].life == life) post(index, TimerFired{token});
                       });
                     },
                 },
                 action);
    }
  }

  void arrive(std::size_t index) {
    at(now_ + exponential(static_cast<double>(kSecond) / routers_[index].rate), [this, index] {
      if (!arriving_) return;
      ask(index);
      arrive(index);
    });
  }

  void ask(std::size_t index) {
    RouterModel& router = routers_[index];
    double luck = uniform();
    std::uint32_t classIndex = 0;
    while (classIndex + 1 < kClasses && luck >= plan_.mix[classIndex]) luck -= plan_.mix[classIndex++];
    Request request;
    request.id = ++router.lastId;
    request.group = static_cast<GroupId>(uniform() * plan_.groups);
    request.classIndex = classIndex;
    request.deadline = now_ + kDeadlines[classIndex];
    Asked& asked = router.asked[request.id];
    asked.arrived = now_;
    asked.classIndex = classIndex;
    asked.group = request.group;
    ++result_.requests;
    ++result_.routerRequests[index];
    ++window(now_).requests;
    post(index, RequestArrived{request});
  }

  void answer(std::size_t index, RequestId id) {
    Asked& asked = routers_[index].asked.at(id);
    ++result_.answers;
    if (++asked.answers == 2) ++result_.twice;
  }

  void giveUp(std::size_t index, RequestId id, RejectReason why) {
    const auto found = routers_[index].asked.find(id);
    if (found == routers_[index].asked.end()) return;
    answer(index, id);
    Window& in = window(found->second.arrived);
    ++in.givenUp;
    ++result_.givenUpBy[static_cast<std::size_t>(why)];
    if (someoneHasRoom(found->second)) ++in.givenUpWithRoom;
  }

  bool someoneHasRoom(const Asked& asked) {
    const bool toPrimary =
        kNeeds[asked.classIndex] == Consistency::Strong || kNeeds[asked.classIndex] == Consistency::Write;
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const EndpointModel& model) {
      if (model.group != asked.group || !model.up || (toPrimary && !model.leads)) return false;
      const LogPosition need = now_ - settings_.classes[asked.classIndex].maxStaleness;
      if (asked.classIndex == kView && positionOf(model) < need) return false;
      return model.running + model.queue.size() < plan_.cores * warmthOf(model);
    });
  }

  // ---- Connections ----

  // Takes an idle one or opens one: how long that takes.
  Micros connect(RouterModel& router, EndpointId id) {
    unsigned& idle = router.idle[id];
    if (idle > 0) {
      --idle;
      return 0;
    }
    ++router.standing[id];
    ++result_.connections;
    result_.connectionsPeak = std::max(result_.connectionsPeak, ++standing_);
    return kHandshake;
  }
  void release(RouterModel& router, EndpointId id, bool kept) {
    if (kept) {
      ++router.idle[id];
    } else if (router.standing[id] > 0) {
      --router.standing[id];
      --standing_;
    }
  }

  // ---- Endpoints ----

  LogPosition positionOf(const EndpointModel& model) const {
    if (model.leads) return now_;
    return model.stoodAt != 0 ? model.stoodAt : now_ - kReplicaLag;
  }
  // A position that a router sees. A log goes only forwards, so none before it is shown later.
  LogPosition showPosition(EndpointModel& model) {
    const LogPosition position = positionOf(model);
    model.shownAt = std::max(model.shownAt, position);
    return position;
  }
  double warmthOf(const EndpointModel& model) const {
    if (model.startedAt == 0) return 1;
    const double share = std::min(
        1.0, static_cast<double>(now_ - model.startedAt) / static_cast<double>(settings_.slowStartDuration));
    return settings_.slowStartInitialShare + (1 - settings_.slowStartInitialShare) * share;
  }

  void attempt(std::size_t index, const SendAttempt& action) {
    RouterModel& router = routers_[index];
    const auto found = router.asked.find(action.request);
    if (found == router.asked.end()) return;
    Asked& asked = found->second;
    EndpointModel& model = endpoint(action.endpoint);
    ++result_.endpointAttempts[action.endpoint - 1];
    auto work = std::make_shared<Work>();
    *work = {index, action.endpoint, action.request, asked.attempts++, router.life, now_, false};
    asked.open[work->attempt] = work;
    if (!model.up) {
      at(now_ + 2 * kPath,
         [this, work, id = action.endpoint] { ended(work, id, AttemptOutcome::ConnectFailed); });
      return;
    }
    const Micros wait = connect(router, action.endpoint);
    at(asked.arrived + kDeadlines[asked.classIndex], [this, work, id = action.endpoint] {
      if (drop(work, id)) ended(work, id, AttemptOutcome::TimedOut);
    });
    if (isFar(index, action.endpoint) && uniform() < kLostOnPath) return;
    at(now_ + kPath + farther(index, action.endpoint) + wait,
       [this, work, id = action.endpoint] { reach(work, id); });
  }

  void reach(const std::shared_ptr<Work>& work, EndpointId id) {
    if (work->dropped) return;
    EndpointModel& model = endpoint(id);
    if (!model.up) return lose(work, id, AttemptOutcome::ConnectionReset);
    if (warmthOf(model) < 1) {
      model.cold.push_back(now_);
      while (now_ - model.cold.front() > settings_.overloadWindow) model.cold.pop_front();
      const double can = plan_.cores * warmthOf(model) * static_cast<double>(settings_.overloadWindow) /
                         static_cast<double>(plan_.work);
      const auto got = static_cast<double>(model.cold.size());
      result_.coldPeak = std::max(result_.coldPeak, got / can);
      result_.coldLoad = std::max(result_.coldLoad, got / loadToFall(settings_.overloadMultiple * can));
    }
    RouterModel& router = routers_[work->router];
    if (model.failing || router.badFor.contains(id)) return lose(work, id, AttemptOutcome::Error);
    const auto asked = router.asked.find(work->request);
    const bool write = asked != router.asked.end() && kNeeds[asked->second.classIndex] == Consistency::Write;
    if (write && !model.leads) return lose(work, id, AttemptOutcome::PreconditionFailed);
    if (model.queue.size() >= kQueue) return lose(work, id, AttemptOutcome::Overloaded);
    model.queue.push_back(work);
    serve(id);
  }

  void lose(const std::shared_ptr<Work>& work, EndpointId id, AttemptOutcome outcome) {
    work->dropped = true;
    release(routers_[work->router], id, outcome != AttemptOutcome::ConnectionReset);
    at(now_ + kPath, [this, work, id, outcome] { ended(work, id, outcome); });
  }

  void serve(EndpointId id) {
    EndpointModel& model = endpoint(id);
    while (model.up && now_ >= model.standsUntil && model.running < plan_.cores && !model.queue.empty()) {
      const auto work = model.queue.front();
      model.queue.pop_front();
      if (work->dropped) continue;
      ++model.running;
      const LogPosition position = showPosition(model);
      const Micros takes = exponential(static_cast<double>(plan_.work) / warmthOf(model));
      at(now_ + takes, [this, work, id, position, life = model.life] { complete(work, id, position, life); });
    }
  }

  void complete(const std::shared_ptr<Work>& work, EndpointId id, LogPosition position, unsigned life) {
    EndpointModel& host = endpoint(id);
    if (host.life != life) return;
    if (now_ < host.standsUntil) {
      at(host.standsUntil, [this, work, id, position, life] { complete(work, id, position, life); });
      return;
    }
    --host.running;
    const bool lost = (host.losesAnswers && uniform() < kLostAnswers) ||
                      (isFar(work->router, id) && uniform() < kLostOnPath);
    if (!work->dropped && !lost) {
      work->dropped = true;
      release(routers_[work->router], id, true);
      at(now_ + kPath + farther(work->router, id),
         [this, work, id, position] { ended(work, id, AttemptOutcome::Ok, position); });
    }
    serve(id);
  }

  bool isFar(std::size_t router, EndpointId id) const { return pathsWorse_ && (router + id) % 2 == 0; }
  Micros farther(std::size_t router, EndpointId id) const { return isFar(router, id) ? kFarther : 0; }

  // Nobody waits for it any more. False where it was over.
  bool drop(const std::shared_ptr<Work>& work, EndpointId id) {
    if (work->dropped) return false;
    work->dropped = true;
    if (routers_[work->router].life == work->life) release(routers_[work->router], id, false);
    return true;
  }

  void cancel(std::size_t index, const CancelAttempt& action) {
    const auto found = routers_[index].asked.find(action.request);
    if (found == routers_[index].asked.end()) return;
    const auto open = found->second.open.find(action.attempt);
    if (open == found->second.open.end()) return;
    const auto work = open->second;
    if (drop(work, work->endpoint))
      at(now_, [this, work] { ended(work, work->endpoint, AttemptOutcome::Cancelled); });
  }

  void ended(const std::shared_ptr<Work>& work, EndpointId id, AttemptOutcome outcome,
             LogPosition position = 0) {
    RouterModel& router = routers_[work->router];
    const auto found = router.asked.find(work->request);
    if (router.life != work->life || found == router.asked.end()) return;
    Asked& asked = found->second;
    asked.open.erase(work->attempt);
    AttemptEnded event;
    event.request = work->request;
    event.attempt = work->attempt;
    event.endpoint = id;
    event.outcome = outcome;
    event.elapsed = now_ - work->sentAt;
    event.mayLackConnections = false;
    if (outcome == AttemptOutcome::Ok) {
      event.requestFinished = true;
      answer(work->router, work->request);
      if (now_ - asked.arrived <= kAims[asked.classIndex]) ++window(asked.arrived).inTime;
      const Micros oldest = work->sentAt - settings_.classes[asked.classIndex].maxStaleness;
      if (asked.classIndex == kView && position < oldest) ++result_.stale;
      if (asked.classIndex == kSave) wrote(work->router, asked.group, asked.arrived, work->sentAt);
    }
    post(work->router, event);
  }

  // The first write of a router at a group's new primary.
  void wrote(std::size_t index, GroupId group, Micros arrived, Micros sentAt) {
    const Micros since = primarySince_[group];
    if (since == 0 || !foundBy_.insert({group, index, since}).second) return;
    ++found_;
    foundSum_ += std::max<Micros>(0, sentAt - std::max(since, arrived));
  }

  void healthCheck(std::size_t index, const StartHealthCheck& action) {
    RouterModel& router = routers_[index];
    ++result_.healthChecks;
    ++result_.routerHealthChecks[index];
    ++result_.healthChecksBy[static_cast<std::size_t>(action.reason)];
    EndpointModel& model = endpoint(action.endpoint);
    const bool up = model.up;
    const Micros wait = up ? connect(router, action.endpoint) : 0;
    const bool stands = now_ < model.standsUntil;
    const Micros takes =
        stands ? settings_.connectTimeout : 2 * (kPath + farther(index, action.endpoint)) + wait;
    at(now_ + takes, [this, index, id = action.endpoint, up, life = router.life] {
      if (routers_[index].life != life) return;
      EndpointModel& host = endpoint(id);
      HealthCheckEnded event;
      event.endpoint = id;
      event.ok = up && host.up && !host.failsHealthChecks && now_ >= host.standsUntil;
      event.elapsed = 2 * kPath;
      if (event.ok) {
        event.report.position =
            std::min(showPosition(host), now_ - static_cast<Micros>(uniform() * kReportAge));
        event.report.role = host.leads ? Role::Primary : Role::Replica;
      }
      if (up) release(routers_[index], id, event.ok);
      post(index, event);
    });
  }

  // ---- What happens ----

  void happen(const Happening& what) {
    switch (what.kind) {
      case Happening::Kind::PrimariesDie:
        for (EndpointModel& model : endpoints_) {
          if (model.leads && uniform() < what.share) fall(model, what.lasts);
        }
        return;
      case Happening::Kind::EndpointsReturn:
        for (EndpointModel& model : endpoints_) {
          if (model.up && uniform() < what.share) fall(model, what.lasts);
        }
        return;
      case Happening::Kind::RoutersRestart:
        for (std::size_t i = 0; i < routers_.size(); ++i) {
          if (uniform() < what.share) restart(i);
        }
        return;
      case Happening::Kind::ReplicasLag:
        for (EndpointModel& model : endpoints_) {
          if (model.leads || uniform() >= what.share) continue;
          model.lagging = true;
          model.stoodAt = now_;
          at(now_ + what.lasts, [this, id = model.id] {
            endpoint(id).lagging = false;
            endpoint(id).stoodAt = 0;
          });
        }
        return;
      case Happening::Kind::BadForSome:
        for (RouterModel& router : routers_) {
          if (uniform() < what.share) router.badFor.insert(1);
        }
        at(now_ + what.lasts, [this] {
          for (RouterModel& router : routers_) router.badFor.clear();
        });
        return;
      default:
        return trouble(what);
    }
  }

  // Each endpoint is struck with the chance of the share.
  void strike(const Happening& what, const std::function<void(EndpointModel&)>& begins,
              const std::function<void(EndpointModel&)>& ends) {
    for (EndpointModel& model : endpoints_) {
      if (!model.up || uniform() >= what.share) continue;
      begins(model);
      at(now_ + what.lasts, [this, ends, id = model.id] { ends(endpoint(id)); });
    }
  }

  void standStill(EndpointModel& model, Micros lasts) {
    model.standsUntil = now_ + lasts;
    at(model.standsUntil, [this, id = model.id] { serve(id); });
  }

  // Every so often until a time.
  void repeat(EndpointId id, Micros every, Micros until, const std::function<void(EndpointModel&)>& what) {
    if (now_ >= until) return;
    if (endpoint(id).up) what(endpoint(id));
    at(now_ + every, [this, id, every, until, what] { repeat(id, every, until, what); });
  }

  void trouble(const Happening& what) {
    const auto nothing = [](EndpointModel&) {};
    const Micros until = now_ + what.lasts;
    switch (what.kind) {
      case Happening::Kind::EndpointsHang:
        return strike(
            what, [this, &what](EndpointModel& m) { standStill(m, what.lasts); }, nothing);
      case Happening::Kind::EndpointsPause: {
        const auto pause = [this](EndpointModel& m) { standStill(m, kPause); };
        return strike(
            what, [&](EndpointModel& m) { repeat(m.id, kPauseEvery, until, pause); }, nothing);
      }
      case Happening::Kind::EndpointsFail:
        return strike(
            what, [](EndpointModel& m) { m.failing = true; }, [](EndpointModel& m) { m.failing = false; });
      case Happening::Kind::AnswersLost:
        return strike(
            what, [](EndpointModel& m) { m.losesAnswers = true; },
            [](EndpointModel& m) { m.losesAnswers = false; });
      case Happening::Kind::HealthChecksFail:
        return strike(
            what, [](EndpointModel& m) { m.failsHealthChecks = true; },
            [](EndpointModel& m) { m.failsHealthChecks = false; });
      case Happening::Kind::EndpointsFlap: {
        const auto die = [this](EndpointModel& m) { fall(m, kDown); };
        return strike(
            what, [&](EndpointModel& m) { repeat(m.id, kFlapEvery, until, die); }, nothing);
      }
      case Happening::Kind::EndpointsLeave:
        return strike(
            what, [this, &what](EndpointModel& m) { leave(m, what.lasts); }, nothing);
      case Happening::Kind::ListLate:
        listSlow_ = kLaterList;
        return at(until, [this] { listSlow_ = 1; });
      case Happening::Kind::PathsWorsen:
        pathsWorse_ = true;
        return at(until, [this] { pathsWorse_ = false; });
      default:
        return;
    }
  }

  void leave(EndpointModel& model, Micros lasts) {
    model.draining = true;
    announce(model, kListLag / 3);
    at(now_ + kDrain, [this, lasts, id = model.id] {
      endpoint(id).draining = false;
      if (endpoint(id).up) fall(endpoint(id), lasts);
    });
  }

  void fall(EndpointModel& model, Micros lasts) {
    model.up = false;
    ++model.life;
    model.running = 0;
    for (const auto& work : std::exchange(model.queue, {})) {
      if (!work->dropped) lose(work, model.id, AttemptOutcome::ConnectionReset);
    }
    for (RouterModel& router : routers_) {
      standing_ -= router.standing[model.id];
      router.standing[model.id] = router.idle[model.id] = 0;
    }
    announce(model, kListLag / 3);
    if (std::exchange(model.leads, false)) lead(model.group);
    model.stoodAt = now_;
    at(now_ + lasts, [this, id = model.id] {
      EndpointModel& back = endpoint(id);
      back.up = true;
      back.startedAt = now_;
      if (primaryOf(back.group) != nullptr) back.stoodAt = 0;
      announce(back, kListLag / 3);
    });
  }

  EndpointModel* primaryOf(GroupId group) {
    for (EndpointModel& model : endpoints_) {
      if (model.group == group && model.leads) return &model;
    }
    return nullptr;
  }

  // A group without a primary stands still until the one with most of the log takes over.
  void lead(GroupId group) {
    for (EndpointModel& model : endpoints_) {
      if (model.group == group && model.stoodAt == 0)
        model.stoodAt =
            std::max(model.shownAt, now_ - kReplicaLag - static_cast<Micros>(uniform() * kReplicaLag));
    }
    at(now_ + kElection, [this, group] {
      EndpointModel* next = nullptr;
      for (EndpointModel& model : endpoints_) {
        if (model.group != group || !model.up) continue;
        if (next == nullptr || model.stoodAt > next->stoodAt) next = &model;
      }
      if (next == nullptr) return lead(group);
      next->leads = true;
      primarySince_[group] = now_;
      for (EndpointModel& model : endpoints_) {
        if (model.group == group && !model.lagging && model.up) model.stoodAt = 0;
      }
      announce(*next, kListLag);
    });
  }

  const Plan& plan_;
  std::mt19937_64 random_;
  PolicySettings settings_;
  Micros now_ = kStart;
  bool arriving_ = true;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<EndpointModel> endpoints_;
  std::vector<RouterModel> routers_;
  std::vector<Micros> primarySince_;
  std::set<std::tuple<GroupId, std::size_t, Micros>> foundBy_;
  std::uint64_t found_ = 0;
  Micros foundSum_ = 0;
  std::uint64_t standing_ = 0;
  Micros listSlow_ = 1;
  bool pathsWorse_ = false;
  Result result_;
};

}  // namespace

double loadToFall(double allowed) { return allowed + 2 * std::sqrt(allowed) + 2; }

PolicySettings settingsOf(const Plan& plan) {
  PolicySettings out;
  for (std::uint32_t i = 0; i < kClasses; ++i) {
    RequestClassSettings entry;
    entry.consistency = kNeeds[i];
    entry.maxStaleness = i == kView ? 3 * kSecond : 0;
    entry.latencyObjective = kAims[i];
    entry.deadline = kDeadlines[i];
    entry.priorityWeight = 2;
    entry.lateValueShare = i == kSave ? 0.3 : 0;
    entry.idempotency = i == kSave ? Idempotency::WithKey : Idempotency::Idempotent;
    entry.keyScope = i == kSave ? KeyScope::Group : KeyScope::Global;
    entry.keyWindow = 5 * kSecond;
    out.classes.push_back(entry);
  }
  out.gatewayCount = plan.routers;
  out.timerResolution = 5 * kMilli;
  out.sessionTokens = SessionTokenSource::Gateway;
  out.discoveryIsPolled = false;
  out.maxPollInterval = 10 * kSecond;
  out.healthChecksAllowed = true;
  out.cancellationAllowed = true;
  out.retryAfterAllowed = true;
  out.maxRetryAfter = 500 * kMilli;
  out.maxAttempts = 10;
  out.connectTimeout = 250 * kMilli;
  out.responseSlack = 20 * kMilli;
  out.slowStartInitialShare = 0.15;
  out.slowStartDuration = 16 * kSecond;
  out.overloadWindow = 2 * kSecond;
  out.overloadMultiple = 2.5;
  return out;
}

Result play(const Plan& plan) { return World(plan).play(); }

}  // namespace heathflow::fleet
