#include "routing/attempt_result.h"

#include <limits>
#include <optional>

#include "protocol/load_report.h"

namespace heathflow::routing {
namespace {

using AnswerKind = protocol::Answer::Kind;
using Cause = upstream::ExchangeEnd::Cause;
using upstream::ExchangeStage;

using transport::kMicrosPerMilli;
constexpr std::int64_t kDecimalOne = 1'000'000;  // 1 in the millionths of a protocol::Decimal
// A larger position would overflow when converted to microseconds.
constexpr std::int64_t kMaxPositionMs = std::numeric_limits<std::int64_t>::max() / kMicrosPerMilli;

// Returns the number in a field of a load report; nothing if there is none.
// @param index  of the field in the layout; negative: the settings define no such field.
std::optional<protocol::Decimal> parseField(const settings::ReportLayout& layout, int index,
                                            std::string_view text) {
  if (index < 0) return std::nullopt;
  const auto field = protocol::reportField(text, layout.fields[static_cast<std::size_t>(index)]);
  return field ? protocol::parseDecimal(*field) : std::nullopt;
}

AttemptOutcome outcomeOf(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::Value:
      return AttemptOutcome::Ok;
    case AnswerKind::Overloaded:
      return AttemptOutcome::Overloaded;
    case AnswerKind::PreconditionFailed:
      return AttemptOutcome::PreconditionFailed;
    case AnswerKind::None:
    case AnswerKind::Empty:        // the request may have run
    case AnswerKind::Unavailable:  // doesn't tell whether the request has run
    case AnswerKind::Error:
      break;
  }
  return AttemptOutcome::Error;
}

}  // namespace

bool mayHaveRun(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::Overloaded && outcome != AttemptOutcome::ConnectFailed &&
         outcome != AttemptOutcome::NotSent && outcome != AttemptOutcome::PreconditionFailed;
}

AttemptOutcome outcomeOf(const upstream::ExchangeEnd& end) {
  if (end.cause == Cause::Cancelled) return AttemptOutcome::NotSent;
  // Too little of the request was written for it to run.
  if (end.stage == ExchangeStage::Connecting || end.stage == ExchangeStage::PartlyWritten)
    return AttemptOutcome::ConnectFailed;
  if (end.cause == Cause::Malformed) return AttemptOutcome::Malformed;
  if (end.cause != Cause::Answered) return AttemptOutcome::ConnectionReset;
  return outcomeOf(end.answer->kind);
}

LoadReport parseLoadReport(const settings::InstanceSettings& settings, std::string_view text, Micros now,
                           wallclock::EndpointTime& endpointTime) {
  const settings::ReportLayout& layout = settings.report;
  LoadReport report;
  if (const auto role = parseField(layout, layout.role, text);
      role && role->micros >= 0 && role->micros <= kDecimalOne) {
    report.role = role->micros * 2 >= kDecimalOne ? Role::Primary : Role::Replica;
  }
  if (const auto position = parseField(layout, layout.position, text); position && position->micros > 0) {
    // The endpoint may have rounded it up by as much as one unit of its last digit.
    const bool byPrimary = report.role == Role::Primary;
    const Micros reported = position->micros - position->step;
    // If the position is too far in the future, nothing in the report is trusted.
    if (!endpointTime.observe(reported, now, byPrimary)) return {};
    report.position = LogPosition{reported};
  }
  if (const auto inFlight = parseField(layout, layout.inFlight, text)) {
    report.inFlight = static_cast<double>(inFlight->micros) / static_cast<double>(kDecimalOne);
  }
  return report;
}

void readResponseMetadata(const settings::InstanceSettings& settings, const upstream::ExchangeEnd& end,
                          Micros now, wallclock::EndpointTime& endpointTime, AttemptEnded& event) {
  if (end.cause != Cause::Answered) return;
  const protocol::Answer& answer = *end.answer;
  if (answer.primary) event.role = *answer.primary ? Role::Primary : Role::Replica;
  if (answer.positionMs && *answer.positionMs <= kMaxPositionMs) {
    const bool byPrimary = event.role == Role::Primary;
    const Micros reported = *answer.positionMs * kMicrosPerMilli;
    if (endpointTime.observe(reported, now, byPrimary)) event.position = LogPosition{reported};
  }
  event.report = parseLoadReport(settings, answer.report.of(end.bytes), now, endpointTime);
}

HealthCheckEnded healthCheckResultOf(const settings::InstanceSettings& settings,
                                     const upstream::ExchangeEnd& end, Micros now,
                                     wallclock::EndpointTime& endpointTime) {
  HealthCheckEnded event;
  // The endpoint or its host responded, though without a result.
  event.rejected =
      end.brokenAfterConnect || (end.cause == Cause::Malformed && end.stage != ExchangeStage::Connecting);
  if (end.answer == nullptr) return event;
  if (end.answer->kind == AnswerKind::Value) {
    event.ok = true;
    event.report = parseLoadReport(settings, end.answer->value.of(end.bytes), now, endpointTime);
  } else {
    event.refusesNewWork = end.answer->kind == AnswerKind::Unavailable;
    event.rejected = event.refusesNewWork || end.answer->kind == AnswerKind::Overloaded;
  }
  return event;
}

}  // namespace heathflow::routing
