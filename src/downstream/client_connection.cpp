#include "downstream/client_connection.h"

#include <algorithm>
#include <utility>

#include "downstream/request_reader.h"
#include "stats/enum_names.h"

namespace heathflow::downstream {
namespace {

using Reason = protocol::ClientSide::Reason;
using stats::CloseReason;
using stats::Topic;

using transport::kMicrosPerMilli;
// Input: one message and pipelined bytes behind it. Output: one response and the protocol messages around it.
constexpr transport::Stream::Limits kLimits = {protocol::kClientMessageLimit + 4 * 1024,
                                               protocol::kEndpointAnswerLimit + 16 * 1024};
// The time that a client has to read its last answer after the request's deadline, to close its side
// after the gateway has closed gracefully, to send a request that is to be rejected, or to complete
// a message that it has begun when its descriptor is needed or the gateway shuts down.
constexpr Micros kReactionTimeout = 1'000'000;
// A client that sends no valid message has to get an error, or its connection closed, within 3 s of
// connecting. Incomplete messages get the same time.
constexpr Micros kMessageTimeout = 2'500'000;
// How long a client that was sent a fatal error may keep sending. A misbehaving client has to see an error or
// a close within 3 s (6 s if it floods 60 MB), so this timeout is shorter.
constexpr Micros kLingerTimeout = 2'500'000;
// Limits the work per loop turn, so that a client that pipelines many messages does not delay the others.
constexpr int kMaxMessagesPerTurn = 16;

}  // namespace

ClientConnection::ClientConnection(transport::EventLoop& loop, ClientConnectionOwner& owner,
                                   routing::Router& router, ClientConnectionContext& context,
                                   stats::Observer& observer, std::size_t protocol,
                                   std::string_view protocolName, std::unique_ptr<protocol::ClientSide> side)
    : loop_(loop),
      owner_(owner),
      router_(router),
      context_(context),
      observer_(observer),
      stream_(loop, *this, kLimits),
      reactionTimeout_(loop, [this] { onReactionTimeout(); }),
      messageTimeout_(loop, [this] { onMessageTimeout(); }),
      nextTurn_(loop, [this] { process(); }),
      protocol_(protocol),
      protocolName_(protocolName),
      connectionNumber_(++context.connectionCount),
      side_(std::move(side)) {}

ClientConnection::~ClientConnection() { setComplete(); }

bool ClientConnection::adopt(transport::UniqueFd&& fd) {
  idleSince_ = loop_.now();
  messageTimeout_.arm(loop_.now() + kMessageTimeout);
  return stream_.adopt(std::move(fd));
}

// ---- Input ----

void ClientConnection::onInput() {
  // A client that has closed its connection waits for no answer, so its last request is not started.
  if (stream_.hungUp()) return close(CloseReason::ByClient);
  recordArrivals();
  process();
}

// Makes room for a message that the memory budget has no room for, or rejects it. The input behind an open
// request waits for that one instead, unless it belongs to it.
void ClientConnection::onInputLacksMemory() {
  if (closed_ || lingering_ || incompleteSince_ == 0 || reclaimInputMemory() || busy_) return;
  closeForMemory();
}

// Returns whether the input may grow now. An incomplete part of an open request is worth more than the
// message of another client.
bool ClientConnection::reclaimInputMemory() {
  const std::size_t needed = stream_.input().nextAllocation();
  if (busy_) return loop_.memory().reclaim(needed);
  while (!loop_.memory().hasRoomFor(needed)) {
    if (!context_.incompleteMessages.closeOneFor(*this, loop_.now())) return false;
  }
  return true;
}

void ClientConnection::closeForMemory() {
  ++observer_.counters.memoryRejections;
  log(Topic::Limits, "closing the connection: out of buffer memory for its request");
  closeWithError(Reason::NoMemory, "no memory is left", CloseReason::NoMemory);
}

// Records the arrival time of the bytes that were just read. If the input had no room for them, they may have
// waited in the socket since the input became full, and that time counts as their arrival. Otherwise a
// request could outlive its client's timeout.
void ClientConnection::recordArrivals() {
  const Micros arrivedAt = inputFullSince_ != 0 ? inputFullSince_ : loop_.now();
  arrivals_.add(stream_.input().size() - arrivals_.bufferedBytes(), arrivedAt);
  if (!stream_.stalled()) {
    inputFullSince_ = 0;
  } else if (inputFullSince_ == 0) {
    inputFullSince_ = loop_.now();
  }
}

void ClientConnection::consumeInput(std::size_t size) {
  stream_.input().consume(size);
  arrivals_.consume(size);
}

void ClientConnection::onOutputFlushed() {
  reactionTimeout_.disarm();
  if (busy_ && responding_) router_.resumeResponse(request_);
  process();
}

// Counts the end as a disconnect by the client, whether or not a request is open, unless the gateway has
// already begun to close the connection.
void ClientConnection::onEnd(transport::StreamEnd) {
  if (lingering_ && !stream_.output().empty()) ++observer_.counters.slowReadersClosed;
  close(CloseReason::ByClient);
}

void ClientConnection::process() {
  if (processing_) return;
  processing_ = true;
  // The next request waits until the previous answer is flushed, which bounds the output.
  for (int handled = 0; !closed_ && !lingering_ && (busy_ || stream_.output().empty()); ++handled) {
    if (handled == kMaxMessagesPerTurn) {
      nextTurn_.arm(loop_.now() + 1);
      break;
    }
    if (mustWait()) break;
    if (!handle(side_->step(stream_.input().view(), requestSize_, stream_.output()))) break;
    stream_.flush();
  }
  if (!closed_) stream_.resume();
  processing_ = false;
}

// Returns whether the input behind the open request can't be handled at present.
bool ClientConnection::mustWait() {
  if (!busy_) return false;
  if (!side_->acceptsRequestParts() || stream_.input().size() == requestSize_) {
    messageTimeout_.disarm();
    setComplete();
    return true;
  }
  // The next part of the request waits until the connection to its endpoint has room for it.
  return !side_->interruptPending(stream_.input().view(), requestSize_) &&
         !router_.canWriteMore(request_, stream_.input().size() - requestSize_);
}

// Acts on one step of the protocol's state machine. Returns false if nothing more can be handled at present.
bool ClientConnection::handle(const protocol::ClientSide::Step& step) {
  using Kind = protocol::ClientSide::Step::Kind;
  if (step.violation) {
    ++observer_.counters.clientProtocolErrors;
    log(Topic::Downstream, "the client violated the protocol");
  }
  if (side_->loginComplete()) identified_ = true;
  switch (step.kind) {
    case Kind::NeedMore:
      onIncomplete(step.partialMessage);
      return false;
    case Kind::Disconnect:
      close(CloseReason::ClientFinished);
      return false;
    case Kind::Fatal:
      if (busy_) cancelRequest();
      linger(CloseReason::ProtocolError, kLingerTimeout);
      return false;
    case Kind::Request:
      setComplete();
      requestSize_ = step.consumed;
      beginRequest();
      return true;
    case Kind::RequestPart:
      writeMore(step.consumed);
      return true;
    case Kind::Interrupt:
      cancelRequest();
      return true;
    case Kind::Handled:
      setComplete();
      consumeInput(step.consumed);
      return true;
  }
  return false;
}

// Updates the message timeout after all complete messages were handled.
// @param partial  whether the input ends with an incomplete message.
void ClientConnection::onIncomplete(bool partial) {
  if (partial) {
    if (incompleteSince_ == 0 && !messageTimeout_.armed()) messageTimeout_.arm(loop_.now() + kMessageTimeout);
    if (incompleteSince_ == 0) incompleteSince_ = loop_.now();
    if (!busy_ && stream_.input().charged() != 0) context_.incompleteMessages.add(*this);
  } else {
    if (identified_ || busy_) messageTimeout_.disarm();
    setComplete();
  }
  if (closeWhenIdle_ && sentRequest_ && stream_.input().empty()) closeIfIdle();
}

void ClientConnection::setComplete() {
  if (std::exchange(incompleteSince_, 0) != 0) context_.incompleteMessages.remove(*this);
}

bool ClientConnection::incompleteTooLong(Micros now) const {
  return incompleteSince_ != 0 && now - incompleteSince_ > kReactionTimeout;
}

// ---- Requests ----

// Submits the request at the front of the input, or rejects it: as malformed, or because its client is to be
// rejected.
void ClientConnection::beginRequest() {
  sentRequest_ = true;
  owner_.onConnectionBusy(*this);
  if (rejecting_)
    return closeWithError(Reason::TooManyClients, "too many clients", CloseReason::TooManyClients);
  std::string_view problem;
  group_.reset();
  const auto parsed = side_->parseRequest(requestBytes(), problem);
  if (!parsed) return failMalformed(problem);
  group_ = parsed->group;
  problem = findProblem(*parsed, context_, router_.settings(), protocol_);
  if (!problem.empty()) return failMalformed(problem);
  // Endpoints identify a request by its id, so no two open requests may have the same one.
  if (!context_.openRequestIds.emplace(parsed->id).second) {
    return failMalformed("the request has the id of one that is open");
  }
  clientRequestId_ = parsed->id;
  identified_ = true;
  ++requestCount_;
  messageTimeout_.disarm();
  busy_ = true;
  responding_ = false;
  request_ = 0;
  const Request request =
      toRequest(*parsed, context_, router_.settings(), arrivals_.arrivalTimeOf(requestSize_), loop_.now());
  deadline_ = request.deadline;
  router_.checker().requestAcceptedOn(request_, lingering_ || closed_);
  router_.submit(*this, request, protocol_, parsed->timeout, request_);
}

// Forwards the next part of the open request, which starts at 'requestSize_' in the input.
void ClientConnection::writeMore(std::size_t size) {
  setComplete();
  router_.writeMore(request_, stream_.input().view().substr(requestSize_, size));
  requestSize_ += size;
  if (responding_) consumeInput(std::exchange(requestSize_, 0));
}

// Answers a request that can't be submitted with an error, whose text is 'problem'.
void ClientConnection::failMalformed(std::string_view problem) {
  ++observer_.counters.requestsMalformed;
  log(Topic::Downstream, "malformed request rejected: " + std::string(problem));
  side_->writeInvalidRequest(problem, stream_.output());
  busy_ = true;
  onAnswered();
}

// Cancels the open request; its client gets no answer.
void ClientConnection::cancelRequest() {
  router_.cancel(request_);
  finishRequest();
}

// Releases the open request after its answer or its cancellation.
void ClientConnection::finishRequest() {
  consumeInput(std::exchange(requestSize_, 0));
  context_.openRequestIds.erase(clientRequestId_);
  clientRequestId_.clear();
  busy_ = responding_ = false;
  idleSince_ = loop_.now();
  owner_.onConnectionIdle(*this);
  stream_.flush();
  // A client that never reads must not keep its descriptor, so the connection is closed if the output is not
  // flushed some time after the request's deadline.
  if (!stream_.output().empty()) reactionTimeout_.arm(std::max(loop_.now(), deadline_) + kReactionTimeout);
}

std::string_view ClientConnection::requestBytes() const {
  return stream_.input().view().substr(0, requestSize_);
}

// ---- Output ----

bool ClientConnection::canTakeResponse(std::size_t size) const {
  const transport::Buffer& out = stream_.output();
  return out.empty() || out.size() + size + protocol::ClientSide::kHeadroom <= kLimits.output;
}

// Reserves memory for all of 'answer', so that a client never gets it truncated. Returns false if there is
// not enough memory.
bool ClientConnection::reserveOutput(const protocol::Answer& answer) {
  transport::Buffer& out = stream_.output();
  if (out.reserveOrReclaim(out.size() + answer.size() + protocol::ClientSide::kHeadroom)) return true;
  ++observer_.counters.memoryRejections;
  log(Topic::Limits, "response not forwarded: out of buffer memory");
  return false;
}

void ClientConnection::writeAnswer(const protocol::Answer& answer, std::string_view bytes) {
  const std::int64_t nowMs = router_.endpointTime().toEndpoints(loop_.now()) / kMicrosPerMilli;
  side_->writeAnswer(answer, bytes, nowMs, stream_.output());
}

bool ClientConnection::onResponsePart(const protocol::Answer& answer, std::string_view bytes) {
  if (!reserveOutput(answer)) return false;
  writeAnswer(answer, bytes);
  if (!responding_) consumeInput(std::exchange(requestSize_, 0));
  responding_ = true;
  stream_.flush();
  // The next part of the request may already be in the input.
  if (!stream_.input().empty() || stream_.stalled()) nextTurn_.arm(loop_.now());
  return true;
}

void ClientConnection::onResponse(const protocol::Answer& answer, std::string_view bytes) {
  // Without memory for the response the request is reported as failed. A rejection would say that it had no
  // effect, but it may have had one.
  if (!reserveOutput(answer)) return onFailed();
  writeAnswer(answer, bytes);
  side_->finishAnswer(stream_.output());
  onAnswered();
}

void ClientConnection::onRejected(Micros retryAfter) {
  const std::int64_t retryAfterMs = retryAfter > 0 ? (retryAfter + kMicrosPerMilli - 1) / kMicrosPerMilli : 0;
  side_->writeRejection(retryAfterMs, stream_.output());
  onAnswered();
}

void ClientConnection::onFailed() {
  side_->writeFailure(stream_.output());
  onAnswered();
}

void ClientConnection::onAnswered() {
  finishRequest();
  process();
}

// ---- Closing ----

void ClientConnection::closeWithError(Reason reason, std::string_view message, CloseReason why) {
  side_->fatalError(reason, message, stream_.output());
  linger(why, kLingerTimeout);
}

// Closes the connection gracefully: the client can still read the output, and a request that crosses the
// close is neither forwarded nor answered by a reset, so that its client can send it again on another
// connection.
void ClientConnection::linger(CloseReason why, Micros timeout) {
  recordClose(why);
  lingering_ = true;
  setComplete();
  messageTimeout_.disarm();
  reactionTimeout_.disarm();
  owner_.onConnectionLingering(*this);
  stream_.linger(timeout);
}

void ClientConnection::close(CloseReason why) {
  if (closed_) return;
  closed_ = true;
  setComplete();
  recordClose(why);
  stream_.close();
  reactionTimeout_.disarm();
  messageTimeout_.disarm();
  nextTurn_.disarm();
  context_.openRequestIds.erase(clientRequestId_);
  if (busy_) router_.cancel(request_);
  busy_ = false;
  owner_.onConnectionClosed(*this);
}

void ClientConnection::recordClose(CloseReason why) {
  if (std::exchange(closeRecorded_, true)) return;
  ++observer_.counters.clientsClosed[static_cast<std::size_t>(why)];
  const bool byGateway = why != CloseReason::ByClient && why != CloseReason::ClientFinished;
  router_.checker().connectionClosing(request_, byGateway && busy_);
  if (observer_.tracing) {
    observer_.trace(Topic::Downstream, "client connection closed: " + std::string(nameOf(why)), logContext());
  }
}

// Closes the connection of a client that has not sent its first request, or the rest of an incomplete
// message, in time.
void ClientConnection::onMessageTimeout() {
  if (lingering_ || closed_ || (busy_ && incompleteSince_ == 0)) return;
  if (stream_.input().empty()) return linger(CloseReason::IncompleteRequest, kReactionTimeout);
  if (busy_) cancelRequest();
  ++observer_.counters.clientProtocolErrors;
  log(Topic::Downstream, "closing the connection: a message was not complete in time");
  closeWithError(Reason::IncompleteRequest, "the message was not finished in time",
                 CloseReason::IncompleteRequest);
}

// Closes the connection of a client that has not read its last answer, or that is to be rejected and has sent
// no request, in time.
void ClientConnection::onReactionTimeout() {
  const bool unread = !stream_.output().empty();
  if (unread) ++observer_.counters.slowReadersClosed;
  close(unread ? CloseReason::SlowReader : CloseReason::TooManyClients);
}

void ClientConnection::rejectConnection() {
  rejecting_ = closeWhenIdle_ = true;
  // A client that sends nothing must not occupy a descriptor that other rejected clients need.
  reactionTimeout_.arm(loop_.now() + kReactionTimeout);
}

void ClientConnection::closeWhenIdle(bool closeUnused) {
  closeWhenIdle_ = true;
  if (sentRequest_) {
    closeIfIdle();
  } else if (closeUnused && canClose()) {
    closeWithError(Reason::ShuttingDown, "this gateway ends", CloseReason::IdleClosed);
  }
}

// Returns whether no request is open, all output is flushed, and nothing is left to read or the input has
// ended with an incomplete message for too long.
bool ClientConnection::canClose() const {
  if (busy_ || lingering_ || closed_ || !stream_.output().empty()) return false;
  // A message that is not completed in time delays neither an eviction nor the shutdown.
  return incompleteTooLong(loop_.now()) || stream_.isIdle();
}

bool ClientConnection::closeIfIdle() {
  if (!canClose()) return false;
  linger(CloseReason::IdleClosed, kReactionTimeout);
  return true;
}

// ---- Log ----

stats::LogContext ClientConnection::logContext() const {
  stats::LogContext context;
  context.connection = connectionNumber_;
  context.request = clientRequestId_;
  context.protocol = protocolName_;
  context.family = group_;
  return context;
}

void ClientConnection::log(Topic topic, const std::string& text) const {
  observer_.log(topic, text, logContext());
}

}  // namespace heathflow::downstream
