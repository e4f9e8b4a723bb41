#include "emulator/random_scenario.h"

#include <algorithm>
#include <array>
#include <random>
#include <string>

#include "common/uniform.h"
#include "faultshim/fault_plan.h"

namespace heathflow::emulator {
namespace {

using faultshim::ClockStep;
using faultshim::FaultPlan;
using faultshim::FaultRule;
using CallFault = faultshim::Fault;
using FaultKind = FaultEvent::Kind;

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000 * kMs;
// Time without new faults at both ends, so that all gateways are up before the first fault and the last fault
// ends within the play.
constexpr Micros kNoFaultsAtStart = 3 * kS;
constexpr Micros kNoFaultsAtEnd = 4 * kS;
// Most faults begin within this time after a common time, so that they overlap.
constexpr Micros kCommonTimeWidth = 1500 * kMs;
// Time from one fault of endpoints to the next.
constexpr Micros kEndpointFaultInterval = 6 * kS;
constexpr Micros kMaxListFault = 12 * kS;

class ScenarioGenerator {
 public:
  ScenarioGenerator(std::uint64_t seed, const RandomScenarioOptions& options)
      : options_(options), random_(seed * 0x9E3779B97F4A7C15U + 1) {
    out_.name = "soak-" + std::to_string(seed);
    out_.seed = seed;
    out_.duration = options.seconds * kS;
  }

  Scenario draw() {
    drawDeployment();
    drawLoad();
    commonTime_ =
        between(kNoFaultsAtStart, std::max(kNoFaultsAtStart + kMs, out_.duration - kNoFaultsAtEnd - 3 * kS));
    addGatewayFaults();
    addEndpointFaults();
    if (chance(0.7)) addListFault();
    for (int i = 0; i < 2; ++i) {
      if (chance(0.6)) addLinkFault();
    }
    if (options_.failingCalls) out_.faults = drawSystemCallFaults().text();
    std::stable_sort(out_.faultEvents.begin(), out_.faultEvents.end(),
                     [](const FaultEvent& a, const FaultEvent& b) { return a.at < b.at; });
    return std::move(out_);
  }

 private:
  bool chance(double share) { return uniformUnit(random_()) < share; }
  template <typename T>
  T between(T least, T most) {
    return least + static_cast<T>(uniformUnit(random_()) * static_cast<double>(most - least));
  }
  template <typename T, std::size_t kCount>
  T oneOf(const std::array<T, kCount>& values) {
    return values[random_() % kCount];
  }
  // Returns a time for a fault: near the common time, or anywhere.
  Micros drawTime() {
    return chance(0.7)
               ? commonTime_ + between<Micros>(0, kCommonTimeWidth)
               : between(kNoFaultsAtStart, std::max(kNoFaultsAtStart + kMs, out_.duration - kNoFaultsAtEnd));
  }
  void add(FaultKind kind, Micros at, double share, Micros duration) {
    out_.faultEvents.push_back({kind, at, share, duration});
  }

  void drawDeployment() {
    out_.gateways = between(options_.gatewaysLeast, options_.gatewaysMost + 1);
    out_.groups = between(2U, 5U);
    out_.replicas = between(2U, 4U);
    out_.endpoint.slowStartDuration = between(2 * kS, 6 * kS);
    out_.endpoint.lag = between(20 * kMs, 800 * kMs);
    out_.snapshot = chance(0.5);
    out_.knownList = chance(0.1) ? KnownList::None : chance(0.5) ? KnownList::Old : KnownList::Current;
    out_.cold = chance(0.1);
    out_.list.call = 500;
    out_.list.line = between<Micros>(0, 1000);
    out_.resetShare = chance(0.3) ? between(0.0, 0.2) : 0;
  }

  void drawLoad() {
    out_.requestsPerGateway = between(6.0, 20.0);
    out_.busyShare = 0.1;
    out_.busyFactor = between(1.0, 6.0);
    out_.patience = between(700 * kMs, 1900 * kMs);
    out_.bound = between(1200 * kMs, 3000 * kMs);
    out_.disconnectShare = chance(0.7) ? between(0.0, 0.15) : 0;
    out_.misbehavingClientsPerSecond = chance(0.7) ? between(0.0, 1.0) : 0;
    out_.requestTimeout = chance(0.5) ? out_.patience : between(out_.patience, 2900 * kMs);
    out_.signalSeries = chance(0.5);
    out_.hardStops = true;
  }

  void addGatewayFaults() {
    if (chance(0.6)) {
      add(FaultKind::RollGateways, drawTime(), between(0.3, 1.0), between(kS, 8 * kS));
    } else {
      add(chance(0.5) ? FaultKind::KillGateways : FaultKind::PauseGateways, drawTime(), between(0.1, 0.6),
          between(300 * kMs, 2 * kS));
    }
    if (chance(0.2)) add(FaultKind::LogsUnread, drawTime(), between(0.2, 1.0), between(kS, 4 * kS));
    for (int i = 0; i < 3; ++i) {
      if (chance(0.4)) add(FaultKind::ReloadGateways, drawTime(), between(0.1, 1.0), 0);
    }
  }

  void addEndpointFaults() {
    constexpr std::array kKinds = {FaultKind::DrainEndpoints, FaultKind::RestartEndpoints,
                                   FaultKind::KillPrimary};
    Micros at = commonTime_ + between<Micros>(0, kCommonTimeWidth);
    add(oneOf(kKinds), at, between(0.2, 0.6), between(300 * kMs, 4 * kS));
    at += kEndpointFaultInterval;
    if (at < out_.duration - kNoFaultsAtEnd)
      add(oneOf(kKinds), at, between(0.2, 0.6), between(300 * kMs, 2 * kS));
  }

  void addListFault() {
    constexpr std::array kKinds = {FaultKind::ListDown, FaultKind::ListOlder, FaultKind::ListMoves,
                                   FaultKind::CutList, FaultKind::ListOverloaded};
    // Half of the faults are shorter than the time within which gateways have to know a change, half are
    // longer.
    const Micros duration = chance(0.5) ? between(300 * kMs, 4 * kS) : between(6 * kS, kMaxListFault);
    add(oneOf(kKinds), drawTime(), between(0.5, 1.0), duration);
  }

  void addLinkFault() {
    constexpr std::array kKinds = {FaultKind::CutEndpoints, FaultKind::HangEndpoints,
                                   FaultKind::SlowEndpoints, FaultKind::ResetEndpoints};
    add(oneOf(kKinds), drawTime(), between(0.1, 0.4), between(300 * kMs, 3 * kS));
  }

  FaultPlan drawSystemCallFaults() {
    FaultPlan plan;
    const auto share = [&](double wanted, CallFault fault, double least, double most, Micros until = 0) {
      if (!chance(wanted)) return;
      FaultRule one;
      one.fault = fault;
      one.probability = between(least, most);
      one.until = until;
      plan.rules.push_back(one);
    };
    share(0.5, CallFault::ShortRead, 0.002, 0.1);
    share(0.4, CallFault::ShortWrite, 0.002, 0.1);
    share(0.4, CallFault::Interrupt, 0.01, 0.2);
    share(0.4, CallFault::InterruptIo, 0.01, 0.2);
    share(0.4, CallFault::Socket, 0.01, 0.2);
    share(0.3, CallFault::Accept, 0.01, 0.2);
    share(0.3, CallFault::Connect, 0.01, 0.2);
    share(0.3, CallFault::Watch, 0.01, 0.1);
    share(0.3, CallFault::Create, 0.1, 0.5);
    share(0.3, CallFault::Listen, 0.1, 0.5);
    share(0.3, CallFault::Break, 0.0005, 0.005);
    share(0.3, CallFault::HoldUp, 0.0005, 0.003);
    share(0.3, CallFault::FileOpen, 0.05, 0.3);
    share(0.3, CallFault::FileRead, 0.05, 0.3);
    share(0.5, CallFault::FileWrite, 0.1, 0.6);
    share(0.3, CallFault::FileSync, 0.1, 0.6);
    share(0.3, CallFault::FileRename, 0.1, 0.6);
    constexpr std::array<Micros, 8> kSteps = {900 * kMs,  kS,  10 * kS,  3600 * kS,
                                              -900 * kMs, -kS, -10 * kS, -3600 * kS};
    // Times are relative to the start of each incarnation.
    if (chance(0.4)) plan.steps.push_back(ClockStep{0, oneOf(kSteps)});
    for (int i = 0; i < 2; ++i) {
      if (chance(0.5)) plan.steps.push_back(ClockStep{between<Micros>(kS, out_.duration), oneOf(kSteps)});
    }
    return plan;
  }

  const RandomScenarioOptions& options_;
  std::mt19937_64 random_;
  Scenario out_;
  Micros commonTime_ = 0;
};

}  // namespace

Scenario randomScenario(std::uint64_t seed, const RandomScenarioOptions& options) {
  return ScenarioGenerator(seed, options).draw();
}

}  // namespace heathflow::emulator
