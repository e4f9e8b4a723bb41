// A client connection in any protocol: reads requests one at a time and writes their answers in order.
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

// Owns client connections and is notified of changes of their state.
class ClientConnectionOwner {
 public:
  virtual ~ClientConnectionOwner() = default;
  // The connection is closed. The owner must not destroy it within the call.
  virtual void onConnectionClosed(ClientConnection& connection) = 0;
  // A request has started.
  virtual void onConnectionBusy(ClientConnection& connection) = 0;
  // The open request was answered or cancelled.
  virtual void onConnectionIdle(ClientConnection& connection) = 0;
  // No further request is read: the output is flushed, then the connection is closed.
  virtual void onConnectionLingering(ClientConnection& connection) = 0;
};

// Answers requests strictly in the order of their arrival: the next one is read after the final answer of the
// previous one. The timeout of each request counts from the arrival of its last byte.
class ClientConnection final : public routing::RequestOwner, private transport::StreamOwner {
 public:
  // All references must outlive the connection.
  // @param protocol      the connection pool's index of the client's protocol.
  // @param protocolName  the name of the same protocol, for the log.
  ClientConnection(transport::EventLoop& loop, ClientConnectionOwner& owner, routing::Router& router,
                   ClientConnectionContext& context, stats::Observer& observer, std::size_t protocol,
                   std::string_view protocolName, std::unique_ptr<protocol::ClientSide> side);
  ~ClientConnection() override;

  // Takes over an accepted connection.
  // @return false if it can't be watched; 'fd' then stays with the caller.
  bool adopt(transport::UniqueFd&& fd);
  // Rejects a client for which no descriptor is left: its first request gets a fatal error and the connection
  // is closed. Without a request the connection is closed after a timeout.
  void rejectConnection();
  // Closes the connection as soon as it is idle.
  // @param closeUnused  whether to close it also if the client has sent no request yet, with an error that
  //                     says that the gateway shuts down.
  void closeWhenIdle(bool closeUnused);
  // Closes the connection gracefully if no request is open, the output is flushed, and nothing is left to
  // read or an incomplete message has not been completed in time. @return whether it closes the connection.
  bool closeIfIdle();
  // Closes a lingering connection at once, to free its descriptor.
  void closeLingering() { close(stats::CloseReason::LingerEnded); }
  // Closes the connection with an error, because the memory of its incomplete message is needed.
  void closeForMemory();
  // Returns whether the client has not completed a message that it has begun some time ago.
  bool incompleteTooLong(Micros now) const;
  // Returns whether the client has completed the protocol's logon, if it has one, or sent a valid request.
  bool identified() const { return identified_; }
  // Return whether the client has sent a valid request, and whether it has sent more than one.
  bool hasSentRequest() const { return requestCount_ > 0; }
  bool isReused() const { return requestCount_ > 1; }
  // The time since which no request has been open.
  Micros idleSince() const { return idleSince_; }

  std::string_view requestBytes() const override;
  std::string_view clientRequestId() const override { return clientRequestId_; }
  bool canTakeResponse(std::size_t size) const override;
  bool onResponsePart(const protocol::Answer& answer, std::string_view bytes) override;
  void onRequestWritable() override { process(); }
  void onResponse(const protocol::Answer& answer, std::string_view bytes) override;
  void onRejected(Micros retryAfter) override;
  void onFailed() override;

 private:
  // ---- Input ----
  void onInput() override;
  void onInputLacksMemory() override;
  void onOutputFlushed() override;
  void onEnd(transport::StreamEnd how) override;
  void recordArrivals();
  void consumeInput(std::size_t size);
  void process();
  bool mustWait();
  bool handle(const protocol::ClientSide::Step& step);
  void onIncomplete(bool partial);
  void setComplete();
  bool reclaimInputMemory();
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
  void onMessageTimeout();
  void onReactionTimeout();
  // Sends a fatal error and closes the connection gracefully.
  void closeWithError(protocol::ClientSide::Reason reason, std::string_view message, stats::CloseReason why);
  void linger(stats::CloseReason why, Micros timeout);
  bool canClose() const;
  void close(stats::CloseReason why);
  // Counts and traces the first close, and reports it to the invariant checker.
  void recordClose(stats::CloseReason why);
  // ---- Log ----
  stats::LogContext logContext() const;
  void log(stats::Topic topic, const std::string& text) const;

  transport::EventLoop& loop_;
  ClientConnectionOwner& owner_;
  routing::Router& router_;
  ClientConnectionContext& context_;
  stats::Observer& observer_;
  transport::Stream stream_;
  transport::Timer reactionTimeout_;  // until the output is read, or a client to be rejected sends a request
  transport::Timer messageTimeout_;   // until the first request, or the rest of an incomplete message
  transport::Timer nextTurn_;         // continues to process the input
  std::size_t protocol_;              // index in the connection pool
  std::string_view protocolName_;
  std::uint64_t connectionNumber_;
  std::optional<GroupId> group_;  // of the open request, or the previous one
  std::unique_ptr<protocol::ClientSide> side_;
  transport::ArrivalTimes arrivals_;  // of the bytes in the input
  Micros inputFullSince_ = 0;   // since when the input has no room for the bytes in the socket; 0: it has
  Micros incompleteSince_ = 0;  // since when the input ends with an incomplete message; 0: it does not
  RequestId request_ = 0;
  std::size_t requestSize_ = 0;  // the bytes of the open request at the front of the input
  std::string clientRequestId_;  // the client's id of the open request
  Micros idleSince_ = 0;
  Micros deadline_ = 0;             // of the open request
  bool busy_ = false;               // a request is open
  bool responding_ = false;         // a part of its response has been written
  bool processing_ = false;         // process() is running
  bool sentRequest_ = false;        // the client has sent a request, valid or malformed
  bool identified_ = false;         // the client has logged on or sent a valid request
  std::uint64_t requestCount_ = 0;  // valid requests
  bool closeWhenIdle_ = false;
  bool rejecting_ = false;  // the first request gets an error
  bool lingering_ = false;  // nothing more is read; the output is still written
  bool closed_ = false;
  bool closeRecorded_ = false;
};

}  // namespace heathflow::downstream
