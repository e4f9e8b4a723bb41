// The server side of Bolt, for one client connection: a state machine that is fed bytes and does no input or
// output of its own.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "protocol/bolt_message.h"
#include "protocol/wire.h"

namespace heathflow::protocol {

// Settings that a listener shares with its connections.
struct BoltListenerSettings {
  std::string agent;       // the program's name towards clients
  std::string advertised;  // host:port at which clients reach the gateway
  std::string readClass;   // class of reads that name none
  std::string writeClass;  // class of writes that name none
  std::string family;      // family of requests that name neither family nor cluster
  std::unordered_map<std::string, std::uint32_t> families;  // group by family name
  std::uint64_t connections = 0;                            // accepted so far; numbers the connections
};

class BoltServer final : public ClientSide {
 public:
  // 'settings' must outlive this object.
  explicit BoltServer(BoltListenerSettings& settings);

  Step step(std::string_view bytes, std::size_t from, Buffer& out) override;
  bool acceptsRequestParts() const override { return true; }
  bool interruptPending(std::string_view bytes, std::size_t from) override;
  std::optional<RequestMetadata> parseRequest(std::string_view request, std::string_view& problem) override;
  void writeAnswer(const Answer& answer, std::string_view bytes, std::int64_t nowMs, Buffer& out) override;
  void finishAnswer(Buffer& out) override;
  void writeRejection(std::int64_t retryAfterMs, Buffer& out) override;
  void writeFailure(Buffer& out) override;
  void writeInvalidRequest(std::string_view message, Buffer& out) override;
  void fatalError(Reason reason, std::string_view message, Buffer& out) override;
  bool loginComplete() const override { return state_ >= State::Ready; }

  // Upper limit of the messages of one request that are unanswered at the same time.
  static constexpr std::size_t kMaxUnanswered = 256;

 private:
  enum class State {
    Handshake,
    Negotiated,      // expects HELLO
    Authentication,  // expects LOGON
    Ready,
    Failed,       // ignores all messages up to RESET
    Interrupted,  // a RESET was received; ignores all messages before it
  };
  enum class RequestKind { None, Statement, Transaction };

  Step handshake(std::string_view bytes, Buffer& out);
  Step handleMessage(bolt::Tag tag, std::string_view payload, unsigned fields, std::size_t size, Buffer& out);
  Step handleIdle(bolt::Tag tag, std::string_view payload, std::size_t size, Buffer& out);
  Step handleInRequest(bolt::Tag tag, std::string_view payload, std::size_t size, Buffer& out);
  Step beginRequest(RequestKind kind, std::size_t size);
  Step addRequestPart(std::size_t size);
  Step violation(std::string_view message, Buffer& out);
  Step rejectAuthentication(Buffer& out) const;
  void ignoreUnanswered(Buffer& out);
  void closeRequest();
  Step handleHello(std::string_view payload, std::size_t size, Buffer& out);
  Step handleLogon(std::string_view payload, std::size_t size, Buffer& out);
  bool acceptsAuthentication(std::string_view payload) const;
  void writeRoutingTable(Buffer& out) const;
  void endWithFailure(std::string_view code, std::string_view message, std::int64_t retryAfterMs,
                      Buffer& out);
  void writeSummary(std::string_view message, std::int64_t nowMs, const Answer& answer, Buffer& out);

  BoltListenerSettings& settings_;
  std::uint64_t connectionNumber_;
  std::uint64_t requestCount_ = 0;
  State state_ = State::Handshake;
  unsigned minorVersion_ = 0;
  bolt::ChunkScan scan_;
  std::string scratch_;

  // The open request.
  RequestKind requestKind_ = RequestKind::None;
  std::size_t unanswered_ = 0;        // messages without a reply
  bool lastMessageReceived_ = false;  // no further messages belong to the request
  bool mayEndWithReply_ = false;      // the endpoint's reply tells whether the last message ended the request
  bool mayCommit_ = false;            // the request may end with a commit
  bool hasResult_ = false;            // a result may be pulled, as far as the client can know
  bool isWrite_ = false;
  bool endpointFailed_ = false;
  std::uint32_t group_ = 0;
  std::int64_t minPositionMs_ = 0;  // newest position of its bookmarks, Unix time
  std::string requestId_;           // generated if the client gave none

  // A failure that ended the request while no message was unanswered; it is the reply to the next message.
  struct DeferredFailure {
    std::string code;
    std::string message;
    std::int64_t retryAfterMs = 0;
  };
  std::optional<DeferredFailure> deferredFailure_;
  // Bytes after the open request that have been searched for a RESET.
  std::size_t resetScanOffset_ = 0;
  bolt::ChunkScan resetScan_;
};

}  // namespace heathflow::protocol
