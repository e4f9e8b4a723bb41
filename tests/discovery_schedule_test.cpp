// The times at which a gateway calls the list service, and the duration of its watches.
#include "discovery/discovery_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "discovery/crash_loop_delay.h"

namespace heathflow::discovery {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

DiscoveryScheduleSettings settingsOf(unsigned number, unsigned gateways, std::optional<Micros> cost = {}) {
  DiscoveryScheduleSettings out;
  out.gatewayName = "n" + std::to_string(number);
  out.gatewayCount = gateways;
  out.maxPollInterval = 10 * kS;
  out.callCost = cost;
  out.seed = number + 1;
  return out;
}

// Returns the highest number of times within any span of the given length.
std::size_t mostWithin(std::vector<Micros> times, Micros span) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t i = 0, first = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= span) ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

TEST(FirstCall, OfASingleGatewayIsNotDelayed) {
  for (const auto cost : {std::optional<Micros>(), std::optional<Micros>(20 * kMs)}) {
    EXPECT_LE(DiscoverySchedule(settingsOf(0, 1, cost), kS).firstCallAt(), kS + 20 * kMs);
  }
}

TEST(FirstCall, OfHundredsIsSpreadOverTheServiceTimeForAll) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 300; ++i)
    times.push_back(DiscoverySchedule(settingsOf(i, 300, 8 * kMs), 0).firstCallAt());
  EXPECT_GT(*std::max_element(times.begin(), times.end()), 1500 * kMs);
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 2400 * kMs);
  // The service answers one call at a time, in 8 ms each: none waits for a second, and the last is answered
  // in time.
  std::sort(times.begin(), times.end());
  Micros free = 0;
  Micros longest = 0;
  for (const Micros at : times) {
    longest = std::max(longest, free - at);
    free = std::max(free, at) + 8 * kMs;
  }
  EXPECT_LT(longest, kS);
  EXPECT_LE(free, 2700 * kMs);
}

// Two timeouts and an answer must fit into the notification timeout of 6 s.
TEST(FirstCall, LeavesTimeForTwoTimeoutsAndAnAnswerHoweverSlowTheService) {
  for (unsigned i = 0; i < 100; ++i) {
    DiscoverySchedule schedule(settingsOf(i, 10'000, kS), 0);
    Micros now = schedule.firstCallAt();
    EXPECT_LE(now, 2400 * kMs);
    for (int silent = 0; silent < 2; ++silent)
      now = schedule.nextCallAfterFailure(now + kCallTimeout, CallFailure::TimedOut);
    EXPECT_LE(now, kNotificationTimeout - 100 * kMs);
  }
}

TEST(FirstCall, StaysWithinAShorterPollInterval) {
  for (unsigned i = 0; i < 100; ++i) {
    auto settings = settingsOf(i, 10'000, kS);
    settings.maxPollInterval = 2 * kS;
    EXPECT_LE(DiscoverySchedule(settings, 0).firstCallAt(), 800 * kMs);
  }
}

TEST(FirstCall, HasTheSameDelayAtEachStartAndAnotherAtEachGateway) {
  auto again = settingsOf(7, 300, 20 * kMs);
  again.seed = 99;
  EXPECT_EQ(DiscoverySchedule(settingsOf(7, 300, 20 * kMs), kS).firstCallAt(),
            DiscoverySchedule(again, kS).firstCallAt());
  EXPECT_NE(DiscoverySchedule(settingsOf(7, 300), kS).firstCallAt(),
            DiscoverySchedule(settingsOf(8, 300), kS).firstCallAt());
}

TEST(FirstCall, IsDelayedAfterEarlyCrashes) {
  auto settings = settingsOf(0, 1);
  settings.startDelay = crashLoopDelay(4, settings.maxPollInterval);
  EXPECT_EQ(DiscoverySchedule(settings, kS).firstCallAt(), kS + settings.startDelay);
}

// A second rejection and an answer must still fit into the notification timeout.
TEST(BackoffAfterFailure, SpreadsRejectedCallsOverAQuarterOfTheTimeout) {
  std::vector<Micros> first, second;
  for (unsigned i = 0; i < 300; ++i) {
    DiscoverySchedule schedule(settingsOf(i, 300), 0);
    first.push_back(schedule.nextCallAfterFailure(0, CallFailure::Rejected));
    second.push_back(schedule.nextCallAfterFailure(0, CallFailure::Rejected));
  }
  for (const auto& times : {first, second}) {
    EXPECT_GT(*std::max_element(times.begin(), times.end()), 1400 * kMs);
    EXPECT_LE(*std::max_element(times.begin(), times.end()), 1500 * kMs);
    EXPECT_GE(*std::min_element(times.begin(), times.end()), 250 * kMs);
    // Delays below the minimum of 250 ms are raised to it, so that those calls are made together.
    EXPECT_LE(mostWithin(times, 100 * kMs), 90U);
  }
}

// The delay is at most the time that the service needs for the calls of all gateways.
TEST(BackoffAfterFailure, OfASmallFleetIsShortAfterARejection) {
  for (unsigned i = 0; i < 10; ++i) {
    DiscoverySchedule schedule(settingsOf(i, 10), 0);
    EXPECT_LE(schedule.nextCallAfterFailure(0, CallFailure::Rejected), 250 * kMs);
  }
}

TEST(BackoffAfterFailure, KeepsRetryAfterAndSpreadsTheCallsBehindIt) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 300; ++i) {
    DiscoverySchedule schedule(settingsOf(i, 300), 0);
    times.push_back(schedule.nextCallAfterFailure(0, CallFailure::Rejected, kS));
  }
  EXPECT_GE(*std::min_element(times.begin(), times.end()), kS);
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 1500 * kMs);
  EXPECT_LE(mostWithin(times, 100 * kMs), 90U);
}

// The notification timeout applies whatever delay the service requests.
TEST(BackoffAfterFailure, CutsARetryAfterThatIsBeyondTheTimeout) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 100; ++i) {
    DiscoverySchedule schedule(settingsOf(i, 300), 0);
    times.push_back(schedule.nextCallAfterFailure(0, CallFailure::Rejected, 3600 * kS));
  }
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 1500 * kMs);
  EXPECT_LE(mostWithin(times, 50 * kMs), 35U) << "the calls are spread";
}

// Guards against gateways that keep calling faster than the service can answer, so that none gets a list.
// With 300 gateways there are at most 25 calls in 100 ms; spread over a quarter of the timeout, there were up
// to 90.
TEST(BackoffAfterFailure, SpreadsRepeatedRejectionsOverTheWholeTimeout) {
  std::vector<Micros> third, fourth;
  for (unsigned i = 0; i < 300; ++i) {
    DiscoverySchedule schedule(settingsOf(i, 300), 0);
    for (int before = 0; before < 2; ++before) schedule.nextCallAfterFailure(0, CallFailure::Rejected);
    third.push_back(schedule.nextCallAfterFailure(0, CallFailure::Rejected));
    fourth.push_back(schedule.nextCallAfterFailure(0, CallFailure::Rejected));
    EXPECT_LE(schedule.nextCallAfterFailure(0, CallFailure::Rejected), kNotificationTimeout);
    schedule.watchSucceeded();
    EXPECT_LE(schedule.nextCallAfterFailure(0, CallFailure::Rejected), 1500 * kMs)
        << "a list resets the backoff";
  }
  EXPECT_GT(*std::max_element(third.begin(), third.end()), 2800 * kMs);
  EXPECT_LE(*std::max_element(third.begin(), third.end()), 3 * kS);
  EXPECT_GT(*std::max_element(fourth.begin(), fourth.end()), 5800 * kMs);
  EXPECT_LE(*std::max_element(fourth.begin(), fourth.end()), kNotificationTimeout);
  EXPECT_LE(mostWithin(fourth, 100 * kMs), 25U);
}

// After any two failures in a row, and any number of earlier failures other than rejections, the third call
// is made in time for its answer. The test above covers further rejections.
TEST(BackoffAfterFailure, LeavesTimeForAnAnswerAfterAnyTwoFailures) {
  using Kind = CallFailure;
  const std::vector<Kind> kinds = {Kind::Rejected, Kind::ConnectionReset, Kind::TimedOut, Kind::Unreachable,
                                   Kind::Malformed};
  for (const Kind one : kinds) {
    for (const Kind two : kinds) {
      for (unsigned i = 0; i < 50; ++i) {
        DiscoverySchedule schedule(settingsOf(i, 350, 20 * kMs), 0);
        schedule.watchSucceeded();
        for (int before = 0; before < 8 && one != Kind::Rejected; ++before)
          schedule.nextCallAfterFailure(0, one);
        const auto duration = [](Kind kind) { return kind == Kind::TimedOut ? kCallTimeout : kS; };
        const Micros next = schedule.nextCallAfterFailure(duration(one), one, 10 * kS);
        const Micros last = schedule.nextCallAfterFailure(next + duration(two), two, 10 * kS);
        EXPECT_LE(last, kNotificationTimeout - kS) << static_cast<int>(one) << ' ' << static_cast<int>(two);
      }
    }
  }
}

TEST(BackoffAfterFailure, GrowsWithBrokenCallsWithinTheTimeout) {
  DiscoverySchedule schedule(settingsOf(0, 1), 0);
  EXPECT_LE(schedule.nextCallAfterFailure(0, CallFailure::ConnectionReset), 500 * kMs);
  for (int i = 0; i < 20; ++i) {
    const Micros next = schedule.nextCallAfterFailure(0, CallFailure::ConnectionReset);
    EXPECT_GE(next, 250 * kMs);
    EXPECT_LE(next, 1500 * kMs);
  }
  schedule.watchSucceeded();
  EXPECT_LE(schedule.nextCallAfterFailure(0, CallFailure::ConnectionReset), 500 * kMs);
}

// Hundreds of watches that time out together are renewed soon, because the changes that they miss count
// already, but not all at once.
TEST(BackoffAfterFailure, IsShortButSpreadAfterATimeout) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 300; ++i) {
    DiscoverySchedule schedule(settingsOf(i, 300), 0);
    schedule.watchSucceeded();
    times.push_back(schedule.nextCallAfterFailure(0, CallFailure::TimedOut));
    // So is the delay after a second timeout in a row.
    EXPECT_LE(schedule.nextCallAfterFailure(0, CallFailure::TimedOut), 250 * kMs);
  }
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 250 * kMs);
  EXPECT_LE(mostWithin(times, 25 * kMs), 60U);
}

TEST(BackoffAfterFailure, OfADedicatedServiceStaysShort) {
  auto settings = settingsOf(0, 1);
  settings.dedicatedService = true;
  DiscoverySchedule schedule(settings, 0);
  for (const CallFailure how : {CallFailure::ConnectionReset, CallFailure::TimedOut, CallFailure::Unreachable,
                                CallFailure::Malformed}) {
    for (int i = 0; i < 5; ++i) EXPECT_LE(schedule.nextCallAfterFailure(0, how), 250 * kMs);
    schedule.watchSucceeded();
  }
}

TEST(BackoffAfterFailure, SpreadsHundredsAfterAnOutageWithinTheTimeout) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 300; ++i) {
    DiscoverySchedule schedule(settingsOf(i, 300, 20 * kMs), 0);
    Micros now = schedule.firstCallAt();
    while (now < 60 * kS) now = schedule.nextCallAfterFailure(now, CallFailure::Unreachable);
    times.push_back(now);
  }
  EXPECT_GT(*std::max_element(times.begin(), times.end()), 61 * kS);
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 61500 * kMs);
  EXPECT_LE(mostWithin(times, 100 * kMs), 45U);
}

TEST(WatchDuration, LimitsTheRenewalsOfAllGateways) {
  // A fast service and few gateways.
  DiscoverySchedule few(settingsOf(0, 10), 0);
  few.callSucceeded(4 * kMs);
  EXPECT_EQ(few.watchDuration(), 2500 * kMs);
  // 300 gateways at 8 ms a call: renewals every 2.4 s would take all of the service's time.
  DiscoverySchedule many(settingsOf(0, 300), 0);
  many.callSucceeded(8 * kMs);
  EXPECT_EQ(many.watchDuration(), 9600 * kMs);
  // At most the poll interval.
  DiscoverySchedule slow(settingsOf(0, 5'000), 0);
  slow.callSucceeded(50 * kMs);
  EXPECT_EQ(slow.watchDuration(), 10 * kS);
  // A dedicated service.
  auto own = settingsOf(0, 1);
  own.dedicatedService = true;
  EXPECT_EQ(DiscoverySchedule(own, 0).watchDuration(), 2500 * kMs);
}

TEST(ServiceCallCost, IsTheFastestAnswerAndGrowsByStepsOnly) {
  DiscoverySchedule fresh(settingsOf(0, 300), 0);
  EXPECT_FALSE(fresh.callCost());
  fresh.callSucceeded(900 * kMs);
  fresh.callSucceeded(21 * kMs);
  fresh.watchSucceeded();
  EXPECT_EQ(fresh.callCost(), 21 * kMs);
  // All gateways started at once, and their calls waited in the service's queue.
  DiscoverySchedule crowded(settingsOf(0, 300, 20 * kMs), 0);
  EXPECT_EQ(crowded.callCost(), 20 * kMs);
  crowded.callSucceeded(700 * kMs);
  EXPECT_EQ(crowded.callCost(), 40 * kMs);
  DiscoverySchedule faster(settingsOf(0, 300, 20 * kMs), 0);
  faster.callSucceeded(4 * kMs);
  EXPECT_EQ(faster.callCost(), 4 * kMs);
}

TEST(MovedService, IsNotCalledByAllAtOnce) {
  std::vector<Micros> times;
  for (unsigned i = 0; i < 300; ++i)
    times.push_back(DiscoverySchedule(settingsOf(i, 300), 0).nextCallAfterMove(kS));
  EXPECT_LE(*std::max_element(times.begin(), times.end()), 2 * kS);
  EXPECT_LE(mostWithin(times, 100 * kMs), 75U);
}

}  // namespace
}  // namespace heathflow::discovery
