// Fleets of 5, 30 and 350 gateways under a virtual clock must not overload an endpoint in slow start,
// although each gateway sees only its own part of the load. The most loaded gateway has ten times the traffic
// of the least loaded one. Attempts are counted as they arrive at an endpoint, including those that it
// rejects.
#include <gtest/gtest.h>

#include "fleet/fleet.h"

namespace heathflow::test {
namespace {

using fleet::FaultEvent;
using fleet::Plan;
using fleet::Result;

struct Fleet {
  unsigned gateways;
  unsigned cores;  // of an endpoint
  double load;     // as a share of the full capacity of all endpoints
};

constexpr Micros kSecond = 1'000'000;

Plan planOf(const Fleet& fleet, std::uint64_t seed) {
  Plan plan;
  plan.gateways = fleet.gateways;
  plan.cores = fleet.cores;
  plan.groups = 4;
  plan.trafficRatio = 10;
  plan.length = 15 * kSecond;
  plan.seed = seed;
  const double capacity = plan.groups * plan.endpoints * plan.cores * static_cast<double>(kSecond) /
                          static_cast<double>(plan.serviceTime);
  plan.requestsPerSecond = fleet.load * capacity / plan.gateways;
  return plan;
}

class FleetRamp : public testing::TestWithParam<Fleet> {
 protected:
  static void expectNoneOverloaded(const std::vector<FaultEvent>& faults) {
    for (const std::uint64_t seed : {1U, 2U}) {
      Plan plan = planOf(GetParam(), seed);
      plan.faults = faults;
      const Result result = fleet::simulate(plan);
      EXPECT_LE(result.slowStartPeakOfThreshold, 1) << "seed " << seed;
      EXPECT_GT(result.slowStartPeakLoad, 0.2)
          << "endpoints in slow start got too few requests, seed " << seed;
      EXPECT_EQ(result.duplicateAnswers, 0U);
      EXPECT_EQ(result.stale, 0U);
    }
  }
};

// The expected number, plus two standard deviations, plus two.
TEST(FleetRampLimit, IsTheExpectedLoadPlusRandomVariation) {
  EXPECT_DOUBLE_EQ(fleet::overloadThreshold(0), 2);
  EXPECT_DOUBLE_EQ(fleet::overloadThreshold(16), 26);
  EXPECT_DOUBLE_EQ(fleet::overloadThreshold(100), 122);
}

TEST_P(FleetRamp, NoEndpointIsOverloadedWhenHalfOfThemRestart) {
  expectNoneOverloaded({{FaultEvent::Kind::EndpointsRestart, 4 * kSecond, 0.5, 2 * kSecond}});
}

TEST_P(FleetRamp, NoEndpointIsOverloadedWhenAllOfThemRestart) {
  expectNoneOverloaded({{FaultEvent::Kind::EndpointsRestart, 4 * kSecond, 1, 2 * kSecond}});
}

// Gateways that have just started have not measured the latency of any endpoint.
TEST_P(FleetRamp, NoEndpointIsOverloadedWhenMostGatewaysRestartDuringSlowStart) {
  expectNoneOverloaded({{FaultEvent::Kind::EndpointsRestart, 4 * kSecond, 0.5, 2 * kSecond},
                        {FaultEvent::Kind::GatewaysRestart, 6'500'000, 0.7, 0}});
}

INSTANTIATE_TEST_SUITE_P(Fleets, FleetRamp,
                         testing::Values(Fleet{5, 1, 0.5}, Fleet{5, 1, 1.5}, Fleet{30, 1, 0.5},
                                         Fleet{30, 1, 1.5}, Fleet{350, 1, 0.5}, Fleet{350, 1, 1.5},
                                         Fleet{5, 5, 1.5}, Fleet{30, 5, 1.5}, Fleet{350, 5, 1.5}),
                         [](const testing::TestParamInfo<Fleet>& fleet) {
                           return std::to_string(fleet.param.gateways) + "GatewaysOn" +
                                  std::to_string(fleet.param.cores) + "CoresAt" +
                                  std::to_string(static_cast<int>(fleet.param.load * 100)) + "Percent";
                         });

}  // namespace
}  // namespace heathflow::test
