// A fleet of routers through the kinds of trouble that endpoints, paths and lists have, by their symptoms: 60
// routers under a virtual clock, with the real decisions.
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>

#include "fleet/fleet.h"

namespace heathflow::test {
namespace {

using fleet::FaultEvent;
using fleet::Plan;
using fleet::Result;

constexpr Micros kSecond = 1'000'000;

// From its 4th to its 14th second something is wrong; it ends at its 25th.
Result through(FaultEvent::Kind kind, double share, Micros lasts = 10 * kSecond) {
  Plan plan;
  plan.gateways = 60;
  plan.groups = 8;
  plan.requestsPerSecond = 12;
  plan.length = 25 * kSecond;
  plan.faults = {{kind, 4 * kSecond, share, lasts}};
  const Result result = fleet::play(plan);
  EXPECT_EQ(result.answers, result.requests);
  EXPECT_EQ(result.duplicateAnswers, 0U);
  EXPECT_EQ(result.stale, 0U);
  EXPECT_LT(result.slowStartPeakLoad, 2.5);
  return result;
}

double inTime(const fleet::Window& window) {
  return static_cast<double>(window.inTime) / static_cast<double>(window.requests);
}

struct Trouble {
  const char* name;
  FaultEvent::Kind kind;
  double share;
  double during;  // in time in the worst five seconds, at the least
};
void PrintTo(const Trouble& trouble, std::ostream* out) { *out << trouble.name; }

// The shares are a little under what is reached, so that a change for the worse shows. Where health checks
// fail no position is known, and where a path is as long as half an aim little can be done.
class Troubles : public testing::TestWithParam<Trouble> {};

TEST_P(Troubles, AreLivedThroughAndLeftBehind) {
  const Trouble& trouble = GetParam();
  const Result result = through(trouble.kind, trouble.share);
  double worst = 1;
  for (const fleet::Window& window : result.windows) worst = std::min(worst, inTime(window));
  EXPECT_GE(worst, trouble.during);
  EXPECT_GE(inTime(result.windows.back()), 0.93);
}

INSTANTIATE_TEST_SUITE_P(Kinds, Troubles,
                         testing::Values(Trouble{"hang", FaultEvent::Kind::EndpointsHang, 0.1, 0.93},
                                         Trouble{"pauses", FaultEvent::Kind::EndpointsPause, 0.3, 0.95},
                                         Trouble{"fast_errors", FaultEvent::Kind::EndpointsFail, 0.1, 0.93},
                                         Trouble{"answer_lost", FaultEvent::Kind::ResponsesLost, 0.6, 0.77},
                                         Trouble{"probe_fail", FaultEvent::Kind::HealthChecksFail, 0.8, 0.65},
                                         Trouble{"flapping", FaultEvent::Kind::EndpointsFlap, 0.2, 0.96},
                                         Trouble{"preempt", FaultEvent::Kind::EndpointsDrain, 0.2, 0.96},
                                         Trouble{"discovery_stale", FaultEvent::Kind::EndpointListDelayed, 1,
                                                 0.96},
                                         Trouble{"slow_link", FaultEvent::Kind::NetworkDegraded, 1, 0.66}),
                         [](const auto& named) { return std::string(named.param.name); });

}  // namespace
}  // namespace heathflow::test
