// Combines several handlers into one overloaded handler, for std::visit.
#pragma once

namespace heathflow {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
// Needed for Clang 14, which has no deduction of template arguments for aggregates.
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace heathflow
