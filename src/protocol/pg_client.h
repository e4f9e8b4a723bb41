// PostgreSQL's protocol towards an endpoint, on one connection: a state machine that is fed bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "protocol/pg_message.h"

namespace heathflow::protocol {

// A value holds at most 64 KiB (PROTOCOL); the rest is the messages around it.
inline constexpr std::size_t kEndpointMessageLimit = 80 * 1024;

// The answer to one query. Slices lie in the bytes that were fed.
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
    Ready,     // the connection is up
    Rejected,  // the endpoint rejected the connection; the answer holds the error
    Answered,  // the answer is complete
    Broken,    // the endpoint violated the protocol
  };

  // Writes the startup message. False when the buffer has no room.
  bool start(Buffer& out);
  // A query has been written.
  void queried();

  // Parses the received bytes from seen() on. After Ready and Answered the caller uses the answer and drops
  // the seen bytes.
  Event feed(std::string_view bytes);
  std::size_t seen() const { return seen_; }
  const PgAnswer& answer() const { return answer_; }
  // After the connection ended: whether the answer was complete.
  bool wholeAtEnd() const { return phase_ == Phase::Busy && outcomeKnown_; }
  bool answering() const { return answering_; }
  bool usable() const { return phase_ == Phase::Idle; }
  // The seen bytes have been dropped.
  void dropped() { seen_ = 0; }

 private:
  enum class Phase { Starting, Idle, Busy, Dead };
  Event handleMessage(const Cut& cut, std::string_view bytes);
  Event handleStartupMessage(const Cut& cut, std::string_view bytes);
  Event handleQueryMessage(const Cut& cut, std::string_view bytes);
  Event handleQueryError(const Cut& cut, std::string_view bytes);
  Event broken() {
    phase_ = Phase::Dead;
    return Event::Broken;
  }
  bool readRow(const Cut& cut);
  void readParameter(std::string_view body, std::string_view bytes);

  Phase phase_ = Phase::Starting;
  std::size_t seen_ = 0;
  bool answering_ = false;     // a part of the answer has been received
  bool outcomeKnown_ = false;  // the kind of the answer can no longer change
  PgAnswer answer_;
};

}  // namespace heathflow::protocol
