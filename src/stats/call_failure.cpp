#include "stats/call_failure.h"

#include <array>

namespace heathflow::stats {
namespace {

constexpr std::array<const char*, kCallFailures> kFailureNames = {"rejected", "connection_reset", "timed_out",
                                                                  "unreachable", "malformed"};

}  // namespace

const char* nameOf(CallFailure failure) { return kFailureNames.at(static_cast<std::size_t>(failure)); }

}  // namespace heathflow::stats
