// Converts the bits of a random number or a hash to a number that is uniformly distributed in [0, 1).
#pragma once

#include <cstdint>

namespace heathflow {

inline double uniformUnit(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }

}  // namespace heathflow
