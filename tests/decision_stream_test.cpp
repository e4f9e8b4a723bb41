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

#include "common/overloaded.h"
#include "decision_recording.h"
#include "policy_harness.h"

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
  RandomWorld(PolicySettings settings, std::uint64_t seed)
      : random_(seed), classes_(settings.classes.size()), policy_(std::move(settings), seed, now_, actions_) {
    collect();
    changeEndpoints(EndpointsChanged::Scope::Full);
  }

  std::string run(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += static_cast<Micros>(below(12 * kMs));
      fireDueTimers();
      takeStep();
    }
    feed(ShutdownStarted{now_ + 100 * kMs});
    now_ += 200 * kMs;
    fireDueTimers();
    return summary();
  }

 private:
  struct Pending {
    std::uint32_t attempt;
    EndpointId endpoint;
  };

  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

  void feed(const Event& event) {
    policy_.handle(now_, event, actions_);
    collect();
  }

  void takeStep() {
    const std::uint64_t draw = below(1000);
    if (draw < 380) return submit();
    if (draw < 760) return endAttempt();
    if (draw < 880) return endHealthCheck();
    if (draw < 900) return changeEndpoints(static_cast<EndpointsChanged::Scope>(below(3)));
    if (draw < 904) return feed(EndpointListExpired{2 * kS, now_ - static_cast<Micros>(below(4 * kS))});
    if (draw < 906) return feed(EndpointListExpired{});
    if (draw < 930) return feed(AttemptConnected{anyRequest(), static_cast<std::uint32_t>(below(3))});
    if (draw < 950) return feed(ResponsePartForwarded{anyRequest(), static_cast<std::uint32_t>(below(3))});
    if (draw < 965) return feed(ResponseStreaming{anyRequest(), 0});
    if (draw < 990) return feed(ClientDisconnected{anyRequest()});
    now_ += static_cast<Micros>(below(3 * kS));
  }

  RequestId anyRequest() { return static_cast<RequestId>(lastId_ - below(12)); }

  // The session token of a write this long ago, as the simulator's adapter rounds it.
  LogPosition tokenOfAge(Micros age) const { return LogPosition{now_ - std::max<Micros>(0, age - kMs)}; }

  void submit() {
    Request request;
    request.id = ++lastId_;
    request.group = static_cast<GroupId>(1 + below(3));
    request.classIndex = static_cast<std::uint32_t>(below(classes_));
    request.session = below(8);
    if (below(3) == 0) request.sessionToken = tokenOfAge(static_cast<Micros>(below(2 * kS)));
    if (below(4) == 0) request.estimatedWork = static_cast<Micros>(below(100 * kMs));
    request.isClientRetry = below(10) == 0;
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
    event.endpoint = attempt.endpoint;
    event.outcome = below(10) < 6 ? AttemptOutcome::Ok : static_cast<AttemptOutcome>(below(12));
    event.elapsed = static_cast<Micros>(below(400 * kMs));
    event.requestFinished = event.outcome == AttemptOutcome::Ok;
    event.rolledBack = below(20) == 0;
    event.mayLackConnections = below(2) == 0;
    if (below(2) == 0) event.role = attempt.endpoint % 4 == 1 ? Role::Primary : Role::Replica;
    if (below(2) == 0) event.position = LogPosition{now_ - static_cast<Micros>(below(4 * kS))};
    event.report = report(attempt.endpoint);
    feed(event);
  }

  LoadReport report(EndpointId endpoint) {
    LoadReport out;
    if (below(2) == 0) out.position = LogPosition{now_ - static_cast<Micros>(below(4 * kS))};
    if (below(2) == 0) out.role = endpoint % 4 == 1 && below(8) != 0 ? Role::Primary : Role::Replica;
    return out;
  }

  void endHealthCheck() {
    if (healthChecks_.empty()) return;
    const std::size_t index = below(healthChecks_.size());
    HealthCheckEnded event;
    event.endpoint = healthChecks_[index];
    healthChecks_.erase(healthChecks_.begin() + static_cast<std::ptrdiff_t>(index));
    event.ok = below(8) != 0;
    event.elapsed = static_cast<Micros>(below(40 * kMs));
    if (event.ok) event.report = report(event.endpoint);
    event.rejected = !event.ok && below(2) == 0;
    event.refusesNewWork = event.rejected && below(2) == 0;
    event.connectionAge = static_cast<Micros>(below(5 * kS));
    feed(event);
  }

  void changeEndpoints(EndpointsChanged::Scope scope) {
    EndpointsChanged event;
    event.scope = scope;
    for (EndpointId id = 1; id <= 12 && scope != EndpointsChanged::Scope::Failed; ++id) {
      if (below(scope == EndpointsChanged::Scope::Full ? 12 : 3) == 0) continue;
      const auto state = static_cast<EndpointStatus>(below(10) < 8 ? 1 : below(3));
      Endpoint endpoint = makeEndpoint(id, id % 4 == 1, state, below(6) == 0 ? now_ - 5 * kS : 0);
      endpoint.group = static_cast<GroupId>(1 + (id - 1) / 4);
      endpoint.zone = static_cast<std::uint32_t>(id % 2);
      event.endpoints.push_back(endpoint);
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
      std::visit(
          Overloaded{
              [&](const SendAttempt& a) {
                line << ' ' << a.request << ' ' << a.endpoint << ' ' << a.abandonAt << ' ' << a.asPrimary;
                pending_.emplace(a.request, Pending{attempts_[a.request]++, a.endpoint});
              },
              [&](const CancelAttempt& a) { line << ' ' << a.request << ' ' << a.attempt; },
              [&](const RejectRequest& a) {
                line << ' ' << a.request << ' ' << a.retryAfter << ' ' << static_cast<int>(a.reason);
              },
              [&](const FailRequest& a) { line << ' ' << a.request << ' ' << static_cast<int>(a.reason); },
              [&](const StartHealthCheck& a) {
                line << ' ' << a.endpoint << ' ' << static_cast<int>(a.reason) << ' ' << a.onOldestConnection;
                healthChecks_.push_back(a.endpoint);
              },
              [&](const CloseIdleConnections& a) { line << ' ' << a.endpoint; },
              [&](const SubscribeToEndpoints&) {},
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
  RoutingPolicy policy_;
  RequestId lastId_ = 100;
  std::multimap<RequestId, Pending> pending_;
  std::map<RequestId, std::uint32_t> attempts_;
  std::vector<EndpointId> healthChecks_;
  std::multimap<Micros, std::uint64_t> timers_;
  std::array<std::size_t, std::variant_size_v<Action>> counts_{};  // in the order of Action's alternatives
  std::uint64_t hash_ = kFnvOffset;
};

PolicySettings variant(int number) {
  PolicySettings settings = makeSettings();
  settings.staleReads = static_cast<StaleReadBehavior>(number % 3);
  settings.sessionTokens = static_cast<SessionTokenSource>(number / 2 % 3);
  settings.discoveryIsPolled = number % 2 == 1;
  settings.removalIsAdvisory = number % 4 == 3;
  settings.hedgingAllowed = number % 5 == 1;
  settings.healthChecksAllowed = number != 5;
  settings.healthChecksReportRole = number % 7 != 6;
  settings.healthChecksReportPosition = number % 7 != 4;
  settings.responsesReportPosition = number % 2 == 0;
  settings.catchUpTimeout = number % 3 == 2 ? 30 * kMs : 0;
  settings.crossZoneTrafficHasCost = number % 6 == 2;
  settings.gatewayCount = number % 4 == 1 ? 60 : 2;
  settings.initialLatency = number == 7 ? 20 * kMs : 0;
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    settings.classes[i].keyScope = static_cast<KeyScope>((static_cast<std::size_t>(number) + i) % 4);
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
