// Uniformly distributed numbers from 0 to 1 out of the bits of a random number or a hash.
#pragma once

#include <cstdint>

namespace heathflow {

inline double uniformUnit(std::uint64_t bits) { return static_cast<double>(bits >> 11) * 0x1.0p-53; }

}  // namespace heathflow
