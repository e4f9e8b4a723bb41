// A wall clock that is stepped: every deadline, window, wait and grace is a span of real time.
#include <gtest/gtest.h>

#include "crossing.h"
#include "faults.h"
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

TEST_P(SteppedClock, EndsNoRequestThatItsClientStillWaitsFor) {
  GatewayRig rig;
  std::vector<Line*> held;
  rig.answerAll([&](Line& line, const std::string&) { held.push_back(&line); });
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "a", "", 30 * 60'000));
  ASSERT_TRUE(rig.until([&] { return !held.empty(); }));
  const InForce faults(stepped());
  for (int i = 0; i < 20; ++i) rig.loop.turn(1000);
  EXPECT_EQ(client.types().find('E'), std::string::npos);
  ASSERT_EQ(held.size(), 1U) << "it is not sent again either";
  held.front()->say(rig.endpoints[0]->value("after the step"));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), "after the step");
}

TEST_P(SteppedClock, MovesNoTimer) {
  transport::EventLoop loop;
  bool rung = false;
  transport::Timer far(loop, [&] { rung = true; });
  far.arm(loop.now() + 30 * 60 * kSecond);
  const transport::Micros before = loop.now();
  const InForce faults(stepped());
  loop.turn(1000);
  loop.turn(1000);
  EXPECT_FALSE(rung);
  EXPECT_LT(loop.now() - before, 20 * 60 * kSecond);
  EXPECT_GE(loop.now(), before);
}

}  // namespace
}  // namespace heathflow::test
