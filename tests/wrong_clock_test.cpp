// A gateway that starts on a machine whose wall clock is behind those of the endpoints: what it knows of
// positions must not look younger than it is.
#include <gtest/gtest.h>

#include "crossing.h"
#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

// Stand-ins tell positions by this machine's clock and their lag: below 0 they are ahead of the gateway.
constexpr std::int64_t kGatewayBehindMs = 900;
constexpr int kReads = 40;

// Puts the gateway behind the endpoints, and the replicas so far behind the primary.
void setApart(GatewayRig& rig, std::int64_t replicasLagMs) {
  for (std::size_t i = 0; i < rig.endpoints.size(); ++i)
    rig.endpoints[i]->lagMs = (i == 0 ? 0 : replicasLagMs) - kGatewayBehindMs;
}

// Of so many reads one after the other, those that the primary served once positions are known.
int servedByThePrimary(GatewayRig& rig, const std::string& more) {
  ClientStandIn client(rig.loop, rig.socketAddress);
  const std::string fromPrimary = "from " + rig.endpoints[0]->address();
  for (int i = 0; i < kReads; ++i) {
    client.ask(request("view", "warm" + std::to_string(i)));
    if (!client.answered()) return -1;
    client.forget();
  }
  int count = 0;
  for (int i = 0; i < kReads; ++i) {
    client.ask(request("view", "id" + std::to_string(i), more));
    if (!client.answered()) return -1;
    if (client.value() == fromPrimary) ++count;
    client.forget();
  }
  return count;
}

TEST(ClockBehind, ServesNoReadThatIsTooOldByTheEndpointsClocks) {
  GatewayOptions options;
  options.maxAgeMs = 3000;
  GatewayRig rig(options);
  setApart(rig, 3400);  // 0.4 s beyond the bound, and within it by the gateway's own clock
  EXPECT_EQ(servedByThePrimary(rig, ""), kReads);
}

TEST(ClockBehind, StillUsesReplicasThatAreRecentEnough) {
  GatewayOptions options;
  options.maxAgeMs = 10'000;
  GatewayRig rig(options);
  setApart(rig, 200);
  EXPECT_LT(servedByThePrimary(rig, ""), kReads);
}

TEST(ClockBehind, KeepsTheWordOfASession) {
  GatewayOptions options;
  options.sessionTokens = "carried";
  options.maxAgeMs = 10'000;
  GatewayRig rig(options);
  setApart(rig, 600);
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  // Written a minute ahead: no replica can have it, and the primary does.
  EXPECT_EQ(servedByThePrimary(rig, ",after=" + std::to_string(now + 60'000)), kReads);
}

}  // namespace
}  // namespace heathflow::test
