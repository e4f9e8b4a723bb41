// The interface through which the router answers a request.
#pragma once

#include <cstddef>
#include <string_view>

#include "policy/routing_policy.h"
#include "protocol/wire.h"

namespace heathflow::routing {

// Submits a request and receives its response. After Router::submit() exactly one of onResponse(),
// onRejected() and onFailed() is called, possibly within submit(), unless Router::cancel() comes first.
class RequestOwner {
 public:
  virtual ~RequestOwner() = default;
  // @return the bytes of the request that have not been consumed; they stay valid until the final answer.
  virtual std::string_view requestBytes() const = 0;
  // @return the client's id of the request, for the log.
  virtual std::string_view clientRequestId() const = 0;
  // @return whether 'size' bytes of the response can be taken now. If not, the owner calls
  //         Router::resumeResponse() once they can.
  virtual bool canTakeResponse(std::size_t size) const = 0;
  // Takes a part of the response. After the first part no other endpoint's response can be used.
  // @return false if there is no memory for it.
  virtual bool onResponsePart(const protocol::Answer& answer, std::string_view bytes) = 0;
  // Called once more of the request can be written, after Router::canWriteMore() has returned false.
  virtual void onRequestWritable() = 0;
  // Takes the response, or the rest of it.
  virtual void onResponse(const protocol::Answer& answer, std::string_view bytes) = 0;
  // The request was rejected and had no effect.
  // @param retryAfter  how long the client should wait before it retries; 0: not given.
  virtual void onRejected(Micros retryAfter) = 0;
  // The request failed and may have had an effect.
  virtual void onFailed() = 0;
};

}  // namespace heathflow::routing
