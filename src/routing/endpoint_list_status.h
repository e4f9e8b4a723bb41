// How far the endpoint list can be trusted.
#pragma once

#include <string>

#include "policy/routing_policy.h"
#include "transport/clock.h"

namespace heathflow::routing {

struct EndpointListStatus {
  bool expired = false;  // not confirmed in time
  Micros receivedAt = 0;

  // For the log.
  std::string describe(Micros now) const {
    return std::string(expired ? "an expired list" : "a list") + " of " +
           std::to_string((now - receivedAt) / transport::kMicrosPerMilli) + " ms ago";
  }
};

}  // namespace heathflow::routing
