// Bolt towards an endpoint, on one connection: a state machine that is fed bytes.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "protocol/bolt_message.h"
#include "protocol/wire.h"

namespace heathflow::protocol {

// How the gateway makes itself known to endpoints; without a principal it says that it is nobody.
struct BoltLogin {
  std::string agent = "heathflow";
  std::string principal;
  std::string credentials;
};

class BoltClient final : public EndpointSide {
 public:
  // 'login' outlives it.
  explicit BoltClient(const BoltLogin& login) : login_(login) {}

  bool start(Buffer& out) override;
  bool ask(std::string_view request, Slice timeout, std::int64_t leftMs, Buffer& out) override;
  bool more(std::string_view message, Buffer& out) override;
  bool askHealthCheck(Buffer& out) override;
  Event feed(std::string_view bytes, bool full, Buffer& out) override;
  std::size_t seen() const override { return seen_; }
  void dropped() override;
  const Answer& answer() const override { return answer_; }
  std::size_t runsFrom() const override { return runsFrom_; }
  std::size_t effectFrom() const override { return effectFrom_; }
  bool owes() const override { return phase_ != Phase::Idle && !(phase_ == Phase::Busy && owed_.empty()); }
  bool answering() const override { return answering_; }
  bool wholeAtEnd() const override { return done_; }
  bool usable() const override { return phase_ == Phase::Idle; }
  bool tidy(Buffer& out) override;

  // So much of an answer is held back, bytes, in case another endpoint has to give it after all.
  static constexpr std::size_t kHeldBack = 48 * 1024;

 private:
  enum class Phase { Handshake, Starting, Idle, Busy, Failed, Tidying, Dead };

  Event broken();
  Event handshake(std::string_view bytes, Buffer& out);
  Event take(std::string_view message, std::string_view payload, bolt::Tag tag);
  Event takeReply(std::string_view message, std::string_view payload, bolt::Tag tag);
  Event ended(Answer::Kind kind);
  Slice placeOf(std::string_view piece, std::string_view message) const;
  void begin();
  bool push(std::string_view message, bool first, std::int64_t leftMs, Buffer& out);
  bool writeFirst(std::string_view payload, bolt::Tag tag, std::int64_t leftMs, Buffer& out);
  Answer::Kind kindOf(std::string_view code);

  const BoltLogin& login_;
  Phase phase_ = Phase::Handshake;
  std::size_t seen_ = 0;
  bolt::ChunkScan scan_;
  std::string scratch_;
  std::deque<bolt::Tag> owed_;  // what the endpoint was asked and has not replied to
  bool transaction_ = false;
  bool healthChecking_ = false;
  bool failing_ = false;  // a FAILURE has come; what was asked behind it is ignored
  bool done_ = false;     // the last reply has come
  bool answering_ = false;
  bool passed_ = false;      // a part of the answer has been taken
  std::size_t written_ = 0;  // bytes of the request
  std::size_t runsFrom_ = kNever;
  std::size_t effectFrom_ = kNever;
  bool committing_ = false;
  Answer answer_;
};

}  // namespace heathflow::protocol
