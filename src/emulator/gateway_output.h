// What the emulator reads from the gateways' logs and counters.
#pragma once

#include <string_view>

namespace heathflow::emulator {

// The last counter that a gateway writes: once it has come all others have.
inline constexpr const char* kLastCounter = "connecting.for_requests";
// Counters of requests that a gateway gave up, by reason.
inline constexpr std::string_view kGivenUpPrefix = "given_up.";
// In a log line of the gateway's invariant checker.
inline constexpr const char* kInvariantBroken = "invariants: broken";

}  // namespace heathflow::emulator
