// Starts of endpoints, as lists tell them and as this process has seen them.
#include "wallclock/launch_times.h"

#include <gtest/gtest.h>

#include "wallclock/positions.h"

namespace heathflow::wallclock {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kHour = 3600 * kSecond;
constexpr Micros kStart = 1'000'000 * kSecond;

// Takes in a list that names one endpoint.
Micros told(LaunchTimes& times, Micros now, Micros launched, bool confirmed = true) {
  times.beginList(now, confirmed);
  return times.launchedAt("m", launched);
}

TEST(LaunchTimes, AreTakenAsToldWhereClocksAgree) {
  LaunchTimes times;
  EXPECT_EQ(told(times, kStart, 0), 0);
  EXPECT_EQ(told(times, kStart + 20 * kSecond, kStart + 19 * kSecond), kStart + 19 * kSecond);
  EXPECT_EQ(told(times, kStart + 30 * kSecond, kStart + 19 * kSecond), kStart + 19 * kSecond);
}

// The operators' case: a wall clock is set by an hour, and the endpoint is back cold.
TEST(LaunchTimes, OfAnEndpointThatCameBackAreBoundedByWhatWasSeen) {
  for (const Micros step : {-kHour, -10 * kSecond, kSecond, 10 * kSecond, kHour}) {
    LaunchTimes times;
    told(times, kStart, kStart - kHour);
    told(times, kStart + 50 * kSecond, kStart - kHour);
    const Micros restarted = kStart + 52 * kSecond;
    const Micros now = kStart + 53 * kSecond;
    const Micros launched = told(times, now, restarted + step);
    EXPECT_GE(launched, kStart + 50 * kSecond - kLateAtMost) << step;
    EXPECT_LE(launched, now) << step;
    EXPECT_EQ(told(times, now + 5 * kSecond, restarted + step), launched) << "and it grows warm from there";
  }
}

TEST(LaunchTimes, OfOneThatJoinedAreNoOlderThanTheListWithoutIt) {
  LaunchTimes times;
  times.beginList(kStart, true);
  const Micros now = kStart + 10 * kSecond;
  EXPECT_EQ(told(times, now, now - kHour), kStart);
  LaunchTimes first;
  EXPECT_EQ(told(first, now, now - kHour), now - kHour) << "the first list names those that serve";
  LaunchTimes old;
  old.beginList(kStart, false);
  EXPECT_EQ(told(old, now, now - kHour), now - kHour)
      << "a list of an earlier life is no word on the present";
}

// One that serves does not turn cold because a list says nothing new, or left it out for a while.
TEST(LaunchTimes, StayWhileTheLifeIsTheSame) {
  LaunchTimes times;
  const Micros launched = told(times, kStart, kStart - 20 * kSecond);
  times.beginList(kStart + kSecond, true);  // without it
  EXPECT_EQ(told(times, kStart + 60 * kSecond, kStart - 20 * kSecond), launched);
  EXPECT_EQ(told(times, kStart + 61 * kSecond, 0), launched) << "'long ago' is no new life";
}

TEST(LaunchTimes, OfANewLifeAlwaysGrow) {
  LaunchTimes times;
  const Micros first = told(times, kStart, kStart - kSecond);
  EXPECT_GT(told(times, kStart + kSecond, kStart - 2 * kSecond), first);
}

TEST(LaunchTimes, AreForgottenWithTheirEndpoints) {
  LaunchTimes times;
  told(times, kStart, kStart - kSecond);
  times.forget("m");
  EXPECT_EQ(times.known(), 0U);
}

TEST(EndpointClocks, ThatAgreeWithOursChangeNothing) {
  EndpointTime clocks;
  for (int i = 0; i < 100; ++i)
    EXPECT_EQ(clocks.heard(kStart - i * 1000, kStart, i % 2 == 0), kStart - i * 1000);
  EXPECT_EQ(clocks.ahead(), 0);
  EXPECT_EQ(clocks.ofClient(kStart - kSecond, kStart), kStart - kSecond);
  EXPECT_EQ(clocks.toEndpoints(kStart), kStart);
}

// A replica's position says little of its clock: until a primary has spoken ours may be as far behind as is
// believed at all.
TEST(EndpointClocks, MayBeAheadUntilAPrimaryHasTold) {
  EndpointTime clocks;
  EXPECT_EQ(clocks.heard(kStart, kStart, false), kStart - kAheadAtMost);
  EXPECT_EQ(clocks.ahead(), kAheadAtMost);
  EXPECT_EQ(clocks.heard(kStart, kStart, true), kStart);
  EXPECT_EQ(clocks.ahead(), 0);
}

TEST(EndpointClocks, OfTheFutureAreNotBelieved) {
  EndpointTime clocks;
  EXPECT_EQ(clocks.heard(kStart + kAheadAtMost + 1, kStart, true), std::nullopt);
  EXPECT_EQ(clocks.ahead(), kAheadAtMost) << "nothing has been told";
}

TEST(EndpointClocks, ShowThatOursIsBehind) {
  constexpr Micros kTold = 900'000;
  constexpr Micros kBehind = kTold + 50'000;  // with what it was on its way for, at the most
  EndpointTime clocks;
  EXPECT_EQ(clocks.heard(kStart + kTold, kStart, true), kStart + kTold - kBehind);
  EXPECT_EQ(clocks.ahead(), kBehind);
  // A replica that lags 2 s lags 2 s.
  EXPECT_EQ(clocks.heard(kStart + kBehind - 2 * kSecond, kStart, false), kStart - 2 * kSecond);
  EXPECT_EQ(clocks.ofClient(kStart + kBehind, kStart), kStart);
  EXPECT_EQ(clocks.toEndpoints(kStart), kStart + kBehind);
  EXPECT_EQ(clocks.heard(kStart + kAheadAtMost + 1, kStart, true), std::nullopt) << "they don't creep ahead";
}

TEST(EndpointClocks, AreForgottenWhereNothingShowsThemAnyMore) {
  EndpointTime clocks;
  (void)clocks.heard(kStart + 500'000, kStart, true);
  Micros at = kStart;
  for (; at < kStart + 59 * kSecond; at += kSecond) (void)clocks.heard(at, at, true);
  EXPECT_EQ(clocks.ahead(), 550'000) << "of this while, and of the one before";
  for (; at < kStart + 70 * kSecond; at += kSecond) (void)clocks.heard(at, at, true);
  EXPECT_EQ(clocks.ahead(), 0);
}

// A session's word is compared with endpoints', not with our clock, which may be behind both.
TEST(EndpointClocks, OfSessionsMayBeAheadOfOurs) {
  EndpointTime clocks;
  (void)clocks.heard(kStart, kStart, true);
  EXPECT_EQ(clocks.ofClient(kStart + kHour, kStart), kStart + kHour);
  EXPECT_EQ(clocks.ofClient(std::numeric_limits<Micros>::max(), kStart), kStart + 24 * kHour);
}

}  // namespace
}  // namespace heathflow::wallclock
