#include "upstream/endpoint_connection.h"

#include <utility>

namespace heathflow::upstream {
namespace {

// The limits of the buffered input and output of a connection. They bound the memory of an attempt, and so
// that of the process.
constexpr transport::Stream::Limits kStreamLimits = {
    protocol::kEndpointAnswerLimit, protocol::kClientMessageLimit + protocol::EndpointSide::kRewriteHeadroom};

}  // namespace

EndpointConnection::EndpointConnection(transport::EventLoop& loop, EndpointConnectionOwner& owner,
                                       EndpointId endpoint, std::size_t protocol,
                                       std::unique_ptr<protocol::EndpointSide> side)
    : loop_(loop),
      owner_(owner),
      endpoint_(endpoint),
      protocol_(protocol),
      stream_(loop, *this, kStreamLimits),
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
  // If there is no memory for the part, the timer ends the connection, so that the request can't run without
  // the part.
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
  inputFull_ = stream_.stalled() && stream_.input().full();
  if (!paused_) readInput();
}

// The rest of the answer is read once there is memory for it; the timeout of the exchange bounds the wait.
void EndpointConnection::onInputLacksMemory() { loop_.memory().reclaim(stream_.input().nextAllocation()); }

void EndpointConnection::readInput() {
  ReadAction action = ReadAction::Continue;
  while (action == ReadAction::Continue) {
    const std::string_view bytes = stream_.input().view();
    const std::size_t before = stream_.output().size();
    const protocol::EndpointSide::Event event = side_->feed(bytes, inputFull_, stream_.output());
    if (const std::size_t written = stream_.output().size() - before; written != 0) {
      if (requestStarted_) requestBytes_ += written;
      stream_.flush();
    }
    if (const std::size_t count = side_->takeSurplusAnswers(); count != 0)
      owner_.onSurplusAnswers(*this, count);
    action = handle(event, bytes);
  }
  if (action == ReadAction::Wait) return;
  if (exchange_ != nullptr) owner_.onProtocolError(*this);
  finish(ExchangeEnd::Cause::Malformed, nullptr);
}

EndpointConnection::ReadAction EndpointConnection::handle(protocol::EndpointSide::Event event,
                                                          std::string_view bytes) {
  using Event = protocol::EndpointSide::Event;
  switch (event) {
    case Event::NeedMore:
      // A response larger than the limit would never become complete.
      return inputFull_ ? ReadAction::ProtocolError : ReadAction::Wait;
    case Event::Ready:
      return onReady();
    case Event::Rejected:
      finish(ExchangeEnd::Cause::ConnectionRejected, &side_->answer());
      return ReadAction::Wait;
    case Event::Part:
      return onPart(bytes);
    case Event::Surplus:
      return consumeAndContinue();
    case Event::Answered:
      return onAnswered();
    case Event::Broken:
      break;
  }
  return ReadAction::ProtocolError;
}

EndpointConnection::ReadAction EndpointConnection::onReady() {
  connectTimer_.disarm();
  if (!std::exchange(ready_, true)) readySince_ = loop_.now();
  consumeInput();
  if (!stream_.input().empty()) return ReadAction::ProtocolError;
  if (exchange_ == nullptr) {
    owner_.onIdle(*this);
  } else {
    writeRequest();
  }
  return ReadAction::Wait;
}

EndpointConnection::ReadAction EndpointConnection::consumeAndContinue() {
  consumeInput();
  inputFull_ = false;
  stream_.resume();
  return stream_.input().empty() ? ReadAction::Wait : ReadAction::Continue;
}

EndpointConnection::ReadAction EndpointConnection::onPart(std::string_view bytes) {
  if (exchange_ == nullptr) return ReadAction::ProtocolError;
  if (!exchange_->onResponsePart(side_->answer(), bytes)) {
    paused_ = true;
    return ReadAction::Wait;
  }
  // The exchange may have aborted the connection.
  if (stream_.closed() || exchange_ == nullptr) return ReadAction::Wait;
  return consumeAndContinue();
}

EndpointConnection::ReadAction EndpointConnection::onAnswered() {
  if (exchange_ != nullptr && !exchange_->canTakeResponse(side_->answer().size())) {
    paused_ = true;
  } else {
    finish(ExchangeEnd::Cause::Answered, &side_->answer());
  }
  return ReadAction::Wait;
}

void EndpointConnection::consumeInput() {
  stream_.input().consume(side_->parsedBytes());
  side_->onConsumed();
}

// Ends the exchange. The connection is kept if it can carry another one.
void EndpointConnection::finish(ExchangeEnd::Cause cause, const protocol::Answer* answer,
                                bool brokenAfterConnect) {
  Exchange* exchange = std::exchange(exchange_, nullptr);
  const ExchangeStage reached = stage();
  const bool rolledBack = answer != nullptr ? answer->rolledBack : rolledBackByClose();
  const bool complete = cause == ExchangeEnd::Cause::Answered || cause == ExchangeEnd::Cause::Cancelled;
  const bool intact = complete && !stream_.closed() && stream_.output().empty();
  const bool allParsed = side_->parsedBytes() == stream_.input().size();
  const bool keep = intact && allParsed && side_->usable();
  if (!ready_) owner_.onConnectFailed(*this);
  // The protocol may make the connection usable again, within the connect timeout.
  const bool recovering = intact && !side_->usable() && ready_ && side_->recover(stream_.output());
  paused_ = false;
  // The connection is closed before the exchange is notified that it has ended, because that may start the
  // next attempt, and attempts must not overlap.
  if (!keep && !recovering) {
    connectTimer_.disarm();
    stream_.close();
  }
  if (exchange != nullptr) {
    exchange->onExchangeEnd({cause, reached, answer, stream_.input().view(), brokenAfterConnect, rolledBack});
  }
  if (!keep && !recovering) return owner_.onClosed(*this, exchange == nullptr && ready_);
  consumeInput();
  if (keep) return owner_.onIdle(*this);
  requestStarted_ = false;
  connectTimer_.arm(loop_.now() + connectTimeout_);
  inputFull_ = false;
  stream_.flush();
  stream_.resume();
  if (!stream_.input().empty()) readInput();
}

void EndpointConnection::onEnd(transport::StreamEnd how) {
  // A response that was complete when the connection ended counts.
  if (side_->completeAtClose()) return finish(ExchangeEnd::Cause::Answered, &side_->answer());
  finish(ExchangeEnd::Cause::ConnectionBroken, nullptr,
         connected_ && how != transport::StreamEnd::ConnectFailed);
}

}  // namespace heathflow::upstream
