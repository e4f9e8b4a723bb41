// Why a call of the list service brought no list.
#pragma once

#include <cstddef>

namespace heathflow::stats {

// How a call ended that brought no list.
enum class CallFailure {
  TurnedAway,   // the service answered that it can't: it has too many callers
  Broken,       // the connection broke under the call
  Silent,       // no answer in time
  Unreachable,  // no connection
  Unreadable    // an answer that is none
};
inline constexpr std::size_t kCallFailures = 5;
const char* nameOf(CallFailure failure);

}  // namespace heathflow::stats
