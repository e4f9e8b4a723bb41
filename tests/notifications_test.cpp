// Tests from when on a change of the endpoint list counts as known to a gateway: each term alone, and terms
// that overlap.
#include "emulator/notifications.h"

#include <gtest/gtest.h>

namespace heathflow::emulator {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

// A list service that is up, and a gateway that started long before.
struct NotificationTest {
  NotificationTest() { model.gatewayStarted("n0", -100 * kS); }
  std::optional<Micros> at(Micros time, const std::string& gateway = "n0") const {
    return model.notifiedNotReadySince(gateway, "m1", time);
  }
  // Expects that the endpoint counts as not ready from 'from' until 'until' and at no other time; checked
  // every 100 ms.
  void expectNotReadyWithin(Micros from, Micros until, const std::string& gateway = "n0") const {
    for (Micros time = 0; time <= 40 * kS; time += 100 * kMs) {
      const bool wanted = time >= from && time < until;
      EXPECT_EQ(at(time, gateway).has_value(), wanted) << gateway << " at " << time / kMs << " ms";
      if (wanted) {
        EXPECT_EQ(at(time, gateway), from);
      }
    }
  }
  Notifications model;
};
constexpr Micros kAlways = 1000 * kS;

TEST(Notified, WithoutAChangeTheEndpointStaysReady) {
  NotificationTest test;
  test.expectNotReadyWithin(kAlways, kAlways);
}

TEST(Notified, ByAnAnswerWrittenAfterTheChange) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Draining, 2 * kS);
  test.model.answerWritten("n0", 3 * kS);
  test.expectNotReadyWithin(3 * kS, kAlways);
}

TEST(Notified, ByNoAnswerWrittenBeforeTheChange) {
  NotificationTest test;
  test.model.answerWritten("n0", 2 * kS);
  test.model.endpointChanged("m1", ListedState::Draining, 3 * kS);
  test.expectNotReadyWithin(9 * kS, kAlways);
}

// Whether calls fail, are rejected, are given up or were never made makes no difference.
TEST(Notified, OfDrainsAndRemovalsSixSecondsLaterAtTheLatest) {
  for (const ListedState state : {ListedState::Draining, ListedState::Gone}) {
    NotificationTest test;
    test.model.endpointChanged("m1", state, 2 * kS);
    test.model.callFailed("n0", 3 * kS);
    test.model.callFailed("n0", 5 * kS);
    test.expectNotReadyWithin(8 * kS, kAlways);
  }
}

TEST(Notified, SixSecondsAfterTheServiceCanBeReached) {
  NotificationTest test;
  test.model.serviceDown(kS);
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.model.serviceUp(10 * kS);
  test.expectNotReadyWithin(16 * kS, kAlways);
}

TEST(Notified, OfAChangeBeforeAnOutageSixSecondsLater) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.model.serviceDown(3 * kS);
  test.expectNotReadyWithin(8 * kS, kAlways);
}

TEST(Notified, OfNothingWhileTheServiceIsDown) {
  NotificationTest test;
  test.model.serviceDown(kS);
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.expectNotReadyWithin(kAlways, kAlways);
}

TEST(Notified, ByAWatchOverACutPathSixSecondsAfterTheCut) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Draining, 4 * kS);
  test.model.answerWrittenIntoCutPath("n0", 4 * kS, {3 * kS, kAlways, {}});
  test.expectNotReadyWithin(9 * kS, kAlways);
}

TEST(Notified, ByALongPollOverACutPathTwoSecondsAfterItsWait) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Draining, 4 * kS);
  test.model.answerWrittenIntoCutPath("n0", 4 * kS, {3 * kS, kAlways, 20 * kS});
  test.expectNotReadyWithin(22 * kS, kAlways);
}

TEST(Notified, AtOnceOfAChangeLongAfterTheWatchWasCut) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Draining, 12 * kS);
  test.model.answerWrittenIntoCutPath("n0", 12 * kS, {3 * kS, kAlways, {}});
  test.expectNotReadyWithin(12 * kS, kAlways);
}

TEST(Notified, FourSecondsAfterAMove) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Draining, 2 * kS);
  test.model.serviceMoved("n0", 3 * kS);
  test.expectNotReadyWithin(7 * kS, kAlways);
}

TEST(Notified, OfAChangeAfterAMoveSixSecondsLater) {
  NotificationTest test;
  test.model.serviceMoved("n0", 2 * kS);
  test.model.endpointChanged("m1", ListedState::Draining, 3 * kS);
  test.expectNotReadyWithin(9 * kS, kAlways);
}

TEST(Notified, AtOnceWhereListsArePushed) {
  NotificationTest test;
  test.model = Notifications({.pushed = true});
  test.model.endpointChanged("m1", ListedState::Draining, 2 * kS);
  test.model.gatewayStarted("n0", 3 * kS);
  test.expectNotReadyWithin(3 * kS, kAlways);
}

TEST(Notified, WhenTheServiceIsBackWhereListsArePushed) {
  NotificationTest test;
  test.model = Notifications({.pushed = true});
  test.model.gatewayStarted("n0", 0);
  test.model.serviceDown(kS);
  test.model.endpointChanged("m1", ListedState::Draining, 2 * kS);
  test.model.serviceUp(5 * kS);
  test.expectNotReadyWithin(5 * kS, kAlways);
}

// ---- Returns ----

TEST(NotifiedOfAReturn, ByAnAnswer) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Draining, 2 * kS);
  test.model.answerWritten("n0", 3 * kS);
  test.model.endpointChanged("m1", ListedState::Ready, 5 * kS);
  test.model.answerWritten("n0", 6 * kS);
  test.expectNotReadyWithin(3 * kS, 6 * kS);
}

// The endpoint is ready again, but no answer has reported that to the gateway.
TEST(NotifiedOfAReturn, SixSecondsLaterAsOfTheRemoval) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.model.endpointChanged("m1", ListedState::Ready, 5 * kS);
  test.expectNotReadyWithin(8 * kS, 11 * kS);
}

TEST(NotifiedOfAReturn, WithTheRemovalInOneAnswerTheEndpointStaysReady) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.model.endpointChanged("m1", ListedState::Ready, 5 * kS);
  test.model.answerWritten("n0", 6 * kS);
  test.expectNotReadyWithin(kAlways, kAlways);
}

TEST(NotifiedOfAReturn, AfterTheRemovalWhileCallsFail) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.model.answerWritten("n0", 3 * kS);
  test.model.endpointChanged("m1", ListedState::Ready, 5 * kS);
  test.model.callFailed("n0", 6 * kS);
  test.expectNotReadyWithin(3 * kS, 11 * kS);
}

TEST(NotifiedOfAReturn, WhileTheServiceIsDownOnlyAfterItIsBack) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.model.serviceDown(3 * kS);
  test.model.endpointChanged("m1", ListedState::Ready, 5 * kS);
  test.model.serviceUp(12 * kS);
  test.expectNotReadyWithin(8 * kS, 18 * kS);
}

// An answer that a cut holds back arrives when the cut ends. A removal in it still counts no earlier than by
// the term, but a return counts from the end of the cut on (found by the fault soak, seed 30030).
TEST(NotifiedOfAReturn, ByAnAnswerOverACutPathAtItsEnd) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.model.answerWritten("n0", 2 * kS);
  test.model.endpointChanged("m1", ListedState::Ready, 5 * kS);
  test.model.answerWrittenIntoCutPath("n0", 5 * kS, {4 * kS, 7 * kS, {}});
  test.expectNotReadyWithin(2 * kS, 7 * kS);
}

TEST(Notified, ByAnAnswerOverACutPathNoEarlierThanSixSecondsAfterTheCut) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Gone, 5 * kS);
  test.model.answerWrittenIntoCutPath("n0", 5 * kS, {4 * kS, 7 * kS, {}});
  test.expectNotReadyWithin(10 * kS, kAlways);
}

TEST(NotifiedOfAReturn, AndOfASecondDrainSixSecondsLater) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Draining, 2 * kS);
  test.model.answerWritten("n0", 2 * kS);
  test.model.endpointChanged("m1", ListedState::Ready, 4 * kS);
  test.model.answerWritten("n0", 4 * kS);
  test.model.endpointChanged("m1", ListedState::Draining, 10 * kS);
  EXPECT_EQ(test.at(3 * kS), 2 * kS);
  EXPECT_FALSE(test.at(9 * kS));
  EXPECT_EQ(test.at(17 * kS), 16 * kS);
}

TEST(NotifiedOfARemoval, AfterADrainByTheNextAnswer) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Draining, 2 * kS);
  test.model.endpointChanged("m1", ListedState::Gone, 4 * kS);
  test.model.answerWritten("n0", 5 * kS);
  test.expectNotReadyWithin(5 * kS, kAlways);
}

// ---- Processes and gateways ----

TEST(NotifiedAtAStart, OfEarlierChangesWithTheFirstCallThatFails) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.model.gatewayStarted("n0", 20 * kS);
  test.model.callFailed("n0", 21 * kS);
  EXPECT_FALSE(test.at(20'900 * kMs));
  EXPECT_EQ(test.at(22 * kS), 21 * kS);
}

TEST(NotifiedAtAStart, SixSecondsLaterWhereNoCallWasMade) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.model.gatewayStarted("n0", 20 * kS);
  EXPECT_FALSE(test.at(25'900 * kMs));
  EXPECT_EQ(test.at(27 * kS), 26 * kS);
}

TEST(NotifiedAtAStart, AnEarlierIncarnationDoesNotCount) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Draining, 2 * kS);
  test.model.answerWritten("n0", 3 * kS);
  test.model.gatewayStarted("n0", 4 * kS);
  EXPECT_FALSE(test.at(5 * kS));
  test.model.answerWritten("n0", 6 * kS);
  EXPECT_EQ(test.at(7 * kS), 6 * kS);
}

TEST(NotifiedAtAStart, ARestartBetweenRemovalAndReturnIsNotifiedOfBoth) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Gone, 2 * kS);
  test.model.answerWritten("n0", 3 * kS);
  test.model.gatewayStarted("n0", 4 * kS);
  test.model.endpointChanged("m1", ListedState::Ready, 5 * kS);
  test.model.callFailed("n0", 5 * kS);
  EXPECT_FALSE(test.at(7'900 * kMs));
  EXPECT_EQ(test.at(9 * kS), 8 * kS);
  EXPECT_FALSE(test.at(11 * kS));
}

TEST(NotifiedByMoves, TheEarlierOfTwoMovesCounts) {
  NotificationTest test;
  test.model.endpointChanged("m1", ListedState::Draining, 2 * kS);
  test.model.serviceMoved("n0", 2500 * kMs);
  test.model.serviceMoved("n0", 3500 * kMs);
  test.expectNotReadyWithin(6500 * kMs, kAlways);
}

TEST(Notified, EachGatewaySeparately) {
  NotificationTest test;
  test.model.gatewayStarted("n1", -100 * kS);
  test.model.endpointChanged("m1", ListedState::Draining, 2 * kS);
  test.model.answerWritten("n1", 3 * kS);
  test.expectNotReadyWithin(8 * kS, kAlways, "n0");
  test.expectNotReadyWithin(3 * kS, kAlways, "n1");
}

}  // namespace
}  // namespace heathflow::emulator
