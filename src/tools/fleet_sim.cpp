// Plays the fleet's hard hours in virtual time and prints what they cost, a row each.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet.h"

namespace {

using namespace heathflow;
using fleet::Happening;

constexpr Micros kSecond = 1'000'000;

std::vector<std::pair<std::string, std::vector<Happening>>> hours() {
  using Kind = Happening::Kind;
  return {{"calm", {}},
          {"primaries lost for 10 s", {{Kind::PrimariesDie, 6 * kSecond, 0.8, 10 * kSecond}}},
          {"three in ten members back cold", {{Kind::EndpointsReturn, 6 * kSecond, 0.3, 5 * kSecond}}},
          {"seven in ten routers restart", {{Kind::RoutersRestart, 6 * kSecond, 0.7, 0}}},
          {"replicas stand still for 6 s", {{Kind::ReplicasLag, 6 * kSecond, 0.4, 6 * kSecond}}},
          {"a member bad for a third", {{Kind::BadForSome, 6 * kSecond, 0.33, 6 * kSecond}}}};
}

double per(std::uint64_t what, std::uint64_t of) {
  return of == 0 ? 0 : static_cast<double>(what) / static_cast<double>(of);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("heathflow_fleet_sim: many routers and their members under a virtual clock");
  fleet::Plan plan;
  std::string label = "now";
  app.add_option("--routers", plan.routers)->check(CLI::Range(1, 10000));
  app.add_option("--rate", plan.requestsPerSecond, "Requests a second of a router");
  app.add_option("--seed", plan.seed);
  app.add_option("--label", label, "Names the code in the rows");
  CLI11_PARSE(app, argc, argv);
  std::size_t broken = 0;
  for (auto& [name, happenings] : hours()) {
    plan.happenings = happenings;
    const fleet::Result result = fleet::play(plan);
    std::uint64_t inTime = 0, givenUp = 0;
    double worstRoom = 0;
    for (const fleet::Window& window : result.windows) {
      inTime += window.inTime;
      givenUp += window.givenUp;
      worstRoom = std::max(worstRoom, per(window.givenUpWithRoom, window.requests));
    }
    std::printf("| %s | %s | %.3f | %.3f | %.3f | %llu | %.2f | %.2f | %.2f | %.2f | %lld |\n", name.c_str(),
                label.c_str(), per(inTime, result.requests), per(result.healthChecks, result.requests),
                per(result.connections, result.requests),
                static_cast<unsigned long long>(result.connectionsPeak), 100 * per(givenUp, result.requests),
                100 * worstRoom, result.coldPeak,
                100 * per(result.healthChecksBy[static_cast<std::size_t>(HealthCheckReason::PrimaryUnknown)],
                          result.requests),
                static_cast<long long>(result.foundAfter / 1000));
    broken +=
        result.twice + result.stale + (result.coldPeak > fleet::settingsOf(plan).overloadMultiple ? 1 : 0);
  }
  if (broken != 0) std::printf("rules broken: %zu\n", broken);
  return broken == 0 ? 0 : 1;
}
