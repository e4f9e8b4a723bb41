// The age of the endpoint list, and whether it has expired.
#pragma once

#include <string>

#include "policy/routing_policy.h"
#include "transport/clock.h"

namespace heathflow::routing {

struct EndpointListStatus {
  bool expired = false;  // it was not confirmed in time
  Micros receivedAt = 0;

  // Returns a phrase for the log, such as "an endpoint list received 20 ms ago".
  std::string describe(Micros now) const {
    return std::string(expired ? "an expired endpoint list" : "an endpoint list") + " received " +
           std::to_string((now - receivedAt) / transport::kMicrosPerMilli) + " ms ago";
  }
};

}  // namespace heathflow::routing
