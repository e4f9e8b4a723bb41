#include "routing/client_session.h"

#include <algorithm>
#include <string>

#include "protocol/request_comment.h"
#include "routing/hash.h"

namespace heathflow::routing {
namespace {

namespace sqlstate = protocol::sqlstate;

using transport::kMicrosPerMilli;
// One message and what may be pipelined behind it; one answer and what stands around it.
constexpr transport::Stream::Limits kLimits = {protocol::kClientMessageLimit + 4 * 1024,
                                               protocol::kMemberAnswerLimit + 16 * 1024};
// How long a client may take to read what it no longer waits for (its last answer, or that it was told off),
// and to go on with a message when its place is wanted.
constexpr Micros kFarewell = 1'000'000;
// LATER, Bad clients: whoever sends nothing that can be read is owed an error or a close within 3 s of
// connecting. The same time is given to a message that has begun.
constexpr Micros kPatience = 2'500'000;
// For how long a client that has been told its last may go on sending (6 s are counted with 60 MB).
constexpr Micros kDrain = 2'500'000;
// Guards the others against one that sends hundreds of messages at once: so many of them a turn.
constexpr int kMessagesPerTurn = 16;
// An id longer than this is none.
constexpr std::size_t kLongestId = 128;
// Beyond this a client's patience is no time at all.
constexpr std::int64_t kMostPatienceMs = 86'400'000;

}  // namespace

ClientSession::ClientSession(transport::EventLoop& loop, ClientSessionOwner& owner, Router& router,
                             Shared& shared, Observer& observer)
    : loop_(loop),
      owner_(owner),
      router_(router),
      shared_(shared),
      observer_(observer),
      stream_(loop, *this, kLimits),
      farewell_(loop,
                [this] {
                  if (!stream_.output().empty()) ++observer_.counters.clientsNotReading;
                  over();
                }),
      due_(loop, [this] { overdue(); }),
      nextTurn_(loop, [this] { process(); }) {}

ClientSession::~ClientSession() = default;

bool ClientSession::adopt(transport::UniqueFd fd) {
  restingSince_ = loop_.now();
  due_.arm(loop_.now() + kPatience);
  return stream_.adopt(std::move(fd));
}

std::string_view ClientSession::statement() const { return statement_.of(stream_.input().view()); }

void ClientSession::onInput() {
  readAt_ = loop_.now();
  process();
  // Guards memory: a message for which there is none is turned away, so that others get theirs.
  if (!stream_.stalled() || partSince_ == 0 || busy_ || over_ || ending_) return;
  ++observer_.counters.memoryRefusals;
  observer_.note(Topic::Limits, "a client's message was turned away: no memory is left for it");
  endWith(sqlstate::kTooManyConnections, "no memory is left");
}

void ClientSession::onDrained() {
  if (ending_) return stream_.endSending();
  farewell_.disarm();
  process();
}

// A client that closes has left, whatever it had asked.
void ClientSession::onEnd(transport::StreamEnd) { over(); }

void ClientSession::over() {
  if (over_) return;
  over_ = true;
  stream_.close();
  farewell_.disarm();
  due_.disarm();
  nextTurn_.disarm();
  shared_.open.erase(id_);
  if (busy_) router_.left(request_);
  busy_ = false;
  owner_.onSessionOver(*this);
}

void ClientSession::process() {
  if (processing_) return;
  processing_ = true;
  // The next request waits until the answer before it is on its way, so that output stays bounded.
  for (int taken = 0; !busy_ && !over_ && !ending_ && stream_.output().empty(); ++taken) {
    if (taken == kMessagesPerTurn) {
      nextTurn_.arm(loop_.now() + 1);
      break;
    }
    using Kind = protocol::PgServer::Step::Kind;
    const auto step = server_.step(stream_.input().view(), stream_.output());
    if (step.kind == Kind::NeedMore) {
      const bool part = !stream_.input().empty();
      if (part && partSince_ == 0 && !due_.armed()) due_.arm(loop_.now() + kPatience);
      if (!part && known_) due_.disarm();
      partSince_ = !part ? 0 : partSince_ == 0 ? loop_.now() : partSince_;
      if (leaving_ && asked_ && stream_.input().empty()) closeIfIdle();
      break;
    }
    if (step.violation) {
      ++observer_.counters.clientProtocolErrors;
      observer_.note(Topic::Clients, "a client does not keep to the protocol");
    }
    if (step.kind == Kind::Left) {
      over();
      break;
    }
    if (step.kind == Kind::Fatal) {
      endAfterOutput();
      break;
    }
    partSince_ = 0;
    if (step.kind == Kind::Query) {
      statement_ = step.statement;
      requestSize_ = step.consumed;
      ask();
    } else {
      stream_.input().consume(step.consumed);
    }
    stream_.flush();
  }
  if (!over_) stream_.resume();
  processing_ = false;
}

// Passes a request on to the router. One that is not understood is failed, never guessed at.
void ClientSession::ask() {
  asked_ = true;
  owner_.onSessionBusy(*this);
  if (turnedAway_) {
    return endWith(sqlstate::kTooManyConnections, "too many clients");
  }
  const auto comment = protocol::parseRequestComment(statement());
  if (!comment) return rejectRequest(sqlstate::kInvalidParameter, "the request can't be read");
  if (comment->id.empty() || comment->id.size() > kLongestId) {
    return rejectRequest(sqlstate::kInvalidParameter, "the request has no id, or no usual one");
  }
  if (!comment->group) return rejectRequest(sqlstate::kInvalidParameter, "the request names no cluster");
  const auto known = shared_.classes.find(comment->className);
  if (known == shared_.classes.end()) {
    return rejectRequest(sqlstate::kInvalidParameter, "the request has no class, or one that is not known");
  }
  const ClassSettings& entry = router_.settings().logic.classes[known->second];
  if (comment->write != (entry.consistency == Consistency::Write)) {
    return rejectRequest(sqlstate::kInvalidParameter, "the statement is not of its class");
  }
  if (entry.effect == Effect::Keyed && !comment->keyed) {
    return rejectRequest(sqlstate::kInvalidParameter, "the request has no key, which its class needs");
  }
  // Guards the owner of that id: members know a request by it.
  if (!shared_.open.emplace(comment->id).second) {
    return rejectRequest(sqlstate::kInvalidParameter, "the request has the id of one that is open");
  }
  id_ = comment->id;
  known_ = true;
  due_.disarm();
  Request request;
  request.group = *comment->group;
  request.classIndex = known->second;
  request.repeat = comment->repeat;
  request.deadline =
      readAt_ + (comment->patienceMs ? std::min(*comment->patienceMs, kMostPatienceMs) * kMicrosPerMilli
                                     : entry.deadline);
  if (entry.consistency == Consistency::Session || entry.consistency == Consistency::Write) {
    // 0 stands for no session.
    request.session = comment->handle.empty() ? 0 : std::max<std::uint64_t>(1, hashOf(comment->handle));
  }
  if (router_.settings().logic.tokens == TokenMode::Carried && comment->afterMs) {
    request.sinceLastWrite = std::max<Micros>(0, loop_.now() - *comment->afterMs * kMicrosPerMilli);
  }
  busy_ = true;
  request_ = 0;
  deadline_ = request.deadline;
  router_.submit(*this, request, comment->patience, request_);
}

void ClientSession::rejectRequest(std::string_view code, std::string_view message) {
  ++observer_.counters.requestsMalformed;
  observer_.note(Topic::Clients, std::string(message));
  protocol::writeError(stream_.output(), false, code, message);
  busy_ = true;
  answered();
}

void ClientSession::served(const protocol::Answer& answer, std::string_view bytes) {
  const std::size_t size = answer.rowDescription.size + answer.dataRow.size + answer.commandComplete.size;
  // Guards the client against half an answer. One that is whole here and can't be held has run: it has
  // failed.
  if (!stream_.output().reserve(stream_.output().size() + size)) {
    ++observer_.counters.memoryRefusals;
    observer_.note(Topic::Limits, "an answer was not passed on: no memory is left for it");
    return failed();
  }
  // The member's own messages, byte for byte.
  stream_.output().append(answer.rowDescription.of(bytes));
  stream_.output().append(answer.dataRow.of(bytes));
  stream_.output().append(answer.commandComplete.of(bytes));
  answered();
}

void ClientSession::refused(Micros retryAfter) {
  const std::string advice =
      retryAfter > 0 ? std::to_string((retryAfter + kMicrosPerMilli - 1) / kMicrosPerMilli) : std::string();
  protocol::writeError(stream_.output(), false, sqlstate::kTooManyConnections, "not now", advice);
  answered();
}

void ClientSession::failed() {
  protocol::writeError(stream_.output(), false, sqlstate::kSystemError, "no member could serve this in time");
  answered();
}

void ClientSession::answered() {
  protocol::writeReady(stream_.output());
  stream_.input().consume(requestSize_);
  shared_.open.erase(id_);
  id_.clear();
  busy_ = false;
  restingSince_ = loop_.now();
  owner_.onSessionResting(*this);
  stream_.flush();
  // Guards descriptors against clients that never read: once they have stopped waiting the connection ends.
  if (!stream_.output().empty()) farewell_.arm(std::max(loop_.now(), deadline_) + kFarewell);
  process();
}

void ClientSession::endWith(std::string_view code, std::string_view message) {
  protocol::writeError(stream_.output(), true, code, message);
  endAfterOutput();
}

// Guards the last word's way to a client that is still sending: what comes is dropped, and nothing of it is
// held.
void ClientSession::endAfterOutput() {
  ending_ = true;
  due_.disarm();
  owner_.onSessionEnding(*this);
  farewell_.arm(loop_.now() + kDrain);
  stream_.dropInput();
  stream_.flush();
  if (stream_.output().empty()) stream_.endSending();
}

// The client has let its time go by: with nothing asked, or with a message that does not go on.
void ClientSession::overdue() {
  if (busy_ || ending_ || over_) return;
  if (stream_.input().empty()) return over();
  ++observer_.counters.clientProtocolErrors;
  observer_.note(Topic::Clients, "a message was not finished in time");
  endWith(sqlstate::kProtocolViolation, "the message was not finished in time");
}

void ClientSession::turnAway() {
  turnedAway_ = leaving_ = true;
  // One that never asks must not keep others from being told.
  farewell_.arm(loop_.now() + kFarewell);
}

void ClientSession::leave(bool evenUnasked) {
  leaving_ = true;
  if (asked_ || evenUnasked) closeIfIdle();
}

bool ClientSession::closeIfIdle() {
  if (busy_ || ending_ || over_ || !stream_.output().empty()) return false;
  // Guards descriptors, and the end, against clients that begin a message and never finish it.
  const bool stuck = partSince_ != 0 && loop_.now() - partSince_ > kFarewell;
  if (!stuck && !stream_.quiet()) return false;
  over();
  return true;
}

}  // namespace heathflow::routing
