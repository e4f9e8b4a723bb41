// One connection to an endpoint, in any protocol. It carries one request at a time, and nothing of a request
// is written before the connection is ready.
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

// How far an exchange got before it ended.
enum class ExchangeStage { Connecting, PartlyWritten, Written, Responding };

struct ExchangeEnd {
  enum class Cause {
    Answered,            // the response is complete
    ConnectionRejected,  // the endpoint rejected the connection in its protocol
    ConnectionBroken,
    Malformed,  // the endpoint violated the protocol
    Cancelled,  // the exchange had nothing to write any more when the connection became ready
  } cause = Cause::ConnectionBroken;
  ExchangeStage stage = ExchangeStage::Connecting;
  const protocol::Answer* answer = nullptr;  // null if there is none
  std::string_view bytes;                    // the input that the slices of the answer refer to
  bool brokenAfterConnect = false;           // the connection broke after the endpoint's host had accepted it
  bool rolledBack = false;                   // any effect of the request has been undone
};

// One use of a connection: a request and its response, or a health check.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual stats::TrafficType trafficType() const { return stats::TrafficType::Request; }
  // Writes the request or health check. Called when the connection is ready.
  // @return false if nothing is to be written any more.
  virtual bool write(protocol::EndpointSide& side, transport::Buffer& out) = 0;
  // Takes a part of the response.
  // @return false if it can't be taken now; EndpointConnection::resumeResponse() is called once it can.
  virtual bool onResponsePart(const protocol::Answer&, std::string_view) { return true; }
  // @return whether the rest of the response, of the given size in bytes, can be taken now.
  virtual bool canTakeResponse(std::size_t) const { return true; }
  // Called once more of the request can be written, if EndpointConnection::canWriteMore() returned false.
  virtual void onWritable() {}
  // Called once, unless the connection is aborted.
  virtual void onExchangeEnd(const ExchangeEnd& end) = 0;
};

class EndpointConnectionOwner {
 public:
  virtual ~EndpointConnectionOwner() = default;
  // Called when the connection is ready and carries no exchange.
  virtual void onIdle(EndpointConnection& connection) = 0;
  // @param whileIdle  the endpoint closed the connection, or sent something, while there was no exchange.
  virtual void onClosed(EndpointConnection& connection, bool whileIdle) = 0;
  virtual void onProtocolError(EndpointConnection& connection) = 0;
  // @param count  of the answers that the endpoint has sent and that belong to no exchange.
  virtual void onSurplusAnswers(EndpointConnection& connection, std::size_t count) = 0;
  virtual void onConnectFailed(EndpointConnection& connection) = 0;
};

class EndpointConnection final : private transport::StreamOwner {
 public:
  // @param protocol  index in ConnectionPool::Protocols.
  EndpointConnection(transport::EventLoop& loop, EndpointConnectionOwner& owner, EndpointId endpoint,
                     std::size_t protocol, std::unique_ptr<protocol::EndpointSide> side);

  // @param timeout  for the connection to become ready, including the start of its protocol.
  // @param error    receives the error number.
  // @return false if no socket could be opened or the address can't be reached at all.
  bool connect(const transport::SocketAddress& socketAddress, Micros timeout, int& error);
  // Starts an exchange, now or as soon as the connection is ready.
  void start(Exchange& exchange);
  // @return whether 'size' more bytes of the request can be written. If not, Exchange::onWritable() is called
  //         once they can.
  bool canWriteMore(std::size_t size);
  // Writes a further part of the request. Does nothing if the request itself has not been written yet,
  // because the part is then sent together with it.
  void writeMore(std::string_view message);
  // Called when the exchange can take more of the response.
  void resumeResponse();
  // Closes the connection at once. The exchange is not called any more.
  void abort();
  void close();

  EndpointId endpoint() const { return endpoint_; }
  std::size_t protocol() const { return protocol_; }
  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  // Returns whether an idle connection can be used: no bytes, close or error have come since it became idle.
  bool reusable() const { return side_->usable() && stream_.isIdle(); }
  ExchangeStage stage() const;
  // Returns whether enough of the request was written for it to run.
  bool requestWritten() const {
    return stage() == ExchangeStage::Written || stage() == ExchangeStage::Responding;
  }
  // Returns whether the request was written and no byte of the response has come.
  bool awaitsFirstByte() const { return stage() == ExchangeStage::Written && stream_.input().empty(); }
  // Returns whether closing the connection now undoes everything that the request may have done; false if no
  // request was started.
  bool rolledBackByClose() const;
  // Returns whether the response waits for the exchange to take more of it.
  bool paused() const { return paused_; }
  // Returns for how long the connection has been ready.
  Micros age() const { return ready_ ? loop_.now() - readySince_ : 0; }
  // Returns whether the next step is the endpoint's; if not, the client has to send more of the request.
  bool awaitsEndpoint() const { return !requestStarted_ || side_->answerPending(); }

 private:
  void onOpen() override;
  void onInput() override;
  void onInputLacksMemory() override;
  void onOutputFlushed() override;
  void onEnd(transport::StreamEnd how) override;
  void writeRequest();
  // How reading goes on after one event of the protocol.
  enum class ReadAction { Continue, Wait, ProtocolError };
  void readInput();
  ReadAction handle(protocol::EndpointSide::Event event, std::string_view bytes);
  ReadAction onReady();
  ReadAction consumeAndContinue();
  ReadAction onPart(std::string_view bytes);
  ReadAction onAnswered();
  std::size_t bytesWritten() const {
    return requestBytes_ - std::min(requestBytes_, stream_.output().size());
  }
  void finish(ExchangeEnd::Cause cause, const protocol::Answer* answer, bool brokenAfterConnect = false);
  void consumeInput();

  transport::EventLoop& loop_;
  EndpointConnectionOwner& owner_;
  EndpointId endpoint_;
  std::size_t protocol_;
  transport::SocketAddress socketAddress_;
  transport::Stream stream_;
  Micros connectTimeout_ = 0;
  transport::Timer connectTimer_;
  std::unique_ptr<protocol::EndpointSide> side_;
  Exchange* exchange_ = nullptr;
  bool connected_ = false;  // the transport connection is established
  bool ready_ = false;      // the start of the protocol is complete
  Micros readySince_ = 0;
  bool requestStarted_ = false;   // the request has been handed to the stream
  bool paused_ = false;           // the response waits for the exchange to take more of it
  bool inputFull_ = false;        // the input had reached its limit when it was last read
  bool writeBlocked_ = false;     // the exchange waits to write more of the request
  std::size_t requestBytes_ = 0;  // handed to the stream since the exchange began to write
};

}  // namespace heathflow::upstream
