// Weighs ways of calling the list service at a start of all gateways at once, in virtual time: what each
// costs the service, and when the last gateway has its list.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "common/uniform.h"
#include "discovery/discovery_schedule.h"
#include "emulator/list_model.h"

namespace {

using namespace heathflow;
using discovery::CallFailure;
using discovery::Micros;
using emulator::ListModel;

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;
constexpr Micros kAskWithin = 10 * kSecond;
// The processes themselves come up one after the other within this time.
constexpr Micros kComeUp = 300 * kMs;
constexpr Micros kEnd = 600 * kSecond;

// One gateway's way: when it calls first, and when again.
struct Way {
  std::function<Micros()> first;
  std::function<Micros(Micros now, CallFailure how)> again;
};
using MakeWay = std::function<Way(unsigned number, unsigned gateways, Micros upAt, std::mt19937_64& random)>;

double draw(std::mt19937_64& random) { return uniformUnit(random()); }

// At random within 200 ms.
std::function<Micros()> soon(Micros upAt, std::mt19937_64& random) {
  return [upAt, &random] { return upAt + static_cast<Micros>(draw(random) * 200e3); };
}

// The program's own, with the cost of a call known from an earlier life, or not.
MakeWay byName(std::optional<Micros> cost) {
  return [cost](unsigned number, unsigned gateways, Micros upAt, std::mt19937_64& random) {
    discovery::DiscoveryScheduleSettings settings;
    settings.gatewayName = "n" + std::to_string(number);
    settings.gatewayCount = gateways;
    settings.maxPollInterval = kAskWithin;
    settings.callCost = cost;
    settings.seed = random();
    const auto schedule = std::make_shared<discovery::DiscoverySchedule>(settings, upAt);
    return Way{[schedule] { return schedule->firstCallAt(); },
               [schedule](Micros now, CallFailure how) { return schedule->nextCallAfterFailure(now, how); }};
  };
}

// At once, and after a failure so much later.
MakeWay without(Micros after) {
  return [after](unsigned, unsigned, Micros upAt, std::mt19937_64&) {
    return Way{[upAt] { return upAt; }, [after](Micros now, CallFailure) { return now + after; }};
  };
}

// Full jitter: at random below a bound that doubles.
MakeWay fullJitter() {
  return [](unsigned, unsigned, Micros upAt, std::mt19937_64& random) {
    const auto bound = std::make_shared<Micros>(250 * kMs);
    return Way{soon(upAt, random), [bound, &random](Micros now, CallFailure) {
                 *bound = std::min(*bound * 2, kAskWithin / 2);
                 return now + static_cast<Micros>(draw(random) * static_cast<double>(*bound));
               }};
  };
}

// Decorrelated jitter: at random between the least and three times the last wait.
MakeWay decorrelated() {
  return [](unsigned, unsigned, Micros upAt, std::mt19937_64& random) {
    const auto last = std::make_shared<Micros>(250 * kMs);
    return Way{soon(upAt, random), [last, &random](Micros now, CallFailure) {
                 const double span = static_cast<double>(3 * *last - 250 * kMs);
                 *last = std::min(250 * kMs + static_cast<Micros>(draw(random) * span), kAskWithin / 2);
                 return now + *last;
               }};
  };
}

// The version before: within 200 ms, then half to all of a wait that doubles.
MakeWay before() {
  return [](unsigned, unsigned, Micros upAt, std::mt19937_64& random) {
    const auto failures = std::make_shared<int>(0);
    return Way{
        soon(upAt, random), [failures, &random](Micros now, CallFailure) {
          const double share = std::min(0.5, 0.05 * static_cast<double>(1 << std::min((*failures)++, 8)));
          return now +
                 static_cast<Micros>(share * (0.5 + 0.5 * draw(random)) * static_cast<double>(kAskWithin));
        }};
  };
}

struct Row {
  Micros last = 0;
  std::uint64_t calls = 0;
  std::uint64_t failed = 0;
  std::size_t most = 0;
  unsigned late = 0;  // gateways whose list came after the term on changes
};

Row play(const MakeWay& make, unsigned gateways, Micros cost, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  ListModel model({cost, 0, kSecond, {}});
  model.set({});
  std::vector<Way> ways;
  std::priority_queue<std::pair<Micros, unsigned>, std::vector<std::pair<Micros, unsigned>>, std::greater<>>
      due;
  for (unsigned i = 0; i < gateways; ++i) {
    const auto upAt = static_cast<Micros>(draw(random) * static_cast<double>(kComeUp));
    ways.push_back(make(i, gateways, upAt, random));
    due.emplace(ways.back().first(), i);
  }
  Row out;
  while (!due.empty() && due.top().first < kEnd) {
    const auto [now, number] = due.top();
    due.pop();
    const auto answer = model.call(now, -1, false);
    if (answer->kind == ListModel::Answer::Kind::Served) {
      out.last = std::max(out.last, answer->at);
      if (answer->at > discovery::kNotificationTimeout) ++out.late;
    } else {
      due.emplace(ways[number].again(now, CallFailure::Rejected), number);
    }
  }
  out.calls = model.calls();
  out.failed = model.rejected();
  out.most = model.arrivals().mostWithin(100 * kMs);
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("heathflow_startup_sim: ways of calling the list service at a start of all drivers at once");
  std::vector<unsigned> sizes = {10, 100, 1000, 10000};
  std::vector<unsigned> costs = {4, 20};
  std::uint64_t seed = 1;
  app.add_option("--cost-ms", costs, "What a call takes the service")->check(CLI::Range(1, 1000));
  app.add_option("--drivers", sizes, "Sizes to play")->check(CLI::Range(1, 100000));
  app.add_option("--seed", seed);
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "| way | drivers | ms a list | last list, s | over the floor | calls a driver | failed | most in 100 "
      "ms | later than 6 s |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const unsigned gateways : sizes) {
    for (const unsigned costMs : costs) {
      const Micros cost = costMs * kMs;
      const std::vector<std::pair<const char*, MakeWay>> ways = {
          {"none, again after 1 s", without(kSecond)}, {"full jitter", fullJitter()},
          {"decorrelated jitter", decorrelated()},     {"the version before", before()},
          {"by name, cost guessed", byName({})},       {"by name, cost known", byName(cost)}};
      for (const auto& [name, way] : ways) {
        const Row row = play(way, gateways, cost, seed);
        const double floor = static_cast<double>(gateways) * static_cast<double>(cost);
        std::printf("| %s | %u | %lld | %.2f | %.2f | %.2f | %.1f%% | %zu | %u |\n", name, gateways,
                    static_cast<long long>(cost / kMs), static_cast<double>(row.last) / 1e6,
                    static_cast<double>(row.last) / floor,
                    static_cast<double>(row.calls) / static_cast<double>(gateways),
                    100 * static_cast<double>(row.failed) /
                        static_cast<double>(std::max<std::uint64_t>(1, row.calls)),
                    row.most, row.late);
      }
    }
  }
  return 0;
}
