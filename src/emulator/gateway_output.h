// Names that the emulator reads from the gateways' logs and counters.
#pragma once

#include <string_view>

namespace heathflow::emulator {

// The last counter that a gateway writes; once it has been read, all others have been.
inline constexpr const char* kLastCounter = "upstream_connections.opened_for_requests";
// Counters of requests that a gateway rejected or failed, by reason.
inline constexpr std::string_view kUnservedByReasonPrefix = "unserved_by_reason.";
// The text in each log line of the gateway's invariant checker that reports a violation.
inline constexpr const char* kInvariantViolated = "invariants: violated";

}  // namespace heathflow::emulator
