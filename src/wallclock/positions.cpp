#include "wallclock/positions.h"

#include <algorithm>

namespace heathflow::wallclock {
namespace {

// What positions show is kept for so long, and up to twice that.
constexpr Micros kWhile = 30'000'000;
// Positions are rounded to milliseconds, some way or other; so far ahead they may be where clocks agree.
constexpr Micros kRounding = 2'000;
// A position is older than its arrival by its way; PROTOCOL gives each limit so much more.
constexpr Micros kOnItsWay = 50'000;
// A session's position that is further ahead than this is none.
constexpr Micros kTokenAheadAtMost = 86'400'000'000;

}  // namespace

Micros EndpointTime::ahead() const {
  if (!known_) return kAheadAtMost;
  const Micros shown = std::max(highest_, highestBefore_);
  return shown <= kRounding ? 0 : shown + kOnItsWay;
}

std::optional<Micros> EndpointTime::heard(Micros position, Micros now, bool byPrimary) {
  if (position - now > kAheadAtMost) return std::nullopt;
  known_ = known_ || byPrimary;
  if (since_ == kNever || now - since_ >= kWhile) {
    highestBefore_ = since_ == kNever || now - since_ >= 2 * kWhile ? 0 : highest_;
    highest_ = 0;
    since_ = now;
  }
  highest_ = std::max(highest_, position - now);
  return position - ahead();
}

Micros EndpointTime::ofClient(Micros position, Micros now) const {
  return std::min(position, now + kTokenAheadAtMost) - ahead();
}

}  // namespace heathflow::wallclock
