// All pending requests of a gateway.
#pragma once

#include <memory>
#include <unordered_map>

#include "invariants/invariant_checker.h"
#include "routing/pending_request.h"
#include "transport/event_loop.h"

namespace heathflow::routing {

class RequestTable {
 public:
  RequestTable(transport::EventLoop& loop, invariants::InvariantChecker& checker)
      : loop_(loop), checker_(checker) {}

  void add(std::unique_ptr<PendingRequest> request);
  // @return null if the request has been removed.
  PendingRequest* find(RequestId id) const;
  // Ends a request that has its final answer or is cancelled. It stays in the table while attempts are in
  // flight.
  void finish(PendingRequest& request);
  // Removes a request that is finished and has no attempt in flight.
  void removeIfDone(RequestId id);

 private:
  transport::EventLoop& loop_;
  invariants::InvariantChecker& checker_;
  std::unordered_map<RequestId, std::unique_ptr<PendingRequest>> requests_;
};

}  // namespace heathflow::routing
