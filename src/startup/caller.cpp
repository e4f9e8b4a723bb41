#include "startup/caller.h"

#include <xxhash.h>

#include <algorithm>

namespace heathflow::startup {
namespace {

// What a call is taken to cost a service of which nothing is known: one that serves 250 drivers in a second.
constexpr double kCostGuess = 4'000;
// After each refusal the service is taken to be so many times slower.
constexpr double kCostGrowth = 4;
// A refusal in spite of a learned cost, and a life whose calls all waited in line, move it by so much.
constexpr double kCostStep = 2;
// A service lets callers wait in line for a while, so that not all of its time need be spread over.
constexpr double kInLine = 600'000;
constexpr double kInLineShare = 0.5;
// All calls are spread over no more than this share of the time within which each has to ask.
constexpr double kWindowShare = 0.6;
// The wait after a failure that is not one of load: at the least, doubled with each further one.
constexpr Micros kRetryLeast = 250'000;
// Up to this, or the time that the service needs for all, where a call broke.
constexpr Micros kBrokenMost = 1'000'000;
// And where the service is not there: it will be met by all at once when it is back.
constexpr Micros kAwayMost = 2'000'000;
constexpr int kDoublingsMost = 8;
// PROTOCOL counts what a new place has to tell as told soon after it was named.
constexpr Micros kMovedMost = 1'000'000;

}  // namespace

double placeOf(const std::string& name) { return evenly(XXH3_64bits(name.data(), name.size())); }

Caller::Caller(const CallerSettings& settings, Micros now) : settings_(settings), random_(settings.seed) {
  supposed_ = settings.cost ? static_cast<double>(std::max<Micros>(1, *settings.cost)) : kCostGuess;
  first_ = now + std::max(settings.rest, slot());
}

// This driver's own place in the time that the service needs.
Micros Caller::slot() const {
  return static_cast<Micros>(placeOf(settings_.name) * static_cast<double>(windowOf(supposed_)));
}

// How long the service takes for one call of each driver, within what the contract leaves.
Micros Caller::windowOf(double cost) const {
  const double needed = cost * std::max(1U, settings_.drivers);
  const double all = std::max(kInLineShare * needed, needed - kInLine);
  return static_cast<Micros>(std::min(all, kWindowShare * static_cast<double>(settings_.askWithin)));
}

Micros Caller::failed(Micros now, CallFailure how, std::optional<Micros> retryAfter) {
  ++failures_;
  if (how == CallFailure::TurnedAway) {
    supposed_ *= settings_.cost ? kCostStep : kCostGrowth;
    const Micros window = std::max(kRetryLeast, windowOf(supposed_));
    // Those that were told the same time must not come back as one.
    const Micros told = std::clamp<Micros>(retryAfter.value_or(0), 0, settings_.askWithin);
    const auto spread = static_cast<Micros>(random() * static_cast<double>(window));
    return now + std::max(kRetryLeast, told + spread);
  }
  // PROTOCOL counts what a silent watch misses as told soon after it should have ended, and what a driver's
  // own agent has as told at once: no more is waited than spreads those whose watches fell silent together.
  if ((how == CallFailure::Silent && hasWord_ && failures_ == 1) || settings_.ownService)
    return now + static_cast<Micros>(random() * static_cast<double>(kRetryLeast));
  const bool broken = how == CallFailure::Broken || how == CallFailure::Unreadable;
  // What is served by a list waits longer than what has none.
  const auto patient = static_cast<Micros>(0.5 * static_cast<double>(settings_.askWithin));
  const Micros most = hasWord_ ? std::max(kRetryLeast, patient)
                               : std::max(broken ? kBrokenMost : kAwayMost, windowOf(supposed_));
  const Micros wait = std::min(most, kRetryLeast << std::min(failures_, kDoublingsMost));
  return now + static_cast<Micros>((0.5 + 0.5 * random()) * static_cast<double>(wait));
}

Micros Caller::moved(Micros now) {
  failures_ = 0;
  return now + std::min(slot(), kMovedMost);
}

void Caller::answered(Micros elapsed) {
  told();
  const Micros cost = std::max<Micros>(1, elapsed);
  fastest_ = fastest_ ? std::min(*fastest_, cost) : cost;
}

void Caller::told() {
  hasWord_ = true;
  failures_ = 0;
}

std::optional<Micros> Caller::cost() const {
  if (!fastest_) return settings_.cost;
  if (!settings_.cost) return fastest_;
  // All calls of this life may have waited in line: what was known goes up by steps only.
  return std::min(*fastest_, static_cast<Micros>(kCostStep * static_cast<double>(*settings_.cost)));
}

}  // namespace heathflow::startup
