// Tests which observations the judge reports as a breach, and of which rule.
#include "emulator/judge.h"

#include <gtest/gtest.h>

namespace heathflow::emulator {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;

Judge::ClientRequest read(const std::string& id, Micros at = 0) {
  Judge::ClientRequest out;
  out.id = id;
  out.gateway = "n0";
  out.at = at;
  out.patience = 500 * kMs;
  out.bound = 3 * kS;
  return out;
}

TEST(JudgeTest, AcceptsAServedRequest) {
  Judge judge;
  judge.requestSent(read("1", 10 * kS));
  judge.attemptReceived("1", "m1", 10 * kS, 8 * kS);
  judge.requestExecuted("1", "m1", 10 * kS);
  judge.requestAnswered("1", 10 * kS + 20 * kMs, RequestResult::Served);
  EXPECT_TRUE(judge.finish(20 * kS).empty()) << judge.verdict();
  EXPECT_EQ(judge.byAnswer(RequestResult::Served), 1U);
}

TEST(JudgeTest, ReportsMissingLateDuplicateAndUnknownAnswers) {
  Judge judge;
  judge.requestSent(read("missing"));
  judge.requestSent(read("late"));
  judge.requestAnswered("late", kS, RequestResult::Rejected);
  judge.requestSent(read("double"));
  judge.requestAnswered("double", kMs, RequestResult::Rejected);
  judge.requestAnswered("double", 2 * kMs, RequestResult::Failed);
  judge.requestAnswered("unasked", kMs, RequestResult::Served);
  judge.requestSent(read("broken"));
  judge.requestAnswered("broken", kMs, RequestResult::Broken);
  judge.requestSent(read("made up"));
  judge.requestAnswered("made up", kMs, RequestResult::Served);
  judge.requestSent(read("left"));
  judge.clientDisconnected("left", kMs);
  judge.finish(10 * kS);
  EXPECT_EQ(judge.count(Rule::OneAnswer), 6U) << judge.verdict();
}

TEST(JudgeTest, ExemptsRequestsOfAKilledGateway) {
  Judge judge;
  judge.requestSent(read("held", kS));
  judge.gatewayKilled("n0", 2 * kS);
  judge.requestSent(read("after", 3 * kS));
  judge.finish(10 * kS);
  ASSERT_EQ(judge.breaches().size(), 1U);
  EXPECT_NE(judge.breaches()[0].what.find("after"), std::string::npos);
}

TEST(JudgeTest, ReportsSecondEffectsAndRejectionsOfRequestsThatMayHaveRun) {
  Judge judge;
  Judge::ClientRequest write = read("w");
  write.bound.reset();
  write.repeatable = write.rejectable = false;
  judge.requestSent(write);
  judge.attemptReceived("w", "m0", kMs, 0);
  judge.requestExecuted("w", "m0", 2 * kMs);
  judge.requestAnswered("w", 3 * kMs, RequestResult::Rejected);
  EXPECT_EQ(judge.count(Rule::NoSecondEffect), 1U);
  judge.attemptReceived("w", "m1", 4 * kMs, 0);
  judge.requestExecuted("w", "m1", 5 * kMs);
  EXPECT_EQ(judge.count(Rule::NoSecondEffect), 2U);
}

// A rejection promises that there will be no effect either.
TEST(JudgeTest, ReportsAttemptsAfterARejection) {
  Judge judge;
  Judge::ClientRequest write = read("w");
  write.bound.reset();
  write.repeatable = write.rejectable = false;
  judge.requestSent(write);
  judge.requestAnswered("w", kMs, RequestResult::Rejected);
  EXPECT_EQ(judge.count(Rule::NoSecondEffect), 0U);
  judge.attemptReceived("w", "m0", 2 * kMs, 0);
  EXPECT_EQ(judge.count(Rule::NoSecondEffect), 1U);
}

TEST(JudgeTest, ReportsAttemptsAfterADisconnectAndTooLongForwardedTimeouts) {
  Judge judge;
  judge.requestSent(read("a"));
  judge.clientDisconnected("a", 10 * kMs);
  judge.attemptReceived("a", "m0", 100 * kMs, 100 * kMs);
  EXPECT_EQ(judge.count(Rule::NoAttemptAfterDisconnect), 0U);
  judge.attemptSent("a", "m1", 161 * kMs);
  judge.attemptReceived("a", "m1", 900 * kMs, 900 * kMs);
  EXPECT_EQ(judge.count(Rule::NoAttemptAfterDisconnect), 1U);
  judge.requestSent(read("b"));
  const Micros patience = read("b").patience;
  judge.attemptReceived("b", "m0", kMs, kMs, patience);
  EXPECT_EQ(judge.count(Rule::TimeoutForwarded), 0U);
  judge.attemptReceived("b", "m0", kMs, kMs, patience + 250 * kMs);
  EXPECT_EQ(judge.count(Rule::TimeoutForwarded), 1U);
}

TEST(JudgeTest, ReportsOpenRequestsOfAGatewayAtItsEnd) {
  Judge judge;
  judge.requestSent(read("a"));
  judge.gatewayEndedWithOpenRequests(read("a").gateway, kMs);
  EXPECT_EQ(judge.count(Rule::OneAnswer), 1U);
}

TEST(JudgeTest, ReportsAttemptsToDrainingEndpointsStaleReadsAndOverloadInSlowStart) {
  Judge judge;
  judge.notifications().gatewayStarted("n0", 0);
  judge.notifications().endpointChanged("m1", ListedState::Draining, kS);
  judge.notifications().answerWritten("n0", kS);
  judge.requestSent(read("d", kS));
  judge.attemptReceived("d", "m1", kS + 200 * kMs, kS);
  EXPECT_EQ(judge.count(Rule::DrainsRespected), 0U);
  judge.attemptReceived("d", "m1", kS + 400 * kMs, kS);
  EXPECT_EQ(judge.count(Rule::DrainsRespected), 1U);
  judge.requestSent(read("s", 10 * kS));
  judge.attemptReceived("s", "m2", 10 * kS, 7 * kS - 1);
  EXPECT_EQ(judge.count(Rule::NoStaleRead), 1U);
  judge.endpointWarmingUp("m3", 20 * kS,
                          2);  // 4 in a window, 10 with the multiple, 22 with the allowance for chance
  for (int i = 0; i < 22; ++i)
    judge.attemptReceived("c" + std::to_string(i), "m3", 20 * kS + i * kMs, 20 * kS);
  EXPECT_EQ(judge.count(Rule::SlowStartRespected), 0U);
  judge.attemptReceived("c22", "m3", 20 * kS + 11 * kMs, 20 * kS);
  EXPECT_EQ(judge.count(Rule::SlowStartRespected), 1U);
  judge.attemptReceived("c23", "m3", 23 * kS, 20 * kS);
  EXPECT_EQ(judge.count(Rule::SlowStartRespected), 1U) << "the window has passed";
}

// Guards against renaming keys of the JSON results when the code is renamed.
TEST(JudgeTest, NamesOfRulesAreTheKeysOfTheResults) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < kRules; ++i) names.emplace_back(nameOf(static_cast<Rule>(i)));
  EXPECT_EQ(names, (std::vector<std::string>{"one answer", "no second effect", "drains kept",
                                             "cold members spared", "no stale read",
                                             "nothing for the departed", "time told", "invariants kept"}));
}

}  // namespace
}  // namespace heathflow::emulator
