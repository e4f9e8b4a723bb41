#include "protocol/pg_client.h"

#include <xxhash.h>

#include <charconv>
#include <string>
#include <utility>

namespace heathflow::protocol {
namespace {

constexpr std::string_view kUser = "api";
constexpr std::string_view kDatabase = "ledger";
// Names and values of ParameterStatus in which an endpoint reports its state.
constexpr std::string_view kRoleParameter = "mode";
constexpr std::string_view kPositionParameter = "wal_time";
constexpr std::string_view kReportParameter = "stats";
constexpr std::string_view kPrimaryValue = "read-write";
constexpr std::string_view kReplicaValue = "read-only";

// Types of an endpoint's messages.
constexpr char kAuthentication = 'R';
constexpr char kBackendKeyData = 'K';
constexpr char kCommandComplete = 'C';
constexpr char kDataRow = 'D';
constexpr char kEmptyQueryResponse = 'I';
constexpr char kErrorResponse = 'E';
constexpr char kNegotiateProtocolVersion = 'v';
constexpr char kNoticeResponse = 'N';
constexpr char kNotificationResponse = 'A';
constexpr char kParameterStatus = 'S';
constexpr char kReadyForQuery = 'Z';
constexpr char kRowDescription = 'T';

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

void PgClient::onQueryWritten() {
  phase_ = Phase::Busy;
  answerStarted_ = outcomeKnown_ = mustVerify_ = false;
  emptyQueryWritten_ = emptyQueryReplyStarted_ = false;
  answer_ = PgAnswer{};
}

std::size_t PgClient::takeSurplusAnswers() { return std::exchange(surplusAnswers_, 0); }

// Reads a row of one column; NULL is not a valid value.
bool PgClient::readRow(const Frame& frame) {
  if (frame.body.size() < 6 || readU16(frame.body, 0) != 1) return false;
  const std::uint32_t size = readU32(frame.body, 2);
  if (frame.body.size() - 6 != size) return false;
  answer_.dataRow = {parsed_, frame.size};
  answer_.value = {parsed_ + kHeaderSize + 6, size};
  return true;
}

void PgClient::readParameter(std::string_view body, std::string_view bytes) {
  const auto name = readCString(body);
  const auto value = name ? readCString(body) : std::nullopt;
  if (!value) return;
  if (*name == kRoleParameter && *value == kPrimaryValue) answer_.primary = true;
  if (*name == kRoleParameter && *value == kReplicaValue) answer_.primary = false;
  if (*name == kReportParameter) answer_.report = sliceOf(*value, bytes);
  if (*name == kPositionParameter) {
    std::int64_t millis = 0;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), millis);
    if (error == std::errc() && end == value->data() + value->size() && millis > 0)
      answer_.positionMs = millis;
  }
}

PgClient::Event PgClient::handleMessage(const Frame& frame, std::string_view bytes, Buffer& out) {
  switch (frame.type) {
    case kParameterStatus:
      readParameter(frame.body, bytes);
      return Event::NeedMore;
    case kNoticeResponse:
    case kNotificationResponse:
      return Event::NeedMore;
    default:
      break;
  }
  switch (phase_) {
    case Phase::Starting:
      return handleStartupMessage(frame, bytes);
    case Phase::Busy:
      return handleQueryMessage(frame, bytes, out);
    case Phase::Verifying:
      return handleVerificationMessage(frame, bytes, out);
    case Phase::Synchronizing:
      return handleSynchronizationMessage(frame);
    case Phase::Idle:
    case Phase::Dead:
      break;
  }
  return broken();
}

PgClient::Event PgClient::handleStartupMessage(const Frame& frame, std::string_view bytes) {
  switch (frame.type) {
    case kBackendKeyData:
    case kNegotiateProtocolVersion:
      return Event::NeedMore;
    case kAuthentication: {
      const bool authenticated = frame.body.size() == 4 && readU32(frame.body, 0) == 0;
      return authenticated ? Event::NeedMore : broken();
    }
    case kErrorResponse:
      answer_.kind = PgAnswer::Kind::Error;
      answer_.code = sliceOf(parseErrorFields(frame.body).code, bytes);
      phase_ = Phase::Dead;
      return Event::Rejected;
    case kReadyForQuery:
      phase_ = Phase::Idle;
      return Event::Ready;
    default:
      return broken();
  }
}

// Takes a message of the reply to an empty query: EmptyQueryResponse, then ReadyForQuery. Returns false if
// the message is none.
bool PgClient::takeEmptyQueryReply(const Frame& frame) {
  const bool expected = frame.type == (emptyQueryReplyStarted_ ? kReadyForQuery : kEmptyQueryResponse);
  if (!expected) return false;
  emptyQueryAnswered_ = emptyQueryAnswered_ || emptyQueryReplyStarted_;
  emptyQueryReplyStarted_ = !emptyQueryReplyStarted_;
  return true;
}

PgClient::Event PgClient::handleQueryMessage(const Frame& frame, std::string_view bytes, Buffer& out) {
  // A query is never empty, so this is a second copy of the reply to an empty query.
  if (!answerStarted_ && emptyQueryAnswered_ && takeEmptyQueryReply(frame)) {
    if (frame.type == kReadyForQuery) ++surplusAnswers_;
    return Event::NeedMore;
  }
  answerStarted_ = true;
  const bool pending = answer_.kind == PgAnswer::Kind::None;
  switch (frame.type) {
    case kRowDescription:
      if (!pending || answer_.rowDescription.size != 0 || frame.body.size() < 2 ||
          readU16(frame.body, 0) != 1)
        return broken();
      answer_.rowDescription = {parsed_, frame.size};
      return Event::NeedMore;
    case kDataRow:
      if (!pending || answer_.rowDescription.size == 0 || answer_.dataRow.size != 0 || !readRow(frame))
        return broken();
      return Event::NeedMore;
    case kCommandComplete:
    case kEmptyQueryResponse: {
      if (!pending) return broken();
      const bool hasRow = frame.type == kCommandComplete && answer_.dataRow.size != 0;
      answer_.commandComplete = {parsed_, frame.size};
      setOutcome(hasRow ? PgAnswer::Kind::Row : PgAnswer::Kind::Empty, bytes);
      return Event::NeedMore;
    }
    case kErrorResponse:
      return handleQueryError(frame, bytes);
    case kReadyForQuery:
      return outcomeKnown_ ? finishAnswer(out) : broken();
    default:
      return broken();
  }
}

PgClient::Event PgClient::handleQueryError(const Frame& frame, std::string_view bytes) {
  if (outcomeKnown_ && answer_.kind == PgAnswer::Kind::Error) return broken();
  const ErrorFields fields = parseErrorFields(frame.body);
  // A row that was already complete remains the answer: the error concerns what follows it.
  if (!outcomeKnown_) {
    answer_.code = fields.code.empty() ? Slice{} : sliceOf(fields.code, bytes);
    setOutcome(PgAnswer::Kind::Error, bytes);
  }
  answer_.fatal = fields.fatal();
  if (!answer_.fatal) return Event::NeedMore;
  // The connection ends, so the answer can't be verified any more.
  if (mustVerify_) return broken();
  phase_ = Phase::Dead;
  return Event::Answered;
}

void PgClient::setOutcome(PgAnswer::Kind kind, std::string_view bytes) {
  answer_.kind = kind;
  outcomeKnown_ = true;
  const std::string_view content = (kind == PgAnswer::Kind::Row ? answer_.value : answer_.code).of(bytes);
  fingerprint_ = {kind, XXH3_64bits(content.data(), content.size())};
  const bool isRow = kind == PgAnswer::Kind::Row;
  const bool hasPrevious = previousFingerprint_.kind != PgAnswer::Kind::None;
  const bool repeatsPrevious = fingerprint_ == previousFingerprint_;
  // Behind an empty query an error may also be an unusual reply to that.
  mustVerify_ =
      emptyQueryWritten_ ? !isRow : hasPrevious && (repeatsPrevious || kind == PgAnswer::Kind::Empty);
}

// Handles the end of a complete answer.
PgClient::Event PgClient::finishAnswer(Buffer& out) {
  previousFingerprint_ = fingerprint_;
  if (!mustVerify_) {
    phase_ = emptyQueryWritten_ ? Phase::Synchronizing : Phase::Idle;
    return Event::Answered;
  }
  if (!emptyQueryWritten_ && !writeQuery(out, {}, {}, {})) return broken();
  emptyQueryWritten_ = true;
  emptyQueryReplyStarted_ = false;
  unverified_ = std::exchange(answer_, PgAnswer{});
  phase_ = Phase::Verifying;
  return Event::NeedMore;
}

// Handles what follows an answer that has to be verified.
PgClient::Event PgClient::handleVerificationMessage(const Frame& frame, std::string_view bytes, Buffer& out) {
  if (takeEmptyQueryReply(frame)) {
    if (emptyQueryReplyStarted_) return Event::NeedMore;
    answer_ = unverified_;
    phase_ = Phase::Idle;
    return Event::Answered;
  }
  if (emptyQueryReplyStarted_) return broken();
  ++surplusAnswers_;
  outcomeKnown_ = mustVerify_ = false;
  phase_ = Phase::Busy;
  return handleQueryMessage(frame, bytes, out);
}

// Handles what is received between an answer and the reply to the empty query behind it, such as a second
// copy of the answer.
PgClient::Event PgClient::handleSynchronizationMessage(const Frame& frame) {
  if (takeEmptyQueryReply(frame)) {
    if (emptyQueryReplyStarted_) return Event::NeedMore;
    phase_ = Phase::Idle;
    return Event::Ready;
  }
  if (emptyQueryReplyStarted_) return broken();
  switch (frame.type) {
    case kReadyForQuery:
      ++surplusAnswers_;
      return Event::NeedMore;
    case kRowDescription:
    case kDataRow:
    case kCommandComplete:
    case kErrorResponse:
      return Event::NeedMore;
    default:
      return broken();
  }
}

PgClient::Event PgClient::feed(std::string_view bytes, Buffer& out) {
  while (parsed_ < bytes.size()) {
    // Unsolicited bytes must never be taken for the answer to the next query.
    if (phase_ == Phase::Idle || phase_ == Phase::Dead) return broken();
    const Frame frame = readFrame(bytes.substr(parsed_), kEndpointMessageLimit);
    if (frame.kind == Frame::Kind::Malformed) return broken();
    if (frame.kind == Frame::Kind::Partial) return Event::NeedMore;
    const Event event = handleMessage(frame, bytes, out);
    parsed_ += frame.size;
    if (event != Event::NeedMore) return event;
  }
  return Event::NeedMore;
}

}  // namespace heathflow::protocol
