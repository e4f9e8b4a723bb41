#include "membership/messages.h"

#include <cstddef>

namespace heathflow::membership {

const char* nameOf(State state) {
  constexpr const char* kNames[] = {"alive", "suspected", "failed", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

}  // namespace heathflow::membership
