// What the emulator reads from the gateways' logs and counters.
#pragma once

#include <string_view>

namespace heathflow::emulator {

// The last counter that a gateway writes: once it has come all others have.
inline constexpr const char* kLastCounter = "upstream_connections.opened_for_requests";
// Counters of requests that a gateway rejected or failed, by reason.
inline constexpr std::string_view kUnservedByReasonPrefix = "unserved_by_reason.";
// In a log line of the gateway's invariant checker.
inline constexpr const char* kInvariantViolated = "invariants: violated";

}  // namespace heathflow::emulator
