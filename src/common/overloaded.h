// Several handlers as one, for std::visit.
#pragma once

namespace heathflow {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};

}  // namespace heathflow
