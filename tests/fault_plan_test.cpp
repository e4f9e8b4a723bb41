// Plans of failing system calls: their text, and that the draw of each call's fate goes by it.
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
  ASSERT_EQ(plan.shares.size(), 2U);
  EXPECT_EQ(plan.shares[1].fault, Fault::Socket);
  EXPECT_EQ(plan.shares[1].from, 100'000);
  EXPECT_EQ(plan.shares[1].until, 2'000'000);
  EXPECT_EQ(plan.shares[1].most, 3U);
  ASSERT_EQ(plan.steps.size(), 2U);
  EXPECT_EQ(plan.steps[0].by, -3'600'000'000);
  EXPECT_EQ(plan.steps[0].at, 5'000'000);
  EXPECT_EQ(planOf(plan.text()).text(), plan.text());
}

TEST(FaultPlans, NameTheItemThatCantBeRead) {
  for (const std::string text :
       {"short-reed=0.05", "socket", "socket=2", "socket=x", "socket=1@x", "socket=1#", "seed=", "step=1s"}) {
    std::string problem;
    EXPECT_FALSE(parsePlan("seed=1;" + text, problem)) << text;
    EXPECT_NE(problem.find(text), std::string::npos) << problem;
  }
}

TEST(FaultPlans, StrikeWithinTheirTimesAndNoMoreOftenThanTheySay) {
  FaultDraw draw(planOf("socket=1@100-200#2"));
  EXPECT_FALSE(draw.strikes(Fault::Socket, 99'999));
  EXPECT_FALSE(draw.strikes(Fault::Connect, 150'000));
  EXPECT_TRUE(draw.strikes(Fault::Socket, 100'000));
  EXPECT_TRUE(draw.strikes(Fault::Socket, 199'999));
  EXPECT_FALSE(draw.strikes(Fault::Socket, 150'000)) << "two at the most";
  EXPECT_FALSE(draw.strikes(Fault::Socket, 200'000));
  EXPECT_EQ(draw.struck(Fault::Socket), 2U);
}

TEST(FaultPlans, DrawTheSameFatesFromTheSameSeed) {
  FaultDraw first(planOf("seed=5;break=0.3"));
  FaultDraw second(planOf("seed=5;break=0.3"));
  int struck = 0;
  for (int i = 0; i < 1000; ++i) {
    const bool strikes = first.strikes(Fault::Break, i);
    ASSERT_EQ(strikes, second.strikes(Fault::Break, i));
    struck += strikes ? 1 : 0;
  }
  EXPECT_GT(struck, 200);
  EXPECT_LT(struck, 400);
}

TEST(FaultPlans, StepTheWallClockForAndBack) {
  const FaultDraw draw(planOf("step=+3600000@1000;step=-1000@2000"));
  EXPECT_EQ(draw.wallAhead(999'999), 0);
  EXPECT_EQ(draw.wallAhead(1'000'000), 3'600'000'000);
  EXPECT_EQ(draw.wallAhead(2'000'000), 3'599'000'000);
}

// Guards the proofs that rest on the shim: it must really be in the way of the calls.
TEST(FaultShim, FailsTheCallsOfThisProcess) {
  {
    const InForce faults(planOf("socket=1#2"));
    EXPECT_EQ(::socket(AF_INET, SOCK_STREAM, 0), -1);
    EXPECT_EQ(errno, ENFILE);
    EXPECT_EQ(::socket(AF_INET, SOCK_STREAM, 0), -1);
    EXPECT_EQ(errno, ENOBUFS);
    EXPECT_EQ(struck(Fault::Socket), 2U);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_GE(fd, 0);
    ::close(fd);
  }
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_GE(fd, 0) << "nothing fails any more";
  ::close(fd);
}

TEST(FaultShim, StepsTheWallClockAndLeavesTheSteadyOne) {
  timespec wall{}, steady{}, steppedWall{}, steppedSteady{};
  ::clock_gettime(CLOCK_REALTIME, &wall);
  ::clock_gettime(CLOCK_MONOTONIC, &steady);
  const InForce faults(planOf("step=+3600000"));
  ::clock_gettime(CLOCK_REALTIME, &steppedWall);
  ::clock_gettime(CLOCK_MONOTONIC, &steppedSteady);
  EXPECT_GE(steppedWall.tv_sec - wall.tv_sec, 3600);
  EXPECT_LT(steppedSteady.tv_sec - steady.tv_sec, 1800);
}

}  // namespace
}  // namespace heathflow::faultshim
