// The start times of endpoints, limited by what this process has observed, and the lead of their clocks.
#include "wallclock/start_times.h"

#include <gtest/gtest.h>

#include "wallclock/endpoint_time.h"

namespace heathflow::wallclock {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kHour = 3600 * kSecond;
constexpr Micros kStart = 1'000'000 * kSecond;

// Applies a list that contains one endpoint, and returns its start.
Micros startAfterList(StartTimes& times, Micros now, Micros listed, bool confirmed = true) {
  times.beginList(now, confirmed);
  return times.startedAt("m", listed);
}

TEST(LaunchTimes, AreAsListedWhereClocksAgree) {
  StartTimes times;
  EXPECT_EQ(startAfterList(times, kStart, 0), 0);
  EXPECT_EQ(startAfterList(times, kStart + 20 * kSecond, kStart + 19 * kSecond), kStart + 19 * kSecond);
  EXPECT_EQ(startAfterList(times, kStart + 30 * kSecond, kStart + 19 * kSecond), kStart + 19 * kSecond);
}

// Guards against an endpoint that is not put into slow start after a restart because its clock was set.
TEST(LaunchTimes, OfARestartedEndpointAreBoundedByObservation) {
  for (const Micros step : {-kHour, -10 * kSecond, kSecond, 10 * kSecond, kHour}) {
    StartTimes times;
    startAfterList(times, kStart, kStart - kHour);
    startAfterList(times, kStart + 50 * kSecond, kStart - kHour);
    const Micros restarted = kStart + 52 * kSecond;
    const Micros now = kStart + 53 * kSecond;
    const Micros started = startAfterList(times, now, restarted + step);
    EXPECT_GE(started, kStart + 50 * kSecond - kMaxListDelay) << step;
    EXPECT_LE(started, now) << step;
    EXPECT_EQ(startAfterList(times, now + 5 * kSecond, restarted + step), started) << "it stays the same";
  }
}

TEST(LaunchTimes, OfANewEndpointAreNoOlderThanTheListWithoutIt) {
  StartTimes times;
  times.beginList(kStart, true);
  const Micros now = kStart + 10 * kSecond;
  EXPECT_EQ(startAfterList(times, now, now - kHour), kStart);
  StartTimes first;
  EXPECT_EQ(startAfterList(first, now, now - kHour), now - kHour)
      << "the first list contains endpoints that already serve";
  StartTimes cached;
  cached.beginList(kStart, false);
  EXPECT_EQ(startAfterList(cached, now, now - kHour), now - kHour)
      << "a cached list says nothing about the present";
}

// An endpoint that was missing from a list for a while has not restarted.
TEST(LaunchTimes, StayTheSameWithinAnIncarnation) {
  StartTimes times;
  const Micros started = startAfterList(times, kStart, kStart - 20 * kSecond);
  times.beginList(kStart + kSecond, true);  // without it
  EXPECT_EQ(startAfterList(times, kStart + 60 * kSecond, kStart - 20 * kSecond), started);
  EXPECT_EQ(startAfterList(times, kStart + 61 * kSecond, 0), started)
      << "'long ago' is not a new incarnation";
}

TEST(LaunchTimes, OfANewIncarnationAreLater) {
  StartTimes times;
  const Micros first = startAfterList(times, kStart, kStart - kSecond);
  EXPECT_GT(startAfterList(times, kStart + kSecond, kStart - 2 * kSecond), first);
}

TEST(LaunchTimes, AreForgottenWithTheirEndpoints) {
  StartTimes times;
  startAfterList(times, kStart, kStart - kSecond);
  times.forget("m");
  EXPECT_EQ(times.size(), 0U);
}

TEST(EndpointTime, HasNoLeadWhereClocksAgree) {
  EndpointTime clocks;
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(clocks.observe(kStart - i * 1000, kStart, i % 2 == 0));
    EXPECT_EQ(clocks.lead(), 0);
  }
  EXPECT_EQ(clocks.toEndpoints(kStart), kStart);
}

// A replica's position shows little about its clock.
TEST(EndpointTime, HasTheMaximumLeadUntilAPrimaryHasReported) {
  EndpointTime clocks;
  EXPECT_TRUE(clocks.observe(kStart, kStart, false));
  EXPECT_EQ(clocks.lead(), kMaxClockLead);
  EXPECT_TRUE(clocks.observe(kStart, kStart, true));
  EXPECT_EQ(clocks.lead(), 0);
}

TEST(EndpointTime, RejectsPositionsFarInTheFuture) {
  EndpointTime clocks;
  EXPECT_FALSE(clocks.observe(kStart + kMaxClockLead + 1, kStart, true));
  EXPECT_EQ(clocks.lead(), kMaxClockLead) << "the position was rejected";
}

TEST(EndpointTime, HasTheLeadThatAPrimaryShows) {
  constexpr Micros kObserved = 900'000;
  constexpr Micros kBehind = kObserved + 50'000;  // plus the longest network delay
  EndpointTime clocks;
  EXPECT_TRUE(clocks.observe(kStart + kObserved, kStart, true));
  EXPECT_EQ(clocks.lead(), kBehind);
  EXPECT_TRUE(clocks.observe(kStart + kBehind - 2 * kSecond, kStart, false));
  EXPECT_EQ(clocks.lead(), kBehind) << "the lag of a replica shows no lead";
  EXPECT_EQ(clocks.toEndpoints(kStart), kStart + kBehind);
  EXPECT_FALSE(clocks.observe(kStart + kMaxClockLead + 1, kStart, true))
      << "the lead does not grow beyond its maximum";
}

// Failure: after a quiet time a replica's report ends the lead, and the replica looks more recent than it is.
TEST(EndpointTime, KeepsALeadUntilThePrimaryReportsWithoutIt) {
  EndpointTime clocks;
  (void)clocks.observe(kStart + 500'000, kStart, true);
  Micros at = kStart + 90 * kSecond;
  for (; at < kStart + 200 * kSecond; at += kSecond) {
    (void)clocks.observe(at - kSecond, at, false);
    ASSERT_EQ(clocks.lead(), 550'000) << at - kStart;
  }
  for (; at < kStart + 270 * kSecond; at += kSecond) (void)clocks.observe(at, at, true);
  EXPECT_EQ(clocks.lead(), 0);
}

TEST(EndpointTime, ForgetsALeadThatNoPositionShowsAnyMore) {
  EndpointTime clocks;
  (void)clocks.observe(kStart + 500'000, kStart, true);
  Micros at = kStart;
  for (; at < kStart + 59 * kSecond; at += kSecond) (void)clocks.observe(at, at, true);
  EXPECT_EQ(clocks.lead(), 550'000) << "the lead of this window and the previous one";
  for (; at < kStart + 70 * kSecond; at += kSecond) (void)clocks.observe(at, at, true);
  EXPECT_EQ(clocks.lead(), 0);
}

}  // namespace
}  // namespace heathflow::wallclock
