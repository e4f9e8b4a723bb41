#include "emulator/deployment_results.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

#include "emulator/gateway_output.h"
#include "emulator/units.h"

namespace heathflow::emulator {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMaxBreachesInTable = 20;

double toDouble(std::uint64_t count) { return static_cast<double>(count); }

Json jsonOf(const TimelineRow& row) {
  return {{"served", row.served},
          {"refused", row.rejected},
          {"failed", row.failed},
          {"refused_with_room", row.rejectedWithCapacity},
          {"drivers", row.gatewaysUp},
          {"calls", row.listCalls},
          {"connections", row.connectionsAtEndpoints},
          {"p50_us", row.p50},
          {"p99_us", row.p99},
          {"notes", row.notes}};
}

Json jsonOf(const Breach& breach) {
  return {{"rule", nameOf(breach.rule)}, {"at_us", breach.at}, {"driver", breach.who}, {"what", breach.what}};
}

}  // namespace

bool DeploymentResults::rulesKept() const {
  return crashes.empty() && std::all_of(broken.begin(), broken.end(), [](std::size_t n) { return n == 0; });
}

double DeploymentResults::percentOfAnswers(std::uint64_t count) const {
  return 100 * toDouble(count) / std::max<double>(1, toDouble(served + rejected + failed));
}

std::string DeploymentResults::json() const {
  Json out;
  out["scenario"] = scenario;
  out["requests"] = {
      {"asked", requests},   {"unreached", unreached}, {"served", served},
      {"refused", rejected}, {"failed", failed},       {"refused_with_room", rejectedWithCapacity},
      {"p50_us", p50},       {"p99_us", p99},          {"first_served_us", firstServed}};
  out["list"] = {{"calls", calls},
                 {"failed", callsFailed},
                 {"most_in_100ms", mostCalls},
                 {"calls_until_listed", callsUntilListed},
                 {"failed_until_listed", callsFailedUntilListed}};
  if (lastList) out["list"]["last_us"] = *lastList;
  out["members"] = {{"connections", connections},
                    {"most_in_100ms", mostConnections},
                    {"turned_away", connectionsRejected},
                    {"probes", healthChecks}};
  for (std::size_t i = 0; i < kRules; ++i) out["broken"][nameOf(static_cast<Rule>(i))] = broken[i];
  out["breaches"] = Json::array();
  for (const Breach& breach : breaches) out["breaches"].push_back(jsonOf(breach));
  out["crashes"] = crashes;
  out["counters"] = counters;
  out["seconds"] = Json::array();
  for (const TimelineRow& row : timeline) out["seconds"].push_back(jsonOf(row));
  return out.dump(1);
}

std::string DeploymentResults::numbersLine(unsigned gateways) const {
  const double callsOfUnlisted = std::max<double>(1, toDouble(callsUntilListed));
  std::ostringstream out;
  out.precision(2);
  out << std::fixed << toMilliseconds(lastList.value_or(0)) << ' ' << toDouble(callsUntilListed) / gateways
      << ' ' << 100 * toDouble(callsFailedUntilListed) / callsOfUnlisted << ' ' << mostCalls << ' '
      << mostConnections << ' ' << percentOfAnswers(rejected) << ' ' << percentOfAnswers(rejectedWithCapacity)
      << ' ' << toMilliseconds(firstServed) << ' ' << connections << ' ' << (rulesKept() ? 1 : 0);
  return out.str();
}

std::string DeploymentResults::table() const {
  std::ostringstream out;
  out.precision(1);
  out << std::fixed;
  out << "requests: " << requests << " sent, " << served << " served, " << rejected << " rejected ("
      << percentOfAnswers(rejected) << "%, " << percentOfAnswers(rejectedWithCapacity)
      << "% although an endpoint had capacity), " << failed << " failed, " << unreached
      << " not sent; median " << toMilliseconds(p50) << " ms, 99% " << toMilliseconds(p99) << " ms\n";
  out << "list service: " << calls << " calls, " << callsFailed << " failed, most in 100 ms " << mostCalls;
  if (lastList) {
    out << ", every gateway has its list after " << toMilliseconds(*lastList) << " ms and "
        << callsUntilListed << " calls, " << callsFailedUntilListed << " of them failed";
  }
  out << "\nendpoints: " << connections << " connections, most in 100 ms at one " << mostConnections << ", "
      << connectionsRejected << " rejected; " << healthChecks << " health checks\n";
  out << "not served by the gateways, by reason:";
  for (const auto& [name, value] : counters) {
    if (name.starts_with(kUnservedByReasonPrefix) && value > 0)
      out << ' ' << name.substr(kUnservedByReasonPrefix.size()) << ' ' << value;
  }
  out << "\n";
  for (std::size_t i = 0; i < kRules; ++i) {
    out << nameOf(static_cast<Rule>(i)) << ": "
        << (broken[i] == 0 ? std::string("kept") : "BROKEN " + std::to_string(broken[i]) + " times") << "\n";
  }
  for (std::size_t i = 0; i < std::min(kMaxBreachesInTable, breaches.size()); ++i)
    out << "  " << toMilliseconds(breaches[i].at) << " ms " << breaches[i].who << " " << breaches[i].what
        << "\n";
  for (const std::string& crash : crashes) out << "CRASHED: " << crash << "\n";
  out << "the slowest start took " << toMilliseconds(slowestStart)
      << " ms; the emulator's timers were late by up to " << toMilliseconds(emulatorLateness) << " ms\n";
  return out.str();
}

std::string DeploymentResults::columns() const {
  std::ostringstream out;
  out << "# second served refused failed p99_ms connections calls drivers\n";
  for (std::size_t i = 0; i < timeline.size(); ++i) {
    const TimelineRow& row = timeline[i];
    out << i + 1 << ' ' << row.served << ' ' << row.rejected << ' ' << row.failed << ' '
        << toMilliseconds(row.p99) << ' ' << row.connectionsAtEndpoints << ' ' << row.listCalls << ' '
        << row.gatewaysUp << "\n";
  }
  return out.str();
}

}  // namespace heathflow::emulator
