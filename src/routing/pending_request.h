// A request that was accepted and has no final answer yet, or still has attempts in flight.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "policy/routing_policy.h"
#include "protocol/slice.h"
#include "routing/request_owner.h"

namespace heathflow::routing {

struct Attempt;

struct PendingRequest {
  PendingRequest();
  ~PendingRequest();

  RequestId id = 0;
  RequestOwner* owner = nullptr;  // null once the request has its final answer or is cancelled
  std::string clientRequestId;    // set only while requests are traced
  std::size_t protocol = 0;       // index in ConnectionPool::Protocols
  protocol::Slice timeout;        // where the request states it; rewritten for each attempt
  Micros deadline = 0;
  Attempt* respondingAttempt = nullptr;  // its response has been forwarded in part
  std::vector<std::unique_ptr<Attempt>> attempts;
  std::size_t attemptsInFlight = 0;
};

}  // namespace heathflow::routing
