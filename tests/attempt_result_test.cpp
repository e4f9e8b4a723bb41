// The outcome of an attempt by how, and at which stage, its exchange ended.
#include "routing/attempt_result.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "protocol/pg_protocol.h"
#include "standins/gateway_rig.h"

namespace heathflow::routing {
namespace {

namespace pg = test::pg;
using Cause = upstream::ExchangeEnd::Cause;
using upstream::ExchangeStage;

constexpr Micros kNow = 1767225601000000;

// The clocks of the endpoints agree with the gateway's clock.
wallclock::EndpointTime& synchronizedClocks() {
  static wallclock::EndpointTime only;
  only = {};
  (void)only.observe(kNow, kNow, true);
  return only;
}

settings::InstanceSettings socketSettings() { return settings::parseSettings(test::settingsText({})); }

// An endpoint's response to one query, parsed by the protocol.
struct ParsedAnswer {
  explicit ParsedAnswer(const std::string& answerBytes) : bytes(answerBytes) {
    transport::Buffer out(1024);
    client.feed(pg::welcome(), false, out);
    client.onConsumed();
    client.writeHealthCheck(out);
    client.feed(bytes, false, out);
  }
  upstream::ExchangeEnd end(Cause cause = Cause::Answered,
                            ExchangeStage stage = ExchangeStage::Responding) const {
    return {cause, stage, &client.answer(), bytes};
  }
  std::string bytes;
  protocol::PgEndpointSide client;
};

TEST(AttemptResult, NothingHasRunBeforeTheLastByteIsWritten) {
  for (const ExchangeStage stage : {ExchangeStage::Connecting, ExchangeStage::PartlyWritten}) {
    EXPECT_EQ(outcomeOf({Cause::ConnectionBroken, stage, nullptr, {}}), AttemptOutcome::ConnectFailed);
  }
  const ParsedAnswer rejected(pg::error("53300", "FATAL"));
  EXPECT_EQ(outcomeOf(rejected.end(Cause::ConnectionRejected, ExchangeStage::Connecting)),
            AttemptOutcome::ConnectFailed);
  EXPECT_EQ(outcomeOf({Cause::Cancelled, ExchangeStage::Connecting, nullptr, {}}), AttemptOutcome::NotSent);
}

TEST(AttemptResult, AConnectionThatBreaksAfterTheWriteMayHaveRun) {
  for (const ExchangeStage stage : {ExchangeStage::Written, ExchangeStage::Responding}) {
    EXPECT_EQ(outcomeOf({Cause::ConnectionBroken, stage, nullptr, {}}), AttemptOutcome::ConnectionReset);
  }
}

// Guards against an endpoint being taken out of use, and then put into slow start, because one of its
// responses can't be parsed.
TEST(AttemptResult, AMalformedResponseMayHaveRunAndIsNotAConnectionReset) {
  for (const ExchangeStage stage : {ExchangeStage::Written, ExchangeStage::Responding}) {
    EXPECT_EQ(outcomeOf({Cause::Malformed, stage, nullptr, {}}), AttemptOutcome::Malformed);
  }
  for (const ExchangeStage stage : {ExchangeStage::Connecting, ExchangeStage::PartlyWritten}) {
    EXPECT_EQ(outcomeOf({Cause::Malformed, stage, nullptr, {}}), AttemptOutcome::ConnectFailed);
  }
  const HealthCheckEnded healthCheck =
      healthCheckResultOf(socketSettings(), {Cause::Malformed, ExchangeStage::Responding, nullptr, {}}, kNow,
                          synchronizedClocks());
  EXPECT_FALSE(healthCheck.ok);
  EXPECT_TRUE(healthCheck.rejected) << "the endpoint responded";
}

TEST(AttemptResult, ErrorCodesDetermineTheOutcome) {
  const auto outcome = [](const std::string& bytes) {
    return outcomeOf(ParsedAnswer(bytes + pg::ready()).end());
  };
  EXPECT_EQ(outcome(pg::row("v")), AttemptOutcome::Ok);
  EXPECT_EQ(outcome(pg::row("")), AttemptOutcome::Ok);
  EXPECT_EQ(outcome(pg::error("25006")), AttemptOutcome::PreconditionFailed);
  EXPECT_EQ(outcome(pg::error("72000")), AttemptOutcome::PreconditionFailed);
  EXPECT_EQ(outcome(pg::error("53300")), AttemptOutcome::Overloaded);
  EXPECT_EQ(outcome(pg::error("XX000")), AttemptOutcome::Error);
  // A request that failed with any other code may have run.
  for (const char* code : {"57P03", "08P01", "42501", "53301", "", "2500", "99999"}) {
    EXPECT_EQ(outcome(pg::error(code)), AttemptOutcome::Error) << code;
  }
  EXPECT_EQ(outcome(pg::complete("SELECT 0")), AttemptOutcome::Error);
}

TEST(AttemptResult, ResponsesContainRolePositionAndReport) {
  const settings::InstanceSettings settings = socketSettings();
  const ParsedAnswer read(pg::row("v") + pg::parameter("mode", "read-write") +
                          pg::parameter("wal_time", "1767225600123") +
                          pg::parameter("stats", "x0=1767225600.123,x1=0") + pg::ready());
  AttemptEnded event;
  readResponseMetadata(settings, read.end(), kNow, synchronizedClocks(), event);
  EXPECT_EQ(event.role, Role::Primary);
  EXPECT_EQ(event.position, LogPosition{1767225600123000});
  EXPECT_EQ(event.report.role, Role::Replica);
  AttemptEnded without;
  readResponseMetadata(settings, ParsedAnswer(pg::row("v") + pg::ready()).end(), kNow, synchronizedClocks(),
                       without);
  EXPECT_FALSE(without.role);
  EXPECT_FALSE(without.position);
  EXPECT_FALSE(without.report.position);
}

// Guards against stale reads caused by a position that is taken for newer than it is.
TEST(LoadReport, PositionsAreRoundedDown) {
  const settings::InstanceSettings settings = socketSettings();
  EXPECT_EQ(parseLoadReport(settings, "x0=1767225600.123,x1=1", kNow, synchronizedClocks()).position,
            LogPosition{1767225600122000});
  EXPECT_EQ(parseLoadReport(settings, "x0=1767225600,x1=1", kNow, synchronizedClocks()).position,
            LogPosition{1767225599000000});
  EXPECT_EQ(parseLoadReport(settings, "x0=1767225600.123456", kNow, synchronizedClocks()).position,
            LogPosition{1767225600123455});
  EXPECT_EQ(parseLoadReport(settings, "x1=1", kNow, synchronizedClocks()).role, Role::Primary);
  EXPECT_EQ(parseLoadReport(settings, "x1=0", kNow, synchronizedClocks()).role, Role::Replica);
  for (const char* text : {"", "x0=,x1=", "x0=soon,x1=yes", "y0=1,y1=1", "x0=-5"}) {
    const LoadReport report = parseLoadReport(settings, text, kNow, synchronizedClocks());
    EXPECT_FALSE(report.position) << text;
    EXPECT_FALSE(report.role) << text;
  }
}

// Guards against an impossible report that is used forever, because positions never go back.
TEST(LoadReport, ImpossibleValuesAreIgnored) {
  const settings::InstanceSettings settings = socketSettings();
  for (const char* text :
       {"x0=1767225603.000,x1=1", "x0=999999999999,x1=1", "x0=soon,x1=7", "x1=-1", "x0=1e9"}) {
    const LoadReport report = parseLoadReport(settings, text, kNow, synchronizedClocks());
    EXPECT_FALSE(report.position) << text;
    EXPECT_FALSE(report.role) << text;
  }
  // The response that carries such a report is still used.
  const ParsedAnswer read(pg::row("v") + pg::parameter("mode", "read-write") +
                          pg::parameter("wal_time", "1999999999999") +
                          pg::parameter("stats", "x0=1999999999,x1=0") + pg::ready());
  EXPECT_EQ(outcomeOf(read.end()), AttemptOutcome::Ok);
  AttemptEnded event;
  readResponseMetadata(settings, read.end(), kNow, synchronizedClocks(), event);
  EXPECT_EQ(event.role, Role::Primary);
  EXPECT_FALSE(event.position);
  EXPECT_FALSE(event.report.position);
  EXPECT_FALSE(event.report.role);
}

TEST(AttemptResult, NullIsNoValue) {
  const ParsedAnswer read(pg::rowDescription() + pg::message('D', pg::u16(1) + pg::u32(0xFFFFFFFF)) +
                          pg::complete() + pg::ready());
  EXPECT_NE(read.client.answer().kind, protocol::Answer::Kind::Value);
}

TEST(HealthCheckResult, DistinguishesOkRejectedAndFailed) {
  const settings::InstanceSettings settings = socketSettings();
  const HealthCheckEnded alive =
      healthCheckResultOf(settings, ParsedAnswer(pg::row("x0=1767225600.5,x1=1") + pg::ready()).end(), kNow,
                          synchronizedClocks());
  EXPECT_TRUE(alive.ok);
  EXPECT_EQ(alive.report.role, Role::Primary);
  for (const char* code : {"53300", "57P03"}) {
    const HealthCheckEnded away = healthCheckResultOf(
        settings, ParsedAnswer(pg::error(code) + pg::ready()).end(), kNow, synchronizedClocks());
    EXPECT_FALSE(away.ok);
    EXPECT_TRUE(away.rejected) << code;
  }
  const HealthCheckEnded rejected = healthCheckResultOf(
      settings, ParsedAnswer(pg::error("42501") + pg::ready()).end(), kNow, synchronizedClocks());
  EXPECT_FALSE(rejected.ok || rejected.rejected);
  const HealthCheckEnded dead =
      healthCheckResultOf(settings, {Cause::ConnectionBroken, ExchangeStage::Connecting, nullptr, {}}, kNow,
                          synchronizedClocks());
  EXPECT_FALSE(dead.ok || dead.rejected);
}

}  // namespace
}  // namespace heathflow::routing
