// Several handlers as one, for std::visit.
#pragma once

namespace heathflow {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
// Clang 14 deduces no aggregate's arguments by itself.
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace heathflow
