// Scripted endpoints, list service and clients for tests, on loopback and on the test's own event loop. Tests
// describe requests and answers in the same way for both protocols: a request is a statement with its
// comment, and replies are PostgreSQL messages, into which those of Bolt are translated.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "standins/bolt_bytes.h"
#include "standins/loopback.h"
#include "standins/pg_bytes.h"
#include "transport/event_loop.h"
#include "transport/socket.h"
#include "transport/stream.h"

namespace heathflow::test {

constexpr std::uint32_t kLoopback = 0x7F000001;

enum class Speaks { Postgres, Bolt };

// An address and the protocol that is spoken there.
struct ProtocolAddress {
  ProtocolAddress() = default;
  ProtocolAddress(const transport::SocketAddress& at, Speaks how = Speaks::Postgres)
      : socketAddress(at), speaks(how) {}
  operator const transport::SocketAddress&() const { return socketAddress; }
  transport::SocketAddress socketAddress;
  Speaks speaks = Speaks::Postgres;
};

// Convert between SQLSTATEs and the status codes of Bolt with the same meaning. boltCodeOf() throws
// std::runtime_error for an unknown SQLSTATE; sqlstateOf() returns an unknown code as it is.
std::string boltCodeOf(const std::string& sqlstate);
std::string sqlstateOf(const std::string& boltCode);
// Converts a statement with its comment into RUN's fields: the statement alone, and the map of extra fields.
std::pair<std::string, bolt::Entries> boltRequest(const std::string& statement);
// Return the bytes by which a client logs in, and the bytes of a request.
std::string openingOf(Speaks speaks);
std::string askingOf(Speaks speaks, std::string_view statement);
// Reverses boltRequest(): rebuilds the statement with its comment from the fields that an endpoint received.
std::string statementOf(const std::string& query, const bolt::Value& extra);

// Listens at an address; port 0 lets the system choose one, which is stored in 'place'. Throws
// std::runtime_error if that fails.
transport::UniqueFd listenAt(transport::SocketAddress& place);
// Binds a socket to an address without listening, for a stand-in that will listen there again: meanwhile
// connections are refused, and no other socket gets the port.
transport::UniqueFd reserve(const transport::SocketAddress& place);

// Makes close() reset the connection, even if the peer has not read all data.
void resetAtClose(int fd);

// An accepted or opened connection that collects the received bytes.
class Line : public transport::StreamOwner {
 public:
  using OnInput = std::function<void(Line&)>;
  Line(transport::EventLoop& loop, OnInput onInput)
      : onInput_(std::move(onInput)), stream(loop, *this, {8 << 20, 64 << 20}) {}

  void say(std::string_view bytes) {
    stream.output().append(bytes);
    stream.flush();
  }
  void hangUp() { stream.close(); }
  // Handles the input that came while 'inputPaused' was set; the caller clears the flag first.
  void resumeInput() {
    onInput();
    stream.resume();
  }
  std::string take() {
    std::string out = std::move(got);
    got.clear();
    return out;
  }

  std::string got;
  bool ended = false;
  bool reset = false;  // ended by an error of the open connection, not by a close of the peer

 private:
  void onInput() override {
    if (inputPaused) return;
    got += stream.input().view();
    stream.input().consume(stream.input().size());
    if (onInput_) onInput_(*this);
  }
  void onEnd(transport::StreamEnd how) override {
    ended = true;
    reset = how == transport::StreamEnd::Failed;
    if (onGone) onGone();
  }
  OnInput onInput_;

 public:
  std::function<void()> onGone;  // called when the connection ends, except by hangUp()
  bool inputPaused = false;      // leaves input unread
  bool started = false;          // the startup packet or the handshake was read
  std::string statement;         // Bolt: the statement of the last RUN, until its PULL
  bool greeted = false;          // Bolt: LOGON was received last, not HELLO
  bool transaction = false;      // Bolt: between BEGIN and COMMIT, ROLLBACK or RESET
  std::size_t queries = 0;
  transport::Stream stream;
};

// A server on an ephemeral port that passes the input of its connections to the derived class.
class Listening : private transport::IoHandler {
 public:
  explicit Listening(transport::EventLoop& loop, std::uint32_t address = kLoopback) : loop_(loop) {
    open({address, 0});
  }
  ~Listening() override { shut(); }

  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  std::string address() const { return toText(socketAddress_); }
  // Acts like a server whose process has ended: closes the connections, and new ones are refused.
  void shut() {
    if (!listener_) return;
    loop_.unwatch(listener_.get(), *this);
    listener_.reset();
    reserved_ = reserve(socketAddress_);
    for (auto& line : lines) line->hangUp();
  }
  void reopen() { open(socketAddress_); }
  std::size_t openLines() const {
    std::size_t count = 0;
    for (const auto& line : lines) count += !line->ended && !line->stream.closed() ? 1 : 0;
    return count;
  }

  std::list<std::unique_ptr<Line>> lines;
  bool resets = false;  // connections accepted from now on are reset when they are closed

 protected:
  virtual void onLineInput(Line& line) = 0;

  transport::EventLoop& loop_;

 private:
  void open(const transport::SocketAddress& socketAddress) {
    socketAddress_ = socketAddress;
    listener_ = listenAt(socketAddress_);
    reserved_.reset();
    loop_.watch(listener_.get(), *this);
  }
  void onReady(std::uint32_t) override {
    for (;;) {
      transport::SocketResult opened = transport::acceptFrom(listener_.get());
      if (!opened.fd) return;
      if (resets) resetAtClose(opened.fd.get());
      lines.push_back(std::make_unique<Line>(loop_, [this](Line& line) { onLineInput(line); }));
      lines.back()->stream.adopt(std::move(opened.fd));
    }
  }

  transport::UniqueFd listener_;
  transport::UniqueFd reserved_;  // holds the port after shut()
  transport::SocketAddress socketAddress_;
};

// An endpoint. By default it accepts each login at once, answers health checks, and answers each statement
// with one value. It always answers an empty query at once, and does not count it.
class EndpointStandIn final : public Listening {
 public:
  using Listening::Listening;
  using Answer = std::function<void(Line& line, const std::string& statement)>;

  EndpointStandIn(transport::EventLoop& loop, std::uint32_t address, Speaks how)
      : Listening(loop, address), speaks(how) {}

  // Returns the ParameterStatus messages with the role and, unless it is 0, the log position.
  static std::string statusParameters(bool primary, std::int64_t positionMs = 0) {
    std::string out = pg::parameter("mode", primary ? "read-write" : "read-only");
    if (positionMs != 0) out += pg::parameter("wal_time", std::to_string(positionMs));
    return out;
  }
  // Return complete answers: one value, or an error by its SQLSTATE.
  std::string value(std::string_view text, std::int64_t positionMs = 0) const;
  std::string error(const std::string& sqlstate) const;
  // Return a value without the end of the answer, bytes that are no valid message, and answers that are each
  // malformed in another way.
  std::string half(std::string_view text) const;
  std::string nonsense() const;
  std::vector<std::string> malformed() const;
  // Returns the metadata of Bolt's SUCCESS message at the end of an answer.
  bolt::Entries summary(std::int64_t positionMs = 0) const;

  // Answers the logins that came while 'welcomes' was false, and all later ones.
  void welcomeNow() {
    welcomes = true;
    for (auto& line : lines) onLineInput(*line);
  }

  Speaks speaks = Speaks::Postgres;
  bool primary = false;
  bool welcomes = true;    // false: input is collected, but nothing is handled or answered
  std::int64_t lagMs = 0;  // how far the log position in load reports is behind the wall clock
  // If set, answers a PostgreSQL startup packet in place of the default.
  std::function<void(Line& line)> onStartup;
  Answer answer = [this](Line& line, const std::string&) { line.say(value("from " + address())); };
  Answer healthCheck = [this](Line& line, const std::string&) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count() -
                     lagMs;
    const std::string millis = std::to_string(1000 + now % 1000).substr(1);
    line.say(report("x0=" + std::to_string(now / 1000) + "." + millis + ",x1=" + (primary ? "1" : "0")));
  };
  Answer readinessCheck = [](Line& line, const std::string&) { line.say(pg::row("1") + pg::ready()); };
  // Bolt: sees each message after the login first, except those of health checks; returns true if it has
  // handled the message.
  std::function<bool(Line& line, const bolt::Message& message)> script;
  std::vector<std::string> statements;  // received, without health checks
  bool keepsStatements = true;
  std::vector<unsigned char> tags;  // of all Bolt messages after the login
  std::size_t healthChecks = 0;
  std::size_t readinessChecks = 0;  // PostgreSQL only

 private:
  std::string report(const std::string& text) const;
  void onBolt(Line& line);
  void onBoltMessage(Line& line, const bolt::Message& message);
  void onStatement(Line& line, const std::string& statement);

  void onLineInput(Line& line) override {
    if (!welcomes) return;
    if (speaks == Speaks::Bolt) return onBolt(line);
    if (!line.started) {
      if (line.got.size() < pg::startup().size()) return;
      line.got.erase(0, pg::startup().size());
      line.started = true;
      if (onStartup) {
        onStartup(line);
      } else {
        line.say(pg::welcome());
      }
    }
    for (const auto& message : pg::cut(line.got)) {
      if (message.type != 'Q') continue;
      onStatement(line, message.body.substr(0, message.body.size() - 1));
    }
  }
};

// The list service over HTTP. Answers a call without a revision with the complete list, and holds watches
// until tell() is called.
class DiscoveryStandIn final : public Listening {
 public:
  using Listening::Listening;

  std::string endpoints = "[]";
  std::string changes = "[]";  // the entries in the answer to a call that does not wait
  std::int64_t revision = 1;
  std::vector<std::string> calls;
  std::vector<transport::Micros> calledAt;  // the loop's time of each call
  bool silent = false;                      // no call is answered
  bool fails = false;                       // every call is answered with status 503
  bool holds = true;                        // watches wait for tell(); false: they are answered at once
  Line* waiting = nullptr;                  // the connection of the last held watch; null after tell()

  static std::string response(const std::string& body, int status = 200) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  std::string document(bool complete, const std::string& entries) const {
    return "{\"revision\":" + std::to_string(revision) + ",\"complete\":" + (complete ? "true" : "false") +
           ",\"members\":" + entries + "}";
  }
  // Increments the revision and answers the waiting watch with these entries. A watch must be waiting.
  void tell(const std::string& entries) {
    ++revision;
    Line* line = std::exchange(waiting, nullptr);
    line->say(response(document(false, entries)));
  }

 private:
  void onLineInput(Line& line) override {
    for (;;) {
      const std::size_t end = line.got.find("\r\n\r\n");
      if (end == std::string::npos) return;
      const std::string call = line.got.substr(0, line.got.find("\r\n"));
      line.got.erase(0, end + 4);
      calls.push_back(call);
      calledAt.push_back(loop_.now());
      if (silent) {
        continue;
      } else if (fails) {
        line.say(response("", 503));
      } else if (call.find("since=") == std::string::npos) {
        line.say(response(document(true, endpoints)));
      } else if (call.find("timeout_ms=1 ") != std::string::npos || !holds) {
        line.say(response(document(false, changes)));
      } else {
        waiting = &line;
      }
    }
  }
};

// A client of either protocol. The constructor connects and, with 'startup', logs in; it throws
// std::runtime_error if that fails.
class ClientStandIn {
 public:
  ClientStandIn(transport::EventLoop& loop, const ProtocolAddress& gateway, bool startup = true);

  void say(std::string_view bytes) { line_.say(bytes); }
  // Return the bytes by which this client logs in, and the bytes of a request.
  std::string opening() const { return openingOf(speaks_); }
  std::string asking(std::string_view statement) const { return askingOf(speaks_, statement); }
  void ask(std::string_view statement);
  const std::vector<pg::Message>& messages();
  const pg::Message& last() { return messages().back(); }
  void forget() {
    messages();
    messages_.clear();
  }
  // Waits for that many complete answers in all since the last forget().
  bool answered(std::size_t count = 1) {
    return until(loop_, [&] {
      std::size_t ready = 0;
      for (const auto& message : messages()) ready += message.type == 'Z' ? 1 : 0;
      return ready >= count;
    });
  }
  bool gone() {
    return until(loop_, [&] { return line_.ended; });
  }
  bool ended() const { return line_.ended; }
  std::string types() {
    std::string out;
    for (const auto& message : messages()) out += message.type;
    return out;
  }
  // Returns the SQLSTATE of the first error; empty if there is none.
  std::string code() {
    for (const auto& message : messages()) {
      if (message.type == 'E') return pg::field(message.body, 'C');
    }
    return "";
  }
  // Returns the value of a row by its index, from 0; empty if there is no such row.
  std::string value(std::size_t number = 0) {
    for (const auto& message : messages()) {
      if (message.type == 'D' && number-- == 0) return message.body.substr(6);
    }
    return "";
  }
  // Returns the retry delay that the first error contains, as text; empty if there is none.
  std::string retryAfterMs() {
    for (const auto& message : messages()) {
      if (message.type == 'E') return pg::field(message.body, 'D');
    }
    return "";
  }
  // Bolt: the last bookmark received.
  const std::string& bookmark() const { return bookmark_; }
  void hangUp() { line_.hangUp(); }
  Line& line() { return line_; }

 private:
  void translate(const bolt::Message& message);

  transport::EventLoop& loop_;
  Speaks speaks_;
  Line line_;
  std::size_t before_ = 0;
  std::vector<pg::Message> messages_;
  // Bolt: which message each outstanding reply will answer.
  enum class ReplyTo { Version, Login, Run, Pull, Reset };
  std::list<ReplyTo> outstanding_;
  std::string bookmark_;
};

// A Bolt client that sends exactly the messages that the test gives it. The constructor connects and, with
// 'login', logs in; it throws std::runtime_error if that fails.
class BoltClientStandIn {
 public:
  BoltClientStandIn(transport::EventLoop& loop, const transport::SocketAddress& gateway, unsigned minor = 4,
                    bool login = true);

  void say(std::string_view bytes) { line_.say(bytes); }
  // Waits for that many replies in all since the last forget(); records do not count.
  bool replied(std::size_t count);
  // Returns all messages after the login, or since the last forget().
  const std::vector<bolt::Message>& messages();
  // Returns a letter per message: S (success), F (failure), I (ignored), R (record), ? (any other).
  std::string tags();
  // Returns a reply by its index, records not counted; throws std::runtime_error if it has not come.
  const bolt::Message& reply(std::size_t number);
  std::string code();  // of the first failure
  std::size_t records();
  void forget() {
    messages();
    messages_.clear();
  }
  bool gone() {
    return until(loop_, [&] { return line_.ended; });
  }
  void hangUp() { line_.hangUp(); }
  Line& line() { return line_; }

 private:
  transport::EventLoop& loop_;
  Line line_;
  std::vector<bolt::Message> messages_;
};

// A peer that breaks protocol rules: a bare socket that sends whatever it is given, reads only when the test
// asks for it, and acts between two turns of the event loop.
class PlainSocket {
 public:
  PlainSocket(transport::EventLoop& loop, const transport::SocketAddress& gateway)
      : PlainSocket(loop, transport::startConnect(gateway)) {}
  PlainSocket(transport::EventLoop& loop, transport::SocketResult opened)
      : loop_(loop), opened_(std::move(opened)) {}

  // Waits until all bytes are sent. Returns false if the connection failed or the time was up.
  bool send(std::string_view bytes) {
    bool failed = !opened_.fd;
    const bool over = until(loop_, [&] {
      while (!bytes.empty() && !failed) {
        const auto moved = transport::writeSome(opened_.fd.get(), bytes.data(), bytes.size());
        if (moved.kind == transport::Transfer::Kind::WouldBlock) return false;
        failed = moved.kind != transport::Transfer::Kind::Done;
        bytes.remove_prefix(moved.size);
      }
      return true;
    });
    return over && !failed;
  }
  void endSending() { transport::shutdownWrite(opened_.fd.get()); }
  // Closes with a reset, even if the peer has not read all data.
  void resetNow() {
    resetAtClose(opened_.fd.get());
    hangUp();
  }
  void hangUp() { opened_.fd.reset(); }
  // Returns everything received so far. Sets 'ended' if the connection has ended, and 'reset' if by an error.
  const std::string& read() {
    char bytes[4096];
    for (;;) {
      const auto moved = transport::readSome(opened_.fd.get(), bytes, sizeof bytes);
      got_.append(bytes, moved.size);
      if (moved.kind == transport::Transfer::Kind::Done) continue;
      reset = reset || moved.kind == transport::Transfer::Kind::Failed;
      ended = reset || moved.kind == transport::Transfer::Kind::Closed;
      return got_;
    }
  }
  bool gone() {
    return until(loop_, [&] { return read(), ended; });
  }
  bool reads(std::string_view text) {
    return until(loop_, [&] { return read().find(text) != std::string::npos || ended; }) &&
           got_.find(text) != std::string::npos;
  }
  // Returns the SQLSTATE of the last message if that is an error, otherwise an empty string.
  std::string lastCode() {
    std::string bytes = read();
    const auto messages = pg::cut(bytes);
    return messages.empty() || messages.back().type != 'E' ? "" : pg::field(messages.back().body, 'C');
  }

  bool ended = false;
  bool reset = false;

 private:
  transport::EventLoop& loop_;
  transport::SocketResult opened_;
  std::string got_;
};

// Accepts connections one at a time, when the test asks for one; the test decides what is sent on them and
// how they end.
class PlainListener {
 public:
  explicit PlainListener(transport::EventLoop& loop, std::uint32_t address = kLoopback);
  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  std::string address() const { return toText(socketAddress_); }
  // Waits for the next connection; returns null if none comes in time.
  std::unique_ptr<PlainSocket> next();

 private:
  transport::EventLoop& loop_;
  transport::SocketAddress socketAddress_;
  transport::UniqueFd listener_;
};

}  // namespace heathflow::test
