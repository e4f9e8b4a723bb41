// Compares strategies of calling the list service when all gateways start at once, under a virtual clock: the
// load on the service, and when the last gateway gets its list.
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
constexpr Micros kMaxPollInterval = 10 * kSecond;
// The processes start at random times within this span.
constexpr Micros kStartSpread = 300 * kMs;
constexpr Micros kSimulationEnd = 600 * kSecond;

// When one gateway makes its first call, and its next call after a failure.
struct Strategy {
  std::function<Micros()> firstCall;
  std::function<Micros(Micros now, CallFailure failure)> nextCall;
};
using StrategyFactory =
    std::function<Strategy(unsigned number, unsigned gateways, Micros upAt, std::mt19937_64& random)>;

double uniform(std::mt19937_64& random) { return uniformUnit(random()); }

// Returns a random first call within 200 ms of the start.
std::function<Micros()> randomFirstCall(Micros upAt, std::mt19937_64& random) {
  return [upAt, &random] { return upAt + static_cast<Micros>(uniform(random) * 200e3); };
}

// The strategy of the program. The cost of a call may be known from an earlier incarnation.
StrategyFactory programStrategy(std::optional<Micros> cost) {
  return [cost](unsigned number, unsigned gateways, Micros upAt, std::mt19937_64& random) {
    discovery::DiscoveryScheduleSettings settings;
    settings.gatewayName = "n" + std::to_string(number);
    settings.gatewayCount = gateways;
    settings.maxPollInterval = kMaxPollInterval;
    settings.callCost = cost;
    settings.seed = random();
    const auto schedule = std::make_shared<discovery::DiscoverySchedule>(settings, upAt);
    return Strategy{
        [schedule] { return schedule->firstCallAt(); },
        [schedule](Micros now, CallFailure failure) { return schedule->nextCallAfterFailure(now, failure); }};
  };
}

// Calls at once, and again a fixed time after a failure.
StrategyFactory fixedDelay(Micros delay) {
  return [delay](unsigned, unsigned, Micros upAt, std::mt19937_64&) {
    return Strategy{[upAt] { return upAt; }, [delay](Micros now, CallFailure) { return now + delay; }};
  };
}

// Full jitter: a random wait below a bound that doubles with each failure.
StrategyFactory fullJitter() {
  return [](unsigned, unsigned, Micros upAt, std::mt19937_64& random) {
    const auto bound = std::make_shared<Micros>(250 * kMs);
    return Strategy{randomFirstCall(upAt, random), [bound, &random](Micros now, CallFailure) {
                      *bound = std::min(*bound * 2, kMaxPollInterval / 2);
                      return now + static_cast<Micros>(uniform(random) * static_cast<double>(*bound));
                    }};
  };
}

// Decorrelated jitter: a random wait between the minimum and three times the previous wait.
StrategyFactory decorrelated() {
  return [](unsigned, unsigned, Micros upAt, std::mt19937_64& random) {
    const auto last = std::make_shared<Micros>(250 * kMs);
    return Strategy{randomFirstCall(upAt, random), [last, &random](Micros now, CallFailure) {
                      const double span = static_cast<double>(3 * *last - 250 * kMs);
                      *last = std::min(250 * kMs + static_cast<Micros>(uniform(random) * span),
                                       kMaxPollInterval / 2);
                      return now + *last;
                    }};
  };
}

// The strategy of the previous version: first within 200 ms, then a random wait between half of a bound that
// doubles and the bound.
StrategyFactory previousVersion() {
  return [](unsigned, unsigned, Micros upAt, std::mt19937_64& random) {
    const auto failures = std::make_shared<int>(0);
    return Strategy{randomFirstCall(upAt, random), [failures, &random](Micros now, CallFailure) {
                      const double share =
                          std::min(0.5, 0.05 * static_cast<double>(1 << std::min((*failures)++, 8)));
                      return now + static_cast<Micros>(share * (0.5 + 0.5 * uniform(random)) *
                                                       static_cast<double>(kMaxPollInterval));
                    }};
  };
}

struct Outcome {
  Micros lastListAt = 0;
  std::uint64_t calls = 0;
  std::uint64_t failed = 0;
  std::size_t mostCalls = 0;  // within 100 ms
  unsigned late = 0;          // gateways that got their list later than discovery::kNotificationTimeout
};

Outcome simulate(const StrategyFactory& makeStrategy, unsigned gateways, Micros cost, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  ListModel model({cost, 0, kSecond, {}});
  model.set({});
  std::vector<Strategy> strategies;
  std::priority_queue<std::pair<Micros, unsigned>, std::vector<std::pair<Micros, unsigned>>, std::greater<>>
      nextCalls;
  for (unsigned i = 0; i < gateways; ++i) {
    const auto upAt = static_cast<Micros>(uniform(random) * static_cast<double>(kStartSpread));
    strategies.push_back(makeStrategy(i, gateways, upAt, random));
    nextCalls.emplace(strategies.back().firstCall(), i);
  }
  Outcome out;
  while (!nextCalls.empty() && nextCalls.top().first < kSimulationEnd) {
    const auto [now, number] = nextCalls.top();
    nextCalls.pop();
    const auto answer = model.call(now, -1, false);
    if (answer->kind == ListModel::Answer::Kind::Served) {
      out.lastListAt = std::max(out.lastListAt, answer->at);
      if (answer->at > discovery::kNotificationTimeout) ++out.late;
    } else {
      nextCalls.emplace(strategies[number].nextCall(now, CallFailure::Rejected), number);
    }
  }
  out.calls = model.calls();
  out.failed = model.rejected();
  out.mostCalls = model.arrivals().mostWithin(100 * kMs);
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "heathflow_startup_sim: compares strategies of calling the list service when all gateways start at "
      "once");
  std::vector<unsigned> sizes = {10, 100, 1000, 10000};
  std::vector<unsigned> costs = {4, 20};
  std::uint64_t seed = 1;
  app.add_option("--cost-ms", costs, "Time in ms that the list service needs for a call")
      ->check(CLI::Range(1, 1000));
  app.add_option("--drivers", sizes, "Numbers of gateways to simulate")->check(CLI::Range(1, 100000));
  app.add_option("--seed", seed);
  CLI11_PARSE(app, argc, argv);
  std::printf(
      "| way | drivers | ms a list | last list, s | over the floor | calls a driver | failed | most in 100 "
      "ms | later than 6 s |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const unsigned gateways : sizes) {
    for (const unsigned costMs : costs) {
      const Micros cost = costMs * kMs;
      const std::vector<std::pair<const char*, StrategyFactory>> strategies = {
          {"none, again after 1 s", fixedDelay(kSecond)}, {"full jitter", fullJitter()},
          {"decorrelated jitter", decorrelated()},        {"the version before", previousVersion()},
          {"by name, cost guessed", programStrategy({})}, {"by name, cost known", programStrategy(cost)}};
      for (const auto& [name, strategy] : strategies) {
        const Outcome outcome = simulate(strategy, gateways, cost, seed);
        const double floor = static_cast<double>(gateways) * static_cast<double>(cost);
        std::printf("| %s | %u | %lld | %.2f | %.2f | %.2f | %.1f%% | %zu | %u |\n", name, gateways,
                    static_cast<long long>(cost / kMs), static_cast<double>(outcome.lastListAt) / 1e6,
                    static_cast<double>(outcome.lastListAt) / floor,
                    static_cast<double>(outcome.calls) / static_cast<double>(gateways),
                    100 * static_cast<double>(outcome.failed) /
                        static_cast<double>(std::max<std::uint64_t>(1, outcome.calls)),
                    outcome.mostCalls, outcome.late);
      }
    }
  }
  return 0;
}
