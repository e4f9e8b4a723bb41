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

#include "chance.h"
#include "overloaded.h"

namespace heathflow::fleet {
namespace {

constexpr Micros kMilli = 1000;
constexpr Micros kSecond = 1000 * kMilli;
constexpr Micros kStart = 1000 * kSecond;  // so that 0 is long ago
constexpr Micros kPath = 300;              // one way
constexpr Micros kHandshake = 4 * kMilli;
constexpr Micros kElection = 4500 * kMilli;
constexpr Micros kListLag = 3 * kSecond;  // of roles; of members a third
constexpr Micros kReplicaLag = 50 * kMilli;
constexpr Micros kReportAge = 100 * kMilli;
constexpr Micros kWindow = 5 * kSecond;
constexpr std::size_t kQueue = 40;
// Of the four classes: aims and deadlines.
constexpr std::array<Micros, kClasses> kAims = {200 * kMilli, 500 * kMilli, 300 * kMilli, 750 * kMilli};
constexpr std::array<Micros, kClasses> kDeadlines = {600 * kMilli, 2 * kSecond, kSecond, 5 * kSecond};
constexpr std::array<Consistency, kClasses> kNeeds = {Consistency::Bounded, Consistency::Any,
                                                      Consistency::Fresh, Consistency::Write};

struct Work {  // one attempt at a member
  std::size_t router = 0;
  MemberId member = 0;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  std::uint64_t life = 0;  // of the router
  Micros sentAt = 0;
  bool dropped = false;
};

struct MemberModel {
  MemberId id = 0;
  GroupId group = 0;
  bool up = true;
  bool leads = false;
  bool lagging = false;
  Micros stoodAt = 0;   // where its position stands; 0: it moves
  Micros launched = 0;  // 0: long ago
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
  std::unique_ptr<Logic> logic;
  std::uint64_t life = 0;
  double rate = 1;
  RequestId lastId = 0;
  std::unordered_map<RequestId, Asked> asked;
  std::unordered_map<MemberId, unsigned> idle;  // connections
  std::unordered_map<MemberId, unsigned> standing;
  std::set<MemberId> badFor;
};

class World {
 public:
  explicit World(const Plan& plan) : plan_(plan), random_(plan.seed), settings_(settingsOf(plan)) {}

  Result play() {
    for (GroupId group = 0; group < plan_.groups; ++group) {
      primarySince_.push_back(0);
      for (unsigned i = 0; i < plan_.members; ++i) {
        MemberModel member;
        member.id = members_.size() + 1;
        member.group = group;
        member.leads = i == group % plan_.members;
        members_.push_back(member);
      }
    }
    result_.memberAttempts.resize(members_.size());
    result_.routerProbes.resize(plan_.routers);
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
  double uniform() { return evenly(random_()); }
  Micros exponential(double mean) { return static_cast<Micros>(-mean * std::log(1 - uniform())); }
  MemberModel& member(MemberId id) { return members_[id - 1]; }
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
    router.logic = std::make_unique<Logic>(settings_, random_(), now_, actions);
    perform(index, actions);
    tell(index, listing(), MembersChanged::Scope::Full);
  }

  Member entryOf(const MemberModel& model) const {
    Member entry;
    entry.id = model.id;
    entry.group = model.group;
    entry.state = model.up ? MemberState::Ready : MemberState::Gone;
    entry.launched = model.launched;
    entry.leads = model.leads;
    return entry;
  }
  std::vector<Member> listing() const {
    std::vector<Member> out;
    for (const MemberModel& model : members_) out.push_back(entryOf(model));
    return out;
  }
  // All routers hear of it, each in its own time.
  void announce(const MemberModel& model, Micros lag) {
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      at(now_ + static_cast<Micros>(static_cast<double>(lag) * (0.5 + uniform())),
         [this, i, id = model.id] { tell(i, {entryOf(member(id))}, MembersChanged::Scope::Delta); });
    }
  }
  void tell(std::size_t index, std::vector<Member> entries, MembersChanged::Scope scope) {
    post(index, MembersChanged{scope, std::move(entries)});
  }
  void post(std::size_t index, const heathflow::Event& event) {
    std::vector<Action> actions;
    routers_[index].logic->handle(now_, event, actions);
    perform(index, actions);
  }

  void perform(std::size_t index, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      std::visit(Overloaded{
                     [&](const Attempt& a) { attempt(index, a); },
                     [&](const Cancel& a) { cancel(index, a); },
                     [&](const Refuse& a) { giveUp(index, a.request, a.why); },
                     [&](const Fail& a) { giveUp(index, a.request, a.why); },
                     [&](const Probe& a) { probe(index, a); },
                     [&](const Disconnect& a) {
                       RouterModel& router = routers_[index];
                       standing_ -= router.idle[a.member];
                       router.standing[a.member] -= router.idle[a.member];
                       router.idle[a.member] = 0;
                     },
                     [&](const Subscribe&) {},
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

  void giveUp(std::size_t index, RequestId id, Hindrance why) {
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
        kNeeds[asked.classIndex] == Consistency::Fresh || kNeeds[asked.classIndex] == Consistency::Write;
    return std::any_of(members_.begin(), members_.end(), [&](const MemberModel& model) {
      if (model.group != asked.group || !model.up || (toPrimary && !model.leads)) return false;
      const Position need = now_ - settings_.classes[asked.classIndex].maxAge;
      if (asked.classIndex == kView && positionOf(model) < need) return false;
      return model.running + model.queue.size() < plan_.cores * warmthOf(model);
    });
  }

  // ---- Connections ----

  // Takes an idle one or opens one: how long that takes.
  Micros connect(RouterModel& router, MemberId id) {
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
  void release(RouterModel& router, MemberId id, bool kept) {
    if (kept) {
      ++router.idle[id];
    } else if (router.standing[id] > 0) {
      --router.standing[id];
      --standing_;
    }
  }

  // ---- Members ----

  Position positionOf(const MemberModel& model) const {
    if (model.leads) return now_;
    return model.stoodAt != 0 ? model.stoodAt : now_ - kReplicaLag;
  }
  double warmthOf(const MemberModel& model) const {
    if (model.launched == 0) return 1;
    const double share =
        std::min(1.0, static_cast<double>(now_ - model.launched) / static_cast<double>(settings_.warmUp));
    return settings_.coldFrom + (1 - settings_.coldFrom) * share;
  }

  void attempt(std::size_t index, const Attempt& action) {
    RouterModel& router = routers_[index];
    const auto found = router.asked.find(action.request);
    if (found == router.asked.end()) return;
    Asked& asked = found->second;
    MemberModel& model = member(action.member);
    ++result_.memberAttempts[action.member - 1];
    auto work = std::make_shared<Work>();
    *work = {index, action.member, action.request, asked.attempts++, router.life, now_, false};
    asked.open[work->attempt] = work;
    if (!model.up) {
      at(now_ + 2 * kPath, [this, work, id = action.member] { ended(work, id, Outcome::ConnectFailed); });
      return;
    }
    const Micros wait = connect(router, action.member);
    at(asked.arrived + kDeadlines[asked.classIndex], [this, work, id = action.member] {
      if (drop(work, id)) ended(work, id, Outcome::TimedOut);
    });
    at(now_ + kPath + wait, [this, work, id = action.member] { reach(work, id); });
  }

  void reach(const std::shared_ptr<Work>& work, MemberId id) {
    if (work->dropped) return;
    MemberModel& model = member(id);
    if (!model.up) return lose(work, id, Outcome::Reset);
    if (warmthOf(model) < 1) {
      model.cold.push_back(now_);
      while (now_ - model.cold.front() > settings_.fallWindow) model.cold.pop_front();
      const double can = plan_.cores * warmthOf(model) * static_cast<double>(settings_.fallWindow) /
                         static_cast<double>(plan_.work);
      const auto got = static_cast<double>(model.cold.size());
      result_.coldPeak = std::max(result_.coldPeak, got / can);
      result_.coldLoad = std::max(result_.coldLoad, got / loadToFall(settings_.fallMultiple * can));
    }
    RouterModel& router = routers_[work->router];
    if (router.badFor.contains(id)) return lose(work, id, Outcome::Error);
    const auto asked = router.asked.find(work->request);
    const bool write = asked != router.asked.end() && kNeeds[asked->second.classIndex] == Consistency::Write;
    if (write && !model.leads) return lose(work, id, Outcome::Miss);
    if (model.queue.size() >= kQueue) return lose(work, id, Outcome::Full);
    model.queue.push_back(work);
    serve(id);
  }

  void lose(const std::shared_ptr<Work>& work, MemberId id, Outcome outcome) {
    work->dropped = true;
    release(routers_[work->router], id, outcome != Outcome::Reset);
    at(now_ + kPath, [this, work, id, outcome] { ended(work, id, outcome); });
  }

  void serve(MemberId id) {
    MemberModel& model = member(id);
    while (model.up && model.running < plan_.cores && !model.queue.empty()) {
      const auto work = model.queue.front();
      model.queue.pop_front();
      if (work->dropped) continue;
      ++model.running;
      const Position position = positionOf(model);
      const Micros takes = exponential(static_cast<double>(plan_.work) / warmthOf(model));
      at(now_ + takes, [this, work, id, position, life = model.life] {
        MemberModel& host = member(id);
        if (host.life != life) return;
        --host.running;
        if (!work->dropped) {
          work->dropped = true;
          release(routers_[work->router], id, true);
          at(now_ + kPath, [this, work, id, position] { ended(work, id, Outcome::Ok, position); });
        }
        serve(id);
      });
    }
  }

  // Nobody waits for it any more. False where it was over.
  bool drop(const std::shared_ptr<Work>& work, MemberId id) {
    if (work->dropped) return false;
    work->dropped = true;
    if (routers_[work->router].life == work->life) release(routers_[work->router], id, false);
    return true;
  }

  void cancel(std::size_t index, const Cancel& action) {
    const auto found = routers_[index].asked.find(action.request);
    if (found == routers_[index].asked.end()) return;
    const auto open = found->second.open.find(action.attempt);
    if (open == found->second.open.end()) return;
    const auto work = open->second;
    if (drop(work, work->member)) at(now_, [this, work] { ended(work, work->member, Outcome::Cancelled); });
  }

  void ended(const std::shared_ptr<Work>& work, MemberId id, Outcome outcome, Position position = 0) {
    RouterModel& router = routers_[work->router];
    const auto found = router.asked.find(work->request);
    if (router.life != work->life || found == router.asked.end()) return;
    Asked& asked = found->second;
    asked.open.erase(work->attempt);
    AttemptEnded event;
    event.request = work->request;
    event.attempt = work->attempt;
    event.member = id;
    event.outcome = outcome;
    event.elapsed = now_ - work->sentAt;
    event.mayBeFull = false;
    if (outcome == Outcome::Ok) {
      event.finished = true;
      answer(work->router, work->request);
      if (now_ - asked.arrived <= kAims[asked.classIndex]) ++window(asked.arrived).inTime;
      const Micros oldest = work->sentAt - settings_.classes[asked.classIndex].maxAge;
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

  void probe(std::size_t index, const Probe& action) {
    RouterModel& router = routers_[index];
    ++result_.probes;
    ++result_.routerProbes[index];
    ++result_.probesBy[static_cast<std::size_t>(action.reason)];
    MemberModel& model = member(action.member);
    const bool up = model.up;
    const Micros wait = up ? connect(router, action.member) : 0;
    at(now_ + 2 * kPath + wait, [this, index, id = action.member, up, life = router.life] {
      if (routers_[index].life != life) return;
      MemberModel& host = member(id);
      ProbeEnded event;
      event.member = id;
      event.ok = up && host.up;
      event.elapsed = 2 * kPath;
      if (event.ok) {
        event.report.position =
            std::min(positionOf(host), now_ - static_cast<Micros>(uniform() * kReportAge));
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
        for (MemberModel& model : members_) {
          if (model.leads && uniform() < what.share) fall(model, what.lasts);
        }
        return;
      case Happening::Kind::MembersReturn:
        for (MemberModel& model : members_) {
          if (model.up && uniform() < what.share) fall(model, what.lasts);
        }
        return;
      case Happening::Kind::RoutersRestart:
        for (std::size_t i = 0; i < routers_.size(); ++i) {
          if (uniform() < what.share) restart(i);
        }
        return;
      case Happening::Kind::ReplicasLag:
        for (MemberModel& model : members_) {
          if (model.leads || uniform() >= what.share) continue;
          model.lagging = true;
          model.stoodAt = now_;
          at(now_ + what.lasts, [this, id = model.id] {
            member(id).lagging = false;
            member(id).stoodAt = 0;
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
    }
  }

  void fall(MemberModel& model, Micros lasts) {
    model.up = false;
    ++model.life;
    model.running = 0;
    for (const auto& work : std::exchange(model.queue, {})) {
      if (!work->dropped) lose(work, model.id, Outcome::Reset);
    }
    for (RouterModel& router : routers_) {
      standing_ -= router.standing[model.id];
      router.standing[model.id] = router.idle[model.id] = 0;
    }
    announce(model, kListLag / 3);
    if (std::exchange(model.leads, false)) lead(model.group);
    model.stoodAt = now_;
    at(now_ + lasts, [this, id = model.id] {
      MemberModel& back = member(id);
      back.up = true;
      back.launched = now_;
      if (primaryOf(back.group) != nullptr) back.stoodAt = 0;
      announce(back, kListLag / 3);
    });
  }

  MemberModel* primaryOf(GroupId group) {
    for (MemberModel& model : members_) {
      if (model.group == group && model.leads) return &model;
    }
    return nullptr;
  }

  // A group without a primary stands still until the one with most of the log takes over.
  void lead(GroupId group) {
    for (MemberModel& model : members_) {
      if (model.group == group && model.stoodAt == 0)
        model.stoodAt = now_ - kReplicaLag - static_cast<Micros>(uniform() * kReplicaLag);
    }
    at(now_ + kElection, [this, group] {
      MemberModel* next = nullptr;
      for (MemberModel& model : members_) {
        if (model.group != group || !model.up) continue;
        if (next == nullptr || model.stoodAt > next->stoodAt) next = &model;
      }
      if (next == nullptr) return lead(group);
      next->leads = true;
      primarySince_[group] = now_;
      for (MemberModel& model : members_) {
        if (model.group == group && !model.lagging && model.up) model.stoodAt = 0;
      }
      announce(*next, kListLag);
    });
  }

  const Plan& plan_;
  std::mt19937_64 random_;
  Settings settings_;
  Micros now_ = kStart;
  bool arriving_ = true;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<MemberModel> members_;
  std::vector<RouterModel> routers_;
  std::vector<Micros> primarySince_;
  std::set<std::tuple<GroupId, std::size_t, Micros>> foundBy_;
  std::uint64_t found_ = 0;
  Micros foundSum_ = 0;
  std::uint64_t standing_ = 0;
  Result result_;
};

}  // namespace

double loadToFall(double allowed) { return allowed + 2 * std::sqrt(allowed) + 2; }

Settings settingsOf(const Plan& plan) {
  Settings out;
  for (std::uint32_t i = 0; i < kClasses; ++i) {
    ClassSettings entry;
    entry.consistency = kNeeds[i];
    entry.maxAge = i == kView ? 3 * kSecond : 0;
    entry.aim = kAims[i];
    entry.deadline = kDeadlines[i];
    entry.worth = 2;
    entry.lateShare = i == kSave ? 0.3 : 0;
    entry.effect = i == kSave ? Effect::Keyed : Effect::Safe;
    entry.scope = i == kSave ? KeyScope::Group : KeyScope::Everywhere;
    entry.window = 5 * kSecond;
    out.classes.push_back(entry);
  }
  out.drivers = plan.routers;
  out.tick = 5 * kMilli;
  out.tokens = TokenMode::Remembered;
  out.mustAsk = false;
  out.askWithin = 10 * kSecond;
  out.mayProbe = true;
  out.mayCancel = true;
  out.mayAdviseRetry = true;
  out.maxRetryAfter = 500 * kMilli;
  out.maxAttempts = 10;
  out.connectTimeout = 250 * kMilli;
  out.answerSlack = 20 * kMilli;
  out.coldFrom = 0.15;
  out.warmUp = 16 * kSecond;
  out.fallWindow = 2 * kSecond;
  out.fallMultiple = 2.5;
  return out;
}

Result play(const Plan& plan) { return World(plan).play(); }

}  // namespace heathflow::fleet
