// One connection to an endpoint, in whatever protocol. It carries one request at a time and nothing of it
// before it is up.
#pragma once

#include <algorithm>
#include <memory>
#include <string_view>

#include "policy/routing_policy.h"
#include "protocol/wire.h"
#include "stats/upstream_stats.h"
#include "transport/stream.h"

namespace heathflow::upstream {

class EndpointConnection;

// How far an exchange had come when it ended.
enum class Stage { Connecting, PartlyWritten, Written, Answering };

struct ExchangeEnd {
  enum class Cause {
    Answered,    // with a whole answer
    TurnedDown,  // the connection was, by the endpoint's word
    Broken,      // the connection ended
    Malformed,   // the endpoint spoke, but what came makes no sense
    Unwanted,    // nothing was to be written any more when it could have been
  } cause = Cause::Broken;
  Stage stage = Stage::Connecting;
  const protocol::Answer* answer = nullptr;  // where there is one
  std::string_view bytes;                    // that its slices lie in
  bool dropped = false;                      // the endpoint's machine had taken the connection, and broke it
  bool rolledBack = false;                   // whatever the request did has been taken back
};

// What a connection is used for: one request and its answer.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual stats::TrafficType trafficType() const { return stats::TrafficType::Request; }
  // The connection is up. False: nothing is to be written any more.
  virtual bool write(protocol::EndpointSide& side, transport::Buffer& out) = 0;
  // A part of the answer is there. False: it can't be taken at present, and resume() is called when it can.
  virtual bool onPart(const protocol::Answer&, std::string_view) { return true; }
  // Whether so many bytes of the end of an answer can be taken at present.
  virtual bool hasRoom(std::size_t) const { return true; }
  // More of the request can be written again.
  virtual void onRoom() {}
  // Told once, unless the exchange was given up.
  virtual void onExchangeEnd(const ExchangeEnd& end) = 0;
};

class EndpointConnectionOwner {
 public:
  virtual ~EndpointConnectionOwner() = default;
  virtual void onIdle(EndpointConnection& connection) = 0;
  // It is of no more use. 'unasked': it ended, or spoke, while nothing was asked of it.
  virtual void onDone(EndpointConnection& connection, bool unasked) = 0;
  virtual void onProtocolError(EndpointConnection& connection) = 0;
  virtual void onConnectFailed(EndpointConnection& connection) = 0;
};

class EndpointConnection final : private transport::StreamOwner {
 public:
  EndpointConnection(transport::EventLoop& loop, EndpointConnectionOwner& owner, EndpointId endpoint,
                     std::size_t protocol, std::unique_ptr<protocol::EndpointSide> side);

  // Opens the connection; all of its start must be over within the limit. False: no socket was to be had or
  // the address can't be reached at all.
  bool connect(const transport::SocketAddress& socketAddress, Micros limit, int& error);
  // Takes on an exchange, now or as soon as the connection is up.
  void begin(Exchange& exchange);
  // Whether so many bytes more of the request can be taken; where not, the exchange is told when.
  bool takesMore(std::size_t size);
  // Writes a further part of the request, where the request itself has been written.
  void more(std::string_view message);
  // The exchange can take more of its answer.
  void resume();
  // The exchange is given up: the connection closes at once and the exchange hears no more of it.
  void abandon();
  void close();

  EndpointId endpoint() const { return endpoint_; }
  std::size_t protocol() const { return protocol_; }
  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  // Whether an idle one may be used: nothing has come in since.
  bool fresh() const { return side_->usable() && stream_.quiet(); }
  Stage stage() const;
  // So much has been handed on that what happens from then on may have run.
  bool writtenWhole() const { return stage() == Stage::Written || stage() == Stage::Answering; }
  // It is out, and nothing has come for it.
  bool silent() const { return stage() == Stage::Written && stream_.input().empty(); }
  // Nothing of what was handed on can have an effect that stays once the connection breaks.
  bool undoneIfBroken() const;
  // The answer waits for the exchange to take more of it.
  bool paused() const { return paused_; }
  // How long ago it came up.
  Micros connectionAge() const { return up_ ? loop_.now() - upSince_ : 0; }
  // Whether the endpoint owes something of an answer, and not the client a part of the request.
  bool owes() const { return !asked_ || side_->owes(); }

 private:
  void onOpen() override;
  void onInput() override;
  void onDrained() override;
  void onEnd(transport::StreamEnd how) override;
  void write();
  void take();
  std::size_t written() const { return appended_ - std::min(appended_, stream_.output().size()); }
  void finish(ExchangeEnd::Cause cause, const protocol::Answer* answer, bool dropped = false);

  transport::EventLoop& loop_;
  EndpointConnectionOwner& owner_;
  EndpointId endpoint_;
  std::size_t protocol_;
  transport::SocketAddress socketAddress_;
  transport::Stream stream_;
  Micros limit_ = 0;  // of a start
  transport::Timer startLimit_;
  std::unique_ptr<protocol::EndpointSide> side_;
  Exchange* exchange_ = nullptr;
  bool opened_ = false;  // the endpoint's machine has taken it
  bool up_ = false;
  Micros upSince_ = 0;
  bool asked_ = false;        // the request has been handed to the stream
  bool paused_ = false;       // the answer waits until the exchange can take more of it
  bool full_ = false;         // the input, when it was last read
  bool waiting_ = false;      // the exchange waits until more of the request can be written
  std::size_t appended_ = 0;  // bytes of the request handed to the stream
};

}  // namespace heathflow::upstream
