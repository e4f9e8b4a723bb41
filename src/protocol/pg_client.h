// The client side of PostgreSQL's protocol, for one connection to an endpoint: a state machine that is fed
// bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "protocol/pg_message.h"

namespace heathflow::protocol {

// Bytes. A value holds at most 64 KiB; the rest is for the messages around it.
inline constexpr std::size_t kEndpointMessageLimit = 80 * 1024;

// The answer to one query. Slices refer to the bytes that were fed.
struct PgAnswer {
  enum class Kind { None, Row, Empty, Error } kind = Kind::None;
  Slice rowDescription;
  Slice dataRow;
  Slice commandComplete;
  Slice value;  // of the row
  Slice code;   // of the error
  bool fatal = false;
  std::optional<bool> primary;             // the endpoint's role, where it reported one
  std::optional<std::int64_t> positionMs;  // as reported: Unix milliseconds
  Slice report;                            // the load report, empty when there was none
};

class PgClient {
 public:
  enum class Event {
    NeedMore,
    Ready,     // the connection is established
    Rejected,  // the endpoint rejected the connection; the answer holds the error
    Answered,  // the answer is complete
    Broken,    // the endpoint violated the protocol
  };

  // Writes the startup message. Returns false if the buffer has no room.
  bool start(Buffer& out);
  // Must be called when a query has been written.
  void onQueryWritten();

  // Parses the received bytes from parsedBytes() on. After Ready and Answered the caller uses the answer and
  // then consumes the parsed bytes.
  Event feed(std::string_view bytes);
  std::size_t parsedBytes() const { return parsed_; }
  const PgAnswer& answer() const { return answer_; }
  // After the connection has ended: returns whether the answer is complete nevertheless.
  bool completeAtClose() const { return phase_ == Phase::Busy && outcomeKnown_; }
  bool answerStarted() const { return answerStarted_; }
  bool usable() const { return phase_ == Phase::Idle; }
  // Must be called when the parsed bytes have been consumed.
  void onConsumed() { parsed_ = 0; }

 private:
  enum class Phase { Starting, Idle, Busy, Dead };
  Event handleMessage(const Frame& frame, std::string_view bytes);
  Event handleStartupMessage(const Frame& frame, std::string_view bytes);
  Event handleQueryMessage(const Frame& frame, std::string_view bytes);
  Event handleQueryError(const Frame& frame, std::string_view bytes);
  Event broken() {
    phase_ = Phase::Dead;
    return Event::Broken;
  }
  bool readRow(const Frame& frame);
  void readParameter(std::string_view body, std::string_view bytes);

  Phase phase_ = Phase::Starting;
  std::size_t parsed_ = 0;
  bool answerStarted_ = false;  // a part of the answer has been received
  bool outcomeKnown_ = false;   // the kind of the answer can no longer change
  PgAnswer answer_;
};

}  // namespace heathflow::protocol
