// The client side of PostgreSQL's protocol, for one connection to an endpoint: a state machine that is fed
// bytes.
//
// An answer does not name its query, and an endpoint may send a second copy of an answer, which arrives
// behind the next query. So an answer that repeats the one before is verified: an empty query is written, and
// an endpoint answers in order. If the reply to the empty query comes next, the answer belongs to the query;
// if another answer comes first, that one does, and the repeated one is surplus. If that is an error, it
// counts only together with the reply to the empty query, because an error may prove that the query has not
// run. An answer without a row, which no query asks for, may be the end of a copy and is verified too.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "protocol/pg_message.h"
#include "protocol/slice.h"

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
    Ready,     // the connection is established, or can be used again
    Rejected,  // the endpoint rejected the connection; the answer holds the error
    Answered,  // the answer is complete
    Broken,    // the endpoint violated the protocol
  };

  // Writes the startup message. Returns false if the buffer has no room.
  bool start(Buffer& out);
  // Must be called when a query has been written.
  void onQueryWritten();

  // Parses the received bytes from parsedBytes() on, and may write an empty query. After Ready and Answered
  // the caller uses the answer and then consumes the parsed bytes.
  Event feed(std::string_view bytes, Buffer& out);
  std::size_t parsedBytes() const { return parsed_; }
  const PgAnswer& answer() const { return answer_; }
  // After the connection has ended: returns whether the answer is complete nevertheless.
  bool completeAtClose() const { return phase_ == Phase::Busy && outcomeKnown_ && !mustVerify_; }
  bool answerStarted() const { return answerStarted_; }
  // Returns whether the answer to the query is still to come.
  bool answerPending() const {
    return phase_ == Phase::Starting || phase_ == Phase::Busy || phase_ == Phase::Verifying;
  }
  bool usable() const { return phase_ == Phase::Idle; }
  // Returns whether the answer has come and only the reply to an empty query is outstanding. Ready is
  // reported once it has come.
  bool awaitsEmptyQueryReply() const { return phase_ == Phase::Synchronizing; }
  // Returns how many surplus answers have been received since the last call.
  std::size_t takeSurplusAnswers();
  // Must be called when the parsed bytes have been consumed.
  void onConsumed() { parsed_ = 0; }

 private:
  enum class Phase {
    Starting,
    Idle,
    Busy,           // a query has been written
    Verifying,      // an answer has come that must be verified, and an empty query has been written
    Synchronizing,  // the query is answered, but the empty query is not
    Dead
  };
  // Tells answers apart, without what an endpoint says about itself. Equal answers have equal fingerprints.
  struct Fingerprint {
    PgAnswer::Kind kind = PgAnswer::Kind::None;
    std::uint64_t hash = 0;  // of the value or the error code
    bool operator==(const Fingerprint&) const = default;
  };

  Event handleMessage(const Frame& frame, std::string_view bytes, Buffer& out);
  Event handleStartupMessage(const Frame& frame, std::string_view bytes);
  Event handleQueryMessage(const Frame& frame, std::string_view bytes, Buffer& out);
  Event handleQueryError(const Frame& frame, std::string_view bytes);
  Event handleVerificationMessage(const Frame& frame, std::string_view bytes, Buffer& out);
  Event handleSynchronizationMessage(const Frame& frame);
  Event finishAnswer(Buffer& out);
  void setOutcome(PgAnswer::Kind kind, std::string_view bytes);
  bool takeEmptyQueryReply(const Frame& frame);
  Event broken() {
    phase_ = Phase::Dead;
    return Event::Broken;
  }
  bool readRow(const Frame& frame);
  void readParameter(std::string_view body, std::string_view bytes);

  Phase phase_ = Phase::Starting;
  std::size_t parsed_ = 0;
  bool answerStarted_ = false;       // a part of the answer has been received
  bool outcomeKnown_ = false;        // the kind of the answer can no longer change
  bool mustVerify_ = false;          // the answer may belong to no query
  bool emptyQueryWritten_ = false;   // since the query
  bool emptyQueryAnswered_ = false;  // on this connection
  bool emptyQueryReplyStarted_ = false;
  std::size_t surplusAnswers_ = 0;
  PgAnswer answer_;
  PgAnswer unverified_;  // in Phase::Verifying, the last complete answer
  Fingerprint fingerprint_;
  Fingerprint previousFingerprint_;
};

}  // namespace heathflow::protocol
