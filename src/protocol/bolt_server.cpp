#include "protocol/bolt_server.h"

#include <algorithm>
#include <utility>

namespace heathflow::protocol {
namespace {

using bolt::Tag;
using packstream::Flaw;
using packstream::Reader;
using packstream::Type;
using Step = ClientSide::Step;

// A routing table holds as long as that, seconds: it always names this gateway, and so hardly changes.
constexpr std::int64_t kRouteSeconds = 300;
// A position further ahead of the clock than a day is none. Nearer ones are told on as they are: our clock
// may be behind, and a bookmark that is older than its commit would let another instance serve a read without
// it.
constexpr std::int64_t kAheadAtMostMs = 86'400'000;
// Later than any clock, Unix milliseconds.
constexpr std::int64_t kNewest = 9'000'000'000'000;

// The number n of PULL and DISCARD; nothing where the map is not as it has to be.
std::optional<std::int64_t> countOf(std::string_view payload) {
  Reader reader(payload, 2);
  const auto map = reader.head();
  if (!map || map->type != Type::Map) return std::nullopt;
  std::optional<std::int64_t> n;
  for (std::size_t i = 0; i < map->size; ++i) {
    const auto key = reader.text();
    if (!key) return std::nullopt;
    if (*key != "n" && *key != "qid") {
      if (!reader.skip()) return std::nullopt;
      continue;
    }
    const auto value = reader.head();
    if (!value || value->type != Type::Integer || value->integer < -1) return std::nullopt;
    if (*key == "n") n = value->integer;
  }
  if (n && *n == 0) return std::nullopt;
  return n;
}

// How many fields a client's message has; nothing for what is none.
std::optional<unsigned> fieldsOf(Tag tag) {
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

Step stepOf(Step::Kind kind, std::size_t consumed = 0) {
  Step out;
  out.kind = kind;
  out.consumed = consumed;
  return out;
}

Step handled(std::size_t size) { return stepOf(Step::Kind::Handled, size); }

}  // namespace

BoltServer::BoltServer(BoltListening& listening) : listening_(listening), number_(++listening.connections) {}

Step BoltServer::violation(std::string_view message, Buffer& out) {
  if (state_ > State::Handshake) bolt::writeFailure(out, bolt::status::kInvalid, message, 0);
  Step step = stepOf(Step::Kind::Fatal);
  step.violation = true;
  return step;
}

Step BoltServer::handshake(std::string_view bytes, Buffer& out) {
  const std::size_t seen = std::min(bytes.size(), bolt::kMagic.size());
  // Whoever speaks something else is told nothing that it could take for an answer.
  if (bytes.substr(0, seen) != bolt::kMagic.substr(0, seen)) return violation({}, out);
  if (bytes.size() < bolt::kHandshakeSize) {
    Step step;
    step.part = !bytes.empty();
    return step;
  }
  const auto minor = bolt::chooseMinor(bytes.substr(bolt::kMagic.size(), 16));
  const char version[] = {0, 0, static_cast<char>(minor.value_or(0)),
                          static_cast<char>(minor ? bolt::kMajor : 0)};
  out.append({version, sizeof version});
  if (!minor) return stepOf(Step::Kind::Fatal);
  minor_ = *minor;
  state_ = State::Negotiated;
  return handled(bolt::kHandshakeSize);
}

// Whether a RESET stands anywhere in what has come behind the open request.
bool BoltServer::interrupted(std::string_view bytes, std::size_t from) {
  if (unit_ == Unit::None) return false;
  for (;;) {
    const std::string_view rest = bytes.substr(std::min(bytes.size(), from + lookedAt_));
    const bolt::Cut cut = bolt::cut(rest, kClientMessageLimit, lookScan_);
    if (cut.kind == bolt::Cut::Kind::Partial || cut.kind == bolt::Cut::Kind::TooLong) return false;
    if (cut.kind == bolt::Cut::Kind::Whole && bolt::tagOf(rest) == Tag::Reset) return true;
    lookedAt_ += cut.size;
  }
}

Step BoltServer::step(std::string_view bytes, std::size_t from, Buffer& out) {
  if (state_ == State::Handshake) return handshake(bytes.substr(from), out);
  if (interrupted(bytes, from)) {
    // What the endpoint was asked has no reply to come; what stands before the RESET gets its own in turn.
    ignoreOwed(out);
    over();
    state_ = State::Interrupted;
    scan_ = {};
    return stepOf(Step::Kind::Interrupt);
  }
  const std::string_view rest = bytes.substr(from);
  if (unit_ != Unit::None && (closing_ || awaiting_ || owed_ >= kOwedMost)) return {};
  const bolt::Cut cut = bolt::cut(rest, kClientMessageLimit, scan_);
  Step step;
  switch (cut.kind) {
    case bolt::Cut::Kind::Partial:
      step.part = !rest.empty();
      return step;
    case bolt::Cut::Kind::TooLong:
      return violation("a message is longer than any may be", out);
    case bolt::Cut::Kind::NoOp:
      lookedAt_ -= std::min(lookedAt_, cut.size);
      // Within a request it goes by with it.
      return stepOf(unit_ != Unit::None ? Step::Kind::More : Step::Kind::Handled, cut.size);
    case bolt::Cut::Kind::Whole:
      break;
  }
  lookedAt_ -= std::min(lookedAt_, cut.size);
  const std::string_view payload = bolt::payloadOf(rest, cut, scratch_);
  unsigned fields = 0;
  const Flaw flaw = bolt::checkFields(payload, fields);
  if (flaw != Flaw::None) return violation(packstream::toText(flaw), out);
  return message(static_cast<Tag>(payload[1]), payload, fields, cut.size, out);
}

Step BoltServer::message(Tag tag, std::string_view payload, unsigned fields, std::size_t size, Buffer& out) {
  const auto due = fieldsOf(tag);
  if (!due) return violation("a message of an unknown type", out);
  if (tag == Tag::Goodbye) return stepOf(Step::Kind::Left);
  switch (state_) {
    case State::Failed:
    case State::Interrupted:
      if (tag == Tag::Reset) {
        state_ = State::Ready;
        bolt::writeSuccess(out);
      } else {
        bolt::writePlain(out, Tag::Ignored);
      }
      return handled(size);
    case State::Negotiated:
      if (tag != Tag::Hello || fields != *due) return violation("HELLO is due", out);
      return hello(payload, size, out);
    case State::Authentication:
      if (tag != Tag::Logon || fields != *due) return violation("LOGON is due", out);
      return logon(payload, size, out);
    case State::Ready:
    case State::Handshake:
      break;
  }
  if (fields != *due) return violation("a message has a wrong number of fields", out);
  return unit_ != Unit::None ? within(tag, payload, size, out) : ready(tag, payload, size, out);
}

bool BoltServer::acceptable(std::string_view payload) const {
  Reader reader(payload, 2);
  const auto map = reader.head();
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
  // As on PostgreSQL's side, any user is welcome; who may do what is the endpoints' matter.
  return scheme == "none" || scheme == "basic";
}

Step BoltServer::unauthorized(Buffer& out) const {
  bolt::writeFailure(out, bolt::status::kUnauthorized, "this way of authentication is not known", 0);
  return stepOf(Step::Kind::Fatal);
}

Step BoltServer::hello(std::string_view payload, std::size_t size, Buffer& out) {
  if (!acceptable(payload)) return unauthorized(out);
  bolt::writeSuccess(out,
                     {{"server", listening_.agent}, {"connection_id", "bolt-" + std::to_string(number_)}});
  // Since 5.1 authentication is a message of its own.
  state_ = minor_ >= 1 ? State::Authentication : State::Ready;
  return handled(size);
}

Step BoltServer::logon(std::string_view payload, std::size_t size, Buffer& out) {
  if (!acceptable(payload)) return unauthorized(out);
  bolt::writeSuccess(out);
  state_ = State::Ready;
  return handled(size);
}

// The table names this gateway for all: it knows better than any client which endpoint is which.
void BoltServer::route(Buffer& out) const {
  std::string body;
  packstream::addStructureHead(body, static_cast<std::uint8_t>(Tag::Success), 1);
  packstream::addMapHead(body, 1);
  packstream::addText(body, "rt");
  packstream::addMapHead(body, 3);
  packstream::addText(body, "ttl");
  packstream::addInteger(body, kRouteSeconds);
  packstream::addText(body, "db");
  packstream::addText(body, listening_.family.empty() ? "default" : listening_.family);
  packstream::addText(body, "servers");
  packstream::addListHead(body, 3);
  for (const std::string_view role : {"ROUTE", "READ", "WRITE"}) {
    packstream::addMapHead(body, 2);
    packstream::addText(body, "addresses");
    packstream::addListHead(body, 1);
    packstream::addText(body, listening_.advertised);
    packstream::addText(body, "role");
    packstream::addText(body, role);
  }
  bolt::writeMessage(out, body);
}

// Between requests.
Step BoltServer::ready(Tag tag, std::string_view payload, std::size_t size, Buffer& out) {
  if (late_ && tag != Tag::Reset) {
    // The transaction that this belongs to has ended meanwhile.
    const Late late = *std::exchange(late_, std::nullopt);
    bolt::writeFailure(out, late.code, late.message, late.retryAfterMs);
    state_ = State::Failed;
    return handled(size);
  }
  late_.reset();
  switch (tag) {
    case Tag::Run:
      return begin(Unit::Statement, size);
    case Tag::Begin:
      return begin(Unit::Transaction, size);
    case Tag::Reset:
      bolt::writeSuccess(out);
      return handled(size);
    case Tag::Logoff:
      if (minor_ < 1) break;
      bolt::writeSuccess(out);
      state_ = State::Authentication;
      return handled(size);
    case Tag::Route:
      route(out);
      return handled(size);
    case Tag::Telemetry: {
      Reader reader(payload, 2);
      const auto api = reader.head();
      if (minor_ < 4 || !api || api->type != Type::Integer) break;
      bolt::writeSuccess(out);
      return handled(size);
    }
    default:
      break;
  }
  return violation("a message that does not belong here", out);
}

Step BoltServer::begin(Unit unit, std::size_t size) {
  unit_ = unit;
  owed_ = 1;
  closing_ = awaiting_ = failedByEndpoint_ = false;
  committing_ = unit == Unit::Statement;
  streaming_ = unit == Unit::Statement;
  return stepOf(Step::Kind::Request, size);
}

Step BoltServer::further(std::size_t size) {
  ++owed_;
  return stepOf(Step::Kind::More, size);
}

// Within a request.
Step BoltServer::within(Tag tag, std::string_view payload, std::size_t size, Buffer& out) {
  switch (tag) {
    case Tag::Pull:
    case Tag::Discard: {
      const auto n = countOf(payload);
      if (!n) return violation("PULL and DISCARD need a number of records", out);
      if (!streaming_) break;
      if (unit_ == Unit::Statement) {
        closing_ = *n == -1;
        awaiting_ = !closing_;
      }
      return further(size);
    }
    case Tag::Run:
      if (unit_ != Unit::Transaction) break;
      streaming_ = true;
      return further(size);
    case Tag::Commit:
    case Tag::Rollback:
      if (unit_ != Unit::Transaction) break;
      closing_ = true;
      committing_ = tag == Tag::Commit;
      return further(size);
    default:
      break;
  }
  return violation("a message that does not belong here", out);
}

std::optional<Asked> BoltServer::read(std::string_view request, std::string_view& problem) {
  bolt::ChunkScan scan;
  const bolt::Cut cut = bolt::cut(request, kClientMessageLimit, scan);
  const std::string_view payload = bolt::payloadOf(request, cut, scratch_);
  const Tag tag = static_cast<Tag>(payload[1]);
  if (tag == Tag::Run) {
    Reader reader(payload, 2);
    const auto parameters = reader.text() ? reader.head() : std::nullopt;
    if (!parameters || parameters->type != Type::Map) {
      problem = "RUN needs a statement and a map of parameters";
      return std::nullopt;
    }
  }
  const auto extra = bolt::readExtra(payload, tag, problem);
  if (!extra) return std::nullopt;
  Asked asked;
  const bool told = !extra->className.empty();
  writes_ = !extra->reads;
  asked.className = told ? extra->className : extra->reads ? listening_.readClass : listening_.writeClass;
  // Whatever is not plainly a read is a write. A read that names a class of writes is one as well.
  if (!extra->reads) asked.write = true;
  ++requests_;
  id_ = std::string(extra->id);
  if (id_.empty()) id_ = "bolt-" + std::to_string(number_) + "-" + std::to_string(requests_);
  asked.id = id_;
  asked.keyed = !extra->key.empty();
  asked.isClientRetry = extra->isClientRetry;
  asked.session = extra->session;
  asked.timeoutMs = extra->timeoutMs;
  if (extra->metadataTimeoutMs) {
    asked.timeoutMs =
        std::min(asked.timeoutMs.value_or(*extra->metadataTimeoutMs), *extra->metadataTimeoutMs);
  }
  if (extra->cluster) {
    asked.group = extra->cluster;
  } else {
    const std::string_view name = extra->family.empty() ? listening_.family : extra->family;
    const auto family = listening_.families.find(std::string(name));
    if (family == listening_.families.end() && !name.empty()) {
      problem = "the request's family is not known";
      return std::nullopt;
    }
    if (family != listening_.families.end()) asked.group = family->second;
  }
  group_ = asked.group.value_or(0);
  afterMs_ = 0;
  for (const std::string_view mark : extra->marks) {
    const auto bookmark = bolt::parseBookmark(mark);
    // One that is not ours may stand for anything up to now: it binds as tightly as can be.
    afterMs_ = std::max(afterMs_, bookmark ? std::min(bookmark->positionMs, kNewest) : kNewest);
  }
  if (!extra->marks.empty()) asked.afterMs = afterMs_;
  return asked;
}

// The summary of a request that may have committed gets this gateway's bookmark in place of the endpoint's.
void BoltServer::writeFinal(std::string_view message, std::int64_t nowMs, const Answer& answer, Buffer& out) {
  bolt::ChunkScan scan;
  const bolt::Cut cut = bolt::cut(message, kEndpointAnswerLimit, scan);
  const std::string_view payload = bolt::payloadOf(message, cut, scratch_);
  const auto summary = bolt::readSummary(payload);
  const bool success = static_cast<Tag>(payload[1]) == Tag::Success;
  failedByEndpoint_ = failedByEndpoint_ || !success;
  // Where a commit's position is not told it is no later than now. A read shows no more than what its
  // endpoint had, and covers what it was bound to.
  std::int64_t position =
      std::min(answer.positionMs.value_or(writes_ ? nowMs + 1 : 0), nowMs + kAheadAtMostMs);
  // A bookmark that is not ours stands for what may have been written by now.
  position = std::max(position, afterMs_ == kNewest ? nowMs : std::min(afterMs_, nowMs + kAheadAtMostMs));
  const bool gave = summary && summary->bookmarkEntry.size != 0;
  if (!summary || !success || !committing_ || (position == 0 && !gave)) {
    out.append(message);
    return;
  }
  bolt::Bookmark bookmark{group_, position, summary->bookmark.of(payload)};
  std::string head;
  packstream::addStructureHead(head, static_cast<std::uint8_t>(Tag::Success), 1);
  packstream::addMapHead(head, summary->entries + (gave ? 0 : 1));
  std::string entry;
  packstream::addText(entry, "bookmark");
  packstream::addText(entry, bolt::toText(bookmark));
  const std::size_t at = gave ? summary->bookmarkEntry.at : payload.size();
  bolt::writeMessage(out, {head, payload.substr(summary->entriesAt, at - summary->entriesAt), entry,
                           payload.substr(at + summary->bookmarkEntry.size)});
}

void BoltServer::pass(const Answer& answer, std::string_view bytes, std::int64_t nowMs, Buffer& out) {
  out.append(answer.pieces[0].of(bytes));
  if (answer.pieces[1].size != 0) writeFinal(answer.pieces[1].of(bytes), nowMs, answer, out);
  out.append(answer.pieces[2].of(bytes));
  owed_ -= std::min(owed_, answer.replies);
  if (owed_ == 0) awaiting_ = false;
}

void BoltServer::ignoreOwed(Buffer& out) {
  for (; owed_ > 0; --owed_) bolt::writePlain(out, Tag::Ignored);
}

// No request is open any more, and nothing is looked for behind it.
void BoltServer::over() {
  unit_ = Unit::None;
  lookedAt_ = 0;
  lookScan_ = {};
}

void BoltServer::served(Buffer& out) {
  ignoreOwed(out);
  over();
  if (failedByEndpoint_) state_ = State::Failed;
}

// The first message without a reply is told; what was sent behind it is ignored, up to a RESET.
void BoltServer::endWith(std::string_view code, std::string_view message, std::int64_t retryAfterMs,
                         Buffer& out) {
  over();
  if (owed_ == 0) {
    late_ = Late{std::string(code), std::string(message), retryAfterMs};
    return;
  }
  bolt::writeFailure(out, code, message, retryAfterMs);
  --owed_;
  ignoreOwed(out);
  state_ = State::Failed;
}

void BoltServer::rejected(std::int64_t retryAfterMs, Buffer& out) {
  endWith(bolt::status::kNoThreads, "not now", retryAfterMs, out);
}

void BoltServer::failed(Buffer& out) {
  endWith(bolt::status::kUnknown, "no member could serve this in time; it may have had an effect", 0, out);
}

void BoltServer::rejected(std::string_view message, Buffer& out) {
  endWith(bolt::status::kInvalid, message, 0, out);
}

void BoltServer::fatalError(Reason reason, std::string_view message, Buffer& out) {
  if (state_ == State::Handshake || reason == Reason::ShuttingDown) return;
  const bool later = reason == Reason::TooMany || reason == Reason::NoMemory;
  bolt::writeFailure(out, later ? bolt::status::kNoThreads : bolt::status::kInvalid, message, 0);
}

}  // namespace heathflow::protocol
