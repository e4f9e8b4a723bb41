// Members that speak Bolt send a second copy of some answers right behind them. Is a client served with a
// value that was made for another request?
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "settings.h"
#include "standins.h"

namespace {

using namespace review;

constexpr std::size_t kClients = 24;
constexpr double kCopies = 0.05;        // share of the answers that bring a copy
constexpr Micros kOneWay = 2 * kMilli;  // between the gateway and the members, another data centre
constexpr Micros kGap = 1 * kMilli;     // from an answer to its copy
constexpr Micros kWork = 15 * kMilli;
constexpr Micros kEnd = 20 * kSecond;

// ---- Bolt ----

std::string text(const std::string& value) {
  std::string out;
  if (value.size() < 16) {
    out += static_cast<char>(0x80 + value.size());
  } else {
    out += '\xD0';
    out += static_cast<char>(value.size());
  }
  return out + value;
}
std::string structure(int tag, const std::vector<std::string>& fields) {
  std::string out;
  out += static_cast<char>(0xB0 + fields.size());
  out += static_cast<char>(tag);
  for (const std::string& field : fields) out += field;
  return out;
}
std::string map(const std::vector<std::pair<std::string, std::string>>& entries) {
  std::string out(1, static_cast<char>(0xA0 + entries.size()));
  for (const auto& [key, value] : entries) out += text(key) + value;
  return out;
}
std::string message(const std::string& payload) {
  return pg::u16(static_cast<std::uint16_t>(payload.size())) + payload + std::string(2, '\0');
}
// Cuts the first whole message; chunks are joined.
bool cut(std::string& in, std::string& payload) {
  payload.clear();
  std::size_t at = 0;
  while (in.size() >= at + 2) {
    const std::size_t size = static_cast<std::size_t>(static_cast<unsigned char>(in[at])) << 8 |
                             static_cast<unsigned char>(in[at + 1]);
    if (in.size() < at + 2 + size) return false;
    payload += in.substr(at + 2, size);
    at += 2 + size;
    if (size != 0) continue;
    in.erase(0, at);
    if (!payload.empty()) return true;
    at = 0;
  }
  return false;
}
int tagOf(const std::string& payload) {
  return payload.size() < 2 ? -1 : static_cast<unsigned char>(payload[1]);
}
constexpr int kHello = 0x01;
constexpr int kReset = 0x0F;
constexpr int kRun = 0x10;
constexpr int kPull = 0x3F;
constexpr int kLogon = 0x6A;
constexpr int kSuccess = 0x70;
constexpr int kRecord = 0x71;
const std::string kMagic("\x60\x60\xB0\x17", 4);
const std::string kVersions("\0\4\4\5\0\0\0\0\0\0\0\0\0\0\0\0", 16);
const std::string kVersion("\0\0\4\5", 4);

// A member that speaks Bolt, 2 ms away: it sees what comes, and is heard, that much later.
class BoltMember {
 public:
  BoltMember(Loop& loop, Record& record, std::string name, std::uint32_t host, std::mt19937_64& random)
      : loop_(loop),
        record_(record),
        random_(random),
        name_(std::move(name)),
        listener_(loop, host, [this](ConnectionPtr connection) { accept(std::move(connection)); }) {}
  std::string address() const { return listener_.address().text(); }
  const std::string& name() const { return name_; }
  bool primary = false;
  std::size_t copies = 0;

 private:
  struct Line {
    ConnectionPtr connection;
    std::string in;
    bool greeted = false;
    bool busy = false;
    std::string statement;
    std::size_t received = 0;  // messages so far
  };
  void accept(ConnectionPtr connection) {
    auto line = std::make_shared<Line>();
    line->connection = connection;
    lines_.push_back(line);
    connection->start(
        [this, line](Connection& from) {
          const std::string bytes = std::exchange(from.in, "");
          loop_.in(kOneWay, [this, line, bytes] {
            line->in += bytes;
            onBytes(line);
          });
        },
        [this, line](Connection&) { loop_.in(0, [this, line] { lines_.remove(line); }); });
  }
  void say(const std::shared_ptr<Line>& line, const std::string& bytes) {
    loop_.in(kOneWay, [line, bytes] {
      if (line->connection->open()) line->connection->send(bytes);
    });
  }
  void onBytes(const std::shared_ptr<Line>& line) {
    if (!line->greeted) {
      if (line->in.size() < 20) return;
      line->in.erase(0, 20);
      line->greeted = true;
      say(line, kVersion);
    }
    for (std::string payload; cut(line->in, payload);) onMessage(line, payload);
  }
  void onMessage(const std::shared_ptr<Line>& line, const std::string& payload) {
    ++line->received;
    const int tag = tagOf(payload);
    if (tag == kRun) {
      const std::size_t from = payload.find('\'');
      const std::size_t to = payload.find('\'', from + 1);
      line->statement = from == std::string::npos ? "" : payload.substr(from + 1, to - from - 1);
    } else if (tag == kPull) {
      answer(line);
    } else if (tag == kHello || tag == kLogon || tag == kReset) {
      say(line, message(structure(kSuccess, {map({})})));
    }
  }
  void answer(const std::shared_ptr<Line>& line) {
    const bool report = line->statement.empty();
    const std::string millis = std::to_string(1000 + now() / kMilli % 1000).substr(1);
    const std::string value =
        report ? "x0=" + std::to_string(now() / kSecond) + "." + millis + ",x1=" + (primary ? "1" : "0")
               : "made for " + line->statement;
    const std::string bytes =
        message(structure(kSuccess, {map({{"fields", std::string(1, '\x91') + text("blob")}})})) +
        message(structure(kRecord, {std::string(1, '\x91') + text(value)})) +
        message(structure(kSuccess, {map({{"mode", text(primary ? "read-write" : "read-only")}})}));
    const std::string id = line->statement;
    if (report) return say(line, bytes);
    loop_.in(kWork, [this, line, bytes, id] {
      say(line, bytes);
      record_.line(name_ + ": answers " + id);
      if (!trouble() || std::uniform_real_distribution<double>(0, 1)(random_) >= kCopies) return;
      const std::size_t received = line->received;
      loop_.in(kGap, [this, line, bytes, id, received] {
        // Only while nothing else is waiting on the connection.
        if (line->received != received || !line->in.empty()) return;
        ++copies;
        record_.line(name_ + ": sends a second copy of the answer to " + id);
        say(line, bytes);
      });
    });
  }

  Loop& loop_;
  Record& record_;
  std::mt19937_64& random_;
  std::string name_;
  Listener listener_;
  std::list<std::shared_ptr<Line>> lines_;
};

// Asks one read after the other.
class BoltClient {
 public:
  BoltClient(Loop& loop, Record& record, const Address& gateway, std::string name)
      : record_(record), name_(std::move(name)), connection_(connectTo(loop, gateway)) {
    connection_->start([this](Connection& from) { onData(from); }, nullptr);
    connection_->send(kMagic + kVersions);
  }
  std::size_t served = 0;
  std::size_t failed = 0;
  std::size_t foreign = 0;

 private:
  void ask() {
    id_ = name_ + "-" + std::to_string(++asked_);
    value_.clear();
    succeeded_ = 0;
    const std::string metadata =
        map({{"class", text("lookup")}, {"family", text("terms")}, {"id", text(id_)}});
    connection_->send(message(structure(kRun, {text("MATCH (t {term: '" + id_ + "'}) RETURN t"), map({}),
                                               map({{"mode", text("r")}, {"tx_metadata", metadata}})})) +
                      message(structure(kPull, {map({{"n", std::string(1, '\xFF')}})})));
    record_.line("client: sends " + id_);
  }
  void onData(Connection& from) {
    if (!greeted_) {
      if (from.in.size() < 4) return;
      from.in.erase(0, 4);
      greeted_ = true;
      connection_->send(message(structure(kHello, {map({{"user_agent", text("review/1")}})})) +
                        message(structure(kLogon, {map({{"scheme", text("none")}})})));
      waiting_ = 2;
    }
    for (std::string payload; cut(from.in, payload);) {
      const int tag = tagOf(payload);
      if (waiting_ > 0) {
        if (--waiting_ == 0) ask();
      } else if (tag == kRecord) {
        const std::size_t at = payload.find("made for ");
        value_ = at == std::string::npos ? "something else" : payload.substr(at + 9);
      } else if (tag == kSuccess) {
        if (++succeeded_ == 2) finish();
      } else {
        // A failure: what follows is ignored up to RESET.
        record_.line("client: " + id_ + " failed");
        ++failed;
        connection_->send(message(structure(kReset, {})));
        waiting_ = 2;  // IGNORED for PULL, and SUCCESS for RESET
      }
    }
  }
  void finish() {
    ++served;
    const bool own = value_ == id_;
    if (!own) ++foreign;
    record_.line((own ? "client: " : "BROKEN: ") + id_ + " is served with the value made for " + value_);
    ask();
  }

  Record& record_;
  std::string name_;
  ConnectionPtr connection_;
  bool greeted_ = false;
  int waiting_ = 0;
  int asked_ = 0;
  int succeeded_ = 0;
  std::string id_;
  std::string value_;
};

int run() {
  Record record("review/7/record.txt");
  TemporaryFolder folder;
  Loop loop;
  std::mt19937_64 random(7);
  ListService list(loop, record);
  std::vector<std::unique_ptr<BoltMember>> members;
  for (std::uint32_t i = 0; i < 3; ++i) {
    members.push_back(std::make_unique<BoltMember>(loop, record, "s-" + std::to_string(i),
                                                   INADDR_LOOPBACK + 1 + i, random));
    members.back()->primary = i == 0;
    ListEntry entry;
    entry.id = members.back()->name();
    entry.hostPort = members.back()->address();
    entry.primary = i == 0;
    list.entries().push_back(entry);
  }
  Gateway gateway(folder, record, {});
  const Address bolt{INADDR_LOOPBACK, freePort()};
  const std::string installation = folder.file("heathflow.xml");
  std::ofstream(installation)
      << "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n"
         "<heathflow xmlns=\"urn:heathflow:settings:1\" version=\"1\">\n"
         "  <listeners>\n    <listener name=\"graph\" address=\""
      << bolt.text()
      << "\" protocol=\"bolt\">\n"
         "      <defaults read-class=\"lookup\" write-class=\"save\" family=\"terms\"/>\n"
         "    </listener>\n  </listeners>\n  <families>\n"
         "    <family name=\"terms\" cluster=\"0\"><protocol name=\"bolt\" "
         "listed=\"true\"/></family>\n  </families>\n</heathflow>\n";
  gateway.start(list.address(), list.wholeList(), Settings().json(), "serve --config " + installation);
  if (!gateway.waitReady(loop)) {
    record.line("the gateway is not ready");
    recordLog(record, gateway);
    return kCantRun;
  }
  std::vector<std::unique_ptr<BoltClient>> clients;
  for (std::size_t i = 0; i < kClients; ++i)
    clients.push_back(std::make_unique<BoltClient>(loop, record, bolt, "c" + std::to_string(i)));
  const Micros endsAt = now() + kEnd;
  while (now() < endsAt && !gateway.ended()) loop.turn(endsAt);
  std::size_t served = 0;
  std::size_t failed = 0;
  std::size_t foreign = 0;
  std::size_t copies = 0;
  for (const auto& client : clients) {
    served += client->served;
    failed += client->failed;
    foreign += client->foreign;
  }
  for (const auto& member : members) copies += member->copies;
  record.line("result: served " + std::to_string(served) + ", of these foreign " + std::to_string(foreign) +
              ", failed " + std::to_string(failed) + ", copies " + std::to_string(copies));
  gateway.signal(SIGUSR1);
  loop.runFor(300 * kMilli);
  gateway.kill();
  recordLog(record, gateway);
  if (served == 0) return kCantRun;
  record.line(foreign > 0 ? "verdict: the rule was broken" : "verdict: the rule held");
  return foreign > 0 ? kBroken : kHeld;
}

}  // namespace

int main() {
  try {
    return run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return review::kCantRun;
  }
}
