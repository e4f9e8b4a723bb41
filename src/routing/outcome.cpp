#include "routing/outcome.h"

#include <array>
#include <limits>

#include "protocol/load_report.h"
#include "wallclock/positions.h"

namespace heathflow::routing {
namespace {

using Kind = protocol::Answer::Kind;

using transport::kMicrosPerMilli;
constexpr std::int64_t kOne = 1'000'000;  // in the millionths of a Decimal
// Milliseconds beyond which a position is no time at all.
constexpr std::int64_t kLatestMs = std::numeric_limits<std::int64_t>::max() / kMicrosPerMilli;

std::optional<protocol::Decimal> numberAt(const settings::ReportLayout& layout, int index,
                                          std::string_view text) {
  if (index < 0) return std::nullopt;
  const auto field = protocol::reportField(text, layout.fields[static_cast<std::size_t>(index)]);
  return field ? protocol::parseDecimal(*field) : std::nullopt;
}

constexpr std::array<const char*, kOutcomes> kOutcomeNames = {
    "ok",        "error",      "full", "timed_out", "connect_failed", "reset",
    "cancelled", "never_sent", "miss", "malformed", "withdrawn",      "stale"};
constexpr std::array<const char*, kCloseReasons> kCloseNames = {"by_client",   "rested",     "told",
                                                                "not_reading", "unfinished", "rejected",
                                                                "no_memory",   "violation",  "lingered"};

}  // namespace

const char* nameOf(AttemptOutcome outcome) { return kOutcomeNames.at(static_cast<std::size_t>(outcome)); }
const char* nameOf(CloseReason reason) { return kCloseNames.at(static_cast<std::size_t>(reason)); }

bool mayHaveRun(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::Overloaded && outcome != AttemptOutcome::ConnectFailed &&
         outcome != AttemptOutcome::NotSent && outcome != AttemptOutcome::PreconditionFailed;
}

AttemptOutcome outcomeOf(const ExchangeEnd& end) {
  if (end.cause == ExchangeEnd::Cause::Unwanted) return AttemptOutcome::NotSent;
  // Whatever ends it before its last byte is written, it has not run.
  if (end.stage == Stage::Connecting || end.stage == Stage::PartlyWritten)
    return AttemptOutcome::ConnectFailed;
  if (end.cause == ExchangeEnd::Cause::Malformed) return AttemptOutcome::Malformed;
  if (end.cause != ExchangeEnd::Cause::Answered) return AttemptOutcome::ConnectionReset;
  switch (end.answer->kind) {
    case Kind::Value:
      return AttemptOutcome::Ok;
    case Kind::Full:
      return AttemptOutcome::Overloaded;
    case Kind::Miss:
      return AttemptOutcome::PreconditionFailed;
    case Kind::None:
    case Kind::Empty:   // no value, though it may have run
    case Kind::NotNow:  // says nothing of what has run
    case Kind::Error:
      break;
  }
  return AttemptOutcome::Error;
}

LoadReport readReport(const settings::InstanceSettings& settings, std::string_view text, Micros now,
                      wallclock::EndpointTime& clocks) {
  const settings::ReportLayout& layout = settings.report;
  LoadReport report;
  if (const auto role = numberAt(layout, layout.role, text);
      role && role->micros >= 0 && role->micros <= kOne) {
    report.role = role->micros * 2 >= kOne ? Role::Primary : Role::Replica;
  }
  if (const auto position = numberAt(layout, layout.position, text); position && position->micros > 0) {
    // What tells of the future can't be read, and nothing beside it is believed. It may have been rounded up
    // by as much as its last digit.
    const bool byPrimary = report.role == Role::Primary;
    report.position = clocks.heard(position->micros - position->step, now, byPrimary);
    if (!report.position) return {};
  }
  if (const auto held = numberAt(layout, layout.inFlight, text)) {
    report.inFlight = static_cast<double>(held->micros) / 1e6;
  }
  return report;
}

void readNews(const settings::InstanceSettings& settings, const ExchangeEnd& end, Micros now,
              wallclock::EndpointTime& clocks, AttemptEnded& event) {
  if (end.cause != ExchangeEnd::Cause::Answered) return;
  const protocol::Answer& answer = *end.answer;
  if (answer.primary) event.role = *answer.primary ? Role::Primary : Role::Replica;
  if (answer.positionMs && *answer.positionMs <= kLatestMs)
    event.position = clocks.heard(*answer.positionMs * kMicrosPerMilli, now, event.role == Role::Primary);
  event.report = readReport(settings, answer.report.of(end.bytes), now, clocks);
}

HealthCheckEnded healthCheckEndOf(const settings::InstanceSettings& settings, const ExchangeEnd& end,
                                  Micros now, wallclock::EndpointTime& clocks) {
  HealthCheckEnded event;
  // It lives, and has told nothing.
  event.rejected =
      end.dropped || (end.cause == ExchangeEnd::Cause::Malformed && end.stage != Stage::Connecting);
  if (end.answer == nullptr) return event;
  if (end.answer->kind == Kind::Value) {
    event.ok = true;
    event.report = readReport(settings, end.answer->value.of(end.bytes), now, clocks);
  } else {
    event.refusesNewWork = end.answer->kind == Kind::NotNow;
    event.rejected = event.refusesNewWork || end.answer->kind == Kind::Full;
  }
  return event;
}

}  // namespace heathflow::routing
