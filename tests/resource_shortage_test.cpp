// System calls fail temporarily while the gateway serves. Its own lack of resources must not count as a
// failure of an endpoint or a client.
#include <gtest/gtest.h>

#include "faults.h"
#include "race_test.h"
#include "snapshot/snapshot.h"
#include "standins/gateway_rig.h"
#include "standins/temporary_file.h"

namespace heathflow::test {
namespace {

// A gateway that knows its endpoints' roles and has no connection to them, so that the next request opens
// one.
class WarmGateway {
 public:
  WarmGateway() : client(rig.loop, rig.socketAddress) {
    client.ask(request("status", "warm"));
    EXPECT_TRUE(client.answered());
    client.forget();
    for (auto& endpoint : rig.endpoints) {
      for (auto& line : endpoint->lines) line->hangUp();
    }
    const auto closed = [this] {
      return rig.counters().connectionsStale >= 1 && rig.counters().descriptors <= 1;
    };
    EXPECT_TRUE(rig.until(closed));
  }
  GatewayRig rig;
  ClientStandIn client;
};

TEST(ResourceShortage, OfSocketsRejectsNoRequest) {
  WarmGateway gateway;
  const ScopedFaultPlan faults(planOf("socket=1#2"));
  gateway.client.ask(request("status", "a"));
  ASSERT_TRUE(gateway.client.answered());
  EXPECT_EQ(gateway.client.code(), "");
  EXPECT_EQ(faultshim::injectedCount(Fault::Socket), 2U);
}

TEST(ResourceShortage, OfPortsOrWatchesIsNoFailureOfTheEndpoint) {
  for (const char* plan : {"connect=1#1", "connect=1#3", "watch=1#1", "watch=1#2"}) {
    WarmGateway gateway;
    const auto before = gateway.rig.outcomes(AttemptOutcome::ConnectFailed);
    const ScopedFaultPlan faults(planOf(plan));
    gateway.client.ask(request("status", "a"));
    ASSERT_TRUE(gateway.client.answered()) << plan;
    EXPECT_EQ(gateway.client.code(), "") << plan;
    EXPECT_EQ(gateway.rig.outcomes(AttemptOutcome::ConnectFailed), before) << plan;
  }
}

// Guards against a request that gets no answer while the shortage lasts.
TEST(ResourceShortage, ThatLastsRejectsTheRequest) {
  WarmGateway gateway;
  const ScopedFaultPlan faults(planOf("socket=1"));
  gateway.client.ask(request("status", "a"));
  ASSERT_TRUE(gateway.client.answered());
  EXPECT_EQ(gateway.client.code(), "53300");
}

// Guards against closing an accepted connection that can't be watched, which resets the client's request.
TEST(ResourceShortage, OfWatchesClosesNoClient) {
  GatewayRig rig;
  ClientStandIn warm(rig.loop, rig.socketAddress);
  warm.ask(request("any", "warm"));
  ASSERT_TRUE(warm.answered());
  Line client(rig.loop, nullptr);
  int error = 0;
  ASSERT_TRUE(client.stream.connect(rig.socketAddress.socketAddress, error));  // it waits to be accepted
  const ScopedFaultPlan faults(planOf("watch=1#4"));
  client.say(pg::startup() + pg::query(request("any", "a")));
  ASSERT_TRUE(rig.until([&] { return client.ended || client.got.find("from ") != std::string::npos; }));
  EXPECT_FALSE(client.ended);
  EXPECT_EQ(faultshim::injectedCount(Fault::Watch), 4U);
}

TEST(ResourceShortage, InAcceptLeavesNoClientWaiting) {
  GatewayRig rig;
  const ScopedFaultPlan faults(planOf("accept=1#40;interrupt-io=0.2"));
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("any", "a"));
  EXPECT_TRUE(client.answered());
}

snapshot::Snapshot aSnapshot() {
  snapshot::Snapshot out;
  out.name = "n0";
  out.callCost = 1234;
  return out;
}

// Guards against a temporary read error that discards what an earlier incarnation has stored.
TEST(SnapshotFile, IsNotSetAsideForATemporaryError) {
  TemporaryFolder folder;
  const std::string path = folder.path() + "/n0.snapshot";
  std::string problem;
  ASSERT_TRUE(snapshot::save(path, aSnapshot(), files::Durable::Yes, problem)) << problem;
  {
    const ScopedFaultPlan faults(planOf("file-read=1"));
    EXPECT_FALSE(snapshot::load(path, "n0", problem));
    EXPECT_NE(problem, "");
  }
  problem.clear();
  const auto again = snapshot::load(path, "n0", problem);
  ASSERT_TRUE(again) << problem;
  EXPECT_EQ(again->callCost, 1234);
}

TEST(SnapshotFile, IsUnchangedByAFailedWrite) {
  for (const char* plan : {"file-write=1", "file-sync=1", "file-rename=1", "file-open=1"}) {
    TemporaryFolder folder;
    const std::string path = folder.path() + "/n0.snapshot";
    std::string problem;
    ASSERT_TRUE(snapshot::save(path, aSnapshot(), files::Durable::Yes, problem)) << problem;
    snapshot::Snapshot newer = aSnapshot();
    newer.callCost = 99;
    {
      const ScopedFaultPlan faults(planOf(std::string("seed=4;") + plan));
      EXPECT_FALSE(snapshot::save(path, newer, files::Durable::Yes, problem)) << plan;
    }
    problem.clear();
    const auto kept = snapshot::load(path, "n0", problem);
    ASSERT_TRUE(kept) << plan << ": " << problem;
    EXPECT_EQ(kept->callCost, 1234) << plan;
  }
}

}  // namespace
}  // namespace heathflow::test
