// The server side of PostgreSQL's protocol, version 3.0: simple queries only, no TLS, no password. A state
// machine that is fed bytes and does no input or output of its own. See "Message Flow" and "Message Formats"
// in PostgreSQL's documentation.
#pragma once

#include <cstddef>
#include <string_view>

#include "protocol/pg_message.h"
#include "protocol/wire.h"

namespace heathflow::protocol {

// The longest startup packet that is accepted, bytes.
inline constexpr std::size_t kStartupLimit = 10'000;

// One client's connection.
class PgServer {
 public:
  // What step() found at the front of the input.
  struct Step {
    enum class Kind {
      NeedMore,    // no complete message
      Handled,     // a message that was answered or skipped
      Query,       // a statement; the caller answers it before the next step
      Disconnect,  // Terminate, or a CancelRequest: the connection ends
      Fatal,       // an invalid message; the error has been written, and the connection ends
    } kind = Kind::NeedMore;
    std::size_t consumed = 0;  // the message's bytes
    Slice statement;           // the query's text within the consumed bytes
    bool violation = false;    // the client has violated the protocol
  };

  // Parses the message at the front of the input and writes the protocol's own replies to 'out'. The caller
  // consumes its bytes: at once, or for a query once it is answered.
  Step step(std::string_view bytes, Buffer& out);

  // Returns whether the startup packet has been accepted.
  bool started() const { return started_; }

 private:
  Step startup(std::string_view bytes, Buffer& out);
  Step fatal(Buffer& out, std::string_view code, std::string_view message);
  Step rejectMessage(Buffer& out, std::size_t consumed);

  bool started_ = false;
  bool skippingToSync_ =
      false;  // a message of the extended protocol was rejected; skips all messages up to Sync
};

}  // namespace heathflow::protocol
