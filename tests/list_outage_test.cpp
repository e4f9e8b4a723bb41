// Real gateways whose list service leaves them without a list for longer than the term on changes, while
// endpoints go and come back: judged by what counts as told.
#include <gtest/gtest.h>

#include "deployment_play.h"

namespace heathflow::emulator {
namespace {

using Is = FaultEvent::Kind;

Scenario outage() {
  Scenario out = quiet();
  out.name = "list-outage";
  out.length = 16 * kS;
  out.gateways = 6;
  out.perGateway = 40;
  return out;
}

// Issue 47: the service turns every call away; a part of the endpoints is removed and comes back meanwhile.
// The removal counts as told 6 s after it, the return 6 s after that, and the endpoints answer health checks
// in between.
TEST(ListOutages, NothingGoesToEndpointsThatWereRemovedAndAreBackWhileEveryCallIsRejected) {
  Scenario scenario = outage();
  scenario.faultEvents = {{Is::ListCrowded, 2 * kS, 1, 12 * kS}, {Is::RestartEndpoints, 3 * kS, 0.6, 3 * kS}};
  expectKept(played(scenario));
}

// The same where the service is cut off from the gateways without a word.
TEST(ListOutages, NothingGoesToEndpointsThatWereRemovedAndAreBackWhileEveryCallIsSilent) {
  Scenario scenario = outage();
  scenario.faultEvents = {{Is::CutList, 2 * kS, 1, 12 * kS}, {Is::RestartEndpoints, 3 * kS, 0.6, 3 * kS}};
  expectKept(played(scenario));
}

}  // namespace
}  // namespace heathflow::emulator
