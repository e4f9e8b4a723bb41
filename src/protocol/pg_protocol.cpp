#include "protocol/pg_protocol.h"

#include <string>

#include "protocol/request_comment.h"

namespace heathflow::protocol {
namespace {

constexpr std::string_view kHealthCheckStatement = "SHOW stats";

std::string_view statementOf(std::string_view message) {
  return message.substr(kHeaderSize, message.size() - kHeaderSize - 1);
}

std::string_view codeFor(ClientSide::Reason reason) {
  switch (reason) {
    case ClientSide::Reason::TooMany:
    case ClientSide::Reason::NoMemory:
      return sqlstate::kTooManyConnections;
    case ClientSide::Reason::ShuttingDown:
      return sqlstate::kCannotConnectNow;
    case ClientSide::Reason::Unfinished:
      break;
  }
  return sqlstate::kProtocolViolation;
}

}  // namespace

ClientSide::Step PgClientSide::step(std::string_view bytes, std::size_t from, Buffer& out) {
  const PgServer::Step found = server_.step(bytes.substr(from), out);
  Step step;
  step.consumed = found.consumed;
  step.violation = found.violation;
  switch (found.kind) {
    case PgServer::Step::Kind::NeedMore:
      step.part = from < bytes.size();
      break;
    case PgServer::Step::Kind::Handled:
      step.kind = Step::Kind::Handled;
      break;
    case PgServer::Step::Kind::Query:
      step.kind = Step::Kind::Request;
      break;
    case PgServer::Step::Kind::Left:
      step.kind = Step::Kind::Left;
      break;
    case PgServer::Step::Kind::Fatal:
      step.kind = Step::Kind::Fatal;
      break;
  }
  return step;
}

std::optional<Asked> PgClientSide::read(std::string_view request, std::string_view& problem) {
  const auto comment = parseRequestComment(statementOf(request));
  if (!comment) {
    problem = "the request can't be read";
    return std::nullopt;
  }
  Asked asked;
  asked.id = comment->id;
  asked.className = comment->className;
  asked.group = comment->group;
  asked.timeoutMs = comment->timeoutMs;
  if (comment->timeout.size != 0) {
    asked.timeout = {kHeaderSize + comment->timeout.at, comment->timeout.size};
  }
  asked.afterMs = comment->afterMs;
  asked.isClientRetry = comment->isClientRetry;
  asked.keyed = comment->keyed;
  asked.write = comment->write;
  asked.session = comment->handle;
  return asked;
}

// The endpoint's own messages, byte for byte.
void PgClientSide::pass(const Answer& answer, std::string_view bytes, std::int64_t, Buffer& out) {
  for (const Slice& piece : answer.pieces) out.append(piece.of(bytes));
}

void PgClientSide::served(Buffer& out) { writeReady(out); }

void PgClientSide::error(std::string_view code, std::string_view message, Buffer& out,
                         std::string_view detail) {
  writeError(out, false, code, message, detail);
  served(out);
}

void PgClientSide::rejected(std::int64_t retryAfterMs, Buffer& out) {
  const std::string advice = retryAfterMs > 0 ? std::to_string(retryAfterMs) : std::string();
  error(sqlstate::kTooManyConnections, "not now", out, advice);
}

void PgClientSide::failed(Buffer& out) {
  error(sqlstate::kSystemError, "no member could serve this in time", out);
}

void PgClientSide::rejected(std::string_view message, Buffer& out) {
  error(sqlstate::kInvalidParameter, message, out);
}

void PgClientSide::fatalError(Reason reason, std::string_view message, Buffer& out) {
  if (reason == Reason::ShuttingDown && !server_.started()) return;
  writeError(out, true, codeFor(reason), message);
}

bool PgEndpointSide::ask(std::string_view request, Slice timeout, std::int64_t leftMs, Buffer& out) {
  const std::size_t before = out.size();
  answer_ = Answer{};
  const std::string_view statement = statementOf(request);
  // The statement goes out as it came, but for the time that is left.
  const std::size_t at = timeout.size == 0 ? 0 : timeout.at - kHeaderSize;
  if (timeout.size == 0 ? !writeQuery(out, statement, {}, {})
                        : !writeQuery(out, statement.substr(0, at), std::to_string(leftMs),
                                      statement.substr(at + timeout.size))) {
    return false;
  }
  asked_ = out.size() - before;
  client_.queried();
  return true;
}

bool PgEndpointSide::askHealthCheck(Buffer& out) {
  const std::size_t before = out.size();
  answer_ = Answer{};
  if (!writeQuery(out, kHealthCheckStatement, {}, {})) return false;
  asked_ = out.size() - before;
  client_.queried();
  return true;
}

EndpointSide::Event PgEndpointSide::feed(std::string_view bytes, bool, Buffer&) {
  const PgClient::Event event = client_.feed(bytes);
  switch (event) {
    case PgClient::Event::NeedMore:
      if (client_.wholeAtEnd()) translate(bytes);
      return Event::NeedMore;
    case PgClient::Event::Ready:
      return Event::Ready;
    case PgClient::Event::Rejected:
      translate(bytes);
      return Event::Rejected;
    case PgClient::Event::Answered:
      translate(bytes);
      return Event::Answered;
    case PgClient::Event::Broken:
      break;
  }
  return Event::Broken;
}

void PgEndpointSide::translate(std::string_view bytes) {
  const PgAnswer& told = client_.answer();
  answer_.pieces = {told.rowDescription, told.dataRow, told.commandComplete};
  answer_.value = told.value;
  answer_.code = told.code;
  answer_.replies = 1;
  answer_.primary = told.primary;
  answer_.positionMs = told.positionMs;
  answer_.report = told.report;
  switch (told.kind) {
    case PgAnswer::Kind::None:
      answer_.kind = Answer::Kind::None;
      return;
    case PgAnswer::Kind::Row:
      answer_.kind = Answer::Kind::Value;
      return;
    case PgAnswer::Kind::Empty:
      answer_.kind = Answer::Kind::Empty;
      return;
    case PgAnswer::Kind::Error:
      break;
  }
  const std::string_view code = told.code.of(bytes);
  // A code that is not known proves nothing: it may have run.
  answer_.kind = code == sqlstate::kTooManyConnections ? Answer::Kind::Full
                 : code == sqlstate::kCannotConnectNow ? Answer::Kind::NotNow
                 : code == sqlstate::kReadOnlyTransaction || code == sqlstate::kSnapshotTooOld
                     ? Answer::Kind::Miss
                     : Answer::Kind::Error;
}

}  // namespace heathflow::protocol
