#include "upstream/endpoint_connection.h"

#include <utility>

namespace heathflow::upstream {
namespace {

// A request is as long as its client may send it, plus the rewritten timeout.
constexpr std::size_t kRewrittenTimeoutBytes = 1024;
// A request and its attempt together never hold more than both limits, which bounds the process's memory.
constexpr transport::Stream::Limits kLimits = {protocol::kEndpointAnswerLimit,
                                               protocol::kClientMessageLimit + kRewrittenTimeoutBytes};

}  // namespace

EndpointConnection::EndpointConnection(transport::EventLoop& loop, EndpointConnectionOwner& owner,
                                       EndpointId endpoint, std::size_t protocol,
                                       std::unique_ptr<protocol::EndpointSide> side)
    : loop_(loop),
      owner_(owner),
      endpoint_(endpoint),
      protocol_(protocol),
      stream_(loop, *this, kLimits),
      connectTimer_(loop, [this] { onEnd(transport::StreamEnd::ConnectFailed); }),
      side_(std::move(side)) {}

bool EndpointConnection::connect(const transport::SocketAddress& socketAddress, Micros timeout, int& error) {
  socketAddress_ = socketAddress;
  connectTimeout_ = timeout;
  if (!stream_.connect(socketAddress, error)) return false;
  connectTimer_.arm(loop_.now() + timeout);
  return true;
}

void EndpointConnection::start(Exchange& exchange) {
  exchange_ = &exchange;
  requestStarted_ = paused_ = writeBlocked_ = inputFull_ = false;
  requestBytes_ = 0;
  if (ready_) writeRequest();
}

bool EndpointConnection::canWriteMore(std::size_t size) {
  transport::Buffer& out = stream_.output();
  writeBlocked_ = requestStarted_ && !out.empty() && !out.reserve(out.size() + size);
  return !writeBlocked_;
}

void EndpointConnection::writeMore(std::string_view message) {
  if (!requestStarted_) return;
  const std::size_t before = stream_.output().size();
  // Without memory for the part the connection ends, so that no request runs without it.
  if (!side_->writeRequestPart(message, stream_.output())) return connectTimer_.arm(loop_.now());
  requestBytes_ += stream_.output().size() - before;
  stream_.flush();
}

void EndpointConnection::resumeResponse() {
  if (!std::exchange(paused_, false) || stream_.closed()) return;
  readInput();
}

void EndpointConnection::abort() {
  exchange_ = nullptr;
  close();
}

void EndpointConnection::close() {
  connectTimer_.disarm();
  stream_.close();
  owner_.onClosed(*this, false);
}

ExchangeStage EndpointConnection::stage() const {
  if (!requestStarted_) return ExchangeStage::Connecting;
  if (bytesWritten() < std::min(side_->mayRunAfter(), requestBytes_)) return ExchangeStage::PartlyWritten;
  return side_->answerStarted() ? ExchangeStage::Responding : ExchangeStage::Written;
}

bool EndpointConnection::rolledBackByClose() const {
  return requestStarted_ && bytesWritten() < side_->mayPersistAfter();
}

void EndpointConnection::onOpen() {
  connected_ = true;
  side_->start(stream_.output());
  stream_.flush();
}

void EndpointConnection::onOutputFlushed() {
  if (exchange_ != nullptr && std::exchange(writeBlocked_, false)) exchange_->onWritable();
}

void EndpointConnection::writeRequest() {
  const std::size_t before = stream_.output().size();
  if (!exchange_->write(*side_, stream_.output())) return finish(ExchangeEnd::Cause::Cancelled, nullptr);
  requestStarted_ = true;
  requestBytes_ = stream_.output().size() - before;
  stream_.flush();
}

void EndpointConnection::onInput() {
  inputFull_ = stream_.stalled();
  if (!paused_) readInput();
}

void EndpointConnection::readInput() {
  Next next = Next::ReadOn;
  while (next == Next::ReadOn) {
    const std::string_view bytes = stream_.input().view();
    const std::size_t before = stream_.output().size();
    const protocol::EndpointSide::Event event = side_->feed(bytes, inputFull_, stream_.output());
    if (stream_.output().size() != before) stream_.flush();
    next = handle(event, bytes);
  }
  if (next == Next::Wait) return;
  if (exchange_ != nullptr) owner_.onProtocolError(*this);
  finish(ExchangeEnd::Cause::Malformed, nullptr);
}

EndpointConnection::Next EndpointConnection::handle(protocol::EndpointSide::Event event,
                                                    std::string_view bytes) {
  using Event = protocol::EndpointSide::Event;
  switch (event) {
    case Event::NeedMore:
      // A response beyond the limit, or beyond the memory, would never be complete.
      return inputFull_ ? Next::ProtocolError : Next::Wait;
    case Event::Ready:
      return onReady();
    case Event::Rejected:
      finish(ExchangeEnd::Cause::ConnectionRejected, &side_->answer());
      return Next::Wait;
    case Event::Part:
      return onPart(bytes);
    case Event::Answered:
      return onAnswered();
    case Event::Broken:
      break;
  }
  return Next::ProtocolError;
}

EndpointConnection::Next EndpointConnection::onReady() {
  connectTimer_.disarm();
  ready_ = true;
  readySince_ = loop_.now();
  consumeInput();
  if (!stream_.input().empty()) return Next::ProtocolError;
  if (exchange_ == nullptr) {
    owner_.onIdle(*this);
  } else {
    writeRequest();
  }
  return Next::Wait;
}

EndpointConnection::Next EndpointConnection::onPart(std::string_view bytes) {
  if (exchange_ == nullptr) return Next::ProtocolError;
  if (!exchange_->onResponsePart(side_->answer(), bytes)) {
    paused_ = true;
    return Next::Wait;
  }
  // The call may have aborted the connection.
  if (stream_.closed() || exchange_ == nullptr) return Next::Wait;
  consumeInput();
  inputFull_ = false;
  stream_.resume();
  return stream_.input().empty() ? Next::Wait : Next::ReadOn;
}

EndpointConnection::Next EndpointConnection::onAnswered() {
  if (exchange_ != nullptr && !exchange_->canTakeResponse(side_->answer().size())) {
    paused_ = true;
  } else {
    finish(ExchangeEnd::Cause::Answered, &side_->answer());
  }
  return Next::Wait;
}

void EndpointConnection::consumeInput() {
  stream_.input().consume(side_->parsedBytes());
  side_->onConsumed();
}

// Ends the exchange. The connection is kept where it can carry another.
void EndpointConnection::finish(ExchangeEnd::Cause cause, const protocol::Answer* answer,
                                bool brokenAfterConnect) {
  Exchange* exchange = std::exchange(exchange_, nullptr);
  const ExchangeStage reached = stage();
  const bool rolledBack = answer != nullptr ? answer->rolledBack : rolledBackByClose();
  const bool complete = cause == ExchangeEnd::Cause::Answered || cause == ExchangeEnd::Cause::Cancelled;
  const bool inSync = complete && !stream_.closed() && side_->parsedBytes() == stream_.input().size() &&
                      stream_.output().empty();
  const bool keep = inSync && side_->usable();
  if (!ready_) owner_.onConnectFailed(*this);
  // After a request that ended badly the protocol resets the connection, within the connect timeout.
  const bool resetting = inSync && !keep && ready_ && side_->recover(stream_.output());
  paused_ = false;
  // Closed before the exchange ends, which may start the next attempt: no two of them overlap.
  if (!keep && !resetting) {
    connectTimer_.disarm();
    stream_.close();
  }
  if (exchange != nullptr) {
    exchange->onExchangeEnd({cause, reached, answer, stream_.input().view(), brokenAfterConnect, rolledBack});
  }
  if (!keep && !resetting) return owner_.onClosed(*this, exchange == nullptr && ready_);
  consumeInput();
  if (keep) return owner_.onIdle(*this);
  requestStarted_ = false;
  connectTimer_.arm(loop_.now() + connectTimeout_);
  stream_.flush();
}

void EndpointConnection::onEnd(transport::StreamEnd how) {
  // A response that was complete before the end counts.
  if (side_->completeAtClose()) return finish(ExchangeEnd::Cause::Answered, &side_->answer());
  finish(ExchangeEnd::Cause::ConnectionBroken, nullptr,
         connected_ && how != transport::StreamEnd::ConnectFailed);
}

}  // namespace heathflow::upstream
