// Simulates a fleet of gateways under a virtual clock, with at most one fault per scenario, and prints a row
// of results for each.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet.h"

namespace {

using namespace heathflow;
using fleet::FaultEvent;

constexpr Micros kSecond = 1'000'000;

std::vector<std::pair<std::string, std::vector<FaultEvent>>> scenarios() {
  using Kind = FaultEvent::Kind;
  return {{"no fault", {}},
          {"primaries crash for 10 s", {{Kind::PrimariesCrash, 6 * kSecond, 0.8, 10 * kSecond}}},
          {"30% of the endpoints restart", {{Kind::EndpointsRestart, 6 * kSecond, 0.3, 5 * kSecond}}},
          {"70% of the gateways restart", {{Kind::GatewaysRestart, 6 * kSecond, 0.7, 0}}},
          {"replicas stall for 6 s", {{Kind::ReplicasLag, 6 * kSecond, 0.4, 6 * kSecond}}},
          {"an endpoint fails for a third of the gateways",
           {{Kind::EndpointFailsForSome, 6 * kSecond, 0.33, 6 * kSecond}}}};
}

double ratio(std::uint64_t count, std::uint64_t total) {
  return total == 0 ? 0 : static_cast<double>(count) / static_cast<double>(total);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("heathflow_fleet_sim: simulates many gateways and their endpoints under a virtual clock");
  fleet::Plan plan;
  std::string label = "now";
  app.add_option("--gateways,--routers", plan.gateways)->check(CLI::Range(1, 10000));
  app.add_option("--rate", plan.requestsPerSecond, "Mean requests per second of a gateway");
  app.add_option("--seed", plan.seed);
  app.add_option("--label", label, "Name of the measured version in the rows");
  CLI11_PARSE(app, argc, argv);
  std::size_t violations = 0;
  for (auto& [name, faults] : scenarios()) {
    plan.faults = faults;
    const fleet::Result result = fleet::simulate(plan);
    std::uint64_t inTime = 0, unserved = 0;
    double worstWithCapacity = 0;
    for (const fleet::Window& window : result.windows) {
      inTime += window.inTime;
      unserved += window.unserved;
      worstWithCapacity = std::max(worstWithCapacity, ratio(window.unservedWithCapacity, window.requests));
    }
    std::printf(
        "| %s | %s | %.3f | %.3f | %.3f | %llu | %.2f | %.2f | %.2f | %.2f | %lld |\n", name.c_str(),
        label.c_str(), ratio(inTime, result.requests), ratio(result.healthChecks, result.requests),
        ratio(result.connections, result.requests), static_cast<unsigned long long>(result.connectionsPeak),
        100 * ratio(unserved, result.requests), 100 * worstWithCapacity, result.slowStartPeakLoad,
        100 * ratio(result.healthChecksBy[static_cast<std::size_t>(HealthCheckReason::PrimaryUnknown)],
                    result.requests),
        static_cast<long long>(result.failoverDelay / 1000));
    violations += result.duplicateAnswers + result.stale +
                  (result.slowStartPeakLoad > fleet::settingsOf(plan).overloadMultiple ? 1 : 0);
  }
  if (violations != 0) std::printf("rule violations: %zu\n", violations);
  return violations == 0 ? 0 : 1;
}
