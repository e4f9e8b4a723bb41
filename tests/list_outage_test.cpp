// Real gateways that get no list for longer than the time within which changes have to be known, while
// endpoints are removed and return.
#include <gtest/gtest.h>

#include "deployment_play.h"

namespace heathflow::emulator {
namespace {

using Is = FaultEvent::Kind;

Scenario outage() {
  Scenario out = quiet();
  out.name = "list-outage";
  out.duration = 16 * kS;
  out.gateways = 6;
  out.requestsPerGateway = 40;
  return out;
}

// Issue 47: the removal counts as known 6 s after it, the return 6 s after that, and the endpoints answer
// health checks in between.
TEST(ListOutages, NoAttemptsToReturnedEndpointsWhileEveryCallIsRejected) {
  Scenario scenario = outage();
  scenario.faultEvents = {{Is::ListOverloaded, 2 * kS, 1, 12 * kS},
                          {Is::RestartEndpoints, 3 * kS, 0.6, 3 * kS}};
  expectKept(played(scenario));
}

// The same over cut links.
TEST(ListOutages, NoAttemptsToReturnedEndpointsWhileEveryCallHangs) {
  Scenario scenario = outage();
  scenario.faultEvents = {{Is::CutList, 2 * kS, 1, 12 * kS}, {Is::RestartEndpoints, 3 * kS, 0.6, 3 * kS}};
  expectKept(played(scenario));
}

}  // namespace
}  // namespace heathflow::emulator
