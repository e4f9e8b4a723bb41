// When a change counts as told to a gateway, term by term, and where two of them cross.
#include "emulator/notifications.h"

#include <gtest/gtest.h>

namespace heathflow::emulator {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

// A service that is up, and a gateway that started long before.
struct Told {
  Told() { told.started("n0", -100 * kS); }
  std::optional<Micros> at(Micros time, const std::string& gateway = "n0") const {
    return told.notifiedNotReadySince(gateway, "m1", time);
  }
  // The span in which the endpoint counts as not ready, looked at each 100 ms; nothing outside it.
  void expectNotReadyWithin(Micros from, Micros until, const std::string& gateway = "n0") const {
    for (Micros time = 0; time <= 40 * kS; time += 100 * kMs) {
      const bool wanted = time >= from && time < until;
      EXPECT_EQ(at(time, gateway).has_value(), wanted) << gateway << " at " << time / kMs << " ms";
      if (wanted) {
        EXPECT_EQ(at(time, gateway), from);
      }
    }
  }
  Notifications told;
};
constexpr Micros kAlways = 1000 * kS;

TEST(Notified, OfNothingAnEndpointIsReady) {
  Told site;
  site.expectNotReadyWithin(kAlways, kAlways);
}

TEST(Notified, ByAnAnswerThatIsWritten) {
  Told site;
  site.told.changed("m1", ListedState::Draining, 2 * kS);
  site.told.written("n0", 3 * kS);
  site.expectNotReadyWithin(3 * kS, kAlways);
}

TEST(Notified, ByNoAnswerThatWasWrittenBefore) {
  Told site;
  site.told.written("n0", 2 * kS);
  site.told.changed("m1", ListedState::Draining, 3 * kS);
  site.expectNotReadyWithin(9 * kS, kAlways);
}

// Calls that fail, are rejected, given up or were never made: it is the same.
TEST(Notified, SixSecondsLaterAtTheLatestOfDrainsAndRemovalsAlike) {
  for (const ListedState state : {ListedState::Draining, ListedState::Gone}) {
    Told site;
    site.told.changed("m1", state, 2 * kS);
    site.told.callFailed("n0", 3 * kS);
    site.told.callFailed("n0", 5 * kS);
    site.expectNotReadyWithin(8 * kS, kAlways);
  }
}

TEST(Notified, SixSecondsAfterTheServiceCanBeReached) {
  Told site;
  site.told.serviceDown(kS);
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.told.serviceUp(10 * kS);
  site.expectNotReadyWithin(16 * kS, kAlways);
}

TEST(Notified, OfWhatTheServiceHadBeforeItWentDownSixSecondsLater) {
  Told site;
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.told.serviceDown(3 * kS);
  site.expectNotReadyWithin(8 * kS, kAlways);
}

TEST(Notified, OfNothingWhileTheServiceIsDown) {
  Told site;
  site.told.serviceDown(kS);
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.expectNotReadyWithin(kAlways, kAlways);
}

TEST(Notified, ByASilentWatchSixSecondsAfterItFellSilent) {
  Told site;
  site.told.changed("m1", ListedState::Draining, 4 * kS);
  site.told.answerWrittenIntoCutPath("n0", 4 * kS, {3 * kS, kAlways, {}});
  site.expectNotReadyWithin(9 * kS, kAlways);
}

TEST(Notified, ByASilentLongPollTwoSecondsAfterItsWait) {
  Told site;
  site.told.changed("m1", ListedState::Draining, 4 * kS);
  site.told.answerWrittenIntoCutPath("n0", 4 * kS, {3 * kS, kAlways, 20 * kS});
  site.expectNotReadyWithin(22 * kS, kAlways);
}

TEST(Notified, ByASilentWatchAtOnceOfWhatChangesBehindItsTime) {
  Told site;
  site.told.changed("m1", ListedState::Draining, 12 * kS);
  site.told.answerWrittenIntoCutPath("n0", 12 * kS, {3 * kS, kAlways, {}});
  site.expectNotReadyWithin(12 * kS, kAlways);
}

TEST(Notified, FourSecondsAfterAMove) {
  Told site;
  site.told.changed("m1", ListedState::Draining, 2 * kS);
  site.told.moved("n0", 3 * kS);
  site.expectNotReadyWithin(7 * kS, kAlways);
}

TEST(Notified, OfWhatChangesBehindAMoveAsOfAnythingElse) {
  Told site;
  site.told.moved("n0", 2 * kS);
  site.told.changed("m1", ListedState::Draining, 3 * kS);
  site.expectNotReadyWithin(9 * kS, kAlways);
}

TEST(Notified, AtOnceWhereListsArePushed) {
  Told site;
  site.told = Notifications({.pushed = true});
  site.told.changed("m1", ListedState::Draining, 2 * kS);
  site.told.started("n0", 3 * kS);
  site.expectNotReadyWithin(3 * kS, kAlways);
}

TEST(Notified, AtTheServicesReturnWhereListsArePushed) {
  Told site;
  site.told = Notifications({.pushed = true});
  site.told.started("n0", 0);
  site.told.serviceDown(kS);
  site.told.changed("m1", ListedState::Draining, 2 * kS);
  site.told.serviceUp(5 * kS);
  site.expectNotReadyWithin(5 * kS, kAlways);
}

// ---- Returns ----

TEST(NotifiedOfAReturn, ByAnAnswer) {
  Told site;
  site.told.changed("m1", ListedState::Draining, 2 * kS);
  site.told.written("n0", 3 * kS);
  site.told.changed("m1", ListedState::Ready, 5 * kS);
  site.told.written("n0", 6 * kS);
  site.expectNotReadyWithin(3 * kS, 6 * kS);
}

// The incident's own case: back among the endpoints, but the gateway has not been told.
TEST(NotifiedOfAReturn, ByTheSameTermsAsOfTheRemoval) {
  Told site;
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.told.changed("m1", ListedState::Ready, 5 * kS);
  site.expectNotReadyWithin(8 * kS, 11 * kS);
}

TEST(NotifiedOfAReturn, WithTheRemovalInOneAnswerNothingIsLeft) {
  Told site;
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.told.changed("m1", ListedState::Ready, 5 * kS);
  site.told.written("n0", 6 * kS);
  site.expectNotReadyWithin(kAlways, kAlways);
}

TEST(NotifiedOfAReturn, AfterTheRemovalWasToldAndCallsFailSinceThen) {
  Told site;
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.told.written("n0", 3 * kS);
  site.told.changed("m1", ListedState::Ready, 5 * kS);
  site.told.callFailed("n0", 6 * kS);
  site.expectNotReadyWithin(3 * kS, 11 * kS);
}

TEST(NotifiedOfAReturn, WhileTheServiceIsDownOnlyAfterItIsBack) {
  Told site;
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.told.serviceDown(3 * kS);
  site.told.changed("m1", ListedState::Ready, 5 * kS);
  site.told.serviceUp(12 * kS);
  site.expectNotReadyWithin(8 * kS, 18 * kS);
}

// What a cut path held arrives as it is whole again: a removal still counts no earlier than the term, and a
// return from then on (soak 30030).
TEST(NotifiedOfAReturn, ByWhatACutPathHeldOnceItIsWholeAgain) {
  Told site;
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.told.written("n0", 2 * kS);
  site.told.changed("m1", ListedState::Ready, 5 * kS);
  site.told.answerWrittenIntoCutPath("n0", 5 * kS, {4 * kS, 7 * kS, {}});
  site.expectNotReadyWithin(2 * kS, 7 * kS);
}

TEST(Notified, ByWhatACutPathHeldNoEarlierThanTheTermOfARemoval) {
  Told site;
  site.told.changed("m1", ListedState::Gone, 5 * kS);
  site.told.answerWrittenIntoCutPath("n0", 5 * kS, {4 * kS, 7 * kS, {}});
  site.expectNotReadyWithin(10 * kS, kAlways);
}

TEST(NotifiedOfAReturn, AndOfASecondDrainCountsAnew) {
  Told site;
  site.told.changed("m1", ListedState::Draining, 2 * kS);
  site.told.written("n0", 2 * kS);
  site.told.changed("m1", ListedState::Ready, 4 * kS);
  site.told.written("n0", 4 * kS);
  site.told.changed("m1", ListedState::Draining, 10 * kS);
  EXPECT_EQ(site.at(3 * kS), 2 * kS);
  EXPECT_FALSE(site.at(9 * kS));
  EXPECT_EQ(site.at(17 * kS), 16 * kS);
}

// A drain and then the removal: not ready since the drain was told.
TEST(NotifiedOfARemoval, BehindADrainCountsFromTheDrain) {
  Told site;
  site.told.changed("m1", ListedState::Draining, 2 * kS);
  site.told.changed("m1", ListedState::Gone, 4 * kS);
  site.told.written("n0", 5 * kS);
  site.expectNotReadyWithin(5 * kS, kAlways);
}

// ---- Processes and gateways ----

// The list of its start may be old; from its first failed call on what is 6 s old counts.
TEST(NotifiedAtAStart, OfWhatWasBeforeItWithTheFirstCallThatFails) {
  Told site;
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.told.started("n0", 20 * kS);
  site.told.callFailed("n0", 21 * kS);
  EXPECT_FALSE(site.at(20'900 * kMs));
  EXPECT_EQ(site.at(22 * kS), 21 * kS);
}

TEST(NotifiedAtAStart, SixSecondsLaterWhereNoCallWasMade) {
  Told site;
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.told.started("n0", 20 * kS);
  EXPECT_FALSE(site.at(25'900 * kMs));
  EXPECT_EQ(site.at(27 * kS), 26 * kS);
}

TEST(NotifiedAtAStart, AnEarlierLifeIsForgotten) {
  Told site;
  site.told.changed("m1", ListedState::Draining, 2 * kS);
  site.told.written("n0", 3 * kS);
  site.told.started("n0", 4 * kS);
  EXPECT_FALSE(site.at(5 * kS));
  site.told.written("n0", 6 * kS);
  EXPECT_EQ(site.at(7 * kS), 6 * kS);
}

TEST(NotifiedAtAStart, ARestartBetweenDrainAndReturnIsToldOfBoth) {
  Told site;
  site.told.changed("m1", ListedState::Gone, 2 * kS);
  site.told.written("n0", 3 * kS);
  site.told.started("n0", 4 * kS);
  site.told.changed("m1", ListedState::Ready, 5 * kS);
  site.told.callFailed("n0", 5 * kS);
  EXPECT_FALSE(site.at(7'900 * kMs));
  EXPECT_EQ(site.at(9 * kS), 8 * kS);
  EXPECT_FALSE(site.at(11 * kS));
}

TEST(NotifiedByMoves, TheEarlierOfTwoHolds) {
  Told site;
  site.told.changed("m1", ListedState::Draining, 2 * kS);
  site.told.moved("n0", 2500 * kMs);
  site.told.moved("n0", 3500 * kMs);
  site.expectNotReadyWithin(6500 * kMs, kAlways);
}

TEST(Notified, EachGatewayForItself) {
  Told site;
  site.told.started("n1", -100 * kS);
  site.told.changed("m1", ListedState::Draining, 2 * kS);
  site.told.written("n1", 3 * kS);
  site.expectNotReadyWithin(8 * kS, kAlways, "n0");
  site.expectNotReadyWithin(3 * kS, kAlways, "n1");
}

}  // namespace
}  // namespace heathflow::emulator
