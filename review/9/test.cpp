// A member drains while the list service rejects the calls of a gateway: does the gateway send it anything
// new later than the list's term and the grace allow?
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "settings.h"
#include "standins.h"

namespace {

using namespace review;

constexpr double kRequestsPerSecond = 80;
constexpr Micros kCrowdedAt = 12 * kSecond;  // since the start of the traffic
constexpr Micros kDrainsAt = 13 * kSecond;
constexpr Micros kCrowdedUntil = 33 * kSecond;
constexpr Micros kEnd = 36 * kSecond;
constexpr Micros kToldAfter = 6 * kSecond;  // a change counts as told this long after discovery had it
constexpr Micros kGrace = 250 * kMilli;     // of the settings
constexpr Micros kSlack = 50 * kMilli;      // each time limit grows by this on sockets

int run() {
  Record record("review/9/record.txt");
  TemporaryFolder folder;
  Loop loop;
  std::mt19937_64 random(9);
  const auto uniform = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };

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
  Member& leaving = *members[2];
  Micros drainsSince = 0;
  bool broken = false;
  // While it drains it finishes what it has and turns away what is new, unseen. Its report is a row as ever.
  leaving.onQuery = [&](const ConnectionPtr& connection, const Query& query) {
    if (drainsSince == 0) return false;
    const Micros since = query.receivedAt - drainsSince;
    const bool late = since > kToldAfter + kGrace + kSlack;
    record.line((late ? "BROKEN: " : "") + leaving.name() + " gets " + query.id + " " +
                std::to_string(since / kMilli) + " ms after discovery had its drain");
    broken = broken || late;
    leaving.refuse(*connection, "53300");
    return true;
  };

  Gateway gateway(folder, record, {});
  gateway.start(list.address(), list.wholeList(), Settings().json());
  if (!gateway.waitReady(loop)) {
    record.line("the gateway is not ready");
    recordLog(record, gateway);
    return kCantRun;
  }

  std::map<std::string, std::size_t> counts;
  std::vector<std::unique_ptr<Client>> clients;
  const auto onAnswer = [&](const std::string& id, const Answer& answer) {
    record.line("client: " + id + " " + nameOf(answer.kind) + " " + answer.code + " " + answer.value);
    ++counts[nameOf(answer.kind)];
  };
  std::size_t sent = 0;
  const auto send = [&] {
    std::erase_if(clients, [](const auto& client) { return !client->open() && !client->busy(); });
    Client* free = nullptr;
    for (auto& client : clients) {
      if (client->ready()) free = client.get();
    }
    if (free == nullptr) {
      if (clients.size() >= 60) return;
      clients.push_back(std::make_unique<Client>(loop, gateway.address(), onAnswer));
      free = clients.back().get();
    }
    const std::string id = "r" + std::to_string(++sent);
    const double draw = uniform();
    if (draw < 0.1) {
      free->ask(id, writeStatement(id, "save", 0, 5000, "h" + id, ",k=" + id));
    } else {
      const bool view = draw < 0.6;
      free->ask(id, readStatement(id, view ? "view" : "lookup", 0, view ? 600 : 2000, "h" + id));
    }
  };

  const Micros startedAt = now();
  Micros next = startedAt;
  bool crowded = false;
  bool over = false;
  const Micros endsAt = startedAt + kEnd;
  while (now() < endsAt) {
    loop.turn(std::min(next, endsAt));
    while (next <= now()) {
      send();
      next += static_cast<Micros>((0.5 + uniform()) * 1e6 / kRequestsPerSecond);
    }
    if (trouble() && !crowded && now() >= startedAt + kCrowdedAt) {
      crowded = true;
      record.line("list: crowded, each call waits too long and ends with 503");
      list.setMode(ListService::Mode::Crowded);
    }
    if (drainsSince == 0 && now() >= startedAt + kDrainsAt) {
      drainsSince = now();
      list.change(leaving.name(), [](ListEntry& entry) { entry.phase = "Terminating"; });
    }
    if (crowded && !over && now() >= startedAt + kCrowdedUntil) {
      over = true;
      record.line("list: no longer crowded");
      list.setMode(ListService::Mode::Normal);
    }
    if (gateway.ended()) return kCantRun;
  }
  for (const auto& [name, count] : counts) record.line("result: " + name + " " + std::to_string(count));
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
