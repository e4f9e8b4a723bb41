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
// Beyond this a client's patience is no time at all.
constexpr std::int64_t kMostPatienceMs = 86'400'000;

}  // namespace

ClientSession::ClientSession(transport::EventLoop& loop, ClientSessionOwner& owner, Router& router,
                             const ClassIndex& classes, Observer& observer)
    : loop_(loop),
      owner_(owner),
      router_(router),
      classes_(classes),
      observer_(observer),
      stream_(loop, *this, kLimits),
      farewell_(loop, [this] {
        if (!stream_.output().empty()) ++observer_.counters.clientsNotReading;
        over();
      }) {}

ClientSession::~ClientSession() = default;

std::string_view ClientSession::statement() const { return statement_.of(stream_.input().view()); }

void ClientSession::onInput() {
  readAt_ = loop_.now();
  process();
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
  if (busy_) router_.left(request_);
  busy_ = false;
  owner_.onSessionOver(*this);
}

void ClientSession::process() {
  if (processing_) return;
  processing_ = true;
  // The next request waits until the answer before it is on its way, so that output stays bounded.
  while (!busy_ && !over_ && !ending_ && stream_.output().empty()) {
    using Kind = protocol::PgServer::Step::Kind;
    const auto step = server_.step(stream_.input().view(), stream_.output());
    if (step.kind == Kind::NeedMore) {
      partSince_ = stream_.input().empty() ? 0 : partSince_ == 0 ? loop_.now() : partSince_;
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
    protocol::writeError(stream_.output(), true, sqlstate::kTooManyConnections, "too many clients");
    stream_.input().consume(requestSize_);
    return endAfterOutput();
  }
  const auto comment = protocol::parseRequestComment(statement());
  if (!comment) return rejectRequest(sqlstate::kInvalidParameter, "the request's comment can't be read");
  if (comment->id.empty()) return rejectRequest(sqlstate::kInvalidParameter, "the request has no id");
  if (!comment->group) return rejectRequest(sqlstate::kInvalidParameter, "the request names no cluster");
  const auto known = classes_.find(comment->className);
  if (known == classes_.end()) {
    return rejectRequest(sqlstate::kInvalidParameter, "the request has no class, or one that is not known");
  }
  const ClassSettings& entry = router_.settings().logic.classes[known->second];
  Request request;
  request.group = *comment->group;
  request.classIndex = known->second;
  request.repeat = comment->repeat;
  request.deadline =
      readAt_ + (comment->patienceMs ? std::min(*comment->patienceMs, kMostPatienceMs) * kMicrosPerMilli
                                     : entry.deadline);
  if (entry.consistency == Consistency::Session || entry.consistency == Consistency::Write) {
    // 0 stands for no session.
    request.session = comment->key.empty() ? 0 : std::max<std::uint64_t>(1, hashOf(comment->key));
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
  busy_ = false;
  owner_.onSessionResting(*this);
  stream_.flush();
  // Guards descriptors against clients that never read: once they have stopped waiting the connection ends.
  if (!stream_.output().empty()) farewell_.arm(std::max(loop_.now(), deadline_) + kFarewell);
  process();
}

void ClientSession::endAfterOutput() {
  ending_ = true;
  farewell_.arm(loop_.now() + kFarewell);
  stream_.flush();
  if (stream_.output().empty()) stream_.endSending();
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
