#include "emulator/gossip.h"

namespace heathflow::emulator {
namespace {

using membership::Micros;

constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr Micros kMaxDetectionTime = 120 * kMicrosPerSecond;
constexpr std::uint64_t kSeed = 7;

bool runFor(fleet::Talk& talk, Micros span, const std::function<bool()>& continues) {
  for (Micros passed = 0; passed < span; passed += kMicrosPerSecond) {
    if (!continues()) return false;
    talk.run(kMicrosPerSecond);
  }
  return true;
}

}  // namespace

std::optional<GossipCost> gossipAt(unsigned gateways, Micros span, const std::function<bool()>& continues) {
  fleet::TalkPlan plan;
  plan.gateways = gateways;
  plan.seed = kSeed;
  fleet::Talk talk(plan);
  if (!runFor(talk, span, continues)) return {};
  const std::uint64_t messages = talk.messages(), words = talk.words();
  if (!runFor(talk, span, continues)) return {};
  const double gatewaySeconds = static_cast<double>(span) / kMicrosPerSecond * gateways;
  GossipCost out;
  out.messagesPerSecond = static_cast<double>(talk.messages() - messages) / gatewaySeconds;
  out.wordsPerSecond = static_cast<double>(talk.words() - words) / gatewaySeconds;
  const unsigned victim = gateways - 1;
  const Micros killedAt = talk.now();
  talk.kill(victim);
  while (talk.now() < killedAt + kMaxDetectionTime) {
    if (!runFor(talk, kMicrosPerSecond, continues)) return {};
    const auto [last, by] = talk.seen(membership::MembershipEvent::Kind::Failed, victim, killedAt);
    if (by + 1 < gateways) continue;
    out.failureKnownSeconds = static_cast<double>(last - killedAt) / kMicrosPerSecond;
    return out;
  }
  return {};
}

}  // namespace heathflow::emulator
