// The client side of Bolt, for one connection to an endpoint: a state machine that is fed bytes and does no
// input or output of its own.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "protocol/bolt_message.h"
#include "protocol/wire.h"

namespace heathflow::protocol {

// The gateway's login at endpoints; without a principal it uses the scheme "none".
struct BoltLogin {
  std::string agent = "heathflow";
  std::string principal;
  std::string credentials;
};

class BoltClient final : public EndpointSide {
 public:
  // 'login' must outlive this object.
  explicit BoltClient(const BoltLogin& login) : login_(login) {}

  bool start(Buffer& out) override;
  bool writeRequest(std::string_view request, Slice timeout, std::int64_t leftMs, Buffer& out) override;
  bool writeRequestPart(std::string_view message, Buffer& out) override;
  bool writeHealthCheck(Buffer& out) override;
  // An endpoint that drains rejects the call of the load report.
  bool writeReadinessCheck(Buffer& out) override { return writeHealthCheck(out); }
  Event feed(std::string_view bytes, bool full, Buffer& out) override;
  std::size_t parsedBytes() const override { return parsed_; }
  void onConsumed() override;
  const Answer& answer() const override { return answer_; }
  std::size_t mayRunAfter() const override { return mayRunAfter_; }
  std::size_t mayPersistAfter() const override { return mayPersistAfter_; }
  bool answerPending() const override {
    return phase_ != Phase::Idle && !(phase_ == Phase::Busy && pendingReplies_.empty());
  }
  bool answerStarted() const override { return answerStarted_; }
  bool completeAtClose() const override { return answerComplete_; }
  bool usable() const override { return phase_ == Phase::Idle && !resemblesReset_; }
  bool recover(Buffer& out) override;
  std::size_t takeSurplusAnswers() override;

  // Bytes of an answer that are held back before a part is passed on. Until then another endpoint can still
  // answer.
  static constexpr std::size_t kMaxHeldBack = 48 * 1024;

 private:
  enum class Phase { Handshake, Starting, Idle, Busy, Failed, Recovering, Dead };
  // Whether RESET has been sent ahead of what the endpoint answers next. All that precedes its reply belongs
  // to no request.
  enum class Reset { None, Awaited, AwaitedBehindSurplus };

  Event broken();
  Event handshake(std::string_view bytes, Buffer& out);
  Event handleMessage(std::string_view message, std::string_view payload, bolt::Tag tag);
  Event handleStartupReply(std::string_view payload, bolt::Tag tag);
  Event handleBeforeReset(std::string_view payload, bolt::Tag tag);
  Event handleRecord(std::string_view message, std::string_view payload, unsigned fields);
  Event handleReply(std::string_view message, std::string_view payload, bolt::Tag tag);
  Event finishAnswer(Answer::Kind kind);
  Event dropEmptyReply(std::size_t size);
  Event finishReset();
  void recordReply(bool empty);
  Slice sliceOf(std::string_view piece, std::string_view message) const;
  bool beginRequest(Buffer& out);
  bool writeMessages(std::string_view message, bool first, std::int64_t leftMs, Buffer& out);
  bool writeFirstMessage(std::string_view payload, bolt::Tag tag, std::int64_t leftMs, Buffer& out);
  Answer::Kind classifyFailure(std::string_view code);

  const BoltLogin& login_;
  Phase phase_ = Phase::Handshake;
  std::size_t parsed_ = 0;
  std::size_t answerBegin_ = 0;  // where the answer begins in the bytes that were fed
  Reset reset_ = Reset::None;
  bool reused_ = false;               // a request was written since the connection started or was reset
  bool lastReplyEmpty_ = false;       // the last reply was a SUCCESS without entries, as RESET's is
  bool resemblesReset_ = false;       // an empty reply was followed by another one before all had come
  std::size_t heldReplies_ = 0;       // of the part of the answer that has not been passed on
  bool onlyEmptyRepliesHeld_ = true;  // each of them is empty
  std::size_t surplusAnswers_ = 0;    // since takeSurplusAnswers()
  bolt::ChunkScan scan_;
  std::string scratch_;
  std::deque<bolt::Tag> pendingReplies_;  // messages sent that have no reply yet
  bool isTransaction_ = false;
  bool isHealthCheck_ = false;
  bool failureReceived_ = false;  // a FAILURE was received; later messages are answered with IGNORED
  bool answerComplete_ = false;   // the last reply was received
  bool answerStarted_ = false;
  bool partPassed_ = false;       // a part of the answer was passed on
  std::size_t requestBytes_ = 0;  // written for the request so far
  std::size_t mayRunAfter_ = kNever;
  std::size_t mayPersistAfter_ = kNever;
  bool commitSent_ = false;
  Answer answer_;
};

}  // namespace heathflow::protocol
