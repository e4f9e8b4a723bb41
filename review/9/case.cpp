// Hundreds of bad clients stop in the middle of a short command and stay. Does a usual client that opens a
// connection get its answer in time?
#include <memory>
#include <string>
#include <vector>

#include "settings.h"
#include "standins.h"

namespace {

using namespace review;

constexpr std::size_t kBadClients = 300;
constexpr Micros kBadComeBack = 10 * kMilli;
constexpr std::size_t kSockets = 256;
constexpr double kRequestsPerSecond = 40;
constexpr long kWaitMs = 600;
constexpr Micros kTroubleAt = 3 * kSecond;
constexpr Micros kTroubleEnds = 23 * kSecond;
constexpr Micros kEnd = 28 * kSecond;
constexpr Micros kSlack = 500 * kMilli;  // an answer up to half a second late only earns nothing

struct Asked {
  std::unique_ptr<Client> client;
  std::string id;
  Micros dueAt = 0;
  bool answered = false;
  bool lost = false;
};

int run() {
  Record record("review/9/record.txt");
  TemporaryFolder folder;
  Loop loop;
  ListService list(loop, record);
  std::vector<std::unique_ptr<Member>> members;
  for (std::uint32_t i = 0; i < 4; ++i) {
    members.push_back(
        std::make_unique<Member>(loop, record, "s-" + std::to_string(i), INADDR_LOOPBACK + 1 + i));
    members.back()->primary = i == 0;
    members.back()->work = 20 * kMilli;
    ListEntry entry;
    entry.id = members.back()->name();
    entry.hostPort = members.back()->address();
    entry.primary = i == 0;
    list.entries().push_back(entry);
  }
  GatewayOptions options;
  options.sockets = kSockets;
  Gateway gateway(folder, record, options);
  gateway.start(list.address(), list.wholeList(), Settings().json());
  if (!gateway.waitReady(loop)) {
    record.line("the gateway is not ready");
    recordLog(record, gateway);
    return kCantRun;
  }

  // Each sends half a command and stays; told so or closed, it comes back.
  std::string half = pg::startup() + pg::query(readStatement("bad", "lookup", 0, 2000));
  half.resize(half.size() - 20);
  bool troubled = false;
  std::list<ConnectionPtr> bad;
  std::function<void()> openBad = [&] {
    if (!troubled) return;
    bad.push_back(connectTo(loop, gateway.address()));
    bad.back()->start(nullptr, [&](Connection& from) {
      bad.remove_if([&](const ConnectionPtr& entry) { return entry.get() == &from; });
      loop.in(kBadComeBack, [&] { openBad(); });
    });
    bad.back()->send(half);
  };
  if (trouble()) {
    loop.in(kTroubleAt, [&] {
      record.line("clients: " + std::to_string(kBadClients) + " bad ones send half a command each");
      troubled = true;
      for (std::size_t i = 0; i < kBadClients; ++i) openBad();
    });
    loop.in(kTroubleEnds, [&] {
      record.line("clients: the bad ones go");
      troubled = false;
      bad.clear();
    });
  }

  std::list<Asked> asked;
  bool broken = false;
  std::size_t sent = 0;
  std::size_t lost = 0;
  std::map<std::string, std::size_t> counts;
  const Micros startedAt = now();
  Micros next = startedAt;
  const Micros endsAt = startedAt + kEnd;
  while (now() < endsAt && !gateway.ended()) {
    loop.turn(std::min(next, endsAt));
    while (next <= now()) {
      next += static_cast<Micros>(1e6 / kRequestsPerSecond);
      asked.emplace_back();
      Asked& request = asked.back();
      request.id = "r" + std::to_string(++sent);
      request.dueAt = now() + kWaitMs * kMilli;
      request.client = std::make_unique<Client>(
          loop, gateway.address(), [&request, &record, &counts](const std::string& id, const Answer& answer) {
            record.line("client: " + id + " " + nameOf(answer.kind) + " " + answer.code);
            ++counts[nameOf(answer.kind)];
            request.answered = true;
          });
      request.client->ask(request.id, readStatement(request.id, "view", 0, kWaitMs));
      record.line("client: sends " + request.id + " on a new connection");
    }
    for (Asked& request : asked) {
      if (request.answered || request.lost || now() <= request.dueAt + kSlack) continue;
      request.lost = broken = true;
      ++lost;
      record.line("BROKEN: " + request.id +
                  " has no answer half a second after its time, and its connection is " +
                  (request.client->open() ? "open" : "closed"));
    }
    asked.remove_if([](const Asked& request) { return request.answered && !request.client->busy(); });
  }
  for (const auto& [name, count] : counts) record.line("result: " + name + " " + std::to_string(count));
  record.line("result: sent " + std::to_string(sent) + ", lost " + std::to_string(lost));
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
