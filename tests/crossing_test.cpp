// Where two events cross: each test holds one of them in an exact state, makes the other happen there, and
// looks from outside at what the client read, what members received and how connections ended.
// docs/crossings.md lists the pairs.
#include <gtest/gtest.h>

#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

// ---- Lists ----

// Where the settings say that lists are pushed, a push comes over a watch all the same.
TEST(CrossingLists, ThatArePushedAreWatchedForFromTheStart) {
  GatewayOptions options;
  options.discovery = "push";
  GatewayRig rig(options);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.waiting != nullptr; }));
  rig.discovery.tell("[" + rig.entryOf(1, "Terminating") + "," + rig.entryOf(2, "Terminating") + "]");
  ASSERT_TRUE(rig.until([&] { return rig.counters().listsTaken >= 3; }));
  ClientStandIn client(rig.loop, rig.endpoint);
  client.ask(request("any", "1"));
  ASSERT_TRUE(client.answered());
  EXPECT_TRUE(rig.members[1]->statements.empty());
  EXPECT_TRUE(rig.members[2]->statements.empty());
}

}  // namespace
}  // namespace heathflow::test
