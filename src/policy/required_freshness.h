// What an endpoint must have applied to serve a read.
#pragma once

#include <algorithm>

#include "policy/policy_context.h"

namespace heathflow::policy {

// The position and the time are readings of different clocks. Each is compared with its own kind only.
struct RequiredFreshness {
  LogPosition position = kNoPosition;  // the commit at this position
  Micros time = kNever;                // all commits up to this time of this process

  bool isNone() const { return position == kNoPosition && time == kNever; }
  // Extends the requirement by another one.
  void include(const RequiredFreshness& other) {
    position = std::max(position, other.position);
    time = std::max(time, other.time);
  }
  // Returns whether an endpoint with the given position meets the requirement.
  bool isMetBy(LogPosition endpointPosition, const PolicyContext& context) const {
    return endpointPosition >= position && context.processTimeOf(endpointPosition) >= time;
  }
  // Returns the requirement as one time of this process, for estimates of a replica's lag.
  Micros asProcessTime(const PolicyContext& context) const {
    return std::max(time, context.processTimeOf(position));
  }
};

}  // namespace heathflow::policy
