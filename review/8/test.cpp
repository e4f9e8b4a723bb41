// Bad clients stop in the middle of long commands and so fill the gateway's buffer memory. A usual client
// sends a read and a longer write at once: does the write get its answer in time?
#include <memory>
#include <string>
#include <vector>

#include "settings.h"
#include "standins.h"

namespace {

using namespace review;

constexpr std::size_t kBadClients = 250;
constexpr std::size_t kUsualClients = 20;
constexpr std::size_t kValueBytes = 16 * 1024;
constexpr std::size_t kHalfBytes = 125'000;  // of a command that would hold 64 KiB
constexpr long kReadMs = 600;
constexpr long kWriteMs = 1'500;
constexpr Micros kPause = 400 * kMilli;  // between two pairs of a usual client
constexpr Micros kTroubleAt = 2 * kSecond;
constexpr Micros kEnd = 25 * kSecond;
constexpr Micros kSlack = 500 * kMilli;  // an answer up to half a second late only earns nothing

struct Expected {
  std::string id;
  Micros sentAt = 0;
  Micros span = 0;
};

// A usual client that writes two commands at once.
class Pair {
 public:
  Pair(Loop& loop, Record& record, const Address& gateway, std::string name, bool& broken)
      : loop_(loop), record_(record), gateway_(gateway), name_(std::move(name)), broken_(broken) {
    connect();
  }
  // Records what is due by now and has no answer.
  void check() {
    if (expected_.empty() || reported_ || now() <= due() + kSlack) return;
    reported_ = true;
    broken_ = true;
    record_.line("BROKEN: " + expected_.front().id + " has no answer half a second after its time");
  }
  std::size_t answers = 0;
  std::size_t refusals = 0;

 private:
  void connect() {
    connection_ = connectTo(loop_, gateway_);
    started_ = false;
    connection_->start([this](Connection& from) { onData(from); }, [this](Connection&) { onEnd(); });
    connection_->send(pg::startup());
  }
  void send() {
    const std::string number = std::to_string(++pairs_);
    const std::string read = name_ + "-r" + number;
    const std::string write = name_ + "-w" + number;
    std::string insert = writeStatement(write, "save", 0, kWriteMs, "h" + name_, ",k=" + write);
    insert.replace(insert.find("\\x9f03") + 2, 4, std::string(2 * kValueBytes, '9'));
    record_.line("client: sends " + read + " and " + write);
    expected_.push_back({read, now(), kReadMs * kMilli});
    expected_.push_back({write, now(), kWriteMs * kMilli});
    connection_->send(pg::query(readStatement(read, "lookup", 0, kReadMs, "h" + name_)) + pg::query(insert));
  }
  // The wait for the answers before one does not count.
  Micros due() const { return std::max(expected_.front().sentAt, answeredAt_) + expected_.front().span; }
  void onData(Connection& from) {
    for (pg::Message message; pg::cut(from.in, message);) {
      if (message.type == 'D') outcome_ = "served";
      if (message.type == 'E') outcome_ = "error " + pg::field(message.body, 'C');
      const bool fatal = message.type == 'E' && pg::field(message.body, 'S') == "FATAL";
      if (message.type != 'Z' && !fatal) continue;
      if (!started_) {
        started_ = true;
        send();
      } else if (!expected_.empty()) {
        finish();
        if (expected_.empty() && !fatal) loop_.in(kPause, [this] { send(); });
      }
    }
  }
  void finish() {
    check();
    record_.line("client: " + expected_.front().id + " " + outcome_);
    ++(outcome_ == "served" ? answers : refusals);
    outcome_ = "nothing";
    answeredAt_ = now();
    reported_ = false;
    expected_.erase(expected_.begin());
  }
  // What crossed the close of a connection is given up here; its client would send it again.
  void onEnd() {
    for (const Expected& entry : expected_) record_.line("client: the connection ended before " + entry.id);
    expected_.clear();
    loop_.in(kPause, [this] { connect(); });
  }

  Loop& loop_;
  Record& record_;
  Address gateway_;
  std::string name_;
  bool& broken_;
  ConnectionPtr connection_;
  std::vector<Expected> expected_;
  std::string outcome_;
  Micros answeredAt_ = 0;
  bool started_ = false;
  bool reported_ = false;
  int pairs_ = 0;
};

int run() {
  Record record("review/8/record.txt");
  TemporaryFolder folder;
  Loop loop;
  ListService list(loop, record);
  std::vector<std::unique_ptr<Member>> members;
  for (std::uint32_t i = 0; i < 4; ++i) {
    members.push_back(
        std::make_unique<Member>(loop, record, "s-" + std::to_string(i), INADDR_LOOPBACK + 1 + i));
    members.back()->primary = i == 0;
    members.back()->work = 30 * kMilli;
    ListEntry entry;
    entry.id = members.back()->name();
    entry.hostPort = members.back()->address();
    entry.primary = i == 0;
    list.entries().push_back(entry);
  }
  GatewayOptions options;
  options.sockets = 1024;
  options.memoryMb = 32;
  Gateway gateway(folder, record, options);
  Settings settings;
  settings.saveDeadlineMs = 2'000;
  gateway.start(list.address(), list.wholeList(), settings.json());
  if (!gateway.waitReady(loop)) {
    record.line("the gateway is not ready");
    recordLog(record, gateway);
    return kCantRun;
  }

  bool broken = false;
  std::vector<std::unique_ptr<Pair>> clients;
  for (std::size_t i = 0; i < kUsualClients; ++i) {
    loop.runFor(20 * kMilli);
    clients.push_back(
        std::make_unique<Pair>(loop, record, gateway.address(), "c" + std::to_string(i), broken));
  }

  // Each sends half a command and stays; told so or closed, it comes back.
  std::string half =
      pg::startup() + pg::query(writeStatement("bad", "save", 0, 5000, std::string(131'000, 'a')));
  half.resize(kHalfBytes);
  std::list<ConnectionPtr> bad;
  std::function<void()> openBad = [&] {
    bad.push_back(connectTo(loop, gateway.address()));
    bad.back()->start(nullptr, [&](Connection& from) {
      bad.remove_if([&](const ConnectionPtr& entry) { return entry.get() == &from; });
      loop.in(50 * kMilli, [&] { openBad(); });
    });
    bad.back()->send(half);
  };
  if (trouble()) {
    loop.in(kTroubleAt, [&] {
      record.line("clients: " + std::to_string(kBadClients) + " bad ones send half a command each");
      for (std::size_t i = 0; i < kBadClients; ++i) openBad();
    });
  }
  const Micros endsAt = now() + kEnd;
  while (now() < endsAt && !gateway.ended()) {
    loop.turn(std::min(endsAt, now() + 20 * kMilli));
    for (auto& client : clients) client->check();
  }
  std::size_t answers = 0;
  std::size_t refusals = 0;
  for (const auto& client : clients) {
    answers += client->answers;
    refusals += client->refusals;
  }
  record.line("result: served " + std::to_string(answers) + ", errors " + std::to_string(refusals) +
              ", resident " + std::to_string(gateway.residentMb()) + " MB");
  gateway.signal(SIGUSR1);
  loop.runFor(300 * kMilli);
  gateway.kill();
  recordLog(record, gateway);
  record.line(broken ? "verdict: the rule was broken" : "verdict: the rule held");
  return broken ? kBroken : kHeld;
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
