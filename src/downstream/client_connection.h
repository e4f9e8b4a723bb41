// One client's connection, in any protocol: reads its requests one at a time and writes their answers in
// order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "downstream/client_connection_context.h"
#include "protocol/wire.h"
#include "routing/router.h"
#include "transport/arrival_times.h"
#include "transport/stream.h"

namespace heathflow::downstream {

class ClientConnection;

// Owns the connections and follows their states.
class ClientConnectionOwner {
 public:
  virtual ~ClientConnectionOwner() = default;
  // The connection has ended; the owner may release the connection, but not within the call.
  virtual void onConnectionClosed(ClientConnection& connection) = 0;
  // A request has begun.
  virtual void onConnectionBusy(ClientConnection& connection) = 0;
  // The open request has its answer, or was cancelled.
  virtual void onConnectionIdle(ClientConnection& connection) = 0;
  // No further request is read: the output is still written, then the connection ends.
  virtual void onConnectionLingering(ClientConnection& connection) = 0;
};

// Requests are answered strictly in the order in which they came: the next one is read when the one before it
// has its final answer. The deadline of each counts from its own last byte.
class ClientConnection final : public routing::RequestOwner, private transport::StreamOwner {
 public:
  // All references outlive the connection.
  // @param protocol      the pool's index of the protocol.
  // @param protocolName  of the same protocol.
  ClientConnection(transport::EventLoop& loop, ClientConnectionOwner& owner, routing::Router& router,
                   ClientConnectionContext& context, stats::Observer& observer, std::size_t protocol,
                   std::string_view protocolName, std::unique_ptr<protocol::ClientSide> side);
  ~ClientConnection() override;

  // Takes over an accepted connection.
  // @return false where it can't be watched; it then stays with the listener.
  bool adopt(transport::UniqueFd&& fd);
  // There are too many clients: the first request gets a fatal error, and the connection ends.
  void rejectConnection();
  // Closes the connection as soon as it is idle.
  // @param closeNewcomers  also close the connection of a client that has sent no request yet, with an error
  //                        that says that the gateway shuts down.
  void closeWhenIdle(bool closeNewcomers);
  // Closes the connection in order if it is idle with nothing unread, or with an incomplete message that does
  // not go on. @return whether it did.
  bool closeIfIdle();
  // Closes a lingering connection at once, to free its descriptor.
  void closeLingering() { close(stats::CloseReason::LingerEnded); }
  // Whether the client has ever sent something that could be read.
  bool introduced() const { return introduced_; }
  // Whether it has sent more than one request that could be read.
  bool hasReturned() const { return requestCount_ > 1; }
  // Since when no request is open.
  Micros idleSince() const { return idleSince_; }

  std::string_view requestBytes() const override;
  std::string_view clientRequestId() const override { return requestName_; }
  bool canTakeResponse(std::size_t size) const override;
  bool onResponsePart(const protocol::Answer& answer, std::string_view bytes) override;
  void onRequestWritable() override { process(); }
  void onResponse(const protocol::Answer& answer, std::string_view bytes) override;
  void onRejected(Micros retryAfter) override;
  void onFailed() override;

 private:
  // ---- Input ----
  void onInput() override;
  void onOutputFlushed() override;
  void onEnd(transport::StreamEnd how) override;
  void recordArrivals();
  void consumeInput(std::size_t size);
  void process();
  bool mustWait();
  bool handle(const protocol::ClientSide::Step& step);
  void onIncomplete(bool part);
  // ---- Requests ----
  void beginRequest();
  void writeMore(std::size_t size);
  void failMalformed(std::string_view problem);
  void cancelRequest();
  void finishRequest();
  // ---- Output ----
  void writeAnswer(const protocol::Answer& answer, std::string_view bytes);
  bool reserveOutput(const protocol::Answer& answer);
  void onAnswered();
  // ---- Closing ----
  void onRequestTimeout();
  void onReadTimeout();
  // Sends a fatal error and closes the connection in order.
  void closeWithError(protocol::ClientSide::Reason reason, std::string_view message, stats::CloseReason why);
  void linger(stats::CloseReason why, Micros timeout);
  bool canClose() const;
  void close(stats::CloseReason why);
  // Counts the close and has the invariants checked.
  void recordClose(stats::CloseReason why);
  // ---- Log ----
  stats::LogContext logContext() const;
  void note(stats::Topic topic, const std::string& text) const;

  transport::EventLoop& loop_;
  ClientConnectionOwner& owner_;
  routing::Router& router_;
  ClientConnectionContext& context_;
  stats::Observer& observer_;
  transport::Stream stream_;
  transport::Timer readTimeout_;     // until the client has read the output
  transport::Timer requestTimeout_;  // until the first request, or the rest of an incomplete message
  transport::Timer nextTurn_;        // continues with the input
  std::size_t protocol_;
  std::string_view protocolName_;
  std::uint64_t connectionNumber_;
  std::optional<GroupId> group_;  // of the open request, or the last one
  std::unique_ptr<protocol::ClientSide> side_;
  transport::ArrivalTimes arrivals_;  // of the bytes in the input
  Micros inputFullSince_ = 0;   // since when the socket may hold more than the input has room for; 0: no
  Micros incompleteSince_ = 0;  // since when the input is a part of a message; 0: it is not
  RequestId request_ = 0;
  std::size_t requestSize_ = 0;  // the bytes of the open request at the front of the input
  std::string requestName_;      // the client's id of the open request
  Micros idleSince_ = 0;
  Micros deadline_ = 0;             // of the open request
  bool busy_ = false;               // a request is open
  bool responding_ = false;         // a part of its response has been written
  bool processing_ = false;         // process() is running
  bool sentRequest_ = false;        // the client has sent a request, though it may have been malformed
  bool introduced_ = false;         // the client has sent something that could be read
  std::uint64_t requestCount_ = 0;  // that could be read
  bool closeWhenIdle_ = false;
  bool rejecting_ = false;  // no request is served
  bool lingering_ = false;  // nothing more is read; the output is still written
  bool closed_ = false;
  bool closeRecorded_ = false;
};

}  // namespace heathflow::downstream
