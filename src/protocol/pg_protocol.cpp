#include "protocol/pg_protocol.h"

#include <string>

#include "protocol/request_comment.h"

namespace heathflow::protocol {
namespace {

constexpr std::string_view kHealthCheckStatement = "SHOW stats";
constexpr std::string_view kReadinessCheckStatement = "SELECT 1";

std::string_view statementOf(std::string_view message) {
  return message.substr(kHeaderSize, message.size() - kHeaderSize - 1);
}

std::string_view codeFor(ClientSide::Reason reason) {
  switch (reason) {
    case ClientSide::Reason::TooManyClients:
    case ClientSide::Reason::NoMemory:
      return sqlstate::kTooManyConnections;
    case ClientSide::Reason::ShuttingDown:
      return sqlstate::kCannotConnectNow;
    case ClientSide::Reason::IncompleteRequest:
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
      step.partialMessage = from < bytes.size();
      break;
    case PgServer::Step::Kind::Handled:
      step.kind = Step::Kind::Handled;
      break;
    case PgServer::Step::Kind::Query:
      step.kind = Step::Kind::Request;
      break;
    case PgServer::Step::Kind::Disconnect:
      step.kind = Step::Kind::Disconnect;
      break;
    case PgServer::Step::Kind::Fatal:
      step.kind = Step::Kind::Fatal;
      break;
  }
  return step;
}

std::optional<RequestMetadata> PgClientSide::parseRequest(std::string_view request,
                                                          std::string_view& problem) {
  const auto comment = parseRequestComment(statementOf(request));
  if (!comment) {
    problem = "the request can't be read";
    return std::nullopt;
  }
  RequestMetadata metadata;
  metadata.id = comment->id;
  metadata.className = comment->className;
  metadata.group = comment->group;
  metadata.timeoutMs = comment->timeoutMs;
  if (comment->timeout.size != 0) {
    metadata.timeout = {kHeaderSize + comment->timeout.at, comment->timeout.size};
  }
  metadata.afterMs = comment->afterMs;
  metadata.isClientRetry = comment->isClientRetry;
  metadata.keyed = comment->keyed;
  metadata.write = comment->write;
  metadata.session = comment->handle;
  return metadata;
}

// Forwards the endpoint's messages unchanged.
void PgClientSide::writeAnswer(const Answer& answer, std::string_view bytes, std::int64_t, Buffer& out) {
  for (const Slice& piece : answer.pieces) out.append(piece.of(bytes));
}

void PgClientSide::finishAnswer(Buffer& out) { writeReady(out); }

void PgClientSide::error(std::string_view code, std::string_view message, Buffer& out,
                         std::string_view detail) {
  writeError(out, false, code, message, detail);
  finishAnswer(out);
}

void PgClientSide::writeRejection(std::int64_t retryAfterMs, Buffer& out) {
  const std::string advice = retryAfterMs > 0 ? std::to_string(retryAfterMs) : std::string();
  error(sqlstate::kTooManyConnections, "not now", out, advice);
}

void PgClientSide::writeFailure(Buffer& out) {
  error(sqlstate::kSystemError, "no member could serve this in time", out);
}

void PgClientSide::writeInvalidRequest(std::string_view message, Buffer& out) {
  error(sqlstate::kInvalidParameter, message, out);
}

void PgClientSide::fatalError(Reason reason, std::string_view message, Buffer& out) {
  if (reason == Reason::ShuttingDown && !server_.started()) return;
  writeError(out, true, codeFor(reason), message);
}

bool PgEndpointSide::writeRequest(std::string_view request, Slice timeout, std::int64_t leftMs, Buffer& out) {
  const std::size_t before = out.size();
  answer_ = Answer{};
  const std::string_view statement = statementOf(request);
  // Forwards the statement unchanged except for the timeout, which becomes the remaining time.
  const std::size_t at = timeout.size == 0 ? 0 : timeout.at - kHeaderSize;
  if (timeout.size == 0 ? !writeQuery(out, statement, {}, {})
                        : !writeQuery(out, statement.substr(0, at), std::to_string(leftMs),
                                      statement.substr(at + timeout.size))) {
    return false;
  }
  queryBytes_ = out.size() - before;
  client_.onQueryWritten();
  return true;
}

bool PgEndpointSide::writeHealthCheck(Buffer& out) { return writeCheck(kHealthCheckStatement, out); }

bool PgEndpointSide::writeReadinessCheck(Buffer& out) { return writeCheck(kReadinessCheckStatement, out); }

bool PgEndpointSide::writeCheck(std::string_view statement, Buffer& out) {
  const std::size_t before = out.size();
  answer_ = Answer{};
  if (!writeQuery(out, statement, {}, {})) return false;
  queryBytes_ = out.size() - before;
  client_.onQueryWritten();
  return true;
}

EndpointSide::Event PgEndpointSide::feed(std::string_view bytes, bool, Buffer& out) {
  const PgClient::Event event = client_.feed(bytes, out);
  switch (event) {
    case PgClient::Event::NeedMore:
      if (client_.completeAtClose()) translate(bytes);
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
  const PgAnswer& pgAnswer = client_.answer();
  answer_.pieces = {pgAnswer.rowDescription, pgAnswer.dataRow, pgAnswer.commandComplete};
  answer_.value = pgAnswer.value;
  answer_.code = pgAnswer.code;
  answer_.replies = 1;
  answer_.primary = pgAnswer.primary;
  answer_.positionMs = pgAnswer.positionMs;
  answer_.report = pgAnswer.report;
  switch (pgAnswer.kind) {
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
  const std::string_view code = pgAnswer.code.of(bytes);
  // After an unknown code the statement may have run.
  answer_.kind = code == sqlstate::kTooManyConnections ? Answer::Kind::Overloaded
                 : code == sqlstate::kCannotConnectNow ? Answer::Kind::Unavailable
                 : code == sqlstate::kReadOnlyTransaction || code == sqlstate::kSnapshotTooOld
                     ? Answer::Kind::PreconditionFailed
                     : Answer::Kind::Error;
}

}  // namespace heathflow::protocol
