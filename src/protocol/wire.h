// The interface between routing and a protocol: two state machines that are fed bytes, one for client
// connections and one for endpoint connections, created by a protocol that is registered by name. Routing
// code does not know which protocol it carries.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/slice.h"
#include "transport/buffer.h"

namespace heathflow::protocol {

using transport::Buffer;

// Limits in bytes that every protocol enforces: for one message of a client, and for the buffered part of an
// endpoint's answer. A value holds at most 64 KiB, which take up twice that as text.
inline constexpr std::size_t kClientMessageLimit = 136 * 1024;
inline constexpr std::size_t kEndpointAnswerLimit = 96 * 1024;

// The metadata that a client sends with a request.
struct RequestMetadata {
  std::string_view id;
  std::string_view className;
  std::optional<std::uint32_t> group;
  std::optional<std::int64_t> timeoutMs;  // how long the client waits
  Slice timeout;                          // its bytes in the request, if each attempt replaces them there
  std::optional<std::int64_t> afterMs;    // position of the commit that a read must see, Unix time
  bool isClientRetry = false;
  bool keyed = false;         // has an idempotency key
  std::optional<bool> write;  // whether the request writes, if the client says; otherwise its class decides
  std::string_view session;   // empty: no session
};

// The endpoint's answer to a request, or a part of it. Slices refer to the bytes that were fed.
struct Answer {
  enum class Kind {
    None,                // only a part so far
    Value,               // a result, or an error that every endpoint would return
    Empty,               // no result, though the request may have run
    Overloaded,          // rejected because of load; the request has not run
    Unavailable,         // the endpoint responds, but serves no requests at present
    PreconditionFailed,  // another endpoint has to serve the request; it had no effect
    Error,
  } kind = Kind::None;
  std::array<Slice, 3> pieces;             // what is forwarded to the client, in order
  Slice value;                             // the value in the row that a health check returned
  Slice code;                              // the endpoint's error code
  std::size_t replies = 0;                 // number of the client's messages that these bytes answer
  std::optional<bool> primary;             // the endpoint's role, if it reported one
  std::optional<std::int64_t> positionMs;  // as reported, Unix time
  Slice report;                            // the load report; empty if there was none
  bool rolledBack = false;                 // any effect of the request has been rolled back
  std::size_t size() const { return pieces[0].size + pieces[1].size + pieces[2].size; }
};

// The protocol on a client connection.
class ClientSide {
 public:
  struct Step {
    enum class Kind {
      NeedMore,     // no complete message, or it has to wait for the end of the open request
      Handled,      // answered or skipped by the state machine itself
      Request,      // a request begins with this message
      RequestPart,  // the message is a further part of the open request
      Interrupt,    // the client cancels the open request; earlier messages are answered by the state machine
      Disconnect,   // the client ends the connection
      Fatal,        // the input can't be parsed further; the error has been written
    } kind = Kind::NeedMore;
    std::size_t consumed = 0;
    bool violation = false;       // the client has violated the protocol
    bool partialMessage = false;  // with NeedMore: an incomplete message has been received
  };
  enum class Reason { TooManyClients, NoMemory, IncompleteRequest, ShuttingDown };

  virtual ~ClientSide() = default;
  // Parses the input from offset 'from' on and writes the protocol's own replies to 'out'. The bytes before
  // 'from' belong to the open request. The caller consumes the bytes of a step: at once if they were handled,
  // otherwise when the request no longer needs them.
  virtual Step step(std::string_view bytes, std::size_t from, Buffer& out) = 0;
  // Returns whether a request may consist of several messages. If not, the input after an open request is not
  // parsed.
  virtual bool acceptsRequestParts() const { return false; }
  // Returns whether the received input cancels the open request, so that step() would return Interrupt.
  virtual bool interruptPending(std::string_view, std::size_t) { return false; }
  // Parses the metadata of the request that begins with these bytes. Returns nothing and sets 'problem' if it
  // is invalid.
  virtual std::optional<RequestMetadata> parseRequest(std::string_view request,
                                                      std::string_view& problem) = 0;
  // Writes an endpoint's answer or a part of it. The caller ensures room for the answer's size plus
  // kHeadroom.
  virtual void writeAnswer(const Answer& answer, std::string_view bytes, std::int64_t nowMs, Buffer& out) = 0;
  // Each of these ends the request: after its complete answer, after a rejection (it had no effect), after a
  // failure (it may have had an effect), or as invalid. Each writes what the protocol then still owes the
  // client.
  virtual void finishAnswer(Buffer& out) = 0;
  virtual void writeRejection(std::int64_t retryAfterMs, Buffer& out) = 0;
  virtual void writeFailure(Buffer& out) = 0;
  virtual void writeInvalidRequest(std::string_view message, Buffer& out) = 0;
  // Writes an error that ends the connection; writes nothing if the protocol has no unsolicited message for
  // it.
  virtual void fatalError(Reason reason, std::string_view message, Buffer& out) = 0;
  // Returns whether the client has completed a login that takes more than the connection's first message;
  // always false for a protocol without one.
  virtual bool loginComplete() const { return false; }

  static constexpr std::size_t kHeadroom = 4096;  // bytes
};

// The protocol on an endpoint connection, which carries one request at a time.
class EndpointSide {
 public:
  enum class Event {
    NeedMore,
    Ready,     // the connection is established, or can be used again
    Rejected,  // the endpoint rejected the connection; the answer holds the error
    Part,      // a part of an answer to pass on; more follows or has to be requested
    Surplus,   // the parsed bytes belong to no request, and are discarded
    Answered,  // the answer is complete
    Broken,    // the endpoint violated the protocol
  };
  // Bytes by which a request may become longer when its timeout is rewritten.
  static constexpr std::size_t kRewriteHeadroom = 1024;
  static constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();

  virtual ~EndpointSide() = default;
  // Writes the first message of the connection. Returns false if the buffer has no room.
  virtual bool start(Buffer& out) = 0;
  // Writes a request; 'leftMs' is the remaining time for its answer. Returns false if the buffer has no room.
  virtual bool writeRequest(std::string_view request, Slice timeout, std::int64_t leftMs, Buffer& out) = 0;
  // Writes a further part of the request. Returns false and writes nothing if there is no room at present.
  virtual bool writeRequestPart(std::string_view message, Buffer& out) = 0;
  // Writes a request for the endpoint's load report, or one that an endpoint rejects while it drains.
  virtual bool writeHealthCheck(Buffer& out) = 0;
  virtual bool writeReadinessCheck(Buffer& out) = 0;

  // Parses all bytes that were received and not yet consumed. 'full' means that no more can be received until
  // some are consumed. After Ready, Part and Answered the caller uses the answer and then consumes the parsed
  // bytes.
  virtual Event feed(std::string_view bytes, bool full, Buffer& out) = 0;
  virtual std::size_t parsedBytes() const = 0;
  virtual void onConsumed() = 0;
  virtual const Answer& answer() const = 0;
  // If fewer bytes of the request than mayRunAfter() have been sent, the endpoint can't have run it. If fewer
  // than mayPersistAfter() have been sent and the connection breaks, no effect of the request persists.
  virtual std::size_t mayRunAfter() const = 0;
  virtual std::size_t mayPersistAfter() const = 0;
  // Returns whether the endpoint has still to send something of an answer.
  virtual bool answerPending() const = 0;
  // Returns whether a part of an answer has been received.
  virtual bool answerStarted() const = 0;
  // After the connection has ended: returns whether the answer was complete by then.
  virtual bool completeAtClose() const = 0;
  virtual bool usable() const = 0;
  // Starts to make the connection usable again after an answer, if it is not; Ready is reported once it is
  // usable. Returns false if it can't be made usable.
  virtual bool recover(Buffer& out) = 0;
  // Returns how many answers that belong to no request have been received since the last call.
  virtual std::size_t takeSurplusAnswers() = 0;
};

// A protocol, registered by name.
class Protocol {
 public:
  virtual ~Protocol() = default;
  virtual std::string_view name() const = 0;
  virtual std::unique_ptr<ClientSide> makeClientSide() const = 0;
  virtual std::unique_ptr<EndpointSide> makeEndpointSide() const = 0;
  // Sets the address at which clients reach the listener, for protocols that report it to clients.
  virtual void setListenAddress(const std::string&) {}
};

}  // namespace heathflow::protocol
