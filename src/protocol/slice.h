// A piece of a buffer, by offset and size, so that it stays valid when the buffer is reallocated.
#pragma once

#include <cstddef>
#include <string_view>

namespace heathflow::protocol {

struct Slice {
  std::size_t at = 0;
  std::size_t size = 0;
  std::string_view of(std::string_view bytes) const { return bytes.substr(at, size); }
};

}  // namespace heathflow::protocol
