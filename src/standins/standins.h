// Small stand-ins for endpoints, discovery and clients, as PROTOCOL and Bolt's specification describe them,
// on loopback and one loop. What a test says of a request and its answer is the same in both protocols:
// statements with their comment, and replies in PostgreSQL's words.
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

// Where something is reached, and what is spoken there.
struct Place {
  Place() = default;
  Place(const transport::SocketAddress& at, Speaks how = Speaks::Postgres) : socketAddress(at), speaks(how) {}
  operator const transport::SocketAddress&() const { return socketAddress; }
  transport::SocketAddress socketAddress;
  Speaks speaks = Speaks::Postgres;
};

// The status codes of Bolt that say the same as a SQLSTATE, and back.
std::string boltCodeOf(const std::string& sqlstate);
std::string sqlstateOf(const std::string& boltCode);
// A statement with its comment as RUN's fields: the statement alone, and the map at the end.
std::pair<std::string, bolt::Entries> boltRequest(const std::string& statement);
// What a client of that protocol sends first, and what it asks by.
std::string openingOf(Speaks speaks);
std::string askingOf(Speaks speaks, std::string_view statement);
// And back, from what an endpoint got.
std::string statementOf(const std::string& query, const bolt::Value& extra);

// Listens there, at a port of the system's choice where none is named; says which.
transport::UniqueFd listenAt(transport::SocketAddress& place);
// Keeps an address for one that will listen there again: until then connections are rejected, and no other
// socket of the machine gets its port.
transport::UniqueFd reserve(const transport::SocketAddress& place);

// Whatever the peer has yet to read, closing the socket resets its connection.
void resetAtClose(int fd);

// One accepted or opened connection that gathers what comes in.
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
  // One that was deaf takes what has come meanwhile.
  void readOn() {
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
  bool reset = false;  // and not in order

 private:
  void onInput() override {
    if (deaf) return;
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
  std::function<void()> onGone;
  bool deaf = false;
  bool started = false;
  // Of Bolt: the statement that waits for its PULL, and whether a transaction is open.
  std::string statement;
  bool greeted = false;
  bool transaction = false;
  std::size_t queries = 0;
  transport::Stream stream;
};

// Listens on an ephemeral port and hands on what its connections say.
class Listening : private transport::IoHandler {
 public:
  explicit Listening(transport::EventLoop& loop, std::uint32_t address = kLoopback) : loop_(loop) {
    open({address, 0});
  }
  ~Listening() override { shut(); }

  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  std::string address() const { return toText(socketAddress_); }
  // The process is gone: connections reset, new ones rejected.
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
  bool resets = false;  // connections taken in from now on are reset where they are hung up

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
  transport::UniqueFd reserved_;  // its address, while it does not listen
  transport::SocketAddress socketAddress_;
};

// An endpoint. Unless told otherwise it welcomes at once, answers health checks, and gives each statement a
// value.
class EndpointStandIn final : public Listening {
 public:
  using Listening::Listening;
  using Answer = std::function<void(Line& line, const std::string& statement)>;

  EndpointStandIn(transport::EventLoop& loop, std::uint32_t address, Speaks how)
      : Listening(loop, address), speaks(how) {}

  static std::string news(bool primary, std::int64_t positionMs = 0) {
    std::string out = pg::parameter("mode", primary ? "read-write" : "read-only");
    if (positionMs != 0) out += pg::parameter("wal_time", std::to_string(positionMs));
    return out;
  }
  // Whole answers: a value, an error by its SQLSTATE.
  std::string value(std::string_view text, std::int64_t positionMs = 0) const;
  std::string error(const std::string& sqlstate) const;
  // A value without its end, what is no answer at all, and answers that are malformed in several ways.
  std::string half(std::string_view text) const;
  std::string nonsense() const;
  std::vector<std::string> malformed() const;
  // Bolt's summary of what is over.
  bolt::Entries summary(std::int64_t positionMs = 0) const;

  // Welcomes those that it has let wait.
  void welcomeNow() {
    welcomes = true;
    for (auto& line : lines) onLineInput(*line);
  }

  Speaks speaks = Speaks::Postgres;
  bool primary = false;
  bool welcomes = true;
  std::int64_t lagMs = 0;
  // Takes a new connection in place of the usual welcome, where it is set.
  std::function<void(Line& line)> door;
  Answer answer = [this](Line& line, const std::string&) { line.say(value("from " + address())); };
  Answer healthCheck = [this](Line& line, const std::string&) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count() -
                     lagMs;
    const std::string millis = std::to_string(1000 + now % 1000).substr(1);
    line.say(report("x0=" + std::to_string(now / 1000) + "." + millis + ",x1=" + (primary ? "1" : "0")));
  };
  // Of Bolt: sees every message first; true where it has dealt with it.
  std::function<bool(Line& line, const bolt::Message& message)> script;
  std::vector<std::string> statements;  // without health checks
  bool keepsStatements = true;
  std::vector<unsigned char> tags;  // of all messages of Bolt behind the login
  std::size_t healthChecks = 0;

 private:
  std::string report(const std::string& text) const;
  void onBolt(Line& line);
  void onBoltMessage(Line& line, const bolt::Message& message);
  void asked(Line& line, const std::string& statement);

  void onLineInput(Line& line) override {
    if (!welcomes) return;
    if (speaks == Speaks::Bolt) return onBolt(line);
    if (!line.started) {
      if (line.got.size() < pg::startup().size()) return;
      line.got.erase(0, pg::startup().size());
      line.started = true;
      if (door) {
        door(line);
      } else {
        line.say(pg::welcome());
      }
    }
    for (const auto& message : pg::cut(line.got)) {
      if (message.type != 'Q') continue;
      asked(line, message.body.substr(0, message.body.size() - 1));
    }
  }
};

// Discovery. Answers the whole list, holds watches until something is told.
class DiscoveryStandIn final : public Listening {
 public:
  using Listening::Listening;

  std::string endpoints = "[]";
  std::string news = "[]";  // what a call that does not wait is told
  std::int64_t revision = 1;
  std::vector<std::string> calls;
  std::vector<transport::Micros> calledAt;  // the loop's time of each
  bool silent = false;                      // nothing is answered
  bool fails = false;                       // every call ends with 503
  bool holds = true;                        // a watch waits
  Line* waiting = nullptr;

  static std::string response(const std::string& body, int status = 200) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  std::string document(bool complete, const std::string& entries) const {
    return "{\"revision\":" + std::to_string(revision) + ",\"complete\":" + (complete ? "true" : "false") +
           ",\"members\":" + entries + "}";
  }
  // Tells the watch that waits.
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
        line.say(response(document(false, news)));
      } else {
        waiting = &line;
      }
    }
  }
};

// A client's connection.
class ClientStandIn {
 public:
  ClientStandIn(transport::EventLoop& loop, const Place& gateway, bool startup = true);

  void say(std::string_view bytes) { line_.say(bytes); }
  // What the client sends first, and a request, as bytes.
  std::string opening() const { return openingOf(speaks_); }
  std::string asking(std::string_view statement) const { return askingOf(speaks_, statement); }
  void ask(std::string_view statement);
  const std::vector<pg::Message>& messages();
  const pg::Message& last() { return messages().back(); }
  void forget() {
    messages();
    messages_.clear();
  }
  // Waits for so many whole answers.
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
  // Of the first error.
  std::string code() {
    for (const auto& message : messages()) {
      if (message.type == 'E') return pg::field(message.body, 'C');
    }
    return "";
  }
  std::string value(std::size_t number = 0) {
    for (const auto& message : messages()) {
      if (message.type == 'D' && number-- == 0) return message.body.substr(6);
    }
    return "";
  }
  // The time to come back in the first error, as text.
  std::string advice() {
    for (const auto& message : messages()) {
      if (message.type == 'E') return pg::field(message.body, 'D');
    }
    return "";
  }
  // Of Bolt: the newest bookmark.
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
  // Of Bolt: what each reply that is to come is a reply to.
  enum class Awaits { Version, Login, Run, Pull, Reset };
  std::list<Awaits> awaits_;
  std::string bookmark_;
};

// A client of Bolt that says what it is told to, message by message.
class BoltClientStandIn {
 public:
  BoltClientStandIn(transport::EventLoop& loop, const transport::SocketAddress& gateway, unsigned minor = 4,
                    bool login = true);

  void say(std::string_view bytes) { line_.say(bytes); }
  // Waits for so many replies in all; records do not count.
  bool replied(std::size_t count);
  // All that has come behind the login.
  const std::vector<bolt::Message>& messages();
  // Their tags, a letter each: S, F, I for replies and R for a record.
  std::string tags();
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

// A peer without manners: a socket and nothing around it, so that it goes on whatever it is told, reads only
// when asked to, and acts between two turns of the loop.
class PlainSocket {
 public:
  PlainSocket(transport::EventLoop& loop, const transport::SocketAddress& gateway)
      : PlainSocket(loop, transport::startConnect(gateway)) {}
  PlainSocket(transport::EventLoop& loop, transport::SocketResult opened)
      : loop_(loop), opened_(std::move(opened)) {}

  // False where the peer has reset the connection.
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
  // Closes with a reset, whatever the peer has yet to read.
  void resetNow() {
    resetAtClose(opened_.fd.get());
    hangUp();
  }
  void hangUp() { opened_.fd.reset(); }
  // What has come so far; 'ended' and 'reset' say how it ended, if it has.
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
  // The code of the last message, where that is an error.
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

// Listens and takes in connections one at a time, when asked to: what they say and how they end is the
// test's.
class PlainListener {
 public:
  explicit PlainListener(transport::EventLoop& loop, std::uint32_t address = kLoopback);
  const transport::SocketAddress& socketAddress() const { return socketAddress_; }
  std::string address() const { return toText(socketAddress_); }
  // Waits for the next connection; null where none comes.
  std::unique_ptr<PlainSocket> next();

 private:
  transport::EventLoop& loop_;
  transport::SocketAddress socketAddress_;
  transport::UniqueFd listener_;
};

}  // namespace heathflow::test
