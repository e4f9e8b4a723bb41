// A gateway on a machine whose wall clock differs from those of the endpoints, or is not yet known to agree
// with them. Guards against stale reads that the gateway considers fresh.
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

// A gateway with session reads in the class "view", on a manual clock. Health checks get the positions that
// the test sets.
class SessionReadRig : public GatewayRig {
 public:
  SessionReadRig() : GatewayRig(options()), startMs(loop.now() / 1000) {
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      endpoints[i]->healthCheck = [this, i](Line& line, const std::string&) {
        if (i != 0 && replicasAreSilent)
          waitingChecks.push_back(&line);
        else
          answerHealthCheck(line, i);
      };
    }
  }
  static GatewayOptions options() {
    GatewayOptions out;
    out.sessionTokens = "carried";
    out.viewConsistency = "session";
    out.manualClock = true;
    return out;
  }
  void answerHealthCheck(Line& line, std::size_t endpoint) const {
    const std::int64_t position = endpoint == 0 ? primaryPositionMs : replicaPositionMs;
    const std::string millis = std::to_string(1000 + position % 1000).substr(1);
    const std::string report =
        "x0=" + std::to_string(position / 1000) + "." + millis + ",x1=" + (endpoint == 0 ? "1" : "0");
    line.say(pg::row(report) + pg::ready());
  }
  // Serves a write, whose answer reports the position of the commit.
  bool serveWrite(const std::string& id, std::int64_t commitMs) {
    endpoints[0]->answer = [this, commitMs](Line& line, const std::string&) {
      line.say(endpoints[0]->value("from " + endpoints[0]->address(), commitMs));
    };
    ClientStandIn client(loop, socketAddress);
    client.ask(request("save", id));
    return client.answered() && client.value() == fromPrimary();
  }
  std::string fromPrimary() const { return "from " + endpoints[0]->address(); }

  std::int64_t startMs;  // the gateway's clock in the beginning
  std::int64_t primaryPositionMs = startMs;
  std::int64_t replicaPositionMs = startMs;
  bool replicasAreSilent = false;
  std::vector<Line*> waitingChecks;  // of replicas
};

// Failure: a read that came before the primary's first report is served by a replica that lacks the session's
// write, because the token was lowered by a lead that the replica's position was not lowered by.
TEST(SessionReads, AreNotStaleIfTheyWaitWhileThePrimaryReportsFirst) {
  SessionReadRig rig;
  rig.replicasAreSilent = true;
  rig.replicaPositionMs = rig.startMs - 600;
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("view", "read", ",after=" + std::to_string(rig.startMs - 100)));
  ASSERT_TRUE(rig.until([&] { return !rig.waitingChecks.empty(); }));
  ASSERT_TRUE(rig.serveWrite("write", rig.startMs));
  rig.replicasAreSilent = false;
  rig.answerHealthCheck(*rig.waitingChecks.front(), 1);
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), rig.fromPrimary());
}

// Failure: the primary's clock turns out to be ahead, and a session read is served by a replica that lacks
// the session's write, because its position was stored before.
TEST(SessionReads, AreNotStaleIfThePrimarysClockIsSteppedForward) {
  constexpr std::int64_t kStepMs = 900;
  SessionReadRig rig;
  ASSERT_TRUE(rig.serveWrite("write1", rig.startMs));
  ClientStandIn client(rig.loop, rig.socketAddress);
  client.ask(request("view", "read1", ",after=" + std::to_string(rig.startMs - 600)));
  ASSERT_TRUE(client.answered());
  EXPECT_NE(client.value(), rig.fromPrimary()) << "the replica's position is known and is enough";
  client.forget();
  rig.primaryPositionMs = rig.startMs + kStepMs;
  ASSERT_TRUE(rig.serveWrite("write2", rig.primaryPositionMs));
  client.ask(request("view", "read2", ",after=" + std::to_string(rig.primaryPositionMs)));
  ASSERT_TRUE(client.answered());
  EXPECT_EQ(client.value(), rig.fromPrimary());
}

}  // namespace
}  // namespace heathflow::test
