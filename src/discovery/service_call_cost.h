// What one call costs the list service in time, as far as this gateway has learned it.
#pragma once

#include <cstdint>
#include <optional>

namespace heathflow::discovery {

using Micros = std::int64_t;  // a clock reading or a duration, in microseconds

class ServiceCallCost {
 public:
  // @param cached what an earlier process has learned.
  explicit ServiceCallCost(std::optional<Micros> cached);

  // A call that did not have to wait was answered after so long.
  void observeAnswer(Micros elapsed);
  // The service rejected a call: it is slower than was assumed.
  void observeRejection();

  // The cost by which calls are spread: what was cached or guessed, raised by rejections.
  double assumed() const { return assumed_; }
  // The fastest answer of this process; else what is assumed.
  double observedOrAssumed() const { return fastest_ ? static_cast<double>(*fastest_) : assumed_; }
  // An upper bound for the snapshot, where anything is known.
  std::optional<Micros> toCache() const;

 private:
  std::optional<Micros> cached_;
  std::optional<Micros> fastest_;
  double assumed_;
};

}  // namespace heathflow::discovery
