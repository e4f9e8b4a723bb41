// The interface between the router and who submits requests to it.
#pragma once

#include <cstddef>
#include <string_view>

#include "policy/routing_policy.h"
#include "protocol/wire.h"

namespace heathflow::routing {

// Owns a request and takes its response. After Router::submit() exactly one of onResponse(), onRejected() and
// onFailed() is called, possibly within submit(), unless Router::cancel() comes first.
class RequestOwner {
 public:
  virtual ~RequestOwner() = default;
  // @return the bytes of the request that are not yet released; they stay valid until the final answer.
  virtual std::string_view requestBytes() const = 0;
  // @return the client's id of the request, for the log.
  virtual std::string_view requestName() const = 0;
  // @return whether so many bytes of the response can be taken at present; where not,
  // Router::resumeResponse()
  //         says when they can.
  virtual bool canTakeResponse(std::size_t size) const = 0;
  // Takes a part of the response. From the first part on no other endpoint's response will do.
  // @return false where there is no memory for it.
  virtual bool onResponsePart(const protocol::Answer& answer, std::string_view bytes) = 0;
  // After Router::canWriteMore() has returned false: a further part of the request can be written.
  virtual void onRequestWritable() = 0;
  // Takes the response, or the rest of it.
  virtual void onResponse(const protocol::Answer& answer, std::string_view bytes) = 0;
  // The request was rejected and had no effect.
  // @param retryAfter  when to try again; 0: not given.
  virtual void onRejected(Micros retryAfter) = 0;
  // The request failed and may have had an effect.
  virtual void onFailed() = 0;
};

}  // namespace heathflow::routing
