#include "protocol/bolt_client.h"

#include <algorithm>
#include <vector>

namespace heathflow::protocol {
namespace {

using bolt::Tag;
using packstream::Flaw;
using packstream::Reader;
using packstream::Type;

// All from 5.4 down to 5.0.
constexpr std::string_view kProposals("\0\4\4\5\0\0\0\0\0\0\0\0\0\0\0\0", 16);
// An endpoint reports on itself in one row of one text.
constexpr std::string_view kHealthCheckStatement = "CALL heathflow.stats()";
// Of one message: it has to fit what is held of an answer, with room for a further one's head.
constexpr std::size_t kMessageMost = kEndpointAnswerLimit - 4096;

void addEntry(std::string& out, std::string_view key, std::string_view text) {
  packstream::addText(out, key);
  packstream::addText(out, text);
}

// The codes that concern the gateway's own standing with an endpoint, and no statement.
bool ofLogin(std::string_view code) {
  for (const std::string_view own : {"Unauthorized", "AuthorizationExpired", "TokenExpired",
                                     "CredentialsExpired", "AuthenticationRateLimit"}) {
    if (code == "Neo.ClientError.Security." + std::string(own)) return true;
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
  if (byte(0) != 0 || byte(1) != 0 || byte(3) != bolt::kMajor || minor > bolt::kMinorMost) return broken();
  seen_ = bolt::kVersionSize;
  phase_ = Phase::Starting;
  const bool named = !login_.principal.empty();
  std::string login;
  addEntry(login, "scheme", named ? "basic" : "none");
  if (named) {
    addEntry(login, "principal", login_.principal);
    addEntry(login, "credentials", login_.credentials);
  }
  const std::size_t loginEntries = named ? 3 : 1;
  const bool apart = minor >= 1;
  const bool tellsProduct = minor >= 3;
  std::string hello;
  packstream::addStructureHead(hello, static_cast<std::uint8_t>(Tag::Hello), 1);
  packstream::addMapHead(hello, 1 + (apart ? 0 : loginEntries) + (tellsProduct ? 1 : 0));
  addEntry(hello, "user_agent", login_.agent);
  if (!apart) hello += login;
  if (tellsProduct) {
    packstream::addText(hello, "bolt_agent");
    packstream::addMapHead(hello, 1);
    addEntry(hello, "product", login_.agent);
  }
  if (!bolt::writeMessage(out, hello)) return broken();
  owed_.push_back(Tag::Hello);
  if (apart) {
    std::string logon;
    packstream::addStructureHead(logon, static_cast<std::uint8_t>(Tag::Logon), 1);
    packstream::addMapHead(logon, loginEntries);
    logon += login;
    if (!bolt::writeMessage(out, logon)) return broken();
    owed_.push_back(Tag::Logon);
  }
  return Event::NeedMore;
}

void BoltClient::begin() {
  phase_ = Phase::Busy;
  answer_ = Answer{};
  owed_.clear();
  transaction_ = healthChecking_ = failing_ = done_ = answering_ = committing_ = passed_ = false;
  written_ = 0;
  runsFrom_ = effectFrom_ = kNever;
}

// RUN or BEGIN goes out as it came, but for the time that is left and for the bookmarks, of which an endpoint
// knows its own only.
bool BoltClient::writeFirst(std::string_view payload, Tag tag, std::int64_t leftMs, Buffer& out) {
  std::string_view problem;
  const auto extra = bolt::readExtra(payload, tag, problem);
  if (!extra || (extra->timeout.size == 0 && extra->bookmarks.size == 0)) {
    return bolt::writeMessage(out, {payload});
  }
  std::string time;
  if (extra->timeout.size != 0) packstream::addInteger(time, leftMs);
  std::string marks;
  if (extra->bookmarks.size != 0) {
    std::vector<std::string_view> own;
    for (const std::string_view mark : extra->marks) {
      const auto bookmark = bolt::parseBookmark(mark);
      // One that is not ours was an endpoint's from the first.
      const std::string_view kept = bookmark ? bookmark->own : mark;
      if (!kept.empty()) own.push_back(kept);
    }
    packstream::addListHead(marks, own.size());
    for (const std::string_view mark : own) packstream::addText(marks, mark);
  }
  struct Change {
    Slice at;
    std::string_view text;
  };
  Change first{extra->timeout, time};
  Change second{extra->bookmarks, marks};
  if (second.at.at < first.at.at) std::swap(first, second);
  return bolt::writeMessage(
      out, {payload.substr(0, first.at.at), first.text,
            payload.substr(first.at.at + first.at.size, second.at.at - first.at.at - first.at.size),
            second.text, payload.substr(second.at.at + second.at.size)});
}

bool BoltClient::push(std::string_view message, bool first, std::int64_t leftMs, Buffer& out) {
  const std::size_t before = out.size();
  while (!message.empty()) {
    bolt::ChunkScan scan;
    const bolt::Cut cut = bolt::cut(message, kClientMessageLimit, scan);
    if (cut.kind == bolt::Cut::Kind::NoOp) {
      message.remove_prefix(cut.size);
      continue;
    }
    if (cut.kind != bolt::Cut::Kind::Whole) return false;
    const std::string_view whole = message.substr(0, cut.size);
    message.remove_prefix(cut.size);
    const std::string_view payload = bolt::payloadOf(whole, cut, scratch_);
    const Tag tag = static_cast<Tag>(payload[1]);
    if (first ? !writeFirst(payload, tag, leftMs, out) : !out.append(whole)) return false;
    const std::size_t end = written_ + (out.size() - before);
    if (first) {
      transaction_ = tag == Tag::Begin;
      runsFrom_ = end;
      if (!transaction_) effectFrom_ = end;
    }
    // Until a COMMIT is out whole the endpoint takes all back when the connection breaks.
    if (tag == Tag::Commit) {
      effectFrom_ = std::min(effectFrom_, end);
      committing_ = true;
    }
    owed_.push_back(tag);
    first = false;
  }
  written_ += out.size() - before;
  return true;
}

bool BoltClient::ask(std::string_view request, Slice, std::int64_t leftMs, Buffer& out) {
  begin();
  return push(request, true, leftMs, out);
}

bool BoltClient::more(std::string_view message, Buffer& out) { return push(message, false, 0, out); }

bool BoltClient::askHealthCheck(Buffer& out) {
  begin();
  healthChecking_ = true;
  const std::size_t before = out.size();
  std::string run;
  packstream::addStructureHead(run, static_cast<std::uint8_t>(Tag::Run), 3);
  packstream::addText(run, kHealthCheckStatement);
  packstream::addMapHead(run, 0);
  packstream::addMapHead(run, 1);
  addEntry(run, "mode", "r");
  std::string pull;
  packstream::addStructureHead(pull, static_cast<std::uint8_t>(Tag::Pull), 1);
  packstream::addMapHead(pull, 1);
  packstream::addText(pull, "n");
  packstream::addInteger(pull, -1);
  if (!bolt::writeMessage(out, run) || !bolt::writeMessage(out, pull)) return false;
  written_ = runsFrom_ = effectFrom_ = out.size() - before;
  owed_ = {Tag::Run, Tag::Pull};
  return true;
}

bool BoltClient::tidy(Buffer& out) {
  if (phase_ != Phase::Failed) return false;
  if (!bolt::writePlain(out, Tag::Reset)) return false;
  phase_ = Phase::Tidying;
  done_ = false;
  owed_ = {Tag::Reset};
  return true;
}

void BoltClient::dropped() {
  seen_ = 0;
  scan_ = {};
  answer_.pieces = {};
  answer_.report = answer_.code = {};
  answer_.replies = 0;
  passed_ = phase_ == Phase::Busy;
}

Answer::Kind BoltClient::kindOf(std::string_view code) {
  // As the specification has it, a transient failure has been rolled back, and so has every one before a
  // COMMIT.
  const bool transient = code.starts_with("Neo.TransientError.");
  answer_.rolledBack = transient || (transaction_ && !committing_);
  if (code == bolt::status::kNoThreads) return Answer::Kind::Full;
  if (code == bolt::status::kNotALeader || code == bolt::status::kReadOnly ||
      code == bolt::status::kBookmarkTimeout) {
    answer_.rolledBack = true;
    return Answer::Kind::Miss;
  }
  if (code == bolt::status::kUnavailable || code == bolt::status::kUnavailableToo)
    return Answer::Kind::NotNow;
  if (ofLogin(code)) {
    answer_.rolledBack = true;
    return Answer::Kind::Error;
  }
  // The statement's own fault: every endpoint would say the same, and the client is to read it.
  if (code.starts_with("Neo.ClientError.")) return Answer::Kind::Value;
  return Answer::Kind::Error;
}

// The request is over with this reply.
BoltClient::Event BoltClient::ended(Answer::Kind kind) {
  done_ = true;
  answer_.kind = kind;
  phase_ = failing_ ? Phase::Failed : Phase::Idle;
  return Event::Answered;
}

// Where a piece of a payload stands in the bytes that were fed. Nowhere for one of a message in several
// chunks, which was put together apart from them.
Slice BoltClient::placeOf(std::string_view piece, std::string_view message) const {
  if (piece.empty() || piece.data() < message.data() || piece.data() >= message.data() + message.size()) {
    return {};
  }
  return {seen_ + static_cast<std::size_t>(piece.data() - message.data()), piece.size()};
}

BoltClient::Event BoltClient::takeReply(std::string_view message, std::string_view payload, Tag tag) {
  const Tag asked = owed_.front();
  owed_.pop_front();
  ++answer_.replies;
  if (tag == Tag::Ignored) {
    if (!failing_ || payload.size() != 2) return broken();
    return owed_.empty() ? ended(answer_.kind) : Event::NeedMore;
  }
  if (failing_) return broken();
  const auto summary = bolt::readSummary(payload);
  if (!summary) return broken();
  if (summary->primary) answer_.primary = summary->primary;
  if (summary->positionMs) answer_.positionMs = summary->positionMs;
  if (summary->report.size != 0) answer_.report = placeOf(summary->report.of(payload), message);
  if (tag == Tag::Failure) {
    failing_ = true;
    const Answer::Kind kind = kindOf(summary->code);
    answer_.kind = kind;
    answer_.pieces[1] = {seen_, message.size()};
    answer_.code = placeOf(summary->code, message);
    return owed_.empty() ? ended(kind) : Event::NeedMore;
  }
  const bool lastPart = asked == Tag::Commit || asked == Tag::Rollback ||
                        (!transaction_ && (asked == Tag::Pull || asked == Tag::Discard) && !summary->hasMore);
  if (!lastPart) return Event::NeedMore;
  // Nothing may have been asked behind the last.
  if (!owed_.empty()) return broken();
  answer_.pieces[1] = {seen_, message.size()};
  if (healthChecking_) return ended(answer_.value.size == 0 ? Answer::Kind::Empty : Answer::Kind::Value);
  return ended(Answer::Kind::Value);
}

// One whole message of the endpoint.
BoltClient::Event BoltClient::take(std::string_view message, std::string_view payload, Tag tag) {
  unsigned fields = 0;
  if (bolt::checkFields(payload, fields) != Flaw::None) return broken();
  switch (phase_) {
    case Phase::Starting:
    case Phase::Tidying:
      if (tag == Tag::Failure && phase_ == Phase::Starting) {
        const auto summary = bolt::readSummary(payload);
        if (!summary) return broken();
        answer_ = Answer{};
        const Answer::Kind kind = kindOf(summary->code);
        // A statement is at fault nowhere yet.
        answer_.kind = kind == Answer::Kind::Value ? Answer::Kind::Error : kind;
        phase_ = Phase::Dead;
        return Event::Rejected;
      }
      if (tag != Tag::Success || owed_.empty()) return broken();
      owed_.pop_front();
      if (!owed_.empty()) return Event::NeedMore;
      phase_ = Phase::Idle;
      return Event::Ready;
    case Phase::Busy:
      break;
    default:
      return broken();
  }
  answering_ = true;
  if (owed_.empty()) return broken();
  if (tag == Tag::Record) {
    if (fields != 1 || owed_.front() != Tag::Pull || failing_) return broken();
    Reader reader(payload, 2);
    const auto list = reader.head();
    if (!list || list->type != Type::List) return broken();
    if (healthChecking_) {
      const auto text = list->size == 1 ? reader.text() : std::nullopt;
      if (!text || answer_.value.size != 0) return broken();
      answer_.value = placeOf(*text, message);
      if (answer_.value.size != text->size()) return broken();
    }
    return Event::NeedMore;
  }
  if (tag != Tag::Success && tag != Tag::Failure && tag != Tag::Ignored) return broken();
  return takeReply(message, payload, tag);
}

BoltClient::Event BoltClient::feed(std::string_view bytes, bool full, Buffer& out) {
  if (phase_ == Phase::Handshake) {
    const Event event = handshake(bytes, out);
    if (event != Event::NeedMore || phase_ == Phase::Handshake) return event;
  }
  // Looked at again, once the client can take more.
  if (done_ && (phase_ == Phase::Idle || phase_ == Phase::Failed) && seen_ > 0) return Event::Answered;
  while (seen_ < bytes.size()) {
    // Bytes that nobody asked for are never taken for an answer to what is asked next.
    if (phase_ == Phase::Idle || phase_ == Phase::Failed || phase_ == Phase::Dead) return broken();
    const std::string_view rest = bytes.substr(seen_);
    const bolt::Cut cut = bolt::cut(rest, kMessageMost, scan_);
    if (cut.kind == bolt::Cut::Kind::TooLong) return broken();
    if (cut.kind == bolt::Cut::Kind::Partial) break;
    if (cut.kind == bolt::Cut::Kind::Whole) {
      const std::string_view message = rest.substr(0, cut.size);
      const std::string_view payload = bolt::payloadOf(message, cut, scratch_);
      if (payload.size() < 2) return broken();
      const Event event = take(message, payload, static_cast<Tag>(payload[1]));
      if (event == Event::Broken) return event;
      seen_ += cut.size;
      if (event == Event::Answered) {
        // What stands before the last reply goes out as it is, and what was ignored behind it too.
        answer_.pieces[0] = {0, answer_.pieces[1].at};
        const std::size_t end = answer_.pieces[1].at + answer_.pieces[1].size;
        answer_.pieces[2] = {end, seen_ - end};
      }
      if (event != Event::NeedMore) return event;
    } else {
      seen_ += cut.size;
    }
  }
  if (phase_ != Phase::Busy || seen_ == 0 || failing_ || healthChecking_) return Event::NeedMore;
  // All that was asked has its reply and the client has to ask on; or there is too much to be held back; or a
  // part has been passed on already, and there is nothing to hold the rest back for.
  if (!passed_ && !owed_.empty() && !full && seen_ < kHeldBack) return Event::NeedMore;
  answer_.pieces[0] = {0, seen_};
  return Event::Part;
}

}  // namespace heathflow::protocol
