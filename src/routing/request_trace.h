// The steps of single requests in the log. Callers check Observer::tracing first.
#pragma once

#include <string>

#include "routing/pending_request.h"
#include "stats/observer.h"

namespace heathflow::routing {

inline void trace(stats::Observer& observer, const PendingRequest& request, const std::string& text) {
  stats::LogContext context;
  context.request = request.name;
  observer.trace(stats::Topic::Requests, request.name + ": " + text, context);
}

}  // namespace heathflow::routing
