// One attempt of a request at one endpoint.
#pragma once

#include <cstdint>

#include "policy/routing_policy.h"
#include "routing/attempt_manager.h"
#include "routing/pending_request.h"
#include "transport/event_loop.h"
#include "upstream/endpoint_connection.h"

namespace heathflow::routing {

struct Attempt final : upstream::Exchange {
  Attempt(AttemptManager& owner, transport::EventLoop& loop, PendingRequest& of, std::uint32_t number,
          EndpointId to)
      : manager(owner),
        request(of),
        index(number),
        endpoint(to),
        startedAt(loop.now()),
        timeout(loop, [this] { manager.onTimeout(*this); }) {}

  bool write(protocol::EndpointSide& side, transport::Buffer& out) override {
    return manager.write(*this, side, out);
  }
  bool onResponsePart(const protocol::Answer& answer, std::string_view bytes) override {
    return manager.onResponsePart(*this, answer, bytes);
  }
  bool canTakeResponse(std::size_t size) const override {
    return request.responding != this || request.owner == nullptr || request.owner->canTakeResponse(size);
  }
  void onWritable() override {
    if (request.owner != nullptr) request.owner->onRequestWritable();
  }
  void onExchangeEnd(const upstream::ExchangeEnd& end) override { manager.onExchangeEnd(*this, end); }

  AttemptManager& manager;
  PendingRequest& request;
  std::uint32_t index;  // among the request's attempts
  EndpointId endpoint;
  Micros startedAt;
  Micros abandonAt = 0;
  bool asPrimary = false;      // see SendAttempt
  Micros clientWaitSince = 0;  // since when the next step is the client's; 0: it is not
  Micros clientWaitTotal = 0;  // of the waits that are over
  upstream::EndpointConnection* connection = nullptr;  // null once it has ended
  bool ended = false;
  AttemptOutcome outcome = AttemptOutcome::Cancelled;  // once it has ended
  bool confirmingWrite = false;                        // AttemptConnected is with the policy
  bool writeRevoked = false;                           // the policy cancelled it meanwhile
  transport::Timer timeout;
};

}  // namespace heathflow::routing
