#include "wallclock/endpoint_time.h"

#include <algorithm>

namespace heathflow::wallclock {
namespace {

// The highest lead in a window counts until the end of the next window.
constexpr Micros kWindow = 30'000'000;
// Positions are rounded to milliseconds, so that they may lead by this much even if the clocks agree.
constexpr Micros kRounding = 2'000;
// A position is older than its arrival by the network delay, for which the protocol allows this much on top
// of each limit.
constexpr Micros kMaxNetworkDelay = 50'000;

}  // namespace

Micros EndpointTime::lead() const {
  if (!primaryObserved_) return kMaxClockLead;
  const Micros observed = std::max(highest_, previousHighest_);
  return observed <= kRounding ? 0 : observed + kMaxNetworkDelay;
}

// A window without a position of the primary shows no lower lead, because positions of replicas lag.
void EndpointTime::startWindow(Micros now) {
  previousHighest_ = primaryInWindow_ ? highest_ : std::max(highest_, previousHighest_);
  highest_ = 0;
  primaryInWindow_ = false;
  windowStart_ = now;
}

bool EndpointTime::observe(Micros position, Micros now, bool byPrimary) {
  if (position - now > kMaxClockLead) return false;
  if (windowStart_ == kNever || now - windowStart_ >= kWindow) startWindow(now);
  primaryObserved_ = primaryObserved_ || byPrimary;
  primaryInWindow_ = primaryInWindow_ || byPrimary;
  highest_ = std::max(highest_, position - now);
  return true;
}

}  // namespace heathflow::wallclock
