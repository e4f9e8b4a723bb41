// Deadlines and timers do not depend on the wall clock: it is stepped forwards and backwards.
#include <gtest/gtest.h>

#include "faults.h"
#include "race_test.h"
#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

using faultshim::ClockStep;

constexpr transport::Micros kHour = 3600 * kSecond;

class SteppedClock : public testing::TestWithParam<transport::Micros> {
 protected:
  static FaultPlan stepped() {
    FaultPlan out;
    out.steps.push_back({0, GetParam()});
    return out;
  }
};
INSTANTIATE_TEST_SUITE_P(BothWays, SteppedClock,
                         testing::Values(kSecond, 10 * kSecond, kHour, -kSecond, -10 * kSecond, -kHour));

TEST_P(SteppedClock, EndsNoRequestBeforeItsDeadline) {
  GatewayRig rig;
  std::vector<Line*> unanswered;
  rig.answerAll([&](Line& line, const std::string&) { unanswered.push_back(&line); });
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "a", "", 30 * 60'000));
  ASSERT_TRUE(rig.until([&] { return !unanswered.empty(); }));
  const ScopedFaultPlan faults(stepped());
  for (int i = 0; i < 20; ++i) rig.loop.turn(1000);
  EXPECT_EQ(client.types().find('E'), std::string::npos);
  ASSERT_EQ(unanswered.size(), 1U) << "there is no retry";
  unanswered.front()->say(rig.endpoints[0]->value("after the step"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "after the step");
}

TEST_P(SteppedClock, DoesNotMoveTimers) {
  transport::EventLoop loop;
  bool fired = false;
  transport::Timer timer(loop, [&] { fired = true; });
  timer.arm(loop.now() + 30 * 60 * kSecond);
  const transport::Micros before = loop.now();
  const ScopedFaultPlan faults(stepped());
  loop.turn(1000);
  loop.turn(1000);
  EXPECT_FALSE(fired);
  EXPECT_LT(loop.now() - before, 20 * 60 * kSecond);
  EXPECT_GE(loop.now(), before);
}

}  // namespace
}  // namespace heathflow::test
