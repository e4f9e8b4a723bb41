// Fault plans for system calls: their text form, the sampler that applies them, and the shim.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <ctime>

#include "faults.h"

namespace heathflow::faultshim {
namespace {

using test::planOf;

TEST(FaultPlans, AreReadFromTheirTextAndWrittenBack) {
  const FaultPlan plan = planOf("seed=7;short-read=0.05;socket=1@100-2000#3;step=-3600000@5000;step=+1000");
  EXPECT_EQ(plan.seed, 7U);
  ASSERT_EQ(plan.rules.size(), 2U);
  EXPECT_EQ(plan.rules[1].fault, Fault::Socket);
  EXPECT_EQ(plan.rules[1].from, 100'000);
  EXPECT_EQ(plan.rules[1].until, 2'000'000);
  EXPECT_EQ(plan.rules[1].maxCount, 3U);
  ASSERT_EQ(plan.steps.size(), 2U);
  EXPECT_EQ(plan.steps[0].by, -3'600'000'000);
  EXPECT_EQ(plan.steps[0].at, 5'000'000);
  EXPECT_EQ(planOf(plan.text()).text(), plan.text());
}

TEST(FaultPlans, NameTheInvalidItemOfAText) {
  for (const std::string text :
       {"short-reed=0.05", "socket", "socket=2", "socket=x", "socket=1@x", "socket=1#", "seed=", "step=1s"}) {
    std::string problem;
    EXPECT_FALSE(parsePlan("seed=1;" + text, problem)) << text;
    EXPECT_NE(problem.find(text), std::string::npos) << problem;
  }
}

TEST(FaultPlans, ApplyOnlyInTheirIntervalAndUpToTheirCount) {
  FaultSampler sampler(planOf("socket=1@100-200#2"));
  EXPECT_FALSE(sampler.shouldFail(Fault::Socket, 99'999));
  EXPECT_FALSE(sampler.shouldFail(Fault::Connect, 150'000));
  EXPECT_TRUE(sampler.shouldFail(Fault::Socket, 100'000));
  EXPECT_TRUE(sampler.shouldFail(Fault::Socket, 199'999));
  EXPECT_FALSE(sampler.shouldFail(Fault::Socket, 150'000)) << "at most two calls fail";
  EXPECT_FALSE(sampler.shouldFail(Fault::Socket, 200'000));
  EXPECT_EQ(sampler.injectedCount(Fault::Socket), 2U);
}

TEST(FaultPlans, FailTheSameCallsWithTheSameSeed) {
  FaultSampler first(planOf("seed=5;break=0.3"));
  FaultSampler second(planOf("seed=5;break=0.3"));
  int failed = 0;
  for (int i = 0; i < 1000; ++i) {
    const bool fails = first.shouldFail(Fault::Break, i);
    ASSERT_EQ(fails, second.shouldFail(Fault::Break, i));
    failed += fails ? 1 : 0;
  }
  EXPECT_GT(failed, 200);
  EXPECT_LT(failed, 400);
}

TEST(FaultPlans, StepTheWallClockForwardAndBack) {
  const FaultSampler sampler(planOf("step=+3600000@1000;step=-1000@2000"));
  EXPECT_EQ(sampler.wallClockOffset(999'999), 0);
  EXPECT_EQ(sampler.wallClockOffset(1'000'000), 3'600'000'000);
  EXPECT_EQ(sampler.wallClockOffset(2'000'000), 3'599'000'000);
}

// Guards the tests that inject faults: if the shim did not replace the calls, they would pass without any
// fault.
TEST(FaultShim, FailsTheCallsOfThisProcess) {
  {
    const ScopedFaultPlan faults(planOf("socket=1#2"));
    EXPECT_EQ(::socket(AF_INET, SOCK_STREAM, 0), -1);
    EXPECT_EQ(errno, ENFILE);
    EXPECT_EQ(::socket(AF_INET, SOCK_STREAM, 0), -1);
    EXPECT_EQ(errno, ENOBUFS);
    EXPECT_EQ(injectedCount(Fault::Socket), 2U);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_GE(fd, 0);
    ::close(fd);
  }
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_GE(fd, 0) << "no call fails after the plan has ended";
  ::close(fd);
}

TEST(FaultShim, StepsTheWallClockButNotTheMonotonicClock) {
  timespec wall{}, steady{}, steppedWall{}, steppedSteady{};
  ::clock_gettime(CLOCK_REALTIME, &wall);
  ::clock_gettime(CLOCK_MONOTONIC, &steady);
  const ScopedFaultPlan faults(planOf("step=+3600000"));
  ::clock_gettime(CLOCK_REALTIME, &steppedWall);
  ::clock_gettime(CLOCK_MONOTONIC, &steppedSteady);
  EXPECT_GE(steppedWall.tv_sec - wall.tv_sec, 3600);
  EXPECT_LT(steppedSteady.tv_sec - steady.tv_sec, 1800);
}

}  // namespace
}  // namespace heathflow::faultshim
