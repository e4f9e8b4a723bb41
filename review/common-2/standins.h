// Small stand-ins of the second review: one event loop with timers, the list service, members, clients and
// the platform that starts and ends gateways. They follow the operators' pages and judge nothing by
// themselves.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Micros = std::int64_t;
constexpr Micros kMilli = 1000;
constexpr Micros kSecond = 1000 * kMilli;

// Unix time in microseconds that advances with the steady clock.
inline Micros now() {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  static const Micros offset =
      duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count() -
      duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
  return offset + duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// ---- Record ----

// Writes record.txt: what was sent, answered and run, each line with its time in seconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(std::fopen(file.c_str(), "w")), startedAt_(now()) {
    if (out_ == nullptr) throw std::runtime_error("can't write " + file);
  }
  ~Record() { std::fclose(out_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void line(const std::string& text) { lineAt(now(), text); }
  void lineAt(Micros at, const std::string& text) {
    std::fprintf(out_, "%9.3f %s\n", static_cast<double>(at - startedAt_) / 1e6, text.c_str());
    std::fflush(out_);
  }

 private:
  std::FILE* out_;
  Micros startedAt_;
};

// ---- Event loop ----

class Loop {
 public:
  using Handler = std::function<void(std::uint32_t)>;
  Loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {}
  ~Loop() { ::close(epoll_); }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void watch(int fd, std::uint32_t events, Handler handler) {
    handlers_[fd] = std::make_shared<Handler>(std::move(handler));
    control(EPOLL_CTL_ADD, fd, events);
  }
  void change(int fd, std::uint32_t events) { control(EPOLL_CTL_MOD, fd, events); }
  void unwatch(int fd) {
    if (handlers_.erase(fd) != 0) ::epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
  }
  void at(Micros when, std::function<void()> what) { timers_.emplace(when, std::move(what)); }
  void in(Micros span, std::function<void()> what) { at(now() + span, std::move(what)); }

  void turn(Micros until) {
    Micros due = until;
    if (!timers_.empty()) due = std::min(due, timers_.begin()->first);
    const Micros wait = std::max<Micros>(0, due - now());
    epoll_event events[64];
    const int count = ::epoll_wait(epoll_, events, 64, static_cast<int>((wait + 999) / 1000));
    for (int i = 0; i < count; ++i) {
      const auto found = handlers_.find(events[i].data.fd);
      if (found == handlers_.end()) continue;
      const std::shared_ptr<Handler> handler = found->second;
      (*handler)(events[i].events);
    }
    while (!timers_.empty() && timers_.begin()->first <= now()) {
      auto what = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      what();
    }
  }
  void runFor(Micros span) {
    const Micros until = now() + span;
    while (now() < until) turn(until);
  }
  // Returns whether the condition came true in time.
  bool runUntil(Micros span, const std::function<bool()>& condition) {
    const Micros until = now() + span;
    while (!condition()) {
      if (now() >= until) return false;
      turn(std::min(until, now() + 5 * kMilli));
    }
    return true;
  }

 private:
  void control(int operation, int fd, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    ::epoll_ctl(epoll_, operation, fd, &event);
  }
  int epoll_;
  std::map<int, std::shared_ptr<Handler>> handlers_;
  std::multimap<Micros, std::function<void()>> timers_;
};

// ---- Connections ----

struct Address {
  std::uint32_t host = INADDR_LOOPBACK;
  std::uint16_t port = 0;
  std::string text() const {
    in_addr address{htonl(host)};
    char out[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &address, out, sizeof out);
    return std::string(out) + ":" + std::to_string(port);
  }
  sockaddr_in socketAddress() const {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(host);
    out.sin_port = htons(port);
    return out;
  }
};

// A connection that collects what it reads. It is destroyed by its last owner; handlers get 'this'.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Handler = std::function<void(Connection&)>;
  Connection(Loop& loop, int fd) : loop_(loop), fd_(fd) {}
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void start(Handler onData, Handler onEnd) {
    onData_ = std::move(onData);
    onEnd_ = std::move(onEnd);
    const std::weak_ptr<Connection> weak = weak_from_this();
    loop_.watch(fd_, EPOLLIN | EPOLLRDHUP, [weak](std::uint32_t events) {
      if (const auto self = weak.lock()) self->onReady(events);
    });
  }
  void send(std::string_view bytes) {
    if (fd_ < 0) return;
    out_ += bytes;
    flush();
  }
  // Ends sending; what the peer still sends is read.
  void endSending() { ::shutdown(fd_, SHUT_WR); }
  void close() {
    if (fd_ < 0) return;
    loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  void reset() {
    if (fd_ < 0) return;
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  // Handles what was left unhandled.
  void readAgain() {
    const auto self = shared_from_this();
    if (fd_ >= 0 && !in.empty() && onData_) onData_(*this);
  }
  bool open() const { return fd_ >= 0; }
  bool sent() const { return out_.empty(); }

  std::string in;
  bool ended = false;   // the peer has ended it
  bool failed = false;  // by a reset

 private:
  void flush() {
    while (!out_.empty()) {
      const ssize_t moved = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (moved <= 0) break;
      out_.erase(0, static_cast<std::size_t>(moved));
    }
    loop_.change(fd_, EPOLLIN | EPOLLRDHUP | (out_.empty() ? 0U : static_cast<std::uint32_t>(EPOLLOUT)));
  }
  void onReady(std::uint32_t events) {
    const auto self = shared_from_this();
    if ((events & EPOLLOUT) != 0) flush();
    char bytes[65536];
    bool got = false;
    for (;;) {
      const ssize_t moved = ::recv(fd_, bytes, sizeof bytes, 0);
      if (moved > 0) {
        in.append(bytes, static_cast<std::size_t>(moved));
        got = true;
        continue;
      }
      if (moved == 0) ended = true;
      if (moved < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) ended = failed = true;
      if (moved < 0 && errno == EINTR) continue;
      break;
    }
    if (got && onData_) onData_(*this);
    if (ended && fd_ >= 0) {
      loop_.unwatch(fd_);
      if (onEnd_) onEnd_(*this);
      close();
    }
  }
  Loop& loop_;
  int fd_;
  std::string out_;
  Handler onData_;
  Handler onEnd_;
};

using ConnectionPtr = std::shared_ptr<Connection>;

inline int openSocket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::runtime_error("no socket");
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline ConnectionPtr connectTo(Loop& loop, const Address& address) {
  const int fd = openSocket();
  const sockaddr_in to = address.socketAddress();
  ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  return std::make_shared<Connection>(loop, fd);
}

class Listener {
 public:
  using OnAccept = std::function<void(ConnectionPtr)>;
  Listener(Loop& loop, std::uint32_t host, OnAccept onAccept)
      : loop_(loop), address_{host, 0}, onAccept_(std::move(onAccept)) {
    open();
  }
  ~Listener() { shut(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const Address& address() const { return address_; }
  // New connections are refused from now on; the port is not kept.
  void shut() {
    if (fd_ < 0) return;
    loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  void open() {
    if (fd_ >= 0) return;
    fd_ = openSocket();
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = address_.socketAddress();
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, 512) != 0)
      throw std::runtime_error("can't listen at " + address_.text());
    socklen_t size = sizeof at;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    address_.port = ntohs(at.sin_port);
    loop_.watch(fd_, EPOLLIN, [this](std::uint32_t) {
      for (;;) {
        const int accepted = ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) return;
        const int one = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        onAccept_(std::make_shared<Connection>(loop_, accepted));
      }
    });
  }

 private:
  Loop& loop_;
  Address address_;
  OnAccept onAccept_;
  int fd_ = -1;
};

// Returns a port of a loopback host that is free at the moment.
inline std::uint16_t freePort(std::uint32_t host = INADDR_LOOPBACK) {
  const int fd = openSocket();
  sockaddr_in at = Address{host, 0}.socketAddress();
  socklen_t size = sizeof at;
  ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  ::close(fd);
  return ntohs(at.sin_port);
}

// ---- PostgreSQL's messages ----

namespace pg {

inline std::string u32(std::uint32_t value) {
  return {static_cast<char>(value >> 24), static_cast<char>(value >> 16), static_cast<char>(value >> 8),
          static_cast<char>(value)};
}
inline std::string u16(std::uint16_t value) {
  return {static_cast<char>(value >> 8), static_cast<char>(value)};
}
inline std::uint32_t readU32(std::string_view bytes) {
  std::uint32_t out = 0;
  for (int i = 0; i < 4; ++i) out = out << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
  return out;
}
inline std::string message(char type, const std::string& body) {
  return std::string(1, type) + u32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string text(const std::string& value) { return value + std::string(1, '\0'); }
inline std::string startup() {
  const std::string body =
      u32(196608) + text("user") + text("api") + text("database") + text("ledger") + std::string(1, '\0');
  return u32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string query(const std::string& statement) { return message('Q', text(statement)); }
inline std::string ready() { return message('Z', "I"); }
inline std::string parameter(const std::string& name, const std::string& value) {
  return message('S', text(name) + text(value));
}
inline std::string welcome() {
  return message('R', u32(0)) + parameter("server_encoding", "UTF8") + message('K', u32(1) + u32(2)) +
         ready();
}
inline std::string error(const std::string& code, const std::string& severity = "ERROR") {
  return message('E', text("S" + severity) + text("V" + severity) + text("C" + code) + text("Mno") +
                          std::string(1, '\0'));
}
inline std::string row(const std::string& value) {
  return message('T',
                 u16(1) + text("blob") + u32(0) + u16(0) + u32(17) + u16(0xFFFF) + u32(0xFFFFFFFF) + u16(1)) +
         message('D', u16(1) + u32(static_cast<std::uint32_t>(value.size())) + value) +
         message('C', text("SELECT 1"));
}
inline std::string emptyQueryReply() { return message('I', "") + ready(); }

struct Message {
  char type = 0;
  std::string body;
};
// Cuts the first whole message out of 'in'.
inline bool cut(std::string& in, Message& out) {
  if (in.size() < 5) return false;
  const std::size_t size = readU32(std::string_view(in).substr(1, 4)) + 1;
  if (in.size() < size) return false;
  out = {in[0], in.substr(5, size - 5)};
  in.erase(0, size);
  return true;
}
inline std::string field(const std::string& body, char type) {
  std::size_t at = 0;
  while (at < body.size() && body[at] != '\0') {
    const std::string value = body.c_str() + at + 1;
    if (body[at] == type) return value;
    at += value.size() + 2;
  }
  return "";
}

}  // namespace pg

// Returns the value of a name in the comment of a statement.
inline std::string commentValue(const std::string& statement, const std::string& name) {
  const std::size_t from = statement.find("/* ");
  if (from == std::string::npos) return "";
  std::string rest = statement.substr(from + 3);
  rest = rest.substr(0, rest.find(" */"));
  std::stringstream items(rest);
  for (std::string item; std::getline(items, item, ',');) {
    if (item.rfind(name + "=", 0) == 0) return item.substr(name.size() + 1);
  }
  return "";
}

// ---- List service ----

struct ListEntry {
  std::string id;
  std::string hostPort;
  int cell = 0;
  std::string phase = "Ready";
  bool primary = false;
  std::int64_t upSinceMs = 0;
  int revision = 1;  // of its last change
  std::string json() const {
    return "{\"id\":\"" + id + "\",\"host_port\":\"" + hostPort +
           "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":" + std::to_string(cell) + ",\"phase\":\"" +
           phase + "\",\"size\":1.0,\"up_since_ms\":" + std::to_string(upSinceMs) + ",\"mode\":\"" +
           (primary ? "read-write" : "read-only") + "\"}";
  }
};

// Discovery over HTTP: the whole list, and watches that wait for a change.
class ListService {
 public:
  enum class Mode {
    Normal,
    Crowded,  // a call that is due waits for its turn, and ends with 503 after a second, as it waited too
              // long
  };
  ListService(Loop& loop, Record& record)
      : loop_(loop), record_(record), listener_(loop, INADDR_LOOPBACK, [this](ConnectionPtr connection) {
          accept(std::move(connection));
        }) {}

  std::string address() const { return listener_.address().text(); }
  std::vector<ListEntry>& entries() { return entries_; }
  int revision() const { return revision_; }
  Mode mode() const { return mode_; }

  // Changes an entry; open watches get it at once.
  void change(const std::string& id, const std::function<void(ListEntry&)>& what) {
    ++revision_;
    for (ListEntry& entry : entries_) {
      if (entry.id != id) continue;
      what(entry);
      entry.revision = revision_;
      record_.line("list: " + id + " is " + entry.phase + ", revision " + std::to_string(revision_));
    }
    answerWatches();
  }
  void setMode(Mode mode) {
    mode_ = mode;
    answerWatches();
  }
  std::string wholeList() const { return document(-1); }

 private:
  struct Watch {
    ConnectionPtr connection;
    int since = 0;
    Micros until = 0;
    Micros dueAt = 0;  // since when it waits for its turn at a crowded service
  };
  void accept(ConnectionPtr connection) {
    connections_.push_back(connection);
    connection->start([this](Connection& from) { onData(from); },
                      [this](Connection& from) {
                        watches_.remove_if([&](const Watch& w) { return w.connection.get() == &from; });
                        connections_.remove_if([&](const ConnectionPtr& c) { return c.get() == &from; });
                      });
  }
  std::string document(int since) const {
    std::string members;
    for (const ListEntry& entry : entries_) {
      if (since < 0 ? entry.phase == "Gone" : entry.revision <= since) continue;
      members += (members.empty() ? "" : ",") + entry.json();
    }
    return "{\"revision\":" + std::to_string(revision_) + ",\"complete\":" + (since < 0 ? "true" : "false") +
           ",\"members\":[" + members + "]}";
  }
  static void reply(Connection& to, int status, const std::string& body) {
    to.send("HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Service Unavailable") +
            "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body);
  }
  void onData(Connection& from) {
    for (;;) {
      const std::size_t end = from.in.find("\r\n\r\n");
      if (end == std::string::npos) return;
      const std::string request = from.in.substr(0, from.in.find("\r\n"));
      from.in.erase(0, end + 4);
      const auto number = [&](const std::string& name) {
        const std::size_t at = request.find(name + "=");
        return at == std::string::npos ? -1L : std::atol(request.c_str() + at + name.size() + 1);
      };
      record_.line("list: call " + request.substr(4, request.rfind(' ') - 4));
      watches_.push_back({from.shared_from_this(), static_cast<int>(number("since")),
                          now() + std::max(0L, number("timeout_ms")) * kMilli, 0});
      answerWatches();
    }
  }
  void answerWatches() {
    constexpr Micros kLongestTurn = kSecond;
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      const bool due = watch->since < 0 || watch->since < revision_ || now() >= watch->until;
      if (due && mode_ == Mode::Crowded && watch->dueAt == 0) watch->dueAt = now();
      if (!due) {
        loop_.at(watch->until, [this] { answerWatches(); });
      } else if (mode_ == Mode::Normal) {
        record_.line("list: answers with revision " + std::to_string(revision_));
        reply(*watch->connection, 200, document(watch->since));
        watch = watches_.erase(watch);
        continue;
      } else if (now() >= watch->dueAt + kLongestTurn) {
        record_.line("list: answers 503");
        reply(*watch->connection, 503, "");
        watch = watches_.erase(watch);
        continue;
      } else {
        loop_.at(watch->dueAt + kLongestTurn, [this] { answerWatches(); });
      }
      ++watch;
    }
  }

  Loop& loop_;
  Record& record_;
  Listener listener_;
  Mode mode_ = Mode::Normal;
  int revision_ = 1;
  std::vector<ListEntry> entries_;
  std::list<ConnectionPtr> connections_;
  std::list<Watch> watches_;
};

// ---- Members ----

struct Query {
  std::string statement;
  std::string id;
  bool write = false;
  Micros receivedAt = 0;
};

// A database server. By default it welcomes every connection, serves reads, and writes if it is the primary.
class Member {
 public:
  Member(Loop& loop, Record& record, std::string name, std::uint32_t host)
      : loop_(loop),
        record_(record),
        name_(std::move(name)),
        listener_(loop, host, [this](ConnectionPtr c) { accept(std::move(c)); }) {}
  ~Member() = default;

  const std::string& name() const { return name_; }
  std::string address() const { return listener_.address().text(); }
  Listener& listener() { return listener_; }
  std::list<ConnectionPtr>& connections() { return connections_; }

  // Log position as Unix time.
  Micros position() const { return primary ? now() : std::min(now() - lag, positionLimit); }
  std::string status(Micros position) const {
    std::string out = pg::parameter("mode", primary ? "read-write" : "read-only");
    if (position != 0) out += pg::parameter("wal_time", std::to_string(position / kMilli));
    return out;
  }
  std::string report() const {
    const Micros at = position();
    const std::string millis = std::to_string(1000 + at / kMilli % 1000).substr(1);
    return "x0=" + std::to_string(at / kSecond) + "." + millis + ",x1=" + (primary ? "1" : "0");
  }
  // What it does with a statement at the time of its arrival.
  void serve(const ConnectionPtr& connection, const Query& query) {
    const std::weak_ptr<Connection> weak = connection;
    loop_.in(work, [this, weak, query] {
      const ConnectionPtr to = weak.lock();
      ++ran[query.id];
      if (onRun) onRun(query);
      if (!to || !to->open()) return;
      to->send(pg::row(query.id + "@" + name_) + status(query.write ? (now() + 999) / kMilli * kMilli : 0) +
               pg::ready());
    });
  }
  void refuse(Connection& connection, const std::string& code) {
    connection.send(pg::error(code) + status(0) + pg::ready());
  }

  // It stands still, or goes on with what came meanwhile.
  void pause(bool stands) {
    hangs = stands;
    if (stands) return;
    const std::list<ConnectionPtr> all = connections_;
    for (const ConnectionPtr& connection : all) connection->readAgain();
  }

  bool primary = false;
  bool hangs = false;  // takes what comes and answers nothing
  Micros lag = 5 * kMilli;
  Micros positionLimit = INT64_MAX;  // a replica's position stands still there
  Micros work = 3 * kMilli;
  std::map<std::string, int> ran;  // by request id
  std::size_t probes = 0;
  std::function<void(const Query&)> onRun;
  // Called for each statement that has come whole; returns true if it has handled the statement.
  std::function<bool(const ConnectionPtr&, const Query&)> onQuery;
  std::function<bool(const ConnectionPtr&)> onProbe;

 private:
  void accept(ConnectionPtr connection) {
    connections_.push_back(connection);
    auto started = std::make_shared<bool>(false);
    connection->start([this, started](Connection& from) { onData(from, *started); },
                      [this](Connection& from) {
                        connections_.remove_if([&](const ConnectionPtr& c) { return c.get() == &from; });
                      });
  }
  void onData(Connection& from, bool& started) {
    if (hangs) return;
    if (!started) {
      if (from.in.size() < 4) return;
      const std::size_t size = pg::readU32(from.in);
      if (from.in.size() < size) return;
      from.in.erase(0, size);
      started = true;
      from.send(pg::welcome());
    }
    for (pg::Message message; pg::cut(from.in, message);) {
      if (message.type == 'X') return from.close();
      if (message.type != 'Q') continue;
      onStatement(from, message.body.substr(0, message.body.size() - 1));
    }
  }
  void onStatement(Connection& from, const std::string& statement) {
    if (statement.find_first_not_of(" \t\r\n;") == std::string::npos) return from.send(pg::emptyQueryReply());
    const ConnectionPtr connection = from.shared_from_this();
    if (statement == "SELECT 1" || statement == "SHOW stats") {
      ++probes;
      if (onProbe && onProbe(connection)) return;
      return from.send(pg::row(statement == "SELECT 1" ? "1" : report()) + pg::ready());
    }
    Query query;
    query.statement = statement;
    query.id = commentValue(statement, "id");
    query.write = statement.rfind("INSERT", 0) == 0;
    query.receivedAt = now();
    if (onQuery && onQuery(connection, query)) return;
    if (query.write && !primary) return refuse(from, "25006");
    serve(connection, query);
  }

  Loop& loop_;
  Record& record_;
  std::string name_;
  Listener listener_;
  std::list<ConnectionPtr> connections_;
};

// ---- Clients ----

struct Answer {
  enum class Kind { None, Served, Refused, Failed, Broken } kind = Kind::None;
  std::string value;
  std::string code;
  Micros at = 0;
};

inline const char* nameOf(Answer::Kind kind) {
  static const char* const kNames[] = {"no answer", "served", "refused", "failed", "connection ended"};
  return kNames[static_cast<int>(kind)];
}

// A client's connection: sends one request after the other, each when it is told to.
class Client {
 public:
  using OnAnswer = std::function<void(const std::string& id, const Answer&)>;
  Client(Loop& loop, const Address& gateway, OnAnswer onAnswer)
      : connection_(connectTo(loop, gateway)), onAnswer_(std::move(onAnswer)) {
    connection_->start([this](Connection& from) { onData(from); }, [this](Connection&) { onEnd(); });
    connection_->send(pg::startup());
  }
  void ask(const std::string& id, const std::string& statement) {
    id_ = id;
    answer_ = {};
    connection_->send(pg::query(statement));
  }
  void askEmpty() { ask("empty", ""); }
  bool open() const { return connection_->open(); }
  bool busy() const { return !id_.empty(); }
  bool ready() const { return ready_ && open() && !busy(); }
  Connection& connection() { return *connection_; }
  void close() { connection_->close(); }

 private:
  void onData(Connection& from) {
    for (pg::Message message; pg::cut(from.in, message);) {
      if (message.type == 'D' && message.body.size() >= 6) {
        answer_.kind = Answer::Kind::Served;
        answer_.value = message.body.substr(6);
      } else if (message.type == 'I') {
        answer_.kind = Answer::Kind::Served;
      } else if (message.type == 'E') {
        answer_.code = pg::field(message.body, 'C');
        const bool refused = answer_.code == "53300" || answer_.code == "57P03";
        answer_.kind = refused ? Answer::Kind::Refused : Answer::Kind::Failed;
      } else if (message.type == 'Z') {
        if (!ready_) {
          ready_ = true;
          continue;
        }
        finish();
      }
    }
  }
  void onEnd() {
    if (id_.empty()) return;
    if (answer_.kind == Answer::Kind::None || answer_.kind == Answer::Kind::Served)
      answer_.kind = Answer::Kind::Broken;
    finish();
  }
  void finish() {
    if (id_.empty()) return;
    answer_.at = now();
    const std::string id = std::exchange(id_, "");
    const Answer answer = answer_;
    if (onAnswer_) onAnswer_(id, answer);
  }
  ConnectionPtr connection_;
  OnAnswer onAnswer_;
  std::string id_;
  Answer answer_;
  bool ready_ = false;
};

inline std::string readStatement(const std::string& id, const std::string& className, int cluster, long d,
                                 const std::string& handle = "7f3a9c21e0b4d655",
                                 const std::string& more = "") {
  return "SELECT blob FROM rows WHERE handle = '" + handle + "' /* id=" + id + ",c=" + className +
         ",d=" + std::to_string(d) + ",cluster=" + std::to_string(cluster) + more + " */";
}
inline std::string writeStatement(const std::string& id, const std::string& className, int cluster, long d,
                                  const std::string& handle = "7f3a9c21e0b4d655",
                                  const std::string& more = "") {
  return "INSERT INTO rows (handle, blob) VALUES ('" + handle + "', '\\x9f03') RETURNING blob /* id=" + id +
         ",c=" + className + ",d=" + std::to_string(d) + more + ",cluster=" + std::to_string(cluster) + " */";
}

// ---- Platform ----

// A folder that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    const char* base = std::getenv("TMPDIR");
    std::string pattern = std::string(base != nullptr && *base != '\0' ? base : "/tmp") + "/review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
    path_ = pattern;
  }
  ~TemporaryFolder() {
    for (const std::string& file : files_) ::unlink(file.c_str());
    ::rmdir(path_.c_str());
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string file(const std::string& name) {
    files_.push_back(path_ + "/" + name);
    return files_.back();
  }

 private:
  std::string path_;
  std::vector<std::string> files_;
};

// Returns the command of a key in the deploy file.
inline std::string deployCommand(const std::string& key) {
  std::ifstream in("deploy/balancer.toml");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind(key + " = \"", 0) != 0) continue;
    const std::size_t from = line.find('"') + 1;
    return line.substr(from, line.find('"', from) - from);
  }
  throw std::runtime_error("the deploy file has no key " + key);
}

// The soft limit of descriptors that this process was started with; gateways get the same.
inline rlimit& startLimit() {
  static rlimit limit{};
  return limit;
}
// Makes sure that this process may open so many descriptors, within its hard limit.
// @return false if it may not.
inline bool allowDescriptors(rlim_t count) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return false;
  if (limit.rlim_cur >= count) return true;
  startLimit() = limit;
  limit.rlim_cur = count;
  return ::setrlimit(RLIMIT_NOFILE, &limit) == 0;
}

struct GatewayOptions {
  std::string name = "n0";
  std::string seed = "8c1f30d27a5be964";
  std::size_t sockets = 256;
  std::size_t memoryMb = 64;
};

// One gateway process, started with the deploy file's command from the root of the repository.
class Gateway {
 public:
  Gateway(TemporaryFolder& folder, Record& record, GatewayOptions options)
      : folder_(folder), record_(record), options_(std::move(options)) {
    address_.port = freePort();
    config_ = folder_.file(options_.name + ".json");
    log_ = folder_.file(options_.name + ".log");
  }
  ~Gateway() { kill(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  const Address& address() const { return address_; }
  int pid() const { return pid_; }
  const std::string& logFile() const { return log_; }
  // @param arguments  behind the deploy file's command; empty: as on the platform.
  void start(const std::string& discovery, const std::string& known, const std::string& settings,
             const std::string& arguments = "") {
    std::ofstream(config_) << "{\"name\":\"" << options_.name << "\",\"listen\":\"" << address_.text()
                           << "\",\"discovery\":\"" << discovery << "\",\"seed\":\"" << options_.seed
                           << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << options_.memoryMb
                           << ",\"sockets\":" << options_.sockets << "},\"known\":" << known
                           << ",\"settings\":" << settings << "}";
    const std::string command = deployCommand("run") + (arguments.empty() ? "" : " " + arguments);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the test, however that ends
      if (startLimit().rlim_max != 0) ::setrlimit(RLIMIT_NOFILE, &startLimit());
      const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("NODE_CONFIG", config_.c_str(), 1);
      ::setenv("NODE_NAME", options_.name.c_str(), 1);
      ::setenv("NODE_LISTEN", address_.text().c_str(), 1);
      ::setenv("NODE_DISCOVERY", discovery.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    record_.line("platform: started " + options_.name + " at " + address_.text() + ": " + command);
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Returns whether the process has ended by itself; its exit status is recorded once.
  bool ended() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    record_.line("platform: " + options_.name + " ended, " +
                 (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                      : "exit code " + std::to_string(WEXITSTATUS(status))));
    pid_ = -1;
    return true;
  }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
  }
  // Resident memory in MB.
  double residentMb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
    std::int64_t pages = 0;
    in >> pages >> pages;
    return static_cast<double>(pages) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  }
  // The front takes in a gateway that has answered an empty query.
  bool waitReady(Loop& loop, Micros limit = 30 * kSecond) {
    const Micros until = now() + limit;
    while (now() < until && !ended()) {
      bool answered = false;
      Client probe(loop, address_, [&](const std::string&, const Answer& answer) {
        answered = answer.kind == Answer::Kind::Served;
      });
      loop.runUntil(200 * kMilli, [&] { return probe.ready() || !probe.open(); });
      if (probe.ready()) {
        probe.askEmpty();
        if (loop.runUntil(kSecond, [&] { return answered; })) return true;
      }
      loop.runFor(20 * kMilli);
    }
    return false;
  }

 private:
  TemporaryFolder& folder_;
  Record& record_;
  GatewayOptions options_;
  Address address_;
  std::string config_;
  std::string log_;
  int pid_ = -1;
};

// Appends the gateway's own log to the record.
inline void recordLog(Record& record, const Gateway& gateway) {
  std::ifstream in(gateway.logFile());
  int lines = 0;
  for (std::string line; std::getline(in, line) && lines < 400; ++lines) record.line("log: " + line);
}

// Whether the disruption is to happen.
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCantRun = 2;

}  // namespace review
