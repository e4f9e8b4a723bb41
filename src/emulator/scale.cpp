#include "emulator/scale.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "emulator/gossip.h"
#include "emulator/idle_connections.h"
#include "emulator/subset_cost.h"
#include "emulator/units.h"
#include "standins/standins.h"

namespace heathflow::emulator {
namespace {

constexpr double kBytesPerKilobyte = 1024;
constexpr double kBytesPerMegabyte = 1024 * 1024;
// The longest wait for a condition.
constexpr Micros kMaxWait = 60 * kMicrosPerSecond;
constexpr Micros kMaxTurn = 20 * kMicrosPerMilli;
constexpr Micros kMemoryCheckInterval = 500 * kMicrosPerMilli;
// A run may use the machine's memory divided by this.
constexpr std::size_t kMemoryDivisor = 2;
// Time until the memory of a gateway is stable after connections were opened.
constexpr Micros kMemorySettles = kMicrosPerSecond;
constexpr std::size_t kAnsweringEndpoints = 3;

double toSeconds(Micros time) { return static_cast<double>(time) / kMicrosPerSecond; }
double toDouble(std::uint64_t count) { return static_cast<double>(count); }
std::uint64_t bytesOf(const ListFeed::Traffic& traffic) { return traffic.bytesIn + traffic.bytesOut; }

Micros medianOf(std::vector<Micros> times) {
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

}  // namespace

ScaleRun::ScaleRun(transport::EventLoop& loop, const ScalePlan& plan, std::string program, Hooks hooks)
    : loop_(loop), plan_(plan), program_(std::move(program)), hooks_(std::move(hooks)) {}

ScaleOutcome ScaleRun::play() {
  if (plan_.gateways) gateways(*plan_.gateways);
  if (plan_.endpoints) {
    for (const unsigned size : plan_.endpoints->sizes) endpointsAt(*plan_.endpoints, size);
  }
  if (plan_.changes) {
    for (const unsigned rate : plan_.changes->sizes) changesAt(*plan_.changes, rate);
  }
  if (plan_.clients) clients(*plan_.clients);
  if (plan_.gossip) gossip(*plan_.gossip);
  if (plan_.subsets) subsets(*plan_.subsets);
  if (plan_.faults) faults(*plan_.faults);
  return std::move(outcome_);
}

// ---- Time and bounds ----

bool ScaleRun::runTurn(Micros most) {
  loop_.turn(most);
  if (!hooks_.continues()) outcome_.ended = true;
  if (now() - memoryCheckedAt_ > kMemoryCheckInterval) {
    memoryCheckedAt_ = now();
    std::size_t resident = usageOf(::getpid()).resident;
    for (const pid_t process : processes_) resident += usageOf(process).resident;
    if (resident > machineMemory() / kMemoryDivisor)
      outcome_.problems.push_back("the run uses more than half of the machine's memory");
  }
  return !finished();
}

bool ScaleRun::awaitCondition(const std::string& what, const std::function<bool()>& condition) {
  const Micros until = now() + kMaxWait;
  while (!finished() && !condition()) {
    if (!runTurn(kMaxTurn)) return false;
    if (now() > until)
      outcome_.problems.push_back(what + ": not within " + std::to_string(kMaxWait / kMicrosPerSecond) +
                                  " s");
  }
  return !finished();
}

bool ScaleRun::runFor(Micros span) {
  const Micros until = now() + span;
  while (!finished() && now() < until) {
    if (!runTurn(std::min(kMaxTurn, until - now()))) return false;
  }
  return !finished();
}

void ScaleRun::startStep(const std::string& name) {
  processes_.clear();
  if (hooks_.onProgress) hooks_.onProgress(name);
}

// ---- Gateways ----

FleetPlan ScaleRun::fleetOf(unsigned gateways, unsigned real) const {
  FleetPlan out;
  out.real = real;
  out.protocolOnly = gateways - real;
  out.maxPollInterval = plan_.maxPollInterval;
  out.program = program_;
  return out;
}

bool ScaleRun::waitUpToDate(GatewayFleet& fleet, std::size_t gateways) {
  return awaitCondition(std::to_string(gateways) + " gateways have the current list and watch",
                        [&] { return fleet.upToDate() >= gateways; });
}

bool ScaleRun::startFleet(GatewayFleet& fleet) {
  fleet.start();
  for (const auto& gateway : fleet.real()) processes_.push_back(gateway->pid());
  return waitUpToDate(fleet, fleet.size());
}

Micros ScaleRun::changeOnce(GatewayFleet& fleet, std::size_t endpoint, std::size_t gateways) {
  const Micros at = now();
  fleet.feed().change(endpoint % fleet.feed().size());
  waitUpToDate(fleet, gateways);
  return now() - at;
}

ScaleRun::Sample ScaleRun::takeSample(GatewayFleet& fleet) {
  Sample out;
  out.at = now();
  out.traffic = fleet.feed().traffic();
  for (const auto& gateway : fleet.real()) out.realCpuTime += usageOf(gateway->pid()).cpuTime;
  out.emulatorCpuTime = usageOf(::getpid()).cpuTime;
  return out;
}

void ScaleRun::gateways(const GatewaysPart& part) {
  for (const unsigned size : part.sizes) gatewaysAt(part, size);
}

void ScaleRun::gatewaysAt(const GatewaysPart& part, unsigned size) {
  if (finished()) return;
  startStep(std::to_string(size) + " gateways, " + std::to_string(part.endpoints) + " endpoints");
  GatewayFleet fleet(loop_, fleetOf(size, std::min(part.real, size / 2)), listOf(part.endpoints));
  const Micros startedAt = now();
  if (!startFleet(fleet)) return;
  const auto& traffic = fleet.feed().traffic();
  outcome_.results.add("drivers", "start_ms", size, toMilliseconds(now() - startedAt));
  outcome_.results.add("drivers", "start_whole_lists", size, toDouble(traffic.completeLists));
  outcome_.results.add("drivers", "start_bytes", size, toDouble(bytesOf(traffic)));
  measureIdle(part, fleet);
  changesOneByOne(part, fleet);
  const double resident = static_cast<double>(usageOf(::getpid()).resident);
  outcome_.results.add("drivers", "rig_resident_mb", size, resident / kBytesPerMegabyte);
  outcome_.results.fact("load", "drivers_" + std::to_string(size), machineLoad());
}

void ScaleRun::measureIdle(const GatewaysPart& part, GatewayFleet& fleet) {
  const double watches = toSeconds(fleet.feed().meanWait());
  const Sample before = takeSample(fleet);
  if (!runFor(part.idleDuration)) return;
  const Sample after = takeSample(fleet);
  const double size = static_cast<double>(fleet.size());
  const double span = toSeconds(after.at - before.at);
  auto& results = outcome_.results;
  results.add("drivers", "watch_s", size, watches);
  results.add("drivers", "calls_per_s", size, toDouble(after.traffic.calls - before.traffic.calls) / span);
  results.add("drivers", "bytes_per_s", size,
              toDouble(bytesOf(after.traffic) - bytesOf(before.traffic)) / span);
  const double processes = static_cast<double>(std::max<std::size_t>(1, fleet.real().size()));
  const auto cpuTime = static_cast<double>(after.realCpuTime - before.realCpuTime);
  results.add("drivers", "real_cpu_us_per_s", size, cpuTime / processes / span);
}

void ScaleRun::changesOneByOne(const GatewaysPart& part, GatewayFleet& fleet) {
  if (finished()) return;
  const Sample before = takeSample(fleet);
  std::vector<Micros> times;
  for (unsigned i = 0; i < part.changes && !finished(); ++i)
    times.push_back(changeOnce(fleet, i, fleet.size()));
  if (finished()) return;
  const Sample after = takeSample(fleet);
  const double size = static_cast<double>(fleet.size());
  auto& results = outcome_.results;
  results.add("drivers", "in_force_ms_median", size, toMilliseconds(medianOf(times)));
  results.add("drivers", "in_force_ms_worst", size,
              toMilliseconds(*std::max_element(times.begin(), times.end())));
  results.add("drivers", "change_deltas", size,
              toDouble(after.traffic.deltas - before.traffic.deltas) / part.changes);
  results.add("drivers", "change_bytes", size,
              toDouble(bytesOf(after.traffic) - bytesOf(before.traffic)) / part.changes);
}

// ---- Real gateways with growing lists and rates of change ----

void ScaleRun::endpointsAt(const EndpointsPart& part, unsigned size) {
  if (finished()) return;
  startStep(std::to_string(size) + " endpoints, " + std::to_string(part.real) + " real gateways");
  GatewayFleet fleet(loop_, fleetOf(part.real, part.real), listOf(size));
  if (!startFleet(fleet)) return;
  auto& results = outcome_.results;
  results.add("members", "whole_bytes", size, toDouble(fleet.feed().traffic().bytesOut) / part.real);
  const Sample before = takeSample(fleet);
  results.add("members", "start_cpu_ms", size, toMilliseconds(before.realCpuTime) / part.real);
  for (unsigned i = 0; i < part.changes && !finished(); ++i) changeOnce(fleet, i, part.real);
  if (finished()) return;
  const Sample after = takeSample(fleet);
  const double changes = static_cast<double>(part.changes) * part.real;
  results.add("members", "change_bytes", size,
              toDouble(bytesOf(after.traffic) - bytesOf(before.traffic)) / changes);
  results.add("members", "change_cpu_us", size,
              static_cast<double>(after.realCpuTime - before.realCpuTime) / changes);
  const Usage usage = usageOf(fleet.real().front()->pid());
  results.add("members", "resident_kb", size, static_cast<double>(usage.resident) / kBytesPerKilobyte);
  results.add("members", "resident_most_kb", size,
              static_cast<double>(usage.residentMost) / kBytesPerKilobyte);
  results.fact("load", "members_" + std::to_string(size), machineLoad());
}

bool ScaleRun::changeEvenly(GatewayFleet& fleet, std::size_t count, Micros span) {
  const Micros start = now();
  for (std::size_t i = 0; i < count; ++i) {
    const Micros due = start + static_cast<Micros>(i) * span / static_cast<Micros>(count);
    if (!runFor(due - now())) return false;
    fleet.feed().change(i % fleet.feed().size());
  }
  return !finished();
}

void ScaleRun::changesAt(const ChangesPart& part, unsigned rate) {
  if (finished()) return;
  startStep(std::to_string(rate) + " changes a second, " + std::to_string(part.endpoints) + " endpoints");
  GatewayFleet fleet(loop_, fleetOf(part.real, part.real), listOf(part.endpoints));
  if (!startFleet(fleet)) return;
  const Sample before = takeSample(fleet);
  const auto count = static_cast<std::size_t>(rate * part.duration / kMicrosPerSecond);
  if (!changeEvenly(fleet, count, part.duration) || !runFor(before.at + part.duration - now())) return;
  const Sample after = takeSample(fleet);
  const double span = toSeconds(after.at - before.at) * part.real;
  auto& results = outcome_.results;
  results.add("changes", "calls_per_s", rate, toDouble(after.traffic.calls - before.traffic.calls) / span);
  results.add("changes", "bytes_per_s", rate,
              toDouble(bytesOf(after.traffic) - bytesOf(before.traffic)) / span);
  results.add("changes", "cpu_us_per_s", rate,
              static_cast<double>(after.realCpuTime - before.realCpuTime) / span);
  results.fact("load", "changes_" + std::to_string(rate), machineLoad());
  waitUpToDate(fleet, part.real);
}

// ---- Clients ----

void ScaleRun::clients(const ClientsPart& part) {
  if (finished()) return;
  startStep("clients of one real gateway");
  std::vector<std::unique_ptr<test::EndpointStandIn>> endpoints;
  std::vector<ListedEntry> entries = listOf(kAnsweringEndpoints);
  for (std::size_t i = 0; i < kAnsweringEndpoints; ++i) {
    endpoints.push_back(std::make_unique<test::EndpointStandIn>(loop_));
    endpoints.back()->primary = entries[i].primary;
    endpoints.back()->keepsStatements = false;
    entries[i].hostPort = endpoints.back()->address();
  }
  GatewayFleet fleet(loop_, fleetOf(1, 1), entries);
  if (!startFleet(fleet)) return;
  ChildProcess& gateway = *fleet.real().front();
  if (!awaitCondition("the gateway serves", [&] { return gateway.socketAddress().has_value(); })) return;
  IdleConnections clients(loop_, *gateway.socketAddress());
  auto& results = outcome_.results;
  for (const unsigned size : part.sizes) {
    clients.grow(size);
    if (!awaitCondition("all clients have an answer or were rejected",
                        [&] { return clients.settled() >= size; }))
      return;
    if (!runFor(kMemorySettles)) return;
    const double resident = static_cast<double>(usageOf(gateway.pid()).resident);
    results.add("clients", "held", size, toDouble(clients.openCount()));
    // Recorded only if all connections are open, because a gateway keeps some memory of closed ones.
    if (clients.openCount() == size)
      results.add("clients", "resident_kb", size, resident / kBytesPerKilobyte);
  }
  startStep("statements through one real gateway");
  const Sample before = takeSample(fleet);
  clients.send(part.senders, part.statements);
  if (!awaitCondition("all statements are answered", [&] { return clients.answered() >= part.statements; }))
    return;
  const Sample after = takeSample(fleet);
  results.fact("statements", "count", toDouble(clients.answered()));
  results.fact("statements", "failed", toDouble(clients.failed()));
  results.fact("statements", "cpu_us",
               static_cast<double>(after.realCpuTime - before.realCpuTime) / part.statements);
  results.fact("load", "statements", machineLoad());
}

// ---- Membership of gateways ----

void ScaleRun::gossip(const GossipPart& part) {
  for (const unsigned size : part.sizes) {
    if (finished()) return;
    startStep(std::to_string(size) + " gateways exchange gossip, in virtual time");
    const auto cost = gossipAt(size, part.duration, [this] { return runTurn(0); });
    if (!cost && !finished())
      outcome_.problems.push_back("the failure of a gateway was not known to all others in time");
    if (!cost) return;
    outcome_.results.add("gossip", "messages_per_s", size, cost->messagesPerSecond);
    outcome_.results.add("gossip", "words_per_s", size, cost->wordsPerSecond);
    outcome_.results.add("gossip", "death_known_s", size, cost->failureKnownSeconds);
  }
}

void ScaleRun::subsets(const SubsetsPart& part) {
  for (const unsigned size : part.sizes) {
    if (finished() || !runTurn(0)) return;
    startStep("subsets of " + std::to_string(size) + " gateways");
    const SubsetCost rendezvous = rendezvousCost(size, part.each);
    const SubsetCost deterministic = deterministicCost(size, part.each);
    auto& results = outcome_.results;
    results.add("subsets", "rendezvous_most_over_mean", size, rendezvous.mostOverMean);
    results.add("subsets", "rendezvous_moved_share", size, rendezvous.movedShare);
    results.add("subsets", "dealt_most_over_mean", size, deterministic.mostOverMean);
    results.add("subsets", "dealt_moved_share", size, deterministic.movedShare);
  }
}

// ---- Faults ----

void ScaleRun::faults(const FaultsPart& part) {
  if (finished()) return;
  startStep("faults of " + std::to_string(part.gateways) + " gateways");
  FleetPlan plan = fleetOf(part.gateways, std::min(part.real, part.gateways / 2));
  plan.hasCutLink = true;
  GatewayFleet fleet(loop_, plan, listOf(part.endpoints));
  if (!startFleet(fleet)) return;
  outcome_.results.fact("faults", "drivers", part.gateways);
  if (!finished()) restartHalf(fleet);
  if (!finished()) listServiceOutage(part, fleet);
  if (!finished()) cutSeventh(part, fleet);
  if (!finished()) burst(part, fleet);
  outcome_.results.fact("load", "faults", machineLoad());
}

void ScaleRun::restartHalf(GatewayFleet& fleet) {
  if (hooks_.onProgress) hooks_.onProgress("half of the gateways restart");
  const std::size_t ended = fleet.killHalf();
  const std::size_t left = fleet.size() - ended;
  if (!awaitCondition("only the gateways that still run watch",
                      [&] { return fleet.feed().watching(0) <= left; }))
    return;
  const Sample before = takeSample(fleet);
  fleet.startKilled();
  if (!waitUpToDate(fleet, fleet.size())) return;
  const Sample after = takeSample(fleet);
  auto& results = outcome_.results;
  results.fact("restart_half", "drivers", toDouble(ended));
  results.fact("restart_half", "in_force_ms", toMilliseconds(after.at - before.at));
  results.fact("restart_half", "whole_lists",
               toDouble(after.traffic.completeLists - before.traffic.completeLists));
  results.fact("restart_half", "bytes", toDouble(bytesOf(after.traffic) - bytesOf(before.traffic)));
}

void ScaleRun::listServiceOutage(const FaultsPart& part, GatewayFleet& fleet) {
  if (hooks_.onProgress) hooks_.onProgress("the list service goes down and comes up again");
  fleet.feed().goDown();
  fleet.feed().change(0);
  if (!runFor(part.duration)) return;
  const Sample before = takeSample(fleet);
  fleet.feed().comeUp();
  if (!waitUpToDate(fleet, fleet.size())) return;
  const Sample after = takeSample(fleet);
  auto& results = outcome_.results;
  results.fact("list_away", "in_force_ms", toMilliseconds(after.at - before.at));
  results.fact("list_away", "calls", toDouble(after.traffic.calls - before.traffic.calls));
  results.fact("list_away", "most_calls_in_100ms",
               toDouble(fleet.feed().arrivals().mostWithin(kBurstWindow)));
  results.fact("list_away", "whole_lists",
               toDouble(after.traffic.completeLists - before.traffic.completeLists));
  results.fact("list_away", "bytes", toDouble(bytesOf(after.traffic) - bytesOf(before.traffic)));
}

void ScaleRun::cutSeventh(const FaultsPart& part, GatewayFleet& fleet) {
  if (hooks_.onProgress)
    hooks_.onProgress("a seventh of the gateways is cut off from the list service and connected again");
  auto& results = outcome_.results;
  fleet.cut();
  results.fact("cut_seventh", "drivers", toDouble(fleet.cutCount()));
  const Micros others = changeOnce(fleet, 1, fleet.size() - fleet.cutCount());
  results.fact("cut_seventh", "others_in_force_ms", toMilliseconds(others));
  if (!runFor(part.duration)) return;
  const Sample before = takeSample(fleet);
  fleet.restore();
  if (!waitUpToDate(fleet, fleet.size())) return;
  const Sample after = takeSample(fleet);
  results.fact("cut_seventh", "in_force_ms", toMilliseconds(after.at - before.at));
  results.fact("cut_seventh", "bytes", toDouble(bytesOf(after.traffic) - bytesOf(before.traffic)));
}

void ScaleRun::burst(const FaultsPart& part, GatewayFleet& fleet) {
  if (hooks_.onProgress) hooks_.onProgress("a burst of changes");
  const Sample before = takeSample(fleet);
  if (!changeEvenly(fleet, part.burst, kMicrosPerSecond)) return;
  const Micros last = now();
  if (!waitUpToDate(fleet, fleet.size())) return;
  const Sample after = takeSample(fleet);
  auto& results = outcome_.results;
  results.fact("burst", "changes", part.burst);
  results.fact("burst", "in_force_ms_after_last", toMilliseconds(after.at - last));
  results.fact("burst", "calls", toDouble(after.traffic.calls - before.traffic.calls));
  results.fact("burst", "bytes", toDouble(bytesOf(after.traffic) - bytesOf(before.traffic)));
  const double processes = toDouble(std::max<std::size_t>(1, fleet.real().size()));
  results.fact("burst", "real_cpu_us",
               static_cast<double>(after.realCpuTime - before.realCpuTime) / processes);
}

}  // namespace heathflow::emulator
