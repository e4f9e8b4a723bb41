// A gateway on a machine whose wall clock is behind those of the endpoints. Guards against stale reads that
// the gateway considers fresh.
#include <gtest/gtest.h>

#include "race_test.h"
#include "standins/gateway_rig.h"

namespace heathflow::test {
namespace {

// Stand-ins report positions by this machine's clock minus their lag; with a negative lag they are ahead of
// the gateway.
constexpr std::int64_t kGatewayBehindMs = 900;
constexpr int kReads = 40;

// Sets the clocks of the endpoints and the lag of the replicas.
void setClocksAndLag(GatewayRig& rig, std::int64_t replicasLagMs) {
  for (std::size_t i = 0; i < rig.endpoints.size(); ++i)
    rig.endpoints[i]->lagMs = (i == 0 ? 0 : replicasLagMs) - kGatewayBehindMs;
}

// Returns how many of kReads reads the primary serves once positions are known; -1 if a read is not answered.
int servedByThePrimary(GatewayRig& rig, const std::string& options) {
  ClientStandIn client(rig.loop, rig.socketAddress);
  const std::string fromPrimary = "from " + rig.endpoints[0]->address();
  for (int i = 0; i < kReads; ++i) {
    client.ask(request("view", "warm" + std::to_string(i)));
    if (!client.answered()) return -1;
    client.forget();
  }
  int count = 0;
  for (int i = 0; i < kReads; ++i) {
    client.ask(request("view", "id" + std::to_string(i), options));
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
  setClocksAndLag(rig, 3400);  // 0.4 s beyond the staleness bound, but within it by the gateway's clock
  EXPECT_EQ(servedByThePrimary(rig, ""), kReads);
}

TEST(ClockBehind, StillUsesReplicasThatAreRecentEnough) {
  GatewayOptions options;
  options.maxAgeMs = 10'000;
  GatewayRig rig(options);
  setClocksAndLag(rig, 200);
  EXPECT_LT(servedByThePrimary(rig, ""), kReads);
}

TEST(ClockBehind, KeepsSessionConsistency) {
  GatewayOptions options;
  options.sessionTokens = "carried";
  options.maxAgeMs = 10'000;
  GatewayRig rig(options);
  setClocksAndLag(rig, 600);
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  // The token is a minute ahead, so that only the primary can satisfy it.
  EXPECT_EQ(servedByThePrimary(rig, ",after=" + std::to_string(now + 60'000)), kReads);
}

}  // namespace
}  // namespace heathflow::test
