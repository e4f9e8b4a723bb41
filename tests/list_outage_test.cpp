// Gateway processes that get no list for longer than the notification timeout, while endpoints are removed
// and return.
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

// Guards against requests to endpoints that have returned, but whose return no list has confirmed. The
// removal and the return count as known 6 s after each; in between, the endpoints answer health checks again.
TEST(ListOutages, NoAttemptsToReturnedEndpointsWhileEveryCallIsRejected) {
  Scenario scenario = outage();
  scenario.faultEvents = {{Is::ListOverloaded, 2 * kS, 1, 12 * kS},
                          {Is::RestartEndpoints, 3 * kS, 0.6, 3 * kS}};
  expectKept(played(scenario));
}

// The same with broken network paths to the list service.
TEST(ListOutages, NoAttemptsToReturnedEndpointsWhileEveryCallHangs) {
  Scenario scenario = outage();
  scenario.faultEvents = {{Is::CutList, 2 * kS, 1, 12 * kS}, {Is::RestartEndpoints, 3 * kS, 0.6, 3 * kS}};
  expectKept(played(scenario));
}

}  // namespace
}  // namespace heathflow::emulator
