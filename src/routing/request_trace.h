// Logs one step of a request. Callers check Observer::tracing first.
#pragma once

#include <string>

#include "routing/pending_request.h"
#include "stats/observer.h"

namespace heathflow::routing {

inline void trace(stats::Observer& observer, const PendingRequest& request, const std::string& text) {
  stats::LogContext context;
  context.request = request.clientRequestId;
  observer.trace(stats::Topic::Requests, request.clientRequestId + ": " + text, context);
}

}  // namespace heathflow::routing
