// Failure detection among many gateways with a virtual clock, with lost messages, stalls, partitions and
// crashes.
#include <gtest/gtest.h>

#include <algorithm>

#include "fleet/talk.h"
#include "membership/detector.h"

namespace heathflow::membership {
namespace {

using fleet::Talk;
using fleet::TalkPlan;
using Kind = MembershipEvent::Kind;

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

TalkPlan plan(unsigned gateways, std::uint64_t seed = 1) {
  TalkPlan out;
  out.gateways = gateways;
  out.seed = seed;
  return out;
}

std::size_t count(const Talk& talk, Kind kind, Micros since) {
  return static_cast<std::size_t>(
      std::count_if(talk.events().begin(), talk.events().end(),
                    [&](const auto& e) { return e.what.kind == kind && e.at >= since; }));
}

TEST(Membership, GatewaysThatStartTogetherJoinBySeeds) {
  for (const unsigned gateways : {2U, 5U, 60U}) {
    Talk talk(plan(gateways));
    talk.run(15 * kS);
    EXPECT_TRUE(talk.agreed()) << gateways;
    EXPECT_EQ(count(talk, Kind::Failed, 0), 0U);
  }
}

TEST(Membership, ACrashIsDetectedByAllWithinSeconds) {
  Talk talk(plan(100));
  talk.run(20 * kS);
  ASSERT_TRUE(talk.agreed());
  const Micros crashedAt = talk.now();
  talk.kill(7);
  talk.run(20 * kS);
  const auto [last, by] = talk.seen(Kind::Failed, 7, crashedAt);
  EXPECT_EQ(by, 99U);
  EXPECT_LT(last - crashedAt, 10 * kS);
  EXPECT_TRUE(talk.agreed());
}

TEST(Membership, CrashesOfSevenInTenAreDetected) {
  Talk talk(plan(50));
  talk.run(20 * kS);
  for (unsigned i = 0; i < 35; ++i) talk.kill(i);
  talk.run(60 * kS);
  EXPECT_TRUE(talk.agreed());
  for (unsigned i = 35; i < 50; ++i) EXPECT_EQ(talk.at(i).runningCount(), 14U);
}

TEST(Membership, LostMessagesCauseNoFailures) {
  TalkPlan lossy = plan(40, 3);
  Talk talk(lossy);
  talk.run(15 * kS);
  talk.setLoss(0.2);
  const Micros since = talk.now();
  talk.run(120 * kS);
  EXPECT_EQ(count(talk, Kind::Failed, since), 0U);
}

TEST(Membership, AStalledGatewayDeclaresNoOtherFailedAndRejoins) {
  for (const Micros pause : {500 * kMs, 2 * kS, 20 * kS}) {
    Talk talk(plan(30));
    talk.run(15 * kS);
    ASSERT_TRUE(talk.agreed());
    talk.pause(4);
    talk.run(pause);
    const Micros resumedAt = talk.now();
    talk.resume(4);
    talk.run(20 * kS);
    EXPECT_TRUE(talk.agreed()) << pause;
    for (const auto& event : talk.events()) {
      const bool own = event.at >= resumedAt && event.gateway == 4;
      EXPECT_FALSE(own && event.what.kind == Kind::Failed) << event.what.name;
    }
  }
}

TEST(Membership, ALostDirectPathIsNoFailure) {
  Talk talk(plan(12));
  talk.run(15 * kS);
  const Micros since = talk.now();
  talk.cut(2, 5);
  talk.run(60 * kS);
  EXPECT_EQ(count(talk, Kind::Failed, since), 0U);
  EXPECT_TRUE(talk.at(2).view().at("n5").directPathLost);
  EXPECT_FALSE(talk.at(3).view().at("n5").directPathLost);
  talk.heal();
  talk.run(40 * kS);
  EXPECT_FALSE(talk.at(2).view().at("n5").directPathLost);
}

TEST(Membership, AnIsolatedGatewayKnowsThatItLostContact) {
  Talk talk(plan(12));
  talk.run(15 * kS);
  const Micros since = talk.now();
  for (unsigned i = 1; i < 12; ++i) {
    talk.cut(0, i);
    talk.cut(i, 0);
  }
  talk.run(40 * kS);
  EXPECT_TRUE(talk.at(0).contactLost());
  // It declares at most those failed that it suspected before it lost contact.
  std::size_t declaredFailed = 0;
  for (const auto& event : talk.events())
    declaredFailed += event.gateway == 0 && event.at >= since && event.what.kind == Kind::Failed ? 1 : 0;
  EXPECT_LE(declaredFailed, 2U);
  EXPECT_EQ(talk.at(5).view().at("n0").state, State::Failed);
  talk.heal();
  talk.run(120 * kS);
  EXPECT_FALSE(talk.at(0).contactLost());
  EXPECT_TRUE(talk.agreed());
}

TEST(Membership, PartitionsJoinAgain) {
  Talk talk(plan(16));
  talk.run(15 * kS);
  for (unsigned a = 0; a < 8; ++a) {
    for (unsigned b = 8; b < 16; ++b) {
      talk.cut(a, b);
      talk.cut(b, a);
    }
  }
  talk.run(30 * kS);
  EXPECT_EQ(talk.at(0).view().at("n12").state, State::Failed);
  talk.heal();
  talk.run(100 * kS);
  EXPECT_TRUE(talk.agreed());
}

TEST(Membership, ARestartUnderTheSameNameIsANewIncarnation) {
  Talk talk(plan(20));
  talk.run(15 * kS);
  const Incarnation before = talk.at(3).view().at("n9").incarnation;
  talk.kill(9);
  talk.run(200 * kMs);  // before the crash is detected
  talk.start(9);
  talk.run(20 * kS);
  EXPECT_TRUE(talk.agreed());
  EXPECT_GT(talk.at(3).view().at("n9").incarnation, before);
  talk.kill(9);
  talk.run(30 * kS);  // until it was declared failed
  EXPECT_EQ(talk.at(3).view().at("n9").state, State::Failed);
  talk.start(9);
  talk.run(20 * kS);
  EXPECT_TRUE(talk.agreed());
}

TEST(Membership, AGatewayThatLeavesHasNotFailed) {
  Talk talk(plan(20));
  talk.run(15 * kS);
  const Micros since = talk.now();
  talk.leave(6);
  talk.run(20 * kS);
  EXPECT_EQ(talk.seen(Kind::Left, 6, since).second, 19U);
  EXPECT_EQ(talk.seen(Kind::Failed, 6, since).second, 0U);
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

TEST(StateUpdates, AnEndThatArrivesFirstKeepsItsIncarnationOut) {
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
