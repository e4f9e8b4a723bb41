#include "discovery/caller.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace heathflow::discovery {
namespace {

// What a call is taken to cost a service of which nothing is known: one that serves 250 gateways in a second.
constexpr double kCostGuess = 4'000;
// After each rejection the service is taken to be so many times slower.
constexpr double kCostGrowth = 4;
// A rejection in spite of a learned cost, and a life whose calls all waited in line, move it by so much.
constexpr double kCostStep = 2;
// A service lets callers wait in line for a while, so that not all of its time need be spread over.
constexpr double kInLine = 600'000;
constexpr double kInLineShare = 0.5;
// All first calls are spread over no more than this share of the term, so that one that fails can be repeated
// within it.
constexpr double kFirstShare = 0.4;
// The wait after a failure: at the least, doubled with each further one, and at the most, which leaves time
// for a second failure and an answer within the term: shares of it.
constexpr Micros kRetryLeast = 250'000;
constexpr double kRetryMostShare = 0.25;
constexpr int kDoublingsMost = 8;
// Watches are renewed so seldom that all gateways together take no more than this share of the service's
// time.
constexpr double kRenewalShare = 0.25;
// Within these bounds: a share of the time for which a gateway may go without asking, and that time itself.
constexpr Micros kWatchesPerAskWithin = 4;
constexpr Micros kWatchLeast = 1'000'000;
// PROTOCOL, Discovery: a watch waits at most 60 s.
constexpr Micros kWatchMost = 60'000'000;
// PROTOCOL counts what a new place has to tell as told soon after it was named.
constexpr Micros kMovedMost = 1'000'000;

}  // namespace

double placeOf(const std::string& name) { return uniformUnit(XXH3_64bits(name.data(), name.size())); }

Caller::Caller(const CallerSettings& settings, Micros now) : settings_(settings), random_(settings.seed) {
  supposed_ = settings.cost ? static_cast<double>(std::max<Micros>(1, *settings.cost)) : kCostGuess;
  first_ = now + std::max(settings.rest, slot());
}

// This gateway's own place in the time that the service needs.
Micros Caller::slot() const {
  return static_cast<Micros>(placeOf(settings_.name) * static_cast<double>(windowOf(supposed_)));
}

// How long the service takes for one call of each gateway.
double Caller::neededBy(double cost) const { return cost * std::max(1U, settings_.gateways); }

// Over how long all gateways spread their calls, so that the service's line stays short, within what the term
// leaves.
Micros Caller::windowOf(double cost) const {
  const double needed = neededBy(cost);
  const double all = std::max(kInLineShare * needed, needed - kInLine);
  return static_cast<Micros>(std::min(all, kFirstShare * static_cast<double>(term())));
}

// Within which a failed call has to be made good: the term on changes, or the contract's own where it is
// shorter.
Micros Caller::term() const {
  return settings_.maxPollInterval > 0 ? std::min(settings_.maxPollInterval, kToldWithin) : kToldWithin;
}

Micros Caller::failed(Micros now, CallFailure how, std::optional<Micros> retryAfter) {
  ++failures_;
  const auto retryMost =
      std::max(2 * kRetryLeast, static_cast<Micros>(kRetryMostShare * static_cast<double>(term())));
  // A silent call has cost its time already, and a service of one's own need not be spared: no more is waited
  // than spreads those whose watches fell silent together.
  if (how == CallFailure::TimedOut || settings_.ownService)
    return now + static_cast<Micros>(random() * static_cast<double>(kRetryLeast));
  if (how == CallFailure::Rejected) {
    supposed_ =
        std::min(supposed_ * (settings_.cost ? kCostStep : kCostGrowth), static_cast<double>(kToldWithin));
    // Guards a service with too many callers against calls that come back faster than it gets through them:
    // its line then stays so long that what it answers is answered too late. One rejection or two leave time
    // for an answer within the term; from then on the gateways spread over ever more of it.
    const int further = std::max(0, rejections_++ - 1);
    const Micros most = std::min(term(), retryMost << std::min(further, kDoublingsMost));
    // The service's own word counts as far as the term leaves it, and those that were told the same time must
    // not come back as one.
    const Micros told = std::clamp<Micros>(retryAfter.value_or(0), 0, most - kRetryLeast);
    const Micros window = std::clamp(static_cast<Micros>(neededBy(supposed_)), kRetryLeast, most - told);
    const auto spread = static_cast<Micros>(random() * static_cast<double>(window));
    return now + std::max(kRetryLeast, told + spread);
  }
  const Micros wait = std::min(retryMost, kRetryLeast << std::min(failures_, kDoublingsMost));
  return now + static_cast<Micros>((0.5 + 0.5 * random()) * static_cast<double>(wait));
}

Micros Caller::moved(Micros now) {
  failures_ = rejections_ = 0;
  return now + std::min(slot(), kMovedMost);
}

void Caller::answered(Micros elapsed) {
  told();
  const Micros cost = std::max<Micros>(1, elapsed);
  fastest_ = fastest_ ? std::min(*fastest_, cost) : cost;
}

void Caller::told() { failures_ = rejections_ = 0; }

Micros Caller::watchFor() const {
  const Micros least = std::clamp(settings_.maxPollInterval / kWatchesPerAskWithin, kWatchLeast, kWatchMost);
  const Micros most = std::clamp(settings_.maxPollInterval, least, kWatchMost);
  const double known = fastest_ ? static_cast<double>(*fastest_) : supposed_;
  const auto renewals =
      static_cast<Micros>(std::min(neededBy(known) / kRenewalShare, static_cast<double>(most)));
  return std::clamp(renewals, least, most);
}

std::optional<Micros> Caller::cost() const {
  if (!fastest_) return settings_.cost;
  if (!settings_.cost) return fastest_;
  // All calls of this life may have waited in line: what was known goes up by steps only.
  return std::min(*fastest_, static_cast<Micros>(kCostStep * static_cast<double>(*settings_.cost)));
}

}  // namespace heathflow::discovery
