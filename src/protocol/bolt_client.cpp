#include "protocol/bolt_client.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace heathflow::protocol {
namespace {

using bolt::Tag;
using packstream::DecodeError;
using packstream::Reader;
using packstream::Type;

// Proposes versions 5.4 down to 5.0.
constexpr std::string_view kProposals("\0\4\4\5\0\0\0\0\0\0\0\0\0\0\0\0", 16);
// Returns the endpoint's load report: one row with one text.
constexpr std::string_view kHealthCheckStatement = "CALL heathflow.stats()";
// Bytes. A message has to fit into the buffered answer, with room for the header of the next one.
constexpr std::size_t kMaxMessageSize = kEndpointAnswerLimit - 4096;

void addEntry(std::string& out, std::string_view key, std::string_view text) {
  packstream::addText(out, key);
  packstream::addText(out, text);
}

// Returns whether a code concerns the gateway's own login to the endpoint and not the statement.
bool isLoginFailure(std::string_view code) {
  for (const std::string_view name : {"Unauthorized", "AuthorizationExpired", "TokenExpired",
                                      "CredentialsExpired", "AuthenticationRateLimit"}) {
    if (code == "Neo.ClientError.Security." + std::string(name)) return true;
  }
  return false;
}

}  // namespace

BoltClient::Event BoltClient::broken() {
  phase_ = Phase::Dead;
  return Event::Broken;
}

bool BoltClient::start(Buffer& out) { return out.append(bolt::kMagic) && out.append(kProposals); }

BoltClient::Event BoltClient::handshake(std::string_view bytes, Buffer& out) {
  if (bytes.size() < bolt::kVersionSize) return Event::NeedMore;
  const auto byte = [&](std::size_t at) { return static_cast<unsigned char>(bytes[at]); };
  const unsigned minor = byte(2);
  if (byte(0) != 0 || byte(1) != 0 || byte(3) != bolt::kMajor || minor > bolt::kMaxMinor) return broken();
  parsed_ = bolt::kVersionSize;
  phase_ = Phase::Starting;
  const bool named = !login_.principal.empty();
  std::string login;
  addEntry(login, "scheme", named ? "basic" : "none");
  if (named) {
    addEntry(login, "principal", login_.principal);
    addEntry(login, "credentials", login_.credentials);
  }
  const std::size_t loginEntries = named ? 3 : 1;
  const bool separateLogon = minor >= 1;
  const bool namesProduct = minor >= 3;
  std::string hello;
  packstream::addStructureHeader(hello, static_cast<std::uint8_t>(Tag::Hello), 1);
  packstream::addMapHeader(hello, 1 + (separateLogon ? 0 : loginEntries) + (namesProduct ? 1 : 0));
  addEntry(hello, "user_agent", login_.agent);
  if (!separateLogon) hello += login;
  if (namesProduct) {
    packstream::addText(hello, "bolt_agent");
    packstream::addMapHeader(hello, 1);
    addEntry(hello, "product", login_.agent);
  }
  if (!bolt::writeMessage(out, hello)) return broken();
  pendingReplies_.push_back(Tag::Hello);
  if (separateLogon) {
    std::string logon;
    packstream::addStructureHeader(logon, static_cast<std::uint8_t>(Tag::Logon), 1);
    packstream::addMapHeader(logon, loginEntries);
    logon += login;
    if (!bolt::writeMessage(out, logon)) return broken();
    pendingReplies_.push_back(Tag::Logon);
  }
  return Event::NeedMore;
}

std::size_t BoltClient::takeSurplusAnswers() { return std::exchange(surplusAnswers_, 0); }

// Starts a request. A connection that has carried one is reset in the same write: the endpoint may have sent
// its last answer again, and what precedes the reply to RESET is that copy. Returns false if the buffer has
// no room.
bool BoltClient::beginRequest(Buffer& out) {
  phase_ = Phase::Busy;
  const std::size_t before = out.size();
  if (reused_ && !bolt::writeEmptyMessage(out, Tag::Reset)) return false;
  reset_ = reused_ ? Reset::Awaited : Reset::None;
  reused_ = true;
  resemblesReset_ = lastReplyEmpty_ = false;
  answer_ = Answer{};
  pendingReplies_.clear();
  isTransaction_ = isHealthCheck_ = failureReceived_ = answerComplete_ = answerStarted_ = commitSent_ =
      partPassed_ = false;
  answerBegin_ = heldReplies_ = 0;
  onlyEmptyRepliesHeld_ = true;
  requestBytes_ = out.size() - before;
  mayRunAfter_ = mayPersistAfter_ = kNever;
  return true;
}

// Forwards RUN or BEGIN unchanged except for two values: the timeout becomes the remaining time, and each
// bookmark of the gateway becomes the endpoint's own bookmark within it, the only one that an endpoint
// understands.
bool BoltClient::writeFirstMessage(std::string_view payload, Tag tag, std::int64_t leftMs, Buffer& out) {
  std::string_view problem;
  const auto extra = bolt::readExtra(payload, tag, problem);
  if (!extra || (extra->timeout.size == 0 && extra->bookmarks.size == 0)) {
    return bolt::writeMessage(out, {payload});
  }
  std::string time;
  if (extra->timeout.size != 0) packstream::addInteger(time, leftMs);
  std::string bookmarkList;
  if (extra->bookmarks.size != 0) {
    std::vector<std::string_view> endpointBookmarks;
    for (const std::string_view text : extra->bookmarkTexts) {
      const auto bookmark = bolt::parseBookmark(text);
      // A bookmark without the gateway's prefix was issued by an endpoint.
      const std::string_view kept = bookmark ? bookmark->endpointBookmark : text;
      if (!kept.empty()) endpointBookmarks.push_back(kept);
    }
    packstream::addListHeader(bookmarkList, endpointBookmarks.size());
    for (const std::string_view text : endpointBookmarks) packstream::addText(bookmarkList, text);
  }
  struct Change {
    Slice at;
    std::string_view text;
  };
  Change first{extra->timeout, time};
  Change second{extra->bookmarks, bookmarkList};
  if (second.at.at < first.at.at) std::swap(first, second);
  return bolt::writeMessage(
      out, {payload.substr(0, first.at.at), first.text,
            payload.substr(first.at.at + first.at.size, second.at.at - first.at.at - first.at.size),
            second.text, payload.substr(second.at.at + second.at.size)});
}

bool BoltClient::writeMessages(std::string_view message, bool first, std::int64_t leftMs, Buffer& out) {
  const std::size_t before = out.size();
  while (!message.empty()) {
    bolt::ChunkScan scan;
    const bolt::Frame frame = bolt::readFrame(message, kClientMessageLimit, scan);
    if (frame.kind == bolt::Frame::Kind::NoOp) {
      message.remove_prefix(frame.size);
      continue;
    }
    if (frame.kind != bolt::Frame::Kind::Complete) return false;
    const std::string_view framedMessage = message.substr(0, frame.size);
    message.remove_prefix(frame.size);
    const std::string_view payload = bolt::payloadOf(framedMessage, frame, scratch_);
    const Tag tag = static_cast<Tag>(payload[1]);
    if (first ? !writeFirstMessage(payload, tag, leftMs, out) : !out.append(framedMessage)) return false;
    const std::size_t end = requestBytes_ + (out.size() - before);
    if (first) {
      isTransaction_ = tag == Tag::Begin;
      mayRunAfter_ = end;
      if (!isTransaction_) mayPersistAfter_ = end;
    }
    // Until COMMIT has been sent completely, the endpoint rolls back if the connection breaks.
    if (tag == Tag::Commit) {
      mayPersistAfter_ = std::min(mayPersistAfter_, end);
      commitSent_ = true;
    }
    pendingReplies_.push_back(tag);
    first = false;
  }
  requestBytes_ += out.size() - before;
  return true;
}

bool BoltClient::writeRequest(std::string_view request, Slice, std::int64_t leftMs, Buffer& out) {
  return beginRequest(out) && writeMessages(request, true, leftMs, out);
}

bool BoltClient::writeRequestPart(std::string_view message, Buffer& out) {
  // The endpoint has answered all before: only what it answers from here on may be sent again later.
  if (pendingReplies_.empty()) resemblesReset_ = false;
  return writeMessages(message, false, 0, out);
}

bool BoltClient::writeHealthCheck(Buffer& out) {
  const std::size_t before = out.size();
  if (!beginRequest(out)) return false;
  isHealthCheck_ = true;
  std::string run;
  packstream::addStructureHeader(run, static_cast<std::uint8_t>(Tag::Run), 3);
  packstream::addText(run, kHealthCheckStatement);
  packstream::addMapHeader(run, 0);
  packstream::addMapHeader(run, 1);
  addEntry(run, "mode", "r");
  std::string pull;
  packstream::addStructureHeader(pull, static_cast<std::uint8_t>(Tag::Pull), 1);
  packstream::addMapHeader(pull, 1);
  packstream::addText(pull, "n");
  packstream::addInteger(pull, -1);
  if (!bolt::writeMessage(out, run) || !bolt::writeMessage(out, pull)) return false;
  requestBytes_ = mayRunAfter_ = mayPersistAfter_ = out.size() - before;
  pendingReplies_ = {Tag::Run, Tag::Pull};
  return true;
}

bool BoltClient::recover(Buffer& out) {
  if (phase_ != Phase::Failed || resemblesReset_) return false;
  if (!bolt::writeEmptyMessage(out, Tag::Reset)) return false;
  phase_ = Phase::Recovering;
  answerComplete_ = false;
  pendingReplies_.clear();
  reset_ = Reset::Awaited;
  return true;
}

void BoltClient::onConsumed() {
  parsed_ = answerBegin_ = heldReplies_ = 0;
  onlyEmptyRepliesHeld_ = true;
  scan_ = {};
  answer_.pieces = {};
  answer_.report = answer_.code = {};
  answer_.replies = 0;
  partPassed_ = phase_ == Phase::Busy && answerStarted_;
}

Answer::Kind BoltClient::classifyFailure(std::string_view code) {
  // According to the specification a transient failure has been rolled back, and so has any failure before a
  // COMMIT.
  const bool transient = code.starts_with("Neo.TransientError.");
  answer_.rolledBack = transient || (isTransaction_ && !commitSent_);
  if (code == bolt::status::kNoThreads) return Answer::Kind::Overloaded;
  if (code == bolt::status::kNotALeader || code == bolt::status::kReadOnly ||
      code == bolt::status::kBookmarkTimeout) {
    answer_.rolledBack = true;
    return Answer::Kind::PreconditionFailed;
  }
  if (code == bolt::status::kGeneralUnavailable || code == bolt::status::kDatabaseUnavailable)
    return Answer::Kind::Unavailable;
  if (isLoginFailure(code)) {
    answer_.rolledBack = true;
    return Answer::Kind::Error;
  }
  // The statement is at fault: every endpoint would give this answer, so it is passed on to the client.
  if (code.starts_with("Neo.ClientError.")) return Answer::Kind::Value;
  return Answer::Kind::Error;
}

// Completes the answer; no further reply belongs to the request.
BoltClient::Event BoltClient::finishAnswer(Answer::Kind kind) {
  answerComplete_ = true;
  answer_.kind = kind;
  phase_ = failureReceived_ ? Phase::Failed : Phase::Idle;
  return Event::Answered;
}

// Returns the position of a piece of a payload in the bytes that were fed; an empty slice if the message had
// several chunks, because its payload was then assembled in a separate buffer.
Slice BoltClient::sliceOf(std::string_view piece, std::string_view message) const {
  if (piece.empty() || piece.data() < message.data() || piece.data() >= message.data() + message.size()) {
    return {};
  }
  return {parsed_ + static_cast<std::size_t>(piece.data() - message.data()), piece.size()};
}

// Drops a reply of 'size' bytes that has no entries and comes in place of RUN's, which names the fields of
// the result: a copy of an earlier reply, such as that to RESET or to the login. The replies before it that
// are held back are equal to it, so that the first bytes are left out in place of its own.
BoltClient::Event BoltClient::dropEmptyReply(std::size_t size) {
  if (!onlyEmptyRepliesHeld_ || parsed_ - answerBegin_ != heldReplies_ * size) return broken();
  ++surplusAnswers_;
  answerBegin_ += size;
  return Event::NeedMore;
}

// Records a reply of the request's answer. A copy of an answer in which another reply follows an empty one
// can't be told from the reply to RESET and what follows that.
void BoltClient::recordReply(bool empty) {
  resemblesReset_ = resemblesReset_ || lastReplyEmpty_;
  lastReplyEmpty_ = empty && !pendingReplies_.empty();
  ++heldReplies_;
  onlyEmptyRepliesHeld_ = onlyEmptyRepliesHeld_ && empty;
  ++answer_.replies;
}

BoltClient::Event BoltClient::handleReply(std::string_view message, std::string_view payload, Tag tag) {
  const Tag request = pendingReplies_.front();
  if (tag == Tag::Ignored) {
    if (!failureReceived_ || payload.size() != 2) return broken();
    pendingReplies_.pop_front();
    recordReply(false);
    return pendingReplies_.empty() ? finishAnswer(answer_.kind) : Event::NeedMore;
  }
  if (failureReceived_) return broken();
  const auto summary = bolt::readSummary(payload);
  if (!summary) return broken();
  if (tag == Tag::Success && request == Tag::Run && !summary->hasFields) {
    return summary->entries == 0 ? dropEmptyReply(message.size()) : broken();
  }
  pendingReplies_.pop_front();
  recordReply(summary->entries == 0);
  if (summary->primary) answer_.primary = summary->primary;
  if (summary->positionMs) answer_.positionMs = summary->positionMs;
  if (summary->report.size != 0) answer_.report = sliceOf(summary->report.of(payload), message);
  if (tag == Tag::Failure) {
    failureReceived_ = true;
    const Answer::Kind kind = classifyFailure(summary->code);
    answer_.kind = kind;
    answer_.pieces[1] = {parsed_, message.size()};
    answer_.code = sliceOf(summary->code, message);
    return pendingReplies_.empty() ? finishAnswer(kind) : Event::NeedMore;
  }
  const bool lastPart =
      request == Tag::Commit || request == Tag::Rollback ||
      (!isTransaction_ && (request == Tag::Pull || request == Tag::Discard) && !summary->hasMore);
  if (!lastPart) return Event::NeedMore;
  // A reply that ends the request must be the last one pending.
  if (!pendingReplies_.empty()) return broken();
  answer_.pieces[1] = {parsed_, message.size()};
  if (isHealthCheck_)
    return finishAnswer(answer_.value.size == 0 ? Answer::Kind::Empty : Answer::Kind::Value);
  return finishAnswer(Answer::Kind::Value);
}

// Handles one complete message of the endpoint.
BoltClient::Event BoltClient::handleMessage(std::string_view message, std::string_view payload, Tag tag) {
  unsigned fields = 0;
  if (bolt::checkFields(payload, fields) != DecodeError::None) return broken();
  if (tag != Tag::Success && tag != Tag::Failure && tag != Tag::Ignored && tag != Tag::Record)
    return broken();
  if (phase_ == Phase::Starting) return handleStartupReply(payload, tag);
  if (phase_ != Phase::Busy && phase_ != Phase::Recovering) return broken();
  if (reset_ != Reset::None) return handleBeforeReset(payload, tag);
  answerStarted_ = true;
  if (pendingReplies_.empty()) return broken();
  return tag == Tag::Record ? handleRecord(message, payload, fields) : handleReply(message, payload, tag);
}

BoltClient::Event BoltClient::handleStartupReply(std::string_view payload, Tag tag) {
  if (tag == Tag::Failure) {
    const auto summary = bolt::readSummary(payload);
    if (!summary) return broken();
    answer_ = Answer{};
    const Answer::Kind kind = classifyFailure(summary->code);
    // No statement has been sent yet that could be at fault.
    answer_.kind = kind == Answer::Kind::Value ? Answer::Kind::Error : kind;
    phase_ = Phase::Dead;
    return Event::Rejected;
  }
  if (tag != Tag::Success || pendingReplies_.empty()) return broken();
  pendingReplies_.pop_front();
  if (!pendingReplies_.empty()) return Event::NeedMore;
  phase_ = Phase::Idle;
  return Event::Ready;
}

// Handles a message that precedes the reply to RESET, or that reply, which has no entries.
BoltClient::Event BoltClient::handleBeforeReset(std::string_view payload, Tag tag) {
  if (tag == Tag::Success) {
    const auto summary = bolt::readSummary(payload);
    if (!summary) return broken();
    if (summary->entries == 0) return finishReset();
  }
  // An answer with a failure is followed by a RESET at once, so a copy of it precedes the reply to that one.
  const bool ofFailure = tag == Tag::Failure || tag == Tag::Ignored;
  if (ofFailure && phase_ != Phase::Recovering) return broken();
  if (std::exchange(reset_, Reset::AwaitedBehindSurplus) == Reset::Awaited) ++surplusAnswers_;
  return Event::NeedMore;
}

BoltClient::Event BoltClient::finishReset() {
  reset_ = Reset::None;
  if (phase_ == Phase::Busy) return Event::Surplus;
  reused_ = false;
  phase_ = Phase::Idle;
  return Event::Ready;
}

BoltClient::Event BoltClient::handleRecord(std::string_view message, std::string_view payload,
                                           unsigned fields) {
  if (fields != 1 || pendingReplies_.front() != Tag::Pull || failureReceived_) return broken();
  onlyEmptyRepliesHeld_ = false;
  Reader reader(payload, 2);
  const auto list = reader.header();
  if (!list || list->type != Type::List) return broken();
  if (!isHealthCheck_) return Event::NeedMore;
  const auto text = list->size == 1 ? reader.text() : std::nullopt;
  if (!text || answer_.value.size != 0) return broken();
  answer_.value = sliceOf(*text, message);
  return answer_.value.size == text->size() ? Event::NeedMore : broken();
}

BoltClient::Event BoltClient::feed(std::string_view bytes, bool full, Buffer& out) {
  if (phase_ == Phase::Handshake) {
    const Event event = handshake(bytes, out);
    if (event != Event::NeedMore || phase_ == Phase::Handshake) return event;
  }
  // A complete answer is reported again until its bytes are consumed: the client may not have had room for
  // it.
  if (answerComplete_ && (phase_ == Phase::Idle || phase_ == Phase::Failed) && parsed_ > 0)
    return Event::Answered;
  while (parsed_ < bytes.size()) {
    // Unsolicited bytes must never be taken for the answer to the next request.
    if (phase_ == Phase::Idle || phase_ == Phase::Failed || phase_ == Phase::Dead) return broken();
    const std::string_view rest = bytes.substr(parsed_);
    const bolt::Frame frame = bolt::readFrame(rest, kMaxMessageSize, scan_);
    if (frame.kind == bolt::Frame::Kind::TooLong) return broken();
    if (frame.kind == bolt::Frame::Kind::Partial) break;
    if (frame.kind == bolt::Frame::Kind::Complete) {
      const std::string_view message = rest.substr(0, frame.size);
      const std::string_view payload = bolt::payloadOf(message, frame, scratch_);
      if (payload.size() < 2) return broken();
      const Event event = handleMessage(message, payload, static_cast<Tag>(payload[1]));
      if (event == Event::Broken) return event;
      parsed_ += frame.size;
      if (event == Event::Answered) {
        // Forwards the bytes before the final reply unchanged, and the IGNORED messages after it too.
        answer_.pieces[0] = {answerBegin_, answer_.pieces[1].at - answerBegin_};
        const std::size_t end = answer_.pieces[1].at + answer_.pieces[1].size;
        answer_.pieces[2] = {end, parsed_ - end};
      }
      if (event != Event::NeedMore) return event;
    } else {
      parsed_ += frame.size;
    }
  }
  if (reset_ != Reset::None) return parsed_ == 0 ? Event::NeedMore : Event::Surplus;
  if (phase_ != Phase::Busy || parsed_ == answerBegin_ || failureReceived_ || isHealthCheck_)
    return Event::NeedMore;
  // Reports a part if every message sent so far has its reply, so that the client has to continue; if no more
  // can be held back; or if a part has been passed on already, so that no other endpoint can take over.
  if (!partPassed_ && !pendingReplies_.empty() && !full && parsed_ < kMaxHeldBack) return Event::NeedMore;
  answer_.pieces[0] = {answerBegin_, parsed_ - answerBegin_};
  return Event::Part;
}

}  // namespace heathflow::protocol
