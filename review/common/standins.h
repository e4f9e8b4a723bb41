// Stand-ins for clients, members and the list service, and the platform that starts a gateway. Blocking
// sockets and a thread for each connection: simple, and enough for a small deployment on loopback.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cmath>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// ---- Time, random numbers, the record ----

inline std::int64_t clockMicros(clockid_t which) {
  timespec now{};
  clock_gettime(which, &now);
  return static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000;
}
inline std::int64_t nowMicros() { return clockMicros(CLOCK_MONOTONIC); }
inline std::int64_t unixMillis() { return clockMicros(CLOCK_REALTIME) / 1000; }

inline void sleepUntil(std::int64_t micros) {
  const std::int64_t left = micros - nowMicros();
  if (left <= 0) return;
  timespec span{static_cast<time_t>(left / 1'000'000), static_cast<long>(left % 1'000'000 * 1000)};
  while (nanosleep(&span, &span) != 0 && errno == EINTR) {
  }
}
inline void sleepMillis(double millis) { sleepUntil(nowMicros() + static_cast<std::int64_t>(millis * 1000)); }

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  double between(double low, double high) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::uniform_real_distribution<double>(low, high)(engine_);
  }

 private:
  std::mutex mutex_;
  std::mt19937_64 engine_;
};

// What was sent, answered and run, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file, std::ios::trunc), start_(nowMicros()) {}
  void line(const std::string& text) {
    char at[32];
    std::snprintf(at, sizeof at, "%10.3f ms  ", static_cast<double>(nowMicros() - start_) / 1000);
    const std::lock_guard<std::mutex> lock(mutex_);
    out_ << at << text << '\n';
  }
  void flush() {
    const std::lock_guard<std::mutex> lock(mutex_);
    out_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  std::int64_t start_;
};

// ---- Sockets ----

inline bool sendAll(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

inline bool readExactly(int fd, std::size_t size, std::string& out) {
  out.resize(size);
  std::size_t done = 0;
  while (done < size) {
    const ssize_t got = ::recv(fd, out.data() + done, size - done, 0);
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) return false;
    done += static_cast<std::size_t>(got);
  }
  return true;
}

inline sockaddr_in addressOf(const std::string& host, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &out.sin_addr);
  return out;
}

inline void noDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Binds a free port of a loopback address, and listens. Exits with 2 if that fails: the case can't run.
inline int listenOn(const std::string& host, int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = addressOf(host, port);
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

inline int connectTo(const std::string& host, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = addressOf(host, port);
  if (fd >= 0 && ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    noDelay(fd);
    return fd;
  }
  if (fd >= 0) ::close(fd);
  return -1;
}

// Accepts connections for good, each on a thread of its own.
inline void acceptForever(int listener, std::function<void(int)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      noDelay(fd);
      std::thread([fd, serve] {
        serve(fd);
        ::close(fd);
      }).detach();
    }
  }).detach();
}

// ---- PostgreSQL's protocol, version 3 ----

inline std::string number(std::uint32_t value, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i));
  return out;
}
inline std::uint32_t readNumber(const std::string& bytes, std::size_t at) {
  std::uint32_t out = 0;
  for (std::size_t i = at; i < at + 4; ++i) out = out << 8 | static_cast<unsigned char>(bytes[i]);
  return out;
}
inline std::string message(char type, const std::string& body) {
  return type + number(static_cast<std::uint32_t>(body.size() + 4), 4) + body;
}
inline std::string text(const std::string& value) { return value + '\0'; }
inline std::string parameter(const std::string& name, const std::string& value) {
  return message('S', text(name) + text(value));
}
inline std::string readyForQuery() { return message('Z', "I"); }
inline std::string errorResponse(const std::string& code) {
  return message('E', "S" + text("ERROR") + "V" + text("ERROR") + "C" + text(code) + "M" + text("no") + '\0');
}
// The messages of a row of one binary column, without ReadyForQuery.
inline std::string rowOf(const std::string& value, const std::string& tag) {
  const std::string column = text("blob") + number(0, 4) + number(0, 2) + number(17, 4) + number(0xFFFF, 2) +
                             number(0xFFFFFFFF, 4) + number(1, 2);
  return message('T', number(1, 2) + column) +
         message('D', number(1, 2) + number(static_cast<std::uint32_t>(value.size()), 4) + value) +
         message('C', text(tag));
}
inline std::string startup() {
  const std::string body =
      number(196608, 4) + text("user") + text("api") + text("database") + text("ledger") + '\0';
  return number(static_cast<std::uint32_t>(body.size() + 4), 4) + body;
}

inline std::string readStatement(const std::string& handle, const std::string& comment) {
  return "SELECT blob FROM rows WHERE handle = '" + handle + "' /* " + comment + " */";
}
inline std::string writeStatement(const std::string& handle, const std::string& hexValue,
                                  const std::string& comment) {
  return "INSERT INTO rows (handle, blob) VALUES ('" + handle + "', '\\x" + hexValue +
         "') RETURNING blob /* " + comment + " */";
}
// The value of a name in the comment of a statement.
inline std::string item(const std::string& statement, const std::string& name) {
  const std::size_t comment = statement.rfind("/*");
  const std::size_t at = statement.find(name + "=", comment);
  if (comment == std::string::npos || at == std::string::npos) return {};
  const std::size_t from = at + name.size() + 1;
  return statement.substr(from, statement.find_first_of(", ", from) - from);
}

// ---- Members ----

// A member of a group. It answers as the protocol page says, over a network that takes each packet a time of
// its own each way, and keeps their order.
class Member {
 public:
  struct Network {
    double lowMillis = 0;
    double highMillis = 0;
  };
  Member(std::string id, std::string host, bool primary, Network network, Random& random)
      : id_(std::move(id)), host_(std::move(host)), primary_(primary), network_(network), random_(random) {}
  virtual ~Member() = default;

  void start() {
    acceptForever(listenOn(host_, port_), [this](int fd) { serve(fd); });
  }
  const std::string& id() const { return id_; }
  bool primary() const { return primary_; }
  std::string hostPort() const { return host_ + ":" + std::to_string(port_); }
  // The member's entry in the endpoint list.
  std::string entry(const std::string& phase = "Ready") const {
    return "{\"id\":\"" + id_ + "\",\"host_port\":\"" + hostPort() +
           "\",\"locality\":\"nbo-1\",\"flavor\":\"std-5\",\"cell\":0,\"phase\":\"" + phase +
           "\",\"size\":1.0,\"up_since_ms\":0,\"mode\":\"" + (primary_ ? "read-write" : "read-only") + "\"}";
  }

 protected:
  // The way back to the gateway on one connection.
  class Answers {
   public:
    Answers(int fd, const Network& network, Random& random) : fd_(fd), network_(network), random_(random) {
      sender_ = std::thread([this] { run(); });
    }
    ~Answers() {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        over_ = true;
      }
      changed_.notify_one();
      sender_.join();
    }
    // Sends one packet.
    void send(const std::string& bytes) {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto delay = static_cast<std::int64_t>(
          1000 * random_.between(network_.lowMillis, std::max(network_.lowMillis, network_.highMillis)));
      lastDue_ = std::max(lastDue_, nowMicros() + delay);
      packets_.emplace_back(lastDue_, bytes);
      changed_.notify_one();
    }

   private:
    void run() {
      std::unique_lock<std::mutex> lock(mutex_);
      for (;;) {
        changed_.wait(lock, [this] { return over_ || !packets_.empty(); });
        if (packets_.empty()) return;
        const auto packet = packets_.front();
        packets_.pop_front();
        lock.unlock();
        sleepUntil(packet.first);
        sendAll(fd_, packet.second);
        lock.lock();
      }
    }
    int fd_;
    const Network& network_;
    Random& random_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::pair<std::int64_t, std::string>> packets_;
    std::int64_t lastDue_ = 0;
    bool over_ = false;
    std::thread sender_;
  };

  // Answers a request. Called when its last byte has come.
  virtual void answer(const std::string& statement, Answers& answers) = 0;

  // The load report, with what the member had applied 20 ms ago.
  virtual std::string report() {
    return reportOf(static_cast<double>(clockMicros(CLOCK_REALTIME) - 20'000) / 1e6);
  }
  std::string reportOf(double positionSeconds) const {
    char out[64];
    std::snprintf(out, sizeof out, "x0=%.3f,x1=%d", positionSeconds, primary_ ? 1 : 0);
    return out;
  }
  std::string role() const { return parameter("mode", primary_ ? "read-write" : "read-only"); }

 private:
  void serve(int fd) {
    std::string bytes;
    if (!readExactly(fd, 4, bytes) || !readExactly(fd, readNumber(bytes, 0) - 4, bytes)) return;
    Answers answers(fd, network_, random_);
    answers.send(message('R', number(0, 4)) + message('K', number(1, 4) + number(1, 4)) + readyForQuery());
    for (;;) {
      std::string head;
      if (!readExactly(fd, 5, head) || !readExactly(fd, readNumber(head, 1) - 4, bytes)) return;
      if (head[0] != 'Q') return;
      sleepMillis(random_.between(network_.lowMillis, std::max(network_.lowMillis, network_.highMillis)));
      const std::string statement = bytes.substr(0, bytes.size() - 1);
      if (statement == "SHOW stats") {
        answers.send(rowOf(report(), "SHOW") + readyForQuery());
      } else if (statement == "SELECT 1") {
        answers.send(rowOf("1", "SELECT 1") + readyForQuery());
      } else {
        answer(statement, answers);
      }
    }
  }

  std::string id_;
  std::string host_;
  int port_ = 0;
  bool primary_;
  Network network_;

 protected:
  Random& random_;
};

// ---- The list service ----

class ListService {
 public:
  explicit ListService(std::vector<std::string> entries) : entries_(std::move(entries)) {
    acceptForever(listenOn("127.0.0.1", port_), [this](int fd) { serve(fd); });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  std::string list() const {
    std::string members;
    for (const std::string& entry : entries_) members += (members.empty() ? "" : ",") + entry;
    return "{\"revision\":41,\"complete\":true,\"members\":[" + members + "]}";
  }

 private:
  void serve(int fd) {
    std::string input;
    for (;;) {
      const std::size_t end = input.find("\r\n\r\n");
      if (end == std::string::npos) {
        char bytes[4096];
        const ssize_t got = ::recv(fd, bytes, sizeof bytes, 0);
        if (got <= 0) return;
        input.append(bytes, static_cast<std::size_t>(got));
        continue;
      }
      const std::string head = input.substr(0, end);
      input.erase(0, end + 4);
      std::string body = list();
      const std::size_t wait = head.find("timeout_ms=");
      if (wait != std::string::npos) {
        // A watch: nothing changes, so it ends when its wait is over.
        sleepMillis(std::atof(head.c_str() + wait + 11));
        body = "{\"revision\":41,\"complete\":false,\"members\":[]}";
      }
      if (!sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }
  int port_ = 0;
  std::vector<std::string> entries_;
};

// ---- Clients ----

// A connection of a client, with its startup done.
class Client {
 public:
  Client(const std::string& host, int port) : fd_(connectTo(host, port)) {
    if (fd_ >= 0 && (!sendAll(fd_, startup()) || !readAnswer().complete)) close();
  }
  ~Client() { close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool open() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool send(const std::string& bytes) { return open() && sendAll(fd_, bytes); }
  static std::string query(const std::string& statement) { return message('Q', text(statement)); }

  struct Answer {
    bool complete = false;  // up to ReadyForQuery
    bool served = false;    // with a row
    std::string value;
    std::string code;  // of an ErrorResponse
  };
  // Reads up to ReadyForQuery or the end of the connection.
  Answer readAnswer() {
    Answer out;
    std::string head;
    std::string body;
    while (open() && readExactly(fd_, 5, head) && readExactly(fd_, readNumber(head, 1) - 4, body)) {
      if (head[0] == 'D') out.value = body.substr(6);
      if (head[0] == 'C') out.served = true;
      if (head[0] == 'E') {
        for (std::size_t at = 0; at < body.size() && body[at] != '\0';) {
          const std::size_t end = body.find('\0', at);
          if (body[at] == 'C') out.code = body.substr(at + 1, end - at - 1);
          at = end + 1;
        }
      }
      if (head[0] != 'Z') continue;
      out.complete = true;
      return out;
    }
    return out;
  }

 private:
  int fd_;
};

// ---- The platform ----

// The settings of the site nairobi-jobs, as the wire page shows them.
inline std::string nairobiSettings() {
  const auto entry = [](const std::string& name, long aimMs, long deadlineMs, const std::string& effect,
                        const std::string& group, const std::string& rest) {
    return "{\"Aim\":" + std::to_string(aimMs * 1000) + ",\"Deadline\":" + std::to_string(deadlineMs * 1000) +
           ",\"Effect\":\"" + effect + "\",\"Group\":\"" + group + "\",\"Name\":\"" + name +
           "\",\"Streaming\":false,\"Window\":5000000," + rest + "}";
  };
  return "{\"Az\":0,\"Balancers\":1,\"Charges\":{\"CrossZone\":0.0},\"Classes\":[" +
         entry("segment-view", 200, 600, "retryable", "all", "\"LateShare\":0.0,\"Value\":3.0") + "," +
         entry("glossary-lookup", 500, 2000, "retryable", "all", "\"LateShare\":0.0,\"Value\":2.0") + "," +
         entry("job-status", 300, 1000, "retryable", "all", "\"LateShare\":0.0,\"Value\":2.0") + "," +
         entry("volume-report", 4000, 8000, "retryable", "all", "\"LateShare\":0.0,\"Value\":6.0") + "," +
         entry("segment-save", 750, 5000, "dedup", "cell", "\"LateShare\":0.3,\"Value\":3.0") +
         "],\"Clients\":{\"MarksRetry\":true},"
         "\"Contract\":{\"AnswerSlack\":20000,\"AskWithin\":10000000,\"ColdFrom\":0.15,\"DrainGrace\":250000,"
         "\"Fall\":2000000,\"FallMultiple\":2.5,\"WarmUp\":16000000},"
         "\"Discovery\":\"ask\",\"Family\":\"replicas\","
         "\"FamilyInfo\":{\"CatchUpWait\":0,\"CommitWaits\":true,"
         "\"Consistency\":[\"bounded\",\"any\",\"fresh\",\"any\",\"write\"],\"Guards\":\"silent\","
         "\"MaxAge\":[3000000,0,0,0,0],\"Positions\":false,\"PositionZero\":0,\"ShowsRole\":\"late\","
         "\"TokenMode\":\"remembered\"},"
         "\"Limits\":{\"Cancel\":true,\"ConnIdle\":15000000,\"ConnectTimeout\":250000,\"CpuUsPerRequest\":0."
         "0,"
         "\"CpuUsPerS\":50000,\"MaxAttempts\":10,\"MaxRetryAfter\":500000,\"MayTell\":false,\"OpenCap\":"
         "20000,"
         "\"ParallelTries\":false,\"Probing\":true,\"RetryAfter\":true,\"StreamsPerConn\":1},"
         "\"Me\":0,\"Models\":[\"std-5\"],\"OverShareWorth\":0.1,"
         "\"Report\":{\"Fields\":[\"x0\",\"x1\"],\"How\":\"pull\"},\"Tenants\":[],\"Tick\":5000,\"Tier\":0,"
         "\"Tiers\":[\"jobdb-fleet\"],\"Weights\":\"silent\",\"WorthBy\":\"request\",\"Zones\":[\"nbo-1\"]}";
}

// The settings of the site kisumu-glossary: those of the wire page, with the words and figures of its brief
// and site file.
inline std::string kisumuSettings(int gateways) {
  const auto entry = [](const std::string& name, long aimMs, long deadlineMs, const std::string& effect,
                        const std::string& rest) {
    return "{\"Aim\":" + std::to_string(aimMs * 1000) + ",\"Deadline\":" + std::to_string(deadlineMs * 1000) +
           ",\"Effect\":\"" + effect + "\",\"Group\":\"all\",\"Name\":\"" + name +
           "\",\"Streaming\":false,\"Window\":5000000," + rest + "}";
  };
  return "{\"Az\":0,\"Balancers\":" + std::to_string(gateways) +
         ",\"Charges\":{\"CrossZone\":0.0},\"Classes\":[" +
         entry("term-lookup", 300, 750, "retryable", "\"LateShare\":0.0,\"Value\":1.0") + "," +
         entry("own-edits", 400, 1000, "retryable", "\"LateShare\":0.0,\"Value\":1.0") + "," +
         entry("client-browse", 300, 1200, "retryable", "\"LateShare\":0.2,\"Value\":2.0") + "," +
         entry("usage-report", 3000, 6000, "retryable", "\"LateShare\":0.0,\"Value\":6.0") + "," +
         entry("term-save", 400, 5000, "fragile", "\"LateShare\":0.7,\"Value\":3.0") +
         "],\"Clients\":{\"MarksRetry\":false},"
         "\"Contract\":{\"AnswerSlack\":20000,\"ColdFrom\":0.15,\"DrainGrace\":1000000,"
         "\"Fall\":2000000,\"FallMultiple\":4.0,\"WarmUp\":17000000},"
         "\"Discovery\":\"push\",\"Family\":\"replicas\","
         "\"FamilyInfo\":{\"CatchUpWait\":0,\"CommitWaits\":false,"
         "\"Consistency\":[\"bounded\",\"session\",\"any\",\"any\",\"write\"],\"Guards\":\"silent\","
         "\"MaxAge\":[3000000,0,0,0,0],\"Positions\":false,\"PositionZero\":0,\"ShowsRole\":\"late\","
         "\"TokenMode\":\"carried\"},"
         "\"Limits\":{\"Cancel\":true,\"ConnIdle\":30000000,\"ConnectTimeout\":250000,\"CpuUsPerRequest\":0."
         "0,"
         "\"CpuUsPerS\":50000,\"MaxAttempts\":6,\"MaxRetryAfter\":500000,\"MayTell\":false,\"OpenCap\":20000,"
         "\"ParallelTries\":true,\"Probing\":true,\"RetryAfter\":true,\"StreamsPerConn\":1},"
         "\"Me\":0,\"Models\":[\"std-5core\"],\"OverShareWorth\":0.1,"
         "\"Report\":{\"Fields\":[\"x0\",\"x1\",\"busy_reqs\",\"cpu_share\"],\"How\":\"pull\"},\"Tenants\":[]"
         ","
         "\"Tick\":5000,\"Tier\":0,\"Tiers\":[\"glossary-db\"],\"Weights\":\"nominal\","
         "\"WorthBy\":\"request\",\"Zones\":[\"ksm-room-a\"]}";
}

// A gateway, started with the command of the deploy file.
class Gateway {
 public:
  // @param command  of the deploy file's key 'run'.
  // @param root     of the repository, where the command is started.
  // @param folder   for the configuration and the log.
  // @param name     its name in the deployment.
  Gateway(std::string command, std::string root, std::string folder, std::string name = "n0")
      : command_(std::move(command)),
        root_(std::move(root)),
        folder_(std::move(folder)),
        name_(std::move(name)) {}
  ~Gateway() { kill(); }

  // Writes the configuration, starts the process and waits until it answers. Started again, it has the same
  // address, a new seed and the same list. To be called by the main thread, whose end ends the process.
  bool start(const std::string& settings, const ListService& lists, int descriptors = 1024) {
    if (port_ == 0) ::close(listenOn(host_, port_));
    char seed[32];
    std::snprintf(seed, sizeof seed, "8c1f30d27a5b%04x", ++starts_);
    const std::string config = folder_ + "/" + name_ + ".json";
    std::ofstream(config) << "{\"name\":\"" + name_ + "\",\"listen\":\"" + host_ + ":" +
                                 std::to_string(port_) + "\",\"discovery\":\"" + lists.address() +
                                 "\",\"seed\":\"" + seed +
                                 "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" +
                                 std::to_string(descriptors) + "},\"known\":" + lists.list() +
                                 ",\"settings\":" + settings + "}";
    // All that allocates is done before the fork.
    const std::string log = folder_ + "/gateway.log";
    const std::string variable = "NODE_CONFIG=" + config;
    std::vector<char*> environment;
    for (char** entry = environ; *entry != nullptr; ++entry) environment.push_back(*entry);
    environment.push_back(const_cast<char*>(variable.c_str()));
    environment.push_back(nullptr);
    char shell[] = "sh";
    char option[] = "-c";
    char* const arguments[] = {shell, option, const_cast<char*>(command_.c_str()), nullptr};
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int file = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(file, 1);
      ::dup2(file, 2);
      if (::chdir(root_.c_str()) != 0) ::_exit(127);
      ::execve("/bin/sh", arguments, environment.data());
      ::_exit(127);
    }
    for (int i = 0; i < 2000; ++i) {
      sleepMillis(5);
      if (Client(host_, port_).open()) return true;
    }
    return false;
  }
  bool running() const { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  const std::string& host() const { return host_; }
  int port() const { return port_; }

 private:
  std::string command_;
  std::string root_;
  std::string folder_;
  std::string name_;
  std::string host_ = "127.0.0.1";
  int port_ = 0;
  unsigned starts_ = 0;
  pid_t pid_ = 0;
};

// What run.sh tells a case.
struct Options {
  std::string command;
  std::string root;
  std::string folder;  // temporary
  std::string record;
  bool trouble = true;
};
inline Options readOptions(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: CASE COMMAND ROOT FOLDER RECORD\n");
    std::exit(2);
  }
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], argv[3], argv[4], trouble == nullptr || std::string(trouble) != "0"};
}

// Ends the case without waiting for its threads.
[[noreturn]] inline void finish(int code) {
  std::fflush(nullptr);
  ::_exit(code);
}

}  // namespace review
