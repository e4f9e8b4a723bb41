// Why a call to the list service returned no endpoint list.
#pragma once

#include <cstddef>

namespace heathflow::stats {

enum class CallFailure {
  Rejected,         // a status other than 200, treated as overload
  ConnectionReset,  // the connection broke during the call
  TimedOut,
  Unreachable,  // no connection could be opened
  Malformed     // the response can't be parsed
};
inline constexpr std::size_t kCallFailures = 5;
const char* nameOf(CallFailure failure);

}  // namespace heathflow::stats
