#include "upstream/endpoint_connection.h"

#include <utility>

namespace heathflow::upstream {
namespace {

// One answer; a request as long as a client may send it, with a little for its changed time. A request and
// its attempt hold no more than both at once, which keeps all of them together within the memory of the
// process.
constexpr transport::Stream::Limits kLimits = {protocol::kEndpointAnswerLimit,
                                               protocol::kClientMessageLimit + 1024};

}  // namespace

EndpointConnection::EndpointConnection(transport::EventLoop& loop, EndpointConnectionOwner& owner,
                                       EndpointId endpoint, std::size_t protocol,
                                       std::unique_ptr<protocol::EndpointSide> side)
    : loop_(loop),
      owner_(owner),
      endpoint_(endpoint),
      protocol_(protocol),
      stream_(loop, *this, kLimits),
      startLimit_(loop, [this] { onEnd(transport::StreamEnd::NotConnected); }),
      side_(std::move(side)) {}

bool EndpointConnection::connect(const transport::SocketAddress& socketAddress, Micros limit, int& error) {
  socketAddress_ = socketAddress;
  limit_ = limit;
  if (!stream_.connect(socketAddress, error)) return false;
  startLimit_.arm(loop_.now() + limit);
  return true;
}

void EndpointConnection::begin(Exchange& exchange) {
  exchange_ = &exchange;
  asked_ = paused_ = waiting_ = full_ = false;
  appended_ = 0;
  if (up_) write();
}

bool EndpointConnection::takesMore(std::size_t size) {
  transport::Buffer& out = stream_.output();
  waiting_ = asked_ && !out.empty() && !out.reserve(out.size() + size);
  return !waiting_;
}

void EndpointConnection::more(std::string_view message) {
  if (!asked_) return;  // it goes out with the request
  const std::size_t before = stream_.output().size();
  // Guards the request against a part of it that is missing: without memory for it the connection ends.
  if (!side_->more(message, stream_.output())) return startLimit_.arm(loop_.now());
  appended_ += stream_.output().size() - before;
  stream_.flush();
}

void EndpointConnection::resume() {
  if (!std::exchange(paused_, false) || stream_.closed()) return;
  take();
}

void EndpointConnection::abandon() {
  exchange_ = nullptr;
  close();
}

void EndpointConnection::close() {
  startLimit_.disarm();
  stream_.close();
  owner_.onDone(*this, false);
}

Stage EndpointConnection::stage() const {
  if (!asked_) return Stage::Connecting;
  if (written() < std::min(side_->runsFrom(), appended_)) return Stage::PartlyWritten;
  return side_->answering() ? Stage::Answering : Stage::Written;
}

bool EndpointConnection::undoneIfBroken() const { return asked_ && written() < side_->effectFrom(); }

void EndpointConnection::onOpen() {
  opened_ = true;
  side_->start(stream_.output());
  stream_.flush();
}

void EndpointConnection::onDrained() {
  if (exchange_ != nullptr && std::exchange(waiting_, false)) exchange_->onRoom();
}

void EndpointConnection::write() {
  const std::size_t before = stream_.output().size();
  if (!exchange_->write(*side_, stream_.output())) return finish(ExchangeEnd::Cause::Unwanted, nullptr);
  asked_ = true;
  appended_ = stream_.output().size() - before;
  stream_.flush();
}

void EndpointConnection::onInput() {
  full_ = stream_.stalled();
  if (!paused_) take();
}

void EndpointConnection::take() {
  using Event = protocol::EndpointSide::Event;
  for (;;) {
    const std::string_view bytes = stream_.input().view();
    const std::size_t before = stream_.output().size();
    const Event event = side_->feed(bytes, full_, stream_.output());
    if (stream_.output().size() != before) stream_.flush();
    switch (event) {
      case Event::NeedMore:
        // An answer longer than any that is allowed, or than there is memory for, would wait for ever.
        if (full_) break;
        return;
      case Event::Ready:
        startLimit_.disarm();
        up_ = true;
        upSince_ = loop_.now();
        stream_.input().consume(side_->seen());
        side_->dropped();
        if (!stream_.input().empty()) break;
        if (exchange_ == nullptr) return owner_.onIdle(*this);
        return write();
      case Event::Rejected:
        return finish(ExchangeEnd::Cause::TurnedDown, &side_->answer());
      case Event::Part:
        if (exchange_ == nullptr) break;
        if (!exchange_->onPart(side_->answer(), bytes)) {
          paused_ = true;
          return;
        }
        // The exchange may have been given up in there.
        if (stream_.closed() || exchange_ == nullptr) return;
        stream_.input().consume(side_->seen());
        side_->dropped();
        full_ = false;
        stream_.resume();
        if (stream_.input().empty()) return;
        continue;
      case Event::Answered:
        if (exchange_ != nullptr && !exchange_->hasRoom(side_->answer().size())) {
          paused_ = true;
          return;
        }
        return finish(ExchangeEnd::Cause::Answered, &side_->answer());
      case Event::Broken:
        break;
    }
    break;
  }
  if (exchange_ != nullptr) owner_.onProtocolError(*this);
  finish(ExchangeEnd::Cause::Malformed, nullptr);
}

// The exchange is over. The connection is kept where it can carry another.
void EndpointConnection::finish(ExchangeEnd::Cause cause, const protocol::Answer* answer, bool dropped) {
  Exchange* exchange = std::exchange(exchange_, nullptr);
  const Stage reached = stage();
  const bool rolledBack = answer != nullptr ? answer->rolledBack : undoneIfBroken();
  const bool whole = cause == ExchangeEnd::Cause::Answered || cause == ExchangeEnd::Cause::Unwanted;
  const bool sound =
      whole && !stream_.closed() && side_->seen() == stream_.input().size() && stream_.output().empty();
  const bool keep = sound && side_->usable();
  if (!up_) owner_.onConnectFailed(*this);
  // Whose request ended badly is set right first, within the time that a start has.
  const bool mending = sound && !keep && up_ && side_->tidy(stream_.output());
  paused_ = false;
  // Closed first: the exchange may lead to a next attempt, and none goes out while this one is open.
  if (!keep && !mending) {
    startLimit_.disarm();
    stream_.close();
  }
  if (exchange != nullptr) {
    exchange->onExchangeEnd({cause, reached, answer, stream_.input().view(), dropped, rolledBack});
  }
  if (!keep && !mending) return owner_.onDone(*this, exchange == nullptr && up_);
  stream_.input().consume(side_->seen());
  side_->dropped();
  if (keep) return owner_.onIdle(*this);
  asked_ = false;
  startLimit_.arm(loop_.now() + limit_);
  stream_.flush();
}

void EndpointConnection::onEnd(transport::StreamEnd how) {
  // What was whole before the end counts as whole.
  if (side_->wholeAtEnd()) return finish(ExchangeEnd::Cause::Answered, &side_->answer());
  finish(ExchangeEnd::Cause::Broken, nullptr, opened_ && how != transport::StreamEnd::NotConnected);
}

}  // namespace heathflow::upstream
