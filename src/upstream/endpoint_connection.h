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
    ConnectionRejected,  // the endpoint rejected the connection
    ConnectionBroken,
    Malformed,  // the endpoint violates the protocol
    Cancelled,  // when the connection was ready, the exchange had nothing to write any more
  } cause = Cause::ConnectionBroken;
  ExchangeStage stage = ExchangeStage::Connecting;
  const protocol::Answer* answer = nullptr;  // null where there is none
  std::string_view bytes;                    // that the answer's slices refer to
  bool brokenAfterConnect = false;           // the endpoint's host had accepted the connection, and broke it
  bool rolledBack = false;                   // any effect of the request has been undone
};

// What a connection is used for: one request and its response, or one health check.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual stats::TrafficType trafficType() const { return stats::TrafficType::Request; }
  // Called when the connection is ready.
  // @return false where nothing is to be written any more.
  virtual bool write(protocol::EndpointSide& side, transport::Buffer& out) = 0;
  // @return false where this part of the response can't be taken at present;
  // EndpointConnection::resumeResponse()
  //         then says when it can.
  virtual bool onResponsePart(const protocol::Answer&, std::string_view) { return true; }
  // @return whether so many bytes, the end of the response, can be taken at present.
  virtual bool canTakeResponse(std::size_t) const { return true; }
  // After EndpointConnection::canWriteMore() has returned false: more of the request can be written.
  virtual void onWritable() {}
  // Called once, unless the connection was aborted.
  virtual void onExchangeEnd(const ExchangeEnd& end) = 0;
};

class EndpointConnectionOwner {
 public:
  virtual ~EndpointConnectionOwner() = default;
  // The connection is ready and carries no exchange.
  virtual void onIdle(EndpointConnection& connection) = 0;
  // @param whileIdle  the endpoint closed it, or sent something, without an exchange in progress.
  virtual void onClosed(EndpointConnection& connection, bool whileIdle) = 0;
  virtual void onProtocolError(EndpointConnection& connection) = 0;
  virtual void onConnectFailed(EndpointConnection& connection) = 0;
};

class EndpointConnection final : private transport::StreamOwner {
 public:
  // @param protocol  the index of the protocol in the pool.
  EndpointConnection(transport::EventLoop& loop, EndpointConnectionOwner& owner, EndpointId endpoint,
                     std::size_t protocol, std::unique_ptr<protocol::EndpointSide> side);

  // @param timeout  until the connection has to be ready, the protocol's start included.
  // @param error    receives the error number.
  // @return false where no socket could be opened or the address can't be reached at all.
  bool connect(const transport::SocketAddress& socketAddress, Micros timeout, int& error);
  // Starts an exchange, now or as soon as the connection is ready.
  void start(Exchange& exchange);
  // @return whether so many further bytes of the request can be written; where not, Exchange::onWritable()
  //         says when.
  bool canWriteMore(std::size_t size);
  // Writes a further part of the request. Without effect where the request itself is not written yet, for the
  // part then goes out with it.
  void writeMore(std::string_view message);
  // The exchange can take more of the response.
  void resumeResponse();
  // Closes the connection at once; the exchange gets no further call.
  void abort();
  void close();

  EndpointId endpoint() const { return endpoint_; }
  std::size_t protocol() const { return protocol_; }
  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  // Whether an idle connection can be used: nothing has come in since it became idle.
  bool reusable() const { return side_->usable() && stream_.isIdle(); }
  ExchangeStage stage() const;
  // So much was written that the request may have run.
  bool requestWritten() const {
    return stage() == ExchangeStage::Written || stage() == ExchangeStage::Responding;
  }
  // The request was written, and no byte of the response has come.
  bool awaitsFirstByte() const { return stage() == ExchangeStage::Written && stream_.input().empty(); }
  // Nothing that was written so far has a lasting effect once the connection closes.
  bool rolledBackByClose() const;
  // The response waits for the exchange to take more of it.
  bool paused() const { return paused_; }
  // How long ago it became ready.
  Micros age() const { return ready_ ? loop_.now() - readySince_ : 0; }
  // Whether the next step is the endpoint's, and not the client's with a further part of the request.
  bool awaitsEndpoint() const { return !requestStarted_ || side_->answerPending(); }

 private:
  void onOpen() override;
  void onInput() override;
  void onOutputFlushed() override;
  void onEnd(transport::StreamEnd how) override;
  void writeRequest();
  // What becomes of the input after one event of the protocol.
  enum class Next { ReadOn, Wait, ProtocolError };
  void readInput();
  Next handle(protocol::EndpointSide::Event event, std::string_view bytes);
  Next onReady();
  Next onPart(std::string_view bytes);
  Next onAnswered();
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
  bool connected_ = false;  // on the transport's level
  bool ready_ = false;      // the protocol's start is complete
  Micros readySince_ = 0;
  bool requestStarted_ = false;   // the request has been handed to the stream
  bool paused_ = false;           // the response waits for the exchange to take more of it
  bool inputFull_ = false;        // when it was last read
  bool writeBlocked_ = false;     // the exchange waits until more of the request can be written
  std::size_t requestBytes_ = 0;  // handed to the stream
};

}  // namespace heathflow::upstream
