// Bolt towards clients: a state machine that is fed bytes. docs/bolt.md has its states and what maps to what.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "protocol/bolt_message.h"
#include "protocol/wire.h"

namespace heathflow::protocol {

// What a listener of this protocol tells its connections.
struct BoltListening {
  std::string agent;       // what the program calls itself
  std::string advertised;  // host:port as clients reach it
  std::string readClass;   // of requests that name none
  std::string writeClass;
  std::string family;
  std::unordered_map<std::string, std::uint32_t> families;  // group by name
  std::uint64_t connections = 0;                            // ever made
};

class BoltServer final : public ClientSide {
 public:
  // 'listening' outlives it.
  explicit BoltServer(BoltListening& listening);

  Step step(std::string_view bytes, std::size_t from, Buffer& out) override;
  bool takesParts() const override { return true; }
  bool interrupted(std::string_view bytes, std::size_t from) override;
  std::optional<Asked> read(std::string_view request, std::string_view& problem) override;
  void pass(const Answer& answer, std::string_view bytes, std::int64_t nowMs, Buffer& out) override;
  void served(Buffer& out) override;
  void rejected(std::int64_t retryAfterMs, Buffer& out) override;
  void failed(Buffer& out) override;
  void rejected(std::string_view message, Buffer& out) override;
  void fatalError(Reason reason, std::string_view message, Buffer& out) override;
  bool introduced() const override { return state_ >= State::Ready; }

  // So many messages of a request may be without their replies at once.
  static constexpr std::size_t kOwedMost = 256;

 private:
  enum class State {
    Handshake,
    Negotiated,      // HELLO is due
    Authentication,  // LOGON is due
    Ready,
    Failed,       // all up to RESET is ignored
    Interrupted,  // a RESET has come; all before it is ignored
  };
  enum class Unit { None, Statement, Transaction };

  Step handshake(std::string_view bytes, Buffer& out);
  Step message(bolt::Tag tag, std::string_view payload, unsigned fields, std::size_t size, Buffer& out);
  Step ready(bolt::Tag tag, std::string_view payload, std::size_t size, Buffer& out);
  Step within(bolt::Tag tag, std::string_view payload, std::size_t size, Buffer& out);
  Step begin(Unit unit, std::size_t size);
  Step further(std::size_t size);
  Step violation(std::string_view message, Buffer& out);
  Step unauthorized(Buffer& out) const;
  void ignoreOwed(Buffer& out);
  void over();
  Step hello(std::string_view payload, std::size_t size, Buffer& out);
  Step logon(std::string_view payload, std::size_t size, Buffer& out);
  bool acceptable(std::string_view payload) const;
  void route(Buffer& out) const;
  void endWith(std::string_view code, std::string_view message, std::int64_t retryAfterMs, Buffer& out);
  void writeFinal(std::string_view message, std::int64_t nowMs, const Answer& answer, Buffer& out);

  BoltListening& listening_;
  std::uint64_t number_;
  std::uint64_t requests_ = 0;
  State state_ = State::Handshake;
  unsigned minor_ = 0;
  bolt::ChunkScan scan_;
  std::string scratch_;

  // The open request.
  Unit unit_ = Unit::None;
  std::size_t owed_ = 0;     // its messages without a reply
  bool closing_ = false;     // its last message has come
  bool awaiting_ = false;    // whether that was its last the endpoint's reply will tell
  bool committing_ = false;  // it may end with a commit
  bool streaming_ = false;   // it has a result to be pulled, as far as the client can know
  bool writes_ = false;
  bool failedByEndpoint_ = false;
  std::uint32_t group_ = 0;
  std::int64_t afterMs_ = 0;  // the newest position that its bookmarks bind it to
  std::string id_;            // where the client gave none

  // The request ended while the client owed the next message: what that is told.
  struct Late {
    std::string code;
    std::string message;
    std::int64_t retryAfterMs = 0;
  };
  std::optional<Late> late_;
  // Of a RESET further back in the input: how far it has been looked for.
  std::size_t lookedAt_ = 0;
  bolt::ChunkScan lookScan_;
};

}  // namespace heathflow::protocol
