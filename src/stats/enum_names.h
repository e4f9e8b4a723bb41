// The names of outcomes and reasons in counters and log lines.
#pragma once

#include <cstddef>

#include "policy/routing_policy.h"
#include "stats/counters.h"

namespace heathflow::stats {

const char* nameOf(AttemptOutcome outcome);
const char* nameOf(CloseReason reason);
const char* nameOf(HealthCheckReason reason);
const char* nameOf(RejectReason reason);

}  // namespace heathflow::stats
