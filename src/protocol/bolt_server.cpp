#include "protocol/bolt_server.h"

#include <algorithm>
#include <utility>

namespace heathflow::protocol {
namespace {

using bolt::Tag;
using packstream::DecodeError;
using packstream::Reader;
using packstream::Type;
using Step = ClientSide::Step;

// The routing table always names this gateway, so it rarely changes.
constexpr std::int64_t kRoutingTableTtlSeconds = 300;
// Positions are limited to one day ahead of the clock. Smaller differences are kept: this gateway's clock may
// be behind, and a bookmark older than its commit would let another gateway serve a read without that commit.
constexpr std::int64_t kMaxAheadMs = 86'400'000;
// Later than any clock reading; Unix time.
constexpr std::int64_t kNewestPositionMs = 9'000'000'000'000;

// Returns the number of records n that a PULL or DISCARD names, -1 for all; nothing if the map is malformed
// or n is missing or 0.
std::optional<std::int64_t> recordCountOf(std::string_view payload) {
  Reader reader(payload, 2);
  const auto map = reader.header();
  if (!map || map->type != Type::Map) return std::nullopt;
  std::optional<std::int64_t> n;
  for (std::size_t i = 0; i < map->size; ++i) {
    const auto key = reader.text();
    if (!key) return std::nullopt;
    if (*key != "n" && *key != "qid") {
      if (!reader.skip()) return std::nullopt;
      continue;
    }
    const auto value = reader.header();
    if (!value || value->type != Type::Integer || value->integer < -1) return std::nullopt;
    if (*key == "n") n = value->integer;
  }
  if (n && *n == 0) return std::nullopt;
  return n;
}

// Returns the number of fields of a client's message; nothing for a tag that clients don't send.
std::optional<unsigned> fieldCountOf(Tag tag) {
  switch (tag) {
    case Tag::Run:
    case Tag::Route:
      return 3;
    case Tag::Hello:
    case Tag::Logon:
    case Tag::Begin:
    case Tag::Pull:
    case Tag::Discard:
    case Tag::Telemetry:
      return 1;
    case Tag::Goodbye:
    case Tag::Reset:
    case Tag::Commit:
    case Tag::Rollback:
    case Tag::Logoff:
      return 0;
    default:
      return std::nullopt;
  }
}

Step makeStep(Step::Kind kind, std::size_t consumed = 0) {
  Step out;
  out.kind = kind;
  out.consumed = consumed;
  return out;
}

Step handled(std::size_t size) { return makeStep(Step::Kind::Handled, size); }

}  // namespace

BoltServer::BoltServer(BoltListenerSettings& settings)
    : settings_(settings), connectionNumber_(++settings.connections) {}

Step BoltServer::violation(std::string_view message, Buffer& out) {
  if (state_ > State::Handshake) bolt::writeFailure(out, bolt::status::kInvalid, message, 0);
  Step step = makeStep(Step::Kind::Fatal);
  step.violation = true;
  return step;
}

Step BoltServer::handshake(std::string_view bytes, Buffer& out) {
  const std::size_t compared = std::min(bytes.size(), bolt::kMagic.size());
  // A client of another protocol gets no bytes that it could take for an answer.
  if (bytes.substr(0, compared) != bolt::kMagic.substr(0, compared)) return violation({}, out);
  if (bytes.size() < bolt::kHandshakeSize) {
    Step step;
    step.partialMessage = !bytes.empty();
    return step;
  }
  const auto minor = bolt::chooseMinor(bytes.substr(bolt::kMagic.size(), 16));
  const char version[] = {0, 0, static_cast<char>(minor.value_or(0)),
                          static_cast<char>(minor ? bolt::kMajor : 0)};
  out.append({version, sizeof version});
  if (!minor) return makeStep(Step::Kind::Fatal);
  minorVersion_ = *minor;
  state_ = State::Negotiated;
  return handled(bolt::kHandshakeSize);
}

// Returns whether a RESET is among the messages received after the open request.
bool BoltServer::interruptPending(std::string_view bytes, std::size_t from) {
  if (requestKind_ == RequestKind::None) return false;
  for (;;) {
    const std::string_view rest = bytes.substr(std::min(bytes.size(), from + resetScanOffset_));
    const bolt::Frame frame = bolt::readFrame(rest, kClientMessageLimit, resetScan_);
    if (frame.kind == bolt::Frame::Kind::Partial || frame.kind == bolt::Frame::Kind::TooLong) return false;
    if (frame.kind == bolt::Frame::Kind::Complete && bolt::tagOf(rest) == Tag::Reset) return true;
    resetScanOffset_ += frame.size;
  }
}

Step BoltServer::step(std::string_view bytes, std::size_t from, Buffer& out) {
  if (state_ == State::Handshake) return handshake(bytes.substr(from), out);
  if (interruptPending(bytes, from)) {
    // The request's unanswered messages get no reply from the endpoint any more; the messages before the
    // RESET are answered one by one.
    ignoreUnanswered(out);
    closeRequest();
    state_ = State::Interrupted;
    scan_ = {};
    return makeStep(Step::Kind::Interrupt);
  }
  const std::string_view rest = bytes.substr(from);
  if (requestKind_ != RequestKind::None &&
      (lastMessageReceived_ || mayEndWithReply_ || unanswered_ >= kMaxUnanswered))
    return {};
  const bolt::Frame frame = bolt::readFrame(rest, kClientMessageLimit, scan_);
  Step step;
  switch (frame.kind) {
    case bolt::Frame::Kind::Partial:
      step.partialMessage = !rest.empty();
      return step;
    case bolt::Frame::Kind::TooLong:
      return violation("a message is longer than any may be", out);
    case bolt::Frame::Kind::NoOp:
      resetScanOffset_ -= std::min(resetScanOffset_, frame.size);
      // Within a request a no-op is counted as a part of it.
      return makeStep(requestKind_ != RequestKind::None ? Step::Kind::RequestPart : Step::Kind::Handled,
                      frame.size);
    case bolt::Frame::Kind::Complete:
      break;
  }
  resetScanOffset_ -= std::min(resetScanOffset_, frame.size);
  const std::string_view payload = bolt::payloadOf(rest, frame, scratch_);
  unsigned fields = 0;
  const DecodeError decodeError = bolt::checkFields(payload, fields);
  if (decodeError != DecodeError::None) return violation(packstream::toText(decodeError), out);
  return handleMessage(static_cast<Tag>(payload[1]), payload, fields, frame.size, out);
}

Step BoltServer::handleMessage(Tag tag, std::string_view payload, unsigned fields, std::size_t size,
                               Buffer& out) {
  const auto expectedFields = fieldCountOf(tag);
  if (!expectedFields) return violation("a message of an unknown type", out);
  if (tag == Tag::Goodbye) return makeStep(Step::Kind::Disconnect);
  switch (state_) {
    case State::Failed:
    case State::Interrupted:
      if (tag == Tag::Reset) {
        state_ = State::Ready;
        bolt::writeSuccess(out);
      } else {
        bolt::writeEmptyMessage(out, Tag::Ignored);
      }
      return handled(size);
    case State::Negotiated:
      if (tag != Tag::Hello || fields != *expectedFields) return violation("HELLO is due", out);
      return handleHello(payload, size, out);
    case State::Authentication:
      if (tag != Tag::Logon || fields != *expectedFields) return violation("LOGON is due", out);
      return handleLogon(payload, size, out);
    case State::Ready:
    case State::Handshake:
      break;
  }
  if (fields != *expectedFields) return violation("a message has a wrong number of fields", out);
  return requestKind_ != RequestKind::None ? handleInRequest(tag, payload, size, out)
                                           : handleIdle(tag, payload, size, out);
}

bool BoltServer::acceptsAuthentication(std::string_view payload) const {
  Reader reader(payload, 2);
  const auto map = reader.header();
  if (!map || map->type != Type::Map) return false;
  std::string_view scheme = "none";
  for (std::size_t i = 0; i < map->size; ++i) {
    const auto key = reader.text();
    if (!key) return false;
    if (*key == "scheme") {
      const auto text = reader.text();
      if (!text) return false;
      scheme = *text;
    } else if (!reader.skip()) {
      return false;
    }
  }
  // As with PostgreSQL, any user is accepted; authorization is up to the endpoints.
  return scheme == "none" || scheme == "basic";
}

Step BoltServer::rejectAuthentication(Buffer& out) const {
  bolt::writeFailure(out, bolt::status::kUnauthorized, "this way of authentication is not known", 0);
  return makeStep(Step::Kind::Fatal);
}

Step BoltServer::handleHello(std::string_view payload, std::size_t size, Buffer& out) {
  if (!acceptsAuthentication(payload)) return rejectAuthentication(out);
  bolt::writeSuccess(
      out, {{"server", settings_.agent}, {"connection_id", "bolt-" + std::to_string(connectionNumber_)}});
  // Since 5.1 authentication has its own message.
  state_ = minorVersion_ >= 1 ? State::Authentication : State::Ready;
  return handled(size);
}

Step BoltServer::handleLogon(std::string_view payload, std::size_t size, Buffer& out) {
  if (!acceptsAuthentication(payload)) return rejectAuthentication(out);
  bolt::writeSuccess(out);
  state_ = State::Ready;
  return handled(size);
}

// The table names this gateway for every role, because the gateway chooses the endpoint.
void BoltServer::writeRoutingTable(Buffer& out) const {
  std::string body;
  packstream::addStructureHeader(body, static_cast<std::uint8_t>(Tag::Success), 1);
  packstream::addMapHeader(body, 1);
  packstream::addText(body, "rt");
  packstream::addMapHeader(body, 3);
  packstream::addText(body, "ttl");
  packstream::addInteger(body, kRoutingTableTtlSeconds);
  packstream::addText(body, "db");
  packstream::addText(body, settings_.family.empty() ? "default" : settings_.family);
  packstream::addText(body, "servers");
  packstream::addListHeader(body, 3);
  for (const std::string_view role : {"ROUTE", "READ", "WRITE"}) {
    packstream::addMapHeader(body, 2);
    packstream::addText(body, "addresses");
    packstream::addListHeader(body, 1);
    packstream::addText(body, settings_.advertised);
    packstream::addText(body, "role");
    packstream::addText(body, role);
  }
  bolt::writeMessage(out, body);
}

// Handles a message while no request is open.
Step BoltServer::handleIdle(Tag tag, std::string_view payload, std::size_t size, Buffer& out) {
  if (deferredFailure_ && tag != Tag::Reset) {
    // This message belongs to a transaction that has ended meanwhile.
    const DeferredFailure deferred = *std::exchange(deferredFailure_, std::nullopt);
    bolt::writeFailure(out, deferred.code, deferred.message, deferred.retryAfterMs);
    state_ = State::Failed;
    return handled(size);
  }
  deferredFailure_.reset();
  switch (tag) {
    case Tag::Run:
      return beginRequest(RequestKind::Statement, size);
    case Tag::Begin:
      return beginRequest(RequestKind::Transaction, size);
    case Tag::Reset:
      bolt::writeSuccess(out);
      return handled(size);
    case Tag::Logoff:
      if (minorVersion_ < 1) break;
      bolt::writeSuccess(out);
      state_ = State::Authentication;
      return handled(size);
    case Tag::Route:
      writeRoutingTable(out);
      return handled(size);
    case Tag::Telemetry: {
      Reader reader(payload, 2);
      const auto api = reader.header();
      if (minorVersion_ < 4 || !api || api->type != Type::Integer) break;
      bolt::writeSuccess(out);
      return handled(size);
    }
    default:
      break;
  }
  return violation("a message that does not belong here", out);
}

Step BoltServer::beginRequest(RequestKind kind, std::size_t size) {
  requestKind_ = kind;
  unanswered_ = 1;
  lastMessageReceived_ = mayEndWithReply_ = endpointFailed_ = false;
  mayCommit_ = kind == RequestKind::Statement;
  hasResult_ = kind == RequestKind::Statement;
  return makeStep(Step::Kind::Request, size);
}

Step BoltServer::addRequestPart(std::size_t size) {
  ++unanswered_;
  return makeStep(Step::Kind::RequestPart, size);
}

// Handles a message while a request is open.
Step BoltServer::handleInRequest(Tag tag, std::string_view payload, std::size_t size, Buffer& out) {
  switch (tag) {
    case Tag::Pull:
    case Tag::Discard: {
      const auto n = recordCountOf(payload);
      if (!n) return violation("PULL and DISCARD need a number of records", out);
      if (!hasResult_) break;
      if (requestKind_ == RequestKind::Statement) {
        lastMessageReceived_ = *n == -1;
        mayEndWithReply_ = !lastMessageReceived_;
      }
      return addRequestPart(size);
    }
    case Tag::Run:
      if (requestKind_ != RequestKind::Transaction) break;
      hasResult_ = true;
      return addRequestPart(size);
    case Tag::Commit:
    case Tag::Rollback:
      if (requestKind_ != RequestKind::Transaction) break;
      lastMessageReceived_ = true;
      mayCommit_ = tag == Tag::Commit;
      return addRequestPart(size);
    default:
      break;
  }
  return violation("a message that does not belong here", out);
}

std::optional<RequestMetadata> BoltServer::parseRequest(std::string_view request, std::string_view& problem) {
  bolt::ChunkScan scan;
  const bolt::Frame frame = bolt::readFrame(request, kClientMessageLimit, scan);
  const std::string_view payload = bolt::payloadOf(request, frame, scratch_);
  const Tag tag = static_cast<Tag>(payload[1]);
  if (tag == Tag::Run) {
    Reader reader(payload, 2);
    const auto parameters = reader.text() ? reader.header() : std::nullopt;
    if (!parameters || parameters->type != Type::Map) {
      problem = "RUN needs a statement and a map of parameters";
      return std::nullopt;
    }
  }
  const auto extra = bolt::readExtra(payload, tag, problem);
  if (!extra) return std::nullopt;
  RequestMetadata metadata;
  const bool hasClass = !extra->className.empty();
  isWrite_ = !extra->isRead;
  metadata.className = hasClass        ? extra->className
                       : extra->isRead ? settings_.readClass
                                       : settings_.writeClass;
  // A request without mode "r" is a write. For one with mode "r" its class decides, so it is a write as well
  // if it names a class of writes.
  if (!extra->isRead) metadata.write = true;
  ++requestCount_;
  requestId_ = std::string(extra->id);
  if (requestId_.empty())
    requestId_ = "bolt-" + std::to_string(connectionNumber_) + "-" + std::to_string(requestCount_);
  metadata.id = requestId_;
  metadata.keyed = !extra->key.empty();
  metadata.isClientRetry = extra->isClientRetry;
  metadata.session = extra->session;
  metadata.timeoutMs = extra->timeoutMs;
  if (extra->metadataTimeoutMs) {
    metadata.timeoutMs =
        std::min(metadata.timeoutMs.value_or(*extra->metadataTimeoutMs), *extra->metadataTimeoutMs);
  }
  if (extra->cluster) {
    metadata.group = extra->cluster;
  } else {
    const std::string_view name = extra->family.empty() ? settings_.family : extra->family;
    const auto family = settings_.families.find(std::string(name));
    if (family == settings_.families.end() && !name.empty()) {
      problem = "the request's family is not known";
      return std::nullopt;
    }
    if (family != settings_.families.end()) metadata.group = family->second;
  }
  group_ = metadata.group.value_or(0);
  minPositionMs_ = 0;
  for (const std::string_view text : extra->bookmarkTexts) {
    const auto bookmark = bolt::parseBookmark(text);
    // A foreign bookmark, which no gateway issued, may cover anything written so far, so it requires the
    // newest position.
    minPositionMs_ = std::max(
        minPositionMs_, bookmark ? std::min(bookmark->positionMs, kNewestPositionMs) : kNewestPositionMs);
  }
  if (!extra->bookmarkTexts.empty()) metadata.afterMs = minPositionMs_;
  return metadata;
}

// Writes the final reply. In the summary of a request that may have committed, the gateway's bookmark
// replaces the endpoint's.
void BoltServer::writeSummary(std::string_view message, std::int64_t nowMs, const Answer& answer,
                              Buffer& out) {
  bolt::ChunkScan scan;
  const bolt::Frame frame = bolt::readFrame(message, kEndpointAnswerLimit, scan);
  const std::string_view payload = bolt::payloadOf(message, frame, scratch_);
  const auto summary = bolt::readSummary(payload);
  const bool success = static_cast<Tag>(payload[1]) == Tag::Success;
  endpointFailed_ = endpointFailed_ || !success;
  // The bookmark covers the position that the endpoint reports. If it reports none, a commit happened no
  // later than now, and a read may have seen nothing, which is position 0.
  std::int64_t position = std::min(answer.positionMs.value_or(isWrite_ ? nowMs + 1 : 0), nowMs + kMaxAheadMs);
  // The new bookmark covers at least what the request's bookmarks required; for a foreign one that is
  // anything that may have been written by now.
  position = std::max(
      position, minPositionMs_ == kNewestPositionMs ? nowMs : std::min(minPositionMs_, nowMs + kMaxAheadMs));
  const bool hasBookmark = summary && summary->bookmarkEntry.size != 0;
  if (!summary || !success || !mayCommit_ || (position == 0 && !hasBookmark)) {
    out.append(message);
    return;
  }
  bolt::Bookmark bookmark{group_, position, summary->bookmark.of(payload)};
  std::string header;
  packstream::addStructureHeader(header, static_cast<std::uint8_t>(Tag::Success), 1);
  packstream::addMapHeader(header, summary->entries + (hasBookmark ? 0 : 1));
  std::string entry;
  packstream::addText(entry, "bookmark");
  packstream::addText(entry, bolt::toText(bookmark));
  const std::size_t at = hasBookmark ? summary->bookmarkEntry.at : payload.size();
  bolt::writeMessage(out, {header, payload.substr(summary->entriesAt, at - summary->entriesAt), entry,
                           payload.substr(at + summary->bookmarkEntry.size)});
}

void BoltServer::writeAnswer(const Answer& answer, std::string_view bytes, std::int64_t nowMs, Buffer& out) {
  out.append(answer.pieces[0].of(bytes));
  if (answer.pieces[1].size != 0) writeSummary(answer.pieces[1].of(bytes), nowMs, answer, out);
  out.append(answer.pieces[2].of(bytes));
  unanswered_ -= std::min(unanswered_, answer.replies);
  if (unanswered_ == 0) mayEndWithReply_ = false;
}

void BoltServer::ignoreUnanswered(Buffer& out) {
  for (; unanswered_ > 0; --unanswered_) bolt::writeEmptyMessage(out, Tag::Ignored);
}

// Marks the request as closed and resets the search for a RESET after it.
void BoltServer::closeRequest() {
  requestKind_ = RequestKind::None;
  resetScanOffset_ = 0;
  resetScan_ = {};
}

void BoltServer::finishAnswer(Buffer& out) {
  ignoreUnanswered(out);
  closeRequest();
  if (endpointFailed_) state_ = State::Failed;
}

// Ends the request with a failure as the reply to its first unanswered message. Later messages are ignored up
// to a RESET. If every message has its reply, the next one gets the failure.
void BoltServer::endWithFailure(std::string_view code, std::string_view message, std::int64_t retryAfterMs,
                                Buffer& out) {
  closeRequest();
  if (unanswered_ == 0) {
    deferredFailure_ = DeferredFailure{std::string(code), std::string(message), retryAfterMs};
    return;
  }
  bolt::writeFailure(out, code, message, retryAfterMs);
  --unanswered_;
  ignoreUnanswered(out);
  state_ = State::Failed;
}

void BoltServer::writeRejection(std::int64_t retryAfterMs, Buffer& out) {
  endWithFailure(bolt::status::kNoThreads, "not now", retryAfterMs, out);
}

void BoltServer::writeFailure(Buffer& out) {
  endWithFailure(bolt::status::kUnknown, "no member could serve this in time; it may have had an effect", 0,
                 out);
}

void BoltServer::writeInvalidRequest(std::string_view message, Buffer& out) {
  endWithFailure(bolt::status::kInvalid, message, 0, out);
}

void BoltServer::fatalError(Reason reason, std::string_view message, Buffer& out) {
  if (state_ == State::Handshake || reason == Reason::ShuttingDown) return;
  const bool later = reason == Reason::TooManyClients || reason == Reason::NoMemory;
  bolt::writeFailure(out, later ? bolt::status::kNoThreads : bolt::status::kInvalid, message, 0);
}

}  // namespace heathflow::protocol
