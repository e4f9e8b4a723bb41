// Tests how many requests a gateway has in flight at an endpoint.
#include <gtest/gtest.h>

#include "policy_harness.h"

namespace heathflow::test {
namespace {

TEST(ConcurrencyLimit, ManyGatewaysStartWithSmallerLimits) {
  const auto sentAtOnce = [](unsigned gateways) {
    PolicySettings settings = makeSettings();
    settings.gatewayCount = gateways;
    PolicyHarnessWithKnownGroup harness(settings);
    for (int i = 0; i < 60; ++i) harness.sendRequest(kStrongRead);
    return harness.actionsOf<SendAttempt>().size();
  };
  EXPECT_GE(sentAtOnce(24), 1U);
  EXPECT_LE(sentAtOnce(24) * 12, sentAtOnce(1));
}

TEST(ConcurrencyLimit, LateAnswersShrinkTheLimit) {
  const auto queuedAfter = [](Micros elapsed) {
    PolicyHarnessWithKnownGroup harness;
    for (int i = 0; i < 60; ++i) {
      harness.now += kMs;
      const auto read = harness.sendRequest(kEventualRead);
      harness.endAttempt(read, 0, AttemptOutcome::Ok, Role::Replica, {}, elapsed);
    }
    harness.clearActions();
    for (int i = 0; i < 40; ++i) harness.sendRequest(kEventualRead);
    return 40 - static_cast<int>(harness.actionsOf<SendAttempt>().size());
  };
  EXPECT_GT(queuedAfter(290 * kMs), queuedAfter(20 * kMs));
}

TEST(ConcurrencyLimit, ALimitBelowOneSpacesRequestsOut) {
  PolicyHarnessWithKnownGroup harness;
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    harness.now += 10 * kMs;
    const auto read = harness.sendRequest(kStrongRead);
    if (harness.sentTo(read).empty()) continue;
    ++sent;
    harness.endAttempt(read, 0, AttemptOutcome::Ok, Role::Primary, {}, 290 * kMs);
    harness.clearActions();
  }
  EXPECT_GT(sent, 10);
  EXPECT_LT(sent, 100);
}

// Failure: hundreds of gateways together overload an endpoint although each sends only single requests.
TEST(ConcurrencyLimit, ManyGatewaysSpaceRequestsOutFurther) {
  const auto sentBy = [](unsigned gateways) {
    PolicySettings settings = makeSettings();
    settings.gatewayCount = gateways;
    PolicyHarness harness(settings);
    harness.updateEndpoints({makeEndpoint(1, true)});
    std::size_t sent = 0;
    for (int i = 0; i < 3000; ++i) {
      harness.healthCheckOk(1, Role::Primary, harness.now);
      harness.sendRequest(kStrongRead);
      harness.advance(10 * kMs);
      const auto attempts = harness.actionsOf<SendAttempt>();
      if (i >= 2000) sent += attempts.size();
      harness.clearActions();
      for (const SendAttempt& a : attempts)
        harness.endAttempt(a.request, 0, AttemptOutcome::Ok, Role::Primary, {}, 290 * kMs);
    }
    return sent;
  };
  EXPECT_LT(2 * sentBy(240), sentBy(24));
}

TEST(ConcurrencyLimit, AClientRetryGetsOnlySpareCapacity) {
  const auto answerTo = [](bool repeat, int before) {
    PolicyHarnessWithKnownGroup harness;
    for (int i = 0; i < before; ++i) harness.sendRequest(kStrongRead);
    Request r;
    r.id = ++harness.lastId;
    r.group = 1;
    r.classIndex = kStrongRead;
    r.isClientRetry = repeat;
    r.deadline = harness.now + kS;
    harness.handle(RequestArrived{r});
    return std::pair(harness.sentTo(r.id).size(), harness.rejections(r.id));
  };
  EXPECT_EQ(answerTo(true, 0), std::pair(std::size_t{1}, 0));
  EXPECT_EQ(answerTo(true, 40), std::pair(std::size_t{0}, 1));
  EXPECT_EQ(answerTo(false, 40), std::pair(std::size_t{0}, 0));
}

}  // namespace
}  // namespace heathflow::test
