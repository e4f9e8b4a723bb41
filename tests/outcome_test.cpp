// The table of PROTOCOL: what the end of an exchange means, at each stage of an attempt.
#include "routing/outcome.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "protocol/pg_protocol.h"
#include "standins/gateway_rig.h"

namespace heathflow::routing {
namespace {

namespace pg = test::pg;
using Cause = upstream::ExchangeEnd::Cause;

constexpr Micros kNow = 1767225601000000;

// Endpoints' clocks that agree with ours, as a primary has told.
wallclock::EndpointTime& agreeingClocks() {
  static wallclock::EndpointTime only;
  only = {};
  (void)only.heard(kNow, kNow, true);
  return only;
}

settings::InstanceSettings socketSettings() { return settings::parseSettings(test::settingsText({})); }

// An endpoint's answer to one query, as the client side read it.
struct Read {
  explicit Read(const std::string& answerBytes) : bytes(answerBytes) {
    transport::Buffer out(1024);
    client.feed(pg::welcome(), false, out);
    client.dropped();
    client.askHealthCheck(out);
    client.feed(bytes, false, out);
  }
  upstream::ExchangeEnd end(Cause cause = Cause::Answered,
                            upstream::Stage stage = upstream::Stage::Answering) const {
    return {cause, stage, &client.answer(), bytes};
  }
  std::string bytes;
  protocol::PgEndpointSide client;
};

TEST(OutcomeTable, NothingHasRunBeforeTheLastByteIsWritten) {
  for (const upstream::Stage stage : {upstream::Stage::Connecting, upstream::Stage::PartlyWritten}) {
    EXPECT_EQ(outcomeOf({Cause::Broken, stage, nullptr, {}}), AttemptOutcome::ConnectFailed);
  }
  const Read turnedDown(pg::error("53300", "FATAL"));
  EXPECT_EQ(outcomeOf(turnedDown.end(Cause::TurnedDown, upstream::Stage::Connecting)),
            AttemptOutcome::ConnectFailed);
  EXPECT_EQ(outcomeOf({Cause::Unwanted, upstream::Stage::Connecting, nullptr, {}}), AttemptOutcome::NotSent);
}

TEST(OutcomeTable, ABreakBehindItMayHaveRun) {
  for (const upstream::Stage stage : {upstream::Stage::Written, upstream::Stage::Answering}) {
    EXPECT_EQ(outcomeOf({Cause::Broken, stage, nullptr, {}}), AttemptOutcome::ConnectionReset);
  }
}

// Guards endpoints against being left alone, and then taken for cold, for an answer that can't be read.
TEST(OutcomeTable, AMalformedAnswerMayHaveRunAndIsNoReset) {
  for (const upstream::Stage stage : {upstream::Stage::Written, upstream::Stage::Answering}) {
    EXPECT_EQ(outcomeOf({Cause::Malformed, stage, nullptr, {}}), AttemptOutcome::Malformed);
  }
  for (const upstream::Stage stage : {upstream::Stage::Connecting, upstream::Stage::PartlyWritten}) {
    EXPECT_EQ(outcomeOf({Cause::Malformed, stage, nullptr, {}}), AttemptOutcome::ConnectFailed);
  }
  const HealthCheckEnded healthCheck = healthCheckEndOf(
      socketSettings(), {Cause::Malformed, upstream::Stage::Answering, nullptr, {}}, kNow, agreeingClocks());
  EXPECT_FALSE(healthCheck.ok);
  EXPECT_TRUE(healthCheck.rejected) << "it lives";
}

TEST(OutcomeTable, AnswersAreToldByTheirCodes) {
  const auto outcome = [](const std::string& bytes) { return outcomeOf(Read(bytes + pg::ready()).end()); };
  EXPECT_EQ(outcome(pg::row("v")), AttemptOutcome::Ok);
  EXPECT_EQ(outcome(pg::row("")), AttemptOutcome::Ok);
  EXPECT_EQ(outcome(pg::error("25006")), AttemptOutcome::PreconditionFailed);
  EXPECT_EQ(outcome(pg::error("72000")), AttemptOutcome::PreconditionFailed);
  EXPECT_EQ(outcome(pg::error("53300")), AttemptOutcome::Overloaded);
  EXPECT_EQ(outcome(pg::error("XX000")), AttemptOutcome::Error);
  // Whatever is not in the table may have run.
  for (const char* code : {"57P03", "08P01", "42501", "53301", "", "2500", "99999"}) {
    EXPECT_EQ(outcome(pg::error(code)), AttemptOutcome::Error) << code;
  }
  EXPECT_EQ(outcome(pg::complete("SELECT 0")), AttemptOutcome::Error);
}

TEST(OutcomeTable, AnswersTellRolePositionAndReport) {
  const settings::InstanceSettings settings = socketSettings();
  const Read read(pg::row("v") + pg::parameter("mode", "read-write") +
                  pg::parameter("wal_time", "1767225600123") +
                  pg::parameter("stats", "x0=1767225600.123,x1=0") + pg::ready());
  AttemptEnded event;
  readNews(settings, read.end(), kNow, agreeingClocks(), event);
  EXPECT_EQ(event.role, Role::Primary);
  EXPECT_EQ(event.position, 1767225600123000);
  EXPECT_EQ(event.report.role, Role::Replica);
  AttemptEnded silent;
  readNews(settings, Read(pg::row("v") + pg::ready()).end(), kNow, agreeingClocks(), silent);
  EXPECT_FALSE(silent.role);
  EXPECT_FALSE(silent.position);
  EXPECT_FALSE(silent.report.position);
}

// Guards the rule on stale reads: a position is never taken for newer than it may be.
TEST(LoadReportValues, AreRoundedSoThatTheyNeverClaimTooMuch) {
  const settings::InstanceSettings settings = socketSettings();
  EXPECT_EQ(readReport(settings, "x0=1767225600.123,x1=1", kNow, agreeingClocks()).position,
            1767225600122000);
  EXPECT_EQ(readReport(settings, "x0=1767225600,x1=1", kNow, agreeingClocks()).position, 1767225599000000);
  EXPECT_EQ(readReport(settings, "x0=1767225600.123456", kNow, agreeingClocks()).position, 1767225600123455);
  EXPECT_EQ(readReport(settings, "x1=1", kNow, agreeingClocks()).role, Role::Primary);
  EXPECT_EQ(readReport(settings, "x1=0", kNow, agreeingClocks()).role, Role::Replica);
  for (const char* text : {"", "x0=,x1=", "x0=soon,x1=yes", "y0=1,y1=1", "x0=-5"}) {
    const LoadReport report = readReport(settings, text, kNow, agreeingClocks());
    EXPECT_FALSE(report.position) << text;
    EXPECT_FALSE(report.role) << text;
  }
}

// Guards against a report that can't be meant: it would hold for ever, for positions and claims to lead never
// go back.
TEST(LoadReportValues, AreNotBelievedWhereTheyCanNotBeMeant) {
  const settings::InstanceSettings settings = socketSettings();
  for (const char* text :
       {"x0=1767225603.000,x1=1", "x0=999999999999,x1=1", "x0=soon,x1=7", "x1=-1", "x0=1e9"}) {
    const LoadReport report = readReport(settings, text, kNow, agreeingClocks());
    EXPECT_FALSE(report.position) << text;
    EXPECT_FALSE(report.role) << text;
  }
  // The answer beside it counts all the same.
  const Read read(pg::row("v") + pg::parameter("mode", "read-write") +
                  pg::parameter("wal_time", "1999999999999") + pg::parameter("stats", "x0=1999999999,x1=0") +
                  pg::ready());
  EXPECT_EQ(outcomeOf(read.end()), AttemptOutcome::Ok);
  AttemptEnded event;
  readNews(settings, read.end(), kNow, agreeingClocks(), event);
  EXPECT_EQ(event.role, Role::Primary);
  EXPECT_FALSE(event.position);
  EXPECT_FALSE(event.report.position);
  EXPECT_FALSE(event.report.role);
}

TEST(OutcomeTable, NullIsNoValue) {
  const Read read(pg::rowDescription() + pg::message('D', pg::u16(1) + pg::u32(0xFFFFFFFF)) + pg::complete() +
                  pg::ready());
  EXPECT_NE(read.client.answer().kind, protocol::Answer::Kind::Value);
}

TEST(HealthCheckAnswers, TellAliveTurnedAwayAndDeadApart) {
  const settings::InstanceSettings settings = socketSettings();
  const HealthCheckEnded alive = healthCheckEndOf(
      settings, Read(pg::row("x0=1767225600.5,x1=1") + pg::ready()).end(), kNow, agreeingClocks());
  EXPECT_TRUE(alive.ok);
  EXPECT_EQ(alive.report.role, Role::Primary);
  for (const char* code : {"53300", "57P03"}) {
    const HealthCheckEnded away =
        healthCheckEndOf(settings, Read(pg::error(code) + pg::ready()).end(), kNow, agreeingClocks());
    EXPECT_FALSE(away.ok);
    EXPECT_TRUE(away.rejected) << code;
  }
  const HealthCheckEnded rejected =
      healthCheckEndOf(settings, Read(pg::error("42501") + pg::ready()).end(), kNow, agreeingClocks());
  EXPECT_FALSE(rejected.ok || rejected.rejected);
  const HealthCheckEnded dead = healthCheckEndOf(
      settings, {Cause::Broken, upstream::Stage::Connecting, nullptr, {}}, kNow, agreeingClocks());
  EXPECT_FALSE(dead.ok || dead.rejected);
}

}  // namespace
}  // namespace heathflow::routing
