// Tests the rules of the policy under random events, and that equal seeds give equal actions.
#include <gtest/gtest.h>

#include <algorithm>
#include <compare>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

// The history of one request.
struct RequestRecord {
  int answers = 0;
  int attempts = 0;
  bool ended = false;
  bool mayHaveRun = false;
  Micros firstMayHaveRun = 0;
  int pending = 0;
  std::uint32_t classIndex = 0;
  Micros deadline = 0;
};

// Generates random requests, outcomes, lists and health checks, and checks each action against the rules.
class RandomEvents {
 public:
  RandomEvents(PolicySettings settings, std::uint64_t seed)
      : settings_(std::move(settings)), random_(seed), harness_(settings_, seed) {}

  void run() {
    harness_.listUsualGroup();
    for (int step = 0; step < 3000; ++step) {
      harness_.now += draw(15 * kMs);
      takeStep();
      processDueEvents();
      if (testing::Test::HasFatalFailure()) return;
    }
    for (int i = 0; i < 2000; ++i) {
      harness_.now += 5 * kMs;
      processDueEvents();
    }
    for (const auto& [id, record] : requests_) ASSERT_EQ(record.answers, 1) << "request " << id;
  }

  const std::vector<Action>& actions() const { return checked_; }

 private:
  struct Attempt {
    RequestId request;
    std::uint32_t index;
  };
  struct Timer {
    Micros due;
    std::uint64_t token;
    auto operator<=>(const Timer&) const = default;
  };

  Micros draw(std::uint64_t bound) { return static_cast<Micros>(random_() % bound); }

  void takeStep() {
    switch (draw(10)) {
      case 0:
        return changeEndpoint();
      case 1:
        return harness_.healthCheckOk(static_cast<EndpointId>(1 + draw(3)),
                                      draw(3) == 0 ? Role::Primary : Role::Replica, harness_.now - draw(kS));
      case 2:
        return harness_.healthCheckFailed(static_cast<EndpointId>(1 + draw(3)));
      case 3:
      case 4:
        return endAnyAttempt();
      default:
        return sendRequest();
    }
  }

  void changeEndpoint() {
    const auto id = static_cast<EndpointId>(1 + draw(4));
    const auto status = static_cast<EndpointStatus>(draw(3));
    if (status == EndpointStatus::Ready) {
      unavailable_.erase(id);
    } else {
      unavailable_.insert(id);
    }
    harness_.updateEndpoints({makeEndpoint(id, draw(2) == 0, status, draw(3) == 0 ? harness_.now - kS : 0)},
                             EndpointsChanged::Scope::Delta);
  }

  void endAnyAttempt() {
    if (inFlight_.empty()) return;
    const auto which = static_cast<std::size_t>(draw(inFlight_.size()));
    endAttempt(which, static_cast<AttemptOutcome>(draw(9) == 7 ? 0 : draw(7)));
  }

  void sendRequest() {
    RequestRecord record;
    record.classIndex = static_cast<std::uint32_t>(draw(6));
    const Micros timeUntilDeadline = 200 * kMs + draw(3 * kS);
    record.deadline = harness_.now + timeUntilDeadline;
    requests_[harness_.lastId + 1] = record;
    harness_.sendRequest(record.classIndex, timeUntilDeadline,
                         draw(2) == 0 ? std::optional<Micros>(draw(kS)) : std::nullopt,
                         static_cast<std::uint64_t>(draw(5)));
  }

  void endAttempt(std::size_t which, AttemptOutcome outcome) {
    const Attempt attempt = inFlight_[which];
    inFlight_.erase(inFlight_.begin() + static_cast<std::ptrdiff_t>(which));
    RequestRecord& record = requests_[attempt.request];
    const bool mayHaveRun = outcome != AttemptOutcome::Overloaded &&
                            outcome != AttemptOutcome::ConnectFailed &&
                            outcome != AttemptOutcome::PreconditionFailed;
    const Micros sentAt = sentAt_[attempt.request][attempt.index];
    if (mayHaveRun) {
      record.firstMayHaveRun = record.mayHaveRun ? std::min(record.firstMayHaveRun, sentAt) : sentAt;
      record.mayHaveRun = true;
    }
    --record.pending;
    if (outcome == AttemptOutcome::Ok && !record.ended) end(record);
    AttemptEnded event;
    event.request = attempt.request;
    event.attempt = attempt.index;
    event.outcome = outcome;
    event.elapsed = harness_.now - sentAt;
    event.requestFinished = record.ended;
    if (draw(2) == 0) event.role = draw(2) == 0 ? Role::Primary : Role::Replica;
    if (draw(2) == 0) event.position = LogPosition{harness_.now - draw(4 * kS)};
    harness_.handle(event);
  }

  // Times out attempts whose requests are past their deadline, and fires the timers that are due.
  void processDueEvents() {
    checkActions();
    for (std::size_t i = inFlight_.size(); i-- > 0;) {
      if (requests_[inFlight_[i].request].deadline <= harness_.now) endAttempt(i, AttemptOutcome::TimedOut);
    }
    checkActions();
    std::sort(timers_.begin(), timers_.end());
    while (!timers_.empty() && timers_.front().due <= harness_.now) {
      const std::uint64_t token = timers_.front().token;
      timers_.erase(timers_.begin());
      harness_.handle(TimerFired{token});
      checkActions();
      std::sort(timers_.begin(), timers_.end());
    }
  }

  void checkActions() {
    for (; checkedCount_ < harness_.actions.size(); ++checkedCount_) {
      const Action& action = harness_.actions[checkedCount_];
      checked_.push_back(action);
      if (const auto* attempt = std::get_if<SendAttempt>(&action)) {
        checkAttempt(*attempt);
      } else if (const auto* rejection = std::get_if<RejectRequest>(&action)) {
        checkRejection(*rejection);
      } else if (const auto* failure = std::get_if<FailRequest>(&action)) {
        checkEnd(requests_[failure->request]);
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timers_.push_back({harness_.now + timer->after, timer->token});
      }
      if (testing::Test::HasFatalFailure()) return;
    }
  }

  void checkAttempt(const SendAttempt& attempt) {
    RequestRecord& record = requests_[attempt.request];
    const RequestClassSettings& requestClass = settings_.classes[record.classIndex];
    ASSERT_FALSE(record.ended) << "sent after the request ended";
    ASSERT_FALSE(unavailable_.contains(attempt.endpoint)) << "sent to a draining or removed endpoint";
    ASSERT_LE(static_cast<unsigned>(++record.attempts), settings_.maxAttempts);
    ASSERT_TRUE(settings_.hedgingAllowed || record.pending == 0);
    ASSERT_TRUE(requestClass.idempotency != Idempotency::None || (!record.mayHaveRun && record.pending == 0));
    if (requestClass.idempotency == Idempotency::WithKey && record.mayHaveRun) {
      ASSERT_LT(harness_.now, record.firstMayHaveRun + requestClass.keyWindow);
    }
    ++record.pending;
    sentAt_[attempt.request].push_back(harness_.now);
    inFlight_.push_back({attempt.request, static_cast<std::uint32_t>(record.attempts - 1)});
  }

  void checkRejection(const RejectRequest& rejection) {
    RequestRecord& record = requests_[rejection.request];
    ASSERT_FALSE(record.ended);
    ASSERT_TRUE(settings_.classes[record.classIndex].idempotency == Idempotency::Idempotent ||
                (!record.mayHaveRun && record.pending == 0));
    checkEnd(record);
  }

  void checkEnd(RequestRecord& record) {
    ASSERT_FALSE(record.ended);
    ASSERT_LE(harness_.now, record.deadline + settings_.responseSlack);
    end(record);
  }

  static void end(RequestRecord& record) {
    record.ended = true;
    ++record.answers;
  }

  PolicySettings settings_;
  std::mt19937_64 random_;
  PolicyHarness harness_;
  std::map<RequestId, RequestRecord> requests_;
  std::vector<Attempt> inFlight_;
  std::map<RequestId, std::vector<Micros>> sentAt_;
  std::set<EndpointId> unavailable_;
  std::vector<Timer> timers_;
  std::vector<Action> checked_;
  std::size_t checkedCount_ = 0;
};

class RulesUnderRandomEvents : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RulesUnderRandomEvents, AreKept) {
  PolicySettings settings = makeSettings();
  const std::uint64_t seed = GetParam();
  settings.staleReads = static_cast<StaleReadBehavior>(seed % 3);
  settings.sessionTokens = static_cast<SessionTokenSource>(seed / 2 % 3);
  settings.healthChecksAllowed = seed % 4 != 3;
  settings.discoveryIsPolled = seed % 2 == 0;
  settings.hedgingAllowed = seed % 5 == 0;
  settings.classes[kKeyedWrite].keyWindow = kS;  // shorter than many requests take
  RandomEvents(settings, seed).run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RulesUnderRandomEvents, testing::Range<std::uint64_t>(1, 25));

TEST(Determinism, EqualSeedsAndEventsGiveEqualActions) {
  RandomEvents firstRun(makeSettings(), 5);
  RandomEvents secondRun(makeSettings(), 5);
  firstRun.run();
  secondRun.run();
  const std::vector<Action>& first = firstRun.actions();
  const std::vector<Action>& second = secondRun.actions();
  ASSERT_EQ(first.size(), second.size());
  ASSERT_GT(first.size(), 1000U);
  for (std::size_t i = 0; i < first.size(); ++i) {
    ASSERT_EQ(first[i].index(), second[i].index());
    if (const auto* a = std::get_if<SendAttempt>(&first[i])) {
      const auto& b = std::get<SendAttempt>(second[i]);
      ASSERT_TRUE(a->request == b.request && a->endpoint == b.endpoint && a->abandonAt == b.abandonAt);
    }
  }
}

}  // namespace
}  // namespace heathflow::test
