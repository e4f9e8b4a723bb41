// One attempt to serve a request at one endpoint.
#pragma once

#include <cstdint>

#include "policy/routing_policy.h"
#include "routing/attempt_manager.h"
#include "routing/pending_request.h"
#include "transport/event_loop.h"
#include "upstream/endpoint_connection.h"

namespace heathflow::routing {

struct Attempt final : upstream::Exchange {
  Attempt(AttemptManager& attemptManager, transport::EventLoop& loop, PendingRequest& pendingRequest,
          std::uint32_t attemptIndex, EndpointId endpointId)
      : manager(attemptManager),
        request(pendingRequest),
        index(attemptIndex),
        endpoint(endpointId),
        startedAt(loop.now()),
        timeout(loop, [this] { manager.onTimeout(*this); }) {}

  bool write(protocol::EndpointSide& side, transport::Buffer& out) override {
    return manager.write(*this, side, out);
  }
  bool onResponsePart(const protocol::Answer& answer, std::string_view bytes) override {
    return manager.onResponsePart(*this, answer, bytes);
  }
  bool canTakeResponse(std::size_t size) const override {
    return request.respondingAttempt != this || request.owner == nullptr ||
           request.owner->canTakeResponse(size);
  }
  void onWritable() override {
    if (request.owner != nullptr) request.owner->onRequestWritable();
  }
  void onExchangeEnd(const upstream::ExchangeEnd& end) override { manager.onExchangeEnd(*this, end); }

  AttemptManager& manager;
  PendingRequest& request;
  std::uint32_t index;  // in PendingRequest::attempts
  EndpointId endpoint;
  Micros startedAt;
  Micros deadline = 0;
  bool asPrimary = false;      // see SendAttempt::asPrimary
  Micros clientWaitSince = 0;  // since when the next step is the client's; 0: it isn't
  Micros clientWaitTotal = 0;  // the total time of completed waits for the client
  upstream::EndpointConnection* connection = nullptr;  // null once the attempt has ended
  bool ended = false;
  AttemptOutcome outcome = AttemptOutcome::Cancelled;  // valid once the attempt has ended
  bool confirmingWrite = false;                        // while the policy handles AttemptConnected
  bool writeRevoked = false;                           // the policy cancelled the attempt meanwhile
  transport::Timer timeout;
};

}  // namespace heathflow::routing
