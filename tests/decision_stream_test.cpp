// The same events lead to the same actions, byte for byte: recorded days of six deployments, and random
// streams that have every kind of event.
#include <gtest/gtest.h>

#include <array>
#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "decision_recording.h"
#include "overloaded.h"
#include "rig.h"

namespace heathflow::test {
namespace {

std::string recordingPath(const std::string& name) { return HEATHFLOW_SOURCE "/tests/recordings/" + name; }

std::string readFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

class Recording : public testing::TestWithParam<const char*> {};

TEST_P(Recording, LeadsToTheSameActions) {
  const std::string events = readFile(recordingPath(std::string(GetParam()) + ".events"));
  const std::string actions = readFile(recordingPath(std::string(GetParam()) + ".actions"));
  ASSERT_FALSE(events.empty());
  ASSERT_FALSE(actions.empty());
  EXPECT_TRUE(replay(events) == actions);
}

INSTANTIATE_TEST_SUITE_P(Deployments, Recording,
                         testing::Values("nairobi-jobs", "mombasa-memory", "kisumu-glossary", "fukuoka-beans",
                                         "amman-main", "kz-parking"));

TEST(DecisionRecorder, KeepsTheInstanceAndTheListsThatItNeeds) {
  const std::string forOne("\x06\x00\x01\x00\x00\x00", 6);
  const std::string forTwo("\x06\x00\x02\x00\x00\x00", 6);
  const std::string list("\x02\x00\x09\x00\x00\x00\x00\x00\x00\x00", 10);
  const std::string left("\x01\x00\x2a\x00\x00\x00", 6);
  DecisionRecorder recorder(1);
  const std::string early = list + forTwo + left;
  EXPECT_EQ(recorder.take({5, static_cast<std::uint32_t>(16 + early.size()), 3}, early), "");
  const std::string late = forTwo + left + forOne + left;
  EXPECT_EQ(recorder.take({6, static_cast<std::uint32_t>(16 + late.size()), 4}, late),
            frame(6, 3, list + forOne + left));
}

// Drives one router with random events of every kind, some of them answers to its actions.
class RandomWorld {
 public:
  RandomWorld(Settings settings, std::uint64_t seed)
      : random_(seed), classes_(settings.classes.size()), logic_(std::move(settings), seed, now_, actions_) {
    collect();
    changeMembers(MembersChanged::Scope::Full);
  }

  std::string run(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += static_cast<Micros>(below(12 * kMs));
      fireDueTimers();
      takeStep();
    }
    feed(Stopping{now_ + 100 * kMs});
    now_ += 200 * kMs;
    fireDueTimers();
    return summary();
  }

 private:
  struct Pending {
    std::uint32_t attempt;
    MemberId member;
  };

  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

  void feed(const Event& event) {
    logic_.handle(now_, event, actions_);
    collect();
  }

  void takeStep() {
    const std::uint64_t draw = below(1000);
    if (draw < 380) return submit();
    if (draw < 760) return endAttempt();
    if (draw < 880) return endProbe();
    if (draw < 900) return changeMembers(static_cast<MembersChanged::Scope>(below(3)));
    if (draw < 904) return feed(ListExpired{2 * kS, now_ - static_cast<Micros>(below(4 * kS))});
    if (draw < 906) return feed(ListExpired{});
    if (draw < 930) return feed(AttemptConnected{anyRequest(), static_cast<std::uint32_t>(below(3))});
    if (draw < 950) return feed(AttemptBound{anyRequest(), static_cast<std::uint32_t>(below(3))});
    if (draw < 965) return feed(AttemptStreaming{anyRequest(), 0});
    if (draw < 990) return feed(ClientLeft{anyRequest()});
    now_ += static_cast<Micros>(below(3 * kS));
  }

  RequestId anyRequest() { return static_cast<RequestId>(lastId_ - below(12)); }

  void submit() {
    Request request;
    request.id = ++lastId_;
    request.group = static_cast<GroupId>(1 + below(3));
    request.classIndex = static_cast<std::uint32_t>(below(classes_));
    request.session = below(8);
    if (below(3) == 0) request.sinceLastWrite = static_cast<Micros>(below(2 * kS));
    if (below(4) == 0) request.estimate = static_cast<Micros>(below(100 * kMs));
    request.repeat = below(10) == 0;
    request.deadline = now_ + static_cast<Micros>(below(3 * kS));
    feed(RequestArrived{request});
  }

  void endAttempt() {
    if (pending_.empty()) return;
    auto chosen = pending_.begin();
    std::advance(chosen, below(pending_.size()));
    const auto [request, attempt] = *chosen;
    pending_.erase(chosen);
    AttemptEnded event;
    event.request = request;
    event.attempt = attempt.attempt;
    event.member = attempt.member;
    event.outcome = below(10) < 6 ? Outcome::Ok : static_cast<Outcome>(below(12));
    event.elapsed = static_cast<Micros>(below(400 * kMs));
    event.finished = event.outcome == Outcome::Ok;
    event.undone = below(20) == 0;
    event.mayBeFull = below(2) == 0;
    if (below(2) == 0) event.role = attempt.member % 4 == 1 ? Role::Primary : Role::Replica;
    if (below(2) == 0) event.position = now_ - static_cast<Micros>(below(4 * kS));
    event.report = report(attempt.member);
    feed(event);
  }

  Report report(MemberId member) {
    Report out;
    if (below(2) == 0) out.position = now_ - static_cast<Micros>(below(4 * kS));
    if (below(2) == 0) out.role = member % 4 == 1 && below(8) != 0 ? Role::Primary : Role::Replica;
    return out;
  }

  void endProbe() {
    if (probes_.empty()) return;
    const std::size_t index = below(probes_.size());
    ProbeEnded event;
    event.member = probes_[index];
    probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(index));
    event.ok = below(8) != 0;
    event.elapsed = static_cast<Micros>(below(40 * kMs));
    if (event.ok) event.report = report(event.member);
    event.turnedAway = !event.ok && below(2) == 0;
    event.unwilling = event.turnedAway && below(2) == 0;
    event.stood = static_cast<Micros>(below(5 * kS));
    feed(event);
  }

  void changeMembers(MembersChanged::Scope scope) {
    MembersChanged event;
    event.scope = scope;
    for (MemberId id = 1; id <= 12 && scope != MembersChanged::Scope::Failed; ++id) {
      if (below(scope == MembersChanged::Scope::Full ? 12 : 3) == 0) continue;
      const auto state = static_cast<MemberState>(below(10) < 8 ? 1 : below(3));
      Member member = makeMember(id, id % 4 == 1, state, below(6) == 0 ? now_ - 5 * kS : 0);
      member.group = static_cast<GroupId>(1 + (id - 1) / 4);
      member.zone = static_cast<std::uint32_t>(id % 2);
      event.members.push_back(member);
    }
    feed(event);
  }

  void fireDueTimers() {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const std::uint64_t token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      feed(TimerFired{token});
    }
  }

  void collect() {
    for (const Action& action : actions_) {
      std::ostringstream line;
      line << now_ << ' ' << action.index();
      std::visit(Overloaded{
                     [&](const Attempt& a) {
                       line << ' ' << a.request << ' ' << a.member << ' ' << a.abandonAt << ' '
                            << a.asPrimary;
                       pending_.emplace(a.request, Pending{attempts_[a.request]++, a.member});
                     },
                     [&](const Cancel& a) { line << ' ' << a.request << ' ' << a.attempt; },
                     [&](const Refuse& a) {
                       line << ' ' << a.request << ' ' << a.retryAfter << ' ' << static_cast<int>(a.why);
                     },
                     [&](const Fail& a) { line << ' ' << a.request << ' ' << static_cast<int>(a.why); },
                     [&](const Probe& a) {
                       line << ' ' << a.member << ' ' << static_cast<int>(a.reason) << ' ' << a.onOldest;
                       probes_.push_back(a.member);
                     },
                     [&](const Disconnect& a) { line << ' ' << a.member; },
                     [&](const Subscribe&) {},
                     [&](const SetTimer& a) {
                       line << ' ' << a.token << ' ' << a.after;
                       timers_.emplace(now_ + a.after, a.token);
                     },
                 },
                 action);
      line << '\n';
      ++counts_.at(action.index());
      for (const char c : line.str()) hash_ = (hash_ ^ static_cast<unsigned char>(c)) * kFnvPrime;
    }
    actions_.clear();
  }

  std::string summary() const {
    std::ostringstream out;
    for (const std::size_t count : counts_) out << count << ' ';
    out << std::hex << hash_;
    return out.str();
  }

  static constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
  static constexpr std::uint64_t kFnvPrime = 0x100000001b3;

  std::mt19937_64 random_;
  std::size_t classes_;
  Micros now_ = kStart;
  std::vector<Action> actions_;
  Logic logic_;
  RequestId lastId_ = 100;
  std::multimap<RequestId, Pending> pending_;
  std::map<RequestId, std::uint32_t> attempts_;
  std::vector<MemberId> probes_;
  std::multimap<Micros, std::uint64_t> timers_;
  std::array<std::size_t, std::variant_size_v<Action>> counts_{};  // in the order of Action's alternatives
  std::uint64_t hash_ = kFnvOffset;
};

Settings variant(int number) {
  Settings settings = makeSettings();
  settings.guard = static_cast<Guard>(number % 3);
  settings.tokens = static_cast<TokenMode>(number / 2 % 3);
  settings.mustAsk = number % 2 == 1;
  settings.goneIsAdvice = number % 4 == 3;
  settings.parallelTries = number % 5 == 1;
  settings.mayProbe = number != 5;
  settings.probesTellRole = number % 7 != 6;
  settings.probesTellPosition = number % 7 != 4;
  settings.answersTellPosition = number % 2 == 0;
  settings.catchUpWait = number % 3 == 2 ? 30 * kMs : 0;
  settings.crossingCosts = number % 6 == 2;
  settings.drivers = number % 4 == 1 ? 60 : 2;
  settings.usual = number == 7 ? 20 * kMs : 0;
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    settings.classes[i].scope = static_cast<KeyScope>((static_cast<std::size_t>(number) + i) % 4);
  return settings;
}

TEST(RandomStream, LeadsToTheSameActions) {
  std::ifstream in(recordingPath("random-streams.txt"));
  std::string expected;
  for (int number = 0; number < 24; ++number) {
    ASSERT_TRUE(std::getline(in, expected)) << "stream " << number;
    RandomWorld world(variant(number), static_cast<std::uint64_t>(1000 + number));
    const std::string found = world.run(6000);
    EXPECT_EQ(found, expected) << "stream " << number;
  }
}

}  // namespace
}  // namespace heathflow::test
