#include "protocol/pg_client.h"

#include <charconv>
#include <string>

namespace heathflow::protocol {
namespace {

constexpr std::string_view kUser = "api";
constexpr std::string_view kDatabase = "ledger";
// Of ParameterStatus, as PROTOCOL names them.
constexpr std::string_view kRoleParameter = "mode";
constexpr std::string_view kPositionParameter = "wal_time";
constexpr std::string_view kReportParameter = "stats";
constexpr std::string_view kPrimaryWord = "read-write";
constexpr std::string_view kReplicaWord = "read-only";

Slice sliceOf(std::string_view piece, std::string_view bytes) {
  return {static_cast<std::size_t>(piece.data() - bytes.data()), piece.size()};
}

}  // namespace

bool PgClient::start(Buffer& out) {
  std::string body("\0\0\0\0\0\3\0\0", 8);
  const auto add = [&body](std::string_view text) {
    body += text;
    body += '\0';
  };
  add("user");
  add(kUser);
  add("database");
  add(kDatabase);
  body += '\0';
  body[3] = static_cast<char>(body.size());
  return out.append(body);
}

void PgClient::queried() {
  phase_ = Phase::Busy;
  answering_ = settled_ = false;
  answer_ = PgAnswer{};
}

// A row of one column. NULL is no value that an endpoint made.
bool PgClient::readRow(const Cut& cut) {
  if (cut.body.size() < 6 || readU16(cut.body, 0) != 1) return false;
  const std::uint32_t size = readU32(cut.body, 2);
  if (cut.body.size() - 6 != size) return false;
  answer_.dataRow = {seen_, cut.size};
  answer_.value = {seen_ + kHeaderSize + 6, size};
  return true;
}

void PgClient::readParameter(std::string_view body, std::string_view bytes) {
  const auto name = takeText(body);
  const auto value = name ? takeText(body) : std::nullopt;
  if (!value) return;
  if (*name == kRoleParameter && *value == kPrimaryWord) answer_.primary = true;
  if (*name == kRoleParameter && *value == kReplicaWord) answer_.primary = false;
  if (*name == kReportParameter) answer_.report = sliceOf(*value, bytes);
  if (*name == kPositionParameter) {
    std::int64_t millis = 0;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), millis);
    if (error == std::errc() && end == value->data() + value->size() && millis > 0)
      answer_.positionMs = millis;
  }
}

PgClient::Event PgClient::take(const Cut& cut, std::string_view bytes) {
  switch (cut.type) {
    case 'S':
      readParameter(cut.body, bytes);
      return Event::NeedMore;
    case 'N':
    case 'A':
      return Event::NeedMore;
    default:
      break;
  }
  if (phase_ == Phase::Starting) {
    if (cut.type == 'K' || cut.type == 'v') return Event::NeedMore;
    if (cut.type == 'R') {
      const bool welcome = cut.body.size() == 4 && readU32(cut.body, 0) == 0;
      return welcome ? Event::NeedMore : broken();
    }
    if (cut.type == 'E') {
      answer_.kind = PgAnswer::Kind::Error;
      answer_.code = sliceOf(parseErrorFields(cut.body).code, bytes);
      phase_ = Phase::Dead;
      return Event::Rejected;
    }
    if (cut.type != 'Z') return broken();
    phase_ = Phase::Idle;
    return Event::Ready;
  }
  if (phase_ != Phase::Busy) return broken();
  answering_ = true;
  const bool waiting = answer_.kind == PgAnswer::Kind::None;
  switch (cut.type) {
    case 'T':
      if (!waiting || answer_.rowDescription.size != 0 || cut.body.size() < 2 || readU16(cut.body, 0) != 1)
        return broken();
      answer_.rowDescription = {seen_, cut.size};
      return Event::NeedMore;
    case 'D':
      if (!waiting || answer_.rowDescription.size == 0 || answer_.dataRow.size != 0 || !readRow(cut))
        return broken();
      return Event::NeedMore;
    case 'C':
    case 'I':
      if (!waiting) return broken();
      answer_.commandComplete = {seen_, cut.size};
      answer_.kind =
          cut.type == 'C' && answer_.dataRow.size != 0 ? PgAnswer::Kind::Row : PgAnswer::Kind::Empty;
      settled_ = true;
      return Event::NeedMore;
    case 'E': {
      if (settled_ && answer_.kind == PgAnswer::Kind::Error) return broken();
      const ErrorFields fields = parseErrorFields(cut.body);
      // A row that was whole before stays what it is: the error is about what comes after it.
      if (!settled_) {
        answer_.kind = PgAnswer::Kind::Error;
        answer_.code = fields.code.empty() ? Slice{} : sliceOf(fields.code, bytes);
      }
      answer_.fatal = fields.fatal();
      settled_ = true;
      if (!answer_.fatal) return Event::NeedMore;
      phase_ = Phase::Dead;
      return Event::Answered;
    }
    case 'Z':
      if (!settled_) return broken();
      phase_ = Phase::Idle;
      return Event::Answered;
    default:
      return broken();
  }
}

PgClient::Event PgClient::feed(std::string_view bytes) {
  while (seen_ < bytes.size()) {
    // Bytes that nobody asked for are never taken for an answer to what is asked next.
    if (phase_ == Phase::Idle || phase_ == Phase::Dead) return broken();
    const Cut cut = cutMessage(bytes.substr(seen_), kEndpointMessageLimit);
    if (cut.kind == Cut::Kind::Malformed) return broken();
    if (cut.kind == Cut::Kind::Partial) return Event::NeedMore;
    const Event event = take(cut, bytes);
    seen_ += cut.size;
    if (event != Event::NeedMore) return event;
  }
  return Event::NeedMore;
}

}  // namespace heathflow::protocol
