// Tests which requests are rejected on arrival.
#include <gtest/gtest.h>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

TEST(AdmissionControl, ARequestPastItsDeadlineIsRejectedAtOnce) {
  PolicyHarnessWithKnownGroup harness;
  const auto late = harness.sendRequest(kEventualRead, -kMs);
  EXPECT_EQ(harness.rejections(late), 1);
  EXPECT_TRUE(harness.sentTo(late).empty());
}

TEST(AdmissionControl, RequestsOfUnknownGroupsAndClassesAreRejectedAtOnce) {
  PolicyHarness harness;
  harness.listUsualGroup();
  // A group that only a client names is not stored, and its requests are not queued.
  const auto group = harness.sendRequest(kUnsafeWrite, 400 * kMs, {}, 0, 99);
  EXPECT_EQ(harness.rejections(group), 1);
  const auto index = harness.sendRequest(77);
  EXPECT_EQ(harness.rejections(index), 1);
  harness.advance(400 * kMs);
  EXPECT_EQ(harness.rejections(group), 1);
}

TEST(AdmissionControl, AnOverloadedGroupShedsMostRequestsUntilItServesAgain) {
  PolicyHarnessWithKnownGroup harness;
  const auto countSent = [&harness](bool overloaded) {
    int sent = 0;
    for (int i = 0; i < 40; ++i) {
      harness.advance(kS);
      harness.clearActions();
      harness.reportUsualState();
      const auto read = harness.sendRequest(kEventualRead, 600 * kMs);
      if (harness.sentTo(read).empty()) {
        EXPECT_EQ(harness.rejections(read), 1);
        continue;
      }
      ++sent;
      harness.now += overloaded ? 600 * kMs : 50 * kMs;
      harness.endAttempt(read, 0, overloaded ? AttemptOutcome::TimedOut : AttemptOutcome::Ok, Role::Replica,
                         {}, 50 * kMs);
    }
    return sent;
  };
  EXPECT_EQ(countSent(false), 40);
  EXPECT_LT(countSent(true), 25);
  EXPECT_GT(countSent(false), 30);
}

TEST(AdmissionControl, AnOverloadDoesNotShedAllRequests) {
  PolicyHarnessWithKnownGroup harness;
  // All earlier answers were far too late.
  for (int i = 0; i < 60; ++i) {
    const auto read = harness.sendRequest(kStrongRead);
    harness.endAttempt(read, 0, AttemptOutcome::Ok, Role::Primary, {}, 900 * kMs);
  }
  harness.now += 600 * kMs;
  EXPECT_EQ(harness.sentTo(harness.sendRequest(kStrongRead)).size(), 1U);
}

TEST(AdmissionControl, AttemptsOfDisconnectedClientsAreCancelledAndCountAsNotServed) {
  PolicyHarnessWithKnownGroup harness;
  int sent = 0;
  for (int i = 0; i < 40; ++i) {
    harness.advance(kS);
    harness.clearActions();
    harness.reportUsualState();
    const auto read = harness.sendRequest(kEventualRead, 600 * kMs);
    if (harness.sentTo(read).empty()) continue;
    ++sent;
    harness.handle(ClientDisconnected{read});
    ASSERT_EQ(harness.actionsOf<CancelAttempt>().size(), 1U);
    EXPECT_EQ(harness.actionsOf<CancelAttempt>()[0].request, read);
    harness.endAttempt(read, 0, AttemptOutcome::Cancelled);
    EXPECT_EQ(harness.rejections(read) + harness.failures(read), 0);
  }
  EXPECT_LT(sent, 25);
}

TEST(AdmissionControl, NothingIsCancelledWhereCancellationIsForbidden) {
  PolicySettings settings = makeSettings();
  settings.cancellationAllowed = false;
  PolicyHarnessWithKnownGroup harness(settings);
  const auto read = harness.sendRequest(kEventualRead);
  harness.handle(ClientDisconnected{read});
  EXPECT_TRUE(harness.actionsOf<CancelAttempt>().empty());
}

}  // namespace
}  // namespace heathflow::test
