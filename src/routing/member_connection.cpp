#include "routing/member_connection.h"

#include <utility>

#include "protocol/pg_server.h"

namespace heathflow::routing {
namespace {

// One answer; a statement as long as a client may send it, with a little for its changed time. A request and
// its attempt hold no more than both at once, which keeps all of them together within the memory of the
// process.
constexpr transport::Stream::Limits kLimits = {protocol::kMemberAnswerLimit,
                                               protocol::kClientMessageLimit + 1024};

}  // namespace

MemberConnection::MemberConnection(transport::EventLoop& loop, MemberConnectionOwner& owner, MemberId member)
    : loop_(loop), owner_(owner), member_(member), stream_(loop, *this, kLimits), startLimit_(loop, [this] {
        onEnd(transport::StreamEnd::NotConnected);
      }) {}

bool MemberConnection::connect(const transport::Endpoint& endpoint, Micros limit, int& error) {
  endpoint_ = endpoint;
  if (!stream_.connect(endpoint, error)) return false;
  startLimit_.arm(loop_.now() + limit);
  return true;
}

void MemberConnection::begin(Exchange& exchange) {
  exchange_ = &exchange;
  asked_ = false;
  if (up_) writeQuery();
}

void MemberConnection::abandon() {
  exchange_ = nullptr;
  close();
}

void MemberConnection::close() {
  startLimit_.disarm();
  stream_.close();
  owner_.onDone(*this, false);
}

Stage MemberConnection::stage() const {
  if (!asked_) return Stage::Connecting;
  if (!stream_.output().empty()) return Stage::PartlyWritten;
  return client_.answering() ? Stage::Answering : Stage::Written;
}

void MemberConnection::onOpen() {
  opened_ = true;
  client_.start(stream_.output());
  stream_.flush();
}

void MemberConnection::writeQuery() {
  if (!exchange_->writeQuery(stream_.output())) return finish(ExchangeEnd::Cause::Unwanted, nullptr);
  asked_ = true;
  client_.queried();
  stream_.flush();
}

void MemberConnection::onInput() {
  using Event = protocol::PgClient::Event;
  const std::string_view bytes = stream_.input().view();
  switch (client_.feed(bytes)) {
    case Event::NeedMore:
      // An answer longer than any that is allowed, or than there is memory for, would wait for ever.
      if (stream_.stalled()) break;
      return;
    case Event::Ready:
      startLimit_.disarm();
      up_ = true;
      stream_.input().consume(client_.seen());
      client_.dropped();
      if (!stream_.input().empty()) break;
      if (exchange_ == nullptr) return owner_.onIdle(*this);
      return writeQuery();
    case Event::Rejected:
      return finish(ExchangeEnd::Cause::TurnedDown, &client_.answer());
    case Event::Answered:
      return finish(ExchangeEnd::Cause::Answered, &client_.answer());
    case Event::Broken:
      break;
  }
  if (exchange_ != nullptr) owner_.onProtocolError(*this);
  finish(ExchangeEnd::Cause::Spoilt, nullptr);
}

// The exchange is over. The connection is kept where it can carry another.
void MemberConnection::finish(ExchangeEnd::Cause cause, const protocol::Answer* answer, bool dropped) {
  Exchange* exchange = std::exchange(exchange_, nullptr);
  const Stage reached = stage();
  const bool whole = cause == ExchangeEnd::Cause::Answered || cause == ExchangeEnd::Cause::Unwanted;
  const bool keep = whole && client_.usable() && !stream_.closed() &&
                    client_.seen() == stream_.input().size() && stream_.output().empty();
  if (!up_) owner_.onConnectFailed(*this);
  // Closed first: the exchange may lead to a next attempt, and none goes out while this one is open.
  if (!keep) {
    startLimit_.disarm();
    stream_.close();
  }
  if (exchange != nullptr) exchange->onExchangeEnd({cause, reached, answer, stream_.input().view(), dropped});
  if (!keep) return owner_.onDone(*this, exchange == nullptr && up_);
  stream_.input().consume(client_.seen());
  client_.dropped();
  owner_.onIdle(*this);
}

void MemberConnection::onEnd(transport::StreamEnd how) {
  // What was whole before the end counts as whole.
  if (client_.wholeAtEnd()) return finish(ExchangeEnd::Cause::Answered, &client_.answer());
  finish(ExchangeEnd::Cause::Broken, nullptr, opened_ && how != transport::StreamEnd::NotConnected);
}

}  // namespace heathflow::routing
