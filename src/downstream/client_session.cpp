#include "downstream/client_session.h"

#include <algorithm>
#include <limits>
#include <string>

#include "common/hash.h"
#include "routing/outcome.h"
#include "wallclock/positions.h"

namespace heathflow::routing {
namespace {

using Reason = protocol::ClientSide::Reason;

using transport::kMicrosPerMilli;
// One message and what may be pipelined behind it; one answer and what stands around it.
constexpr transport::Stream::Limits kLimits = {protocol::kClientMessageLimit + 4 * 1024,
                                               protocol::kEndpointAnswerLimit + 16 * 1024};
// How long a client may take to read what it no longer waits for (its last answer, or the error of a rejected
// connection), to see that its connection ends, and to go on with a message when its place is wanted.
constexpr Micros kReadTimeout = 1'000'000;
// LATER, Bad clients: whoever sends nothing that can be read is owed an error or a close within 3 s of
// connecting. The same time is given to a message that has begun.
constexpr Micros kRequestTimeout = 2'500'000;
// For how long a client that was sent a fatal error may go on sending (6 s are counted with 60 MB).
constexpr Micros kLingerTimeout = 2'500'000;
// Guards the others against one that sends hundreds of messages at once: so many of them a turn.
constexpr int kMessagesPerTurn = 16;
// An id longer than this is none.
constexpr std::size_t kLongestId = 128;
// Beyond this the time that a client gives a request is no time at all.
constexpr std::int64_t kLongestTimeoutMs = 86'400'000;
// Beyond this a session's position is no time at all.
constexpr std::int64_t kLatestMs = std::numeric_limits<std::int64_t>::max() / kMicrosPerMilli;

}  // namespace

ClientSession::ClientSession(transport::EventLoop& loop, ClientSessionOwner& owner, Router& router,
                             Shared& shared, Observer& observer, std::size_t protocol, std::string_view name,
                             std::unique_ptr<protocol::ClientSide> side)
    : loop_(loop),
      owner_(owner),
      router_(router),
      shared_(shared),
      observer_(observer),
      stream_(loop, *this, kLimits),
      readTimeout_(loop,
                   [this] {
                     const bool unread = !stream_.output().empty();
                     if (unread) ++observer_.counters.clientsNotReading;
                     over(unread ? CloseReason::SlowReader : CloseReason::TooManyClients);
                   }),
      requestTimeout_(loop, [this] { onRequestTimeout(); }),
      nextTurn_(loop, [this] { process(); }),
      protocol_(protocol),
      protocolName_(name),
      number_(++shared.connections),
      side_(std::move(side)) {}

ClientSession::~ClientSession() = default;

bool ClientSession::adopt(transport::UniqueFd&& fd) {
  restingSince_ = loop_.now();
  requestTimeout_.arm(loop_.now() + kRequestTimeout);
  return stream_.adopt(std::move(fd));
}

std::string_view ClientSession::wire() const { return stream_.input().view().substr(0, held_); }

void ClientSession::onInput() {
  // A client that has closed waits for nothing: what it asked last is not begun.
  if (stream_.hungUp()) return over(CloseReason::ByClient);
  noteArrivals();
  process();
  // A message for which there is no memory ends its connection, so that others get theirs.
  if (!stream_.stalled() || partSince_ == 0 || busy_ || over_ || lingering_) return;
  ++observer_.counters.memoryRejections;
  note(Topic::Limits, "a client's message was turned away: no memory is left for it");
  closeWithError(Reason::NoMemory, "no memory is left", CloseReason::NoMemory);
}

// Records when the bytes that were just read arrived. What had no room in the input may have waited in the
// socket ever since the input filled up, and counts from then: no request may be held for longer than its
// client waits.
void ClientSession::noteArrivals() {
  arrivals_.add(stream_.input().size() - arrivals_.waiting(), fullSince_ != 0 ? fullSince_ : loop_.now());
  if (!stream_.stalled()) {
    fullSince_ = 0;
  } else if (fullSince_ == 0) {
    fullSince_ = loop_.now();
  }
}

// The first bytes of the input have been dealt with.
void ClientSession::dropInput(std::size_t size) {
  stream_.input().consume(size);
  arrivals_.drop(size);
}

void ClientSession::onDrained() {
  readTimeout_.disarm();
  if (busy_ && bound_) router_.resume(request_);
  process();
}

// A client that closes has left, whatever it had asked.
void ClientSession::onEnd(transport::StreamEnd) {
  if (lingering_ && !stream_.output().empty()) ++observer_.counters.clientsNotReading;
  over(CloseReason::ByClient);
}

void ClientSession::over(CloseReason why) {
  if (over_) return;
  over_ = true;
  closing(why);
  stream_.close();
  readTimeout_.disarm();
  requestTimeout_.disarm();
  nextTurn_.disarm();
  shared_.open.erase(id_);
  if (busy_) router_.left(request_);
  busy_ = false;
  owner_.onSessionOver(*this);
}

void ClientSession::closing(CloseReason why) {
  if (std::exchange(closed_, true)) return;
  ++observer_.counters.closed[static_cast<std::size_t>(why)];
  const bool fromHere = why != CloseReason::ByClient && why != CloseReason::ShutdownNotified;
  router_.checker().closing(request_, fromHere && busy_);
  if (observer_.tracing) trace("closed: " + std::string(nameOf(why)));
}

void ClientSession::trace(const std::string& text) const { observer_.trace(Topic::Clients, text, about()); }

void ClientSession::process() {
  if (processing_) return;
  processing_ = true;
  // The next request waits until the answer before it is on its way, so that output stays bounded.
  for (int taken = 0; !over_ && !lingering_ && (busy_ || stream_.output().empty()); ++taken) {
    if (taken == kMessagesPerTurn) {
      nextTurn_.arm(loop_.now() + 1);
      break;
    }
    if (busy_ && (!side_->takesParts() || stream_.input().size() == held_)) {
      requestTimeout_.disarm();
      partSince_ = 0;
      break;
    }
    // A further part of the open request waits until its endpoint's connection has room for it.
    if (busy_ && !side_->interrupted(stream_.input().view(), held_) &&
        !router_.takesMore(request_, stream_.input().size() - held_)) {
      break;
    }
    if (!handleStep(side_->step(stream_.input().view(), held_, stream_.output()))) break;
    stream_.flush();
  }
  if (!over_) stream_.resume();
  processing_ = false;
}

// False where nothing more can be taken at present.
bool ClientSession::handleStep(const protocol::ClientSide::Step& step) {
  using Kind = protocol::ClientSide::Step::Kind;
  if (step.violation) {
    ++observer_.counters.clientProtocolErrors;
    note(Topic::Clients, "a client does not keep to the protocol");
  }
  if (side_->introduced()) known_ = true;
  switch (step.kind) {
    case Kind::NeedMore:
      if (step.part && partSince_ == 0 && !requestTimeout_.armed())
        requestTimeout_.arm(loop_.now() + kRequestTimeout);
      if (!step.part && (known_ || busy_)) requestTimeout_.disarm();
      partSince_ = !step.part ? 0 : partSince_ == 0 ? loop_.now() : partSince_;
      if (draining_ && asked_ && stream_.input().empty()) closeIfIdle();
      return false;
    case Kind::Left:
      over(CloseReason::ShutdownNotified);
      return false;
    case Kind::Fatal:
      if (busy_) cancelRequest();
      linger(CloseReason::ProtocolError, kLingerTimeout);
      return false;
    case Kind::Request:
      partSince_ = 0;
      held_ = step.consumed;
      beginRequest();
      return true;
    case Kind::More:
      partSince_ = 0;
      router_.more(request_, stream_.input().view().substr(held_, step.consumed));
      held_ += step.consumed;
      if (bound_) dropInput(std::exchange(held_, 0));
      return true;
    case Kind::Interrupt:
      cancelRequest();
      return true;
    case Kind::Handled:
      partSince_ = 0;
      dropInput(step.consumed);
      return true;
  }
  return false;
}

// The client has cancelled the open request: it gets no answer.
void ClientSession::cancelRequest() {
  router_.left(request_);
  finishRequest();
}

About ClientSession::about() const {
  About out;
  out.connection = number_;
  out.request = id_;
  out.protocol = protocolName_;
  out.family = group_;
  return out;
}

void ClientSession::note(Topic topic, const std::string& text) const { observer_.note(topic, text, about()); }

// Passes the request at the front of the input on to the router. One that is not understood is failed, never
// guessed at.
void ClientSession::beginRequest() {
  asked_ = true;
  owner_.onSessionBusy(*this);
  if (rejecting_) return closeWithError(Reason::TooMany, "too many clients", CloseReason::TooManyClients);
  std::string_view problem;
  group_.reset();
  const auto asked = side_->read(wire(), problem);
  if (!asked) return rejectRequest(problem);
  group_ = asked->group;
  problem = problemWith(*asked);
  if (!problem.empty()) return rejectRequest(problem);
  // Guards the owner of that id: endpoints know a request by it.
  if (!shared_.open.emplace(asked->id).second) {
    return rejectRequest("the request has the id of one that is open");
  }
  id_ = asked->id;
  known_ = true;
  ++requests_;
  requestTimeout_.disarm();
  busy_ = true;
  bound_ = false;
  request_ = 0;
  const Request request = requestOf(*asked);
  deadline_ = request.deadline;
  router_.checker().takenOn(request_, lingering_ || over_);
  router_.submit(*this, request, protocol_, asked->timeout, request_);
}

// Why a request that could be read can't be served; empty where it can.
std::string_view ClientSession::problemWith(const protocol::Asked& asked) const {
  if (asked.id.empty() || asked.id.size() > kLongestId) return "the request has no id, or no usual one";
  if (!asked.group) return "the request names no cluster";
  const auto spoken = shared_.spoken.find(*asked.group);
  if (spoken != shared_.spoken.end() && !spoken->second[protocol_]) {
    return "the cluster is not served in this protocol";
  }
  const auto known = shared_.classes.find(asked.className);
  if (known == shared_.classes.end()) return "the request has no class, or one that is not known";
  const RequestClassSettings& entry = router_.settings().policy.classes[known->second];
  if (asked.write && *asked.write != (entry.consistency == Consistency::Write)) {
    return "the statement is not of its class";
  }
  if (entry.idempotency == Idempotency::WithKey && !asked.keyed)
    return "the request has no key, which its class needs";
  return {};
}

// The request as the router knows it; problemWith() has found nothing.
Request ClientSession::requestOf(const protocol::Asked& asked) const {
  const std::uint32_t classIndex = shared_.classes.find(asked.className)->second;
  const RequestClassSettings& entry = router_.settings().policy.classes[classIndex];
  Request request;
  request.group = *asked.group;
  request.classIndex = classIndex;
  request.isClientRetry = asked.isClientRetry;
  // The client's time for it began with its last byte, however long it has waited behind others since.
  request.deadline =
      arrivals_.lastOf(held_) +
      (asked.timeoutMs ? std::min(*asked.timeoutMs, kLongestTimeoutMs) * kMicrosPerMilli : entry.deadline);
  if (entry.consistency == Consistency::Session || entry.consistency == Consistency::Write) {
    // 0 stands for no session.
    request.session = asked.session.empty() ? 0 : std::max<std::uint64_t>(1, hashOf(asked.session));
  }
  if (asked.afterMs) {
    const Micros after = std::min(*asked.afterMs, kLatestMs) * kMicrosPerMilli;
    request.timeSinceLastWrite = loop_.now() - router_.endpointTime().ofClient(after, loop_.now());
  }
  return request;
}

void ClientSession::rejectRequest(std::string_view message) {
  ++observer_.counters.requestsMalformed;
  note(Topic::Clients, std::string(message));
  side_->rejected(message, stream_.output());
  busy_ = true;
  onAnswered();
}

bool ClientSession::hasRoom(std::size_t size) const {
  const transport::Buffer& out = stream_.output();
  return out.empty() || out.size() + size + protocol::ClientSide::kHeadroom <= kLimits.output;
}

// Reserves room for a whole answer before anything of it is written: a client never gets half of one.
bool ClientSession::fits(const protocol::Answer& answer) {
  transport::Buffer& out = stream_.output();
  if (out.reserve(out.size() + answer.size() + protocol::ClientSide::kHeadroom)) return true;
  ++observer_.counters.memoryRejections;
  note(Topic::Limits, "an answer was not passed on: no memory is left for it");
  return false;
}

bool ClientSession::passOn(const protocol::Answer& answer, std::string_view bytes) {
  if (!fits(answer)) return false;
  side_->pass(answer, bytes, router_.endpointTime().toEndpoints(loop_.now()) / kMicrosPerMilli,
              stream_.output());
  if (!bound_) dropInput(std::exchange(held_, 0));
  bound_ = true;
  stream_.flush();
  // What the client asks behind it may be a further part.
  if (!stream_.input().empty() || stream_.stalled()) nextTurn_.arm(loop_.now());
  return true;
}

void ClientSession::served(const protocol::Answer& answer, std::string_view bytes) {
  // One that is whole here and can't be held has run: it has failed.
  if (!fits(answer)) return failed();
  side_->pass(answer, bytes, router_.endpointTime().toEndpoints(loop_.now()) / kMicrosPerMilli,
              stream_.output());
  side_->served(stream_.output());
  onAnswered();
}

void ClientSession::rejected(Micros retryAfter) {
  side_->rejected(retryAfter > 0 ? (retryAfter + kMicrosPerMilli - 1) / kMicrosPerMilli : 0,
                  stream_.output());
  onAnswered();
}

void ClientSession::failed() {
  side_->failed(stream_.output());
  onAnswered();
}

void ClientSession::onAnswered() {
  finishRequest();
  process();
}

// No request is open any more.
void ClientSession::finishRequest() {
  dropInput(std::exchange(held_, 0));
  shared_.open.erase(id_);
  id_.clear();
  busy_ = bound_ = false;
  restingSince_ = loop_.now();
  owner_.onSessionResting(*this);
  stream_.flush();
  // A client that never reads must not keep its descriptor: once it has stopped waiting the connection ends.
  if (!stream_.output().empty()) readTimeout_.arm(std::max(loop_.now(), deadline_) + kReadTimeout);
}

void ClientSession::closeWithError(Reason reason, std::string_view message, CloseReason why) {
  side_->fatalError(reason, message, stream_.output());
  linger(why, kLingerTimeout);
}

// The orderly close of every connection. The client can still read what was sent, and a request that crosses
// the close is neither sent on nor answered by a reset: its client sends it again on another connection.
void ClientSession::linger(CloseReason why, Micros limit) {
  closing(why);
  lingering_ = true;
  requestTimeout_.disarm();
  readTimeout_.disarm();
  owner_.onSessionLingering(*this);
  stream_.linger(limit);
}

// The client has sent nothing, or has not finished a message, in time.
void ClientSession::onRequestTimeout() {
  if (lingering_ || over_ || (busy_ && partSince_ == 0)) return;
  if (stream_.input().empty()) return linger(CloseReason::IncompleteRequest, kReadTimeout);
  if (busy_) cancelRequest();
  ++observer_.counters.clientProtocolErrors;
  note(Topic::Clients, "a message was not finished in time");
  closeWithError(Reason::Unfinished, "the message was not finished in time", CloseReason::IncompleteRequest);
}

void ClientSession::rejectConnection() {
  rejecting_ = draining_ = true;
  // A client that never asks must not keep others from getting their error.
  readTimeout_.arm(loop_.now() + kReadTimeout);
}

void ClientSession::drain(bool closeNewcomers) {
  draining_ = true;
  if (asked_) {
    closeIfIdle();
  } else if (closeNewcomers && mayClose()) {
    closeWithError(Reason::ShuttingDown, "this gateway ends", CloseReason::IdleEvicted);
  }
}

// Whether it is idle: no request is open, nothing is unread or unsent.
bool ClientSession::mayClose() const {
  if (busy_ || lingering_ || over_ || !stream_.output().empty()) return false;
  // A message that was begun and is never finished keeps neither a descriptor nor the process.
  const bool stuck = partSince_ != 0 && loop_.now() - partSince_ > kReadTimeout;
  return stuck || stream_.quiet();
}

bool ClientSession::closeIfIdle() {
  if (!mayClose()) return false;
  linger(CloseReason::IdleEvicted, kReadTimeout);
  return true;
}

}  // namespace heathflow::routing
