// What a protocol is to routing: a pair of state machines fed bytes, one towards clients and one towards
// endpoints, made by a codec that is registered per listener and per endpoint. Nothing of routing knows which
// protocol it is that it carries.
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

// Limits, bytes, that every protocol keeps: of one message of a client, and of what is held of an endpoint's
// answer. A value holds at most 64 KiB (PROTOCOL), as text twice that.
inline constexpr std::size_t kClientMessageLimit = 136 * 1024;
inline constexpr std::size_t kEndpointAnswerLimit = 96 * 1024;

// What a client says of a request.
struct Asked {
  std::string_view id;
  std::string_view className;
  std::optional<std::uint32_t> group;
  std::optional<std::int64_t> timeoutMs;  // for how long the client waits
  Slice timeout;                          // where that stands in the request, if it is told on from there
  std::optional<std::int64_t> afterMs;    // what the read must see: a commit's position, Unix milliseconds
  bool isClientRetry = false;
  bool keyed = false;         // it names an idempotency key
  std::optional<bool> write;  // its own form says whether it writes; else its class does
  std::string_view session;   // empty: none
};

// What came back for a request, or for a part of it. Slices lie in the bytes that were fed.
struct Answer {
  enum class Kind {
    None,    // only a part so far
    Value,   // what was asked for, or the endpoint's own word that it can't be had from any endpoint
    Empty,   // nothing of what was asked for, though it may have run
    Full,    // turned away; it has not run
    NotNow,  // the endpoint lives, and serves nobody at present
    Miss,    // another endpoint has to serve it; no effect
    Error,
  } kind = Kind::None;
  std::array<Slice, 3> pieces;             // what the client gets of it, in order
  Slice value;                             // of a health check's one row
  Slice code;                              // of an error, as the endpoint put it
  std::size_t replies = 0;                 // how many of the client's messages these bytes answer
  std::optional<bool> primary;             // the endpoint's role, where it told it
  std::optional<std::int64_t> positionMs;  // as it was told: Unix milliseconds
  Slice report;                            // the load report, empty when there was none
  bool rolledBack = false;                 // whatever the request did has been taken back
  std::size_t size() const { return pieces[0].size + pieces[1].size + pieces[2].size; }
};

// Towards a client.
class ClientSide {
 public:
  struct Step {
    enum class Kind {
      NeedMore,   // nothing whole stands there, or what does has to wait for the end of the request
      Handled,    // answered, or skipped, by the machine itself
      Request,    // a request begins with this message
      More,       // this message is a further part of the open request
      Interrupt,  // the client takes the open request back; what came before is answered by the machine
      Left,       // the client ends the connection
      Fatal,      // the stream can't be followed; what is to be said has been written
    } kind = Kind::NeedMore;
    std::size_t consumed = 0;
    bool violation = false;  // against the protocol
    bool part = false;       // of NeedMore: a message has begun and is not whole
  };
  enum class Reason { TooMany, NoMemory, Unfinished, ShuttingDown };

  virtual ~ClientSide() = default;
  // Looks at what has come in from that place on and writes what the protocol itself answers. What stands
  // before the place belongs to the open request. The caller drops the consumed bytes: at once where they are
  // handled, else when the request is done with them.
  virtual Step step(std::string_view bytes, std::size_t from, Buffer& out) = 0;
  // Whether a request may come in parts; where not, nothing is looked at behind an open one.
  virtual bool takesParts() const { return false; }
  // Whether the client takes the open request back further on in what has come; step() would say Interrupt.
  virtual bool interrupted(std::string_view, std::size_t) { return false; }
  // What the client says of the request that begins there. Nothing, and why, where it can't be read.
  virtual std::optional<Asked> read(std::string_view request, std::string_view& problem) = 0;
  // Writes an answer that an endpoint gave, or a part of it. The caller has seen to the room, up to kHeadroom
  // more than the answer's size.
  virtual void pass(const Answer& answer, std::string_view bytes, std::int64_t nowMs, Buffer& out) = 0;
  // The final answers. Each ends the request.
  virtual void served(Buffer& out) = 0;
  virtual void rejected(std::int64_t retryAfterMs, Buffer& out) = 0;
  virtual void failed(Buffer& out) = 0;
  virtual void rejected(std::string_view message, Buffer& out) = 0;
  // An error that ends the connection; nothing where the protocol has no unsolicited message for it.
  virtual void fatalError(Reason reason, std::string_view message, Buffer& out) = 0;
  // Whether the client has made itself known by more than its start.
  virtual bool introduced() const { return false; }

  static constexpr std::size_t kHeadroom = 4096;  // bytes
};

// Towards an endpoint, on one connection. It carries one request at a time.
class EndpointSide {
 public:
  enum class Event {
    NeedMore,
    Ready,     // the connection is up, or can be used again
    Rejected,  // the connection was turned down; the answer holds the error
    Part,      // of an answer: it is passed on, and more follows or has to be asked for
    Answered,  // the answer is whole
    Broken,    // the endpoint does not keep to the protocol
  };
  static constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();

  virtual ~EndpointSide() = default;
  // Writes the start. False when the buffer has no room.
  virtual bool start(Buffer& out) = 0;
  // Writes a request; 'leftMs' is for how long its answer is waited for.
  virtual bool ask(std::string_view request, Slice timeout, std::int64_t leftMs, Buffer& out) = 0;
  // Writes a further part of it. False, and nothing written, where there is no room at present.
  virtual bool more(std::string_view message, Buffer& out) = 0;
  virtual bool askHealthCheck(Buffer& out) = 0;

  // Looks at all that has come in and was not yet dropped; 'full': no more can come before some of it is.
  // After Ready, Part and Answered the caller takes what it needs and drops the seen bytes.
  virtual Event feed(std::string_view bytes, bool full, Buffer& out) = 0;
  virtual std::size_t seen() const = 0;
  virtual void dropped() = 0;
  virtual const Answer& answer() const = 0;
  // How many bytes of the request have to be written before it may have run, and before an effect of it may
  // stay even where the connection breaks.
  virtual std::size_t runsFrom() const = 0;
  virtual std::size_t effectFrom() const = 0;
  // Whether the endpoint owes something of an answer at present.
  virtual bool owes() const = 0;
  // Something of an answer has come.
  virtual bool answering() const = 0;
  // The connection has ended: whether the answer was whole by then.
  virtual bool wholeAtEnd() const = 0;
  virtual bool usable() const = 0;
  // Makes a connection usable again whose request ended badly; Ready tells when. False: it can't be.
  virtual bool tidy(Buffer& out) = 0;
};

// A protocol, registered by name.
class Protocol {
 public:
  virtual ~Protocol() = default;
  virtual std::string_view name() const = 0;
  virtual std::unique_ptr<ClientSide> towardsClient() const = 0;
  virtual std::unique_ptr<EndpointSide> towardsEndpoint() const = 0;
  // Where clients of this listener reach it, for protocols that tell them.
  virtual void boundTo(const std::string&) {}
};

}  // namespace heathflow::protocol
