// Failure detection among many gateways with a virtual clock, with lost messages, stalls, partitions and
// crashes.
#include <gtest/gtest.h>

#include <algorithm>

#include "fleet/gossip_simulation.h"
#include "membership/detector.h"

namespace heathflow::membership {
namespace {

using fleet::GossipPlan;
using fleet::GossipSimulation;
using Kind = MembershipEvent::Kind;

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

GossipPlan plan(unsigned gateways, std::uint64_t seed = 1) {
  GossipPlan out;
  out.gateways = gateways;
  out.seed = seed;
  return out;
}

std::size_t count(const GossipSimulation& simulation, Kind kind, Micros since) {
  return static_cast<std::size_t>(
      std::count_if(simulation.events().begin(), simulation.events().end(),
                    [&](const auto& e) { return e.observed.kind == kind && e.at >= since; }));
}

TEST(Membership, GatewaysThatStartTogetherJoinBySeeds) {
  for (const unsigned gateways : {2U, 5U, 60U}) {
    GossipSimulation simulation(plan(gateways));
    simulation.run(15 * kS);
    EXPECT_TRUE(simulation.viewsAgree()) << gateways;
    EXPECT_EQ(count(simulation, Kind::Failed, 0), 0U);
  }
}

TEST(Membership, ACrashIsDetectedByAllWithinSeconds) {
  GossipSimulation simulation(plan(100));
  simulation.run(20 * kS);
  ASSERT_TRUE(simulation.viewsAgree());
  const Micros crashedAt = simulation.now();
  simulation.kill(7);
  simulation.run(20 * kS);
  const auto [last, by] = simulation.spreadOf(Kind::Failed, 7, crashedAt);
  EXPECT_EQ(by, 99U);
  EXPECT_LT(last - crashedAt, 10 * kS);
  EXPECT_TRUE(simulation.viewsAgree());
}

TEST(Membership, CrashesOfSevenInTenAreDetected) {
  GossipSimulation simulation(plan(50));
  simulation.run(20 * kS);
  for (unsigned i = 0; i < 35; ++i) simulation.kill(i);
  simulation.run(60 * kS);
  EXPECT_TRUE(simulation.viewsAgree());
  for (unsigned i = 35; i < 50; ++i) EXPECT_EQ(simulation.detectorOf(i).runningCount(), 14U);
}

TEST(Membership, LostMessagesCauseNoFailures) {
  GossipPlan lossy = plan(40, 3);
  GossipSimulation simulation(lossy);
  simulation.run(15 * kS);
  simulation.setLoss(0.2);
  const Micros since = simulation.now();
  simulation.run(120 * kS);
  EXPECT_EQ(count(simulation, Kind::Failed, since), 0U);
}

TEST(Membership, AStalledGatewayDeclaresNoOtherFailedAndRejoins) {
  for (const Micros pause : {500 * kMs, 2 * kS, 20 * kS}) {
    GossipSimulation simulation(plan(30));
    simulation.run(15 * kS);
    ASSERT_TRUE(simulation.viewsAgree());
    simulation.pause(4);
    simulation.run(pause);
    const Micros resumedAt = simulation.now();
    simulation.resume(4);
    simulation.run(20 * kS);
    EXPECT_TRUE(simulation.viewsAgree()) << pause;
    for (const auto& event : simulation.events()) {
      const bool own = event.at >= resumedAt && event.gateway == 4;
      EXPECT_FALSE(own && event.observed.kind == Kind::Failed) << event.observed.name;
    }
  }
}

TEST(Membership, ALostDirectPathIsNoFailure) {
  GossipSimulation simulation(plan(12));
  simulation.run(15 * kS);
  const Micros since = simulation.now();
  simulation.cut(2, 5);
  simulation.run(60 * kS);
  EXPECT_EQ(count(simulation, Kind::Failed, since), 0U);
  EXPECT_TRUE(simulation.detectorOf(2).view().at("n5").directPathLost);
  EXPECT_FALSE(simulation.detectorOf(3).view().at("n5").directPathLost);
  simulation.heal();
  simulation.run(40 * kS);
  EXPECT_FALSE(simulation.detectorOf(2).view().at("n5").directPathLost);
}

TEST(Membership, AnIsolatedGatewayKnowsThatItLostContact) {
  GossipSimulation simulation(plan(12));
  simulation.run(15 * kS);
  const Micros since = simulation.now();
  for (unsigned i = 1; i < 12; ++i) {
    simulation.cut(0, i);
    simulation.cut(i, 0);
  }
  simulation.run(40 * kS);
  EXPECT_TRUE(simulation.detectorOf(0).contactLost());
  // It declares at most those failed that it suspected before it lost contact.
  std::size_t declaredFailed = 0;
  for (const auto& event : simulation.events())
    declaredFailed += event.gateway == 0 && event.at >= since && event.observed.kind == Kind::Failed ? 1 : 0;
  EXPECT_LE(declaredFailed, 2U);
  EXPECT_EQ(simulation.detectorOf(5).view().at("n0").state, State::Failed);
  simulation.heal();
  simulation.run(120 * kS);
  EXPECT_FALSE(simulation.detectorOf(0).contactLost());
  EXPECT_TRUE(simulation.viewsAgree());
}

TEST(Membership, PartitionsJoinAgain) {
  GossipSimulation simulation(plan(16));
  simulation.run(15 * kS);
  for (unsigned a = 0; a < 8; ++a) {
    for (unsigned b = 8; b < 16; ++b) {
      simulation.cut(a, b);
      simulation.cut(b, a);
    }
  }
  simulation.run(30 * kS);
  EXPECT_EQ(simulation.detectorOf(0).view().at("n12").state, State::Failed);
  simulation.heal();
  simulation.run(100 * kS);
  EXPECT_TRUE(simulation.viewsAgree());
}

TEST(Membership, ARestartUnderTheSameNameIsANewIncarnation) {
  GossipSimulation simulation(plan(20));
  simulation.run(15 * kS);
  const Incarnation before = simulation.detectorOf(3).view().at("n9").incarnation;
  simulation.kill(9);
  simulation.run(200 * kMs);  // before the crash is detected
  simulation.start(9);
  simulation.run(20 * kS);
  EXPECT_TRUE(simulation.viewsAgree());
  EXPECT_GT(simulation.detectorOf(3).view().at("n9").incarnation, before);
  simulation.kill(9);
  simulation.run(30 * kS);  // until it was declared failed
  EXPECT_EQ(simulation.detectorOf(3).view().at("n9").state, State::Failed);
  simulation.start(9);
  simulation.run(20 * kS);
  EXPECT_TRUE(simulation.viewsAgree());
}

TEST(Membership, AGatewayThatLeavesHasNotFailed) {
  GossipSimulation simulation(plan(20));
  simulation.run(15 * kS);
  const Micros since = simulation.now();
  simulation.leave(6);
  simulation.run(20 * kS);
  EXPECT_EQ(simulation.spreadOf(Kind::Left, 6, since).second, 19U);
  EXPECT_EQ(simulation.spreadOf(Kind::Failed, 6, since).second, 0U);
}

// ---- Single updates ----

struct SingleDetector {
  SingleDetector() : detector(settings(), kS) {}
  static DetectorSettings settings() {
    DetectorSettings out;
    out.name = out.address = "me";
    return out;
  }
  void receive(State state, std::uint64_t start, std::uint32_t refutations = 0,
               const std::string& name = "x") {
    Message message;
    message.kind = Message::Kind::SyncResponse;
    message.from = "y";
    message.updates = {{name, name, {start, start}, refutations, state, "y"}};
    detector.receive(2 * kS, "y", message, out);
  }
  State state() { return detector.view().at("x").state; }
  Detector detector;
  std::vector<OutgoingMessage> out;
};

TEST(StateUpdates, AnEndedIncarnationNeverReturnsAndALaterOneDoes) {
  SingleDetector one;
  one.receive(State::Alive, 5);
  EXPECT_EQ(one.state(), State::Alive);
  one.receive(State::Failed, 5);
  one.receive(State::Alive, 5, 9);
  EXPECT_EQ(one.state(), State::Failed);
  one.receive(State::Alive, 4);
  EXPECT_EQ(one.state(), State::Failed);
  one.receive(State::Alive, 6);
  EXPECT_EQ(one.state(), State::Alive);
}

TEST(StateUpdates, AFailureIsNotOverriddenByALaterAliveUpdateOfItsIncarnation) {
  SingleDetector one;
  one.receive(State::Failed, 5);
  one.receive(State::Alive, 5, 3);
  EXPECT_EQ(one.state(), State::Failed);
}

TEST(StateUpdates, ARefutationHasAHigherNumberThanTheSuspicion) {
  SingleDetector one;
  one.receive(State::Alive, 5);
  one.receive(State::Suspected, 5, 0);
  EXPECT_EQ(one.state(), State::Suspected);
  one.receive(State::Alive, 5, 0);
  EXPECT_EQ(one.state(), State::Suspected);
  one.receive(State::Alive, 5, 1);
  EXPECT_EQ(one.state(), State::Alive);
  one.receive(State::Suspected, 5, 0);
  EXPECT_EQ(one.state(), State::Alive) << "an old suspicion";
  one.receive(State::Failed, 5, 0);
  EXPECT_EQ(one.state(), State::Alive) << "the failure that followed from it";
}

TEST(StateUpdates, ASuspectedGatewayRefutesAndAFailedOneBeginsANewIncarnation) {
  SingleDetector one;
  const Incarnation before = one.detector.incarnation();
  Message message;
  message.kind = Message::Kind::Ping;
  message.from = "y";
  message.updates = {{"me", "me", before, 0, State::Suspected, "y"}};
  one.detector.receive(2 * kS, "y", message, one.out);
  ASSERT_FALSE(one.out.empty());
  EXPECT_EQ(one.out.back().message.updates[0].refutations, 1U);
  EXPECT_EQ(one.detector.incarnation(), before);
  message.updates[0].state = State::Failed;
  message.updates[0].refutations = 1;
  one.detector.receive(3 * kS, "y", message, one.out);
  EXPECT_GT(one.detector.incarnation(), before);
}

TEST(StateUpdates, ADuplicateNameIsReported) {
  SingleDetector one;
  one.receive(State::Alive, 50 * kS, 0, "me");
  bool reported = false;
  for (const auto& event : one.detector.events()) reported = reported || event.kind == Kind::DuplicateName;
  EXPECT_TRUE(reported);
}

}  // namespace
}  // namespace heathflow::membership
