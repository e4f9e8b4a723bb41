#include "emulator/gossip.h"

namespace heathflow::emulator {
namespace {

using membership::Micros;

constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr Micros kDeathKnownMost = 120 * kMicrosPerSecond;
constexpr std::uint64_t kSeed = 7;

bool runFor(fleet::Talk& talk, Micros span, const std::function<bool()>& goesOn) {
  for (Micros passed = 0; passed < span; passed += kMicrosPerSecond) {
    if (!goesOn()) return false;
    talk.run(kMicrosPerSecond);
  }
  return true;
}

}  // namespace

std::optional<GossipCost> gossipAt(unsigned gateways, Micros span, const std::function<bool()>& goesOn) {
  fleet::TalkPlan plan;
  plan.gateways = gateways;
  plan.seed = kSeed;
  fleet::Talk talk(plan);
  if (!runFor(talk, span, goesOn)) return {};
  const std::uint64_t messages = talk.messages(), words = talk.words();
  if (!runFor(talk, span, goesOn)) return {};
  const double over = static_cast<double>(span) / kMicrosPerSecond * gateways;
  GossipCost out;
  out.messagesPerSecond = static_cast<double>(talk.messages() - messages) / over;
  out.wordsPerSecond = static_cast<double>(talk.words() - words) / over;
  const unsigned victim = gateways - 1;
  const Micros died = talk.now();
  talk.kill(victim);
  while (talk.now() < died + kDeathKnownMost) {
    if (!runFor(talk, kMicrosPerSecond, goesOn)) return {};
    const auto [last, by] = talk.seen(membership::MembershipEvent::Kind::Failed, victim, died);
    if (by + 1 < gateways) continue;
    out.deathKnownSeconds = static_cast<double>(last - died) / kMicrosPerSecond;
    return out;
  }
  return {};
}

}  // namespace heathflow::emulator
