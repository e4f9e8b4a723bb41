#include "discovery/belief.h"

#include <algorithm>

namespace heathflow::discovery {
namespace {

// A clock may be set back by so much without a list counting as one from the future.
constexpr Micros kClockSlack = 1'000'000;
constexpr Micros kRestLeast = 500'000;
constexpr unsigned kDoublingsMost = 6;
// The rest stays within this share of the time within which a gateway has to ask.
constexpr double kRestShare = 0.5;

}  // namespace

Belief believe(Micros age, const BeliefSettings& settings) {
  if (age < -kClockSlack || age > settings.listFor) return {};
  Belief out;
  out.endpoints = true;
  out.drains = true;
  // Beyond the contract's time another may lead, and a write must not go by an old word. Where nobody can be
  // asked the list is all there is.
  out.roles = age <= settings.maxPollInterval || !settings.healthChecksAllowed;
  return out;
}

Micros restAfter(unsigned youngDeaths, Micros maxPollInterval) {
  if (youngDeaths < 2) return 0;
  const Micros rest = kRestLeast << std::min(youngDeaths - 2, kDoublingsMost);
  return std::min(rest, static_cast<Micros>(kRestShare * static_cast<double>(maxPollInterval)));
}

}  // namespace heathflow::discovery
