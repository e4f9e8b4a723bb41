// FNV-1a, a hash that is the same in every process and on every machine.
#pragma once

#include <cstdint>
#include <string_view>

namespace heathflow {

inline std::uint64_t hashOf(std::string_view text) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  return hash;
}

}  // namespace heathflow
