#include "emulator/gossip.h"

namespace heathflow::emulator {
namespace {

using membership::Micros;

constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr Micros kMaxDetectionTime = 120 * kMicrosPerSecond;
constexpr std::uint64_t kSeed = 7;

bool runFor(fleet::GossipSimulation& simulation, Micros span, const std::function<bool()>& continues) {
  for (Micros passed = 0; passed < span; passed += kMicrosPerSecond) {
    if (!continues()) return false;
    simulation.run(kMicrosPerSecond);
  }
  return true;
}

}  // namespace

std::optional<GossipCost> gossipAt(unsigned gateways, Micros span, const std::function<bool()>& continues) {
  fleet::GossipPlan plan;
  plan.gateways = gateways;
  plan.seed = kSeed;
  fleet::GossipSimulation simulation(plan);
  if (!runFor(simulation, span, continues)) return {};
  const std::uint64_t messages = simulation.messages(), words = simulation.updates();
  if (!runFor(simulation, span, continues)) return {};
  const double gatewaySeconds = static_cast<double>(span) / kMicrosPerSecond * gateways;
  GossipCost out;
  out.messagesPerSecond = static_cast<double>(simulation.messages() - messages) / gatewaySeconds;
  out.wordsPerSecond = static_cast<double>(simulation.updates() - words) / gatewaySeconds;
  const unsigned victim = gateways - 1;
  const Micros killedAt = simulation.now();
  simulation.kill(victim);
  while (simulation.now() < killedAt + kMaxDetectionTime) {
    if (!runFor(simulation, kMicrosPerSecond, continues)) return {};
    const auto [last, by] = simulation.spreadOf(membership::MembershipEvent::Kind::Failed, victim, killedAt);
    if (by + 1 < gateways) continue;
    out.failureKnownSeconds = static_cast<double>(last - killedAt) / kMicrosPerSecond;
    return out;
  }
  return {};
}

}  // namespace heathflow::emulator
