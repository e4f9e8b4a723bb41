// Who of the gateways is there: many of them under a virtual clock, with losses, pauses, cuts and deaths.
#include <gtest/gtest.h>

#include <algorithm>

#include "fleet/talk.h"
#include "membership/detector.h"

namespace heathflow::membership {
namespace {

using fleet::Talk;
using fleet::TalkPlan;
using Kind = Happened::Kind;

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

TEST(Members, ThatStartTogetherFindEachOtherBySeeds) {
  for (const unsigned gateways : {2U, 5U, 60U}) {
    Talk talk(plan(gateways));
    talk.run(15 * kS);
    EXPECT_TRUE(talk.agreed()) << gateways;
    EXPECT_EQ(count(talk, Kind::Failed, 0), 0U);
  }
}

TEST(Members, ADeathIsKnownEverywhereWithinSeconds) {
  Talk talk(plan(100));
  talk.run(20 * kS);
  ASSERT_TRUE(talk.agreed());
  const Micros died = talk.now();
  talk.kill(7);
  talk.run(20 * kS);
  const auto [last, by] = talk.seen(Kind::Failed, 7, died);
  EXPECT_EQ(by, 99U);
  EXPECT_LT(last - died, 10 * kS);
  EXPECT_TRUE(talk.agreed());
}

TEST(Members, SevenInTenThatDieAtOnceAreAllKnown) {
  Talk talk(plan(50));
  talk.run(20 * kS);
  for (unsigned i = 0; i < 35; ++i) talk.kill(i);
  talk.run(60 * kS);
  EXPECT_TRUE(talk.agreed());
  for (unsigned i = 35; i < 50; ++i) EXPECT_EQ(talk.at(i).living(), 14U);
}

TEST(Members, LossAndDoublesAreNoDeaths) {
  TalkPlan lossy = plan(40, 3);
  Talk talk(lossy);
  talk.run(15 * kS);
  talk.setLoss(0.2);
  const Micros since = talk.now();
  talk.run(120 * kS);
  EXPECT_EQ(count(talk, Kind::Failed, since), 0U);
}

TEST(Members, OneThatStoodStillAccusesNobodyAndIsBack) {
  for (const Micros pause : {500 * kMs, 2 * kS, 20 * kS}) {
    Talk talk(plan(30));
    talk.run(15 * kS);
    ASSERT_TRUE(talk.agreed());
    talk.pause(4);
    talk.run(pause);
    const Micros woke = talk.now();
    talk.resume(4);
    talk.run(20 * kS);
    EXPECT_TRUE(talk.agreed()) << pause;
    for (const auto& event : talk.events()) {
      const bool own = event.at >= woke && event.gateway == 4;
      EXPECT_FALSE(own && event.what.kind == Kind::Failed) << event.what.name;
    }
  }
}

TEST(Members, ACutBetweenTwoIsNoDeathAndIsToldApart) {
  Talk talk(plan(12));
  talk.run(15 * kS);
  const Micros since = talk.now();
  talk.cut(2, 5);
  talk.run(60 * kS);
  EXPECT_EQ(count(talk, Kind::Failed, since), 0U);
  EXPECT_TRUE(talk.at(2).view().at("n5").cut);
  EXPECT_FALSE(talk.at(3).view().at("n5").cut);
  talk.heal();
  talk.run(40 * kS);
  EXPECT_FALSE(talk.at(2).view().at("n5").cut);
}

TEST(Members, OneThatReachesNobodyDoubtsItself) {
  Talk talk(plan(12));
  talk.run(15 * kS);
  const Micros since = talk.now();
  for (unsigned i = 1; i < 12; ++i) {
    talk.cut(0, i);
    talk.cut(i, 0);
  }
  talk.run(40 * kS);
  EXPECT_TRUE(talk.at(0).unsure());
  // At the most what it began to suspect before it knew better.
  std::size_t accused = 0;
  for (const auto& event : talk.events())
    accused += event.gateway == 0 && event.at >= since && event.what.kind == Kind::Failed ? 1 : 0;
  EXPECT_LE(accused, 2U);
  EXPECT_EQ(talk.at(5).view().at("n0").state, State::Failed);
  talk.heal();
  talk.run(120 * kS);
  EXPECT_FALSE(talk.at(0).unsure());
  EXPECT_TRUE(talk.agreed());
}

TEST(Members, HalvesThatGrewApartFindEachOtherAgain) {
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

TEST(Members, ARestartUnderTheSameNameIsANewLife) {
  Talk talk(plan(20));
  talk.run(15 * kS);
  const Life before = talk.at(3).view().at("n9").life;
  talk.kill(9);
  talk.run(200 * kMs);  // before anyone noticed
  talk.start(9);
  talk.run(20 * kS);
  EXPECT_TRUE(talk.agreed());
  EXPECT_GT(talk.at(3).view().at("n9").life, before);
  talk.kill(9);
  talk.run(30 * kS);  // and after it was declared failed
  EXPECT_EQ(talk.at(3).view().at("n9").state, State::Failed);
  talk.start(9);
  talk.run(20 * kS);
  EXPECT_TRUE(talk.agreed());
}

TEST(Members, OneThatLeavesHasLeftAndHasNotFailed) {
  Talk talk(plan(20));
  talk.run(15 * kS);
  const Micros since = talk.now();
  talk.leave(6);
  talk.run(20 * kS);
  EXPECT_EQ(talk.seen(Kind::Left, 6, since).second, 19U);
  EXPECT_EQ(talk.seen(Kind::Failed, 6, since).second, 0U);
}

// ---- Words, one by one ----

struct Alone {
  Alone() : detector(settings(), kS) {}
  static DetectorSettings settings() {
    DetectorSettings out;
    out.name = out.address = "me";
    return out;
  }
  void say(State state, std::uint64_t start, std::uint32_t number = 0, const std::string& name = "x") {
    Message message;
    message.kind = Message::Kind::Exchanged;
    message.from = "y";
    message.words = {{name, name, {start, start}, number, state, "y"}};
    detector.hear(2 * kS, "y", message, out);
  }
  State state() { return detector.view().at("x").state; }
  Detector detector;
  std::vector<Sending> out;
};

TEST(Words, AnEndedLifeNeverComesBackAndALaterOneDoes) {
  Alone one;
  one.say(State::Alive, 5);
  EXPECT_EQ(one.state(), State::Alive);
  one.say(State::Failed, 5);
  one.say(State::Alive, 5, 9);
  EXPECT_EQ(one.state(), State::Failed);
  one.say(State::Alive, 4);
  EXPECT_EQ(one.state(), State::Failed);
  one.say(State::Alive, 6);
  EXPECT_EQ(one.state(), State::Alive);
}

TEST(Words, AnEndThatWasHeardFirstKeepsItsLifeOut) {
  Alone one;
  one.say(State::Failed, 5);
  one.say(State::Alive, 5, 3);
  EXPECT_EQ(one.state(), State::Failed);
}

TEST(Words, ARefutationHasAHigherNumberThanTheSuspicion) {
  Alone one;
  one.say(State::Alive, 5);
  one.say(State::Suspected, 5, 0);
  EXPECT_EQ(one.state(), State::Suspected);
  one.say(State::Alive, 5, 0);
  EXPECT_EQ(one.state(), State::Suspected);
  one.say(State::Alive, 5, 1);
  EXPECT_EQ(one.state(), State::Alive);
  one.say(State::Suspected, 5, 0);
  EXPECT_EQ(one.state(), State::Alive) << "an old suspicion";
  one.say(State::Failed, 5, 0);
  EXPECT_EQ(one.state(), State::Alive) << "and what came of it";
}

TEST(Words, WhoIsCalledDeadBeginsANewLifeAndWhoIsSuspectedRefutes) {
  Alone one;
  const Life before = one.detector.life();
  Message message;
  message.kind = Message::Kind::Ping;
  message.from = "y";
  message.words = {{"me", "me", before, 0, State::Suspected, "y"}};
  one.detector.hear(2 * kS, "y", message, one.out);
  ASSERT_FALSE(one.out.empty());
  EXPECT_EQ(one.out.back().message.words[0].number, 1U);
  EXPECT_EQ(one.detector.life(), before);
  message.words[0].state = State::Failed;
  message.words[0].number = 1;
  one.detector.hear(3 * kS, "y", message, one.out);
  EXPECT_GT(one.detector.life(), before);
}

TEST(Words, TwoOfOneNameAreBothTold) {
  Alone one;
  one.say(State::Alive, 50 * kS, 0, "me");
  bool told = false;
  for (const auto& event : one.detector.events()) told = told || event.kind == Kind::Twin;
  EXPECT_TRUE(told);
}

}  // namespace
}  // namespace heathflow::membership
