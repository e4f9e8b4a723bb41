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
// One message and what may be pipelined behind it; one response and the protocol's messages around it.
constexpr transport::Stream::Limits kLimits = {protocol::kClientMessageLimit + 4 * 1024,
                                               protocol::kEndpointAnswerLimit + 16 * 1024};
// For a client that is not waited for any more: to read its last answer, to notice the close, or to go on
// with an incomplete message while its descriptor is needed.
constexpr Micros kReadTimeout = 1'000'000;
// LATER, Bad clients: a client that sends nothing that can be read gets an error or a close within 3 s of its
// connect. Incomplete messages get the same time.
constexpr Micros kRequestTimeout = 2'500'000;
// For how long a client that was sent a fatal error may go on sending (6 s are counted with 60 MB).
constexpr Micros kLingerTimeout = 2'500'000;
// So many messages are handled in a turn, so that a client that pipelines many does not hold up the others.
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
      readTimeout_(loop, [this] { onReadTimeout(); }),
      requestTimeout_(loop, [this] { onRequestTimeout(); }),
      nextTurn_(loop, [this] { process(); }),
      protocol_(protocol),
      protocolName_(protocolName),
      connectionNumber_(++context.connectionCount),
      side_(std::move(side)) {}

ClientConnection::~ClientConnection() = default;

bool ClientConnection::adopt(transport::UniqueFd&& fd) {
  idleSince_ = loop_.now();
  requestTimeout_.arm(loop_.now() + kRequestTimeout);
  return stream_.adopt(std::move(fd));
}

// ---- Input ----

void ClientConnection::onInput() {
  // A client that has closed waits for no answer: its last request is not begun.
  if (stream_.hungUp()) return close(CloseReason::ByClient);
  recordArrivals();
  process();
  // A message for which there is no memory ends its connection, so that others get the memory.
  if (!stream_.stalled() || incompleteSince_ == 0 || busy_ || closed_ || lingering_) return;
  ++observer_.counters.memoryRejections;
  note(Topic::Limits, "a request was rejected: no memory is left for it");
  closeWithError(Reason::NoMemory, "no memory is left", CloseReason::NoMemory);
}

// Records when the bytes that were just read arrived. Those for which the input had no room may have waited
// in the socket since it filled up, and count from then: no request is kept longer than its client waits.
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
  readTimeout_.disarm();
  if (busy_ && responding_) router_.resumeResponse(request_);
  process();
}

// A client that closes its connection has disconnected, whatever it had requested.
void ClientConnection::onEnd(transport::StreamEnd) {
  if (lingering_ && !stream_.output().empty()) ++observer_.counters.slowReadersClosed;
  close(CloseReason::ByClient);
}

void ClientConnection::process() {
  if (processing_) return;
  processing_ = true;
  // The next request waits until the answer before it is written, so that output stays bounded.
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

// Whether what stands behind the open request can't be handled at present.
bool ClientConnection::mustWait() {
  if (!busy_) return false;
  if (!side_->acceptsRequestParts() || stream_.input().size() == requestSize_) {
    requestTimeout_.disarm();
    incompleteSince_ = 0;
    return true;
  }
  // A further part of the request waits until the connection to its endpoint can take it.
  return !side_->interruptPending(stream_.input().view(), requestSize_) &&
         !router_.canWriteMore(request_, stream_.input().size() - requestSize_);
}

// @return false where nothing more can be handled at present.
bool ClientConnection::handle(const protocol::ClientSide::Step& step) {
  using Kind = protocol::ClientSide::Step::Kind;
  if (step.violation) {
    ++observer_.counters.clientProtocolErrors;
    note(Topic::Downstream, "a client violates the protocol");
  }
  if (side_->loginComplete()) introduced_ = true;
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
      incompleteSince_ = 0;
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
      incompleteSince_ = 0;
      consumeInput(step.consumed);
      return true;
  }
  return false;
}

// @param part  a message has begun and is incomplete.
void ClientConnection::onIncomplete(bool part) {
  if (part) {
    if (incompleteSince_ == 0 && !requestTimeout_.armed()) requestTimeout_.arm(loop_.now() + kRequestTimeout);
    if (incompleteSince_ == 0) incompleteSince_ = loop_.now();
  } else {
    if (introduced_ || busy_) requestTimeout_.disarm();
    incompleteSince_ = 0;
  }
  if (closeWhenIdle_ && sentRequest_ && stream_.input().empty()) closeIfIdle();
}

// ---- Requests ----

// Submits the request at the front of the input. One that can't be read fails.
void ClientConnection::beginRequest() {
  sentRequest_ = true;
  owner_.onConnectionBusy(*this);
  if (rejecting_)
    return closeWithError(Reason::TooManyClients, "too many clients", CloseReason::TooManyClients);
  std::string_view problem;
  group_.reset();
  const auto asked = side_->parseRequest(requestBytes(), problem);
  if (!asked) return failMalformed(problem);
  group_ = asked->group;
  problem = findProblem(*asked, context_, router_.settings(), protocol_);
  if (!problem.empty()) return failMalformed(problem);
  // Endpoints know a request by its id, so no two open requests may have the same.
  if (!context_.openRequests.emplace(asked->id).second) {
    return failMalformed("the request has the id of one that is open");
  }
  requestName_ = asked->id;
  introduced_ = true;
  ++requestCount_;
  requestTimeout_.disarm();
  busy_ = true;
  responding_ = false;
  request_ = 0;
  const Request request = toRequest(*asked, context_, router_.settings(), router_.endpointTime(),
                                    arrivals_.arrivalTimeOf(requestSize_), loop_.now());
  deadline_ = request.deadline;
  router_.checker().requestAcceptedOn(request_, lingering_ || closed_);
  router_.submit(*this, request, protocol_, asked->timeout, request_);
}

// Forwards a further part of the open request, which stands behind the bytes before it.
void ClientConnection::writeMore(std::size_t size) {
  incompleteSince_ = 0;
  router_.writeMore(request_, stream_.input().view().substr(requestSize_, size));
  requestSize_ += size;
  if (responding_) consumeInput(std::exchange(requestSize_, 0));
}

void ClientConnection::failMalformed(std::string_view problem) {
  ++observer_.counters.requestsMalformed;
  note(Topic::Downstream, std::string(problem));
  side_->rejected(problem, stream_.output());
  busy_ = true;
  onAnswered();
}

// The client has cancelled the open request: it gets no answer.
void ClientConnection::cancelRequest() {
  router_.cancel(request_);
  finishRequest();
}

// No request is open any more.
void ClientConnection::finishRequest() {
  consumeInput(std::exchange(requestSize_, 0));
  context_.openRequests.erase(requestName_);
  requestName_.clear();
  busy_ = responding_ = false;
  idleSince_ = loop_.now();
  owner_.onConnectionIdle(*this);
  stream_.flush();
  // A client that never reads must not keep its descriptor: once its deadline has passed the connection ends.
  if (!stream_.output().empty()) readTimeout_.arm(std::max(loop_.now(), deadline_) + kReadTimeout);
}

std::string_view ClientConnection::requestBytes() const {
  return stream_.input().view().substr(0, requestSize_);
}

// ---- Output ----

bool ClientConnection::canTakeResponse(std::size_t size) const {
  const transport::Buffer& out = stream_.output();
  return out.empty() || out.size() + size + protocol::ClientSide::kHeadroom <= kLimits.output;
}

// Reserves memory for the whole answer before any of it is written, so that a client never gets half of one.
bool ClientConnection::reserveOutput(const protocol::Answer& answer) {
  transport::Buffer& out = stream_.output();
  if (out.reserve(out.size() + answer.size() + protocol::ClientSide::kHeadroom)) return true;
  ++observer_.counters.memoryRejections;
  note(Topic::Limits, "a response was not forwarded: no memory is left for it");
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
  // The client may have sent a further part of the request already.
  if (!stream_.input().empty() || stream_.stalled()) nextTurn_.arm(loop_.now());
  return true;
}

void ClientConnection::onResponse(const protocol::Answer& answer, std::string_view bytes) {
  // The request has run, so where there is no memory for its response it has failed.
  if (!reserveOutput(answer)) return onFailed();
  writeAnswer(answer, bytes);
  side_->served(stream_.output());
  onAnswered();
}

void ClientConnection::onRejected(Micros retryAfter) {
  const std::int64_t retryAfterMs = retryAfter > 0 ? (retryAfter + kMicrosPerMilli - 1) / kMicrosPerMilli : 0;
  side_->rejected(retryAfterMs, stream_.output());
  onAnswered();
}

void ClientConnection::onFailed() {
  side_->failed(stream_.output());
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

// Closes the connection in order: the client can still read the output, and a request that crosses the close
// is neither forwarded nor answered by a reset, so that its client can send it again on another connection.
void ClientConnection::linger(CloseReason why, Micros timeout) {
  recordClose(why);
  lingering_ = true;
  requestTimeout_.disarm();
  readTimeout_.disarm();
  owner_.onConnectionLingering(*this);
  stream_.linger(timeout);
}

void ClientConnection::close(CloseReason why) {
  if (closed_) return;
  closed_ = true;
  recordClose(why);
  stream_.close();
  readTimeout_.disarm();
  requestTimeout_.disarm();
  nextTurn_.disarm();
  context_.openRequests.erase(requestName_);
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
    observer_.trace(Topic::Downstream, "closed: " + std::string(nameOf(why)), logContext());
  }
}

// The client has sent no request, or only a part of a message, in time.
void ClientConnection::onRequestTimeout() {
  if (lingering_ || closed_ || (busy_ && incompleteSince_ == 0)) return;
  if (stream_.input().empty()) return linger(CloseReason::IncompleteRequest, kReadTimeout);
  if (busy_) cancelRequest();
  ++observer_.counters.clientProtocolErrors;
  note(Topic::Downstream, "a message was not complete in time");
  closeWithError(Reason::IncompleteRequest, "the message was not finished in time",
                 CloseReason::IncompleteRequest);
}

// The client has not read its last answer, or, where it is to be rejected, has sent no request in time.
void ClientConnection::onReadTimeout() {
  const bool unread = !stream_.output().empty();
  if (unread) ++observer_.counters.slowReadersClosed;
  close(unread ? CloseReason::SlowReader : CloseReason::TooManyClients);
}

void ClientConnection::rejectConnection() {
  rejecting_ = closeWhenIdle_ = true;
  // A client that sends nothing must not keep others from getting their error.
  readTimeout_.arm(loop_.now() + kReadTimeout);
}

void ClientConnection::closeWhenIdle(bool closeNewcomers) {
  closeWhenIdle_ = true;
  if (sentRequest_) {
    closeIfIdle();
  } else if (closeNewcomers && canClose()) {
    closeWithError(Reason::ShuttingDown, "this gateway ends", CloseReason::IdleClosed);
  }
}

// Whether no request is open and nothing is unread or unsent.
bool ClientConnection::canClose() const {
  if (busy_ || lingering_ || closed_ || !stream_.output().empty()) return false;
  // An incomplete message that does not go on keeps neither a descriptor nor the process.
  const bool stuck = incompleteSince_ != 0 && loop_.now() - incompleteSince_ > kReadTimeout;
  return stuck || stream_.isIdle();
}

bool ClientConnection::closeIfIdle() {
  if (!canClose()) return false;
  linger(CloseReason::IdleClosed, kReadTimeout);
  return true;
}

// ---- Log ----

stats::LogContext ClientConnection::logContext() const {
  stats::LogContext context;
  context.connection = connectionNumber_;
  context.request = requestName_;
  context.protocol = protocolName_;
  context.family = group_;
  return context;
}

void ClientConnection::note(Topic topic, const std::string& text) const {
  observer_.log(topic, text, logContext());
}

}  // namespace heathflow::downstream
